"""Identifies incarnations of declared targets for the crash watch."""

import threading
from datetime import timedelta
from urllib.parse import urlsplit

from runhatch_server.crashes import TargetStanding
from runhatch_server.targets import refuses_connections


class TargetIncarnations:
    """Implements :class:`runhatch_server.crashes.TargetMonitor`; thread-safe.

    A declared target restarts under the same name and address, so its incarnations
    cannot be told apart from outside.  This node counts the ends that it observed and
    puts its own name into the ids, as another node may have observed the same end.
    """

    def __init__(self, node: str) -> None:
        self._node = node
        self._lock = threading.Lock()
        self._ended_counts: dict[str, int] = {}
        self._urls: dict[str, str] = {}

    def current_id(self, target: str, url: str) -> str:
        """Return the id of the current incarnation of ``target``."""
        with self._lock:
            self._urls[target] = url
            return self._incarnation_id(target)

    def standing(self, target: str) -> TargetStanding:
        """Return ``RUNNING``: an incarnation works until it is observed to end."""
        return TargetStanding.RUNNING

    def refuses_connections(self, target: str) -> bool:
        """Return whether the address of an incarnation refuses connections."""
        with self._lock:
            parts = urlsplit(self._urls.get(_target_of(target), ""))
        if not parts.hostname or not parts.port:
            return False
        return refuses_connections(parts.hostname, parts.port)

    def record_end(self, target: str, at: timedelta) -> None:
        """Record the end of an incarnation; the next one gets another id."""
        target_name = _target_of(target)
        with self._lock:
            if target == self._incarnation_id(target_name):
                self._ended_counts[target_name] = (
                    self._ended_counts.get(target_name, 0) + 1
                )

    def _incarnation_id(self, target: str) -> str:
        return f"{target}#{self._node}-{self._ended_counts.get(target, 0)}"


def _target_of(life: str) -> str:
    """Return the name of the target whose incarnation is ``life``."""
    return life.rpartition("#")[0]
