"""Simulated nodes that exchange the versions of streams over an unreliable wire."""

import heapq
import itertools

from gateway_cases import seconds

from runhatch_coordination import MemberFact, Membership, Standing, Vm
from runhatch_server.gateway._stream_version_exchange import (
    UPDATE_INTERVAL,
    StreamVersionExchange,
)
from runhatch_server.peers import Member

SERVICE = "engine"
MESSAGE_DELAYS = (0.001, 0.01)
LATE_DELAYS = (0.05, 0.5)
"""Ranges in seconds of the delays of most messages, and of late ones."""
SUSPICION_DELAY = seconds(3.5)
WAKE_DELAY = seconds(0.001)
"""Time after which a node that wants to send updates does so."""


class VersionNode:
    """The exchange of one node of a :class:`VersionCluster`."""

    def __init__(self, cluster, vm, vms):
        self.vm = vm
        self.is_alive = True
        self.can_deny = True
        self.seen = []
        """Service, version and age of the records received."""
        self.membership = Membership(vm, cluster.clock)
        self.membership.merge_facts(MemberFact(each, Standing.ALIVE) for each in vms)
        self.exchange = StreamVersionExchange(
            self.membership,
            cluster.clock,
            lambda service: cluster.has_several_versions,
            lambda *seen: self.seen.append(seen),
            lambda service: self.can_deny,
            lambda *args: cluster.send(self, *args),
            lambda address: cluster.reopen(self, address),
            cluster.wait,
        )


class VersionCluster:
    """Nodes whose messages are lost, late, repeated and thus reordered.

    The shares are those of all messages.  ``sent`` has sender, receiver and fact.
    """

    def __init__(self, clock, rng, count, *, lost=0.0, late=0.0, repeated=0.0):
        self.clock = clock
        self.has_several_versions = True
        self.are_sendings_reported = True
        self.sent = []
        self.silent = set()
        """Pairs of nodes whose connections lose what is sent until they are new."""
        self._rng = rng
        self._lost, self._late, self._repeated = lost, late, repeated
        self._events = []
        self._numbers = itertools.count()
        vms = [Vm(f"n{i}", f"d{i % 3}", f"n{i}", 1) for i in range(count)]
        self.nodes = {vm.name: VersionNode(self, vm, vms) for vm in vms}
        for node in self.nodes.values():
            self.schedule(seconds(rng.random()), lambda node=node: self._update(node))

    def alive(self):
        return [node for node in self.nodes.values() if node.is_alive]

    def begin_stream(self, node, attempt_id, version):
        """Record a first event; return an event that is set once the record is sent."""
        sent = node.exchange.record_begun(attempt_id, SERVICE, version)
        self._wake_nodes()
        return sent

    def kill(self, node):
        """Kill ``node``; the others suspect it after a time."""
        node.is_alive = False

        def suspect():
            for other in self.alive():
                fact = MemberFact(node.vm, Standing.SUSPECT)
                other.membership.merge_facts([fact])

        self.schedule(SUSPICION_DELAY, suspect)

    def restart(self, node):
        """Replace ``node`` by a new incarnation without records."""
        vms = [other.vm for other in self.nodes.values() if other is not node]
        vm = Vm(node.vm.name, node.vm.failure_domain, node.vm.address, 2)
        self.nodes[vm.name] = VersionNode(self, vm, [vm, *vms])
        for other in self.alive():
            other.membership.merge_facts([MemberFact(vm, Standing.ALIVE)])
        self._update(self.nodes[vm.name])

    def reopen(self, sender, address):
        self.silent.discard((sender.vm.name, address))

    def silence(self):
        """Have all open connections go silent without being closed."""
        self.silent = set(itertools.product(self.nodes, self.nodes))

    def send(self, sender, address, fact, on_sent=None):
        """Send ``fact``; a connection accepts it even if it loses it."""
        self.sent.append((sender.vm.name, address, fact))
        if on_sent is not None and self.are_sendings_reported:
            on_sent()
        if (sender.vm.name, address) in self.silent or self._rng.random() < self._lost:
            return
        member = Member(sender.vm.name, "d", sender.vm.name, 1, Standing.ALIVE)
        for _ in range(1 + (self._rng.random() < self._repeated)):
            is_late = self._rng.random() < self._late
            delays = LATE_DELAYS if is_late else MESSAGE_DELAYS
            delay = seconds(self._rng.uniform(*delays))
            self.schedule(delay, lambda: self._deliver(address, fact, member))

    def play(self, duration):
        self._run_until(self.clock.elapsed() + duration, lambda: False)

    def wait(self, event, longest):
        """Let time pass until ``event`` is set, for a node that waits for it."""
        self._wake_nodes()
        self._run_until(self.clock.elapsed() + longest, event.is_set)

    def schedule(self, delay, action):
        at = self.clock.elapsed() + delay
        heapq.heappush(self._events, (at, next(self._numbers), action))

    def _run_until(self, end, is_done):
        while not is_done():
            if self._events[0][0] > end:
                self.clock.advance(end - self.clock.elapsed())
                return
            at, _, action = heapq.heappop(self._events)
            self.clock.advance(max(seconds(0), at - self.clock.elapsed()))
            action()

    def _wake_nodes(self):
        for node in self.alive():
            if node.exchange.update_wanted.is_set():
                node.exchange.update_wanted.clear()
                self.schedule(WAKE_DELAY, lambda node=node: self._send_updates(node))

    def _deliver(self, address, fact, member):
        node = self.nodes[address]
        if node.is_alive:
            node.exchange.handle_message(fact, member)

    def _update(self, node):
        if self.nodes[node.vm.name] is node:
            self._send_updates(node)
            self.schedule(UPDATE_INTERVAL, lambda: self._update(node))

    def _send_updates(self, node):
        if node.is_alive:
            node.exchange.send_updates()
