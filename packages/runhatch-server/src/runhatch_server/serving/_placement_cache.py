"""Caches which targets serve which routes; answers of targets correct it."""

import threading
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass

from runhatch_coordination import compute_weight
from runhatch_server.configuration import Deployment, TargetSpec
from runhatch_server.serving._request import Route, RouteKind


@dataclass(frozen=True, slots=True)
class Hosting:
    """Units that a target serves, as of a version of its ledger row."""

    target: str
    version: int
    units: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Host:
    """A target that serves a route, and the unit name to use there."""

    target: str
    url: str
    failure_domain: str
    concurrency: int
    unit: str


class PlacementCache:
    """The placement as known to this node; readers take no lock.

    Built from the configuration and the newest known hosting of each target.  Each
    route's hosts are one tuple that is replaced whole, so the cost of an update
    depends only on the number of units of its target.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._deployment = Deployment()
        self._targets: dict[str, TargetSpec] = {}
        self._hostings: dict[str, Hosting] = {}
        self._missing_units: set[tuple[str, str]] = set()
        self._declared_units: dict[Route, str] = {}
        self._units_by_name: defaultdict[str, dict[str, str]] = defaultdict(dict)
        self._names_by_target: dict[str, set[str]] = {}
        self._digest = 0
        self._hosts: dict[Route, tuple[Host, ...]] = {}

    @property
    def digest(self) -> int:
        """A digest of the hostings, equal on nodes that know the same ones."""
        return self._digest

    @property
    def deployment(self) -> Deployment:
        """The deployment the picture was built for."""
        return self._deployment

    def set_deployment(self, deployment: Deployment) -> None:
        """Replace the deployment and remove hostings of undeclared targets."""
        with self._lock:
            self._deployment = deployment
            self._targets = {
                target.name: target
                for pool in deployment.pools
                for target in pool.targets
            }
            for name in set(self._hostings) - set(self._targets):
                self._digest ^= _hash_hosting(self._hostings.pop(name))
            self._rebuild_index()

    def apply_hosting(self, hosting: Hosting) -> bool:
        """Apply ``hosting`` if it is newer; return whether it changed the picture.

        Ledger rows also change without a change of the served units.
        """
        with self._lock:
            known = self._hostings.get(hosting.target)
            if known is not None and known.version >= hosting.version:
                return False
            self._hostings[hosting.target] = hosting
            self._digest ^= _hash_hosting(hosting) ^ (
                0 if known is None else _hash_hosting(known)
            )
            old_units = set(known.units) if known is not None else set()
            changed = old_units.symmetric_difference(hosting.units)
            cleared = {
                pair for pair in self._missing_units if pair[0] == hosting.target
            }
            self._missing_units -= cleared
            changed |= {unit for _, unit in cleared}
            if known is not None and not changed:
                return False
            self._index_hosting(hosting)
            self._update_hosts(_unit_name(unit) for unit in changed)
            return True

    def mark_unit_missing(self, target: str, unit: str) -> None:
        """Stop routing ``unit`` to ``target``, which answered that it lacks the unit.

        Applies until a newer hosting of the target is learnt.
        """
        with self._lock:
            self._missing_units.add((target, unit))
            self._update_hosts([_unit_name(unit)])

    def hostings(self) -> list[Hosting]:
        """Return the newest known hosting of each target."""
        with self._lock:
            return list(self._hostings.values())

    def target_urls(self) -> dict[str, str]:
        """Return the URL of each target of the pools by name."""
        return {name: target.url for name, target in self._targets.items()}

    def hosts(self, route: Route) -> tuple[Host, ...]:
        """Return the hosts that serve ``route``, empty if none is known."""
        return self._hosts.get(route, ())

    def is_declared(self, route: Route) -> bool:
        """Return whether ``route`` is declared."""
        return route in self._declared_units

    def routes(self) -> list[Route]:
        """Return all declared routes, sorted."""
        return sorted(self._declared_units, key=str)

    def _rebuild_index(self) -> None:
        deployment = self._deployment
        models = {model.name: model.unit_name for model in deployment.models}
        adapters = {adapter.name: adapter.unit for adapter in deployment.adapters}
        declared_units = {
            Route(RouteKind.MODEL, name): unit
            for name, unit in {**models, **adapters}.items()
        }
        services = {
            Route(RouteKind.SERVICE, service.name): tuple(
                Host(t.name, t.url, t.failure_domain, t.concurrency, service.name)
                for t in service.targets
            )
            for service in deployment.plain_services
        }
        declared_units |= {route: route.name for route in services}
        self._declared_units = declared_units
        self._units_by_name.clear()
        self._names_by_target.clear()
        for hosting in self._hostings.values():
            self._index_hosting(hosting)
        self._hosts = services
        self._update_hosts({**models, **adapters})

    def _index_hosting(self, hosting: Hosting) -> None:
        """Index the units of one target by the names that callers use."""
        for name in self._names_by_target.pop(hosting.target, ()):
            self._units_by_name[name].pop(hosting.target, None)
        if hosting.target not in self._targets:
            return
        for unit in hosting.units:
            name = _unit_name(unit)
            other_unit = self._units_by_name[name].get(hosting.target)
            # If a target has two versions of a unit, prefer the declared one.
            if other_unit is None or not self._is_declared_unit(name, other_unit):
                self._units_by_name[name][hosting.target] = unit
        self._names_by_target[hosting.target] = {
            _unit_name(unit) for unit in hosting.units
        }

    def _is_declared_unit(self, name: str, unit: str) -> bool:
        return self._declared_units.get(Route(RouteKind.MODEL, name)) == unit

    def _update_hosts(self, names: Iterable[str]) -> None:
        """Recompute the hosts of the model routes called ``names``."""
        for name in names:
            route = Route(RouteKind.MODEL, name)
            if route not in self._declared_units:
                continue
            known_hosts = [
                self._host(target, unit)
                for target, unit in self._units_by_name[name].items()
                if (target, unit) not in self._missing_units
            ]
            declared_hosts = [
                host for host in known_hosts if self._is_declared_unit(name, host.unit)
            ]
            # Until a target serves the declared version, use the previous one.
            self._hosts[route] = tuple(declared_hosts or known_hosts)

    def _host(self, name: str, unit: str) -> Host:
        target = self._targets[name]
        return Host(name, target.url, target.failure_domain, target.concurrency, unit)


def _hash_hosting(hosting: Hosting) -> int:
    return compute_weight(hosting.target, "\0".join(sorted(hosting.units)))


def _unit_name(unit: str) -> str:
    return unit.rpartition("@")[0]
