"""Nodes that contend for one lease, whose table comes back from older copies."""

import random
from datetime import timedelta
from functools import partial

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from runhatch_coordination import Lease
from runhatch_coordination.testing import (
    FaultyTable,
    ManualClock,
    MemoryTable,
    TableFault,
)

NAMES = "abcde"
TTL = timedelta(seconds=2)
TICK = timedelta(seconds=0.3)
SILENT = timedelta(seconds=1.5)
"""Time without a renewal after which the others look at the lease."""
FASTEST, SLOWEST = 1.02, 0.98
"""Clocks drift apart."""


class Node:
    """One node's processes, one after the other; ``start`` begins the next."""

    def __init__(self, name, memory, rate):
        self.name = name
        self.memory = memory
        self.rate = rate
        self.clock = ManualClock()
        self.tables = []
        self.start()

    def start(self):
        """Start its process anew; what the former one sent may still arrive."""
        self.frozen = False
        self.table = FaultyTable(self.memory)
        self.tables.append(self.table)
        self.lease = Lease(self.table, self.clock, "orders", self.name, TTL)
        self.heard = (0, -1)
        self.heard_at = timedelta(days=-1)

    @property
    def fence(self):
        """The fence under which it acts right now."""
        epoch = None if self.frozen else self.lease.held()
        return None if epoch is None else epoch.number

    def hear(self, epoch, renewal):
        if (epoch, renewal) > self.heard:
            self.heard = (epoch, renewal)
            self.heard_at = self.clock.elapsed()
            self.lease.observe(epoch, renewal)

    def turn(self):
        """Look at the lease unless its holder is heard."""
        if self.frozen:
            return
        heard = self.clock.elapsed() - self.heard_at < SILENT
        if self.fence is not None or not heard:
            self.lease.step(eager=self.name == NAMES[0])


class World(RuleBasedStateMachine):
    """Nodes that are frozen, cut off and started again, and a table that steps back."""

    def __init__(self):
        super().__init__()
        self.memory = MemoryTable()
        rates = [1, FASTEST, SLOWEST, 1, 1]
        self.nodes = [
            Node(name, self.memory, rate)
            for name, rate in zip(NAMES, rates, strict=True)
        ]
        self.deaf = set()
        self.highest = 0
        self.acted_by = None

    def tell(self):
        """Every holder tells the others of its last renewal."""
        for node in self.nodes:
            if node.fence is None:
                continue
            for other in self.nodes:
                if not other.frozen and other.name not in self.deaf:
                    other.hear(node.fence, node.lease.record.renewal)

    @rule(ticks=st.sampled_from([1, 1, 3, 8]))
    def wait(self, ticks):
        for _ in range(ticks):
            for node in self.nodes:
                node.clock.advance(TICK * node.rate)
                node.turn()
                self.act()
            self.tell()

    @rule()
    def copy(self):
        self.memory.copy()

    @rule(told=st.sets(st.integers(0, 4)))
    def restore(self, told):
        """The table comes back, which some nodes learn by other calls at once."""
        self.memory.restore()
        for place in told:
            self.nodes[place].table.learn_era()

    @rule(place=st.integers(0, 4), frozen=st.booleans())
    def freeze(self, place, frozen):
        self.nodes[place].frozen = frozen

    @rule(
        place=st.integers(0, 4),
        fault=st.sampled_from(TableFault),
        count=st.sampled_from([1, 3, 4, 100]),
    )
    def disturb(self, place, fault, count):
        self.nodes[place].table.inject(fault, count)

    @rule(place=st.integers(0, 4))
    def deliver(self, place):
        """Writes that were delayed reach the table."""
        for table in self.nodes[place].tables:
            table.deliver()

    @rule(place=st.integers(0, 4), deaf=st.booleans())
    def deafen(self, place, deaf):
        (self.deaf.add if deaf else self.deaf.discard)(NAMES[place])

    @rule(place=st.integers(0, 4))
    def start(self, place):
        self.nodes[place].start()

    @rule(place=st.integers(0, 4), told=st.booleans())
    def stop_acting(self, place, told):
        """A holder gives the lease up; the others hear of it, or do not."""
        node = self.nodes[place]
        fence = node.fence
        if fence is None:
            return
        if told:
            node.lease.abandon()
            for other in self.nodes:
                if other is not node and other.name not in self.deaf:
                    other.lease.observe_resigned(fence)
                    other.heard_at = timedelta(days=-1)
        else:
            node.lease.release()

    @invariant()
    def act(self):
        """Whoever holds the lease acts, by a fence that is not below an earlier one."""
        for node in self.nodes:
            fence = node.fence
            if fence is None:
                continue
            actor = (node.name, id(node.lease))
            assert fence >= self.highest, f"{node.name}: {fence} after {self.highest}"
            if fence == self.highest:
                assert actor == self.acted_by
            self.highest, self.acted_by = fence, actor

    def teardown(self):
        """Once all is well, somebody holds the lease."""
        for node in self.nodes:
            node.frozen = False
            node.table.inject(TableFault.NONE, 0)
        self.deaf.clear()
        for _ in range(30):
            self.wait(1)
        assert any(node.fence is not None for node in self.nodes)


World.TestCase.settings = settings(
    max_examples=100, stateful_step_count=80, deadline=None, derandomize=True
)
TestWorld = World.TestCase


def long_run(seed, steps=150):
    """Take steps by chance; longer runs than a search for short ones makes."""
    source = random.Random(seed)
    world = World()
    for _ in range(steps):
        place, often = source.randrange(5), source.random() < 0.4
        fault, count = source.choice([*TableFault]), source.choice([1, 3, 4, 100])
        told = {number for number in range(5) if source.random() < 0.4}
        step = source.choice(
            [
                *[lambda: world.wait(source.choice([1, 1, 3, 8]))] * 4,
                world.copy,
                partial(world.restore, told),
                partial(world.freeze, place, often),
                partial(world.disturb, place, fault, count),
                partial(world.deliver, place),
                partial(world.deafen, place, often),
                partial(world.start, place),
                partial(world.stop_acting, place, often),
            ]
        )
        step()
        world.act()
    world.teardown()


@pytest.mark.parametrize("first_seed", [0, 100])
def test_no_fence_is_below_an_earlier_one_in_long_runs(first_seed):
    for seed in range(first_seed, first_seed + 100):
        long_run(seed)
