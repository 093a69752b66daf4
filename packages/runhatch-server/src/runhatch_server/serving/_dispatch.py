"""Giving requests slots at targets: limits, the queue, admission by deadline."""

import itertools
import random
import threading
from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from datetime import timedelta

from runhatch_coordination import Clock
from runhatch_server.decisions._prefixes import PrefixIndex
from runhatch_server.refusals import Executed, Reason, Refusal
from runhatch_server.serving._picture import Host, Picture
from runhatch_server.serving._queue import Waiter, WaitingRequests
from runhatch_server.serving._rates import DrainRate, ServiceTime
from runhatch_server.serving._request import CallerRequest, Route
from runhatch_server.serving._router import Choice, Router
from runhatch_server.serving._target_state import TargetState
from runhatch_server.targets import (
    AttemptReason,
    CacheEvent,
    NotSent,
    RefusedUnrun,
    ReportedLoad,
    UnknownResult,
)

SHORTEST_RETRY_AFTER = timedelta(seconds=1)
LONGEST_RETRY_AFTER = timedelta(seconds=30)
RETRY_AFTER_JITTER = 0.25
NO_REPLICA_WAIT = timedelta(seconds=5)
"""How long a request waits for a model of which no replica is known."""
LOOK_AGAIN = timedelta(milliseconds=250)
"""How often one that waits looks for a place by itself: a rest that ends gives back no
place, which is what wakes it otherwise."""
TARGET_FAULTS = frozenset(
    {
        AttemptReason.CONNECT_FAILED,
        AttemptReason.BROKEN,
        AttemptReason.WRONG_ANSWER,
        AttemptReason.SERVER_ERROR,
        AttemptReason.STALLED,
        AttemptReason.TIMED_OUT,
    }
)


@dataclass(frozen=True, slots=True)
class Grant:
    """One slot at one target; must be given back by ``completed`` or ``failed``."""

    choice: Choice
    route: Route
    granted_at: timedelta
    usual: timedelta
    """How long requests of the route usually took by then; zero if not known."""
    prefix: tuple[str, ...] = ()

    @property
    def host(self) -> Host:
        """The target the slot is at."""
        return self.choice.host


@dataclass(slots=True)
class _RouteState:
    drain: DrainRate = field(default_factory=DrainRate)
    service: ServiceTime = field(default_factory=ServiceTime)


