"""Ends of targets, told from node to node."""

import pytest
from gateway_cases import FakeTargets, seconds

from runhatch_coordination import Standing
from runhatch_server.crashes import CrashWatch, SuspectExchange
from runhatch_server.decisions import EndedUnder
from runhatch_server.observability import Metrics
from runhatch_server.peers import Member


class Node:
    """One node's part, and what it tells its only neighbours."""

    def __init__(self, clock, name):
        self.clock = clock
        self.member = Member(name, "d1", name, 1, Standing.ALIVE)
        self.neighbours = []
        self.cut_off = False
        self.watch = CrashWatch(clock, FakeTargets(), Metrics(), lambda: None)
        self.exchange = SuspectExchange(
            self.watch,
            clock,
            lambda: [node.member.name for node in self.neighbours],
            self.tell,
            self.tell_all,
        )

    def tell(self, address, fact):
        for node in self.neighbours:
            if node.member.name == address and not (node.cut_off or self.cut_off):
                node.hear(fact, self)

    def tell_all(self, fact):
        for node in self.neighbours:
            self.tell(node.member.name, fact)

    def hear(self, fact, sender):
        self.exchange.take_in(fact, sender.member)

    def sees_end(self, target):
        self.watch.told([EndedUnder("x", target, self.clock.elapsed())])

    @property
    def known(self):
        return {end.target for end in self.watch.known()}


@pytest.fixture
def ring(clock):
    """Nodes of which each tells only the two beside it."""
    nodes = [Node(clock, f"n{i}") for i in range(7)]
    for i, node in enumerate(nodes):
        node.neighbours = [nodes[i - 1], nodes[(i + 1) % len(nodes)]]
    return nodes


def rounds(nodes, count):
    for _ in range(count):
        for node in nodes:
            node.exchange.tell_news()


class TestTelling:
    """How news gets to nodes that are not linked, and to those that missed it."""

    def test_all_hear_of_an_end_though_few_are_linked(self, ring):
        ring[0].sees_end("t")
        rounds(ring, 4)

        assert all(node.known == {"t"} for node in ring)

    def test_all_hear_that_a_request_is_cleared(self, ring):
        ring[0].sees_end("t")
        rounds(ring, 4)
        ring[3].watch.told_cleared(["x"])
        rounds(ring, 4)

        assert not any(node.known for node in ring)

    def test_a_node_that_was_cut_off_asks_for_what_it_missed(self, ring):
        ring[2].cut_off = True
        ring[0].sees_end("t")
        rounds(ring, 4)
        assert not ring[2].known
        ring[2].cut_off = False
        for node in ring:
            node.exchange.ask()

        assert ring[2].known == {"t"}

    def test_ages_are_told_rather_than_times(self, ring, clock):
        """Clocks of two nodes count from moments of their own."""
        ring[0].sees_end("t")
        clock.advance(seconds(5))
        rounds(ring[:1], 1)

        assert [end.at for end in ring[1].watch.known()] == [
            clock.elapsed() - seconds(5)
        ]

    def test_nothing_goes_on_once_all_know(self, ring):
        ring[0].sees_end("t")
        rounds(ring, 8)

        assert all(node.watch.take_news() == ([], []) for node in ring)
