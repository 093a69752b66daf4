"""Nodes whose messages and threads come late, before targets that name a limit.

Each request is a thread of its own, and one runs at a time, so a replay is the same
each time and the balancer's own loop decides what a request does when it wakes.
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
    never_gone,
    seconds,
)

from runhatch_coordination import MemberFact, Membership, Standing, Vm
from runhatch_server.decisions import Tried
from runhatch_server.gateway._grant import Grant
from runhatch_server.gateway._permits import PermitExchange
from runhatch_server.peers import Member
from runhatch_server.routing import RequestKind, ServiceShare

PROMPT = (0.002, 0.01)
LATE = (0.15, 0.4)
"""Seconds, at random between both."""
ROUTE = make_route(
    RequestKind.IDEMPOTENT,
    shares=(ServiceShare("plain", 1.0),),
    goal=seconds(2),
)


class Turn:
    """A thread that runs only while the world waits for it."""

    def __init__(self, work):
        self._work = work
        self._own, self._worlds = threading.Semaphore(0), threading.Semaphore(0)
        self.pauses = 0
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self):
        self._own.acquire()
        try:
            self._work()
        finally:
            self._worlds.release()

    def resume(self):
        self._own.release()
        self._worlds.acquire()

    def pause(self):
        self._worlds.release()
        self._own.acquire()


class LateNode:
    """One node, whose requests pause in the world's time."""

    def __init__(self, world, vm, vms, targets):
        self.vm = vm
        self.waiting = []
        membership = Membership(vm, world.clock)
        membership.learn(MemberFact(each, Standing.ALIVE) for each in vms)
        fleet = [make_target(name, "plain", ()) for name in targets]
        directory = make_directory(world.clock, *fleet)
        self.balancer = make_balancer(directory, world.clock, seed=int(vm.name[1:]))
        self.balancer._held.pause = lambda longest: world.pause(self, longest)
        self.limits = self.balancer.limits
        self.exchange = PermitExchange(
            self.limits,
            membership,
            world.clock,
            lambda address, fact: world.tell(self, address, fact),
            lambda fact: [world.tell(self, vm.address, fact) for vm in vms],
            lambda: world.wake(self),
        )


class LateWorld:
    """Nodes whose messages take ``message`` seconds, and whose threads wake late."""

    def __init__(self, clock, rng, count, targets, message, thread):
        self.clock = clock
        self.sent = {target: [] for target in targets}
        self._rng, self._message, self._thread = rng, message, thread
        self._events = []
        self._numbers = itertools.count()
        self._running = None
        vms = [Vm(f"n{i}", f"d{i % 3}", f"n{i}", 1) for i in range(count)]
        self.nodes = {vm.name: LateNode(self, vm, vms, targets) for vm in vms}

    def outcomes(self):
        """Return what became of all permits."""
        counted = Counter()
        for node in self.nodes.values():
            for metric in node.limits._metrics.permits.collect():
                for sample in metric.samples:
                    if sample.name.endswith("_total"):
                        counted[sample.labels["outcome"]] += int(sample.value)
        return dict(counted)

    def play(self, demand, duration):
        """Have requests come at random, as many a second as ``demand``."""
        end = self.clock.elapsed() + duration
        self._come(demand)
        while self._events[0][0] < end:
            at, _, happens = heapq.heappop(self._events)
            self.clock.advance(max(seconds(0), at - self.clock.elapsed()))
            happens()

    def tell(self, sender, address, fact):
        node = self.nodes[address]
        member = Member(sender.vm.name, "d", sender.vm.name, 1, Standing.ALIVE)
        self._later(self._message, lambda: node.exchange.take_in(fact, member))

    def pause(self, node, longest):
        """Have the request that runs wait for news of its node."""
        turn = self._running
        turn.pauses += 1
        node.waiting.append(turn)
        self._wake(turn, node, longest)
        turn.pause()

    def wake(self, node):
        for turn in node.waiting:
            self._wake(turn, node, seconds(0))

    def _wake(self, turn, node, after):
        pauses = turn.pauses

        def resume():
            if turn in node.waiting and turn.pauses == pauses:
                node.waiting.remove(turn)
                self._run(turn)

        self._later(self._thread, resume, after)

    def _run(self, turn):
        self._running = turn
        turn.resume()

    def _later(self, span, happens, after=seconds(0)):
        at = self.clock.elapsed() + after + seconds(self._rng.uniform(*span))
        heapq.heappush(self._events, (at, next(self._numbers), happens))

    def _come(self, demand):
        node = self._rng.choice(list(self.nodes.values()))
        self._run(Turn(lambda: self._ask(node)))
        pause = self._rng.expovariate(demand)
        self._later((pause, pause), lambda: self._come(demand))

    def _ask(self, node):
        request = make_request(self.clock, ROUTE, "plain", "")
        found = node.balancer.acquire(request, Tried(), never_gone)
        if isinstance(found, Grant):
            node.balancer.released(found, faulty=False)
            arrivals = self.sent[found.target.incarnation]
            self._later(self._thread, lambda: arrivals.append(self.clock.elapsed()))
