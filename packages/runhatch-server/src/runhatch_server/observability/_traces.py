"""The last requests of this node, for queries and explanations."""

import threading
from collections import deque
from dataclasses import dataclass, field
from datetime import datetime, timedelta

KEPT = 2_000


@dataclass(frozen=True, slots=True)
class AttemptTrace:
    """One attempt: the target chosen, why, and how it ended."""

    target: str
    reason: str
    outcome: str


@dataclass(slots=True)
class RequestTrace:
    """One request as it went."""

    request_id: str
    route: str
    caller: str
    priority: int
    received: datetime
    attempts: list[AttemptTrace] = field(default_factory=list)
    waited: timedelta = timedelta()
    took: timedelta = timedelta()
    outcome: str = "in progress"
    status: int = 0


class TraceLog:
    """A ring of traces, newest last."""

    def __init__(self, kept: int = KEPT) -> None:
        self._traces: deque[RequestTrace] = deque(maxlen=kept)
        self._lock = threading.Lock()

    def add(self, trace: RequestTrace) -> None:
        """Keep ``trace``, dropping the oldest."""
        with self._lock:
            self._traces.append(trace)

    def all(self) -> list[RequestTrace]:
        """Return the kept traces, oldest first."""
        with self._lock:
            return list(self._traces)

    def find(self, request_id: str) -> RequestTrace | None:
        """Return one trace, if it is still kept."""
        matching = (t for t in self.all() if t.request_id == request_id)
        return next(matching, None)
