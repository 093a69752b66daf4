"""Counts requests in progress, so that a shutdown can wait until they have ended."""

import threading
from datetime import timedelta


class Progress:
    """A thread-safe counter of requests in progress.

    >>> progress = Progress()
    >>> progress.begin()
    >>> progress.count
    1
    >>> progress.end()
    >>> progress.wait_idle(timedelta())
    True
    """

    def __init__(self) -> None:
        self._count = 0
        self._begun = 0
        self._idle_condition = threading.Condition()

    @property
    def count(self) -> int:
        """Number of requests in progress."""
        return self._count

    @property
    def begun(self) -> int:
        """Number of requests begun since the start of the process."""
        return self._begun

    def begin(self) -> None:
        """Count a request as in progress."""
        with self._idle_condition:
            self._count += 1
            self._begun += 1

    def end(self) -> None:
        """Count a request as ended."""
        with self._idle_condition:
            self._count -= 1
            self._idle_condition.notify_all()

    def wait_idle(self, longest: timedelta) -> bool:
        """Wait until no request is in progress; return false after ``longest``."""
        with self._idle_condition:
            return self._idle_condition.wait_for(
                lambda: self._count == 0, longest.total_seconds()
            )
