"""How work spreads over the replicas of models, and where it is too much."""

from collections import defaultdict
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

PASSES = 3
"""Rounds of pouring: by then the spread hardly changes any more."""


@dataclass(frozen=True, slots=True)
class Spread:
    """Concurrent requests by target, and by model and target."""

    loads: dict[str, float]
    shares: dict[tuple[str, str], float]
    capacities: dict[str, float]

    def share(self, model: str, target: str) -> float:
        """Return the concurrent requests of ``model`` on ``target``."""
        return self.shares.get((model, target), 0.0)

    def utilisation(self, target: str) -> float:
        """Return the load of ``target`` over what it runs at once."""
        return self.loads[target] / self.capacities[target]

    def overload(self, target: str, high: float) -> float:
        """Return the concurrent requests above the share ``high``."""
        return max(0.0, self.loads[target] - high * self.capacities[target])

    def headroom(self, target: str, high: float) -> float:
        """Return the concurrent requests that fit below the share ``high``."""
        return max(0.0, high * self.capacities[target] - self.loads[target])


def spread(
    work: Mapping[str, float],
    hosts: Mapping[str, Sequence[str]],
    capacities: dict[str, float],
) -> Spread:
    """Spread each model's work over its hosts as the routers would.

    Work goes to the least utilised replicas first; a few passes come close to
    the even spread that routing by predicted wait reaches.
    """
    loads: dict[str, float] = dict.fromkeys(capacities, 0.0)
    shares: dict[tuple[str, str], float] = defaultdict(float)
    heaviest = sorted(hosts, key=lambda name: work.get(name, 0.0), reverse=True)
    for _ in range(PASSES):
        for name in heaviest:
            for host in hosts[name]:
                loads[host] -= shares[name, host]
                shares[name, host] = 0.0
            _fill(name, work.get(name, 0.0), hosts[name], loads, shares, capacities)
    return Spread(loads, dict(shares), capacities)


def _fill(
    name: str,
    work: float,
    hosts: Sequence[str],
    loads: dict[str, float],
    shares: dict[tuple[str, str], float],
    capacities: dict[str, float],
) -> None:
    """Pour ``work`` onto ``hosts`` so that their utilisations become equal."""
    if not hosts or work <= 0:
        return
    by_level = sorted(hosts, key=lambda host: loads[host] / capacities[host])
    level = 0.0
    used = 0
    for used in range(1, len(by_level) + 1):
        wet = by_level[:used]
        room = sum(capacities[host] for host in wet)
        level = (work + sum(loads[host] for host in wet)) / room
        if used == len(by_level):
            break
        following = by_level[used]
        if level <= loads[following] / capacities[following]:
            break
    for host in by_level[:used]:
        poured = max(0.0, level * capacities[host] - loads[host])
        loads[host] += poured
        shares[name, host] += poured
