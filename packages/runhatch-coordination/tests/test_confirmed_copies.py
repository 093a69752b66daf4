"""Guards against a removed key that a node still serves, as it takes its copy for the
newest.

A node relies on its copy of the configuration for a bounded time after the moment for
which it is confirmed.  So the copy must have all changes up to that moment.
"""

from datetime import timedelta

import hypothesis.strategies as st
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, rule
from silent_store import SilentWorld

STARTUP_SECONDS = 6.0
STEP_SECONDS = 0.1
BOUND_SECONDS = 3.0
"""Time for which a node relies on its copy."""
MAX_CALL_WAIT = 0.4 * timedelta(seconds=BOUND_SECONDS)
RECOVERY_SECONDS = 6.0
CUT_OFF_SECONDS = 8.0
DOMAINS = "aaaabbbcc"
NODES = st.integers(0, len(DOMAINS) - 1)


class ConfirmedCopiesMachine(RuleBasedStateMachine):
    """Cuts, freezes, silences and restarts that overlap with changes."""

    def __init__(self):
        super().__init__()
        self.world = SilentWorld(DOMAINS, MAX_CALL_WAIT)
        self.run_for(STARTUP_SECONDS)

    def teardown(self):
        self.world.simulation.close()

    def run_for(self, seconds):
        """Let time pass; no node may rely on a copy that lacks a change."""
        for _ in range(round(seconds / STEP_SECONDS)):
            self.world.run(STEP_SECONDS)
            assert self.world.wrongly_confirmed_nodes() == []

    @rule(seconds=st.sampled_from([0.1, 0.5, 2.0]))
    def wait(self, seconds):
        self.run_for(seconds)

    @rule()
    def write(self):
        if not self.world.store.is_silent:
            self.world.write()

    @rule(seconds=st.sampled_from([0.3, 1.3, 4.0]))
    def fall_silent(self, seconds):
        self.world.store.fall_silent(seconds)

    @rule(index=NODES, is_cut_off=st.booleans())
    def cut_off_from_the_store(self, index, is_cut_off):
        self.world.nodes[index].is_cut_off = is_cut_off

    @rule(index=NODES, is_isolated=st.booleans())
    def cut_off_from_the_nodes(self, index, is_isolated):
        self.world.nodes[index].is_isolated = is_isolated

    @rule(index=NODES, seconds=st.sampled_from([0.4, 2.0, 5.0]))
    def freeze(self, index, seconds):
        self.world.nodes[index].freeze(seconds)

    @rule(index=NODES)
    def restart(self, index):
        node = self.world.nodes[index]
        node.freeze(0.0)
        node.stop()
        node.start()

    @rule(index=NODES)
    def give_lease(self, index):
        self.world.holder = self.world.nodes[index]

    @rule(remainder=st.integers(0, 2))
    def third_of_the_nodes_is_cut_off_from_the_store(self, remainder):
        """They learn from the others that their copies are complete."""
        for node in self.world.nodes:
            node.is_cut_off = node.is_isolated = False
        while self.world.store.is_silent or any(
            node.frozen_seconds_left for node in self.world.nodes
        ):
            self.run_for(STEP_SECONDS)
        self.run_for(RECOVERY_SECONDS)
        for number, node in enumerate(self.world.nodes):
            node.is_cut_off = number % 3 == remainder
        for _ in range(round(CUT_OFF_SECONDS / STEP_SECONDS)):
            self.run_for(STEP_SECONDS)
            since = self.world.simulation.now - BOUND_SECONDS
            assert self.world.unconfirmed_nodes(since) == []


ConfirmedCopiesMachine.TestCase.settings = settings(
    max_examples=25, stateful_step_count=15, deadline=None
)
TestConfirmedCopies = ConfirmedCopiesMachine.TestCase
