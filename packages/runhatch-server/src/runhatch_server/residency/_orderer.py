"""The one node that orders targets: its lease, its rounds, and what it tells.

Whichever node holds the lease reads reports, plans, and sends orders.  Everything it
knows beyond the store is rebuilt from reports after a takeover.
"""

import threading
from collections.abc import Callable, Iterable, Mapping
from datetime import timedelta

from runhatch_coordination import (
    Clock,
    Epoch,
    Lease,
    LeaseChange,
    LeaseRecord,
    Unavailable,
)
from runhatch_server.fleet import Directory, Target
from runhatch_server.observability import Metrics, log_change
from runhatch_server.residency._adapter_policy import plan_adapters
from runhatch_server.residency._calls import TargetCalls
from runhatch_server.residency._control import Step, TargetControl
from runhatch_server.residency._copies import CopyPlanner
from runhatch_server.residency._demand import DemandBook, DemandShare
from runhatch_server.residency._handover import OrderTimes, Resignation
from runhatch_server.residency._lease_log import LeaseLog
from runhatch_server.residency._load_runner import DeclaredModels, LoadRunner
from runhatch_server.residency._orders import (
    OrderClient,
    TargetReport,
)
from runhatch_server.residency._policy import plan_models
from runhatch_server.residency._round_log import RoundLog
from runhatch_server.residency._sending import OrderSender
from runhatch_server.residency._telling import HoldingsTeller, OnHoldings
from runhatch_server.residency._view import FleetView, by_service
from runhatch_server.routing import ServiceSpec

RECHECK_AFTER = timedelta(seconds=4)
"""How long a target's own entry may differ from what the orderer believes before a
report is asked for."""
RESIGN_BEFORE = timedelta(milliseconds=700)
"""A holder that cannot renew gives the orders up so long before its lease lapses:
peers that reach the store go on 2 s sooner, and at once with most targets."""


