"""Routing replayed alone: engines with prefix caches, slow ones and dead ones.

The dispatchers and the cache intake are the daemon's; engines are stand-ins on a
clock that is moved.
"""

import heapq
import itertools
import json
import random
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta

from replay._slots import Slots, Work
from runhatch_coordination import RetryBudget
from runhatch_coordination.testing import ManualClock
from runhatch_server.configuration import parse_deployment
from runhatch_server.decisions._prefixes import prefix_blocks
from runhatch_server.observability import Metrics
from runhatch_server.refusals import Refusal
from runhatch_server.serving import (
    CacheIntake,
    CallerRequest,
    Dispatcher,
    Grant,
    Hosting,
    Picture,
    Route,
    RouteKind,
    Waiter,
)
from runhatch_server.targets import (
    AttemptReason,
    CacheEvent,
    CacheEvents,
    NotSent,
    ReportedLoad,
    UnknownResult,
)

SLOTS = 8
PREFILL_PER_BLOCK = 0.02
TOKENS_SECONDS = 0.6
DEADLINE = timedelta(seconds=8)
CONNECT_SECONDS = 1.0
POLL = 0.01
ROUTE = Route(RouteKind.MODEL, "m")


@dataclass(frozen=True, slots=True)
class RoutingSize:
    """How large the system is, and what is asked of it."""

    workers: int = 9
    nodes: int = 9
    rate: float = 60.0
    seconds: float = 120.0
    groups: int = 200
    blocks: int = 8
    cache_blocks: int = 300
    affinity: bool = True
    events: bool = False
    event_lag: float = 0.5
    event_gaps: float = 0.0
    seed: int = 1


@dataclass(slots=True)
class RoutingResult:
    """What came of a replay; times in seconds."""

    requests: int = 0
    in_time: int = 0
    refused: int = 0
    failed_attempts: int = 0
    asked_blocks: int = 0
    cached_blocks: int = 0
    first_tokens: list[float] = field(default_factory=list)
    arrivals_by_worker: list[tuple[float, str]] = field(default_factory=list)
    outcomes: list[tuple[float, bool]] = field(default_factory=list)
    """When each request came, and whether it was answered in time."""

    def close(self, request: CallerRequest, in_time: bool) -> None:
        """Note what became of a request."""
        self.in_time += in_time
        self.outcomes.append((request.received.total_seconds(), in_time))


class StandInEngine(Slots):
    """Slots, a queue, a cache of blocks and the events it publishes."""

    def __init__(self, size: RoutingSize) -> None:
        super().__init__(SLOTS)
        self._routing = size
        self._cache: OrderedDict[str, None] = OrderedDict()
        self._events: list[tuple[float, CacheEvent]] = []
        self._numbers = itertools.count()
        self.slow = 1.0
        self.dead = False
        self.now: Callable[[], float] = lambda: 0.0

    def prefill(self, blocks: tuple[str, ...]) -> int:
        """Return how many ``blocks`` are cached, and cache the others."""
        cached = sum(block in self._cache for block in blocks)
        for block in blocks:
            if block not in self._cache:
                self._publish(block, True)
            self._cache[block] = None
            self._cache.move_to_end(block)
        while len(self._cache) > self._routing.cache_blocks:
            dropped, _ = self._cache.popitem(last=False)
            self._publish(dropped, False)
        return cached

    def cache_events(self, after: int, limit: int) -> CacheEvents:
        """Tell what was published, late and with gaps."""
        seen = self.now() - self._routing.event_lag
        start = max(0, after + 1 - self._events[0][1].sequence) if self._events else 0
        told = [
            e for at, e in itertools.islice(self._events, start, None) if at <= seen
        ]
        last = told[-1].sequence if told else after
        gaps = self._routing.event_gaps
        kept = [e for e in told if random.Random(e.sequence).random() >= gaps]
        return CacheEvents(tuple(kept[:limit]), last)

    def _publish(self, block: str, stored: bool) -> None:
        event = CacheEvent(next(self._numbers), block, stored)
        self._events.append((self.now(), event))


