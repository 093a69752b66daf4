"""Which target serves what, as this node knows it: a hint, corrected when wrong."""

import threading
from collections import defaultdict
from dataclasses import dataclass

from runhatch_server.configuration import AdapterSpec, Deployment, ModelSpec
from runhatch_server.serving._request import Route, RouteKind


@dataclass(frozen=True, slots=True)
class Hosting:
    """What one target serves, as of a version of its ledger row."""

    target: str
    version: int
    units: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Host:
    """A target that serves a route, under the name ``unit``."""

    target: str
    url: str
    failure_domain: str
    concurrency: int
    unit: str


@dataclass(frozen=True, slots=True)
class _Snapshot:
    hosts: dict[Route, tuple[Host, ...]]
    units: dict[Route, str]


class Picture:
    """The placement as known here; readers take no lock.

    Built from the configuration and the newest hosting known of each target.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._deployment = Deployment()
        self._hostings: dict[str, Hosting] = {}
        self._absent: set[tuple[str, str]] = set()
        self._snapshot = _Snapshot({}, {})

    @property
    def deployment(self) -> Deployment:
        """The deployment the picture was built for."""
        return self._deployment

    def configure(self, deployment: Deployment) -> None:
        """Use another deployment from now on."""
        with self._lock:
            self._deployment = deployment
            declared = {t.name for pool in deployment.pools for t in pool.targets}
            for name in set(self._hostings) - declared:
                del self._hostings[name]
            self._rebuild()

    def learn(self, hosting: Hosting) -> bool:
        """Take in ``hosting`` if it is newer; returns whether it was."""
        with self._lock:
            known = self._hostings.get(hosting.target)
            if known is not None and known.version >= hosting.version:
                return False
            self._hostings[hosting.target] = hosting
            self._absent = {pair for pair in self._absent if pair[0] != hosting.target}
            if known is None or known.units != hosting.units:
                self._rebuild()
            return True

    def correct(self, target: str, unit: str) -> None:
        """Stop routing ``unit`` to ``target``, which said that it has it not.

        Holds until a newer hosting of that target is learnt.
        """
        with self._lock:
            self._absent.add((target, unit))
            self._rebuild()

    def hostings(self) -> list[Hosting]:
        """Return the newest hosting known of each target."""
        with self._lock:
            return list(self._hostings.values())

    def hosts(self, route: Route) -> tuple[Host, ...]:
        """Return the targets that serve ``route``, empty if none is known."""
        return self._snapshot.hosts.get(route, ())

    def declares(self, route: Route) -> bool:
        """Tell whether ``route`` is declared."""
        return route in self._snapshot.units

    def routes(self) -> list[Route]:
        """Return all declared routes, in order."""
        return sorted(self._snapshot.units, key=str)

    def _rebuild(self) -> None:
        hosts: dict[Route, tuple[Host, ...]] = {}
        units: dict[Route, str] = {}
        by_name = self._hosts_by_callable()
        callables: list[ModelSpec | AdapterSpec] = [*self._deployment.models]
        callables += self._deployment.adapters
        for callable_ in callables:
            route = Route(RouteKind.MODEL, callable_.name)
            units[route] = callable_.unit
            known = by_name.get(callable_.name, [])
            current = tuple(host for host in known if host.unit == callable_.unit)
            # While a version is replaced the old one serves until the new one does.
            hosts[route] = current or tuple(known)
        for service in self._deployment.plain_services:
            route = Route(RouteKind.SERVICE, service.name)
            units[route] = service.name
            hosts[route] = tuple(
                Host(t.name, t.url, t.failure_domain, t.concurrency, service.name)
                for t in service.targets
            )
        self._snapshot = _Snapshot(hosts, units)

    def _hosts_by_callable(self) -> dict[str, list[Host]]:
        by_name: dict[str, list[Host]] = defaultdict(list)
        for pool in self._deployment.pools:
            for target in pool.targets:
                hosting = self._hostings.get(target.name)
                if hosting is None:
                    continue
                for unit in hosting.units:
                    if (target.name, unit) in self._absent:
                        continue
                    host = Host(
                        target.name,
                        target.url,
                        target.failure_domain,
                        target.concurrency,
                        unit,
                    )
                    by_name[unit.rpartition("@")[0]].append(host)
        return by_name
