"""Learned targets, as the watch over crashes asks for them."""

from runhatch_server.crashes import Standing
from runhatch_server.fleet import Directory
from runhatch_server.gateway._connections import ConnectionPool


class KnownTargets:
    """A :class:`runhatch_server.crashes.Targets` by directory and connections."""

    def __init__(self, directory: Directory, pool: ConnectionPool) -> None:
        self._directory = directory
        self._pool = pool

    def standing(self, target: str) -> Standing:
        """Return what the directory knows of ``target``."""
        known = self._directory.get(target)
        if known is None:
            return Standing.GONE
        return Standing.WORKS if known.is_ready else Standing.LEAVES

    def refuses(self, target: str) -> bool:
        """Tell whether nothing listens at its address any more."""
        known = self._directory.get(target)
        return known is not None and self._pool.refuses(known)

    def ended(self, target: str) -> None:
        """Do nothing: each incarnation has its own entry."""
