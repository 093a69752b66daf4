"""Many nodes' memberships over a wire in memory, on a clock that is moved.

The peer services and memberships are the real ones; only the sockets are not.
"""

import random
from collections import defaultdict
from collections.abc import Callable
from datetime import timedelta

from runhatch_coordination import Membership, RevisionFeed, Standing, Vm
from runhatch_coordination.testing import ManualClock
from runhatch_server._peer_service import PeerService
from runhatch_server.crashes import CrashWatch
from runhatch_server.observability import Metrics
from runhatch_server.peers import Envelope, Fact, LinkClosed
from runhatch_server.peers._links import ENCODER
from runhatch_server.peers._messages import VERSION
from runhatch_server.serving import Picture, TargetLives

ROUND = timedelta(seconds=1)
HOP = timedelta(milliseconds=20)
HOPS_A_ROUND = 30
LIST_EVERY = 2
"""Rounds between two reads of the platform's list."""

Cut = Callable[[Vm, Vm], bool]


def _ignore() -> None:
    """Tell nobody: no target ends here."""


class WiredNode:
    """One node: its membership, its peer service and its links."""

    def __init__(self, vm: Vm, group: "PeerGroup") -> None:
        self.vm = vm
        self.membership = Membership(vm, group.clock)
        self.service = PeerService(
            self.membership,
            RevisionFeed(lambda _: None),
            Picture(),
            group.metrics,
            lambda _: None,
            lambda _: False,
            lambda _: False,
            lambda _: None,
            lambda _: False,
            list,
            CrashWatch(group.clock, TargetLives(vm.name), group.metrics, _ignore),
            group.clock,
            seed=group.seed,
        )
        self.service.attach(self)
        self._group = group
        self._kept: dict[str, list[Fact]] = {}

    def keep(self, addresses: frozenset[str]) -> None:
        """Keep links to exactly ``addresses``."""
        for address in set(self._kept) - addresses:
            facts = self._kept.pop(address)
            self._post(address, [*facts, LinkClosed()], linked=True)
        for address in addresses - set(self._kept):
            self._kept[address] = []

    def tell_all(self, fact: Fact) -> None:
        """Queue ``fact`` for every kept peer."""
        for facts in self._kept.values():
            facts.append(fact)

    def tell(self, address: str, facts: list[Fact]) -> None:
        """Queue ``facts`` for a kept peer, or send them to another."""
        if address in self._kept:
            self._kept[address] += facts
        else:
            self._post(address, facts, linked=False)

    def hold(self, address: str) -> None:
        """Do nothing: what is told to one address is sent at once here."""

    def flush(self, heartbeat: bool) -> None:
        """Send what is queued; with ``heartbeat`` also where nothing is."""
        for address, facts in self._kept.items():
            if facts or heartbeat:
                self._kept[address] = []
                self._post(address, facts, linked=True)

    def _post(self, address: str, facts: list[Fact], linked: bool) -> None:
        envelope = Envelope(VERSION, self.service.own(), linked, list(facts))
        self._group.post(self.vm, address, envelope)


class PeerGroup:
    """Nodes that can be killed, stopped and cut off from each other.

    ``cut(sender, receiver)`` says which messages are lost.  A VM of ``leaving`` is
    the last to read that it is, so here it never does.
    """

    def __init__(self, vms: list[Vm], seed: int = 1) -> None:
        self.seed = seed
        self.clock = ManualClock()
        self.metrics = Metrics()
        self.nodes = {vm.name: WiredNode(vm, self) for vm in vms}
        self.cut: Cut = lambda sender, receiver: False
        self.stopped: set[str] = set()
        self.dead: set[str] = set()
        self.leaving: frozenset[str] = frozenset()
        self.messages = 0
        self.bytes = 0
        self._vms = vms
        self._by_address = {vm.address: vm.name for vm in vms}
        self._inboxes: defaultdict[str, list[Envelope]] = defaultdict(list)
        self._random = random.Random(seed)
        self._rounds = 0

    def running(self) -> list[WiredNode]:
        """Return the nodes that take part, in an order that changes."""
        names = sorted(set(self.nodes) - self.dead - self.stopped)
        self._random.shuffle(names)
        return [self.nodes[name] for name in names]

    def post(self, sender: Vm, address: str, envelope: Envelope) -> None:
        """Put ``envelope`` on its way, unless it is lost."""
        name = self._by_address[address]
        size = len(ENCODER.encode(envelope))
        self.messages += 1
        self.bytes += size
        if name not in self.dead and not self.cut(sender, self.nodes[name].vm):
            self._inboxes[name].append(envelope)

    def run(self, rounds: int) -> None:
        """Let everybody make ``rounds`` rounds, one a second."""
        for _ in range(rounds):
            self._round()

    def suspicions(self, suspected: frozenset[str] | set[str]) -> int:
        """Return how many running nodes hold one of ``suspected`` for not alive."""
        return sum(
            node.membership.standing(name) is not Standing.ALIVE
            for node in self.running()
            for name in suspected - {node.vm.name}
        )

    def _round(self) -> None:
        listing = [Vm(vm.name, vm.failure_domain, vm.address) for vm in self._vms]
        for node in self.running():
            if self._rounds % LIST_EVERY == 0:
                leaving = self.leaving - {node.vm.name}
                node.membership.listed(listing, leaving)
            node.service.keep_links()
            node.service.look_round()
            node.flush(heartbeat=True)
        self._rounds += 1
        spent = timedelta()
        for _ in range(HOPS_A_ROUND):
            if not self._deliver():
                break
            self.clock.advance(HOP)
            spent += HOP
        self.clock.advance(ROUND - spent)

    def _deliver(self) -> bool:
        """Hand over what is under way, and send what that sets off."""
        arrived = False
        for node in self.running():
            envelopes = self._inboxes.pop(node.vm.name, [])
            arrived = arrived or bool(envelopes)
            for envelope in envelopes:
                node.service.receive(envelope)
            node.flush(heartbeat=False)
        return arrived


def group_of(count: int, domains: int = 10, regions: int = 3) -> PeerGroup:
    """Return ``count`` nodes over failure domains named by region."""
    vms = [
        Vm(f"n{i:03d}", _domain(i % domains, regions), f"10.0.0.1:{i}", 100 + i)
        for i in range(count)
    ]
    return PeerGroup(vms)


def _domain(index: int, regions: int) -> str:
    return f"r{index % regions}-d{index}"


def region(vm: Vm) -> str:
    """Return the region in a domain's name."""
    return vm.failure_domain.partition("-")[0]
