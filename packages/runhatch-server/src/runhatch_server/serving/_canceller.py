"""Cancels requests at engines when their answers are no longer needed."""

from concurrent.futures import ThreadPoolExecutor

from runhatch_server.targets import EngineClient

CANCEL_THREADS = 4


class Canceller:
    """Sends cancellations from a thread pool, so that no request waits for one."""

    def __init__(self) -> None:
        self._pool = ThreadPoolExecutor(CANCEL_THREADS, thread_name_prefix="cancel")

    def cancel(self, url: str, sent_id: str) -> None:
        """Cancel the request with the id ``sent_id`` at the engine at ``url``."""
        self._pool.submit(_cancel, url, sent_id)

    def close(self) -> None:
        """Send the queued cancellations and stop."""
        self._pool.shutdown()


def _cancel(url: str, sent_id: str) -> None:
    EngineClient(url).cancel_request(sent_id)
