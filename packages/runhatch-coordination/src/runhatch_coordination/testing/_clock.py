"""A clock that moves only when told."""

import threading
from datetime import UTC, datetime, timedelta

START = datetime(2026, 1, 1, tzinfo=UTC)


class ManualClock:
    """A :class:`~runhatch_coordination.Clock` under the test's control.

    >>> clock = ManualClock()
    >>> clock.advance(timedelta(seconds=2))
    >>> clock.elapsed()
    datetime.timedelta(seconds=2)
    """

    def __init__(self) -> None:
        self._elapsed = timedelta()
        self._jumped = timedelta()
        self._lock = threading.Lock()

    def now(self) -> datetime:
        """Return a fixed start plus what has elapsed and what was jumped."""
        return START + self._elapsed + self._jumped

    def elapsed(self) -> timedelta:
        """Return how far the clock was advanced."""
        return self._elapsed

    def sleep(self, duration: timedelta) -> None:
        """Advance instead of blocking."""
        self.advance(duration)

    def jump(self, duration: timedelta) -> None:
        """Set the wall time on, or back; nothing has elapsed."""
        with self._lock:
            self._jumped += duration

    def advance(self, duration: timedelta) -> None:
        """Move the clock on."""
        with self._lock:
            self._elapsed += duration
