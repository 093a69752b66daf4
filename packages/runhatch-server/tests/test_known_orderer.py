"""The known lease holder, and late messages of previous holders."""

import pytest
from gateway_cases import seconds

from runhatch_server.gateway._known_orderer import ORDERER_TIMEOUT, KnownOrderer
from runhatch_server.observability import Metrics


@pytest.fixture
def known(clock):
    """Return a record of a holder with epoch 5."""
    known = KnownOrderer(clock, Metrics())
    known.record_holder("10.0.0.2:1", 5)
    return known


def orderer_behind_entries(lines):
    return [
        (line["address"], line["epoch"], line["newest"])
        for line in lines
        if line.get("message_type") == "orderer_behind"
    ]


@pytest.mark.parametrize(("epoch", "behind"), [(4, True), (5, False), (6, False)])
def test_node_with_lower_epoch_is_behind(known, epoch, behind):
    assert known.is_outdated(epoch, "10.0.0.3:1") is behind


def test_each_outdated_epoch_of_a_node_is_logged_once(known, lines):
    for epoch in (3, 3, 4, 4):
        known.is_outdated(epoch, "10.0.0.3:1")

    assert orderer_behind_entries(lines) == [("10.0.0.3:1", 3, 5), ("10.0.0.3:1", 4, 5)]


@pytest.mark.parametrize(
    ("elapsed", "expected_heard"), [(seconds(0), True), (ORDERER_TIMEOUT, False)]
)
def test_holder_counts_as_heard_until_renewals_stop(
    known, clock, elapsed, expected_heard
):
    assert known.record_renewal(5, 1)
    clock.advance(elapsed)
    assert known.renewed_recently is expected_heard
    assert not known.record_renewal(5, 1)
