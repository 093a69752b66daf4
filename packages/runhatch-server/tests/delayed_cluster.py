"""Simulated nodes with delayed messages and threads, for rate-limited targets.

Each request is a thread, and only one runs at a time, so a simulation is deterministic
and still uses the balancer's own loop for requests that wake.
"""

import heapq
import itertools
import threading
from collections import Counter

from gateway_cases import (
    make_balancer,
    make_directory,
    make_request,
    make_route,
    make_target,
    never_disconnected,
    seconds,
)

from runhatch_coordination import MemberFact, Membership, Standing, Vm
from runhatch_server.decisions import TriedTargets
from runhatch_server.gateway._grant import Grant
from runhatch_server.gateway._permits import PermitExchange
from runhatch_server.peers import Member
from runhatch_server.routing import RequestKind, ServiceShare

PROMPT_DELAYS = (0.002, 0.01)
LATE_DELAYS = (0.15, 0.4)
"""Ranges in seconds of the random delays."""
ROUTE = make_route(
    RequestKind.IDEMPOTENT,
    shares=(ServiceShare("plain", 1.0),),
    goal=seconds(2),
)


class RequestThread:
    """A thread that runs only while the cluster waits for it."""

    def __init__(self, work):
        self._work = work
        self._own_turn, self._cluster_turn = (
            threading.Semaphore(0),
            threading.Semaphore(0),
        )
        self.pauses = 0
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self):
        self._own_turn.acquire()
        try:
            self._work()
        finally:
            self._cluster_turn.release()

    def resume(self):
        self._own_turn.release()
        self._cluster_turn.acquire()

    def pause(self):
        self._cluster_turn.release()
        self._own_turn.acquire()


class DelayedNode:
    """One node, whose requests wait in simulated time."""

    def __init__(self, cluster, vm, vms, targets):
        self.vm = vm
        self.waiting = []
        membership = Membership(vm, cluster.clock)
        membership.merge_facts(MemberFact(each, Standing.ALIVE) for each in vms)
        fleet = [make_target(name, "plain", ()) for name in targets]
        directory = make_directory(cluster.clock, *fleet)
        self.balancer = make_balancer(directory, cluster.clock, seed=int(vm.name[1:]))
        self.balancer._held_requests.wait_for_update = lambda longest, is_due: (
            cluster.pause(self, longest)
        )
        self.limits = self.balancer.limits
        self.exchange = PermitExchange(
            self.limits,
            membership,
            cluster.clock,
            lambda address, fact: cluster.send(self, address, fact),
            lambda fact: [cluster.send(self, vm.address, fact) for vm in vms],
            lambda: cluster.wake(self),
        )


class DelayedCluster:
    """Nodes whose messages and threads are delayed.

    ``message_delays`` and ``thread_delays`` are ranges in seconds.
    """

    def __init__(self, clock, rng, count, targets, message_delays, thread_delays):
        self.clock = clock
        self.sent = {target: [] for target in targets}
        self._rng, self._message_delays, self._thread_delays = (
            rng,
            message_delays,
            thread_delays,
        )
        self._events = []
        self._numbers = itertools.count()
        self._running = None
        vms = [Vm(f"n{i}", f"d{i % 3}", f"n{i}", 1) for i in range(count)]
        self.nodes = {vm.name: DelayedNode(self, vm, vms, targets) for vm in vms}

    def outcomes(self):
        """Return the counts of all permits by outcome."""
        counted = Counter()
        for node in self.nodes.values():
            for metric in node.limits._metrics.permit_requests.collect():
                for sample in metric.samples:
                    if sample.name.endswith("_total"):
                        counted[sample.labels["outcome"]] += int(sample.value)
        return dict(counted)

    def play(self, demand, duration):
        """Run for ``duration`` with ``demand`` random requests per second."""
        end = self.clock.elapsed() + duration
        self._send_requests(demand)
        while self._events[0][0] < end:
            at, _, action = heapq.heappop(self._events)
            self.clock.advance(max(seconds(0), at - self.clock.elapsed()))
            action()

    def send(self, sender, address, fact):
        node = self.nodes[address]
        member = Member(sender.vm.name, "d", sender.vm.name, 1, Standing.ALIVE)
        self._schedule(
            self._message_delays, lambda: node.exchange.handle_message(fact, member)
        )

    def pause(self, node, longest):
        """Let the running request wait for a wake-up, at most ``longest``."""
        thread = self._running
        thread.pauses += 1
        node.waiting.append(thread)
        self._schedule_wake(thread, node, longest)
        thread.pause()

    def wake(self, node):
        for thread in node.waiting:
            self._schedule_wake(thread, node, seconds(0))

    def _schedule_wake(self, thread, node, after):
        pauses = thread.pauses

        def resume():
            if thread in node.waiting and thread.pauses == pauses:
                node.waiting.remove(thread)
                self._run(thread)

        self._schedule(self._thread_delays, resume, after)

    def _run(self, thread):
        self._running = thread
        thread.resume()

    def _schedule(self, delays, action, after=seconds(0)):
        at = self.clock.elapsed() + after + seconds(self._rng.uniform(*delays))
        heapq.heappush(self._events, (at, next(self._numbers), action))

    def _send_requests(self, demand):
        node = self._rng.choice(list(self.nodes.values()))
        self._run(RequestThread(lambda: self._acquire(node)))
        pause = self._rng.expovariate(demand)
        self._schedule((pause, pause), lambda: self._send_requests(demand))

    def _acquire(self, node):
        request = make_request(self.clock, ROUTE, "plain", "")
        found = node.balancer.acquire(request, TriedTargets(), never_disconnected)
        if isinstance(found, Grant):
            node.balancer.release(found, target_failed=False)
            arrivals = self.sent[found.target.incarnation]
            self._schedule(
                self._thread_delays, lambda: arrivals.append(self.clock.elapsed())
            )
