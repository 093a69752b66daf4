"""Threads that answer requests, as many as there are requests at once."""

from collections.abc import Callable
from typing import Any

from waitress.task import ThreadedTaskDispatcher

LEAST_THREADS = 4
"""Threads that are kept while nothing happens."""
SPARE_THREADS = 2
"""Idle threads beyond the requests at once: callers come in clumps of some three,
and a thread takes 0.1 ms to start."""
JUDGED_EVERY = 200
"""Requests after which threads that none of them needed are ended: half a minute
of a node with a few requests a second."""


class GrowingDispatcher(ThreadedTaskDispatcher):  # type: ignore[misc]
    """A thread for each request in progress, up to ``most``; idle ones are ended.

    Sixty nodes with 200 threads each from the start had 12,600 for some 160 requests
    a second, more than one host let them start beside other work.
    """

    def __init__(self, most: int) -> None:
        super().__init__()
        self._most = most
        self._in_progress = 0
        self._most_in_progress = 0
        self._taken = 0
        self.set_thread_count(min(LEAST_THREADS, most))

    @property
    def thread_count(self) -> int:
        """Threads there are, but for those about to end."""
        with self.lock:
            return int(len(self.threads) - self.stop_count)

    def add_task(self, task: Any) -> None:
        """Queue ``task``, with a thread to take it unless the most are there."""
        with self.lock:
            self._in_progress += 1
            needed = self._in_progress
        running = self.thread_count
        if running < min(self._most, needed):
            self.set_thread_count(min(self._most, needed + SPARE_THREADS))
        else:
            self._end_idle(needed, running)
        super().add_task(_CountedTask(task, self._ended))

    def _ended(self) -> None:
        with self.lock:
            self._in_progress -= 1

    def _end_idle(self, needed: int, running: int) -> None:
        self._most_in_progress = max(self._most_in_progress, needed)
        self._taken += 1
        if self._taken < JUDGED_EVERY:
            return
        wanted = max(LEAST_THREADS, self._most_in_progress + SPARE_THREADS)
        self._taken = 0
        self._most_in_progress = needed
        if wanted < running:
            self.set_thread_count(wanted)


class _CountedTask:
    """A task that tells once when it has ended, or was given up."""

    def __init__(self, task: Any, on_end: Callable[[], None]) -> None:
        self._task = task
        self._on_end = on_end

    def service(self) -> None:
        """Do the work; called by one thread."""
        try:
            self._task.service()
        finally:
            self._on_end()

    def cancel(self) -> None:
        """Give the work up before it has begun."""
        try:
            self._task.cancel()
        finally:
            self._on_end()
