"""Discovered targets, as seen by crash detection."""

from runhatch_server.crashes import TargetStanding
from runhatch_server.fleet import TargetDirectory
from runhatch_server.gateway._connections import ConnectionPool


class KnownTargets:
    """State of targets by directory and connections: a
    :class:`runhatch_server.crashes.TargetMonitor`.
    """

    def __init__(self, directory: TargetDirectory, pool: ConnectionPool) -> None:
        self._directory = directory
        self._pool = pool

    def standing(self, target: str) -> TargetStanding:
        """Return the standing of ``target`` in the directory."""
        known = self._directory.get(target)
        if known is None:
            return TargetStanding.REMOVED
        return TargetStanding.RUNNING if known.is_ready else TargetStanding.DRAINING

    def refuses_connections(self, target: str) -> bool:
        """Return whether the address of ``target`` refuses connections."""
        known = self._directory.get(target)
        return known is not None and self._pool.refuses_connections_of(known)

    def record_end(self, target: str) -> None:
        """Do nothing: each incarnation has its own entry."""
