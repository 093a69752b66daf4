"""Test membership under node failures, suspensions and network partitions."""

import pytest

from runhatch_coordination import Standing
from runhatch_standins._peer_group import group_of, region

DISCOVERY_ROUNDS = 6
"""Rounds after which all nodes know each other."""
MAX_HEARTBEAT_BYTES = 350
"""Maximum bytes per node and round for the heartbeats of eight links."""
LEAVING_STANDINGS = ({Standing.DRAINING}, {Standing.ALIVE, Standing.DRAINING})
"""Accepted standings of a leaving VM: at other nodes, and at itself."""


@pytest.fixture(params=[3, 9, 40])
def group(request):
    group = group_of(request.param)
    group.run(DISCOVERY_ROUNDS)
    return group


def suspects_of(group, name):
    return {vm.name for vm in group.nodes[name].membership.suspects()}


class TestFailures:
    """Suspicion of failed nodes, and recovery from it."""

    def test_healthy_group_has_no_suspicions(self, group):
        """Without faults no node is suspected and only heartbeats are sent."""
        before = group.messages
        group.run(20)
        assert group.suspicions(set(group.nodes)) == 0
        links = min(len(group.nodes) - 1, 6 if len(group.nodes) > 9 else 8)
        assert group.messages - before == 20 * links * len(group.nodes)

    def test_failed_node_is_suspected_by_all(self, group):
        """A node that fails silently is suspected by all after the timeout."""
        group.dead.add("n001")
        group.run(6)
        assert group.suspicions({"n001"}) == len(group.nodes) - 1
        assert group.suspicions(set(group.nodes) - {"n001"}) == 0

    def test_leaving_vm_stays_leaving(self, group):
        """A leaving VM keeps this standing without additional messages."""
        group.leaving = frozenset({"n001"})
        group.run(6)
        before = group.bytes
        group.run(20)
        for node in group.running():
            assert (
                node.membership.standing("n001")
                in LEAVING_STANDINGS[node.vm.name == "n001"]
            )
        bytes_per_round = (group.bytes - before) / 20 / len(group.nodes)
        assert bytes_per_round < MAX_HEARTBEAT_BYTES

    def test_suspended_node_suspects_no_other(self, group):
        """A resumed node does not suspect others because of its own suspension."""
        group.stopped.add("n001")
        group.run(10)
        group.stopped.clear()
        group.run(1)
        others = set(group.nodes) - {"n001"}
        assert suspects_of(group, "n001") == set()
        assert group.suspicions(others) == 0
        group.run(3)
        assert group.suspicions({"n001"}) == 0

    def test_partitioned_regions_recover(self, group):
        """No node stays suspected after a partition between regions ends."""
        group.cut = lambda a, b: (region(a) == "r0") != (region(b) == "r0")
        group.run(60)
        names = {n for n, node in group.nodes.items() if region(node.vm) == "r0"}
        assert group.suspicions(names) > 0
        group.cut = lambda a, b: False
        group.run(40)
        assert group.suspicions(set(group.nodes)) == 0

    def test_one_way_partition_affects_only_its_ends(self, group):
        """A node whose messages to one other are lost is not suspected by the rest."""
        first, second = "n000", "n001"
        group.cut = lambda a, b: (a.name, b.name) == (first, second)
        group.run(30)
        rest = set(group.nodes) - {second}
        assert all(first not in suspects_of(group, name) for name in rest)
        group.cut = lambda a, b: False
        group.run(10)
        assert group.suspicions(set(group.nodes)) == 0
