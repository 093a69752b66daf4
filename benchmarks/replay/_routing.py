"""Replays routing with prefix caches, slow engines and failed engines.

The dispatchers and the cache intake are the daemon's; the engines are simulated.
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
    CacheEventReader,
    CallerRequest,
    Dispatcher,
    Grant,
    Hosting,
    PlacementCache,
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
POLL_SECONDS = 0.01
ROUTE = Route(RouteKind.MODEL, "m")


@dataclass(frozen=True, slots=True)
class RoutingSize:
    """The size, settings and load of a replay; times in seconds."""

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
    """The counts and times of a replay; times in seconds."""

    requests: int = 0
    in_time: int = 0
    refused: int = 0
    failed_attempts: int = 0
    requested_blocks: int = 0
    cached_blocks: int = 0
    first_tokens: list[float] = field(default_factory=list)
    arrivals_by_worker: list[tuple[float, str]] = field(default_factory=list)
    outcomes: list[tuple[float, bool]] = field(default_factory=list)
    """The arrival time of each request and whether it was answered in time."""

    def record_outcome(self, request: CallerRequest, in_time: bool) -> None:
        """Record whether a request was answered in time."""
        self.in_time += in_time
        self.outcomes.append((request.received_at.total_seconds(), in_time))


class SimulatedEngine(Slots):
    """A simulated engine with a prefix cache that publishes events."""

    def __init__(self, size: RoutingSize) -> None:
        super().__init__(SLOTS)
        self._settings = size
        self._cache: OrderedDict[str, None] = OrderedDict()
        self._events: list[tuple[float, CacheEvent]] = []
        self._sequence_numbers = itertools.count()
        self.slowdown = 1.0
        self.crashed = False
        self.now: Callable[[], float] = lambda: 0.0

    def prefill(self, blocks: tuple[str, ...]) -> int:
        """Cache ``blocks`` and return how many were already cached."""
        cached = sum(block in self._cache for block in blocks)
        for block in blocks:
            if block not in self._cache:
                self._publish(block, True)
            self._cache[block] = None
            self._cache.move_to_end(block)
        while len(self._cache) > self._settings.cache_blocks:
            dropped, _ = self._cache.popitem(last=False)
            self._publish(dropped, False)
        return cached

    def fetch_cache_events(self, after: int, limit: int) -> CacheEvents:
        """Return cache events after a sequence number, delayed and with gaps."""
        seen = self.now() - self._settings.event_lag
        start = max(0, after + 1 - self._events[0][1].sequence) if self._events else 0
        published = [
            e for at, e in itertools.islice(self._events, start, None) if at <= seen
        ]
        last = published[-1].sequence if published else after
        gaps = self._settings.event_gaps
        received_events = [
            e for e in published if random.Random(e.sequence).random() >= gaps
        ]
        return CacheEvents(tuple(received_events[:limit]), last)

    def _publish(self, block: str, stored: bool) -> None:
        event = CacheEvent(next(self._sequence_numbers), block, stored)
        self._events.append((self.now(), event))


class RoutingReplay:
    """One replay; faults can be scheduled by ``schedule`` before ``run``."""

    def __init__(self, size: RoutingSize) -> None:
        self.size = size
        self.result = RoutingResult()
        self._random = random.Random(size.seed)
        self._clock = ManualClock()
        self._events: list[tuple[float, int, Work]] = []
        self._event_numbers = itertools.count()
        deployment = parse_deployment(json.dumps(_document(size.workers)).encode())
        picture = PlacementCache()
        picture.set_deployment(deployment)
        names = [f"w{i}" for i in range(size.workers)]
        for name in names:
            picture.apply_hosting(Hosting(name, 1, ("m@1",)))
        self.engines = {name: SimulatedEngine(size) for name in names}
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
            self._schedule_intakes(picture)

    @property
    def now(self) -> float:
        """Seconds since the start."""
        return self._clock.elapsed().total_seconds()

    def schedule(self, seconds: float, work: Work) -> None:
        """Run ``work`` at ``seconds`` from the start."""
        heapq.heappush(self._events, (seconds, next(self._event_numbers), work))

    def run(self) -> RoutingResult:
        """Replay all arrivals and return the result."""
        groups = list(range(self.size.groups))
        weights = [1 / (rank + 1) for rank in groups]
        at = 0.0
        while (at := at + self._random.expovariate(self.size.rate)) < self.size.seconds:
            group = self._random.choices(groups, weights)[0]
            node = self._random.randrange(self.size.nodes)
            self.schedule(at, lambda g=group, n=node: self._arrive(g, n))
        while self._events:
            seconds, _, work = heapq.heappop(self._events)
            self._clock._elapsed = timedelta(seconds=seconds)
            work()
        return self.result

    def _schedule_intakes(self, picture: PlacementCache) -> None:
        urls = {url: self.engines[name] for name, url in picture.target_urls().items()}
        for node in self._nodes:
            intake = CacheEventReader(node, picture, Metrics(), 4, urls.__getitem__)
            for second in range(1, int(self.size.seconds)):
                self.schedule(second, intake.read_round)

    def _arrive(self, group: int, node: int) -> None:
        self.result.requests += 1
        now = self._clock.elapsed()
        text = f"{group:08d}" * (self.size.blocks * 256 // 8)
        request = CallerRequest(
            "", "caller", ROUTE, "POST", "/", 3, now, now + DEADLINE, True, None, b"",
            prefix_blocks=prefix_blocks("m", text),
        )  # fmt: skip
        self._enter_node(request, node, frozenset())

    def _enter_node(
        self, request: CallerRequest, node: int, avoided: frozenset[str]
    ) -> None:
        admission = self._nodes[node].try_acquire(request, avoided)
        if isinstance(admission, Waiter):
            wait_until = self.now + max(0.0, admission.patience.total_seconds())
            self._poll(admission, request, node, avoided, wait_until)
        else:
            self._apply_grant(admission, request, node, avoided)

    def _poll(
        self,
        waiter: Waiter[Grant],
        request: CallerRequest,
        node: int,
        avoided: frozenset[str],
        wait_until: float,
    ) -> None:
        if waiter.settled.is_set() or self.now >= wait_until - POLL_SECONDS / 100:
            self._apply_grant(
                self._nodes[node].finish_waiting(waiter), request, node, avoided
            )
            return
        next_poll = min(wait_until, self.now + POLL_SECONDS)
        self.schedule(
            next_poll, lambda: self._poll(waiter, request, node, avoided, wait_until)
        )

    def _apply_grant(
        self,
        grant: Grant | Refusal,
        request: CallerRequest,
        node: int,
        avoided: frozenset[str],
    ) -> None:
        if isinstance(grant, Refusal):
            self._record_refusal(request)
            return
        name = grant.host.target
        self.result.arrivals_by_worker.append((self.now, name))
        engine = self.engines[name]
        if engine.crashed:
            self.schedule(
                self.now + CONNECT_SECONDS,
                lambda: self._retry_failed(grant, request, node, avoided),
            )
            return
        sent = self.now
        engine.begin(lambda: self._run_request(grant, request, node, engine, sent))

    def _retry_failed(
        self, grant: Grant, request: CallerRequest, node: int, avoided: frozenset[str]
    ) -> None:
        self.result.failed_attempts += 1
        self._nodes[node].release_failed(grant, NotSent(AttemptReason.CONNECT_FAILED))
        if self._budgets[node].try_acquire_retry():
            self._enter_node(request, node, avoided | {grant.host.target})
        else:
            self._record_refusal(request)

    def _record_refusal(self, request: CallerRequest) -> None:
        self.result.refused += 1
        self.result.record_outcome(request, in_time=False)

    def _run_request(
        self,
        grant: Grant,
        request: CallerRequest,
        node: int,
        engine: SimulatedEngine,
        sent: float,
    ) -> None:
        cached = engine.prefill(request.prefix_blocks)
        self.result.requested_blocks += len(request.prefix_blocks)
        self.result.cached_blocks += cached
        prefill = (
            PREFILL_PER_BLOCK * (len(request.prefix_blocks) - cached) * engine.slowdown
        )
        first = self.now + prefill
        received = request.received_at.total_seconds()
        self.result.first_tokens.append(first - received)
        end = first + TOKENS_SECONDS * engine.slowdown
        deadline = request.deadline.total_seconds()
        self.schedule(end, engine.end)

        def complete() -> None:
            load = ReportedLoad(engine.running, len(engine.queue))
            first_byte = timedelta(seconds=first - sent)
            self._nodes[node].release_completed(grant, first_byte, load)
            self._budgets[node].record_success()
            self.result.record_outcome(request, in_time=True)

        def time_out() -> None:
            outcome = UnknownResult(AttemptReason.TIMED_OUT)
            self._nodes[node].release_failed(grant, outcome)
            self.result.record_outcome(request, in_time=False)

        self.schedule(min(end, deadline), complete if end <= deadline else time_out)


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
