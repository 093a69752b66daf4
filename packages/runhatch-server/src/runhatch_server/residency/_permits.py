"""Limit the loads from the weight store that the orderer starts in any window."""

from collections import deque
from datetime import timedelta

TAKEOVER_SHARE = 0.5
"""Share of a window's loads that a new orderer counts as used by the last one."""


class LoadPermits:
    """Counts loads from the weight store over a sliding window.

    >>> permits = LoadPermits(timedelta(seconds=5), timedelta())
    >>> [permits.try_acquire(0.4, timedelta(seconds=6)) for _ in range(3)]
    [True, True, False]
    """

    def __init__(self, window: timedelta, now: timedelta) -> None:
        self._window = window
        self._taken_over_at = now
        self._started: deque[timedelta] = deque()

    def try_acquire(self, per_second: float, now: timedelta) -> bool:
        """Return whether a load may start at ``now``, and count it if so."""
        while self._started and now - self._started[0] >= self._window:
            self._started.popleft()
        max_loads = per_second * self._window.total_seconds()
        if now - self._taken_over_at < self._window:
            max_loads *= TAKEOVER_SHARE
        if len(self._started) + 1 > max_loads:
            return False
        self._started.append(now)
        return True
