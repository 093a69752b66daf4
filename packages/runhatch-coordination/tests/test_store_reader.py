"""Calls of one node to the store for one table."""

import threading
from datetime import timedelta

import pytest

from runhatch_coordination import (
    ORIGIN,
    Changes,
    Entry,
    Listing,
    StoreVersion,
    Unavailable,
    WaitInterrupted,
)
from runhatch_coordination._store_contact import CHECK_WAIT, Reachability
from runhatch_coordination._store_reader import StoreReader
from runhatch_coordination.testing import ManualClock

VERSION = StoreVersion(7)
ROW = Entry("a", b"1")
LISTING = Listing((ROW,), VERSION)
UNCHANGED = Changes((), VERSION)
LONG_WAIT = timedelta(seconds=20)


class ScriptedFeed:
    """Ends each call with the next of ``outcomes``."""

    def __init__(self, outcomes):
        self.outcomes = list(outcomes)
        self.waits = []
        self.interruptions = 0
        self.during_call = lambda: None

    def read(self):
        self.during_call()
        return self.outcomes.pop(0)

    def read_changes(self, after, wait):
        self.waits.append(wait)
        self.during_call()
        return self.outcomes.pop(0)

    def interrupt_wait(self):
        self.interruptions += 1


class Listener:
    """Records what is read and learned."""

    def __init__(self):
        self.changes = []
        self.contacts = []
        self.answers = 0
        self.failures = []

    def apply_read_changes(self, changes):
        self.changes.append(changes)

    def handle_contact(self, reachability, answered_at):
        self.contacts.append(reachability)

    def handle_answer(self):
        self.answers += 1

    def handle_failure(self, reason):
        self.failures.append(reason)


class Node:
    """A reader whose calls end with ``outcomes``."""

    def __init__(self, *outcomes):
        self.feed = ScriptedFeed(outcomes)
        self.listener = Listener()
        self.reader = StoreReader(
            self.feed,
            self.listener,
            ManualClock(),
            threading.Event(),
            pytest.fail,
            timedelta(seconds=0.01),
        )
        for _ in outcomes:
            self.reader.read(LONG_WAIT)
            self.reader.record_outcome()


@pytest.mark.parametrize(
    ("outcomes", "contacts"),
    [
        ([LISTING], [Reachability.REACHED]),
        ([Unavailable("refused")], [Reachability.UNREACHED]),
        ([LISTING, UNCHANGED], [Reachability.REACHED]),
        ([LISTING, WaitInterrupted()], [Reachability.REACHED]),
        (
            [LISTING, Unavailable("refused"), UNCHANGED],
            [Reachability.REACHED, Reachability.UNREACHED, Reachability.REACHED],
        ),
    ],
    ids=["answered", "failed", "answered twice", "interrupted", "answered again"],
)
def test_contact_is_reported_when_it_changes(outcomes, contacts):
    node = Node(*outcomes)

    assert node.listener.contacts == contacts
    assert node.reader.reaches_store is (contacts[-1] is Reachability.REACHED)


def test_rows_are_passed_on_with_the_version_that_they_follow():
    later = StoreVersion(9)
    node = Node(LISTING, Changes((ROW,), later))
    whole, changed = node.listener.changes

    assert (whole.after, whole.version, whole.is_whole) == (
        ORIGIN,
        VERSION,
        True,
    )
    assert (changed.after, changed.version) == (VERSION, later)
    assert node.reader.version == later


def test_first_failure_is_reported():
    node = Node(Unavailable("refused"), Unavailable("reset"))

    assert node.listener.failures == ["refused"]


@pytest.mark.parametrize(
    ("outcomes", "is_check"),
    [([LISTING, UNCHANGED], False), ([LISTING, WaitInterrupted(), UNCHANGED], True)],
    ids=["wait", "check"],
)
def test_only_a_check_of_the_contact_is_not_interrupted(outcomes, is_check):
    node = Node(*outcomes[:-1])
    node.feed.outcomes = outcomes[-1:]
    node.feed.during_call = node.reader.interrupt_wait
    node.reader.read(LONG_WAIT)

    assert (node.feed.waits[-1] == CHECK_WAIT) is is_check
    assert node.feed.interruptions == (0 if is_check else 1)


def test_reading_that_ended_leaves_the_contact_unknown():
    node = Node(LISTING)
    node.reader.record_end_of_reading()

    assert node.listener.contacts == [Reachability.REACHED, Reachability.UNKNOWN]
    assert not node.reader.reaches_store


def test_call_is_repeated_once_the_store_answers_others_again():
    node = Node(Unavailable("refused"))
    node.reader.record_answer_to_other_node()

    assert node.reader.retry_event.is_set()
