"""Changes of configuration while a node cannot reach the store."""

import time

import pytest

from runhatch_standins._cluster import Sizes, call, start_cluster
from runhatch_standins._tcp_relay import LinkFault

SELDOM = 600
"""Seconds between a node's own looks at the store; news must come by peers."""
PATIENCE = 30.0


@pytest.fixture(scope="module")
def cluster():
    settings = {"placement": {"refresh_seconds": SELDOM, "lease_seconds": 3}}
    cluster = start_cluster(Sizes(engines=1, models=1, adapters=0), settings, True)
    try:
        cluster.apply(cluster.deployment(), "first")
        yield cluster
    finally:
        cluster.close()


def change(cluster, node):
    """Apply a small change through ``node``; the new revision's number."""
    url = cluster.operator_url(node)
    current = call(url, "GET", "/v1/configuration")
    document = current["document"]
    document["policy"]["move_price"] = current["revision"] + 1
    changed = {"document": document, "base": current["revision"]}
    return call(url, "PUT", "/v1/configuration", changed)["revision"]


def wait_in_force(cluster, node, number):
    give_up = time.monotonic() + PATIENCE
    while time.monotonic() < give_up:
        records = cluster.query(node, {"noun": "configuration"})
        if records[0]["revision"] >= number:
            return True
        time.sleep(0.1)
    return False


class TestWithoutTheStore:
    """A node that cannot read the store is given changes by its peers."""

    @pytest.mark.parametrize("fault", [LinkFault.REFUSE, LinkFault.FREEZE])
    def test_change_comes_by_peers(self, cluster, fault):
        """A node cut off from the store has a change in force all the same."""
        cluster.relays["n3"].inject(fault)
        try:
            number = change(cluster, "n1")
            assert wait_in_force(cluster, "n2", number)
            assert wait_in_force(cluster, "n3", number)
        finally:
            cluster.relays["n3"].inject(LinkFault.NONE)

    def test_changes_in_a_row(self, cluster):
        """Of many changes right after each other none is missed."""
        for _ in range(10):
            number = change(cluster, "n1")
        for node in cluster.nodes:
            assert wait_in_force(cluster, node, number)
