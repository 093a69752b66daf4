"""Demand by model, estimated fast on the way up and slowly on the way down."""

from collections import Counter, defaultdict
from datetime import timedelta

WINDOW = timedelta(seconds=5)
GAIN_UP = 0.6
GAIN_DOWN = 0.04


class DemandEstimate:
    """Requests a second for each model, from counts that nodes send in.

    >>> estimate = DemandEstimate()
    >>> estimate.add({"m": 50})
    >>> estimate.tick(timedelta(seconds=5))
    >>> estimate.rate("m")
    6.0
    """

    def __init__(self, window: timedelta = WINDOW) -> None:
        self._window = window
        self._counts: Counter[str] = Counter()
        self._rates: dict[str, float] = defaultdict(float)
        self._ticked = timedelta()

    def add(self, counts: dict[str, int]) -> None:
        """Take in one node's counts."""
        self._counts.update(counts)

    def tick(self, now: timedelta) -> None:
        """Fold the counts into the rates, once a window."""
        elapsed = now - self._ticked
        if elapsed < self._window:
            return
        self._ticked = now
        seconds = elapsed.total_seconds()
        for name in {*self._counts, *self._rates}:
            seen = self._counts[name] / seconds
            known = self._rates[name]
            gain = GAIN_UP if seen > known else GAIN_DOWN
            self._rates[name] = known + (seen - known) * gain
        self._counts.clear()

    def rate(self, name: str) -> float:
        """Return the estimated requests a second for ``name``."""
        return self._rates.get(name, 0.0)
