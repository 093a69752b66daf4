"""Detect that this process did not run for a time."""

import threading
from datetime import timedelta

from runhatch_coordination import Clock

MIN_PAUSE = timedelta(seconds=1)
"""Shortest time between two records that counts as a pause: four intervals."""
BACKLOG_DURATION = timedelta(seconds=1)
"""How long after a pause messages are read that arrived during it."""


class PauseDetector:
    """Detects pauses, such as those of a stopped process; thread-safe.

    Messages that arrive during a pause are read after it.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._recorded_at: timedelta | None = None
        self._paused_at = self._resumed_at = timedelta.min
        """When this process last ran before the pause, and first after it."""

    def record_running(self) -> None:
        """Record that this process runs; must be called every 250 ms."""
        with self._lock:
            self._record_pause()
            self._recorded_at = self._clock.elapsed()

    def max_unread_time(self) -> timedelta:
        """Return for how long a message read now may have been unread."""
        with self._lock:
            self._record_pause()
            now = self._clock.elapsed()
            if now - BACKLOG_DURATION < self._resumed_at:
                return now - self._paused_at
            return timedelta()

    def _record_pause(self) -> None:
        now = self._clock.elapsed()
        if self._recorded_at is None or now - self._recorded_at < MIN_PAUSE:
            return
        if self._recorded_at - BACKLOG_DURATION >= self._resumed_at:
            self._paused_at = self._recorded_at
        # Otherwise messages from an earlier pause may still be unread.
        self._resumed_at = self._recorded_at = now
