"""The controls of all targets: met as they are listed, and asked for reports."""

from collections.abc import Iterator
from datetime import timedelta

from runhatch_coordination import Clock, Unavailable
from runhatch_server.fleet import Directory, Target
from runhatch_server.observability import log_change
from runhatch_server.residency._calls import TargetCalls
from runhatch_server.residency._control import Step, TargetControl
from runhatch_server.residency._handover import OrderTimes
from runhatch_server.residency._load_runner import DeclaredModels
from runhatch_server.residency._orders import OrderClient, TargetReport

ORDER_ARRIVES = timedelta(milliseconds=800)
"""Longest time that an order is on its way."""
RECHECK_AFTER = timedelta(seconds=4)
"""How long a target's own entry may differ from what the orderer believes before a
report is asked for."""


class TargetControls:
    """One control for each life of each target that runs models, by incarnation.

    Used by the orderer's rounds alone.
    """

    def __init__(
        self,
        directory: Directory,
        client: OrderClient,
        calls: TargetCalls,
        times: OrderTimes,
        declared: DeclaredModels,
        clock: Clock,
    ) -> None:
        self._directory = directory
        self._client = client
        self._calls = calls
        self._times = times
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
        """Forget all targets, as another node has ordered them since."""
        self._controls.clear()

    def meet(self, epoch: int) -> bool:
        """Take in which targets there are, and tell whether one of them is new.

        ``epoch`` is that of the lease which orders are given under.
        """
        known = {
            target.incarnation: target
            for target in self._directory.all()
            if self._declared.engine(target.service) is not None
        }
        self._lose_all_but(known)
        now = self._clock.elapsed()
        before = len(self._controls)
        ordered_before = self._times.ordered_before(epoch)
        for incarnation, target in known.items():
            control = self._controls.get(incarnation)
            if control is None:
                control = _new_control(target, now)
                self._controls[incarnation] = control
            # Also of targets met before: the last holder's word may have come late.
            control.order_from = self._times.may_order_from(target.name)
            if target.name in ordered_before:
                control.order_from = max(control.order_from, now + ORDER_ARRIVES)
            control.met(target)
            control.arrive(now)
        return len(self._controls) > before

    def ask_reports(self, now: timedelta) -> None:
        """Ask for the reports that are due."""
        for control in self:
            if control.calling:
                continue
            if control.step is Step.IDLE:
                self._recheck(control, now)
            elif now >= control.ask_at:
                self._ask(control)

    def _lose_all_but(self, known: dict[str, Target]) -> None:
        named = {target.name for target in known.values()}
        for incarnation in set(self._controls) - set(known):
            gone = self._controls.pop(incarnation).target.name
            if gone not in named:
                self._times.forget(gone, self._clock.elapsed())

    def _recheck(self, control: TargetControl, now: timedelta) -> None:
        """Ask again if the target itself tells something else for long."""
        listed = frozenset(control.target.held.adapters_by_model)
        if listed == frozenset(control.held):
            control.ask_at = now + RECHECK_AFTER
        elif now >= control.ask_at:
            control.ask_at = now + RECHECK_AFTER
            self._ask(control)

    def _ask(self, control: TargetControl) -> None:
        target = control.target
        self._calls.start(
            control,
            lambda: self._client.report(target),
            lambda report: self._reported(control, report),
        )

    def _reported(self, control: TargetControl, report: object) -> None:
        now = self._clock.elapsed()
        if not isinstance(report, TargetReport):
            assert isinstance(report, Unavailable)
            control.unanswered(now)
            return
        before = control.step
        control.reported(report, now)
        if before is not control.step:
            log_change(
                "target_settled",
                target=control.target.incarnation,
                after=before.value,
                models=sorted(control.held),
                in_memory=sorted(control.copies_in_memory),
                on_disk=sorted(control.copies_on_disk),
                orders=control.orders,
            )


def _new_control(target: Target, now: timedelta) -> TargetControl:
    control = TargetControl(target, ask_at=now)
    held = target.held.adapters_by_model
    control.held = {model: set(names) for model, names in held.items()}
    return control
