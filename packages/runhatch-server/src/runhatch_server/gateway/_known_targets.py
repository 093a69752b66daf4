"""Discovered targets, as seen by crash detection."""

from collections.abc import Callable
from datetime import timedelta

from runhatch_server.crashes import TargetStanding
from runhatch_server.fleet import TargetDirectory
from runhatch_server.gateway._connections import ConnectionPool


class KnownTargets:
    """State of targets by directory and connections: a
    :class:`runhatch_server.crashes.TargetMonitor`.

    ``is_confirmed`` returns whether a refusal of connections from here means that a
    target has ended, ``request_probe`` has a target probed from here.
    """

    def __init__(
        self,
        directory: TargetDirectory,
        pool: ConnectionPool,
        is_confirmed: Callable[[str], bool],
        request_probe: Callable[[str], None],
    ) -> None:
        self._directory = directory
        self._pool = pool
        self._is_confirmed = is_confirmed
        self._request_probe = request_probe

    def standing(self, target: str) -> TargetStanding:
        """Return the standing of ``target`` in the directory."""
        known = self._directory.get(target)
        if known is None:
            return TargetStanding.REMOVED
        return TargetStanding.RUNNING if known.is_ready else TargetStanding.DRAINING

    def refuses_connections(self, target: str) -> bool:
        """Return whether ``target`` refuses connections, and not just from here."""
        known = self._directory.get(target)
        return (
            known is not None
            and self._pool.refuses_connections_of(known)
            and self._is_confirmed(target)
        )

    def probe_refusal(self, target: str) -> bool | None:
        """Return whether ``target`` refuses connections from here, if known."""
        known = self._directory.get(target)
        return None if known is None else self._pool.probe_refusal_of(known)

    def record_end(self, target: str, at: timedelta) -> None:
        """Send ``target`` no requests, unless a probe from here reaches it."""
        if self._directory.record_end(target, at):
            # A node that reported the end may be cut off from a running target.
            self._request_probe(target)
