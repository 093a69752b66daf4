"""Request rate of each model, smoothed: estimates rise fast and fall slowly."""

from collections import Counter, defaultdict
from datetime import timedelta

RATE_WINDOW = timedelta(seconds=5)
GAIN_UP = 0.6
GAIN_DOWN = 0.04


class DemandEstimate:
    """Requests per second of each model, estimated from the counts of all nodes.

    >>> estimate = DemandEstimate()
    >>> estimate.add_counts({"m": 50})
    >>> estimate.update_rates(timedelta(seconds=5))
    >>> estimate.rate("m")
    6.0
    """

    def __init__(self, window: timedelta = RATE_WINDOW) -> None:
        self._window = window
        self._counts: Counter[str] = Counter()
        self._rates: dict[str, float] = defaultdict(float)
        self._last_update = timedelta()

    def add_counts(self, counts: dict[str, int]) -> None:
        """Add the request counts of one node, by model."""
        self._counts.update(counts)

    def update_rates(self, now: timedelta) -> None:
        """Update the rates from the counts, at most once per window."""
        elapsed = now - self._last_update
        if elapsed < self._window:
            return
        self._last_update = now
        seconds = elapsed.total_seconds()
        for name in {*self._counts, *self._rates}:
            measured = self._counts[name] / seconds
            previous = self._rates[name]
            gain = GAIN_UP if measured > previous else GAIN_DOWN
            self._rates[name] = previous + (measured - previous) * gain
        self._counts.clear()

    def rate(self, name: str) -> float:
        """Return the estimated requests per second for ``name``, 0.0 if unknown."""
        return self._rates.get(name, 0.0)
