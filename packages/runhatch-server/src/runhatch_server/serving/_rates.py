"""Measures a route's completion rate and the mean duration of its requests."""

from datetime import timedelta

RATE_WINDOW = timedelta(seconds=5)
SERVICE_GAIN = 0.1


class CompletionRate:
    """Measures completions per second over a sliding window.

    The window is interpolated from the current and the previous fixed one.
    """

    def __init__(self) -> None:
        self._window_start: timedelta | None = None
        self._count = 0
        self._previous_rate: float | None = None

    def record_completion(self, now: timedelta) -> None:
        """Record one completion."""
        self._rotate_window(now)
        self._count += 1

    def per_second(self, now: timedelta) -> float | None:
        """Return the rate, ``None`` before the first completion."""
        self._rotate_window(now)
        if self._window_start is None:
            return None
        age = (now - self._window_start) / timedelta(seconds=1)
        window_seconds = RATE_WINDOW.total_seconds()
        if self._previous_rate is None:
            return self._count / max(age, 0.5)
        elapsed_share = min(1.0, age / window_seconds)
        return (
            self._previous_rate * (1 - elapsed_share) * window_seconds + self._count
        ) / window_seconds

    def _rotate_window(self, now: timedelta) -> None:
        if self._window_start is None:
            self._window_start = now
            return
        age = now - self._window_start
        if age < RATE_WINDOW:
            return
        was_idle = age >= 2 * RATE_WINDOW
        self._previous_rate = (
            0.0 if was_idle else self._count / RATE_WINDOW.total_seconds()
        )
        self._count = 0
        self._window_start = now


class MeanServiceTime:
    """Exponential moving average of request durations."""

    def __init__(self) -> None:
        self._mean: timedelta | None = None

    @property
    def mean(self) -> timedelta | None:
        """The average, ``None`` before the first request."""
        return self._mean

    def record_duration(self, duration: timedelta) -> None:
        """Record the duration of one request."""
        if self._mean is None:
            self._mean = duration
        else:
            self._mean += (duration - self._mean) * SERVICE_GAIN
