"""Targets that nodes found to have ended, long before their entries expire."""

from datetime import timedelta

ENDED_RETENTION = timedelta(seconds=30)
"""Time for which a target that was found to have ended gets no requests although the
store lists it. Its entry expires within seconds, or later if the store is slow."""


class EndedTargets:
    """Reported ends of incarnations, and refutations of them.

    Guarded by its owner's lock.
    """

    def __init__(self) -> None:
        self._ended_at: dict[str, timedelta] = {}
        self._reached_at: dict[str, timedelta] = {}
        """Time at which a target was reached that had been found to have ended."""

    def __contains__(self, incarnation: str) -> bool:
        return incarnation in self._ended_at

    def record_end(self, incarnation: str, at: timedelta, now: timedelta) -> bool:
        """Record that a target ended at ``at``; return whether this was not known."""
        is_old = at <= now - ENDED_RETENTION
        # Nodes repeat old reports to those that missed them.
        is_refuted = at <= self._reached_at.get(incarnation, at - ENDED_RETENTION)
        if is_old or is_refuted or incarnation in self._ended_at:
            return False
        self._ended_at[incarnation] = at
        return True

    def record_reached(self, incarnation: str, now: timedelta) -> bool:
        """Record that a target runs; return whether it was reported as ended."""
        if self._ended_at.pop(incarnation, None) is None:
            return False
        self._reached_at[incarnation] = now
        return True

    def remove_expired(self, now: timedelta) -> bool:
        """Remove what is too old; return whether that concerns an end."""
        earliest = now - ENDED_RETENTION
        expired = [name for name, at in self._ended_at.items() if at <= earliest]
        for name in expired:
            del self._ended_at[name]
        for name in [n for n, at in self._reached_at.items() if at <= earliest]:
            del self._reached_at[name]
        return bool(expired)
