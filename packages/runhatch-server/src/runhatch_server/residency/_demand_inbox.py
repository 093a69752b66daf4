"""Queue demand received from peers until the next round applies it."""

import threading
from collections import deque
from dataclasses import dataclass
from datetime import timedelta

from runhatch_server.observability import log_change
from runhatch_server.residency._demand import DemandBook, DemandShare

MOST_WAITING = 8_192
"""Maximum number of queued messages. 90 nodes send about 500 per second and a round
runs at least once a second, so that this many wait only if rounds have stopped."""


@dataclass(frozen=True, slots=True)
class DemandNews:
    """Demand that ``node`` received within ``age`` of ``at``, the time of arrival."""

    node: str
    shares: tuple[DemandShare, ...]
    at: timedelta
    age: timedelta


class DemandInbox:
    """Queues demand messages for the one task that applies them; thread-safe.

    Callers of :meth:`put` never wait for a round.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._queue: deque[DemandNews] = deque()
        self.dropped = 0
        """Messages dropped since the last round because the queue was full."""

    def __len__(self) -> int:
        return len(self._queue)

    def put(self, news: DemandNews) -> None:
        """Queue ``news`` for the next round; a full queue drops its oldest message."""
        with self._lock:
            if len(self._queue) >= MOST_WAITING:
                self._queue.popleft()
                self.dropped += 1
            self._queue.append(news)

    def empty_into(self, book: DemandBook) -> None:
        """Add all queued demand to ``book``, in the order received."""
        with self._lock:
            waiting, self._queue = self._queue, deque()
            dropped, self.dropped = self.dropped, 0
        if dropped:
            log_change("demand_dropped", messages=dropped, reason="no round was made")
        for news in waiting:
            for share in news.shares:
                book.add(news.node, share, news.at - news.age)
                book.missed_before(share, news.at)
