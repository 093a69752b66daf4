"""Stateful tests of nodes contending for a lease of a table that is restored."""

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
POLL_AFTER = timedelta(seconds=1.5)
"""Time without a reported renewal after which other nodes poll the lease."""
FASTEST, SLOWEST = 1.02, 0.98
"""Rates of the fastest and slowest clock, to simulate drift."""


class Node:
    """One node and its successive processes."""

    def __init__(self, name, memory, rate):
        self.name = name
        self.memory = memory
        self.rate = rate
        self.clock = ManualClock()
        self.tables = []
        self.start_process()

    def start_process(self):
        """Start a new process; delayed writes of the previous one may still arrive."""
        self.frozen = False
        self.table = FaultyTable(self.memory)
        self.tables.append(self.table)
        self.lease = Lease(self.table, self.clock, "orders", self.name, TTL)
        self.last_report = (0, -1)
        self.reported_at = timedelta(days=-1)

    @property
    def fence(self):
        """Fence under which the node currently acts, ``None`` if it holds no lease."""
        epoch = None if self.frozen else self.lease.held_epoch()
        return None if epoch is None else epoch.number

    def receive_renewal(self, epoch, renewal):
        if (epoch, renewal) > self.last_report:
            self.last_report = (epoch, renewal)
            self.reported_at = self.clock.elapsed()
            self.lease.observe_renewal(epoch, renewal)

    def run_step(self):
        """Renew or poll the lease; skip polling while reports of its holder arrive."""
        if self.frozen:
            return
        is_report_recent = self.clock.elapsed() - self.reported_at < POLL_AFTER
        if self.fence is not None or not is_report_recent:
            self.lease.step(eager=self.name == NAMES[0])


class LeaseContentionMachine(RuleBasedStateMachine):
    """Nodes freeze, lose messages and restart, and the table is restored."""

    def __init__(self):
        super().__init__()
        self.memory = MemoryTable()
        rates = [1, FASTEST, SLOWEST, 1, 1]
        self.nodes = [
            Node(name, self.memory, rate)
            for name, rate in zip(NAMES, rates, strict=True)
        ]
        self.isolated = set()
        self.highest_fence = 0
        self.last_actor = None

    def send_renewals(self):
        """Send the last renewal of every holder to the other nodes."""
        for node in self.nodes:
            if node.fence is None:
                continue
            for other in self.nodes:
                if not other.frozen and other.name not in self.isolated:
                    other.receive_renewal(node.fence, node.lease.record.renewal)

    @rule(ticks=st.sampled_from([1, 1, 3, 8]))
    def wait(self, ticks):
        for _ in range(ticks):
            for node in self.nodes:
                node.clock.advance(TICK * node.rate)
                node.run_step()
                self.check_fences()
            self.send_renewals()

    @rule()
    def copy(self):
        self.memory.save_copy()

    @rule(informed=st.sets(st.integers(0, 4)))
    def restore(self, informed):
        """Restore the table; ``informed`` nodes learn the new era at once."""
        self.memory.restore_copy()
        for index in informed:
            self.nodes[index].table.update_era()

    @rule(index=st.integers(0, 4), frozen=st.booleans())
    def freeze(self, index, frozen):
        self.nodes[index].frozen = frozen

    @rule(
        index=st.integers(0, 4),
        fault=st.sampled_from(TableFault),
        count=st.sampled_from([1, 3, 4, 100]),
    )
    def inject_fault(self, index, fault, count):
        self.nodes[index].table.inject(fault, count)

    @rule(index=st.integers(0, 4))
    def deliver(self, index):
        """Deliver delayed writes to the table."""
        for table in self.nodes[index].tables:
            table.apply_delayed_writes()

    @rule(index=st.integers(0, 4), isolated=st.booleans())
    def set_isolated(self, index, isolated):
        (self.isolated.add if isolated else self.isolated.discard)(NAMES[index])

    @rule(index=st.integers(0, 4))
    def restart(self, index):
        self.nodes[index].start_process()

    @rule(index=st.integers(0, 4), informed=st.booleans())
    def give_up_lease(self, index, informed):
        """Abandon the lease and inform the others, or release it in the table."""
        node = self.nodes[index]
        fence = node.fence
        if fence is None:
            return
        if informed:
            node.lease.abandon()
            for other in self.nodes:
                if other is not node and other.name not in self.isolated:
                    other.lease.observe_resignation(fence)
                    other.reported_at = timedelta(days=-1)
        else:
            node.lease.release()

    @invariant()
    def check_fences(self):
        """Check that no holder acts under a fence below a previous one."""
        for node in self.nodes:
            fence = node.fence
            if fence is None:
                continue
            actor = (node.name, id(node.lease))
            assert fence >= self.highest_fence, (
                f"{node.name}: {fence} after {self.highest_fence}"
            )
            if fence == self.highest_fence:
                assert actor == self.last_actor
            self.highest_fence, self.last_actor = fence, actor

    def teardown(self):
        """Check that some node holds the lease after all faults end."""
        for node in self.nodes:
            node.frozen = False
            node.table.inject(TableFault.NONE, 0)
        self.isolated.clear()
        for _ in range(30):
            self.wait(1)
        assert any(node.fence is not None for node in self.nodes)


LeaseContentionMachine.TestCase.settings = settings(
    max_examples=100, stateful_step_count=80, deadline=None, derandomize=True
)
TestLeaseContention = LeaseContentionMachine.TestCase


def run_random_steps(seed, steps=150):
    """Run random steps, in longer sequences than Hypothesis generates."""
    rng = random.Random(seed)
    machine = LeaseContentionMachine()
    for _ in range(steps):
        index, flag = rng.randrange(5), rng.random() < 0.4
        fault, count = rng.choice([*TableFault]), rng.choice([1, 3, 4, 100])
        informed = {number for number in range(5) if rng.random() < 0.4}
        step = rng.choice(
            [
                *[lambda: machine.wait(rng.choice([1, 1, 3, 8]))] * 4,
                machine.copy,
                partial(machine.restore, informed),
                partial(machine.freeze, index, flag),
                partial(machine.inject_fault, index, fault, count),
                partial(machine.deliver, index),
                partial(machine.set_isolated, index, flag),
                partial(machine.restart, index),
                partial(machine.give_up_lease, index, flag),
            ]
        )
        step()
        machine.check_fences()
    machine.teardown()


@pytest.mark.parametrize("first_seed", [0, 100])
def test_fences_do_not_decrease_in_long_runs(first_seed):
    for seed in range(first_seed, first_seed + 100):
        run_random_steps(seed)
