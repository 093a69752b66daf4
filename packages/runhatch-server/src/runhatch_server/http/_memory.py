"""An account of the memory that open requests hold, on all listeners of a process.

A request is admitted while as much as it will hold stays free, so large ones are
refused first and small ones are still admitted.  If memory is needed, requests whose
bodies have stopped arriving are evicted: otherwise callers that stop sending would
block all others.
"""

import threading
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from runhatch_coordination import Clock, SystemClock

EVICTABLE_AFTER = timedelta(seconds=1)
"""Time without progress after which a body is evicted for other requests."""
UNBOUNDED = 1 << 62
"""Limit in bytes that no process reaches."""


@dataclass(slots=True, eq=False)
class Holding:
    """What the requests on one connection hold.

    ``evict`` is called, in any thread, to have the unfinished request refused.
    """

    evict: Callable[[], None]
    size: int = 0
    """In bytes."""
    progressed_at: timedelta | None = None
    """When an unfinished body last made progress, ``None`` if there is none."""


class RequestMemory:
    """Accounts for what requests hold, up to ``limit`` bytes; thread-safe."""

    def __init__(self, limit: int = UNBOUNDED, clock: Clock | None = None) -> None:
        self.limit = limit
        """Most that all requests may hold, in bytes."""
        self._clock = clock or SystemClock()
        self._lock = threading.Lock()
        self._held = 0
        self._holdings: set[Holding] = set()

    @property
    def held(self) -> int:
        """What all requests hold, in bytes."""
        return self._held

    def update(self, holding: Holding, measure: Callable[[], int]) -> None:
        """Set the size of ``holding`` to what ``measure`` returns.

        Measuring and setting are one step, so that of two threads the one that has
        measured last also sets the size last.
        """
        with self._lock:
            self._set_size(holding, measure())

    def admit(self, holding: Holding, size: int, final_size: int) -> bool:
        """Return whether ``holding`` may grow to ``final_size``.

        If so, sets its size, and evicts others whose bodies have stalled, if room is
        needed.  All sizes are in bytes.
        """
        with self._lock:
            evicted = self._choose_evicted(holding, final_size)
            if evicted is None:
                return False
            for other in evicted:
                other.progressed_at = None
                self._set_size(other, 0)
            self._set_size(holding, size)
        for other in evicted:
            other.evict()
        return True

    def _choose_evicted(self, holding: Holding, size: int) -> list[Holding] | None:
        """Return what is evicted for ``holding``, ``None`` if all is not enough."""
        missing = 2 * size - (self.limit - self._held + holding.size)
        if missing <= 0:
            return []
        evicted = []
        for other in self._rank_stalled():
            if other is not holding:
                evicted.append(other)
                missing -= other.size
                if missing <= 0:
                    return evicted
        return None

    def _rank_stalled(self) -> list[Holding]:
        """Return the stalled holdings, first what has held most for longest."""
        now = self._clock.elapsed()
        costs = {
            holding: holding.size * (now - progressed_at)
            for holding in self._holdings
            # Read once: its server's thread may set it meanwhile.
            if (progressed_at := holding.progressed_at) is not None
            and now - progressed_at >= EVICTABLE_AFTER
        }
        return sorted(costs, key=costs.__getitem__, reverse=True)

    def _set_size(self, holding: Holding, size: int) -> None:
        self._held += size - holding.size
        holding.size = size
        if size:
            self._holdings.add(holding)
        else:
            self._holdings.discard(holding)
