"""Membership: silence, gossip, refutation and a lagging list."""

from collections import deque
from datetime import timedelta

import pytest

from runhatch_coordination import MemberFact, Membership, Standing, Vm, choose_peers
from runhatch_coordination.testing import ManualClock


def vm(name, incarnation=1):
    return Vm(name, "d1", f"{name}:1", incarnation)


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def members(clock):
    membership = Membership(vm("a"), clock)
    membership.listed([vm(name, 0) for name in "abc"], frozenset())
    return membership


class TestMembership:
    """What one node believes."""

    def test_silent_peer_is_suspected_once(self, members, clock):
        """A peer whose heartbeats stop is suspected, and told of once."""
        members.heartbeat(vm("b"))
        clock.advance(timedelta(seconds=4))
        assert members.suspect_silent() == ["b"]
        assert members.suspect_silent() == []
        assert members.standing("b") is Standing.SUSPECT

    def test_heartbeat_clears_suspicion(self, members, clock):
        """A suspected peer that is heard again is alive."""
        members.heartbeat(vm("b"))
        clock.advance(timedelta(seconds=4))
        members.suspect_silent()
        members.heartbeat(vm("b"))
        assert members.standing("b") is Standing.ALIVE

    def test_own_suspicion_is_refuted(self, members):
        """A node that hears that it is suspected answers with a higher number."""
        members.learn([MemberFact(vm("a"), Standing.SUSPECT)])
        assert members.own.incarnation == 2
        assert members.take_news() == [MemberFact(vm("a", 2), Standing.ALIVE)]

    def test_lagging_list_neither_clears_nor_removes(self, members, clock):
        """The list does not clear a suspicion or drop a node that is heard."""
        members.heartbeat(vm("b"))
        members.heartbeat(vm("new"))
        clock.advance(timedelta(seconds=4))
        members.suspect_silent()
        members.heartbeat(vm("new"))
        members.listed([vm(name, 0) for name in "abc"], frozenset())
        assert members.standing("b") is Standing.SUSPECT
        assert members.standing("new") is Standing.ALIVE

    @pytest.mark.parametrize(
        ("first", "second", "result"),
        [
            ((1, "alive"), (1, "suspect"), "suspect"),
            ((1, "suspect"), (1, "alive"), "suspect"),
            ((1, "suspect"), (2, "alive"), "alive"),
            ((2, "alive"), (1, "suspect"), "alive"),
            ((1, "leaving"), (1, "alive"), "leaving"),
        ],
    )
    def test_higher_incarnation_wins(self, members, first, second, result):
        """Facts merge the same way in whatever order they come."""
        for incarnation, standing in (first, second):
            members.learn([MemberFact(vm("b", incarnation), Standing(standing))])
        assert members.standing("b") is Standing(result)


class TestChoosePeers:
    """The graph of links."""

    @pytest.mark.parametrize("count", [1, 3, 9, 20, 60, 390])
    def test_everybody_is_reached(self, count):
        """From any node news reaches all, with a bounded number of links each."""
        vms = [Vm(f"n{i:03d}", f"d{i % 10}", "") for i in range(count)]
        links = {v.name: [p.name for p in choose_peers(v, vms)] for v in vms}
        assert max(len(peers) for peers in links.values()) <= 8
        reached = {"n000"}
        waiting = deque(reached)
        while waiting:
            for peer in links[waiting.popleft()]:
                if peer not in reached:
                    reached.add(peer)
                    waiting.append(peer)
        assert len(reached) == count

    def test_links_span_failure_domains(self):
        """A node's links do not all end in one failure domain."""
        vms = [Vm(f"n{i:03d}", f"d{i % 10}", "") for i in range(390)]
        for own in vms[:30]:
            assert len({p.failure_domain for p in choose_peers(own, vms)}) >= 5
