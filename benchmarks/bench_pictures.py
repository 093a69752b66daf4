"""Pictures pushed to every node, against stale ones corrected when they mislead.

The second way is that of LH*'s clients, whose image is adjusted by the answer to a
misdirected request (Litwin, Neimat and Schneider; for a cluster of workstations see
"Performance Evaluation of a Scalable Distributed Data Structure").
"""

import random
from dataclasses import dataclass
from enum import Enum

from _reporting import Report
from bench_slopes import document, hostings

from runhatch_server.configuration import Deployment, parse_deployment
from runhatch_server.peers import HostingFact
from runhatch_server.peers._links import ENCODER
from runhatch_server.serving import Hosting, Picture, Route, RouteKind

MODELS, WORKERS = 860, 600
SAMPLED_NODES = 6
REQUESTS_A_SECOND = 3_400 / 390
SECONDS = 1_200.0
CHANGES_A_SECOND = (0.2, 1.0, 2.0)
CROSSINGS = 12
"""Links of one node that a pushed change crosses, in and out."""
QUESTION_BYTES = 90
"""Asking for one target's hosting: an envelope with one small fact."""
SEED = 11


class Way(Enum):
    """How a node's picture is kept."""

    PUSHED = "pushed"
    CORRECTED = "corrected when it misleads"


@dataclass(slots=True)
class Seen:
    """What one node met."""

    requests: int = 0
    misdirected: int = 0
    unserved: int = 0
    sent: int = 0


class World:
    """The placement as it is, and one node's picture of it."""

    def __init__(self, deployment: Deployment, way: Way, seed: int) -> None:
        self._random = random.Random(seed)
        self._way = way
        self._truth = {held.target: held for held in hostings(deployment)}
        self._picture = Picture()
        self._picture.configure(deployment)
        for hosting in self._truth.values():
            self._picture.learn(hosting)
        self._models = [model.unit for model in deployment.models]
        self._pool = {
            target.name: [m.unit for m in deployment.models if m.pool == pool.name]
            for pool in deployment.pools
            for target in pool.targets
        }
        self._replicas = dict.fromkeys(self._models, 0)
        for hosting in self._truth.values():
            for unit in set(hosting.units) & set(self._models):
                self._replicas[unit] += 1
        self.seen = Seen()

    def change(self) -> None:
        """Let one target gain a unit, or lose one that others have."""
        target = self._random.choice([*self._truth])
        held = self._truth[target]
        models = [unit for unit in held.units if unit in self._replicas]
        spare = [unit for unit in models if self._replicas[unit] > 1]
        if spare and self._random.random() < 0.5:
            unit = self._random.choice(spare)
            units = tuple(u for u in held.units if u != unit)
            self._replicas[unit] -= 1
        else:
            unit = self._random.choice(self._pool[target])
            if unit in models:
                return
            units = (*held.units, unit)
            self._replicas[unit] += 1
        fresh = Hosting(target, held.version + 1, units)
        self._truth[target] = fresh
        if self._way is Way.PUSHED:
            self.seen.sent += CROSSINGS * _size(fresh)
            self._picture.learn(fresh)

    def request(self) -> None:
        """Send one request where the picture says, and again if it misled."""
        unit = self._random.choice(self._models)
        route = Route(RouteKind.MODEL, unit.rpartition("@")[0])
        self.seen.requests += 1
        for _ in range(4):
            hosts = self._picture.hosts(route)
            if not hosts:
                self.seen.unserved += 1
                return
            target = self._random.choice(hosts).target
            present = self._truth[target]
            if unit in present.units:
                return
            self.seen.misdirected += 1
            self.seen.sent += QUESTION_BYTES + _size(present)
            self._picture.learn(present)


def _size(hosting: Hosting) -> int:
    fact = HostingFact(hosting.target, hosting.version, hosting.units)
    return len(ENCODER.encode([fact]))


def run(deployment: Deployment, way: Way, rate: float, seed: int) -> Seen:
    """Return what one node met in the set time."""
    world = World(deployment, way, seed)
    source = random.Random(seed)
    total = rate + REQUESTS_A_SECOND
    at = 0.0
    while (at := at + source.expovariate(total)) < SECONDS:
        if source.random() < rate / total:
            world.change()
        else:
            world.request()
    return world.seen


def main() -> None:
    """Run and report."""
    report = Report("pictures", "Pictures pushed or corrected", "make bench-pictures")
    deployment = parse_deployment(document(MODELS, WORKERS))
    for rate in CHANGES_A_SECOND:
        for way in Way:
            found = [run(deployment, way, rate, SEED + i) for i in range(SAMPLED_NODES)]
            requests = sum(seen.requests for seen in found)
            misdirected = sum(seen.misdirected for seen in found)
            report.add(
                changes_s=rate,
                picture=way.value,
                bytes_s=round(sum(s.sent for s in found) / SECONDS / SAMPLED_NODES, 1),
                misdirected_share=round(misdirected / requests, 5),
                attempts_a_request=round(1 + misdirected / requests, 5),
                unserved=sum(seen.unserved for seen in found),
                requests=requests,
            )
    report.note(
        f"{MODELS} models on {WORKERS} workers, one node's 8.7 requests a second, "
        f"{SECONDS:g} s on a clock of its own, {SAMPLED_NODES} nodes. Pushed: a "
        f"change crosses {CROSSINGS} links of a node at once. Corrected: a "
        "misdirected request brings the target's present hosting, and nothing else "
        "tells of changes. Unserved: no host was left in the picture."
    )
    report.write()


if __name__ == "__main__":
    main()
