"""Counts requests in progress, so that a shutdown can wait until they have ended."""

import threading
from datetime import timedelta


class RequestCounter:
    """A thread-safe counter of requests in progress.

    >>> progress = RequestCounter()
    >>> progress.record_begin()
    >>> progress.in_progress
    1
    >>> progress.record_end()
    >>> progress.wait_until_idle(timedelta())
    True
    """

    def __init__(self) -> None:
        self._count = 0
        self._begun = 0
        self._idle_condition = threading.Condition()

    @property
    def in_progress(self) -> int:
        """Number of requests in progress."""
        return self._count

    @property
    def total_begun(self) -> int:
        """Number of requests begun since the start of the process."""
        return self._begun

    def record_begin(self) -> None:
        """Count a request as in progress."""
        with self._idle_condition:
            self._count += 1
            self._begun += 1

    def record_end(self) -> None:
        """Count a request as ended."""
        with self._idle_condition:
            self._count -= 1
            self._idle_condition.notify_all()

    def wait_until_idle(self, timeout: timedelta) -> bool:
        """Wait until no request is in progress; return false after ``timeout``."""
        with self._idle_condition:
            return self._idle_condition.wait_for(
                lambda: self._count == 0, timeout.total_seconds()
            )
