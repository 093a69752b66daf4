"""Membership of many nodes: deaths, pauses, cuts and parted regions."""

import pytest

from runhatch_coordination import Standing
from runhatch_standins._peer_group import group_of, region

SETTLED = 6
"""Rounds after which everybody has heard of everybody."""
QUIET_BYTES = 350
"""Of heartbeats alone, for eight links; nothing here is a matter of time."""
LEAVING_STANDINGS = ({Standing.DRAINING}, {Standing.ALIVE, Standing.DRAINING})
"""What others believe of a leaving VM, and what it believes of itself."""


@pytest.fixture(params=[3, 9, 40])
def group(request):
    group = group_of(request.param)
    group.run(SETTLED)
    return group


def suspects_of(group, name):
    return {vm.name for vm in group.nodes[name].membership.suspects()}


class TestFailures:
    """What all nodes come to believe, and that it heals."""

    def test_quiet_group_suspects_nobody(self, group):
        """With nothing wrong nobody is suspected, nor does news go round."""
        before = group.messages
        group.run(20)
        assert group.suspicions(set(group.nodes)) == 0
        links = min(len(group.nodes) - 1, 6 if len(group.nodes) > 9 else 8)
        assert group.messages - before == 20 * links * len(group.nodes)

    def test_death_is_known_everywhere(self, group):
        """A silent death is known to all within the silence and a round."""
        group.dead.add("n001")
        group.run(6)
        assert group.suspicions({"n001"}) == len(group.nodes) - 1
        assert group.suspicions(set(group.nodes) - {"n001"}) == 0

    def test_leaving_vm_stays_leaving(self, group):
        """What the list says of a leaving VM is believed and causes no chatter."""
        group.leaving = frozenset({"n001"})
        group.run(6)
        before = group.bytes
        group.run(20)
        for node in group.running():
            assert (
                node.membership.standing("n001")
                in LEAVING_STANDINGS[node.vm.name == "n001"]
            )
        bytes_a_round = (group.bytes - before) / 20 / len(group.nodes)
        assert bytes_a_round < QUIET_BYTES

    def test_stopped_node_suspects_nobody(self, group):
        """A node that was stopped suspects nobody for its own pause."""
        group.stopped.add("n001")
        group.run(10)
        group.stopped.clear()
        group.run(1)
        others = set(group.nodes) - {"n001"}
        assert suspects_of(group, "n001") == set()
        assert group.suspicions(others) == 0
        group.run(3)
        assert group.suspicions({"n001"}) == 0

    def test_parted_regions_find_each_other(self, group):
        """Once regions can talk again nobody stays suspected."""
        group.cut = lambda a, b: (region(a) == "r0") != (region(b) == "r0")
        group.run(60)
        names = {n for n, node in group.nodes.items() if region(node.vm) == "r0"}
        assert group.suspicions(names) > 0
        group.cut = lambda a, b: False
        group.run(40)
        assert group.suspicions(set(group.nodes)) == 0

    def test_one_way_cut_hurts_only_its_ends(self, group):
        """A node that one other cannot hear is not suspected by the rest."""
        first, second = "n000", "n001"
        group.cut = lambda a, b: (a.name, b.name) == (first, second)
        group.run(30)
        rest = set(group.nodes) - {second}
        assert all(first not in suspects_of(group, name) for name in rest)
        group.cut = lambda a, b: False
        group.run(10)
        assert group.suspicions(set(group.nodes)) == 0
