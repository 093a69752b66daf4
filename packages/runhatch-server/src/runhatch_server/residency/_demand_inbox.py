"""Queue demand received from peers until the next round applies it."""

import threading
from collections import deque
from dataclasses import dataclass
from datetime import timedelta

from runhatch_server.observability import log_change
from runhatch_server.residency._demand import DemandBook, DemandShare

MAX_QUEUED_MESSAGES = 8_192
"""Maximum number of queued messages. 90 nodes send about 500 per second and a round
runs at least once a second, so that this many wait only if rounds have stopped."""


@dataclass(frozen=True, slots=True)
class DemandMessage:
    """Demand that ``node`` received within ``age`` before its arrival here."""

    node: str
    shares: tuple[DemandShare, ...]
    received_at: timedelta
    age: timedelta


class DemandInbox:
    """Queues demand messages for the one task that applies them; thread-safe.

    Callers of :meth:`put` never wait for a round.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._queue: deque[DemandMessage] = deque()
        self.dropped_messages = 0
        """Messages dropped since the last round because the queue was full."""

    def __len__(self) -> int:
        return len(self._queue)

    def put(self, message: DemandMessage) -> None:
        """Queue ``message`` for the next round; a full queue drops the oldest one."""
        with self._lock:
            if len(self._queue) >= MAX_QUEUED_MESSAGES:
                self._queue.popleft()
                self.dropped_messages += 1
            self._queue.append(message)

    def drain_into(self, book: DemandBook) -> None:
        """Add all queued demand to ``book``, in the order received."""
        with self._lock:
            messages, self._queue = self._queue, deque()
            dropped, self.dropped_messages = self.dropped_messages, 0
        if dropped:
            log_change("demand_dropped", messages=dropped, reason="no round was made")
        for message in messages:
            for share in message.shares:
                book.add_requests(
                    message.node, share, message.received_at - message.age
                )
                book.record_missed_for(share, message.received_at)
