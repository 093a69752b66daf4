"""Which node orders the targets, and what earlier holders still tell."""

import pytest
from gateway_cases import seconds

from runhatch_server.gateway._known_orderer import ORDERER_SILENT, KnownOrderer
from runhatch_server.observability import Metrics


@pytest.fixture
def known(clock):
    """A node has heard of a holder of epoch 5."""
    known = KnownOrderer(clock, Metrics())
    known.learn("10.0.0.2:1", 5)
    return known


def told(lines):
    return [
        (line["address"], line["epoch"], line["newest"])
        for line in lines
        if line.get("message_type") == "orderer_behind"
    ]


@pytest.mark.parametrize(("epoch", "behind"), [(4, True), (5, False), (6, False)])
def test_who_orders_by_a_lower_epoch_is_behind(known, epoch, behind):
    assert known.is_behind(epoch, "10.0.0.3:1") is behind


def test_each_epoch_of_a_node_that_is_behind_is_logged_once(known, lines):
    for epoch in (3, 3, 4, 4):
        known.is_behind(epoch, "10.0.0.3:1")

    assert told(lines) == [("10.0.0.3:1", 3, 5), ("10.0.0.3:1", 4, 5)]


@pytest.mark.parametrize(
    ("later", "heard"), [(seconds(0), True), (ORDERER_SILENT, False)]
)
def test_a_holder_is_heard_until_it_renews_no_more(known, clock, later, heard):
    assert known.renewed(5, 1)
    clock.advance(later)
    assert known.is_heard is heard
    assert not known.renewed(5, 1)
