"""What peers tell of demand, until the next round takes it in."""

import threading
from collections import deque
from dataclasses import dataclass
from datetime import timedelta

from runhatch_server.observability import log_change
from runhatch_server.residency._demand import DemandBook, DemandShare

MOST_WAITING = 8_192
"""Messages that may wait for a round.  90 nodes send some 500 a second and a round
comes within a second, so that this many wait only where rounds have stopped."""


@dataclass(frozen=True, slots=True)
class DemandNews:
    """What ``node`` was asked for within ``age`` of ``at``, when it told."""

    node: str
    shares: tuple[DemandShare, ...]
    at: timedelta
    age: timedelta


class DemandInbox:
    """Holds news for the one task that takes it in; safe for many threads.

    Whoever brings news never waits for a round.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._news: deque[DemandNews] = deque()
        self.dropped = 0
        """Messages that found no room since the last round."""

    def __len__(self) -> int:
        return len(self._news)

    def put(self, news: DemandNews) -> None:
        """Leave ``news`` for the next round; what is older gives way to it."""
        with self._lock:
            if len(self._news) >= MOST_WAITING:
                self._news.popleft()
                self.dropped += 1
            self._news.append(news)

    def empty_into(self, book: DemandBook) -> None:
        """Take in all that waits, in the order in which it came."""
        with self._lock:
            waiting, self._news = self._news, deque()
            dropped, self.dropped = self.dropped, 0
        if dropped:
            log_change("demand_dropped", messages=dropped, reason="no round was made")
        for news in waiting:
            for share in news.shares:
                book.add(news.node, share, news.at - news.age)
                book.missed_before(share, news.at)
