"""Fixtures: one small cluster shared by all tests that need processes."""

import pytest

from runhatch_standins._cluster import Sizes, call, start_cluster

RESIDENT_SECONDS = 40


@pytest.fixture(scope="session")
def shared_cluster():
    """Start three nodes and three engines with all models resident."""
    cluster = start_cluster(Sizes())
    try:
        cluster.apply(cluster.deployment(), "tests")
        for name in cluster.nodes:
            assert cluster.wait_resident(name, RESIDENT_SECONDS)
        yield cluster
    finally:
        cluster.close()


@pytest.fixture
def cluster(shared_cluster):
    """Return the shared cluster and clear its faults after each test."""
    yield shared_cluster
    for launched in (
        shared_cluster.platform,
        shared_cluster.booking,
        *shared_cluster.engines,
    ):
        call(launched.url, "POST", "/faults", {})
