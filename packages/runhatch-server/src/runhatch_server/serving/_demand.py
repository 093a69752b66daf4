"""Counting what is asked for, towards the planners."""

import threading
from collections import Counter

from runhatch_server.serving._request import Route, RouteKind


class DemandCounter:
    """Requests by model since the counts were last taken."""

    def __init__(self) -> None:
        self._counts: Counter[str] = Counter()
        self._lock = threading.Lock()

    def note(self, route: Route) -> None:
        """Count one request."""
        if route.kind is RouteKind.MODEL:
            with self._lock:
                self._counts[route.name] += 1

    def take(self) -> dict[str, int]:
        """Return the counts and start anew."""
        with self._lock:
            counts = dict(self._counts)
            self._counts.clear()
            return counts
