"""Run the orderer on the node that holds the orders lease.

The holder of the lease reads reports, plans, and sends orders. Its state that is not in
the store is rebuilt from reports after a takeover.

Rounds may take long where there are many targets, so nothing else waits for one. The
task that renews the lease sets a :class:`_Term` to show rounds that they run under
another lease, and demand from peers is queued in an inbox. When both waited for the
lock of a round, a holder of 70 targets resigned every four seconds and received a
missed model ten seconds late.
"""

import threading
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, replace
from datetime import timedelta

from runhatch_coordination import (
    Clock,
    Epoch,
    Lease,
    LeaseChange,
    LeaseRecord,
    Takeover,
    Vacancy,
)
from runhatch_server.fleet import TargetDirectory
from runhatch_server.observability import Metrics
from runhatch_server.residency._adapter_policy import plan_adapters
from runhatch_server.residency._calls import TargetCalls
from runhatch_server.residency._controls import TargetControls
from runhatch_server.residency._copies import CopyPlanner
from runhatch_server.residency._demand import DemandBook, DemandShare
from runhatch_server.residency._demand_inbox import DemandInbox, DemandMessage
from runhatch_server.residency._fleet_view import FleetView, group_by_service
from runhatch_server.residency._handover import MAX_ORDER_DELAY, OrderTimes, Resignation
from runhatch_server.residency._lease_log import LeaseLog
from runhatch_server.residency._load_runner import DeclaredModels, LoadRunner
from runhatch_server.residency._orders import OrderClient
from runhatch_server.residency._policy import plan_models
from runhatch_server.residency._publishing import HoldingsPublisher, OnHoldings
from runhatch_server.residency._round_log import RoundLog
from runhatch_server.residency._sending import OrderSender
from runhatch_server.routing import ServiceSpec

RESIGN_MARGIN = timedelta(milliseconds=700)
"""A holder that cannot renew resigns this long before its lease lapses, so that peers
that reach the store take over 2 s sooner, and order most targets at once."""


MIN_ROUND_PAUSE = timedelta(milliseconds=5)
"""Minimum pause after a round. A target takes some milliseconds to answer a call, so
that an earlier round finds few new answers. It is small against the 400 ms for which
requests wait for an adapter, which takes several rounds."""
MAX_ROUND_PAUSE = timedelta(milliseconds=500)
"""Maximum pause after a round: rounds send adapter orders, and requests that need an
adapter wait for about 400 ms."""
ROUND_PAUSE_FACTOR = 2
"""Length of a pause as a multiple of the round before it, so that rounds use at most a
third of one core; the same VM answers callers and renews the lease."""


@dataclass(frozen=True, slots=True)
class _Term:
    """One period during which this node holds the lease; ``epoch`` is 0 for none."""

    epoch: int = 0
    takeover: Takeover | None = None
    is_resigned: bool = False


NO_TERM = _Term()


