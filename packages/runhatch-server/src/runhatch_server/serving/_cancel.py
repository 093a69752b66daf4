"""Telling engines that nobody waits for an answer any more."""

from concurrent.futures import ThreadPoolExecutor

from runhatch_server.targets import EngineClient

WORKERS = 4


class Canceller:
    """Sends cancellations in the background, so that no request waits for one."""

    def __init__(self) -> None:
        self._pool = ThreadPoolExecutor(WORKERS, thread_name_prefix="cancel")

    def cancel(self, url: str, sent_id: str) -> None:
        """Ask the engine at ``url`` to stop the request it knows as ``sent_id``."""
        self._pool.submit(_cancel, url, sent_id)

    def close(self) -> None:
        """Send what is queued and stop."""
        self._pool.shutdown()


def _cancel(url: str, sent_id: str) -> None:
    EngineClient(url).cancel(sent_id)
