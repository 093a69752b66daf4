"""Call targets in worker threads and apply their answers in the orderer's rounds."""

from collections.abc import Callable, Container
from concurrent.futures import Future, ThreadPoolExecutor

from runhatch_server.residency._control import TargetControl

CALL_WORKERS = 8
"""Maximum concurrent calls to targets; a call to a target that does not answer occupies
a worker until its timeout."""

ApplyAnswer = Callable[[object], None]


class TargetCalls:
    """Runs calls to targets; used by one thread.

    ``on_answer`` is called by a worker when an answer is ready. If the controls were
    cleared, a call may end after the next call to its target has started.
    """

    def __init__(self, on_answer: Callable[[], None]) -> None:
        self._on_answer = on_answer
        self._executor = ThreadPoolExecutor(CALL_WORKERS, thread_name_prefix="orders")
        self._pending: list[tuple[str, Future[object], ApplyAnswer]] = []

    def start(
        self,
        control: TargetControl,
        call: Callable[[], object],
        apply_answer: ApplyAnswer,
    ) -> None:
        """Call the target in a worker; ``apply_answer`` receives its result."""
        control.is_calling = True
        future = self._executor.submit(call)
        self._pending.append((control.target.incarnation, future, apply_answer))
        future.add_done_callback(lambda done: self._on_answer())

    def apply_answers(self, known_targets: Container[str]) -> None:
        """Apply the answers received, except of targets not in ``known_targets``."""
        ended = [call for call in self._pending if call[1].done()]
        for call in ended:
            self._pending.remove(call)
        for target, future, apply_answer in ended:
            if target in known_targets:
                apply_answer(future.result())

    def ignore_pending(self) -> None:
        """Ignore the answers to all calls in progress."""
        self._pending.clear()

    def close(self) -> None:
        """Start no more calls, and wait for those in progress."""
        self._executor.shutdown(wait=True, cancel_futures=True)
