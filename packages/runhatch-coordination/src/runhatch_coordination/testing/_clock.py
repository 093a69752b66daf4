"""A clock that is advanced by the test."""

import threading
from datetime import UTC, datetime, timedelta

START_TIME = datetime(2026, 1, 1, tzinfo=UTC)


class ManualClock:
    """A :class:`~runhatch_coordination.Clock` that the test controls.

    >>> clock = ManualClock()
    >>> clock.advance(timedelta(seconds=2))
    >>> clock.elapsed()
    datetime.timedelta(seconds=2)
    """

    def __init__(self) -> None:
        self._elapsed = timedelta()
        self._wall_offset = timedelta()
        self._lock = threading.Lock()

    def now(self) -> datetime:
        """Return the wall time: a fixed start plus all advances and jumps."""
        return START_TIME + self._elapsed + self._wall_offset

    def elapsed(self) -> timedelta:
        """Return the sum of all advances."""
        return self._elapsed

    def sleep(self, duration: timedelta) -> None:
        """Advance the clock by ``duration`` instead of blocking."""
        self.advance(duration)

    def shift_wall_time(self, duration: timedelta) -> None:
        """Change the wall time by ``duration``; the elapsed time stays."""
        with self._lock:
            self._wall_offset += duration

    def advance(self, duration: timedelta) -> None:
        """Advance the elapsed time and the wall time by ``duration``."""
        with self._lock:
            self._elapsed += duration
