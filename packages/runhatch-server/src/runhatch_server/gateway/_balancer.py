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
from runhatch_server.gateway._load import (
    BASE_MS,
    LATE_TIER,
    STREAM_TOKENS_AT_ONCE,
    LoadShare,
    Outstanding,
    TargetLoad,
    WorkRates,
)
from runhatch_server.gateway._messages import GatewayRequest, ModelWork
from runhatch_server.routing import EngineSpec, RequestKind, ServiceSpec
from runhatch_server.serving import Executed, PrefixIndex, Reason, Refusal

ELSEWHERE_MS = 3.0
"""What another failure domain costs: the way there and back, and bytes that are
paid for."""
HANDSHAKE_MS = 8.0
"""What a new connection costs: a millisecond or more at the target, a slot that may
be held meanwhile, and its price."""
FAULT_COST = 1.5
"""Times the goal that a failed request is taken to cost beside waiting."""
SILENT_COST_MS = 10_000.0
"""Put on a target from which nothing is heard: any other goes first."""
SLOW_START_FACTOR = 1.5
"""Slowness of a target that has just started, until it says otherwise."""
RUN_MS = 1_500.0
"""Usual time between first and last token; a request beyond the slots waits for
one to end."""
TOKEN_MS = 20.0
"""Usual time between two tokens of a stream at a busy engine."""
BEGIN_SLACK = timedelta(milliseconds=200)
"""A late answer is begun only if it is predicted so long before its caller leaves."""
SCORE_JITTER = 0.03
"""Keeps nodes that know the same from choosing the same target at once."""
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
    candidates: int
    most_connections: int


@dataclass(frozen=True, slots=True)
class _Wait:
    """Nothing yet; it is worth waiting for news until then."""

    until: timedelta
    reason: Reason
    target: str = ""


@dataclass(slots=True)
class _HeldPlace:
    """A held request, and the target whose load it waits for."""

    number: int
    since: timedelta
    target: str = ""


