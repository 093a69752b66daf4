"""Counting requests in progress, so that a shutdown can wait for them."""

import threading
from datetime import timedelta


class Progress:
    """How many requests are under way.

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
        self._idle = threading.Condition()

    @property
    def count(self) -> int:
        """Requests under way now."""
        return self._count

    @property
    def begun(self) -> int:
        """Requests begun so far."""
        return self._begun

    def begin(self) -> None:
        """Count one more."""
        with self._idle:
            self._count += 1
            self._begun += 1

    def end(self) -> None:
        """Count one less."""
        with self._idle:
            self._count -= 1
            self._idle.notify_all()

    def wait_idle(self, longest: timedelta) -> bool:
        """Wait until nothing is under way; false if ``longest`` passes first."""
        with self._idle:
            return self._idle.wait_for(
                lambda: self._count == 0, longest.total_seconds()
            )
