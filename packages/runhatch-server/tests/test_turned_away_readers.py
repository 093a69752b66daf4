"""Removed targets at a node whose readers the store turns away, and after an outage.

A node must send nothing to a target two seconds after its entry was removed.  Only in
an outage of the store may the entry of a running target be missing for a while.
"""

from datetime import timedelta

import pytest
from gateway_cases import make_target, seconds
from shared_cases import make_shared_table

from runhatch_coordination import Entry, Role, TableChanges
from runhatch_server.fleet import TargetDirectory
from runhatch_server.gateway._watched_tables import DecodingListener, WatchedTable

READER = "r1"
RENEWAL_INTERVAL = seconds(0.9)
"""Interval at which the orderer publishes that the store answers it."""
NOTICE_DELAY = seconds(0.3)
"""Time until readers report that their calls are rejected."""


class Node:
    """A node that knows the targets "t1" and "t2" from its reader."""

    def __init__(self, clock, role):
        self.clock = clock
        self.directory = TargetDirectory(clock)
        watched = WatchedTable("servers", None, lambda key, body: make_target(key))
        listener = DecodingListener(watched, self.directory)
        self.table, self.store, self.feed, self.peers = make_shared_table(
            listener, clock, role
        )
        for name in ("t1", "t2"):
            self.store.write(name, b"")
        rows = tuple(Entry(key, b"") for key in self.store.rows)
        self.receive(TableChanges(0, self.store.version, rows, is_whole=True))
        self.pass_time(seconds(9))

    def receive(self, changes=None, is_reachable=True):
        """Receive a message of the reader."""
        self.table.apply_changes(READER, changes, is_reachable)

    def pass_time(self, duration, is_store_up=True, is_reachable=True):
        """Let time pass in which the reader sends heartbeats."""
        ends_at = self.clock.elapsed() + duration
        while self.clock.elapsed() < ends_at:
            if is_store_up:
                self.table.record_answer_to_other_node()
            left = ends_at - self.clock.elapsed()
            self.clock.advance(min(RENEWAL_INTERVAL, left))
            self.receive(is_reachable=is_reachable)

    def remove_target(self):
        """Remove the entry of "t1"; return the changes."""
        before = self.store.version
        self.store.write("t1", None)
        return TableChanges(before, self.store.version, (Entry("t1", None),))

    def has_target(self):
        self.directory.remove_expired()
        return self.directory.get("t1") is not None


def read_itself(node, changes):
    node.feed.is_cut_off = False
    node.table.step()
    node.receive()


def receive_from_reader(node, changes):
    node.receive(changes)


def receive_from_other_domain(node, changes):
    """The node's own readers still report that they don't reach the store."""
    node.table.apply_answer(changes)
    node.receive()


WAYS = [
    (Role.RESERVE, read_itself),
    (Role.RESERVE, receive_from_reader),
    (Role.FOLLOWER, receive_from_reader),
    (Role.FOLLOWER, receive_from_other_domain),
]


@pytest.mark.parametrize(("role", "learn"), WAYS)
@pytest.mark.parametrize("turned_away", [0.3, 1.5, 9.0])
def test_removed_target_is_gone_though_readers_were_turned_away(
    clock, role, learn, turned_away
):
    """Turned away readers were taken for an outage, after which targets stay 1.8 s."""
    node = Node(clock, role)
    changes = node.remove_target()
    node.clock.advance(NOTICE_DELAY)
    node.receive(is_reachable=False)
    node.pass_time(seconds(turned_away), is_reachable=False)

    learn(node, changes)

    assert not node.has_target()
    assert node.directory.get("t2") is not None


@pytest.mark.parametrize(("role", "learn"), WAYS)
@pytest.mark.parametrize("is_notified_first", [False, True])
@pytest.mark.parametrize(
    ("since_return", "is_known"),
    [(0.0, True), (1.7, True), (1.9, False)],
)
def test_missing_target_stays_for_a_while_after_an_outage(
    clock, role, learn, is_notified_first, since_return, is_known
):
    """Entries that expired in an outage are back within about two seconds."""
    node = Node(clock, role)
    node.clock.advance(NOTICE_DELAY)
    node.feed.is_cut_off = True
    node.receive(is_reachable=False)
    node.table.step()
    node.pass_time(seconds(2.5), is_store_up=False, is_reachable=False)
    changes = node.remove_target()
    if is_notified_first:
        # The orderer reaches the store before this node and its readers do.
        node.table.record_answer_to_other_node()

    learn(node, changes)
    node.clock.advance(seconds(since_return))

    assert node.has_target() is is_known


def test_target_that_leaves_just_before_readers_are_served_again_is_gone(clock):
    """The readers' return alone was taken for the end of an outage."""
    node = Node(clock, Role.FOLLOWER)
    node.receive(is_reachable=False)
    node.pass_time(seconds(3), is_reachable=False)
    changes = node.remove_target()
    node.clock.advance(timedelta(milliseconds=100))

    node.receive(changes)

    assert not node.has_target()


def test_silence_of_a_store_without_lost_contact_is_no_outage(clock):
    """While the orders' lease changes hands, no renewal is published for seconds."""
    node = Node(clock, Role.FOLLOWER)
    node.pass_time(seconds(4), is_store_up=False)

    node.receive(node.remove_target())

    assert not node.has_target()
