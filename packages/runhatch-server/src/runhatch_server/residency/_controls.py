"""Keep one control for each listed target, and request the reports that are due."""

from collections.abc import Iterator
from datetime import timedelta

from runhatch_coordination import Clock, Unavailable
from runhatch_server.fleet import Target, TargetDirectory
from runhatch_server.observability import log_change
from runhatch_server.residency._calls import TargetCalls
from runhatch_server.residency._control import ControlState, TargetControl
from runhatch_server.residency._handover import MAX_ORDER_DELAY, OrderTimes
from runhatch_server.residency._load_runner import DeclaredModels
from runhatch_server.residency._orders import OrderClient, TargetReport

RECHECK_DELAY = timedelta(seconds=4)
"""How long a target's directory entry may differ from the orderer's state before a
report is requested."""


class TargetControls:
    """One control for each incarnation of each target that runs models.

    Keyed by incarnation; used only by the orderer's rounds.
    """

    def __init__(
        self,
        directory: TargetDirectory,
        client: OrderClient,
        calls: TargetCalls,
        times: OrderTimes,
        declared: DeclaredModels,
        clock: Clock,
    ) -> None:
        self._directory = directory
        self._client = client
        self._calls = calls
        self._order_times = times
        self._declared = declared
        self._clock = clock
        self._controls: dict[str, TargetControl] = {}

    def __iter__(self) -> Iterator[TargetControl]:
        return iter(self._controls.values())

    def __len__(self) -> int:
        return len(self._controls)

    def __contains__(self, incarnation: object) -> bool:
        return incarnation in self._controls

    def __getitem__(self, incarnation: str) -> TargetControl:
        return self._controls[incarnation]

    def clear(self) -> None:
        """Remove all targets, because another node has ordered them since."""
        self._controls.clear()

    def update_targets(self, epoch: int) -> bool:
        """Add and remove controls as targets are listed; return whether one was added.

        ``epoch`` is that of the lease under which orders are sent.
        """
        listed = {
            target.incarnation: target
            for target in self._directory.all()
            if self._declared.engine(target.service) is not None
        }
        self._remove_unlisted(listed)
        now = self._clock.elapsed()
        previous_count = len(self._controls)
        targets_in_flight = self._order_times.targets_in_flight_before(epoch)
        for incarnation, target in listed.items():
            control = self._controls.get(incarnation)
            if control is None:
                control = _new_control(target, now)
                self._controls[incarnation] = control
            # Updated each round, because the resignation of the previous holder may
            # arrive after the target was added.
            control.orderable_from = self._order_times.orderable_from(target.name)
            if target.name in targets_in_flight:
                control.orderable_from = max(
                    control.orderable_from, now + MAX_ORDER_DELAY
                )
            control.update_target(target)
            control.mark_adapters_loaded(now)
        return len(self._controls) > previous_count

    def request_reports(self, now: timedelta) -> None:
        """Request the reports that are due."""
        for control in self:
            if control.is_calling:
                continue
            if control.state is ControlState.IDLE:
                self._request_report_if_different(control, now)
            elif now >= control.report_due_at:
                self._request_report(control)

    def _remove_unlisted(self, listed: dict[str, Target]) -> None:
        listed_names = {target.name for target in listed.values()}
        for incarnation in set(self._controls) - set(listed):
            name = self._controls.pop(incarnation).target.name
            if name not in listed_names:
                self._order_times.remove_target(name, self._clock.elapsed())

    def _request_report_if_different(
        self, control: TargetControl, now: timedelta
    ) -> None:
        """Request a report if the target's entry has differed for too long."""
        listed = frozenset(control.target.held.adapters_by_model)
        if listed == frozenset(control.held):
            control.report_due_at = now + RECHECK_DELAY
        elif now >= control.report_due_at:
            control.report_due_at = now + RECHECK_DELAY
            self._request_report(control)

    def _request_report(self, control: TargetControl) -> None:
        target = control.target
        self._calls.start(
            control,
            lambda: self._client.fetch_report(target),
            lambda report: self._record_report(control, report),
        )

    def _record_report(self, control: TargetControl, report: object) -> None:
        now = self._clock.elapsed()
        if not isinstance(report, TargetReport):
            assert isinstance(report, Unavailable)
            control.record_no_report(now)
            return
        previous_step = control.state
        control.apply_report(report, now)
        if previous_step is not control.state:
            log_change(
                "target_settled",
                target=control.target.incarnation,
                after=previous_step.value,
                models=sorted(control.held),
                in_memory=sorted(control.copies_in_memory),
                on_disk=sorted(control.copies_on_disk),
                orders=control.accepted_orders,
            )


def _new_control(target: Target, now: timedelta) -> TargetControl:
    control = TargetControl(target, report_due_at=now)
    held = target.held.adapters_by_model
    control.held = {model: set(names) for model, names in held.items()}
    return control
