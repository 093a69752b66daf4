"""What the orderer tells of the targets: what each holds, and when loads are done."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from datetime import timedelta

from runhatch_server.fleet import ExpectedLoad, HeldModels
from runhatch_server.residency._control import (
    UNLOAD_TIME,
    Intent,
    Step,
    TargetControl,
)

TELL_ALL_EVERY = timedelta(seconds=3)
"""How often what all targets hold is told again, for nodes that missed some of it."""
REPORT_TIME = timedelta(milliseconds=220)
"""From the end of a load until it is known here: the report's lag and a round."""


@dataclass(frozen=True, slots=True)
class Holding:
    """What one target holds, and the loads under way there."""

    target: str
    held: HeldModels
    loads: tuple[ExpectedLoad, ...]


OnHoldings = Callable[[int, list[Holding]], None]
LoadTime = Callable[[TargetControl, str], timedelta]


class HoldingsTeller:
    """Tells what has changed each round, and everything now and then.

    ``load_time`` returns how long a model takes to be loaded on a target.
    """

    def __init__(self, on_holdings: OnHoldings, load_time: LoadTime) -> None:
        self._on_holdings = on_holdings
        self._load_time = load_time
        self._told_all = timedelta(days=-1)

    def begin(self) -> None:
        """Tell everything in the next round."""
        self._told_all = timedelta(days=-1)

    def tell(
        self, epoch: int, controls: Iterable[TargetControl], now: timedelta
    ) -> None:
        """Tell, as the holder of ``epoch``, of targets that have changed."""
        everything = now - self._told_all >= TELL_ALL_EVERY
        if everything:
            self._told_all = now
        told = [
            control
            for control in controls
            if control.step is not Step.UNKNOWN and (everything or control.changed)
        ]
        holdings = [self._holding(control, now) for control in told]
        for control in told:
            control.changed = False
        if holdings:
            self._on_holdings(epoch, holdings)

    def _holding(self, control: TargetControl, now: timedelta) -> Holding:
        name = control.target.incarnation
        loads: tuple[ExpectedLoad, ...] = ()
        if control.loading:
            ready_at = control.ready_at + REPORT_TIME
            loads = (ExpectedLoad(name, control.loading, ready_at),)
        elif control.intent is not None:
            loads = (self._expected(control, control.intent, now),)
        return Holding(name, control.view(), loads)

    def _expected(
        self, control: TargetControl, intent: Intent, now: timedelta
    ) -> ExpectedLoad:
        """Return when a load that waits for room may be done."""
        unloading = len([m for m in intent.evict if m in control.held])
        took = UNLOAD_TIME * unloading + self._load_time(control, intent.model)
        return ExpectedLoad(control.target.incarnation, intent.model, now + took)
