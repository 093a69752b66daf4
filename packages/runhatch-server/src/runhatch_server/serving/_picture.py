"""Which target serves what, as this node knows it: a hint, corrected when wrong."""

import threading
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass

from runhatch_coordination import weight
from runhatch_server.configuration import Deployment, TargetSpec
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


class Picture:
    """The placement as known here; readers take no lock.

    Built from the configuration and the newest hosting known of each target.  A
    new hosting costs as much as its target's units, however large the rest is:
    each route's hosts are one tuple, replaced whole.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._deployment = Deployment()
        self._targets: dict[str, TargetSpec] = {}
        self._hostings: dict[str, Hosting] = {}
        self._absent: set[tuple[str, str]] = set()
        self._current: dict[Route, str] = {}
        self._placed: defaultdict[str, dict[str, str]] = defaultdict(dict)
        self._named: dict[str, set[str]] = {}
        self._digest = 0
        self._hosts: dict[Route, tuple[Host, ...]] = {}

    @property
    def digest(self) -> int:
        """A number that two nodes share if they know the same hostings."""
        return self._digest

    @property
    def deployment(self) -> Deployment:
        """The deployment the picture was built for."""
        return self._deployment

    def configure(self, deployment: Deployment) -> None:
        """Use another deployment from now on."""
        with self._lock:
            self._deployment = deployment
            self._targets = {
                target.name: target
                for pool in deployment.pools
                for target in pool.targets
            }
            for name in set(self._hostings) - set(self._targets):
                self._digest ^= _weigh(self._hostings.pop(name))
            self._rebuild()

    def learn(self, hosting: Hosting) -> bool:
        """Take in ``hosting`` if it is newer; returns whether it tells anything new.

        Ledger rows change more often than what they say is served.
        """
        with self._lock:
            known = self._hostings.get(hosting.target)
            if known is not None and known.version >= hosting.version:
                return False
            self._hostings[hosting.target] = hosting
            self._digest ^= _weigh(hosting) ^ (0 if known is None else _weigh(known))
            before = set(known.units) if known is not None else set()
            changed = before.symmetric_difference(hosting.units)
            corrected = {pair for pair in self._absent if pair[0] == hosting.target}
            self._absent -= corrected
            changed |= {unit for _, unit in corrected}
            if known is not None and not changed:
                return False
            self._place(hosting)
            self._update(_name(unit) for unit in changed)
            return True

    def correct(self, target: str, unit: str) -> None:
        """Stop routing ``unit`` to ``target``, which said that it has it not.

        Holds until a newer hosting of that target is learnt.
        """
        with self._lock:
            self._absent.add((target, unit))
            self._update([_name(unit)])

    def hostings(self) -> list[Hosting]:
        """Return the newest hosting known of each target."""
        with self._lock:
            return list(self._hostings.values())

    def target_urls(self) -> dict[str, str]:
        """Return the address of each target of the pools."""
        return {name: target.url for name, target in self._targets.items()}

    def hosts(self, route: Route) -> tuple[Host, ...]:
        """Return the targets that serve ``route``, empty if none is known."""
        return self._hosts.get(route, ())

    def declares(self, route: Route) -> bool:
        """Tell whether ``route`` is declared."""
        return route in self._current

    def routes(self) -> list[Route]:
        """Return all declared routes, in order."""
        return sorted(self._current, key=str)

    def _rebuild(self) -> None:
        deployment = self._deployment
        models = {model.name: model.unit for model in deployment.models}
        adapters = {adapter.name: adapter.unit for adapter in deployment.adapters}
        current = {
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
        current |= {route: route.name for route in services}
        self._current = current
        self._placed.clear()
        self._named.clear()
        for hosting in self._hostings.values():
            self._place(hosting)
        self._hosts = services
        self._update({**models, **adapters})

    def _place(self, hosting: Hosting) -> None:
        """Note the units of one target by the names that callers use."""
        for name in self._named.pop(hosting.target, ()):
            self._placed[name].pop(hosting.target, None)
        if hosting.target not in self._targets:
            return
        for unit in hosting.units:
            name = _name(unit)
            beside = self._placed[name].get(hosting.target)
            # While a version is replaced on one target the declared one counts.
            if beside is None or not self._is_current(name, beside):
                self._placed[name][hosting.target] = unit
        self._named[hosting.target] = {_name(unit) for unit in hosting.units}

    def _is_current(self, name: str, unit: str) -> bool:
        return self._current.get(Route(RouteKind.MODEL, name)) == unit

    def _update(self, names: Iterable[str]) -> None:
        """Replace the hosts of the routes called ``names``."""
        for name in names:
            route = Route(RouteKind.MODEL, name)
            if route not in self._current:
                continue
            known = [
                self._host(target, unit)
                for target, unit in self._placed[name].items()
                if (target, unit) not in self._absent
            ]
            current = [host for host in known if self._is_current(name, host.unit)]
            # While a version is replaced the old one serves until the new one does.
            self._hosts[route] = tuple(current or known)

    def _host(self, name: str, unit: str) -> Host:
        target = self._targets[name]
        return Host(name, target.url, target.failure_domain, target.concurrency, unit)


def _weigh(hosting: Hosting) -> int:
    return weight(hosting.target, "\0".join(sorted(hosting.units)))


def _name(unit: str) -> str:
    return unit.rpartition("@")[0]
