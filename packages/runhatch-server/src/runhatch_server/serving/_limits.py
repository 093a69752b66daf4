"""Adapts the number of concurrent requests from this node to one target."""

from datetime import timedelta

LIMIT_INCREASE = 1.0
BUSY_DECREASE_FACTOR = 0.7
SLOW_DECREASE_FACTOR = 0.9
SLOW_FACTOR = 2.0
SLOW_SLACK = timedelta(milliseconds=50)
SATURATION_SHARE = 0.8
BASELINE_GAIN = 0.02


class AdaptiveLimit:
    """Additive increase, multiplicative decrease, between 1 and a ceiling.

    Increases only while it is nearly used up.  Decreases when the target refuses
    for load or when its first byte takes much longer than the baseline.

    >>> limit = AdaptiveLimit(10)
    >>> limit.record_refusal(timedelta(seconds=1)); limit.value
    7
    """

    def __init__(self, ceiling: int) -> None:
        self._ceiling = float(ceiling)
        self._limit = float(ceiling)
        self._baseline: timedelta | None = None
        self._decreased_at = timedelta(days=-1)

    @property
    def value(self) -> int:
        """Number of requests allowed at once."""
        return max(1, int(self._limit))

    def record_answer(
        self, first_byte: timedelta, outstanding: int, now: timedelta
    ) -> None:
        """Record the time to the first byte of one answer."""
        saturated = outstanding >= SATURATION_SHARE * self._limit
        slow = self._is_slow(first_byte)
        self._update_baseline(first_byte)
        if not saturated:
            return
        if slow:
            self._decrease(SLOW_DECREASE_FACTOR, now)
        else:
            self._limit = min(self._ceiling, self._limit + LIMIT_INCREASE / self._limit)

    def record_refusal(self, now: timedelta) -> None:
        """Record that the target refused a request for load."""
        self._decrease(BUSY_DECREASE_FACTOR, now)

    def _is_slow(self, first_byte: timedelta) -> bool:
        if self._baseline is None:
            return False
        return first_byte > self._baseline * SLOW_FACTOR + SLOW_SLACK

    def _update_baseline(self, first_byte: timedelta) -> None:
        if self._baseline is None or first_byte < self._baseline:
            self._baseline = first_byte
        else:
            self._baseline += (first_byte - self._baseline) * BASELINE_GAIN

    def _decrease(self, factor: float, now: timedelta) -> None:
        # A burst of refusals or slow answers decreases the limit only once.
        min_interval = self._baseline or timedelta(milliseconds=100)
        if now - self._decreased_at < min_interval:
            return
        self._decreased_at = now
        self._limit = max(1.0, self._limit * factor)
