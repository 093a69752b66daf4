"""The one node that orders targets: its lease, its rounds, and what it tells.

Whichever node holds the lease reads reports, plans, and sends orders.  Everything it
knows beyond the store is rebuilt from reports after a takeover.

Rounds may take long where there are many targets, so nothing else waits for one:
the task that keeps the lease tells rounds by a :class:`_Term` that they work under
another lease, and what peers tell of demand waits in an inbox.  When both waited for
the lock of a round, a holder of 70 targets gave its lease up each four seconds, and
heard of a missed model ten seconds late.
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
from runhatch_server.fleet import Directory
from runhatch_server.observability import Metrics
from runhatch_server.residency._adapter_policy import plan_adapters
from runhatch_server.residency._calls import TargetCalls
from runhatch_server.residency._controls import TargetControls
from runhatch_server.residency._copies import CopyPlanner
from runhatch_server.residency._demand import DemandBook, DemandShare
from runhatch_server.residency._demand_inbox import DemandInbox, DemandNews
from runhatch_server.residency._handover import OrderTimes, Resignation
from runhatch_server.residency._lease_log import LeaseLog
from runhatch_server.residency._load_runner import DeclaredModels, LoadRunner
from runhatch_server.residency._orders import OrderClient
from runhatch_server.residency._policy import plan_models
from runhatch_server.residency._round_log import RoundLog
from runhatch_server.residency._sending import OrderSender
from runhatch_server.residency._telling import HoldingsTeller, OnHoldings
from runhatch_server.residency._view import FleetView, by_service
from runhatch_server.routing import ServiceSpec

RESIGN_BEFORE = timedelta(milliseconds=700)
"""A holder that cannot renew gives the orders up so long before its lease lapses:
peers that reach the store go on 2 s sooner, and at once with most targets."""


MOST_REST = timedelta(milliseconds=500)
"""Longest pause after a round: adapters are ordered by rounds, and the requests that
wait for one do so for some 400 ms."""
REST_FACTOR = 2
"""A pause after a round is so many times as long as the round, so that a third of one
core goes to rounds at the most: the same VM answers callers and renews the lease."""


@dataclass(frozen=True, slots=True)
class _Term:
    """One holding of the lease by this node: ``epoch`` is 0 while there is none."""

    epoch: int = 0
    takeover: Takeover | None = None
    gave_up: bool = False


NO_TERM = _Term()


class Orderer:
    """Orders all targets while this node holds the lease.

    One task calls :meth:`keep_lease`, another :meth:`step`, so that targets which
    do not answer cannot make the holder miss its renewal.  What a round works with
    belongs to the task that calls :meth:`step`, and only the term, the last holder's
    word and the inbox are shared; they are held for a moment only.
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
        rate_limits: Callable[[], Mapping[str, float]],
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
        self._inbox = DemandInbox()
        self._lock = threading.Lock()
        self._term = NO_TERM
        self._round = threading.Lock()
        self._round_term = NO_TERM
        self._demand = DemandBook()
        self._copies = CopyPlanner(clock.elapsed())
        self._controls = TargetControls(
            directory, client, self._calls, self._times, self._declared, clock
        )
        self._stopped = False
        self._rest = timedelta()

    def declare(self, services: Mapping[str, ServiceSpec]) -> None:
        """Go by other declarations from now on."""
        self._declared.services = services

    @property
    def record(self) -> LeaseRecord | None:
        """The lease as last read or written here."""
        return self._lease.record

    @property
    def rest(self) -> timedelta:
        """How long to leave the processor to others after the last round."""
        return self._rest

    def holds_lease(self) -> Epoch | None:
        """Return the epoch if this node orders the targets right now."""
        return None if self._stopped else self._lease.held()

    @property
    def has_work(self) -> bool:
        """Whether :meth:`step` has anything to do: only after the lease was taken."""
        return self._term.epoch != 0

    def keep_lease(self, eager: bool) -> LeaseChange:
        """Renew, acquire or watch the lease, whichever is due."""
        if self._stopped:
            return LeaseChange.NONE
        begun, left = self._clock.elapsed(), self._lease.left()
        change = self._lease.step(eager)
        takeover = None
        if change is LeaseChange.ACQUIRED:
            takeover = self._lease.takeover
            self._taken_over()
        self._lease_log.note(
            change,
            self._term.epoch,
            left,
            begun,
            self._clock.elapsed(),
            self._newest_epoch(),
            takeover,
        )
        return change

    def resign_if_cut_off(self) -> Resignation | None:
        """Give the orders up if the lease is about to lapse, or has just lapsed.

        What targets hold is told all the same, until another node holds the lease.
        """
        with self._lock:
            term, left = self._term, self._lease.left()
            if not term.epoch or term.gave_up or left > RESIGN_BEFORE:
                return None
            self._term = replace(term, gave_up=True)
            self._lease.abandon()
        now = self._clock.elapsed()
        self._lease_log.resigned(term.epoch, left, now)
        return self._times.resignation(term.epoch, now)

    def take_in_resignation(self, resignation: Resignation) -> None:
        """Take in the last word of the holder before, also if it comes late."""
        with self._lock:
            known = self._resigned
            if known is None or known[0].epoch < resignation.epoch:
                self._resigned = resignation, self._clock.elapsed()
            takeover = self._lease.takeover
            if (
                self._term.epoch
                and takeover is not None
                and takeover.predecessor == resignation.epoch
            ):
                self._wait_for_last_holder(takeover)
        self._lease.observe_resigned(resignation.epoch)

    def stop(self) -> Resignation | None:
        """Give no further order; returns the last word if the lease is held.

        Peers should hear it before the lease is released.
        """
        with self._round:
            self._stopped = True
        self._calls.close()
        with self._lock:
            term, self._term = self._term, NO_TERM
        if not term.epoch or term.gave_up:
            return None
        return self._times.resignation(term.epoch, self._clock.elapsed())

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
        self._inbox.put(DemandNews(node, tuple(shares), self._clock.elapsed(), age))

    def step(self) -> None:
        """Make one round: take in answers, ask for reports, plan, order, tell.

        Reports are asked for before orders may be given, and after the lease has
        lapsed until another node holds it: what loads have brought since is served
        meanwhile, instead of being refused until the next orders.
        """
        with self._round:
            begun = self._clock.elapsed()
            self._inbox.empty_into(self._demand)
            self._begin_term()
            if self._is_over():
                self._forget()
            elif self._round_term.epoch:
                self._make_round()
                self._round_ended(begun)

    def _round_ended(self, begun: timedelta) -> None:
        ended = self._clock.elapsed()
        self._rest = min((ended - begun) * REST_FACTOR, MOST_REST)
        self._round_log.round(begun, ended, len(self._controls), self._inbox)

    def _begin_term(self) -> None:
        """Begin anew if the lease was taken since the last round."""
        with self._lock:
            term = self._term
        before, self._round_term = self._round_term, term
        if term.epoch == before.epoch:
            return
        now = self._clock.elapsed()
        self._controls.clear()
        self._runner.taken_over(now)
        takeover = term.takeover
        if takeover is not None and takeover.vacancy is not Vacancy.NEVER_HELD:
            self._copies.taken_over(now)
        self._teller.begin()

    def _is_over(self) -> bool:
        """Whether nothing is left to be told of the term that rounds work under."""
        if not self._round_term.epoch or self.holds_lease() is not None:
            return False
        return self._stopped or self._newest_epoch() > self._round_term.epoch

    def _make_round(self) -> None:
        epoch = self.holds_lease()
        if epoch is not None and epoch.number != self._round_term.epoch:
            return
        if self._controls.meet(self._round_term.epoch):
            self._copies.met(self._clock.elapsed())
        self._calls.take_answers(self._controls)
        now = self._clock.elapsed()
        self._controls.ask_reports(now)
        if epoch is not None:
            self._runner.go_on(self._controls, epoch, now)
            self._plan(epoch, now)
        self._teller.tell(self._round_term.epoch, self._controls, now)

    def _taken_over(self) -> None:
        """Have rounds begin anew, late enough after the last holder's orders."""
        epoch, takeover = self._lease.held(), self._lease.takeover
        with self._lock:
            if takeover is not None and takeover.is_from_another:
                self._wait_for_last_holder(takeover)
            number = 0 if epoch is None else epoch.number
            self._term = _Term(number, takeover)

    def _wait_for_last_holder(self, takeover: Takeover) -> None:
        resigned = self._resigned
        if resigned is not None and resigned[0].epoch == takeover.predecessor:
            self._times.take_over_from(*resigned)
        elif takeover.free_since is not None:
            self._times.take_over(takeover.free_since)

    def _forget(self) -> None:
        self._controls.clear()
        self._calls.forget()
        with self._lock:
            if self._term.epoch == self._round_term.epoch:
                self._term = NO_TERM
        self._round_term = NO_TERM

    def _plan(self, epoch: Epoch, now: timedelta) -> None:
        ready = {
            target.incarnation
            for service in self._declared.services
            for target in self._directory.ready(service)
            if not self._is_down(target.incarnation)
        }
        controls = [c for c in self._controls if c.target.incarnation in ready]
        limits = self._rate_limits()
        for service, members in by_service(controls).items():
            engine = self._declared.engine(service)
            if engine is None:
                continue
            for member in members:
                for model, adapters in member.view().adapters_by_model.items():
                    self._demand.met(service, model, adapters)
            view = FleetView(service, engine, members, self._demand, now, limits)
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
