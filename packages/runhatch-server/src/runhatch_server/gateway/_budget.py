"""Retry budget that limits the retries of all nodes without messages among them."""

import threading
from collections import deque
from datetime import timedelta

from runhatch_coordination import Clock
from runhatch_server.gateway._settings import RetryBounds

SAFETY_FACTOR = 0.7
"""Fraction of the bounds that is used: the windows of nodes aren't aligned, and
requests that never reach a node count for the overall bound but not here."""
MIN_NODES = 4
"""Minimum number of nodes among which the reserve is divided: a restarted node has
lost its record of retries and doesn't know its peers yet."""


class WindowedRetryBudget:
    """Limits the retries for one service on one node in any window.

    A node may use its part of the reserve, plus a fraction of the requests that it
    received in the window.
    """

    def __init__(self, bounds: RetryBounds, clock: Clock) -> None:
        self._bounds = bounds
        self._clock = clock
        self._lock = threading.Lock()
        self._requests: deque[timedelta] = deque()
        self._retries: deque[timedelta] = deque()

    def record_request(self) -> None:
        """Count a request received from a caller."""
        now = self._clock.elapsed()
        with self._lock:
            self._requests.append(now)
            _drop_before(self._requests, now - self._bounds.window)

    def try_spend(self, node_count: int) -> bool:
        """Spend one retry; return false if this node's share of the budget is spent."""
        now = self._clock.elapsed()
        with self._lock:
            _drop_before(self._requests, now - self._bounds.window)
            _drop_before(self._retries, now - self._bounds.window)
            request_share = self._bounds.share * len(self._requests)
            reserve_share = self._bounds.reserve / max(MIN_NODES, node_count)
            if len(self._retries) + 1 > SAFETY_FACTOR * (request_share + reserve_share):
                return False
            self._retries.append(now)
            return True


def _drop_before(times: deque[timedelta], earliest: timedelta) -> None:
    while times and times[0] < earliest:
        times.popleft()
