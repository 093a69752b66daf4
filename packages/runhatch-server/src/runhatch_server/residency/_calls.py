"""Calls to targets in workers, whose answers are taken in by the orderer's rounds."""

from collections.abc import Callable, Container
from concurrent.futures import Future, ThreadPoolExecutor

from runhatch_server.residency._control import TargetControl

CALL_WORKERS = 8
"""Calls to targets at once; one that is dark holds a worker for its timeout."""

Take = Callable[[object], None]


class TargetCalls:
    """Calls to targets; used by one thread.

    ``on_answer`` is called by a worker once an answer waits to be taken in.  A call
    may end after the next to its target has begun, if the controls began anew.
    """

    def __init__(self, on_answer: Callable[[], None]) -> None:
        self._on_answer = on_answer
        self._executor = ThreadPoolExecutor(CALL_WORKERS, thread_name_prefix="orders")
        self._pending: list[tuple[str, Future[object], Take]] = []

    def start(
        self, control: TargetControl, work: Callable[[], object], take: Take
    ) -> None:
        """Have a worker call the target; ``take`` gets what ``work`` returns."""
        control.calling = True
        future = self._executor.submit(work)
        self._pending.append((control.target.incarnation, future, take))
        future.add_done_callback(lambda done: self._on_answer())

    def take_answers(self, known: Container[str]) -> None:
        """Take in what has come, but for targets that are not ``known`` any more."""
        ended = [call for call in self._pending if call[1].done()]
        for call in ended:
            self._pending.remove(call)
        for target, future, take in ended:
            if target in known:
                take(future.result())

    def forget(self) -> None:
        """Take in nothing of what is on its way."""
        self._pending.clear()

    def close(self) -> None:
        """Begin nothing more, and wait for what has begun."""
        self._executor.shutdown(wait=True, cancel_futures=True)
