"""How many loads from the weight store the orderer may begin in any window."""

from collections import deque
from datetime import timedelta

TAKEOVER_SHARE = 0.5
"""Share of a window's loads that a new orderer counts as used by the last one."""


class LoadPermits:
    """Counts loads from the weight store over a sliding window.

    >>> permits = LoadPermits(timedelta(seconds=5), timedelta())
    >>> [permits.take(0.4, timedelta(seconds=6)) for _ in range(3)]
    [True, True, False]
    """

    def __init__(self, window: timedelta, now: timedelta) -> None:
        self._window = window
        self._taken_over = now
        self._begun: deque[timedelta] = deque()

    def take(self, per_second: float, now: timedelta) -> bool:
        """Tell whether a load may begin at ``now``, and count it."""
        while self._begun and now - self._begun[0] >= self._window:
            self._begun.popleft()
        most = per_second * self._window.total_seconds()
        if now - self._taken_over < self._window:
            most *= TAKEOVER_SHARE
        if len(self._begun) + 1 > most:
            return False
        self._begun.append(now)
        return True