class Dispatcher:
    """All slots and waiting requests of one node; safe for many threads."""

    def __init__(
        self,
        picture: Picture,
        clock: Clock,
        failure_domain: str,
        queue_limit: int,
        caller_share: float,
        seed: int | None = None,
        affinity: bool = True,
    ) -> None:
        self._picture = picture
        self._clock = clock
        self._random = random.Random(seed)
        self._prefixes = PrefixIndex()
        self._router = Router(failure_domain, self._prefixes, self._random, affinity)
        self._lock = threading.Lock()
        self._states: dict[str, TargetState] = {}
        self._routes: dict[Route, _RouteState] = defaultdict(_RouteState)
        self._waiting: WaitingRequests[Grant] = WaitingRequests(
            queue_limit, caller_share
        )
        self._draining: frozenset[str] = frozenset()
        self._sequence = itertools.count()

    @property
    def queued(self) -> int:
        """Requests waiting now."""
        return len(self._waiting)

    def drain(self, targets: frozenset[str]) -> None:
        """Give no new work to ``targets`` from now on; replaces the earlier set."""
        with self._lock:
            self._draining = targets
            self._pump()

    def acquire(
        self,
        request: CallerRequest,
        avoided_targets: frozenset[str] = frozenset(),
        avoided_domains: frozenset[str] = frozenset(),
    ) -> Grant | Refusal:
        """Wait for a slot for ``request``; a refusal comes as soon as it is sure.

        Refusals say ``executed: no``, which holds for this attempt only.
        """
        entered = self.enter(request, avoided_targets, avoided_domains)
        if not isinstance(entered, Waiter):
            return entered
        until = self._clock.elapsed() + entered.patience
        while not entered.settled.is_set():
            left = until - self._clock.elapsed()
            if left <= timedelta():
                break
            if not entered.settled.wait(min(left, LOOK_AGAIN).total_seconds()):
                self.picture_changed()
        return self.leave(entered)

    def enter(
        self,
        request: CallerRequest,
        avoided_targets: frozenset[str] = frozenset(),
        avoided_domains: frozenset[str] = frozenset(),
    ) -> Grant | Refusal | Waiter[Grant]:
        """Return a slot, a refusal, or a place in the queue, without waiting.

        A waiter must be left once it is settled or its patience is over.
        """
        waiter: Waiter[Grant] = Waiter(
            request.route,
            request.caller,
            request.priority,
            request.deadline,
            next(self._sequence),
            request.prefix,
            avoided_targets,
            avoided_domains,
        )
        with self._lock:
            rest = self._rest_of_all(waiter)
            if rest is not None:
                return Refusal(Reason.TARGETS_REST, Executed.NO, retry_after=rest)
            if not self._waiting.ahead(waiter):
                grant = self._try_grant(waiter)
                if grant is not None:
                    return grant
            refusal = self._admit(waiter)
            if refusal is not None:
                return refusal
            self._waiting.add(waiter)
            waiter.patience = self._patience(waiter)
            return waiter

    def leave(self, waiter: Waiter[Grant]) -> Grant | Refusal:
        """Return what came of waiting."""
        with self._lock:
            if waiter.grant is not None:
                return waiter.grant
            self._waiting.remove(waiter)
            retry_after = self._retry_after(waiter.route)
            reason = self._why_not_served(waiter)
            return Refusal(reason, Executed.NO, retry_after=retry_after)

    def completed(
        self,
        grant: Grant,
        first_byte: timedelta,
        load: ReportedLoad | None,
    ) -> None:
        """Give the slot back after a complete answer."""
        with self._lock:
            now = self._clock.elapsed()
            state = self._state(grant.host)
            took = now - grant.granted_at
            state.limit.answered(first_byte, state.outstanding, now)
            state.reported(load, now)
            route = self._routes[grant.route]
            state.succeeded(took, route.service.mean, now)
            route.drain.note(now)
            route.service.note(took)
            self._prefixes.stored(grant.host.target, grant.prefix)
            self._give_back(state, grant)

    def failed(
        self, grant: Grant, outcome: NotSent | RefusedUnrun | UnknownResult
    ) -> None:
        """Give the slot back after an attempt without a complete answer."""
        with self._lock:
            now = self._clock.elapsed()
            state = self._state(grant.host)
            if outcome.reason is AttemptReason.TARGET_BUSY:
                state.limit.refused(now)
            if outcome.reason in TARGET_FAULTS:
                state.failed(now)
            if isinstance(outcome, RefusedUnrun) and outcome.retry_after is not None:
                # It knows best when it can take work; others wait their turn.
                asked = now + outcome.retry_after
                state.rests_until = max(state.rests_until, asked)
            self._give_back(state, grant)

    def prefix_targets(self) -> list[str]:
        """Return the targets that are believed to have prefixes cached."""
        with self._lock:
            return self._prefixes.targets()

    def cache_news(self, target: str, events: Iterable[CacheEvent]) -> None:
        """Take in a target's cache events.

        A block that another node's request stored is of use only if it is met here.
        """
        latest = {event.block: event.stored for event in events}
        with self._lock:
            stored = [b for b in latest if latest[b] and self._prefixes.is_known(b)]
            for block in latest.keys() - set(stored):
                self._prefixes.dropped(target, block)
            self._prefixes.stored(target, stored)

    def cache_lost(self, target: str) -> None:
        """Forget what a target had cached; it started anew."""
        with self._lock:
            self._prefixes.forget(target)

    def picture_changed(self) -> None:
        """Give slots that a new picture opened to those who wait."""
        with self._lock:
            self._pump()

    def loads(self) -> dict[str, tuple[int, int]]:
        """Return outstanding requests and limit of each target in use."""
        with self._lock:
            return {
                name: (state.outstanding, state.limit.value)
                for name, state in self._states.items()
            }

    def retry_after(self, route: Route) -> timedelta:
        """Return when coming back may help, from the observed drain rate."""
        with self._lock:
            return self._retry_after(route)

    def _state(self, host: Host) -> TargetState:
        state = self._states.get(host.target)
        if state is None:
            state = TargetState(host.concurrency, self._random)
            self._states[host.target] = state
        return state

    def _working_hosts(self, route: Route) -> list[Host]:
        """Return those that serve ``route`` and are not about to leave."""
        hosts = self._picture.hosts(route)
        return [host for host in hosts if host.target not in self._draining]

    def _hosts(self, waiter: Waiter[Grant]) -> Sequence[Host]:
        now = self._clock.elapsed()
        hosts = [
            host
            for host in self._working_hosts(waiter.route)
            if now >= self._state(host).rests_until
        ]
        fresh = [host for host in hosts if host.target not in waiter.avoided_targets]
        return fresh or hosts

    def _rest_of_all(self, waiter: Waiter[Grant]) -> timedelta | None:
        """Return what is left of the shortest rest, if all who could serve rest."""
        now = self._clock.elapsed()
        hosts = self._working_hosts(waiter.route)
        rests = [self._state(host).rests_until - now for host in hosts]
        if not rests or min(rests) <= timedelta():
            return None
        return min(rests) * self._random.uniform(1, 1 + RETRY_AFTER_JITTER)

    def _try_grant(self, waiter: Waiter[Grant]) -> Grant | None:
        now = self._clock.elapsed()
        choice = self._router.choose(
            self._hosts(waiter),
            self._states,
            waiter.prefix,
            waiter.avoided_domains,
            now,
        )
        if choice is None:
            return None
        usual = self._routes[waiter.route].service.mean or timedelta()
        self._state(choice.host).granted(now, usual)
        return Grant(choice, waiter.route, now, usual, waiter.prefix)

    def _admit(self, waiter: Waiter[Grant]) -> Refusal | None:
        late = self._predict_late(waiter)
        reason = late or self._waiting.refuse(waiter)
        if reason is None:
            return None
        return Refusal(reason, Executed.NO, retry_after=self._retry_after(waiter.route))

    def _predict_late(self, waiter: Waiter[Grant]) -> Reason | None:
        now = self._clock.elapsed()
        route = self._routes[waiter.route]
        rate = route.drain.per_second(now)
        if not rate:
            return None
        wait = timedelta(seconds=(self._waiting.ahead(waiter) + 1) / rate)
        service = route.service.mean or timedelta()
        if now + wait + service > waiter.deadline:
            return Reason.DEADLINE_UNMEETABLE
        return None

    def _patience(self, waiter: Waiter[Grant]) -> timedelta:
        """Return how long waiting can still lead to an answer in time."""
        service = self._routes[waiter.route].service.mean or timedelta()
        patience = waiter.deadline - service - self._clock.elapsed()
        if not self._picture.hosts(waiter.route):
            return min(patience, NO_REPLICA_WAIT)
        return patience

    def _why_not_served(self, waiter: Waiter[Grant]) -> Reason:
        if waiter.shed:
            return Reason.SHED
        if not self._picture.hosts(waiter.route):
            return Reason.NO_REPLICA
        return Reason.DEADLINE_UNMEETABLE

    def _retry_after(self, route: Route) -> timedelta:
        rate = self._routes[route].drain.per_second(self._clock.elapsed())
        backlog = len(self._waiting.waiting(route)) + 1
        wait = timedelta(seconds=backlog / rate) if rate else SHORTEST_RETRY_AFTER
        wait = min(max(wait, SHORTEST_RETRY_AFTER), LONGEST_RETRY_AFTER)
        return wait * self._random.uniform(1, 1 + RETRY_AFTER_JITTER)

    def _give_back(self, state: TargetState, grant: Grant) -> None:
        state.returned(grant.granted_at, grant.usual)
        self._pump()

    def _pump(self) -> None:
        """Grant what can be granted, each route's first waiter first."""
        for route in self._waiting.routes():
            for waiter in self._waiting.waiting(route):
                grant = self._try_grant(waiter)
                if grant is None:
                    break
                self._waiting.remove(waiter)
                waiter.grant = grant
                waiter.settled.set()
