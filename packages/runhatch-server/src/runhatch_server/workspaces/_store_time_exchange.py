"""Gives nodes that do not call the store an upper bound of its clock."""

import itertools
import random
import threading
from collections.abc import Callable
from datetime import timedelta
from functools import singledispatchmethod

from runhatch_coordination import Clock, StoreTime
from runhatch_server.peers import Fact, Member, StoreTimeAnswer, StoreTimeQuery

FIRST_QUERY_INTERVAL = timedelta(milliseconds=250)
"""Interval between queries while the time is not known."""
QUERY_INTERVAL = timedelta(seconds=10)
"""Interval between queries that renew it, against drift of the clocks."""
ANSWER_RETENTION = timedelta(seconds=5)
"""Time after which the answer to a query is ignored."""
MILLISECOND = timedelta(milliseconds=1)
StoreTimeMessage = StoreTimeQuery | StoreTimeAnswer
"""Messages between nodes about the store's clock."""


class StoreTimeExchange:
    """Asks a linked peer for the store's time if this node does not know it."""

    def __init__(
        self,
        store_time: StoreTime,
        clock: Clock,
        peers: Callable[[], list[str]],
        send: Callable[[str, Fact], None],
    ) -> None:
        self._store_time = store_time
        self._clock = clock
        self._peers = peers
        self._send = send
        self._random = random.Random()
        self._lock = threading.Lock()
        self._numbers = itertools.count(1)
        self._asked_at: dict[int, timedelta] = {}

    @property
    def interval(self) -> timedelta:
        """The time until the next query."""
        is_known = self._store_time.is_known
        return QUERY_INTERVAL if is_known else FIRST_QUERY_INTERVAL

    def send_query(self) -> None:
        """Ask a random linked peer."""
        peers = self._peers()
        if not peers:
            return
        now = self._clock.elapsed()
        with self._lock:
            number = next(self._numbers)
            self._asked_at = {
                earlier: at
                for earlier, at in self._asked_at.items()
                if now - at < ANSWER_RETENTION
            }
            self._asked_at[number] = now
        self._send(self._random.choice(peers), StoreTimeQuery(number))

    @singledispatchmethod
    def handle_message(self, fact: StoreTimeMessage, sender: Member) -> None:
        """Answer a query, or apply an answer."""
        raise NotImplementedError(type(fact))

    @handle_message.register
    def _answer_query(self, fact: StoreTimeQuery, sender: Member) -> None:
        latest = self._store_time.latest(self._clock.elapsed())
        if latest is not None:
            # Rounded up: the time must not be later than stated.
            latest_ms = -int(-latest // MILLISECOND)
            self._send(sender.address, StoreTimeAnswer(fact.number, latest_ms))

    @handle_message.register
    def _apply_answer(self, fact: StoreTimeAnswer, sender: Member) -> None:
        with self._lock:
            asked_at = self._asked_at.pop(fact.number, None)
        if asked_at is not None:
            self._store_time.record(asked_at, fact.latest_ms * MILLISECOND)