class Orderer:
    """Orders all targets while this node holds the lease.

    One task calls :meth:`keep_lease`, another :meth:`step`, so that targets which
    do not answer cannot make the holder miss its renewal.
    """

    def __init__(
        self,
        lease: Lease,
        node: str,
        directory: Directory,
        client: OrderClient,
        clock: Clock,
        metrics: Metrics,
        on_holdings: OnHoldings,
        on_answer: Callable[[], None],
        is_down: Callable[[str], bool],
        newest_epoch: Callable[[], int],
        handover: timedelta,
        load_window: timedelta,
    ) -> None:
        self._lease = lease
        self._node = node
        self._directory = directory
        self._client = client
        self._clock = clock
        self._metrics = metrics
        self._is_down = is_down
        self._newest_epoch = newest_epoch
        self._times = OrderTimes(handover)
        self._resigned: tuple[Resignation, timedelta] | None = None
        self._declared = DeclaredModels()
        self._calls = TargetCalls(on_answer)
        sender = OrderSender(
            client,
            self._calls,
            self._times,
            clock,
            metrics,
            node,
            self.holds_lease,
            self._declared.load_time,
        )
        self._runner = LoadRunner(self._declared, sender, clock, load_window)
        self._teller = HoldingsTeller(on_holdings, self._declared.load_time)
        self._lease_log = LeaseLog(metrics)
        self._round_log = RoundLog(metrics)
        self._lock = threading.Lock()
        self._demand = DemandBook()
        self._controls: dict[str, TargetControl] = {}
        self._copies = CopyPlanner(clock.elapsed())
        self._epoch = 0
        self._gave_up = False
        self._stopped = False

    def declare(self, services: Mapping[str, ServiceSpec]) -> None:
        """Go by other declarations from now on."""
        self._declared.services = services

    @property
    def record(self) -> LeaseRecord | None:
        """The lease as last read or written here."""
        return self._lease.record

    def holds_lease(self) -> Epoch | None:
        """Return the epoch if this node orders the targets right now."""
        return None if self._stopped else self._lease.held()

    @property
    def has_work(self) -> bool:
        """Whether :meth:`step` has anything to do: only after the lease was taken."""
        return self._epoch != 0

    def keep_lease(self, eager: bool) -> LeaseChange:
        """Renew, acquire or watch the lease, whichever is due."""
        if self._stopped:
            return LeaseChange.NONE
        begun, left = self._clock.elapsed(), self._lease.left()
        change = self._lease.step(eager)
        if change is LeaseChange.ACQUIRED:
            self._taken_over()
        self._lease_log.note(change, self._epoch, left, begun, self._clock.elapsed())
        return change

    def resign_if_cut_off(self) -> Resignation | None:
        """Give the orders up if the lease is about to lapse, or has just lapsed.

        What targets hold is told all the same, until another node holds the lease.
        """
        with self._lock:
            if not self._epoch or self._gave_up or self._lease.left() > RESIGN_BEFORE:
                return None
            self._gave_up = True
            left, now = self._lease.left(), self._clock.elapsed()
            self._lease.abandon()
            self._lease_log.resigned(self._epoch, left, now)
            return self._resignation()

    def take_in_resignation(self, resignation: Resignation) -> None:
        """Take in the last word of the holder before, also if it comes late."""
        with self._lock:
            known = self._resigned
            if known is None or known[0].epoch < resignation.epoch:
                self._resigned = resignation, self._clock.elapsed()
            if self._epoch and self._lease.taken_epoch == resignation.epoch:
                self._wait_for_last_holder()
                for control in self._controls.values():
                    name = control.target.name
                    control.order_from = self._times.may_order_from(name)
        self._lease.observe_resigned(resignation.epoch)

    def stop(self) -> Resignation | None:
        """Give no further order; returns the last word if the lease is held.

        Peers should hear it before the lease is released.
        """
        with self._lock:
            self._stopped = True
            epoch = self._epoch
        self._calls.close()
        with self._lock:
            resignation = self._resignation() if epoch and not self._gave_up else None
            self._epoch = 0
            self._controls.clear()
        return resignation

    def release(self) -> None:
        """Give the lease up after :meth:`stop`, so that another node need not wait."""
        self._lease.release()

    def asked(
        self,
        node: str,
        shares: Iterable[DemandShare],
        age: timedelta = timedelta(),
    ) -> None:
        """Take in what ``node`` was asked for within ``age``."""
        now = self._clock.elapsed()
        self._round_log.demand_waits()
        with self._lock:
            self._round_log.demand_taken()
            for share in shares:
                self._demand.add(node, share, now - age)
                self._demand.missed_before(share, now)

    def step(self) -> None:
        """Make one round: take in answers, ask for reports, plan, order, tell.

        Reports are asked for before orders may be given, and after the lease has
        lapsed until another node holds it: what loads have brought since is served
        meanwhile, instead of being refused until the next orders.
        """
        epoch = self.holds_lease()
        if epoch is None:
            if not self._epoch:
                return
            if self._stopped or self._newest_epoch() > self._epoch:
                self._forget()
                return
        elif epoch.number != self._epoch:
            return
        with self._lock:
            begun = self._clock.elapsed()
            self._meet_targets()
            self._calls.take_answers(self._controls)
            now = self._clock.elapsed()
            self._ask_reports(now)
            if epoch is not None:
                self._runner.go_on(self._controls.values(), epoch, now)
                self._plan(epoch, now)
            self._teller.tell(self._epoch, self._controls.values(), now)
            self._round_log.round(begun, self._clock.elapsed(), len(self._controls))

    def _taken_over(self) -> None:
        """Begin anew, so late that no order of the last holder is close behind."""
        epoch = self._lease.held()
        now = self._clock.elapsed()
        with self._lock:
            self._controls.clear()
            self._epoch = 0 if epoch is None else epoch.number
            self._gave_up = False
            self._runner.taken_over(now)
            if self._lease.taken_from is not None:
                self._copies.taken_over(now)
            if self._lease.taken_from not in (None, self._node):
                self._wait_for_last_holder()
            self._teller.begin()

    def _wait_for_last_holder(self) -> None:
        resigned = self._resigned
        if resigned is not None and resigned[0].epoch == self._lease.taken_epoch:
            self._times.take_over_from(*resigned)
        else:
            self._times.take_over(self._lease.free_since)

    def _resignation(self) -> Resignation:
        return self._times.resignation(self._epoch, self._clock.elapsed())

    def _forget(self) -> None:
        with self._lock:
            self._controls.clear()
            self._calls.forget()
            self._epoch = 0

    def _meet_targets(self) -> None:
        known = {
            target.incarnation: target
            for target in self._directory.all()
            if self._has_engine(target)
        }
        named = {target.name for target in known.values()}
        for incarnation in set(self._controls) - set(known):
            gone = self._controls.pop(incarnation).target.name
            if gone not in named:
                self._times.forget(gone, self._clock.elapsed())
        for incarnation, target in known.items():
            control = self._controls.get(incarnation)
            if control is None:
                control = TargetControl(target, ask_at=self._clock.elapsed())
                held = target.held.adapters_by_model
                control.held = {model: set(names) for model, names in held.items()}
                control.order_from = self._times.may_order_from(target.name)
                self._controls[incarnation] = control
                self._copies.met(self._clock.elapsed())
            control.met(target)
            control.arrive(self._clock.elapsed())

    def _has_engine(self, target: Target) -> bool:
        return self._declared.engine(target.service) is not None

    def _ask_reports(self, now: timedelta) -> None:
        for control in self._controls.values():
            if control.calling:
                continue
            if control.step is Step.IDLE:
                self._recheck(control, now)
                continue
            if now >= control.ask_at:
                self._ask(control)

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
        if isinstance(report, TargetReport):
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
            return
        assert isinstance(report, Unavailable)
        control.unanswered(now)

    # Planning and ordering.

    def _plan(self, epoch: Epoch, now: timedelta) -> None:
        ready = {
            target.incarnation
            for service in self._declared.services
            for target in self._directory.ready(service)
            if not self._is_down(target.incarnation)
        }
        controls = [c for c in self._controls.values() if c.target.incarnation in ready]
        for service, members in by_service(controls).items():
            engine = self._declared.engine(service)
            if engine is None:
                continue
            for member in members:
                for model, adapters in member.view().adapters_by_model.items():
                    self._demand.met(service, model, adapters)
            view = FleetView(service, engine, members, self._demand, now)
            adapter_plan = plan_adapters(view)
            for adapter in adapter_plan.loads:
                control = self._controls[adapter.target]
                self._runner.load_adapter(control, adapter, epoch)
            self._runner.left_log.note_adapters(adapter_plan.left, now)
            plan = plan_models(view)
            for load in plan.loads:
                self._runner.begin(self._controls[load.target], load, epoch, now)
            self._runner.left_log.note(plan.left, now)
            for load in self._copies.plan(view):
                control = self._controls[load.target]
                if self._runner.begin(control, load, epoch, now):
                    self._copies.made(service, load, now)
