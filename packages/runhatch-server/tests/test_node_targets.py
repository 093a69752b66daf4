"""When a gateway learns of new targets."""

import pytest

from runhatch_coordination import MemberFact, Membership, Standing, Vm
from runhatch_server.fleet import TargetDirectory
from runhatch_server.gateway._node import GatewayNode


@pytest.mark.parametrize("is_reachable", [True, False])
def test_targets_are_learned_of_from_the_store_or_its_readers_only(clock, is_reachable):
    """Nodes that are cut off from the store together tell each other no targets."""
    node = object.__new__(GatewayNode)
    node._directory = TargetDirectory(clock)
    node._membership = Membership(Vm("n0", "d0", "n0"), clock)
    peer = MemberFact(Vm("n1", "d0", "n1"), Standing.ALIVE)
    node._membership.merge_facts([peer])
    if not is_reachable:
        node._directory.handle_outage("cut off")

    assert node._learns_of_targets() is is_reachable
