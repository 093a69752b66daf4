"""Publish what each target holds, and when its loads are expected to end."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from datetime import timedelta

from runhatch_server.fleet import ExpectedLoad, HeldModels
from runhatch_server.residency._control import (
    UNLOAD_TIME,
    ControlState,
    Intent,
    TargetControl,
)

PUBLISH_ALL_INTERVAL = timedelta(seconds=3)
"""Interval at which the holdings of all targets are published again, for nodes that
missed an update."""
REPORT_DELAY = timedelta(milliseconds=220)
"""Time from the end of a load until it is known here: the lag of the report and a
round."""


@dataclass(frozen=True, slots=True)
class Holding:
    """What one target holds, and the loads in progress there."""

    target: str
    held: HeldModels
    loads: tuple[ExpectedLoad, ...]


OnHoldings = Callable[[int, list[Holding]], None]
LoadTime = Callable[[TargetControl, str], timedelta]


class HoldingsPublisher:
    """Publishes changed holdings each round, and all holdings at intervals.

    ``load_time`` returns how long a target takes to load a model.
    """

    def __init__(self, on_holdings: OnHoldings, load_time: LoadTime) -> None:
        self._on_holdings = on_holdings
        self._load_time = load_time
        self._all_published_at = timedelta(days=-1)

    def schedule_full_update(self) -> None:
        """Publish all holdings in the next round."""
        self._all_published_at = timedelta(days=-1)

    def publish_changes(
        self, epoch: int, controls: Iterable[TargetControl], now: timedelta
    ) -> None:
        """Publish, as the holder of ``epoch``, the holdings that have changed."""
        is_full_update = now - self._all_published_at >= PUBLISH_ALL_INTERVAL
        if is_full_update:
            self._all_published_at = now
        published = [
            control
            for control in controls
            if control.state is not ControlState.UNKNOWN
            and (is_full_update or control.needs_publishing)
        ]
        holdings = [self._holding(control, now) for control in published]
        for control in published:
            control.needs_publishing = False
        if holdings:
            self._on_holdings(epoch, holdings)

    def _holding(self, control: TargetControl, now: timedelta) -> Holding:
        name = control.target.incarnation
        loads: tuple[ExpectedLoad, ...] = ()
        if control.loading_model:
            ready_at = control.load_ready_at + REPORT_DELAY
            loads = (ExpectedLoad(name, control.loading_model, ready_at),)
        elif control.intent is not None:
            loads = (self._expected_load(control, control.intent, now),)
        return Holding(name, control.held_models(), loads)

    def _expected_load(
        self, control: TargetControl, intent: Intent, now: timedelta
    ) -> ExpectedLoad:
        """Return when a load that waits for free memory is expected to end."""
        unloading = len([m for m in intent.evictions if m in control.held])
        remaining = UNLOAD_TIME * unloading + self._load_time(control, intent.model)
        return ExpectedLoad(control.target.incarnation, intent.model, now + remaining)
