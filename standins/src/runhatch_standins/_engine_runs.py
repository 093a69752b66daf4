"""Requests of an engine stand-in: slots, priorities, prefix cache and tokens."""

import heapq
import itertools
import threading
import time
from collections import OrderedDict, deque
from dataclasses import dataclass, field
from hashlib import blake2b

from runhatch_standins._text import split_continuation, token

BLOCK = 256
CACHED_BLOCKS = 400
KEEP_RUNS = 20_000
KEEP_EVENTS = 10_000


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """A block was stored in or dropped from the prefix cache."""

    at: float
    sequence: int
    block: str
    stored: bool


@dataclass(slots=True)
class Run:
    """One request in the engine; its token times are fixed when it starts."""

    request_id: str
    unit: str
    prompt: str
    first: int
    tokens: int
    chat: bool = True
    started: float = 0.0
    prefill: float = 0.0
    per_token: float = 0.0
    cancelled: bool = False
    finished: bool = False
    began: threading.Event = field(default_factory=threading.Event)

    def ready_at(self, index: int) -> float:
        """Return when the token at ``index``, counted from ``first``, is ready.

        The result is in seconds of the monotonic clock.
        """
        return self.started + self.prefill + self.per_token * (index + 1)

    def text(self, index: int) -> str:
        """Return the token at ``index``, counted from ``first``."""
        return token(self.prompt, self.first + index)


class Runs:
    """Slots assigned by priority, and the prefix cache shared by all requests."""

    def __init__(
        self, slots: int, queue: int, per_token: float, prefill_per_block: float
    ) -> None:
        self._slots = slots
        self._queue = queue
        self._per_token = per_token
        self._prefill_per_block = prefill_per_block
        self._lock = threading.Lock()
        self._waiting: list[tuple[int, int, Run]] = []
        self._arrival_numbers = itertools.count()
        self._cache: OrderedDict[str, None] = OrderedDict()
        self.slow = 1.0
        self.running = 0
        self.runs: OrderedDict[str, Run] = OrderedDict()
        self.cache_events: deque[CacheEvent] = deque(maxlen=KEEP_EVENTS)
        self._event_numbers = itertools.count()
        self.cached_blocks = 0
        self.asked_blocks = 0

    @property
    def waiting(self) -> int:
        """Number of requests that wait for a slot."""
        return len(self._waiting)

    def begin(
        self,
        request_id: str,
        unit: str,
        prompt: str,
        tokens: int,
        priority: int,
        chat: bool,
    ) -> Run | None:
        """Queue a request and wait for its start; ``None`` if the queue is full."""
        first_prompt, offset = split_continuation(prompt)
        run = Run(request_id, unit, first_prompt, offset, tokens, chat)
        with self._lock:
            if len(self._waiting) >= self._queue:
                return None
            self.runs[request_id] = run
            while len(self.runs) > KEEP_RUNS:
                self.runs.popitem(last=False)
            heapq.heappush(self._waiting, (priority, next(self._arrival_numbers), run))
            self._start_waiting()
        run.began.wait()
        return run

    def end(self, run: Run) -> None:
        """Release the slot of ``run``; repeated calls have no effect."""
        with self._lock:
            if run.finished:
                return
            run.finished = True
            self.running -= 1
            self._start_waiting()

    def _start_waiting(self) -> None:
        while self._waiting and self.running < self._slots:
            run = heapq.heappop(self._waiting)[2]
            self.running += 1
            run.started = time.monotonic()
            run.prefill = (
                self._prefill_per_block * self._cache_missing_blocks(run) * self.slow
            )
            run.per_token = self._per_token * self.slow
            run.began.set()

    def _cache_missing_blocks(self, run: Run) -> int:
        """Count the prompt's blocks missing from the cache, and cache them."""
        missing = 0
        for end in range(BLOCK, len(run.prompt) + 1, BLOCK):
            block = _block_name(run.unit, run.prompt[:end])
            self.asked_blocks += 1
            if block in self._cache:
                self.cached_blocks += 1
            else:
                missing += 1
                self._publish_cache_event(block, stored=True)
            self._cache[block] = None
            self._cache.move_to_end(block)
        while len(self._cache) > CACHED_BLOCKS:
            dropped, _ = self._cache.popitem(last=False)
            self._publish_cache_event(dropped, stored=False)
        return missing

    def _publish_cache_event(self, block: str, stored: bool) -> None:
        event = CacheEvent(time.monotonic(), next(self._event_numbers), block, stored)
        self.cache_events.append(event)


def _block_name(unit: str, text: str) -> str:
    """Return a block's published name: a hash of the model and the whole prefix."""
    model = unit.rpartition("@")[0]
    return blake2b(f"{model}\0{text}".encode(), digest_size=8).hexdigest()
