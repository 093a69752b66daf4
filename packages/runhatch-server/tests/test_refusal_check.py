"""Confirmation by peers that a target refuses connections."""

import threading
import time

import pytest

from runhatch_coordination import Standing
from runhatch_server.crashes import RefusalCheck
from runhatch_server.crashes._refusals import ANSWER_TIMEOUT, MAX_ASKED_PEERS
from runhatch_server.peers import Member

REFUSED, ACCEPTED, UNREACHABLE = True, False, None


class Network:
    """Nodes that exchange messages; ``silent`` ones receive none."""

    def __init__(self):
        self.checks = {}
        self.probed = []
        self.silent = set()

    def add_node(self, name, result):
        """Add a node from which connections to all targets have ``result``."""

        def probe(target):
            self.probed.append((name, target))
            return result

        def send(address, fact):
            if address not in self.silent:
                sender = Member(name, "d1", name, 1, Standing.ALIVE)
                self.checks[address].handle_message(fact, sender)

        def peers():
            return [other for other in self.checks if other != name]

        self.checks[name] = RefusalCheck(probe, peers, send)


def make_network(*peer_results):
    network = Network()
    network.add_node("own", REFUSED)
    for number, result in enumerate(peer_results):
        network.add_node(f"n{number}", result)
    return network


class TestConfirmation:
    """Whether a refusal seen by one node counts as the end of the target."""

    @pytest.mark.parametrize(
        ("peer_results", "is_confirmed"),
        [
            ([], True),
            ([REFUSED], True),
            ([REFUSED] * 3, True),
            ([REFUSED, UNREACHABLE], True),
            ([ACCEPTED], False),
            ([REFUSED, REFUSED, ACCEPTED], False),
            ([UNREACHABLE, UNREACHABLE], False),
        ],
    )
    def test_no_peer_connects_and_one_is_refused(self, peer_results, is_confirmed):
        network = make_network(*peer_results)

        assert network.checks["own"].is_confirmed("t") is is_confirmed

    @pytest.mark.parametrize(
        ("peer_results", "is_confirmed"), [([REFUSED], True), ([], False)]
    )
    def test_silent_peers_are_not_waited_for(self, peer_results, is_confirmed):
        network = make_network(ACCEPTED, *peer_results)
        network.silent.add("n0")
        started_at = time.monotonic()

        assert network.checks["own"].is_confirmed("t") is is_confirmed
        assert time.monotonic() - started_at < 3 * ANSWER_TIMEOUT.total_seconds()

    def test_peer_that_connects_settles_it_at_once(self):
        network = make_network(ACCEPTED, REFUSED)
        network.silent.add("n1")
        started_at = time.monotonic()

        assert not network.checks["own"].is_confirmed("t")
        assert time.monotonic() - started_at < ANSWER_TIMEOUT.total_seconds() / 2

    def test_number_of_asked_peers_is_limited(self):
        network = make_network(*[REFUSED] * 20)

        assert network.checks["own"].is_confirmed("t")
        assert len(network.probed) == MAX_ASKED_PEERS

    def test_targets_are_checked_concurrently(self):
        network = make_network(REFUSED, REFUSED)
        confirmed = []

        def check(target):
            confirmed.append(network.checks["own"].is_confirmed(target))

        threads = [
            threading.Thread(target=check, args=(f"t{number}",)) for number in range(9)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

        assert confirmed == [True] * 9
        assert sorted({target for _, target in network.probed}) == [
            f"t{number}" for number in range(9)
        ]
