"""Declared targets, as the watch over crashes asks for them."""

import threading
from urllib.parse import urlsplit

from runhatch_server.crashes import Standing
from runhatch_server.targets import refuses_connections


class TargetLives:
    """A :class:`runhatch_server.crashes.Targets`; safe for many threads.

    A declared target starts again under its name and address, and nothing tells one
    life of it from the next.  So this node counts the lives that it saw end, and names
    them with its own name: another node may have seen the same one end.
    """

    def __init__(self, node: str) -> None:
        self._node = node
        self._lock = threading.Lock()
        self._ended: dict[str, int] = {}
        self._urls: dict[str, str] = {}

    def current(self, target: str, url: str) -> str:
        """Return the name of the present life of ``target``."""
        with self._lock:
            self._urls[target] = url
            return self._name(target)

    def standing(self, target: str) -> Standing:
        """Return what is known of a life: it works, until it is seen to end."""
        return Standing.WORKS

    def refuses(self, target: str) -> bool:
        """Tell whether nothing listens any more at the address of a life."""
        with self._lock:
            parts = urlsplit(self._urls.get(_declared(target), ""))
        if not parts.hostname or not parts.port:
            return False
        return refuses_connections(parts.hostname, parts.port)

    def ended(self, target: str) -> None:
        """Take in that a life has ended; the next one has another name."""
        declared = _declared(target)
        with self._lock:
            if target == self._name(declared):
                self._ended[declared] = self._ended.get(declared, 0) + 1

    def _name(self, target: str) -> str:
        return f"{target}#{self._node}-{self._ended.get(target, 0)}"


def _declared(life: str) -> str:
    """Return the target of which ``life`` is one."""
    return life.rpartition("#")[0]
