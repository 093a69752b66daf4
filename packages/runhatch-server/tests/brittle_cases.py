"""Simulated nodes in front of a brittle target, for tests.

Messages between nodes are late, and some are lost; each link keeps their order.  The
target lets fewer requests wait from a while after it states that it is brittle, and
ends if it rejects more than it stated in a second.
"""

import heapq
import itertools
import random
from collections import deque
from dataclasses import dataclass

from gateway_cases import seconds

from runhatch_coordination import MemberFact, Membership, Standing, Vm, rank_names
from runhatch_coordination.testing import ManualClock
from runhatch_server.gateway._permits import PermitExchange
from runhatch_server.gateway._rate_limits import PERMIT_REQUEST_TIMEOUT, RateLimits
from runhatch_server.observability import Metrics
from runhatch_server.peers import Member

TARGET = "t1"
TIER = 1
MESSAGE_DELAYS = (0.001, 0.08)
TARGET_DELAYS = (0.001, 0.01)
LOST_MESSAGES = 0.02
REPORT_INTERVAL = 0.25
STATED_AT = 2.0
"""When the target begins to state that it is brittle, in seconds."""
SHRINKS_AFTER = 3.0
"""How long after that it may let fewer requests wait."""
RESTART = 3.0
"""Seconds for which a target that has ended is away."""


@dataclass(frozen=True)
class Site:
    """What a run is played on; ``max_waiting`` are the lengths of the queue in turn."""

    nodes: int
    slots: int = 8
    max_waiting: tuple[int, ...] = (4, 2, 0, 4)
    service: float = 0.5
    max_rejections: int = 4
    load: float = 3.0
    duration: float = 24.0
    is_stated: bool = True


class BrittleTarget:
    """Counts what it runs, queues and rejects."""

    def __init__(self, cluster, site):
        self._cluster, self._site = cluster, site
        self.running = 0
        self.waiting = deque()
        self.rejected_at = deque()
        self.back_at = 0.0
        self.falls = self.rejections = self.served = 0
        self.busy = self.used = self.room = self.since = 0.0

    @property
    def max_waiting(self):
        """The present length of the queue, which changes every few seconds."""
        late = self._cluster.now - STATED_AT - SHRINKS_AFTER
        lengths = self._site.max_waiting
        if late < 0:
            return lengths[0]
        return lengths[(1 + int(late / 4)) % len(lengths)]

    @property
    def busy_share(self):
        """Share of the slots in use since the target may let fewer wait."""
        return self.busy / (self.since - STATED_AT - SHRINKS_AFTER)

    def count_use(self):
        """Add the time since the last change to what was used."""
        now = self._cluster.now
        if now > STATED_AT + SHRINKS_AFTER:
            passed = now - max(self.since, STATED_AT + SHRINKS_AFTER)
            self.busy += passed * self.running / self._site.slots
            room = self._site.slots + self.max_waiting
            self.used += passed * min(room, self.running + len(self.waiting))
            self.room += passed * room
        self.since = now

    def receive(self, answer):
        """Run, queue or reject a request; ``answer`` gets whether it was run."""
        self.count_use()
        if self._cluster.now < self.back_at:
            answer(None)
        elif self.running < self._site.slots:
            self._run(answer)
        elif len(self.waiting) < self.max_waiting:
            self.waiting.append(answer)
        else:
            answer(False)
            self._count_rejection()

    def _run(self, answer):
        self.running += 1
        mean = self._site.service
        took = self._cluster.rng.uniform(0.3 * mean, 1.7 * mean)
        self._cluster.schedule(took, lambda: self._end(answer))

    def _end(self, answer):
        self.count_use()
        self.running -= 1
        self.served += 1
        answer(True)
        if self.waiting:
            self._run(self.waiting.popleft())

    def _count_rejection(self):
        now = self._cluster.now
        if now < STATED_AT + SHRINKS_AFTER:
            return
        self.rejections += 1
        self.rejected_at.append(now)
        while now - self.rejected_at[0] >= 1.0:
            self.rejected_at.popleft()
        if len(self.rejected_at) > self._site.max_rejections:
            self.falls += 1
            self.rejected_at.clear()
            self.back_at = now + RESTART
            while self.waiting:
                self.waiting.popleft()(None)


