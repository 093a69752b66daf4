"""Queues requests that wait for a slot: bounded, ordered and fair to callers."""

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
"""Fraction of the queue limit from which on each caller is limited to its share."""


@dataclass(slots=True, eq=False)
class Waiter(Generic[GrantT]):
    """One waiting request; ``settled`` is set once it is granted a slot or shed.

    After waiting for ``patience`` it can no longer be answered in time.
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
    is_shed: bool = False

    @property
    def sort_key(self) -> tuple[int, timedelta, int]:
        """Sort key: priority, deadline, arrival; the lowest is served first."""
        return self.priority, self.deadline, self.sequence


class WaitingRequests(Generic[GrantT]):
    """Queues of all routes of one node; guarded by the dispatcher's lock."""

    def __init__(self, limit: int, caller_share: float) -> None:
        self._limit = limit
        self._caller_limit = max(1, int(limit * caller_share))
        self._queues: dict[Route, list[Waiter[GrantT]]] = defaultdict(list)
        self._counts_by_caller: Counter[str] = Counter()
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def routes(self) -> list[Route]:
        """Return the routes that have waiting requests."""
        return [route for route, queue in self._queues.items() if queue]

    def waiters(self, route: Route) -> list[Waiter[GrantT]]:
        """Return the queue of ``route`` in the order of service."""
        return list(self._queues.get(route, ()))

    def count_ahead(self, waiter: Waiter[GrantT]) -> int:
        """Return how many waiters of its route are served before ``waiter``."""
        queue = self._queues.get(waiter.route, [])
        return bisect.bisect_left(
            queue, waiter.sort_key, key=lambda other: other.sort_key
        )

    def make_room(self, waiter: Waiter[GrantT]) -> Reason | None:
        """Return why ``waiter`` may not be queued, ``None`` if it may.

        A full queue sheds its least urgent waiter in favour of a more urgent one.
        """
        reason = self.check_room(waiter)
        if reason is not None or self._size < self._limit:
            return reason
        least_urgent = self._find_least_urgent()
        if least_urgent is None:
            return Reason.QUEUE_FULL
        least_urgent.is_shed = True
        self.remove(least_urgent)
        least_urgent.settled.set()
        return None

    def check_room(self, waiter: Waiter[GrantT]) -> Reason | None:
        """Return why ``waiter`` may not be queued, without shedding a waiter."""
        is_contended = self._size >= CONTENDED_SHARE * self._limit
        if is_contended and self._counts_by_caller[waiter.caller] >= self._caller_limit:
            return Reason.CALLER_SHARE
        if self._size < self._limit:
            return None
        least_urgent = self._find_least_urgent()
        if least_urgent is None or least_urgent.priority <= waiter.priority:
            return Reason.QUEUE_FULL
        return None

    def add(self, waiter: Waiter[GrantT]) -> None:
        """Insert ``waiter`` into its route's queue by its order."""
        queue = self._queues[waiter.route]
        bisect.insort(queue, waiter, key=lambda other: other.sort_key)
        self._counts_by_caller[waiter.caller] += 1
        self._size += 1

    def remove(self, waiter: Waiter[GrantT]) -> bool:
        """Remove ``waiter``; return false if it is no longer queued."""
        queue = self._queues.get(waiter.route, [])
        if waiter not in queue:
            return False
        queue.remove(waiter)
        if not queue:
            del self._queues[waiter.route]
        self._counts_by_caller[waiter.caller] -= 1
        if not self._counts_by_caller[waiter.caller]:
            del self._counts_by_caller[waiter.caller]
        self._size -= 1
        return True

    def _find_least_urgent(self) -> Waiter[GrantT] | None:
        last_waiters = [queue[-1] for queue in self._queues.values() if queue]
        return max(last_waiters, key=lambda waiter: waiter.sort_key, default=None)
