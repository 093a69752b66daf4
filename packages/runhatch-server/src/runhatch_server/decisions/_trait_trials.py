"""Trials of held traits: requests that one node sends to see whether targets still end.

A trial that ends a target costs all requests in progress there, so each trait has at
most one trial at a time, and the callers of this module make one node its owner.
"""

from collections.abc import Hashable, Sequence
from dataclasses import dataclass
from datetime import timedelta

from runhatch_server.decisions._suspect_traits import HeldTrait

UNRESOLVED_DURATION = timedelta(seconds=8)
"""Time after a trial without a result in which the end of its target may be found. The
end of a silent target shows only when its entry expires in the store."""


@dataclass(slots=True)
class _Trial:
    """A request that tries one trait."""

    key: Hashable
    """Identifies the request among all on this node."""
    is_sent: bool = False
    """Whether a target may run it or may have run it."""
    ended_at: timedelta | None = None
    """When the request ended, ``None`` while it is in progress."""

    def is_unresolved(self, now: timedelta) -> bool:
        return self.ended_at is None or now - self.ended_at < UNRESOLVED_DURATION


class TraitTrials:
    """The trials of one node."""

    def __init__(self) -> None:
        self._trials: dict[str, _Trial] = {}

    def try_start(
        self, key: Hashable, held: Sequence[HeldTrait], now: timedelta
    ) -> bool:
        """Return whether request ``key`` may be sent although its traits are held.

        Two held traits are two causes, of which an end would not show one.
        """
        if len(held) != 1 or now < held[0].next_trial_at:
            return False
        trial = self._trials.get(held[0].trait)
        if trial is not None and trial.key == key:
            return not trial.is_sent
        if trial is not None and trial.is_unresolved(now):
            return False
        self._trials[held[0].trait] = _Trial(key)
        return True

    def record_sent(self, key: Hashable) -> list[str]:
        """Record that request ``key`` is sent; return the traits that it tries."""
        traits = self._find(key)
        for trait in traits:
            self._trials[trait].is_sent = True
        return traits

    def record_not_run(self, key: Hashable) -> None:
        """Record that no target ran request ``key``."""
        for trait in self._find(key):
            self._trials[trait].is_sent = False

    def record_end(self, key: Hashable, now: timedelta) -> None:
        """Record that request ``key`` has ended, with or without an answer."""
        for trait in self._find(key):
            trial = self._trials[trait]
            if trial.is_sent:
                trial.ended_at = now
            else:
                del self._trials[trait]

    def record_begun(self, traits: Sequence[str]) -> None:
        """Record that ``traits`` are cleared."""
        for trait in traits:
            self._trials.pop(trait, None)

    def remove_expired(self, now: timedelta) -> None:
        """Remove trials that have no further effect."""
        for trait in [t for t, trial in self._trials.items()]:
            if not self._trials[trait].is_unresolved(now):
                del self._trials[trait]

    def _find(self, key: Hashable) -> list[str]:
        return [trait for trait, trial in self._trials.items() if trial.key == key]
