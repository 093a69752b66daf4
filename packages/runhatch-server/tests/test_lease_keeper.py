"""Nodes that acquire the lease of the orders and give it up."""

import pytest
from gateway_cases import seconds
from orderer_cases import HANDOVER, OrdererCase

from runhatch_coordination.testing import MemoryTable
from runhatch_server.gateway._known_orderer import KnownOrderer
from runhatch_server.gateway._lease_keeper import (
    CANDIDATES_INTERVAL,
    MAX_CANDIDATES,
    MIN_CANDIDATES,
    MIN_TERM,
    LeaseKeeper,
    LeasePolicy,
)
from runhatch_server.observability import Metrics

STEP = seconds(0.3)


class Node:
    """A node with its orderer; ``is_cut_off`` is set by tests."""

    def __init__(self, cluster, name):
        self.name = name
        self.is_cut_off = False
        self.cluster = cluster
        self.case = OrdererCase(cluster.clock, cluster.table, name)
        self.known = KnownOrderer(cluster.clock, Metrics())
        policy = LeasePolicy(cluster.clock, lambda: self.is_cut_off)
        self.keeper = LeaseKeeper(name, self.case.orderer, self, policy)

    @property
    def is_holder(self):
        return self.case.orderer.holds_lease() is not None

    def has_active_orderer(self):
        return self.known.renewed_recently

    def record_lease(self, record):
        pass

    def publish_renewal(self, epoch, renewal):
        for node in self.cluster.nodes:
            node.known.record_renewal(epoch, renewal)
            node.case.newest_epoch = max(epoch, node.case.newest_epoch)

    def publish_resignation(self, resignation):
        for node in self.cluster.nodes:
            node.known.epoch = max(node.known.epoch, resignation.epoch)
            node.known.record_release(resignation.epoch)
            if node is not self:
                node.case.orderer.record_resignation(resignation)


class Cluster:
    """Nodes that share a store; the first is the preferred holder of the lease."""

    def __init__(self, clock, size):
        self.clock = clock
        self.table = MemoryTable()
        self.nodes = []
        self.holders = []
        self.nodes = [Node(self, f"n{number}") for number in range(size)]

    def run(self, duration):
        """Update the lease on all nodes for ``duration``; record its holders."""
        ranked = [node.name for node in self.nodes]
        for _ in range(round(duration / STEP)):
            for node in self.nodes:
                node.keeper.update(ranked)
                holding = [each.name for each in self.nodes if each.is_holder]
                assert len(holding) <= 1
                if holding and self.holders[-1:] != holding:
                    self.holders += holding
            self.clock.advance(STEP)


@pytest.fixture
def cluster(clock):
    cluster = Cluster(clock, 9)
    cluster.run(MIN_TERM + seconds(1))
    assert cluster.holders == ["n0"]
    return cluster


class TestHandover:
    """The lease passes from a node that is cut off from the targets to another."""

    @pytest.mark.parametrize("cut_off", [1, 3, 6])
    def test_node_that_connects_to_targets_takes_over(self, cluster, cut_off):
        """The preferred holders may all be cut off."""
        for node in cluster.nodes[:cut_off]:
            node.is_cut_off = True
        cluster.run(seconds(3))

        assert cluster.holders == ["n0", f"n{cut_off}"]

    def test_lease_does_not_return_after_the_cut(self, cluster):
        cluster.nodes[0].is_cut_off = True
        cluster.run(seconds(3))
        cluster.nodes[0].is_cut_off = False
        cluster.run(seconds(30))

        assert cluster.holders == ["n0", "n1"]

    def test_targets_are_not_ordered_by_two_nodes_within_the_handover(self, cluster):
        first, second = cluster.nodes[0], cluster.nodes[1]
        first.case.request_model("m1")
        for _ in range(3):
            first.case.run_round()
        assert first.case.targets.orders
        first.is_cut_off = True
        cluster.run(HANDOVER - STEP)
        assert second.is_holder
        for node in (first, second):
            node.case.request_model("m2")
            for _ in range(3):
                node.case.run_round()

        assert len(first.case.targets.orders) == 1
        assert second.case.targets.orders == []

    def test_lease_does_not_alternate_if_all_nodes_are_cut_off(self, cluster):
        """The targets are down, or so many that all nodes fail alike."""
        for node in cluster.nodes:
            node.is_cut_off = True
        cluster.run(seconds(30))
        assert cluster.holders == ["n0"]

        for node in cluster.nodes:
            node.is_cut_off = False
        cluster.run(seconds(3))
        assert any(node.is_holder for node in cluster.nodes)

    def test_lease_changes_rarely_if_nodes_notice_it_only_as_holders(self, cluster):
        """A node without requests does not notice that its connects fail."""
        duration = seconds(30)
        for _ in range(round(duration / STEP)):
            for node in cluster.nodes:
                node.is_cut_off = node.is_holder
            cluster.run(STEP)

        assert len(cluster.holders) <= 2 + duration / MIN_TERM

    def test_single_node_keeps_the_lease(self, clock):
        cluster = Cluster(clock, 1)
        cluster.run(MIN_TERM + seconds(1))
        cluster.nodes[0].is_cut_off = True
        cluster.run(seconds(10))

        assert cluster.nodes[0].is_holder


def make_policy(clock, is_cut_off):
    return LeasePolicy(clock, lambda: is_cut_off)


class TestCutOffNode:
    """A node that cannot connect to targets."""

    @pytest.mark.parametrize("is_cut_off", [True, False])
    def test_acquires_only_if_it_connects(self, clock, is_cut_off):
        assert make_policy(clock, is_cut_off).may_acquire() is not is_cut_off

    @pytest.mark.parametrize(
        ("is_cut_off", "peers", "resigns"),
        [(True, 2, True), (True, 0, False), (False, 2, False)],
    )
    def test_resigns_if_a_peer_may_take_over(self, clock, is_cut_off, peers, resigns):
        assert make_policy(clock, is_cut_off).must_resign(peers) is resigns

    def test_keeps_a_lease_just_acquired(self, clock):
        """All nodes fail alike if the targets are down."""
        policy = make_policy(clock, is_cut_off=True)
        policy.record_acquired()
        clock.advance(MIN_TERM - seconds(0.1))
        assert not policy.must_resign(2)

        clock.advance(seconds(0.1))
        assert policy.must_resign(2)


class TestCandidates:
    """How many nodes try to acquire the lease."""

    def test_more_nodes_try_the_longer_there_is_no_orderer(self, clock):
        policy = make_policy(clock, is_cut_off=False)
        counts = []
        for _ in range(6):
            counts.append(policy.candidate_count(has_orderer=False))
            clock.advance(CANDIDATES_INTERVAL)

        assert counts[:2] == [MIN_CANDIDATES, 2 * MIN_CANDIDATES]
        assert counts == sorted(counts)
        assert counts[-1] == MAX_CANDIDATES

    def test_orderer_resets_the_number(self, clock):
        policy = make_policy(clock, is_cut_off=False)
        policy.candidate_count(has_orderer=False)
        clock.advance(CANDIDATES_INTERVAL)

        assert policy.candidate_count(has_orderer=True) == MIN_CANDIDATES
        assert policy.candidate_count(has_orderer=False) == MIN_CANDIDATES
