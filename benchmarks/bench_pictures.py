"""Compares pushing placement changes to all nodes with correcting stale pictures.

The second method is that of LH* clients, whose image is adjusted by the answer to a
misdirected request (Litwin, Neimat and Schneider; for a cluster of workstations see
"Performance Evaluation of a Scalable Distributed Data Structure").
"""

import random
from dataclasses import dataclass
from enum import Enum

from _reporting import Report
from bench_slopes import make_document, make_hostings

from runhatch_server.configuration import Deployment, parse_deployment
from runhatch_server.peers import HostingFact
from runhatch_server.peers._traffic import ENCODER
from runhatch_server.serving import Hosting, PlacementCache, Route, RouteKind

MODELS, WORKERS = 860, 600
SAMPLED_NODES = 6
REQUESTS_PER_SECOND = 3_400 / 390
SECONDS = 1_200.0
CHANGES_PER_SECOND = (0.2, 1.0, 2.0)
MESSAGES_PER_CHANGE = 12
"""Messages per node and pushed change, in both directions."""
HOSTING_REQUEST_BYTES = 90
"""Size of a request for one target's hosting: an envelope with a small fact."""
SEED = 11


class UpdateMethod(Enum):
    """How a node's picture of the placement is updated."""

    PUSHED = "pushed"
    CORRECTED = "corrected when it misleads"


@dataclass(slots=True)
class NodeCounts:
    """The counts of one node."""

    requests: int = 0
    misdirected: int = 0
    unserved: int = 0
    sent_bytes: int = 0


class PlacementSimulation:
    """The actual placement and one node's picture of it."""

    def __init__(self, deployment: Deployment, way: UpdateMethod, seed: int) -> None:
        self._random = random.Random(seed)
        self._way = way
        self._placement = {
            actual.target: actual for actual in make_hostings(deployment)
        }
        self._picture = PlacementCache()
        self._picture.set_deployment(deployment)
        for hosting in self._placement.values():
            self._picture.apply_hosting(hosting)
        self._models = [model.unit_name for model in deployment.models]
        self._pool_units = {
            target.name: [m.unit_name for m in deployment.models if m.pool == pool.name]
            for pool in deployment.pools
            for target in pool.targets
        }
        self._replicas = dict.fromkeys(self._models, 0)
        for hosting in self._placement.values():
            for unit in set(hosting.units) & set(self._models):
                self._replicas[unit] += 1
        self.node_counts = NodeCounts()

    def change_placement(self) -> None:
        """Add a unit to a target, or remove one that has other replicas."""
        target = self._random.choice([*self._placement])
        actual = self._placement[target]
        models = [unit for unit in actual.units if unit in self._replicas]
        removable = [unit for unit in models if self._replicas[unit] > 1]
        if removable and self._random.random() < 0.5:
            unit = self._random.choice(removable)
            units = tuple(u for u in actual.units if u != unit)
            self._replicas[unit] -= 1
        else:
            unit = self._random.choice(self._pool_units[target])
            if unit in models:
                return
            units = (*actual.units, unit)
            self._replicas[unit] += 1
        updated = Hosting(target, actual.version + 1, units)
        self._placement[target] = updated
        if self._way is UpdateMethod.PUSHED:
            self.node_counts.sent_bytes += MESSAGES_PER_CHANGE * _encoded_size(updated)
            self._picture.apply_hosting(updated)

    def send_request(self) -> None:
        """Route one request by the picture, retrying when it is misdirected."""
        unit = self._random.choice(self._models)
        route = Route(RouteKind.MODEL, unit.rpartition("@")[0])
        self.node_counts.requests += 1
        for _ in range(4):
            hosts = self._picture.hosts(route)
            if not hosts:
                self.node_counts.unserved += 1
                return
            target = self._random.choice(hosts).target
            current = self._placement[target]
            if unit in current.units:
                return
            self.node_counts.misdirected += 1
            self.node_counts.sent_bytes += HOSTING_REQUEST_BYTES + _encoded_size(
                current
            )
            self._picture.apply_hosting(current)


def _encoded_size(hosting: Hosting) -> int:
    fact = HostingFact(hosting.target, hosting.version, hosting.units)
    return len(ENCODER.encode([fact]))


def simulate_node(
    deployment: Deployment, way: UpdateMethod, rate: float, seed: int
) -> NodeCounts:
    """Simulate one node for ``SECONDS`` and return its counts."""
    world = PlacementSimulation(deployment, way, seed)
    rng = random.Random(seed)
    total = rate + REQUESTS_PER_SECOND
    at = 0.0
    while (at := at + rng.expovariate(total)) < SECONDS:
        if rng.random() < rate / total:
            world.change_placement()
        else:
            world.send_request()
    return world.node_counts


def main() -> None:
    """Run the benchmark and write its report."""
    report = Report("pictures", "Pictures pushed or corrected", "make bench-pictures")
    deployment = parse_deployment(make_document(MODELS, WORKERS))
    for rate in CHANGES_PER_SECOND:
        for way in UpdateMethod:
            counts = [
                simulate_node(deployment, way, rate, SEED + i)
                for i in range(SAMPLED_NODES)
            ]
            requests = sum(seen.requests for seen in counts)
            misdirected = sum(seen.misdirected for seen in counts)
            report.add(
                changes_s=rate,
                picture=way.value,
                bytes_s=round(
                    sum(s.sent_bytes for s in counts) / SECONDS / SAMPLED_NODES, 1
                ),
                misdirected_share=round(misdirected / requests, 5),
                attempts_a_request=round(1 + misdirected / requests, 5),
                unserved=sum(seen.unserved for seen in counts),
                requests=requests,
            )
    report.add_note(
        f"{MODELS} models on {WORKERS} workers, one node's 8.7 requests a second, "
        f"{SECONDS:g} s of simulated time, {SAMPLED_NODES} nodes. Pushed: a "
        f"change crosses {MESSAGES_PER_CHANGE} links of a node at once. Corrected: a "
        "misdirected request fetches the target's current hosting, and no other "
        "message announces changes. Unserved: the picture had no host left."
    )
    report.write()


if __name__ == "__main__":
    main()
