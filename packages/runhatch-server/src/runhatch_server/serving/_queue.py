"""Requests that wait for a slot: bounded, ordered, shared fairly among callers."""

import bisect
import threading
from collections import Counter, defaultdict
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Generic, TypeVar

from runhatch_server.refusals import Reason
from runhatch_server.serving._request import Route

GrantT = TypeVar("GrantT")

CONTENDED_SHARE = 0.5
"""From this filling on, no caller may hold more than its share."""


@dataclass(slots=True, eq=False)
class Waiter(Generic[GrantT]):
    """One waiting request; ``settled`` is set with a grant or when it is shed.

    Waiting longer than ``patience`` cannot lead to an answer in time.
    """

    route: Route
    caller: str
    priority: int
    deadline: timedelta
    sequence: int
    prefix: tuple[str, ...] = ()
    avoided_targets: frozenset[str] = frozenset()
    avoided_domains: frozenset[str] = frozenset()
    patience: timedelta = timedelta()
    settled: threading.Event = field(default_factory=threading.Event)
    grant: GrantT | None = None
    shed: bool = False

    @property
    def order(self) -> tuple[int, timedelta, int]:
        """Lower goes first: urgency, then the earlier deadline, then arrival."""
        return self.priority, self.deadline, self.sequence


class WaitingRequests(Generic[GrantT]):
    """The queues of all routes of one node; guarded by the dispatcher's lock."""

    def __init__(self, limit: int, caller_share: float) -> None:
        self._limit = limit
        self._share = max(1, int(limit * caller_share))
        self._queues: dict[Route, list[Waiter[GrantT]]] = defaultdict(list)
        self._callers: Counter[str] = Counter()
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def routes(self) -> list[Route]:
        """Return the routes for which something waits."""
        return [route for route, queue in self._queues.items() if queue]

    def waiting(self, route: Route) -> list[Waiter[GrantT]]:
        """Return the queue of ``route``, first to go first."""
        return list(self._queues.get(route, ()))

    def ahead(self, waiter: Waiter[GrantT]) -> int:
        """Return how many of its route would go before ``waiter``."""
        queue = self._queues.get(waiter.route, [])
        return bisect.bisect_left(queue, waiter.order, key=lambda other: other.order)

    def refuse(self, waiter: Waiter[GrantT]) -> Reason | None:
        """Return why ``waiter`` may not join, ``None`` if it may.

        A full queue sheds its least urgent waiter for a more urgent one.
        """
        contended = self._size >= CONTENDED_SHARE * self._limit
        if contended and self._callers[waiter.caller] >= self._share:
            return Reason.CALLER_SHARE
        if self._size < self._limit:
            return None
        last = self._least_urgent()
        if last is None or last.priority <= waiter.priority:
            return Reason.QUEUE_FULL
        last.shed = True
        self.remove(last)
        last.settled.set()
        return None

    def add(self, waiter: Waiter[GrantT]) -> None:
        """Put ``waiter`` in its place."""
        queue = self._queues[waiter.route]
        bisect.insort(queue, waiter, key=lambda other: other.order)
        self._callers[waiter.caller] += 1
        self._size += 1

    def remove(self, waiter: Waiter[GrantT]) -> bool:
        """Take ``waiter`` out; false if it is not there any more."""
        queue = self._queues.get(waiter.route, [])
        if waiter not in queue:
            return False
        queue.remove(waiter)
        if not queue:
            del self._queues[waiter.route]
        self._callers[waiter.caller] -= 1
        if not self._callers[waiter.caller]:
            del self._callers[waiter.caller]
        self._size -= 1
        return True

    def _least_urgent(self) -> Waiter[GrantT] | None:
        tails = [queue[-1] for queue in self._queues.values() if queue]
        return max(tails, key=lambda waiter: waiter.order, default=None)
