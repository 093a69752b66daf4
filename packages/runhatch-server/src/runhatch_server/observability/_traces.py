"""Traces of the most recent requests of this node, for operator queries."""

import threading
from collections import deque
from dataclasses import dataclass, field
from datetime import datetime, timedelta

MAX_TRACES = 2_000


@dataclass(frozen=True, slots=True)
class AttemptTrace:
    """One attempt: the chosen target, the reason for the choice and the outcome."""

    target: str
    reason: str
    outcome: str


@dataclass(slots=True)
class RequestTrace:
    """A request with its attempts and outcome."""

    request_id: str
    route: str
    caller: str
    priority: int
    received_at: datetime
    attempts: list[AttemptTrace] = field(default_factory=list)
    wait_duration: timedelta = timedelta()
    duration: timedelta = timedelta()
    outcome: str = "in progress"
    status: int = 0


class TraceLog:
    """A thread-safe ring buffer of traces, oldest first."""

    def __init__(self, max_traces: int = MAX_TRACES) -> None:
        self._traces: deque[RequestTrace] = deque(maxlen=max_traces)
        self._lock = threading.Lock()

    def add(self, trace: RequestTrace) -> None:
        """Store ``trace``; drops the oldest trace if the buffer is full."""
        with self._lock:
            self._traces.append(trace)

    def all(self) -> list[RequestTrace]:
        """Return all stored traces, oldest first."""
        with self._lock:
            return list(self._traces)

    def find(self, request_id: str) -> RequestTrace | None:
        """Return the trace of ``request_id``, or None if it is not stored."""
        matching = (t for t in self.all() if t.request_id == request_id)
        return next(matching, None)
