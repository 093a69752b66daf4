"""Which target a request goes to, or why none: admission and routing in one place.

A target is chosen by when the first byte of its answer is predicted.  A request
that no target would begin in time is refused at once; one whose model is on its way
to a target waits for it, as long as that can still end in an answer.
"""

import itertools
import random
import threading
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from datetime import timedelta

from runhatch_coordination import Clock
from runhatch_server.fleet import Directory, Target
from runhatch_server.gateway._load import LATE_TIER, LoadShare, Outstanding
from runhatch_server.gateway._load_book import LoadBook
from runhatch_server.gateway._messages import GatewayRequest
from runhatch_server.gateway._scoring import HeldPlace, Scorer
from runhatch_server.routing import RequestKind, ServiceSpec
from runhatch_server.serving import Executed, Reason, Refusal

TOKEN_MS = 20.0
"""Usual time between two tokens of a stream at a busy engine."""
BEGIN_SLACK = timedelta(milliseconds=200)
"""A late answer is begun only if it is predicted so long before its caller leaves."""
ADAPTER_WAIT = timedelta(milliseconds=400)
"""How long a request waits for an adapter whose model is held: loading one takes
some ten milliseconds, telling of it as much again."""
PLAN_WAIT = timedelta(milliseconds=200)
PLAN_WAIT_SHARE = 0.125
"""How long a request waits to hear whether its model will be loaded: so long, or
this share of its goal, in which others may be loaded first."""
MISSING_RETRY = (
    timedelta(seconds=1.5),
    timedelta(seconds=1.5),
    timedelta(seconds=3),
    timedelta(seconds=3),
)
"""When a caller may come back whose model nobody holds, by rank: a load takes two
seconds from a target's disk, and callers wait a third of their time at the most."""
LOAD_SLACK = timedelta(seconds=1)
"""How much later than announced a load may be done."""
MOST_HELD = 48
"""Requests that wait for a model on one node; each holds a thread."""
GONE_CHECK = timedelta(milliseconds=150)
SHORTEST_RETRY = timedelta(milliseconds=250)
LONGEST_RETRY = timedelta(seconds=4)
BUSY_HOLDS = timedelta(milliseconds=200)
"""How long a target that refused for load is passed over."""
DOWN_AFTER = 2
"""Times in a row that a target could not be reached before others replace it."""
FIRST_SHUT = timedelta(milliseconds=500)
LONGEST_SHUT = timedelta(seconds=4)
"""How long a target that could not be reached is passed over, doubled each time."""
LAST_STREAMS = timedelta(seconds=2.5)
"""How long a stopping node begins streams: later ones would be cut at its end, and
the balancer has had time to look twice by then."""
LEAST_CONNECTIONS = 4


@dataclass(frozen=True, slots=True)
class Grant:
    """A place for one request at one target; must be given back by ``released``."""

    number: int
    target: Target
    request: GatewayRequest
    predicted_ms: float
    granted_at: timedelta
    tier: int
    most_connections: int


@dataclass(frozen=True, slots=True)
class _Wait:
    """Nothing yet; it is worth waiting for news until then."""

    until: timedelta
    reason: Reason
    target: str = ""


