"""How long requests last, and whether one ends in time."""

from collections import defaultdict, deque
from datetime import timedelta

KEPT_DURATIONS = 16
"""Newest durations kept for each route; the next request rarely lasts longer than the
longest of them."""
DURATION_MARGIN = 1.25
"""Factor by which a request may last longer than the recent ones of its route."""


class RecentDurations:
    """Durations of requests by route, from their first byte sent to their end."""

    def __init__(self) -> None:
        self._durations: defaultdict[str, deque[timedelta]] = defaultdict(
            lambda: deque(maxlen=KEPT_DURATIONS)
        )
        self._of_any_route: deque[timedelta] = deque(maxlen=KEPT_DURATIONS)

    def record(self, route: str, duration: timedelta) -> None:
        """Record that a request of ``route`` ended after ``duration``."""
        self._durations[route].append(duration)
        self._of_any_route.append(duration)

    def estimate_longest(self, route: str, time_left: timedelta) -> timedelta:
        """Return how long the next request of ``route`` may last.

        It ends within ``time_left``.  Without requests of the route, those of all
        routes count.
        """
        recent = self._durations.get(route) or self._of_any_route
        if not recent:
            return time_left
        # Copied, as other threads record meanwhile.
        return min(time_left, max(recent.copy()) * DURATION_MARGIN)

    def fits(
        self, route: str, time_left: timedelta, now: timedelta, ends_by: timedelta
    ) -> bool:
        """Return whether a request that is sent at ``now`` ends by ``ends_by``."""
        longest = self.estimate_longest(route, time_left)
        return now + longest <= ends_by
