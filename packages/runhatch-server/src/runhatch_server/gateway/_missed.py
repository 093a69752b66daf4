"""Records since when models have been missed, for the next orderer of the targets."""

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
            wanted
            for wanted, (_, last_missed) in self._miss_times.items()
            if now - last_missed > MISS_RETENTION or is_held(wanted)
        ]
        for wanted in expired:
            del self._miss_times[wanted]

    def shares(self, now: timedelta) -> list[DemandShare]:
        """Return missed models, each with the time for which it has been missed."""
        return [
            DemandShare(wanted, 0, 0, 0.0, now - since)
            for wanted, (since, _) in self._miss_times.items()
            if since < now
        ]
