"""Runs recurring tasks, each in its own thread, until the node drains."""

import random
import threading
from collections.abc import Callable
from datetime import timedelta

import eliot

from runhatch_coordination import Clock, InvariantError

JITTER_FRACTION = 0.1


def _raise(error: InvariantError) -> None:
    raise error


class RecurringTasks:
    """Starts recurring tasks, which continue after exceptions.

    An :class:`InvariantError` ends the task and calls ``on_invariant_error``; any other
    exception is logged, and the task runs again after its interval.
    """

    def __init__(self, clock: Clock, stopping: threading.Event) -> None:
        self._clock = clock
        self._stopping = stopping
        self.on_invariant_error: Callable[[InvariantError], None] = _raise

    def start_task(
        self,
        name: str,
        interval: timedelta | Callable[[], timedelta],
        work: Callable[[], None],
        wake: threading.Event | None = None,
    ) -> None:
        """Call ``work`` every ``interval``, jittered, and whenever ``wake`` is set.

        An ``interval`` that is a function is called before each pause.
        """
        thread = threading.Thread(
            target=self._run,
            args=(interval, work, wake or threading.Event()),
            name=name,
            daemon=True,
        )
        thread.start()

    def _run(
        self,
        interval: timedelta | Callable[[], timedelta],
        work: Callable[[], None],
        wake: threading.Event,
    ) -> None:
        while not self._stopping.is_set():
            try:
                work()
            except InvariantError as broken:
                self.on_invariant_error(broken)
                return
            except Exception:
                eliot.write_traceback()
            current_interval = (
                interval if isinstance(interval, timedelta) else interval()
            )
            pause = current_interval * random.uniform(
                1 - JITTER_FRACTION, 1 + JITTER_FRACTION
            )
            wake.wait(pause.total_seconds())
            wake.clear()
