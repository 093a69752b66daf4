"""Changes reach all nodes after the store was silent, whoever holds the lease."""

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule
from silent_store import SilentWorld

from runhatch_coordination import Role

STARTUP_SECONDS = 6.0
SILENT_SECONDS = 8.2
RESTART_AFTER_SECONDS = 3.1
RESTART_SECONDS = 1.0
MAX_DELAY_SECONDS = 2.0
"""Time from the acknowledgement of a change in which each node must apply it."""
MAX_START_SECONDS = 4.0
"""Time after a restart in which a node may still look for its readers."""
MAX_CONFIRMATION_SECONDS = 1.0
"""Time from the return of the store in which each node must know that its copy is the
newest."""
OBSERVED_SECONDS = 12.0
DOMAINS_BY_SIZE = {9: "aaaabbbcc", 90: "abc" * 30, 390: "abcdef" * 65}
HOLDER_ROLES = [Role.READER, Role.RESERVE]


@pytest.fixture
def make_world():
    worlds = []

    def make(size):
        worlds.append(SilentWorld(DOMAINS_BY_SIZE[size]))
        return worlds[-1]

    yield make
    for world in worlds:
        world.simulation.close()


def run_silence(world, restarted_share):
    """Let the store be silent; restart some nodes meanwhile."""
    count = round(len(world.nodes) * restarted_share)
    restarted = world.nodes[1 : 1 + count]
    world.store.fall_silent(SILENT_SECONDS)
    world.run(RESTART_AFTER_SECONDS)
    for node in restarted:
        node.stop()
    world.run(RESTART_SECONDS)
    for node in restarted:
        node.start()
    world.run(SILENT_SECONDS - RESTART_AFTER_SECONDS - RESTART_SECONDS)


class TestReturnOfTheStore:
    """Readers waited for changes in calls that the silent store had lost.

    They learned of its return only if one of them acquired the lease.
    """

    @pytest.mark.parametrize("size", [9, 90])
    @pytest.mark.parametrize("holder_role", HOLDER_ROLES)
    @pytest.mark.parametrize("restarted_share", [0.0, 0.6])
    @pytest.mark.parametrize("gap", [0.06, 0.5])
    def test_nodes_receive_a_change_in_time(
        self, make_world, size, holder_role, restarted_share, gap
    ):
        world = make_world(size)
        world.holder = world.nodes_with_role(holder_role)[-1]
        world.run(STARTUP_SECONDS)
        run_silence(world, restarted_share)
        written = []
        for _ in range(2):
            world.run(gap)
            written.append(world.write())
        world.run(OBSERVED_SECONDS)

        for version, written_at in written:
            assert max(world.delays(version, written_at).values()) <= MAX_DELAY_SECONDS

    @pytest.mark.parametrize("size", [9, 90])
    @pytest.mark.parametrize("holder_role", HOLDER_ROLES)
    @pytest.mark.parametrize("silent_seconds", [1.0, 3.3, 8.2])
    def test_the_table_is_confirmed_in_time(
        self, make_world, size, holder_role, silent_seconds
    ):
        """Nodes that can't confirm their keys refuse all requests with keys."""
        world = make_world(size)
        world.holder = world.nodes_with_role(holder_role)[-1]
        world.run(STARTUP_SECONDS)
        world.store.fall_silent(silent_seconds)
        world.run(silent_seconds)
        returned_at = world.simulation.now
        world.run(MAX_CONFIRMATION_SECONDS)

        assert world.unconfirmed_nodes(returned_at) == []


class SilentStoreMachine(RuleBasedStateMachine):
    """Silences of any duration, restarts, and a lease that any node may hold."""

    def __init__(self):
        super().__init__()
        self.world = SilentWorld(DOMAINS_BY_SIZE[9])
        self.world.run(STARTUP_SECONDS)
        self.restarted_at = 0.0

    def teardown(self):
        self.world.simulation.close()

    @rule(seconds=st.sampled_from([0.3, 1.0, 2.0, 4.0]))
    def wait(self, seconds):
        self.world.run(seconds)

    @rule(seconds=st.sampled_from([0.1, 0.7, 1.3, 2.9, 8.2]))
    def fall_silent(self, seconds):
        self.world.store.fall_silent(seconds)
        self.world.run(seconds)

    @rule(seconds=st.sampled_from([0.5, 3.0]))
    def begin_silence(self, seconds):
        """Let the store be silent while other things happen."""
        self.world.store.fall_silent(seconds)

    @rule(index=st.integers(0, 8))
    def give_lease(self, index):
        self.world.holder = self.world.nodes[index]

    @rule(index=st.integers(0, 8))
    def restart(self, index):
        self.world.nodes[index].stop()
        self.world.nodes[index].start()
        self.restarted_at = self.world.simulation.now

    @rule()
    def nodes_receive_a_change_in_time(self):
        """Check a change that the store acknowledges as soon as it answers."""
        while self.world.store.is_silent:
            self.world.run(0.1)
        version, written_at = self.world.write()
        self.world.run(MAX_DELAY_SECONDS + 0.1)
        delays = self.world.delays(version, written_at)
        if self.world.simulation.now - self.restarted_at > MAX_START_SECONDS:
            assert max(delays.values()) <= MAX_DELAY_SECONDS, delays


SilentStoreMachine.TestCase.settings = settings(
    max_examples=25, stateful_step_count=12, deadline=None
)
TestSilentStoreMachine = SilentStoreMachine.TestCase
