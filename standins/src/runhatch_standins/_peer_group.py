"""Simulates many nodes' memberships over an in-memory network and a manual clock.

The peer services and memberships are real; only the sockets are simulated.
"""

import random
from collections import defaultdict
from collections.abc import Callable
from datetime import timedelta

from runhatch_coordination import Membership, RevisionFeed, Standing, Vm
from runhatch_coordination.testing import ManualClock
from runhatch_server._peer_service import PeerService
from runhatch_server.crashes import CrashDetector
from runhatch_server.observability import Metrics
from runhatch_server.peers import Envelope, Fact, LinkClosed, OnSent
from runhatch_server.peers._messages import PROTOCOL_VERSION
from runhatch_server.peers._traffic import ENCODER
from runhatch_server.serving import PlacementCache, TargetIncarnations

ROUND = timedelta(seconds=1)
HOP = timedelta(milliseconds=20)
HOPS_A_ROUND = 30
LIST_EVERY = 2
"""Rounds between two reads of the platform's VM list."""

Cut = Callable[[Vm, Vm], bool]


def _ignore_crash() -> None:
    """Ignore a crash notification; no target exits in the simulation."""


class WiredNode:
    """One simulated node: its membership, its peer service and its links."""

    def __init__(self, vm: Vm, group: "PeerGroup") -> None:
        self.vm = vm
        self.membership = Membership(vm, group.clock)
        self.service = PeerService(
            self.membership,
            RevisionFeed(lambda _: None),
            PlacementCache(),
            group.metrics,
            lambda _: None,
            lambda _: False,
            lambda _: False,
            lambda _: None,
            lambda _: False,
            list,
            CrashDetector(
                group.clock, TargetIncarnations(vm.name), group.metrics, _ignore_crash
            ),
            group.clock,
            seed=group.seed,
        )
        self.service.attach_links(self)
        self._group = group
        self._queued_by_address: dict[str, list[Fact]] = {}

    def set_peers(self, addresses: frozenset[str]) -> None:
        """Open and close links so that exactly ``addresses`` are linked."""
        for address in set(self._queued_by_address) - addresses:
            facts = self._queued_by_address.pop(address)
            self._send(address, [*facts, LinkClosed()], linked=True)
        for address in addresses - set(self._queued_by_address):
            self._queued_by_address[address] = []

    def publish(self, fact: Fact) -> None:
        """Queue ``fact`` for every linked peer."""
        for facts in self._queued_by_address.values():
            facts.append(fact)

    def send(
        self, address: str, facts: list[Fact], on_sent: OnSent | None = None
    ) -> None:
        """Queue ``facts`` for a linked peer; send them at once to any other."""
        if on_sent is not None:
            on_sent()
        if address in self._queued_by_address:
            self._queued_by_address[address] += facts
        else:
            self._send(address, facts, linked=False)

    def reopen(self, address: str) -> None:
        """Do nothing; connections never go silent here."""

    def flush(self, heartbeat: bool) -> None:
        """Send queued facts; with ``heartbeat``, also an empty message if none are."""
        for address, facts in self._queued_by_address.items():
            if facts or heartbeat:
                self._queued_by_address[address] = []
                self._send(address, facts, linked=True)

    def _send(self, address: str, facts: list[Fact], linked: bool) -> None:
        envelope = Envelope(
            PROTOCOL_VERSION, self.service.own_member(), linked, list(facts)
        )
        self._group.post(self.vm, address, envelope)


class PeerGroup:
    """Nodes that can be killed, stopped and partitioned from each other.

    ``cut(sender, receiver)`` returns whether a message is lost.  A VM in ``leaving``
    never reads its own entry there, as it is the last VM to learn of its drain.
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
        self._in_flight: defaultdict[str, list[Envelope]] = defaultdict(list)
        self._random = random.Random(seed)
        self._round_number = 0

    def running(self) -> list[WiredNode]:
        """Return the nodes neither dead nor stopped, in random order."""
        names = sorted(set(self.nodes) - self.dead - self.stopped)
        self._random.shuffle(names)
        return [self.nodes[name] for name in names]

    def post(self, sender: Vm, address: str, envelope: Envelope) -> None:
        """Send ``envelope``, unless it is lost."""
        name = self._by_address[address]
        size = len(ENCODER.encode(envelope))
        self.messages += 1
        self.bytes += size
        if name not in self.dead and not self.cut(sender, self.nodes[name].vm):
            self._in_flight[name].append(envelope)

    def run(self, rounds: int) -> None:
        """Run ``rounds`` rounds of one second on all nodes."""
        for _ in range(rounds):
            self._run_round()

    def suspicions(self, suspected: frozenset[str] | set[str]) -> int:
        """Count the pairs of a running node and a node of ``suspected`` it suspects."""
        return sum(
            node.membership.standing(name) is not Standing.ALIVE
            for node in self.running()
            for name in suspected - {node.vm.name}
        )

    def _run_round(self) -> None:
        listing = [Vm(vm.name, vm.failure_domain, vm.address) for vm in self._vms]
        for node in self.running():
            if self._round_number % LIST_EVERY == 0:
                leaving = self.leaving - {node.vm.name}
                node.membership.apply_list(listing, leaving)
            node.service.update_links()
            node.service.check_members()
            node.flush(heartbeat=True)
        self._round_number += 1
        elapsed = timedelta()
        for _ in range(HOPS_A_ROUND):
            if not self._deliver():
                break
            self.clock.advance(HOP)
            elapsed += HOP
        self.clock.advance(ROUND - elapsed)

    def _deliver(self) -> bool:
        """Deliver messages and send the replies; return whether any arrived."""
        arrived = False
        for node in self.running():
            envelopes = self._in_flight.pop(node.vm.name, [])
            arrived = arrived or bool(envelopes)
            for envelope in envelopes:
                node.service.receive(envelope)
            node.flush(heartbeat=False)
        return arrived


def group_of(count: int, domains: int = 10, regions: int = 3) -> PeerGroup:
    """Return ``count`` nodes spread over failure domains that are named by region."""
    vms = [
        Vm(f"n{i:03d}", _domain_name(i % domains, regions), f"10.0.0.1:{i}", 100 + i)
        for i in range(count)
    ]
    return PeerGroup(vms)


def _domain_name(index: int, regions: int) -> str:
    return f"r{index % regions}-d{index}"


def region(vm: Vm) -> str:
    """Return the region of a VM, taken from the name of its failure domain."""
    return vm.failure_domain.partition("-")[0]
