"""Lookup of the route of a request, and selection of its service."""

import random
from collections import defaultdict
from datetime import timedelta

from runhatch_server.routing._specs import (
    RouteSpec,
    RoutingConfiguration,
    ServiceSpec,
)
from runhatch_server.routing._workspaces import KeyDirectory, WorkspaceSpec

STREAM_AGE_FACTOR = 2
"""Longest age of a resumed stream, as a multiple of its route's timeout: an attempt may
break off at the end of the timeout, and its resumption may last as long again."""


class RouteTable:
    """The routes of one configuration; immutable, so readers need no lock.

    >>> RouteTable(RoutingConfiguration(1, (), ())).find("a.example", "/x/") is None
    True
    """

    def __init__(self, configuration: RoutingConfiguration) -> None:
        self.configuration = configuration
        self.services: dict[str, ServiceSpec] = {
            service.name: service for service in configuration.services
        }
        self.max_gaps: dict[str, timedelta] = {}
        """The smallest ``max_gap`` of all routes of a service, by service name."""
        self.max_stream_age = STREAM_AGE_FACTOR * max(
            (route.timeout for route in configuration.routes if route.resumable),
            default=timedelta(),
        )
        """Longest time over which callers resume a stream after it began."""
        self.resumable_services = frozenset(
            share.service
            for route in configuration.routes
            if route.resumable
            for share in route.shares
        )
        """Services whose streams callers may resume."""
        self.workspaces: dict[str, WorkspaceSpec] = {
            workspace.name: workspace for workspace in configuration.workspaces or ()
        }
        self.keys = KeyDirectory(self.workspaces.values())
        """The workspaces by their keys."""
        self._by_host: dict[str, dict[str, RouteSpec]] = defaultdict(dict)
        for route in configuration.routes:
            self._by_host[route.host.lower()][route.path_prefix] = route
            self._record_max_gap(route)

    @property
    def version(self) -> int:
        """The version of the configuration."""
        return self.configuration.version

    @property
    def has_workspaces(self) -> bool:
        """Whether requests carry keys, except on routes that allow anonymous ones."""
        return self.configuration.workspaces is not None

    def _record_max_gap(self, route: RouteSpec) -> None:
        if route.max_gap is None:
            return
        for share in route.shares:
            smallest = self.max_gaps.get(share.service, route.max_gap)
            self.max_gaps[share.service] = min(smallest, route.max_gap)

    def find(self, host: str, path: str) -> RouteSpec | None:
        """Return the route with the longest prefix of ``path`` at ``host``.

        Takes one dictionary lookup per slash in ``path``, regardless of the number of
        routes.
        """
        routes = self._by_host.get(_without_port(host).lower())
        if routes is None:
            return None
        end = len(path)
        while end > 0:
            end = path.rfind("/", 0, end)
            if end < 0:
                return None
            route = routes.get(path[: end + 1])
            if route is not None:
                return route
        return None


def choose_service(route: RouteSpec, random_source: random.Random) -> str:
    """Return a random service for one request, by the weights of the route.

    The result is empty if the route has no services.
    """
    if not route.shares:
        return ""
    if len(route.shares) == 1:
        return route.shares[0].service
    weights = [max(0.0, share.weight) for share in route.shares]
    if not any(weights):
        return route.shares[0].service
    names = [share.service for share in route.shares]
    return random_source.choices(names, weights)[0]


def _without_port(host: str) -> str:
    name, colon, port = host.rpartition(":")
    return name if colon and port.isdecimal() else host
