"""Records for the next orderer since when models have been missed."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from datetime import timedelta

from runhatch_server.residency import MISS_RETENTION, DemandKey, DemandShare


@dataclass(slots=True)
class _Misses:
    """Requests that missed one model, and when the first and the last one did."""

    first_at: timedelta
    last_at: timedelta
    count: int = 0


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
                misses.last_at = now
                misses.count += share.missed
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
                misses.count,
            )
            for key, misses in self._misses.items()
            if misses.first_at < now
        ]
