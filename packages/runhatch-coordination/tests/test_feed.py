"""Watching a table through outages, lost history and late answers."""

import threading

import pytest

from runhatch_coordination import (
    Changes,
    Entry,
    HistoryLost,
    Listing,
    TableWatcher,
    Unavailable,
    WaitInterrupted,
    store_version,
)
from runhatch_coordination._feed import COALESCING_PAUSE
from runhatch_coordination.testing import ManualClock

UNAVAILABLE = Unavailable("down")
NEXT_ERA_VERSION = store_version(1, 2)


def listing(version, **values):
    return Listing(tuple(Entry(k, v) for k, v in values.items()), version)


def changes(version, **values):
    return Changes(tuple(Entry(k, v) for k, v in values.items()), version)


class ScriptedFeed:
    """Answers calls with the outcomes given by the test."""

    def __init__(self, reads, polls):
        self._reads = list(reads)
        self._polls = list(polls)
        self.requested_after = []
        self.interruptions = 0

    def read(self):
        return self._reads.pop(0)

    def read_changes(self, after, wait):
        self.requested_after.append(after)
        return self._polls.pop(0)

    def interrupt_wait(self):
        self.interruptions += 1


class RecordingListener:
    """Records the calls of a listener."""

    def __init__(self):
        self.calls = []

    def replace_entries(self, entries):
        self.calls.append(("listed", tuple(entry.key for entry in entries)))

    def apply_entries(self, entries):
        self.calls.append(("changed", tuple(entry.key for entry in entries)))

    def handle_restoration(self):
        self.calls.append(("restored",))

    def handle_outage(self, reason):
        self.calls.append(("unreachable", reason))

    def handle_recovery(self):
        self.calls.append(("reachable",))

    def handle_store_return(self):
        self.calls.append(("returned",))


def watch(reads, polls=(), steps=None, coalesce=COALESCING_PAUSE):
    feed = ScriptedFeed(reads, polls)
    listener = RecordingListener()
    clock = ManualClock()
    watcher = TableWatcher(
        feed, listener, clock, threading.Event(), pytest.fail, coalesce
    )
    for _ in range(len(reads) + len(polls) if steps is None else steps):
        watcher.step()
    return watcher, feed, listener, clock


class TestTableWatcher:
    """The listener is called in the order of the changes."""

    @pytest.mark.parametrize(
        ("reads", "polls", "expected"),
        [
            ([listing(5, a=1)], [], [("listed", ("a",))]),
            (
                [listing(5, a=1)],
                [changes(7, b=2), changes(7)],
                [("listed", ("a",)), ("changed", ("b",))],
            ),
            (
                [listing(5, a=1), listing(9, c=3)],
                [HistoryLost()],
                [("listed", ("a",)), ("listed", ("c",))],
            ),
            (
                [listing(5, a=1), listing(NEXT_ERA_VERSION, c=3)],
                [HistoryLost()],
                [("listed", ("a",)), ("listed", ("c",))],
            ),
            (
                # The store reused the number of the requested version.
                [listing(5, a=1), listing(NEXT_ERA_VERSION + 7, c=3)],
                [changes(NEXT_ERA_VERSION + 7, b=2)],
                [("listed", ("a",)), ("listed", ("c",))],
            ),
            (
                [UNAVAILABLE, UNAVAILABLE, listing(5, a=1)],
                [],
                [("unreachable", "down"), ("reachable",), ("listed", ("a",))],
            ),
            (
                [listing(5, a=1)],
                [WaitInterrupted(), changes(6, b=1)],
                [("listed", ("a",)), ("changed", ("b",))],
            ),
            (
                [listing(5, a=1)],
                [UNAVAILABLE, UNAVAILABLE, changes(6, b=1)],
                [
                    ("listed", ("a",)),
                    ("unreachable", "down"),
                    ("reachable",),
                    ("changed", ("b",)),
                ],
            ),
        ],
        ids=[
            "listing",
            "changes",
            "history lost",
            "restored, history lost",
            "restored, number reused",
            "unavailable at first",
            "wait interrupted",
            "unavailable later",
        ],
    )
    def test_calls_the_listener_in_order(self, reads, polls, expected):
        _, _, listener, _ = watch(reads, polls)

        assert listener.calls == expected

    def test_ignores_a_listing_older_than_the_last_version(self):
        _, _, listener, _ = watch(
            [listing(5, a=1), listing(4, old=1), listing(6, new=1)],
            [HistoryLost()],
        )

        assert listener.calls == [("listed", ("a",)), ("listed", ("new",))]

    def test_requests_changes_after_the_newest_version(self):
        _, feed, _, _ = watch([listing(5, a=1)], [changes(7, b=2), changes(8)])

        assert feed.requested_after == [5, 7]


class TestInterruption:
    """Waits whose answer may have been lost."""

    def test_interrupts_the_wait_of_the_feed(self):
        watcher, feed, _, _ = watch([listing(5, a=1)])

        watcher.interrupt_wait()

        assert feed.interruptions == 1
