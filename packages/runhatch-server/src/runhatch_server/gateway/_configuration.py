"""Applies new versions of the routing configuration and ignores older ones."""

from collections.abc import Callable

from runhatch_coordination import Entry
from runhatch_server.observability import Metrics, log_change
from runhatch_server.routing import RouteTable, RoutingConfiguration


class ActiveConfiguration:
    """Holds the current routes.

    A :class:`runhatch_coordination.FeedListener`; ``on_routes`` is called with each
    new route table.
    """

    def __init__(
        self, on_routes: Callable[[RouteTable], None], metrics: Metrics
    ) -> None:
        self._on_routes = on_routes
        self._metrics = metrics
        self._routes: RouteTable | None = None

    @property
    def routes(self) -> RouteTable | None:
        """The current routes, ``None`` before the first configuration."""
        return self._routes

    def replace_entries(self, entries: tuple[Entry[RoutingConfiguration], ...]) -> None:
        """Apply the configuration listed by the store."""
        self.apply_entries(entries)

    def apply_entries(self, entries: tuple[Entry[RoutingConfiguration], ...]) -> None:
        """Apply new versions."""
        for entry in entries:
            if entry.value is not None:
                self.apply_if_newer(entry.value, "store")

    def apply_if_newer(self, configuration: RoutingConfiguration, source: str) -> bool:
        """Apply ``configuration`` if it is newer; return whether it was."""
        current = self._routes
        if current is not None and configuration.version <= current.version:
            return False
        routes = RouteTable(configuration)
        self._routes = routes
        self._on_routes(routes)
        self._metrics.revision.set(configuration.version)
        log_change(
            "configuration",
            version=configuration.version,
            source=source,
            routes=len(configuration.routes),
            services=len(configuration.services),
        )
        return True

    def handle_restoration(self) -> None:
        """Keep the current routes though the store was restored from an older copy."""

    def handle_outage(self, reason: str) -> None:
        """Log that the store cannot be read; the current routes stay."""
        log_change("configuration_unreachable", why=reason)

    def handle_recovery(self) -> None:
        """Log that the store can be read again."""
        log_change("configuration_reachable")

    def handle_store_return(self) -> None:
        """Do nothing: the configuration doesn't expire."""