class Balancer:
    """All requests of one node that are at targets; safe for many threads."""

    def __init__(
        self,
        directory: Directory,
        clock: Clock,
        failure_domain: str,
        on_missing: Callable[[GatewayRequest], None],
        has_connection: Callable[[str], bool],
        on_change: Callable[[], None],
        seed: int | None = None,
    ) -> None:
        self._directory = directory
        self._clock = clock
        self._on_missing = on_missing
        self._on_change = on_change
        self._random = random.Random(seed)
        self._lock = threading.Lock()
        self._book = LoadBook()
        self._scorer = Scorer(self._book, failure_domain, has_connection, seed)
        self._services: Mapping[str, ServiceSpec] = {}
        self._numbers = itertools.count(1)
        self._held = 0
        self._closing_at: timedelta | None = None
        self.nodes = 1
        """Nodes that share the targets' connections."""

    @property
    def held(self) -> int:
        """Requests that wait for a model now."""
        return self._held

    def configure(self, services: Mapping[str, ServiceSpec]) -> None:
        """Use other declarations from now on."""
        self._services = services

    def close(self) -> None:
        """Refuse requests that wait for a model, now and from now on.

        Another node may wait for it; this one will not be there.
        """
        self._closing_at = self._clock.elapsed()
        with self._directory.news:
            self._directory.news.notify_all()

    def acquire(
        self,
        request: GatewayRequest,
        tried: frozenset[str],
        caller_gone: Callable[[], bool],
    ) -> Grant | Refusal:
        """Return a place for ``request``, or a refusal as soon as it is sure.

        Targets in ``tried`` are passed over if there are others.
        """
        if self._ends_too_soon_for(request):
            return Refusal(Reason.STOPPING, Executed.NO, retry_after=timedelta())
        found = self._find(request, tried, None)
        if not isinstance(found, _Wait):
            return found
        self._on_missing(request)
        place = HeldPlace(next(self._numbers), self._clock.elapsed())
        try:
            return self._wait(request, tried, caller_gone, found, place)
        finally:
            self._leave(place)

    def _wait(
        self,
        request: GatewayRequest,
        tried: frozenset[str],
        caller_gone: Callable[[], bool],
        found: _Wait,
        place: HeldPlace,
    ) -> Grant | Refusal:
        """Hold ``request`` until its model is there or it is known not to help."""
        while True:
            now = self._clock.elapsed()
            if self._closing_at is not None:
                return self._refuse(request, found.reason)
            if now >= found.until or self._held >= MOST_HELD:
                helps = MISSING_RETRY[_tier(request)]
                return self._refuse(request, found.reason, helps)
            if caller_gone():
                return Refusal(Reason.CALLER_GONE, Executed.NO)
            self._hold_at(request, found.target, place)
            self._hold(min(found.until - now, GONE_CHECK))
            following = self._find(request, tried, place)
            if not isinstance(following, _Wait):
                return following
            found = following

    def started(self, grant: Grant) -> None:
        """Take in that the first byte of the answer has come."""
        now = self._clock.elapsed()
        with self._lock:
            load = self._book.load(grant.target.incarnation)
            load.heard_at = now
            outstanding = load.own.get(grant.number)
            if outstanding is None or outstanding.started:
                return
            outstanding.started = True
            work = grant.request.work
            if work is not None:
                took = now - outstanding.sent_at
                self._book.began(grant.target.incarnation, work, outstanding, took)

    def released(self, grant: Grant, faulty: bool) -> None:
        """Give the place back; ``faulty`` if the target failed the request."""
        now = self._clock.elapsed()
        with self._lock:
            load = self._book.load(grant.target.incarnation)
            load.own.pop(grant.number, None)
            load.noted(faulty, now)
            if not faulty:
                load.heard_at = now
                load.shut_times = 0
                if grant.request.work is None:
                    took = now - grant.granted_at
                    self._book.rates.served(grant.request.route.name, took)

    def refused(self, grant: Grant) -> None:
        """Give the place back; the target had no room, and ran nothing."""
        self._pass_over(grant, BUSY_HOLDS)

    def unreachable(self, grant: Grant) -> None:
        """Give the place back; no connection to the target could be made."""
        with self._lock:
            load = self._book.load(grant.target.incarnation)
            pause = min(LONGEST_SHUT, FIRST_SHUT * (1 << min(load.shut_times, 4)))
            load.shut_times += 1
        self._pass_over(grant, pause)

    def misdirected(self, grant: Grant) -> None:
        """Give the place back; the target holds the model no longer, or not yet."""
        self._pass_over(grant, timedelta())
        request = grant.request
        target = grant.target.incarnation
        self._directory.correct(target, request.model, request.adapter)

    def is_down(self, target: str) -> bool:
        """Tell whether ``target`` could not be reached, again and again, till now."""
        with self._lock:
            return self._book.load(target).shut_times >= DOWN_AFTER

    def work_ms(self, request: GatewayRequest) -> float:
        """Return how long reading the whole prompt of ``request`` would take."""
        with self._lock:
            return self._book.full_work_ms(request)

    def shares(self) -> dict[str, LoadShare]:
        """Return what this node has outstanding at each target."""
        now = self._clock.elapsed()
        with self._lock:
            return self._book.shares(now)

    def peer_shares(
        self, node: str, shares: Mapping[str, LoadShare], whole: bool
    ) -> None:
        """Take in what ``node`` has outstanding at some targets.

        If ``whole``, it has nothing at others.
        """
        now = self._clock.elapsed()
        with self._lock:
            self._book.peer_shares(node, shares, whole, now)

    def forget_unknown(self) -> None:
        """Drop what is kept of targets that are no more."""
        with self._lock:
            self._book.forget(lambda name: self._directory.get(name) is not None)

    def _ends_too_soon_for(self, request: GatewayRequest) -> bool:
        """Tell whether this node is about to end, with ``request`` in progress."""
        closing_at = self._closing_at
        if closing_at is None or request.route.kind is not RequestKind.STREAM:
            return False
        return self._clock.elapsed() - closing_at >= LAST_STREAMS

    def _find(
        self,
        request: GatewayRequest,
        tried: frozenset[str],
        place: HeldPlace | None,
    ) -> Grant | Refusal | _Wait:
        service = self._services.get(request.service)
        if service is None or not self._directory.ready(request.service):
            return self._refuse(request, Reason.NO_TARGET)
        holders = self._directory.holders(
            request.service, request.model, request.adapter
        )
        if not holders:
            return self._missing(request, place)
        fresh = [t for t in holders if t.incarnation not in tried]
        with self._lock:
            return self._choose(request, service, fresh or holders, place)

    def _missing(
        self, request: GatewayRequest, place: HeldPlace | None
    ) -> _Wait | Refusal:
        """Decide about a request whose model or adapter no target holds."""
        now = self._clock.elapsed()
        model_held = self._directory.holders(request.service, request.model, "")
        if model_held and request.adapter:
            until = request.received + min(ADAPTER_WAIT, request.route.goal / 2)
            return _Wait(until, Reason.NO_REPLICA)
        expected = self._directory.expected(request.service, request.model)
        if expected is None:
            wait = max(PLAN_WAIT, request.route.goal * PLAN_WAIT_SHARE)
            return _Wait(request.received + wait, Reason.NO_REPLICA)
        ready_at = max(expected.ready_at, now)
        with self._lock:
            load = self._book.load(expected.target)
            since = now if place is None else place.since
            ahead_ms = load.held_ahead_ms(since, now) + self._book.full_work_ms(request)
        begins = ready_at + timedelta(milliseconds=ahead_ms)
        if begins + BEGIN_SLACK >= request.begin_by:
            return self._refuse(request, Reason.NO_REPLICA, begins - now)
        until = min(ready_at + LOAD_SLACK, request.begin_by - BEGIN_SLACK)
        return _Wait(until, Reason.NO_REPLICA, expected.target)

    def _choose(
        self,
        request: GatewayRequest,
        service: ServiceSpec,
        targets: list[Target],
        place: HeldPlace | None,
    ) -> Grant | Refusal:
        now = self._clock.elapsed()
        open_targets = [t for t in targets if self._is_open(t, now)] or targets
        tier = _tier(request)
        best = self._scorer.best(request, service, open_targets, tier, now, place)
        if self._late_by(request, best.predicted_ms, now) > timedelta():
            # It gives way to requests in time, and is still worth something late.
            tier = LATE_TIER
            best = self._scorer.best(request, service, open_targets, tier, now, place)
            late_by = _too_late(request, best.predicted_ms, now)
            if late_by > timedelta():
                return self._refuse(request, Reason.GOAL_UNMEETABLE, late_by)
        number = next(self._numbers)
        tokens = 0
        if request.work is not None:
            tokens = request.work.prompt_tokens + request.work.expected_output
        load = self._book.load(best.target.incarnation)
        load.own[number] = Outstanding(
            best.work_ms, tokens, now, best.predicted_ms, tier
        )
        self._on_change()
        share = service.max_connections // max(1, self.nodes)
        return Grant(
            number,
            best.target,
            request,
            best.predicted_ms,
            now,
            tier,
            max(LEAST_CONNECTIONS, share),
        )

    def _late_by(
        self, request: GatewayRequest, predicted_ms: float, now: timedelta
    ) -> timedelta:
        """Return by how much the answer would begin too late, zero if in time."""
        begins = now + timedelta(milliseconds=predicted_ms)
        if request.route.kind is RequestKind.STREAM:
            return max(timedelta(), begins - request.goal_at)
        return max(timedelta(), begins - request.deadline)

    def _is_open(self, target: Target, now: timedelta) -> bool:
        return now >= self._book.load(target.incarnation).shut_until

    def _pass_over(self, grant: Grant, pause: timedelta) -> None:
        now = self._clock.elapsed()
        with self._lock:
            load = self._book.load(grant.target.incarnation)
            load.own.pop(grant.number, None)
            load.shut_until = max(load.shut_until, now + pause)

    def _refuse(
        self,
        request: GatewayRequest,
        reason: Reason,
        helps_after: timedelta = timedelta(),
    ) -> Refusal:
        wait = min(max(helps_after, SHORTEST_RETRY), LONGEST_RETRY)
        wait *= self._random.uniform(1.0, 1.25)
        return Refusal(reason, Executed.NO, retry_after=wait)

    def _hold_at(self, request: GatewayRequest, target: str, place: HeldPlace) -> None:
        """Count ``request`` among what waits for a load at ``target``."""
        if place.target == target:
            return
        self._leave(place)
        if not target:
            return
        place.target = target
        with self._lock:
            held = Outstanding(
                self._book.full_work_ms(request),
                0,
                place.since,
                0.0,
                LATE_TIER,
                held=True,
            )
            self._book.load(target).own[place.number] = held

    def _leave(self, place: HeldPlace) -> None:
        """Count a held request no longer."""
        if place.target:
            with self._lock:
                self._book.load(place.target).own.pop(place.number, None)
            place.target = ""

    def _hold(self, longest: timedelta) -> None:
        """Wait for news of the targets."""
        self._held += 1
        try:
            with self._directory.news:
                self._directory.news.wait(longest.total_seconds())
        finally:
            self._held -= 1


def _too_late(
    request: GatewayRequest, predicted_ms: float, now: timedelta
) -> timedelta:
    """Return by how much an answer would begin or end too late to be of any use."""
    begins = now + timedelta(milliseconds=predicted_ms)
    output = 0 if request.work is None else request.work.expected_output
    ends = begins + timedelta(milliseconds=output * TOKEN_MS)
    return max(begins + BEGIN_SLACK - request.begin_by, ends - request.deadline)


def _tier(request: GatewayRequest) -> int:
    """Return the rank of a request that is in time."""
    return min(max(request.route.priority, 0), LATE_TIER - 1)