@dataclass(frozen=True, slots=True)
class _Scored:
    target: Target
    score: float
    predicted_ms: float
    work_ms: float


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
        self._failure_domain = failure_domain
        self._on_missing = on_missing
        self._has_connection = has_connection
        self._on_change = on_change
        self._random = random.Random(seed)
        self._lock = threading.Lock()
        self._loads: dict[str, TargetLoad] = {}
        self._rates = WorkRates()
        self._prefixes = PrefixIndex()
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
        place = _HeldPlace(next(self._numbers), self._clock.elapsed())
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
        place: _HeldPlace,
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
            load = self._loads.get(grant.target.incarnation)
            if load is None:
                return
            load.heard_at = now
            outstanding = load.own.get(grant.number)
            if outstanding is None or outstanding.started:
                return
            outstanding.started = True
            work = grant.request.work
            if work is not None:
                took = now - outstanding.sent_at
                load.began(outstanding.predicted_ms, took, now)
                self._rates.first_token(work.model, outstanding, took)
                blocks = _prefix_blocks(work)
                self._prefixes.stored(grant.target.incarnation, blocks)

    def released(self, grant: Grant, faulty: bool) -> None:
        """Give the place back; ``faulty`` if the target failed the request."""
        now = self._clock.elapsed()
        with self._lock:
            load = self._load(grant.target.incarnation)
            load.own.pop(grant.number, None)
            load.noted(faulty, now)
            if not faulty:
                load.heard_at = now
                load.shut_times = 0
                if grant.request.work is None:
                    took = now - grant.granted_at
                    self._rates.served(grant.request.route.name, took)

    def refused(self, grant: Grant) -> None:
        """Give the place back; the target had no room, and ran nothing."""
        self._pass_over(grant, BUSY_HOLDS)

    def unreachable(self, grant: Grant) -> None:
        """Give the place back; no connection to the target could be made."""
        with self._lock:
            load = self._load(grant.target.incarnation)
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
            load = self._loads.get(target)
            return load is not None and load.shut_times >= DOWN_AFTER

    def work_ms(self, request: GatewayRequest) -> float:
        """Return how long reading the whole prompt of ``request`` would take."""
        with self._lock:
            return self._full_work_ms(request)

    def shares(self) -> dict[str, LoadShare]:
        """Return what this node has outstanding at each target."""
        now = self._clock.elapsed()
        with self._lock:
            return {
                target: load.share(now)
                for target, load in self._loads.items()
                if load.own
            }

    def peer_shares(
        self, node: str, shares: Mapping[str, LoadShare], whole: bool
    ) -> None:
        """Take in what ``node`` has outstanding at some targets.

        If ``whole``, it has nothing at others.
        """
        now = self._clock.elapsed()
        with self._lock:
            for load in self._loads.values() if whole else ():
                load.peers.pop(node, None)
            for target, share in shares.items():
                self._load(target).peers[node] = (share, now)

    def forget_unknown(self) -> None:
        """Drop what is kept of targets that are no more."""
        with self._lock:
            for target in list(self._loads):
                known = self._directory.get(target) is not None
                if not known and not self._loads[target].own:
                    del self._loads[target]
                    self._prefixes.forget(target)

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
        place: _HeldPlace | None,
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
        self, request: GatewayRequest, place: _HeldPlace | None
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
            load = self._load(expected.target)
            since = now if place is None else place.since
            ahead_ms = load.held_ahead_ms(since, now) + self._full_work_ms(request)
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
        place: _HeldPlace | None,
    ) -> Grant | Refusal:
        now = self._clock.elapsed()
        open_targets = [t for t in targets if self._is_open(t, now)] or targets
        tier = _tier(request)
        best = self._best(request, service, open_targets, tier, now, place)
        if self._late_by(request, best.predicted_ms, now) > timedelta():
            # It gives way to requests in time, and is still worth something late.
            tier = LATE_TIER
            best = self._best(request, service, open_targets, tier, now, place)
            late_by = _too_late(request, best.predicted_ms, now)
            if late_by > timedelta():
                return self._refuse(request, Reason.GOAL_UNMEETABLE, late_by)
        number = next(self._numbers)
        tokens = 0
        if request.work is not None:
            tokens = request.work.prompt_tokens + request.work.expected_output
        load = self._load(best.target.incarnation)
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
            len(open_targets),
            max(LEAST_CONNECTIONS, share),
        )

    def _best(
        self,
        request: GatewayRequest,
        service: ServiceSpec,
        targets: list[Target],
        tier: int,
        now: timedelta,
        place: _HeldPlace | None,
    ) -> _Scored:
        """Return the target that would begin first, counting what goes before."""
        scored = [self._score(request, service, t, tier, now, place) for t in targets]
        return min(scored, key=lambda found: found.score)

    def _late_by(
        self, request: GatewayRequest, predicted_ms: float, now: timedelta
    ) -> timedelta:
        """Return by how much the answer would begin too late, zero if in time."""
        begins = now + timedelta(milliseconds=predicted_ms)
        if request.route.kind is RequestKind.STREAM:
            return max(timedelta(), begins - request.goal_at)
        return max(timedelta(), begins - request.deadline)

    def _score(
        self,
        request: GatewayRequest,
        service: ServiceSpec,
        target: Target,
        tier: int,
        now: timedelta,
        place: _HeldPlace | None,
    ) -> _Scored:
        load = self._load(target.incarnation)
        total = load.total(now)
        work_ms = 0.0
        if request.work is not None and service.engine is not None:
            uncached = self._uncached(target, request.work)
            work_ms = self._rates.prompt_ms(request.work.model, uncached)
            predicted = _engine_ms(service.engine, request.work, total, work_ms, tier)
            predicted *= load.factor(now)
            if place is not None or tier == LATE_TIER:
                since = now if place is None else place.since
                predicted += load.held_ahead_ms(since, now)
        else:
            usual = self._rates.service_ms(request.route.name)
            beyond = max(0, total.waiting + total.running + 1 - target.slots)
            predicted = usual * (1 + beyond / max(1, target.slots))
        if target.slow_start_left > timedelta():
            predicted *= SLOW_START_FACTOR
        score = predicted * self._random.uniform(1 - SCORE_JITTER, 1 + SCORE_JITTER)
        if target.failure_domain != self._failure_domain:
            score += ELSEWHERE_MS
        if not self._has_connection(target.incarnation):
            score += HANDSHAKE_MS
        goal_ms = request.route.goal / timedelta(milliseconds=1)
        score += load.fault_rate(now) * FAULT_COST * goal_ms
        if load.is_silent(now):
            score += SILENT_COST_MS
        return _Scored(target, score, predicted, work_ms)

    def _full_work_ms(self, request: GatewayRequest) -> float:
        work = request.work
        if work is None:
            return 0.0
        return self._rates.prompt_ms(work.model, work.prompt_tokens)

    def _uncached(self, target: Target, work: ModelWork) -> int:
        blocks = _prefix_blocks(work)
        matched = self._prefixes.matched(target.incarnation, blocks)
        cached = sum(part.tokens for part in work.prompt[:matched])
        return max(1, work.prompt_tokens - cached)

    def _is_open(self, target: Target, now: timedelta) -> bool:
        return now >= self._load(target.incarnation).shut_until

    def _pass_over(self, grant: Grant, pause: timedelta) -> None:
        now = self._clock.elapsed()
        with self._lock:
            load = self._load(grant.target.incarnation)
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

    def _hold_at(self, request: GatewayRequest, target: str, place: _HeldPlace) -> None:
        """Count ``request`` among what waits for a load at ``target``."""
        if place.target == target:
            return
        self._leave(place)
        if not target:
            return
        place.target = target
        with self._lock:
            held = Outstanding(
                self._full_work_ms(request), 0, place.since, 0.0, LATE_TIER, held=True
            )
            self._load(target).own[place.number] = held

    def _leave(self, place: _HeldPlace) -> None:
        """Count a held request no longer."""
        if place.target:
            with self._lock:
                self._load(place.target).own.pop(place.number, None)
            place.target = ""

    def _hold(self, longest: timedelta) -> None:
        """Wait for news of the targets."""
        self._held += 1
        try:
            with self._directory.news:
                self._directory.news.wait(longest.total_seconds())
        finally:
            self._held -= 1

    def _load(self, target: str) -> TargetLoad:
        load = self._loads.get(target)
        if load is None:
            load = TargetLoad()
            self._loads[target] = load
        return load


def _engine_ms(
    engine: EngineSpec,
    work: ModelWork,
    total: LoadShare,
    work_ms: float,
    tier: int,
) -> float:
    """Return the predicted time to the first token at an engine."""
    predicted = BASE_MS + sum(total.waiting_ms[: tier + 1]) + work_ms
    beyond = total.waiting + total.running + 1 - engine.slots
    if beyond > 0:
        predicted += RUN_MS * beyond / engine.slots
    room = engine.kv_tokens * STREAM_TOKENS_AT_ONCE
    lacking = total.tokens + work.prompt_tokens + work.expected_output - room
    if engine.kv_tokens and lacking > 0:
        predicted += RUN_MS * lacking / engine.kv_tokens
    return predicted


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


def _prefix_blocks(work: ModelWork) -> tuple[str, ...]:
    """Return a name for each leading run of parts, which only like prompts share."""
    names = []
    chain = f"{work.model}/{work.adapter}"
    for part in work.prompt:
        chain = f"{chain}:{part.name}"
        names.append(chain)
    return tuple(names)
