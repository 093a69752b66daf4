"""Counts requests by model for the planners."""

import threading
from collections import Counter

from runhatch_server.serving._request import Route, RouteKind


class DemandCounter:
    """Counts requests by model since the last call of ``take_counts``; thread-safe."""

    def __init__(self) -> None:
        self._counts: Counter[str] = Counter()
        self._lock = threading.Lock()

    def count_request(self, route: Route) -> None:
        """Count one request if ``route`` is a model."""
        if route.kind is RouteKind.MODEL:
            with self._lock:
                self._counts[route.name] += 1

    def take_counts(self) -> dict[str, int]:
        """Return the counts and reset them."""
        with self._lock:
            counts = dict(self._counts)
            self._counts.clear()
            return counts
