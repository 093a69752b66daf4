"""How many requests this node keeps at one target: adaptive, by what it sees."""

from datetime import timedelta

INCREASE = 1.0
DECREASE_BUSY = 0.7
DECREASE_SLOW = 0.9
SLOW_FACTOR = 2.0
SLOW_SLACK = timedelta(milliseconds=50)
NEARLY_FULL = 0.8
BASELINE_GAIN = 0.02


class AdaptiveLimit:
    """Additive increase, multiplicative decrease, between 1 and a ceiling.

    Grows only while it is used, shrinks when the target refuses for load or its
    first byte takes far longer than it usually does.

    >>> limit = AdaptiveLimit(10)
    >>> limit.refused(timedelta(seconds=1)); limit.value
    7
    """

    def __init__(self, ceiling: int) -> None:
        self._ceiling = float(ceiling)
        self._limit = float(ceiling)
        self._baseline: timedelta | None = None
        self._shrunk_at = timedelta(days=-1)

    @property
    def value(self) -> int:
        """Requests allowed at once."""
        return max(1, int(self._limit))

    def answered(self, first_byte: timedelta, outstanding: int, now: timedelta) -> None:
        """Take in one answer's time to the first byte."""
        used = outstanding >= NEARLY_FULL * self._limit
        slow = self._is_slow(first_byte)
        self._learn(first_byte)
        if not used:
            return
        if slow:
            self._shrink(DECREASE_SLOW, now)
        else:
            self._limit = min(self._ceiling, self._limit + INCREASE / self._limit)

    def refused(self, now: timedelta) -> None:
        """Take in that the target refused for load."""
        self._shrink(DECREASE_BUSY, now)

    def _is_slow(self, first_byte: timedelta) -> bool:
        if self._baseline is None:
            return False
        return first_byte > self._baseline * SLOW_FACTOR + SLOW_SLACK

    def _learn(self, first_byte: timedelta) -> None:
        if self._baseline is None or first_byte < self._baseline:
            self._baseline = first_byte
        else:
            self._baseline += (first_byte - self._baseline) * BASELINE_GAIN

    def _shrink(self, factor: float, now: timedelta) -> None:
        # One burst of bad news counts once.
        pause = self._baseline or timedelta(milliseconds=100)
        if now - self._shrunk_at < pause:
            return
        self._shrunk_at = now
        self._limit = max(1.0, self._limit * factor)
