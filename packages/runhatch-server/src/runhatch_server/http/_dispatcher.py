"""A thread pool that grows and shrinks with the number of concurrent requests."""

from collections.abc import Callable
from typing import Any

from waitress.task import ThreadedTaskDispatcher

MIN_THREADS = 4
"""Threads that are kept while no request is in progress."""
SPARE_THREADS = 2
"""Idle threads beyond the concurrent requests: requests arrive in bursts of about
three, and a thread takes 0.1 ms to start."""
REQUESTS_PER_CHECK = 200
"""Number of requests after which threads that were not needed are ended: about half
a minute on a node with a few requests a second."""


class GrowingDispatcher(ThreadedTaskDispatcher):  # type: ignore[misc]
    """Provides a thread per request in progress, up to ``max_threads``; ends idle
    threads.

    With 200 threads started in advance, sixty nodes on one host had 12,600 threads for
    160 requests a second, more than the host allowed.
    """

    def __init__(self, max_threads: int) -> None:
        super().__init__()
        self._max_threads = max_threads
        self._in_progress = 0
        self._peak_in_progress = 0
        self._requests_since_check = 0
        self.set_thread_count(min(MIN_THREADS, max_threads))

    @property
    def thread_count(self) -> int:
        """Number of threads, without those that are about to end."""
        with self.lock:
            return int(len(self.threads) - self.stop_count)

    def add_task(self, task: Any) -> None:
        """Queue ``task``; start a thread for it unless the maximum is reached."""
        with self.lock:
            self._in_progress += 1
            needed = self._in_progress
        running = self.thread_count
        if running < min(self._max_threads, needed):
            self.set_thread_count(min(self._max_threads, needed + SPARE_THREADS))
        else:
            self._end_unneeded_threads(needed, running)
        super().add_task(_CountedTask(task, self._record_end))

    def _record_end(self) -> None:
        with self.lock:
            self._in_progress -= 1

    def _end_unneeded_threads(self, needed: int, running: int) -> None:
        self._peak_in_progress = max(self._peak_in_progress, needed)
        self._requests_since_check += 1
        if self._requests_since_check < REQUESTS_PER_CHECK:
            return
        needed_threads = max(MIN_THREADS, self._peak_in_progress + SPARE_THREADS)
        self._requests_since_check = 0
        self._peak_in_progress = needed
        if needed_threads < running:
            self.set_thread_count(needed_threads)


class _CountedTask:
    """A task that calls ``on_end`` when it has ended or was cancelled."""

    def __init__(self, task: Any, on_end: Callable[[], None]) -> None:
        self._task = task
        self._on_end = on_end

    def service(self) -> None:
        """Run the task."""
        try:
            self._task.service()
        finally:
            self._on_end()

    def cancel(self) -> None:
        """Cancel the task before it has begun."""
        try:
            self._task.cancel()
        finally:
            self._on_end()
