"""A table that grows while both readers of a domain of slow links are lost."""

import pytest
from slow_links import SlowWorld

SETTLED = 5.0
KNOWN_SECONDS = 3.0
"""Time in which a change must be known to all, with a second one on its way."""
AFTER = 5.0


@pytest.fixture
def world():
    world = SlowWorld()
    world.stage.play(SETTLED)
    yield world
    world.stage.close()


@pytest.mark.parametrize("lost_before", [0.0, 0.45, 0.9])
@pytest.mark.parametrize("gap", [0.3, 0.9, 1.5, 1.8])
def test_two_changes_of_a_large_table_are_known_in_time(world, lost_before, gap):
    """One of 26 nodes went by the first of two versions 3.2 s after the second."""
    assert all(node.table.version for node in world.nodes)
    world.freeze_readers()
    written = {}
    now = SETTLED + lost_before
    for _ in range(2):
        world.stage.play(now)
        written[world.write()] = now
        now += gap
    world.stage.play(now + AFTER)

    up = [node for node in world.slow if not node.frozen]
    assert len(up) == len(world.slow) - 2
    for version, at in written.items():
        late = {node.vm.name: node.took[version] - at for node in up}
        assert max(late.values()) <= KNOWN_SECONDS
