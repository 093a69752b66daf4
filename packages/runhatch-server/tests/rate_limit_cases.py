"""Simulated gateway nodes in front of a rate-limited target, for tests."""

from collections import deque

from gateway_cases import (
    make_balancer,
    make_directory,
    make_request,
    make_route,
    make_target,
    never_disconnected,
    seconds,
)

from runhatch_coordination import MemberFact, Membership, Standing, Vm, rank_names
from runhatch_server.decisions import TriedTargets
from runhatch_server.gateway._grant import Grant
from runhatch_server.gateway._permits import PermitExchange
from runhatch_server.peers import Member

WINDOW = seconds(4)
LINKS = 8
"""Number of nodes to which each node publishes."""


def max_requests_in_window(rate):
    """Return the most requests allowed within ``WINDOW`` at ``rate`` per second."""
    return 1.5 * rate * WINDOW.total_seconds() + 5


def count_busiest_window(times):
    """Return the largest number of ``times`` within any ``WINDOW``."""
    return max(sum(at <= other < at + WINDOW for other in times) for at in times)


class Cluster:
    """Nodes in front of one target, whose messages arrive without delay."""

    def __init__(self, clock, count):
        self.clock = clock
        self.messages = self.requests = 0
        self.queue = deque()
        self.delivering = False
        vms = [Vm(f"n{i}", f"d{i % 3}", f"n{i}", 1) for i in range(count)]
        self.nodes = {vm.name: Node(self, vm, vms) for vm in vms}

    def publish(self, sender, fact):
        """Deliver ``fact`` to the nodes that ``sender`` is linked to."""
        names = list(self.nodes)
        own = names.index(sender.vm.name)
        for step in range(1, min(LINKS, len(names) - 1) + 1):
            self.deliver(sender, names[(own + step * step) % len(names)], fact)

    def deliver(self, sender, address, fact):
        """Deliver ``fact`` after all earlier messages, also while one is delivered."""
        self.queue.append((sender, self.nodes[address], fact))
        if self.delivering:
            return
        self.delivering = True
        while self.queue:
            sender, receiver, fact = self.queue.popleft()
            if sender.silent or receiver.silent:
                continue
            self.messages += 1
            member = Member(sender.vm.name, "d", sender.vm.name, 1, Standing.ALIVE)
            receiver.exchange.handle_message(fact, member)
        self.delivering = False

    def allocator(self):
        return self.nodes[rank_names("t1", self.nodes)[0]]


class Node:
    """One node with its balancer and its exchange of permits."""

    def __init__(self, cluster, vm, vms):
        self.vm = vm
        self.silent = False
        self.membership = Membership(vm, cluster.clock)
        self.membership.merge_facts(MemberFact(each, Standing.ALIVE) for each in vms)
        directory = make_directory(cluster.clock, make_target("t1"))
        self.balancer = make_balancer(directory, cluster.clock)
        self.limits = self.balancer.limits
        self.exchange = PermitExchange(
            self.limits,
            self.membership,
            cluster.clock,
            lambda address, fact: cluster.deliver(self, address, fact),
            lambda fact: cluster.publish(self, fact),
            lambda: None,
        )

    def acquire(self, clock, priority=1):
        request = make_request(clock, make_route(priority=priority))
        found = self.balancer.acquire(request, TriedTargets(), never_disconnected)
        if isinstance(found, Grant):
            self.balancer.release(found, target_failed=False)
        return found

    def suspect(self, vms):
        """Record other nodes as suspected to have failed."""
        self.membership.merge_facts(MemberFact(vm, Standing.SUSPECT) for vm in vms)
