"""Test configuration changes while a node cannot reach the store."""

import time

import pytest

from runhatch_standins._cluster import Sizes, call, start_cluster
from runhatch_standins._tcp_relay import LinkFault

REFRESH_SECONDS = 600
"""Seconds between reads of the store; changes must arrive from peers first."""
IN_FORCE_TIMEOUT = 30.0


@pytest.fixture(scope="module")
def cluster():
    settings = {"placement": {"refresh_seconds": REFRESH_SECONDS, "lease_seconds": 3}}
    cluster = start_cluster(Sizes(engines=1, models=1, adapters=0), settings, True)
    try:
        cluster.apply(cluster.deployment(), "first")
        yield cluster
    finally:
        cluster.close()


def apply_change(cluster, node):
    """Change one setting through ``node`` and return the new revision."""
    url = cluster.operator_url(node)
    current = call(url, "GET", "/v1/configuration")
    document = current["document"]
    document["policy"]["move_price"] = current["revision"] + 1
    changed = {"document": document, "base": current["revision"]}
    return call(url, "PUT", "/v1/configuration", changed)["revision"]


def wait_in_force(cluster, node, revision):
    deadline = time.monotonic() + IN_FORCE_TIMEOUT
    while time.monotonic() < deadline:
        records = cluster.query(node, {"noun": "configuration"})
        if records[0]["revision"] >= revision:
            return True
        time.sleep(0.1)
    return False


class TestWithoutTheStore:
    """A node that cannot read the store receives changes from its peers."""

    @pytest.mark.parametrize("fault", [LinkFault.REFUSE, LinkFault.FREEZE])
    def test_change_comes_by_peers(self, cluster, fault):
        """A change takes effect on a node that is disconnected from the store."""
        cluster.relays["n3"].inject(fault)
        try:
            revision = apply_change(cluster, "n1")
            assert wait_in_force(cluster, "n2", revision)
            assert wait_in_force(cluster, "n3", revision)
        finally:
            cluster.relays["n3"].inject(LinkFault.NONE)

    def test_changes_in_a_row(self, cluster):
        """Every node reaches the last of ten changes made in quick succession."""
        for _ in range(10):
            revision = apply_change(cluster, "n1")
        for node in cluster.nodes:
            assert wait_in_force(cluster, node, revision)
