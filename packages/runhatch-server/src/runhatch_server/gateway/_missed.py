"""Since when each model is missed on this node, for whoever orders the targets next."""

from collections.abc import Callable, Iterable
from datetime import timedelta

from runhatch_server.residency import MISSES_REMEMBERED, DemandShare, Wanted


class MissedModels:
    """Models that requests of this node missed and that nobody has held since.

    A new orderer is told of them: how long a model has been missed decides when it
    gets its turn, and that is known to nobody else once an orderer has ended.
    """

    def __init__(self) -> None:
        self._times: dict[Wanted, tuple[timedelta, timedelta]] = {}

    def note(
        self,
        shares: Iterable[DemandShare],
        is_held: Callable[[Wanted], bool],
        now: timedelta,
    ) -> None:
        """Take in what was missed until ``now``, and drop what is held."""
        for share in shares:
            if share.missed:
                since, _ = self._times.get(share.wanted, (now, now))
                self._times[share.wanted] = since, now
        over = [
            wanted
            for wanted, (_, last) in self._times.items()
            if now - last > MISSES_REMEMBERED or is_held(wanted)
        ]
        for wanted in over:
            del self._times[wanted]

    def shares(self, now: timedelta) -> list[DemandShare]:
        """Return what is missed, each with how long it has been."""
        return [
            DemandShare(wanted, 0, 0, 0.0, now - since)
            for wanted, (since, _) in self._times.items()
            if since < now
        ]