class Orderer:
    """Orders all targets while this node holds the lease.

    One task calls :meth:`keep_lease`, another :meth:`step`, so that targets that do not
    answer cannot make the holder miss its renewal. State of rounds belongs to the task
    that calls :meth:`step`; only the term, the last resignation and the inbox are
    shared, under locks that are held briefly.
    """

    def __init__(
        self,
        lease: Lease,
        node: str,
        directory: TargetDirectory,
        client: OrderClient,
        clock: Clock,
        metrics: Metrics,
        on_holdings: OnHoldings,
        on_answer: Callable[[], None],
        is_down: Callable[[str], bool],
        rate_limits: Callable[[], Mapping[str, float]],
        work_times: Callable[[], Mapping[str, float]],
        newest_epoch: Callable[[], int],
        handover: timedelta,
        load_window: timedelta,
    ) -> None:
        self._lease = lease
        self._node = node
        self._directory = directory
        self._clock = clock
        self._metrics = metrics
        self._is_down = is_down
        self._rate_limits = rate_limits
        self._work_times = work_times
        self._newest_epoch = newest_epoch
        self._order_times = OrderTimes(handover)
        self._last_resignation: tuple[Resignation, timedelta] | None = None
        self._declared = DeclaredModels()
        self._calls = TargetCalls(on_answer)
        sender = OrderSender(
            client,
            self._calls,
            self._order_times,
            clock,
            metrics,
            node,
            self._may_send,
            self._declared.load_time,
        )
        self._load_runner = LoadRunner(self._declared, sender, clock, load_window)
        self._publisher = HoldingsPublisher(on_holdings, self._declared.load_time)
        self._lease_log = LeaseLog(metrics)
        self._round_log = RoundLog(metrics)
        self._inbox = DemandInbox()
        self._lock = threading.Lock()
        self._term = NO_TERM
        self._round_lock = threading.Lock()
        self._round_term = NO_TERM
        self._demand = DemandBook()
        self._copy_planner = CopyPlanner(clock.elapsed())
        self._controls = TargetControls(
            directory, client, self._calls, self._order_times, self._declared, clock
        )
        self._stopped = False
        self._pause = MIN_ROUND_PAUSE

    def declare(self, services: Mapping[str, ServiceSpec]) -> None:
        """Replace the declared services."""
        self._declared.services = services

    @property
    def record(self) -> LeaseRecord | None:
        """The lease as last read or written by this node."""
        return self._lease.record

    @property
    def round_pause(self) -> timedelta:
        """How long to pause after the last round."""
        return self._pause

    def holds_lease(self) -> Epoch | None:
        """Return the epoch if this node holds the lease and is not stopped."""
        return None if self._stopped else self._lease.held_epoch()

    def _may_send(self) -> Epoch | None:
        """Return the epoch if an order sent now arrives before the lease lapses."""
        return (
            self.holds_lease()
            if self._lease.remaining_validity() > MAX_ORDER_DELAY
            else None
        )

    @property
    def has_work(self) -> bool:
        """Whether :meth:`step` has anything to do, which requires an acquired lease."""
        return self._term.epoch != 0

    def keep_lease(self, eager: bool) -> LeaseChange:
        """Renew, acquire or check the lease, whichever is due."""
        if self._stopped:
            return LeaseChange.NONE
        started_at, remaining = self._clock.elapsed(), self._lease.remaining_validity()
        change = self._lease.step(eager)
        takeover = None
        if change is LeaseChange.ACQUIRED:
            takeover = self._lease.takeover
            self._start_term()
        self._lease_log.log_step(
            change,
            self._term.epoch,
            remaining,
            started_at,
            self._clock.elapsed(),
            self._newest_epoch(),
            takeover,
        )
        return change

    def resign_if_lapsing(self) -> Resignation | None:
        """Resign if the lease is about to lapse or has just lapsed.

        The holdings of targets are still published until another node holds the lease.
        """
        return self._resign("cannot renew", RESIGN_MARGIN)

    def resign(self, reason: str) -> Resignation | None:
        """Resign although the lease is valid, so that another node can acquire it."""
        return self._resign(reason, timedelta.max)

    def _resign(self, reason: str, max_remaining: timedelta) -> Resignation | None:
        with self._lock:
            term, remaining = self._term, self._lease.remaining_validity()
            if not term.epoch or term.is_resigned or remaining > max_remaining:
                return None
            self._term = replace(term, is_resigned=True)
            self._lease.abandon()
        now = self._clock.elapsed()
        self._lease_log.log_resignation(term.epoch, remaining, now, reason)
        return self._order_times.make_resignation(term.epoch, now)

    def record_resignation(self, resignation: Resignation) -> None:
        """Record the resignation of a previous holder, even if it arrives late."""
        with self._lock:
            last = self._last_resignation
            if last is None or last[0].epoch < resignation.epoch:
                self._last_resignation = resignation, self._clock.elapsed()
            takeover = self._lease.takeover
            if (
                self._term.epoch
                and takeover is not None
                and takeover.previous_epoch == resignation.epoch
            ):
                self._wait_for_last_holder(takeover)
        self._lease.observe_resignation(resignation.epoch)

    def stop(self) -> Resignation | None:
        """Stop sending orders; return the resignation if the lease is held.

        The resignation should reach the peers before the lease is released.
        """
        with self._round_lock:
            self._stopped = True
        self._calls.close()
        with self._lock:
            term, self._term = self._term, NO_TERM
        if not term.epoch or term.is_resigned:
            return None
        return self._order_times.make_resignation(term.epoch, self._clock.elapsed())

    def release(self) -> None:
        """Release the lease after :meth:`stop`, so that a successor need not wait."""
        self._lease.release()

    def add_demand(
        self,
        node: str,
        shares: Iterable[DemandShare],
        age: timedelta = timedelta(),
    ) -> None:
        """Queue the demand that ``node`` received within ``age``."""
        self._inbox.put(DemandMessage(node, tuple(shares), self._clock.elapsed(), age))

    def step(self) -> None:
        """Run one round: apply answers, request reports, plan, order and publish.

        Reports are requested before orders may be sent, and after the lease has lapsed
        until another node holds it. Requests for models loaded in the meantime are then
        served, instead of being refused until the next orders.
        """
        with self._round_lock:
            started_at = self._clock.elapsed()
            self._inbox.drain_into(self._demand)
            self._adopt_term()
            if self._is_term_over():
                self._end_term()
            elif self._round_term.epoch:
                self._run_round()
                self._record_round(started_at)

    def run_paced_round(self) -> None:
        """Run a round, then pause even if another one was requested or it failed."""
        try:
            self.step()
        finally:
            if self.has_work:
                self._clock.sleep(self._pause)

    def _record_round(self, started_at: timedelta) -> None:
        ended_at = self._clock.elapsed()
        pause = (ended_at - started_at) * ROUND_PAUSE_FACTOR
        self._pause = min(max(pause, MIN_ROUND_PAUSE), MAX_ROUND_PAUSE)
        self._round_log.record_round(
            started_at, ended_at, len(self._controls), self._inbox
        )

    def _adopt_term(self) -> None:
        """Reset the state of rounds if the lease was acquired since the last round."""
        with self._lock:
            term = self._term
        previous, self._round_term = self._round_term, term
        if term.epoch == previous.epoch:
            return
        now = self._clock.elapsed()
        self._controls.clear()
        self._load_runner.record_takeover(now)
        takeover = term.takeover
        if takeover is not None and takeover.vacancy is not Vacancy.NEVER_HELD:
            self._copy_planner.record_takeover(now)
        self._publisher.schedule_full_update()

    def _is_term_over(self) -> bool:
        """Return whether this node stopped or another node took over."""
        if not self._round_term.epoch or self.holds_lease() is not None:
            return False
        return self._stopped or self._newest_epoch() > self._round_term.epoch

    def _run_round(self) -> None:
        epoch = self.holds_lease()
        if epoch is not None and epoch.number != self._round_term.epoch:
            return
        if self._controls.update_targets(self._round_term.epoch):
            self._copy_planner.record_new_target(self._clock.elapsed())
        self._calls.apply_answers(self._controls)
        now = self._clock.elapsed()
        self._controls.request_reports(now)
        if epoch is not None:
            self._load_runner.send_next_orders(self._controls, epoch, now)
            self._plan(epoch, now)
        self._publisher.publish_changes(self._round_term.epoch, self._controls, now)

    def _start_term(self) -> None:
        """Start a new term, whose orders are delayed after those of the last holder."""
        epoch, takeover = self._lease.held_epoch(), self._lease.takeover
        with self._lock:
            if (
                takeover is not None
                and takeover.vacancy is Vacancy.OWN_PREVIOUS_PROCESS
            ):
                now = self._clock.elapsed()
                self._order_times.start_after_restart(takeover.free_since, now)
            elif takeover is not None and takeover.is_from_other_node:
                self._wait_for_last_holder(takeover)
            number = 0 if epoch is None else epoch.number
            self._term = _Term(number, takeover)

    def _wait_for_last_holder(self, takeover: Takeover) -> None:
        last = self._last_resignation
        if last is not None and last[0].epoch == takeover.previous_epoch:
            self._order_times.start_after_resignation(*last)
        elif takeover.free_since is not None:
            self._order_times.start_after_lapse(takeover.free_since)

    def _end_term(self) -> None:
        self._controls.clear()
        self._calls.ignore_pending()
        with self._lock:
            if self._term.epoch == self._round_term.epoch:
                self._term = NO_TERM
        self._round_term = NO_TERM
        # The gauge of the node that orders now counts.
        self._metrics.longest_miss_seconds.clear()

    def _plan(self, epoch: Epoch, now: timedelta) -> None:
        ready_targets = {
            target.incarnation
            for service in self._declared.services
            for target in self._directory.ready_targets(service)
            if not self._is_down(target.incarnation)
        }
        controls = [c for c in self._controls if c.target.incarnation in ready_targets]
        limits, work_times = self._rate_limits(), self._work_times()
        for service, members in group_by_service(controls).items():
            engine = self._declared.engine(service)
            if engine is None:
                continue
            for member in members:
                for model, adapters in member.held_models().adapters_by_model.items():
                    self._demand.record_held(service, model, adapters)
            view = FleetView(
                service, engine, members, self._demand, now, limits, work_times
            )
            adapter_plan = plan_adapters(view)
            for adapter in adapter_plan.loads:
                control = self._controls[adapter.target]
                self._load_runner.load_adapter(control, adapter, epoch)
            self._load_runner.deferral_log.log_adapters(adapter_plan.deferred, now)
            plan = plan_models(view)
            for load in plan.loads:
                self._load_runner.start_load(
                    self._controls[load.target], load, epoch, now
                )
            self._load_runner.deferral_log.log_models(plan.deferred, now)
            self._metrics.longest_miss_seconds.labels(service).set(
                max(
                    (each.missed_for.total_seconds() for each in plan.deferred),
                    default=0.0,
                )
            )
            for load in self._copy_planner.plan_copies(view):
                control = self._controls[load.target]
                if self._load_runner.start_load(control, load, epoch, now):
                    self._copy_planner.record_copy(service, load, now)
