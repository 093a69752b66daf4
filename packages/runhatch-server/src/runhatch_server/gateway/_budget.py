"""A retry budget that many nodes keep together without talking about it."""

import threading
from collections import deque
from datetime import timedelta

from runhatch_coordination import Clock
from runhatch_server.gateway._settings import RetryBounds

SAFETY = 0.7
"""Share of the bounds that is used: windows of the nodes do not begin together, and
requests that never reach a node count in the whole but not here."""
LEAST_NODES = 4
"""The reserve is split among at least so many: a node that starts again has
forgotten what it used, and does not know the others yet."""


class WindowBudget:
    """Retries of one service on one node, in any window.

    A node may use its share of the reserve, and on top a share of the requests
    that it got itself in the window.
    """

    def __init__(self, bounds: RetryBounds, clock: Clock) -> None:
        self._bounds = bounds
        self._clock = clock
        self._lock = threading.Lock()
        self._requests: deque[timedelta] = deque()
        self._retries: deque[timedelta] = deque()

    def request(self) -> None:
        """Count a request of a caller."""
        now = self._clock.elapsed()
        with self._lock:
            self._requests.append(now)
            _drop_before(self._requests, now - self._bounds.window)

    def withdraw(self, nodes: int) -> bool:
        """Pay for one retry, if there is budget among ``nodes`` nodes."""
        now = self._clock.elapsed()
        with self._lock:
            _drop_before(self._requests, now - self._bounds.window)
            _drop_before(self._retries, now - self._bounds.window)
            earned = self._bounds.share * len(self._requests)
            reserve = self._bounds.reserve / max(LEAST_NODES, nodes)
            if len(self._retries) + 1 > SAFETY * (earned + reserve):
                return False
            self._retries.append(now)
            return True


def _drop_before(times: deque[timedelta], earliest: timedelta) -> None:
    while times and times[0] < earliest:
        times.popleft()