class BrittleNode:
    """One node with its limits and exchange; requests wait for permits as they do."""

    def __init__(self, cluster, vm, vms):
        self.vm, self._cluster = vm, cluster
        self.outstanding = 0
        self.waiting = []
        self.membership = Membership(vm, cluster.clock)
        self.membership.merge_facts(MemberFact(each, Standing.ALIVE) for each in vms)
        self.limits = RateLimits(cluster.clock, Metrics())
        self.limits.count_outstanding = lambda target: self.outstanding
        others = [each for each in vms if each != vm]
        self.exchange = PermitExchange(
            self.limits,
            self.membership,
            cluster.clock,
            lambda address, fact: cluster.send(self, address, fact),
            lambda fact: [cluster.send(self, other.address, fact) for other in others],
            self.wake,
            lambda target: cluster.site.slots,
        )

    def accept(self):
        """Send a new request, wait for a permit, or refuse it."""
        if self._try(has_requested=False):
            return
        if self.limits.available_at(TARGET, TIER, self._cluster.clock.elapsed()) > (
            self._cluster.clock.elapsed()
        ):
            self._cluster.refused += 1
            return
        request = object()
        self.waiting.append(request)
        self._cluster.schedule(
            PERMIT_REQUEST_TIMEOUT.total_seconds(), lambda: self._give_up(request)
        )
        self.limits.request_permit(TARGET, TIER)
        self.wake()

    def wake(self):
        """Send waiting requests that have a permit."""
        while self.waiting:
            if self._try(has_requested=True):
                self._leave()
            else:
                return

    def _leave(self):
        self.waiting.pop(0)
        self.limits.stop_waiting([TARGET])

    def _give_up(self, request):
        if request in self.waiting:
            self.waiting.remove(request)
            self.limits.stop_waiting([TARGET])
            self.limits.record_unanswered(TARGET, TIER)
            self._cluster.refused += 1

    def _try(self, has_requested):
        if not self.limits.use_permit(TARGET, has_requested):
            return False
        self.outstanding += 1
        sent_at = self._cluster.clock.elapsed()
        self._cluster.schedule(
            self._cluster.rng.uniform(*TARGET_DELAYS),
            lambda: self._cluster.target.receive(
                lambda is_run: self._cluster.schedule(
                    self._cluster.rng.uniform(*TARGET_DELAYS),
                    lambda: self._record_answer(is_run, sent_at),
                )
            ),
        )
        return True

    def _record_answer(self, is_run, sent_at):
        self.outstanding -= 1
        if is_run is not None:
            stated = self._cluster.site.is_stated and sent_at >= seconds(STATED_AT)
            most = self._cluster.site.max_rejections
            self.limits.apply_answer(TARGET, None, sent_at, most if stated else None)
        self.limits.record_end(TARGET, is_rejected=is_run is False)


class BrittleCluster:
    """A run of ``site`` with random messages and requests of ``seed``."""

    def __init__(self, site, seed):
        self.site, self.rng = site, random.Random(seed)
        self.clock = ManualClock()
        self.started_at = self.clock.elapsed()
        self.refused = self.messages = 0
        self._events, self._numbers = [], itertools.count()
        self._arrivals = {}
        self.target = BrittleTarget(self, site)
        self.vms = [Vm(f"n{i}", f"d{i % 3}", f"n{i}", 1 + i) for i in range(site.nodes)]
        self.nodes = {vm.address: BrittleNode(self, vm, self.vms) for vm in self.vms}
        self.silent = set()
        self.callable_nodes = list(self.nodes.values())

    @property
    def now(self):
        """Seconds since the start."""
        return (self.clock.elapsed() - self.started_at).total_seconds()

    def play(self, until=None):
        """Play the run to its end, or ``until`` that many seconds."""
        if not self._events:
            self._send_request()
            for node in self.nodes.values():
                self.schedule(
                    self.rng.uniform(0, REPORT_INTERVAL), self._reporter(node)
                )
        until = until or self.site.duration
        while self._events[0][0] < until:
            at, _, action = heapq.heappop(self._events)
            self.clock.advance(max(seconds(0), seconds(at - self.now)))
            action()
        self.target.count_use()

    def allocator(self):
        """Return the node that allocates the permits of the target."""
        return self.nodes[rank_names(TARGET, self.nodes)[0]]

    def schedule(self, after, action):
        heapq.heappush(self._events, (self.now + after, next(self._numbers), action))

    def send(self, sender, address, fact):
        """Deliver ``fact`` late, in the order of its link, unless it is lost."""
        self.messages += 1
        if self.rng.random() < LOST_MESSAGES or {sender.vm.address, address} & (
            self.silent
        ):
            return
        link = (sender.vm.address, address)
        at = self.now + self.rng.uniform(*MESSAGE_DELAYS)
        at = max(at, self._arrivals.get(link, 0.0))
        self._arrivals[link] = at
        vm = sender.vm
        member = Member(vm.name, "d", vm.address, vm.incarnation, Standing.ALIVE)
        self.schedule(
            at - self.now,
            lambda: self.nodes[address].exchange.handle_message(fact, member),
        )

    def _reporter(self, node):
        def report():
            node.exchange.report_rooms()
            self.schedule(REPORT_INTERVAL, report)

        return report

    def _send_request(self):
        self.rng.choice(self.callable_nodes).accept()
        rate = self.site.load * self.site.slots / self.site.service
        self.schedule(self.rng.expovariate(rate), self._send_request)
