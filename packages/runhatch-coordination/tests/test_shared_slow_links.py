"""Delays of a large table in a domain with slow links, also without its readers."""

import pytest
from slow_links import SlowWorld

STARTUP_SECONDS = 5.0
MAX_DELAY_SECONDS = 3.0
"""Time in which all nodes must receive a change, even if another one follows it."""
OBSERVED_SECONDS = 5.0


@pytest.fixture(params=[1.0, 0.5], ids=["idle links", "half used links"])
def world(request):
    world = SlowWorld(request.param)
    world.simulation.run_until(STARTUP_SECONDS)
    yield world
    world.simulation.close()


@pytest.mark.parametrize("frozen_seconds", [None, 0.0, 0.45, 0.9])
@pytest.mark.parametrize("gap", [0.3, 0.9, 1.5, 1.8])
def test_two_changes_of_a_large_table_arrive_in_time(world, frozen_seconds, gap):
    """All nodes receive two changes in time, also after both readers have frozen.

    All nodes then read the store at once, and an answer that is already arriving must
    not be interrupted: a node once still used the first version 3.2 s after the second.
    On links that callers use too, the store's answer alone takes two seconds, and so
    does the update of a working reader to all nodes. An answer of a node is small, and
    must be requested before that.
    """
    assert all(node.table.version for node in world.nodes)
    written_at = {}
    now = STARTUP_SECONDS
    if frozen_seconds is not None:
        world.freeze_readers()
        now += frozen_seconds
    for _ in range(2):
        world.simulation.run_until(now)
        written_at[world.write()] = now
        now += gap
    world.simulation.run_until(now + OBSERVED_SECONDS)

    running = [node for node in world.slow_nodes if not node.is_frozen]
    frozen_count = 0 if frozen_seconds is None else 2
    assert len(running) == len(world.slow_nodes) - frozen_count
    for version, at in written_at.items():
        delays = {node.vm.name: node.received_at[version] - at for node in running}
        assert max(delays.values()) <= MAX_DELAY_SECONDS
