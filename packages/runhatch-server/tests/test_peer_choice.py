"""Choice of the peers that requests are forwarded to."""

import pytest
from gateway_cases import seconds

from runhatch_coordination import Vm
from runhatch_server.decisions import PeerChoice
from runhatch_server.decisions._peer_choice import EXHAUSTED_PAUSE, PEER_AVOIDANCE

WORK = ("engine", "m0", "")
OTHER_WORK = ("engine", "m1", "")
NOW = seconds(10)


def make_peers(*names):
    """Return peers whose names begin with their failure domains."""
    return [
        Vm(name, name.partition("-")[0], f"{name}:1", forward_port=7) for name in names
    ]


PEERS = make_peers("d1-a", "d1-b", "d1-c", "d2-a", "d2-b", "d3-a")


@pytest.fixture
def choice():
    return PeerChoice("d1", seed=1)


def chosen(choice, work=WORK, tried=(), now=NOW, peers=PEERS):
    """Return the names of the peers that repeated choices return."""
    found = {choice.choose(peers, work, tried, now) for _ in range(100)}
    return {peer and peer.name for peer in found}


class TestChoice:
    """Peers that no request has been forwarded to."""

    def test_first_try_stays_in_the_failure_domain_and_is_spread(self, choice):
        assert chosen(choice) == {"d1-a", "d1-b", "d1-c"}

    def test_second_try_leaves_the_failure_domain(self, choice):
        assert chosen(choice, tried=["d1-a"]) == {"d2-a", "d2-b", "d3-a"}

    def test_peer_is_tried_once(self, choice):
        assert chosen(choice, tried=["d1-a"], peers=PEERS[:2]) == {"d1-b"}
        assert chosen(choice, tried=["d1-a", "d1-b"], peers=PEERS[:2]) == {None}

    def test_peer_without_forward_port_is_not_chosen(self, choice):
        assert chosen(choice, peers=[Vm("d1-old", "d1", "h:1")]) == {None}


class TestOutcomes:
    """Peers avoided after the outcomes of earlier requests."""

    def test_peer_that_lacks_the_targets_too_is_avoided_for_all_work(self, choice):
        choice.record_cut_off("d1-a", WORK, NOW)

        assert chosen(choice) == {"d1-b", "d1-c"}
        assert chosen(choice, OTHER_WORK) == {"d1-b", "d1-c"}

    def test_other_failure_domains_are_chosen_if_the_own_is_cut_off(self, choice):
        for peer in ("d1-a", "d1-b", "d1-c"):
            choice.record_cut_off(peer, WORK, NOW)

        assert chosen(choice, OTHER_WORK) == {"d2-a", "d2-b", "d3-a"}

    def test_peers_cut_off_for_other_work_are_chosen_last(self, choice):
        peers = PEERS[:2]
        for peer in ("d1-a", "d1-b"):
            choice.record_cut_off(peer, WORK, NOW)

        assert chosen(choice, peers=peers) == {None}
        assert chosen(choice, OTHER_WORK, peers=peers) == {"d1-a", "d1-b"}

    def test_lost_peer_is_avoided(self, choice):
        choice.record_lost("d1-a", NOW)

        assert chosen(choice, OTHER_WORK) == {"d1-b", "d1-c"}

    @pytest.mark.parametrize("outcome", ["lost", "cut off"])
    def test_avoidance_ends(self, choice, outcome):
        if outcome == "lost":
            choice.record_lost("d1-a", NOW)
        else:
            choice.record_cut_off("d1-a", WORK, NOW)

        assert "d1-a" in chosen(choice, now=NOW + PEER_AVOIDANCE)

    def test_avoidance_ends_with_a_served_request(self, choice):
        choice.record_cut_off("d1-a", WORK, NOW)
        choice.record_served("d1-a", WORK)

        assert "d1-a" in chosen(choice)

    def test_no_peer_is_chosen_while_none_reaches_the_targets(self, choice):
        choice.record_exhausted(WORK, NOW)

        assert chosen(choice) == {None}
        assert chosen(choice, OTHER_WORK) != {None}
        assert chosen(choice, now=NOW + EXHAUSTED_PAUSE) != {None}

    def test_expired_outcomes_are_removed(self, choice):
        choice.record_lost("d1-a", NOW)
        choice.record_cut_off("d1-b", WORK, NOW)
        choice.record_exhausted(WORK, NOW)
        choice.remove_expired(NOW + PEER_AVOIDANCE)

        assert not choice._lost_until
        assert not choice._cut_off_until
        assert not choice._unserved_until
        assert not choice._exhausted_until
