"""Tests of membership: heartbeats, gossip, refutation and a lagging list."""

from collections import deque
from datetime import timedelta

import pytest

from runhatch_coordination import MemberFact, Membership, Standing, Vm, choose_peers
from runhatch_coordination.testing import ManualClock


def vm(name, incarnation=1):
    return Vm(name, "d1", f"{name}:1", incarnation)


def alive(name, incarnation=1):
    return MemberFact(vm(name, incarnation), Standing.ALIVE)


def suspect(name, incarnation=1):
    return MemberFact(vm(name, incarnation), Standing.SUSPECT)


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def members(clock):
    membership = Membership(vm("a"), clock)
    membership.apply_list([vm(name, 0) for name in "abc"], frozenset())
    return membership


class TestMembership:
    """Facts as believed by one node."""

    def test_peer_without_heartbeats_is_suspected_once(self, members, clock):
        """A peer whose heartbeats stop is reported as a new suspect once."""
        members.record_heartbeat(alive("b"))
        clock.advance(timedelta(seconds=4))
        assert members.suspect_silent_peers() == ["b"]
        assert members.suspect_silent_peers() == []
        assert members.standing("b") is Standing.SUSPECT

    def test_heartbeat_clears_suspicion(self, members, clock):
        """A suspected peer whose heartbeats resume is alive."""
        members.record_heartbeat(alive("b"))
        clock.advance(timedelta(seconds=4))
        members.suspect_silent_peers()
        members.record_heartbeat(alive("b"))
        assert members.standing("b") is Standing.ALIVE

    def test_suspects_are_counted_within_a_period(self, members, clock):
        """A suspect counts until a heartbeat arrives or the period passes."""
        members.merge_facts([suspect("b"), suspect("c")])
        assert members.count_suspected_within(timedelta(seconds=10)) == 2
        members.record_heartbeat(alive("b"))
        assert members.count_suspected_within(timedelta(seconds=10)) == 1
        clock.advance(timedelta(seconds=11))
        assert members.count_suspected_within(timedelta(seconds=10)) == 0

    def test_own_suspicion_is_refuted(self, members):
        """A suspected node refutes the suspicion with a higher incarnation."""
        members.merge_facts([MemberFact(vm("a"), Standing.SUSPECT)])
        assert members.own.incarnation == 2
        assert members.take_pending_facts() == [MemberFact(vm("a", 2), Standing.ALIVE)]

    def test_list_neither_clears_suspicions_nor_removes_live_vms(self, members, clock):
        """The list lags, so heartbeats take precedence over it."""
        members.record_heartbeat(alive("b"))
        members.record_heartbeat(alive("new"))
        clock.advance(timedelta(seconds=4))
        members.suspect_silent_peers()
        members.record_heartbeat(alive("new"))
        members.apply_list([vm(name, 0) for name in "abc"], frozenset())
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
        """The merged fact is the same for any order of arrival."""
        for incarnation, standing in (first, second):
            members.merge_facts([MemberFact(vm("b", incarnation), Standing(standing))])
        assert members.standing("b") is Standing(result)


class TestFalseSuspicions:
    """Live VMs must not be suspected, and suspicions of them must be refuted."""

    def test_paused_node_restarts_its_timers(self, members, clock):
        """A node that was itself paused would otherwise suspect all its peers."""
        members.record_heartbeat(alive("b"))
        members.suspect_silent_peers()
        clock.advance(timedelta(seconds=60))
        assert members.suspect_silent_peers() == []
        suspected = []
        for _ in range(4):
            clock.advance(timedelta(seconds=1))
            suspected += members.suspect_silent_peers()
        assert suspected == ["b"]

    @pytest.mark.parametrize(
        ("elapsed_seconds", "incarnation", "believed"),
        [
            (1, 1, Standing.ALIVE),
            (4, 1, Standing.SUSPECT),
            (1, 2, Standing.SUSPECT),
        ],
    )
    def test_own_heartbeats_take_precedence_over_gossip(
        self, members, clock, elapsed_seconds, incarnation, believed
    ):
        """A node that receives a VM's heartbeats ignores suspicions of it by others."""
        members.record_heartbeat(alive("b"))
        clock.advance(timedelta(seconds=elapsed_seconds))
        members.merge_facts([suspect("b", incarnation)])
        assert members.standing("b") is believed

    def test_message_without_a_link_starts_no_timer(self, members, clock):
        """A sender without a link is not expected to send further heartbeats."""
        members.record_heartbeat(alive("b"), linked=False)
        clock.advance(timedelta(seconds=4))
        assert members.suspect_silent_peers() == []

    def test_refutation_by_gossip_stops_the_timer(self, members, clock):
        """The same missing heartbeats must not cause a second suspicion."""
        members.record_heartbeat(alive("b"))
        clock.advance(timedelta(seconds=4))
        assert members.suspect_silent_peers() == ["b"]
        members.merge_facts([alive("b", 2)])
        assert members.suspect_silent_peers() == []
        assert members.standing("b") is Standing.ALIVE

    @pytest.mark.parametrize(
        ("standing", "incarnation", "is_returned"),
        [
            (Standing.SUSPECT, 1, True),
            (Standing.DRAINING, 1, False),
            (Standing.DRAINING, 7, True),
        ],
    )
    def test_contradiction_is_returned(
        self, members, standing, incarnation, is_returned
    ):
        """A VM can refute only the suspicions and old facts that are sent to it."""
        believed = MemberFact(vm("b", incarnation), standing)
        members.merge_facts([believed])
        assert members.record_heartbeat(alive("b")) == (
            believed if is_returned else None
        )

    def test_refutation_is_forwarded(self, members):
        """A refutation received from the VM itself is sent to other peers."""
        members.record_heartbeat(alive("b"))
        members.take_pending_facts()
        members.record_heartbeat(alive("b", 2))
        assert members.take_pending_facts() == [alive("b", 2)]

    @pytest.mark.parametrize(
        ("received", "is_denied"),
        [
            (suspect("a"), True),
            (suspect("a", 0), True),
            (alive("a"), False),
            (MemberFact(vm("a"), Standing.DRAINING), False),
            (MemberFact(vm("a", 7), Standing.DRAINING), True),
        ],
    )
    def test_wrong_fact_about_this_node_is_reported(self, members, received, is_denied):
        """A peer that believes this node suspect or draining must be corrected."""
        assert members.merge_facts([received]) is is_denied
        assert members.own.incarnation >= received.vm.incarnation


class TestChoosePeers:
    """The graph of links between nodes."""

    @pytest.mark.parametrize("count", [1, 3, 9, 20, 60, 390])
    def test_graph_is_connected(self, count):
        """Updates from one node reach all others over a bounded number of links."""
        vms = [Vm(f"n{i:03d}", f"d{i % 10}", "") for i in range(count)]
        links = {v.name: [p.name for p in choose_peers(v, vms)] for v in vms}
        assert max(len(peers) for peers in links.values()) <= 8
        reached = {"n000"}
        pending = deque(reached)
        while pending:
            for peer in links[pending.popleft()]:
                if peer not in reached:
                    reached.add(peer)
                    pending.append(peer)
        assert len(reached) == count

    def test_links_span_failure_domains(self):
        """The links of a node must not all end in one failure domain."""
        vms = [Vm(f"n{i:03d}", f"d{i % 10}", "") for i in range(390)]
        for own in vms[:30]:
            assert len({p.failure_domain for p in choose_peers(own, vms)}) >= 5
