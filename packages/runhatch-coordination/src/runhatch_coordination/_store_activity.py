"""Distinguishes an outage of the store from a failure that only some nodes see.

The store may reject the calls of some nodes while it serves the others.  A node whose
readers are rejected knows only that; :class:`StoreActivity` compares it with the
answers that any node is known to have received.
"""

import threading
from datetime import timedelta

from runhatch_coordination._clock import Clock

MIN_OUTAGE = timedelta(seconds=1.5)
"""Shortest time without an answer to any node that counts as an outage.  The holder of
the orders' lease publishes its answers about every 0.9 s.  Shorter outages remove no
rows: the writers of rows that expire renew them about every 1.2 s, and a row expires
after three missed renewals."""


class StoreActivity:
    """When the store was last known to answer any node; thread-safe."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._answered_at = clock.elapsed()
        self._is_suspected = False
        """Whether the store was out of reach at some time since the last answer."""

    def record_loss(self) -> None:
        """Record that neither this node nor its readers reach the store."""
        with self._lock:
            self._is_suspected = True

    def record_answer(self, is_reached: bool) -> bool:
        """Record that the store answered some node; return whether an outage ended.

        ``is_reached`` is whether this node or one of its readers reaches the store.
        Silence alone is no outage: a store without changes answers seldom.
        """
        now = self._clock.elapsed()
        with self._lock:
            silent_for, self._answered_at = now - self._answered_at, now
            was_suspected, self._is_suspected = self._is_suspected, not is_reached
            return was_suspected and silent_for >= MIN_OUTAGE
