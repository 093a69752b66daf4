"""Estimates how work is distributed over the replicas of models."""

from collections import defaultdict
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

PASS_COUNT = 3
"""Passes of the distribution; further ones hardly change the result."""


@dataclass(frozen=True, slots=True)
class WorkDistribution:
    """Concurrent requests by target, and by model and target.

    ``capacities`` are the concurrent requests that each target can run.
    """

    loads: dict[str, float]
    shares: dict[tuple[str, str], float]
    capacities: dict[str, float]

    def share(self, model: str, target: str) -> float:
        """Return the concurrent requests of ``model`` on ``target``."""
        return self.shares.get((model, target), 0.0)

    def utilisation(self, target: str) -> float:
        """Return the load of ``target`` divided by its capacity."""
        return self.loads[target] / self.capacities[target]

    def overload(self, target: str, max_utilisation: float) -> float:
        """Return the concurrent requests above the utilisation ``max_utilisation``."""
        return max(0.0, self.loads[target] - max_utilisation * self.capacities[target])

    def headroom(self, target: str, max_utilisation: float) -> float:
        """Return the concurrent requests that fit below ``max_utilisation``."""
        return max(0.0, max_utilisation * self.capacities[target] - self.loads[target])


def distribute_work(
    work: Mapping[str, float],
    hosts: Mapping[str, Sequence[str]],
    capacities: dict[str, float],
) -> WorkDistribution:
    """Distribute each model's work over its hosts as the routers would.

    ``work`` is in concurrent requests by model. Work goes to the least utilised
    replicas first; a few passes come close to the even distribution that routing by
    predicted wait reaches.
    """
    loads: dict[str, float] = dict.fromkeys(capacities, 0.0)
    shares: dict[tuple[str, str], float] = defaultdict(float)
    by_work = sorted(hosts, key=lambda model: work.get(model, 0.0), reverse=True)
    for _ in range(PASS_COUNT):
        for model in by_work:
            for host in hosts[model]:
                loads[host] -= shares[model, host]
                shares[model, host] = 0.0
            _add_work(
                model, work.get(model, 0.0), hosts[model], loads, shares, capacities
            )
    return WorkDistribution(loads, dict(shares), capacities)


def _add_work(
    model: str,
    work: float,
    hosts: Sequence[str],
    loads: dict[str, float],
    shares: dict[tuple[str, str], float],
    capacities: dict[str, float],
) -> None:
    """Add ``work`` to the least utilised ``hosts``, equalising their utilisation."""
    if not hosts or work <= 0:
        return
    by_utilisation = sorted(hosts, key=lambda host: loads[host] / capacities[host])
    utilisation_level = 0.0
    used = 0
    for used in range(1, len(by_utilisation) + 1):
        filled = by_utilisation[:used]
        capacity = sum(capacities[host] for host in filled)
        utilisation_level = (work + sum(loads[host] for host in filled)) / capacity
        if used == len(by_utilisation):
            break
        next_host = by_utilisation[used]
        if utilisation_level <= loads[next_host] / capacities[next_host]:
            break
    for host in by_utilisation[:used]:
        added = max(0.0, utilisation_level * capacities[host] - loads[host])
        loads[host] += added
        shares[model, host] += added
