"""Records for the next orderer since when models have been missed."""

from collections.abc import Callable, Iterable
from datetime import timedelta

from runhatch_server.residency import MISS_RETENTION, DemandKey, DemandShare


class MissedModels:
    """Models that requests of this node missed and that no target has held since.

    They are sent to a new orderer: the time for which a model has been missed decides
    when it is loaded, and no other process knows it once the orderer has ended.
    """

    def __init__(self) -> None:
        self._miss_times: dict[DemandKey, tuple[timedelta, timedelta]] = {}

    def update(
        self,
        shares: Iterable[DemandShare],
        is_held: Callable[[DemandKey], bool],
        now: timedelta,
    ) -> None:
        """Record models missed up to ``now``; drop held and expired ones."""
        for share in shares:
            if share.missed:
                since, _ = self._miss_times.get(share.key, (now, now))
                self._miss_times[share.key] = since, now
        expired = [
            key
            for key, (_, last_missed) in self._miss_times.items()
            if now - last_missed > MISS_RETENTION or is_held(key)
        ]
        for key in expired:
            del self._miss_times[key]

    def shares(self, now: timedelta) -> list[DemandShare]:
        """Return missed models, each with the time for which it has been missed."""
        return [
            DemandShare(key, 0, 0, 0.0, now - since)
            for key, (since, _) in self._miss_times.items()
            if since < now
        ]
