"""Observed rates: how fast a route's queue drains, and how long a request takes."""

from datetime import timedelta

WINDOW = timedelta(seconds=5)
SERVICE_GAIN = 0.1


class DrainRate:
    """Completions a second over a sliding pair of windows."""

    def __init__(self) -> None:
        self._started: timedelta | None = None
        self._count = 0
        self._previous: float | None = None

    def note(self, now: timedelta) -> None:
        """Record one completion."""
        self._turn(now)
        self._count += 1

    def per_second(self, now: timedelta) -> float | None:
        """Return the rate, ``None`` before anything was completed."""
        self._turn(now)
        if self._started is None:
            return None
        age = (now - self._started) / timedelta(seconds=1)
        span = WINDOW.total_seconds()
        if self._previous is None:
            return self._count / max(age, 0.5)
        fresh = min(1.0, age / span)
        return (self._previous * (1 - fresh) * span + self._count) / span

    def _turn(self, now: timedelta) -> None:
        if self._started is None:
            self._started = now
            return
        age = now - self._started
        if age < WINDOW:
            return
        quiet = age >= 2 * WINDOW
        self._previous = 0.0 if quiet else self._count / WINDOW.total_seconds()
        self._count = 0
        self._started = now


class ServiceTime:
    """A moving average of how long requests take."""

    def __init__(self) -> None:
        self._mean: timedelta | None = None

    @property
    def mean(self) -> timedelta | None:
        """The average, ``None`` before the first request."""
        return self._mean

    def note(self, took: timedelta) -> None:
        """Take in one request."""
        if self._mean is None:
            self._mean = took
        else:
            self._mean += (took - self._mean) * SERVICE_GAIN
