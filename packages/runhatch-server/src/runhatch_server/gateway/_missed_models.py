"""Records for the next orderer which models have been missed."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from datetime import timedelta

from runhatch_server.residency import (
    MISS_RETENTION,
    DemandKey,
    DemandShare,
    decay_unmet,
    priority_weight,
)


@dataclass(slots=True)
class _Misses:
    """Reports of requests that missed one model, the first and the last one's time."""

    first_at: timedelta
    last_at: timedelta
    reports: int = 0
    unmet: float = 0.0
    """Weighted requests as of ``last_at``; decays as at the orderer."""

    def add(self, weighted: float, now: timedelta) -> None:
        self.unmet = self.unmet_at(now) + weighted
        self.reports += 1
        self.last_at = now

    def unmet_at(self, now: timedelta) -> float:
        return decay_unmet(self.unmet, now - self.last_at)


class MissedModels:
    """Models that requests of this node missed and that no target has held since.

    They are sent to a new orderer: the time for which a model has been missed decides
    when it is loaded, and no other process knows it once the orderer has ended.
    """

    def __init__(self) -> None:
        self._misses: dict[DemandKey, _Misses] = {}

    def update(
        self,
        shares: Iterable[DemandShare],
        is_held: Callable[[DemandKey], bool],
        now: timedelta,
    ) -> None:
        """Record models missed up to ``now``; drop held and expired ones."""
        for share in shares:
            if share.missed:
                misses = self._misses.setdefault(share.key, _Misses(now, now))
                weight = priority_weight(share.key.priority)
                misses.add(share.missed * weight, now)
        expired = [
            key
            for key, misses in self._misses.items()
            if now - misses.last_at > MISS_RETENTION or is_held(key)
        ]
        for key in expired:
            del self._misses[key]

    def shares(self, now: timedelta) -> list[DemandShare]:
        """Return missed models, each with its past misses."""
        return [
            DemandShare(
                key,
                0,
                0,
                0.0,
                now - misses.first_at,
                now - misses.last_at,
                misses.reports,
                misses.unmet_at(now),
            )
            for key, misses in self._misses.items()
            if misses.first_at < now
        ]
