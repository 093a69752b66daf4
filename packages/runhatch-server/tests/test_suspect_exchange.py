"""Exchange of ended targets between nodes."""

import pytest
from gateway_cases import FakeTargets, seconds

from runhatch_coordination import Standing
from runhatch_server.crashes import CrashDetector, SuspectExchange
from runhatch_server.crashes._exchange import ANNOUNCED_RETENTION
from runhatch_server.decisions import ObservedEnd
from runhatch_server.observability import Metrics
from runhatch_server.peers import Member

DIGEST_ROUNDS = 16
"""Rounds in which one of a node's two neighbours sends it a digest at least once: both
choose the other neighbour in all of them in one of 2**32 cases."""


class Node:
    """The exchange of one node that is connected to its neighbours only."""

    def __init__(self, clock, name):
        self.clock = clock
        self.member = Member(name, "d1", name, 1, Standing.ALIVE)
        self.neighbours = []
        self.is_disconnected = False
        self.watch = CrashDetector(clock, FakeTargets(), Metrics(), lambda: None)
        self.exchange = SuspectExchange(
            self.watch,
            clock,
            lambda: [node.member.name for node in self.neighbours],
            self.send,
            self.broadcast,
        )

    def send(self, address, fact):
        for node in self.neighbours:
            if node.member.name == address and not (
                node.is_disconnected or self.is_disconnected
            ):
                node.receive(fact, self)

    def broadcast(self, fact):
        for node in self.neighbours:
            self.send(node.member.name, fact)

    def receive(self, fact, sender):
        self.exchange.handle_message(fact, sender.member)

    def record_end(self, target):
        self.watch.receive_ends([ObservedEnd("x", target, self.clock.elapsed())])

    def record_trait_end(self, target):
        self.watch.receive_ends([ObservedEnd("part:x", target, self.clock.elapsed())])

    @property
    def known(self):
        return {end.target for end in self.watch.known_ends()}


@pytest.fixture
def ring(clock):
    """Seven nodes, each connected to two neighbours."""
    nodes = [Node(clock, f"n{i}") for i in range(7)]
    for i, node in enumerate(nodes):
        node.neighbours = [nodes[i - 1], nodes[(i + 1) % len(nodes)]]
    return nodes


def run_rounds(nodes, count):
    for _ in range(count):
        for node in nodes:
            node.exchange.send_updates()


class TestPropagation:
    """Updates reach nodes without a direct connection and nodes that missed them."""

    def test_end_reaches_all_nodes_of_a_ring(self, ring):
        ring[0].record_end("t")
        run_rounds(ring, 4)

        assert all(node.known == {"t"} for node in ring)

    def test_cleared_request_reaches_all_nodes(self, ring):
        ring[0].record_end("t")
        run_rounds(ring, 4)
        ring[3].watch.receive_cleared(["x"])
        run_rounds(ring, 4)

        assert not any(node.known for node in ring)

    def test_disconnected_node_catches_up_by_digest(self, ring):
        ring[2].is_disconnected = True
        ring[0].record_end("t")
        run_rounds(ring, 4)
        assert not ring[2].known
        ring[2].is_disconnected = False
        for node in ring:
            node.exchange.send_digest()

        assert ring[2].known == {"t"}

    def test_messages_carry_ages_instead_of_times(self, ring, clock):
        """Elapsed times of different nodes have different origins."""
        ring[0].record_end("t")
        clock.advance(seconds(5))
        run_rounds(ring[:1], 1)

        assert [end.at for end in ring[1].watch.known_ends()] == [
            clock.elapsed() - seconds(5)
        ]

    def test_updates_stop_once_all_nodes_have_them(self, ring):
        ring[0].record_end("t")
        run_rounds(ring, 8)

        assert all(node.watch.take_updates() == ([], []) for node in ring)

    def test_beginning_of_an_answer_clears_a_trait_on_all_nodes(self, ring, clock):
        ring[0].record_trait_end("t")
        run_rounds(ring, 4)
        assert all(node.known == {"t"} for node in ring)
        clock.advance(seconds(1))
        ring[3].watch.traits.record_begun(("part:x",))
        run_rounds(ring, 4)

        assert not any(node.known for node in ring)

    def test_node_that_missed_the_beginning_catches_up(self, ring, clock):
        """Its older end is not recorded again by the others, which reply to it."""
        ring[2].record_trait_end("t")
        run_rounds(ring, 4)
        ring[2].is_disconnected = True
        clock.advance(seconds(1))
        ring[5].watch.traits.record_begun(("part:x",))
        run_rounds(ring, 4)
        assert ring[2].known == {"t"}
        ring[2].is_disconnected = False
        for _ in range(DIGEST_ROUNDS):
            for node in ring:
                node.exchange.send_digest()
            run_rounds(ring, 4)

        assert not any(node.known for node in ring)

    @pytest.mark.parametrize("is_new", [True, False], ids=["new hold", "digest"])
    def test_node_asks_whether_a_trait_that_it_holds_has_begun(
        self, ring, clock, is_new
    ):
        """A node that missed the beginning would refuse harmless requests."""
        informed, behind = ring[0], ring[1]
        informed.watch.traits.record_ends(
            [ObservedEnd("part:x", "t0", clock.elapsed())], "peer"
        )
        for name in ("t1", "t2"):
            behind.record_trait_end(name)
            clock.advance(seconds(1))
        informed.watch.traits.receive_begun({"part:x": clock.elapsed()})
        assert behind.watch.traits.check(("part:x",), "key")

        if is_new:
            behind.exchange.send_updates()
        else:
            behind.watch.traits.take_new_holds()
            behind.neighbours = [informed]
            behind.exchange.send_digest()

        assert behind.watch.traits.check(("part:x",), "key") is None

    def test_old_end_is_not_announced_again(self, ring, clock):
        """Nodes ask about held traits each second, with ends of long ago."""
        node = ring[0]
        ends = [ObservedEnd("part:x", "old", clock.elapsed())]
        clock.advance(ANNOUNCED_RETENTION)
        node.record_end("new")
        node.exchange.send_updates()
        message = ring[1].exchange._make_message(ends, wants_begun=True)
        announced = []
        node.exchange._publish = announced.append
        node.exchange.handle_message(message, ring[1].member)
        node.exchange.send_updates()

        assert [fact for fact in announced if not fact.suspects] == []
        assert "old" in node.known

    def test_end_after_the_beginning_is_kept(self, ring, clock):
        """Messages carry ages, so that a late one does not clear a newer end."""
        ring[0].record_trait_end("t0")
        run_rounds(ring, 4)
        clock.advance(seconds(1))
        ring[3].watch.traits.record_begun(("part:x",))
        clock.advance(seconds(1))
        ring[0].record_trait_end("t1")
        run_rounds(ring, 6)

        assert all(node.known == {"t1"} for node in ring)
