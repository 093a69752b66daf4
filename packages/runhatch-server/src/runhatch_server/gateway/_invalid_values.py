"""Log lines about values in answers of targets that cannot be decoded."""

import threading
from collections.abc import Callable

from runhatch_server.observability import log_change


class InvalidValueLog:
    """Logs invalid values of one kind, the first of each target; thread-safe."""

    def __init__(self, message_type: str) -> None:
        self._message_type = message_type
        self._lock = threading.Lock()
        self._targets: set[str] = set()

    def log(self, target: str, value: str) -> None:
        """Log the invalid ``value``, unless one of ``target`` was logged."""
        with self._lock:
            if target in self._targets:
                return
            self._targets.add(target)
        log_change(self._message_type, target=target, found=value)

    def remove_ended(self, is_known: Callable[[str], bool]) -> None:
        """Forget the targets that ``is_known`` rejects."""
        with self._lock:
            self._targets = {name for name in self._targets if is_known(name)}
