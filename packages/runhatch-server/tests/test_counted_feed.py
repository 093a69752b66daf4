"""Counts of the reads of a table."""

import pytest
from gateway_cases import seconds

from runhatch_coordination import (
    Changes,
    Entry,
    HistoryLost,
    Listing,
    StoreVersion,
    Unavailable,
    WaitInterrupted,
)
from runhatch_server.gateway._counted_feed import CountedFeed
from runhatch_server.observability import Metrics

VERSION = StoreVersion(7)
ROWS = (Entry("a", b"12345"), Entry("b", None))


class FixedFeed:
    """Ends each read with the same outcome."""

    def __init__(self, outcome):
        self.outcome = outcome
        self.interruptions = 0

    def read(self):
        return self.outcome

    def read_changes(self, after, wait):
        return self.outcome

    def interrupt_wait(self):
        self.interruptions += 1


@pytest.mark.parametrize(
    ("outcome", "label", "size"),
    [
        (Listing(ROWS, VERSION), "listing", 5),
        (Changes(ROWS, VERSION), "changes", 5),
        (Changes((), VERSION), "unchanged", 0),
        (HistoryLost(), "history_lost", 0),
        (WaitInterrupted(), "interrupted", 0),
        (Unavailable("refused"), "unavailable", 0),
    ],
    ids=["listing", "changes", "unchanged", "history_lost", "interrupted", "failed"],
)
def test_read_is_counted_by_its_outcome(outcome, label, size):
    metrics = Metrics()
    feed = CountedFeed("servers", FixedFeed(outcome), metrics)

    assert feed.read_changes(VERSION, seconds(1)) is outcome
    assert metrics.counter_value(metrics.store_reads, "servers", label) == 1
    assert metrics.counter_value(metrics.store_read_bytes, "servers") == size


def test_listing_is_counted_and_waits_are_interrupted():
    metrics, inner = Metrics(), FixedFeed(Listing(ROWS, VERSION))
    feed = CountedFeed("servers", inner, metrics)
    feed.interrupt_wait()

    assert feed.read() is inner.outcome
    assert inner.interruptions == 1
    assert metrics.counter_value(metrics.store_reads, "servers", "listing") == 1