class RoutingReplay:
    """One run; ``at`` lets a caller plan a disturbance."""

    def __init__(self, size: RoutingSize) -> None:
        self.size = size
        self.result = RoutingResult()
        self._random = random.Random(size.seed)
        self._clock = ManualClock()
        self._events: list[tuple[float, int, Work]] = []
        self._order = itertools.count()
        deployment = parse_deployment(json.dumps(_document(size.workers)).encode())
        picture = Picture()
        picture.configure(deployment)
        names = [f"w{i}" for i in range(size.workers)]
        for name in names:
            picture.learn(Hosting(name, 1, ("m@1",)))
        self.engines = {name: StandInEngine(size) for name in names}
        for engine in self.engines.values():
            engine.now = lambda: self.now
        self._nodes = [
            Dispatcher(
                picture, self._clock, f"d{i % 3}", 64, 1.0, size.seed + i, size.affinity
            )
            for i in range(size.nodes)
        ]
        self._budgets = [RetryBudget() for _ in self._nodes]
        if size.events:
            self._start_intakes(picture)

    @property
    def now(self) -> float:
        """Seconds since the start."""
        return self._clock.elapsed().total_seconds()

    def at(self, seconds: float, work: Work) -> None:
        """Have ``work`` done at ``seconds``."""
        heapq.heappush(self._events, (seconds, next(self._order), work))

    def run(self) -> RoutingResult:
        """Replay all arrivals and return what came of them."""
        groups = list(range(self.size.groups))
        weights = [1 / (rank + 1) for rank in groups]
        at = 0.0
        while (at := at + self._random.expovariate(self.size.rate)) < self.size.seconds:
            group = self._random.choices(groups, weights)[0]
            node = self._random.randrange(self.size.nodes)
            self.at(at, lambda g=group, n=node: self._arrive(g, n))
        while self._events:
            seconds, _, work = heapq.heappop(self._events)
            self._clock._elapsed = timedelta(seconds=seconds)
            work()
        return self.result

    def _start_intakes(self, picture: Picture) -> None:
        urls = {url: self.engines[name] for name, url in picture.target_urls().items()}
        for node in self._nodes:
            intake = CacheIntake(node, picture, Metrics(), 4, urls.__getitem__)
            for second in range(1, int(self.size.seconds)):
                self.at(second, intake.read_round)

    def _arrive(self, group: int, node: int) -> None:
        self.result.requests += 1
        now = self._clock.elapsed()
        text = f"{group:08d}" * (self.size.blocks * 256 // 8)
        request = CallerRequest(
            "", "caller", ROUTE, "POST", "/", 3, now, now + DEADLINE, True, None, b"",
            prefix=prefix_blocks("m", text),
        )  # fmt: skip
        self._enter(request, node, frozenset())

    def _enter(
        self, request: CallerRequest, node: int, avoided: frozenset[str]
    ) -> None:
        entered = self._nodes[node].enter(request, avoided)
        if isinstance(entered, Waiter):
            give_up = self.now + max(0.0, entered.patience.total_seconds())
            self._poll(entered, request, node, avoided, give_up)
        else:
            self._granted(entered, request, node, avoided)

    def _poll(
        self,
        waiter: Waiter[Grant],
        request: CallerRequest,
        node: int,
        avoided: frozenset[str],
        give_up: float,
    ) -> None:
        if waiter.settled.is_set() or self.now >= give_up - POLL / 100:
            self._granted(self._nodes[node].leave(waiter), request, node, avoided)
            return
        following = min(give_up, self.now + POLL)
        self.at(following, lambda: self._poll(waiter, request, node, avoided, give_up))

    def _granted(
        self,
        grant: Grant | Refusal,
        request: CallerRequest,
        node: int,
        avoided: frozenset[str],
    ) -> None:
        if isinstance(grant, Refusal):
            self._refused(request)
            return
        name = grant.host.target
        self.result.arrivals_by_worker.append((self.now, name))
        engine = self.engines[name]
        if engine.dead:
            self.at(
                self.now + CONNECT_SECONDS,
                lambda: self._failed(grant, request, node, avoided),
            )
            return
        sent = self.now
        engine.begin(lambda: self._run(grant, request, node, engine, sent))

    def _failed(
        self, grant: Grant, request: CallerRequest, node: int, avoided: frozenset[str]
    ) -> None:
        self.result.failed_attempts += 1
        self._nodes[node].failed(grant, NotSent(AttemptReason.CONNECT_FAILED))
        if self._budgets[node].withdraw():
            self._enter(request, node, avoided | {grant.host.target})
        else:
            self._refused(request)

    def _refused(self, request: CallerRequest) -> None:
        self.result.refused += 1
        self.result.close(request, in_time=False)

    def _run(
        self,
        grant: Grant,
        request: CallerRequest,
        node: int,
        engine: StandInEngine,
        sent: float,
    ) -> None:
        cached = engine.prefill(request.prefix)
        self.result.asked_blocks += len(request.prefix)
        self.result.cached_blocks += cached
        prefill = PREFILL_PER_BLOCK * (len(request.prefix) - cached) * engine.slow
        first = self.now + prefill
        received = request.received.total_seconds()
        self.result.first_tokens.append(first - received)
        end = first + TOKENS_SECONDS * engine.slow
        deadline = request.deadline.total_seconds()
        self.at(end, engine.end)

        def finish() -> None:
            load = ReportedLoad(engine.running, len(engine.queue))
            first_byte = timedelta(seconds=first - sent)
            self._nodes[node].completed(grant, first_byte, load)
            self._budgets[node].deposit()
            self.result.close(request, in_time=True)

        def give_up() -> None:
            outcome = UnknownResult(AttemptReason.TIMED_OUT)
            self._nodes[node].failed(grant, outcome)
            self.result.close(request, in_time=False)

        self.at(min(end, deadline), finish if end <= deadline else give_up)


def _document(workers: int) -> dict[str, object]:
    targets = [
        {
            "name": f"w{i}",
            "url": f"http://127.0.0.1:{9_000 + i}",
            "failure_domain": f"d{i % 3}",
            "memory_mb": 100,
            "concurrency": SLOTS,
            "fencing": "refuses",
        }
        for i in range(workers)
    ]
    model = {"name": "m", "pool": "p", "memory_mb": 10, "loading_peak_mb": 1}
    return {"pools": [{"name": "p", "targets": targets}], "models": [model]}
