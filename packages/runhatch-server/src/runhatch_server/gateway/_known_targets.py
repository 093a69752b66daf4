"""Discovered targets, as seen by crash detection."""

from runhatch_server.crashes import Standing
from runhatch_server.fleet import Directory
from runhatch_server.gateway._connections import ConnectionPool


class KnownTargets:
    """A :class:`runhatch_server.crashes.Targets` from directory and connections."""

    def __init__(self, directory: Directory, pool: ConnectionPool) -> None:
        self._directory = directory
        self._pool = pool

    def standing(self, target: str) -> Standing:
        """Return the standing of ``target`` in the directory."""
        known = self._directory.get(target)
        if known is None:
            return Standing.GONE
        return Standing.WORKS if known.is_ready else Standing.LEAVES

    def refuses(self, target: str) -> bool:
        """Return whether the address of ``target`` refuses connections."""
        known = self._directory.get(target)
        return known is not None and self._pool.refuses(known)

    def ended(self, target: str) -> None:
        """Do nothing: each incarnation has its own entry."""
