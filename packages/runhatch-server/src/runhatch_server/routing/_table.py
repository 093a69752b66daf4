"""Finding the route of a request, and the service that it goes to."""

import random
from collections import defaultdict
from datetime import timedelta

from runhatch_server.routing._specs import (
    RouteSpec,
    RoutingConfiguration,
    ServiceSpec,
)


class RouteTable:
    """The routes of one configuration; never changes, so readers take no lock.

    >>> RouteTable(RoutingConfiguration(1, (), ())).find("a.example", "/x/") is None
    True
    """

    def __init__(self, configuration: RoutingConfiguration) -> None:
        self.configuration = configuration
        self.services: dict[str, ServiceSpec] = {
            service.name: service for service in configuration.services
        }
        self.max_gaps: dict[str, timedelta] = {}
        """The shortest pause that any route of a service allows, by service."""
        self._by_host: dict[str, dict[str, RouteSpec]] = defaultdict(dict)
        for route in configuration.routes:
            self._by_host[route.host.lower()][route.path_prefix] = route
            self._note_gap(route)

    @property
    def version(self) -> int:
        """The version of the configuration."""
        return self.configuration.version

    def _note_gap(self, route: RouteSpec) -> None:
        if route.max_gap is None:
            return
        for share in route.shares:
            known = self.max_gaps.get(share.service, route.max_gap)
            self.max_gaps[share.service] = min(known, route.max_gap)

    def find(self, host: str, path: str) -> RouteSpec | None:
        """Return the route with the longest prefix of ``path`` at ``host``.

        Costs one look-up for each slash in ``path``, however many routes there
        are.
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
    """Return the service for one request, by the weights of the route.

    Empty if the route names none.
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
