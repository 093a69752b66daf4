"""Changes reach all nodes after the store was silent, whoever holds the lease."""

import pytest
from silent_store import SilentWorld

from runhatch_coordination import Role

STARTUP_SECONDS = 6.0
SILENT_SECONDS = 8.2
RESTART_AFTER_SECONDS = 3.1
RESTART_SECONDS = 1.0
MAX_DELAY_SECONDS = 2.0
"""Time from the acknowledgement of a change in which each node must apply it."""
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
