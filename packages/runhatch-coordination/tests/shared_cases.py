"""Fakes of the store, the listener and the peers of a shared table."""

import threading
from datetime import timedelta

import pytest

from runhatch_coordination import (
    ORIGIN,
    Changes,
    Entry,
    HistoryLost,
    Listing,
    Role,
    SharedTable,
    SharedTableBounds,
    TableChanges,
    Unavailable,
    number_of,
    store_version,
)
from runhatch_coordination.testing import ManualClock

SILENT = timedelta(seconds=0.8)
BOUNDS = SharedTableBounds(timedelta(seconds=0.3), SILENT)
NAME = "rows"


class Store:
    """One table that can be restored from a copy; counts the calls made to it."""

    def __init__(self):
        self.era = 0
        self.number = 1
        self.rows = {}
        self.change_numbers = {}
        self.rows_by_version = {1: {}}
        self.calls = 0
        self.copy()

    @property
    def version(self):
        return store_version(self.era, self.number)

    def copy(self):
        self._saved_copy = self.number, dict(self.rows), dict(self.change_numbers)

    def restore(self):
        self.number, rows, change_numbers = self._saved_copy
        self.rows, self.change_numbers = dict(rows), dict(change_numbers)
        self.era += 1
        self.rows_by_version[self.version] = dict(rows)

    def write(self, key, value):
        self.number += 1
        if value is None:
            self.rows.pop(key, None)
        else:
            self.rows[key] = value
        self.change_numbers[key] = self.number
        self.rows_by_version[self.version] = dict(self.rows)

    def changed_version(self, after):
        """Return the version of the newest change after ``after``, ORIGIN if none."""
        numbers = [n for n in self.change_numbers.values() if n > after]
        return store_version(self.era, max(numbers)) if numbers else ORIGIN

    def newest_row_version(self):
        """Return the version of the newest row, as a listing has no removed rows."""
        numbers = [self.change_numbers[key] for key in self.rows]
        return store_version(self.era, max(numbers)) if numbers else ORIGIN

    def entries(self, after):
        keys = [key for key, number in self.change_numbers.items() if number > after]
        return tuple(Entry(key, self.rows.get(key)) for key in sorted(keys))


class StoreFeed:
    """The feed of one node, whose link to the store can fail."""

    def __init__(self, store):
        self._store = store
        self.interruptions = 0
        self.is_cut_off = False
        self.is_hung = False
        """Whether calls end without a change, as on a link that is cut one way."""

    def read(self):
        self._store.calls += 1
        if self.is_cut_off:
            return Unavailable("cut off")
        rows = tuple(Entry(key, value) for key, value in self._store.rows.items())
        return Listing(rows, self._store.version, self._store.newest_row_version())

    def read_changes(self, after, wait):
        self._store.calls += 1
        if self.is_cut_off:
            return Unavailable("cut off")
        if self.is_hung:
            return Changes((), after)
        number = number_of(after)
        if number > self._store.number:
            return HistoryLost()
        return Changes(
            self._store.entries(number),
            self._store.version,
            self._store.changed_version(number),
        )

    def interrupt_wait(self):
        self.interruptions += 1


class TableListener:
    """A listener that stores the rows and records the other calls."""

    def __init__(self):
        self.rows = {}
        self.reachability = []
        self.restorations = 0
        self.store_returns = 0

    def replace_entries(self, entries):
        self.rows = {e.key: e.value for e in entries if e.value is not None}

    def apply_entries(self, entries):
        for entry in entries:
            self.rows.pop(entry.key, None)
            if entry.value is not None:
                self.rows[entry.key] = entry.value

    def handle_restoration(self):
        self.restorations += 1

    def handle_outage(self, reason):
        self.reachability.append(False)

    def handle_recovery(self):
        self.reachability.append(True)

    def handle_store_return(self):
        self.store_returns += 1


class FakePeers:
    """Records the calls that a table makes to the other nodes."""

    def __init__(self, role=Role.FOLLOWER, answers=True):
        self.current_role = role
        self.answers = answers
        self.requested_versions = []
        self.requests = []
        self.published = []
        self.announced_versions = []
        self.sources = []
        self.contacts = []

    def role(self):
        return self.current_role

    def request_changes(self, table, version):
        self.requested_versions.append(version)
        return self.answers

    def request_from(self, address, table, version):
        self.requests.append((address, version))

    def publish(self, table, changes, reachable):
        self.published.append(changes)

    def publish_version(self, table, version):
        self.announced_versions.append(version)

    def record_source(self, table, source):
        self.sources.append(source)

    def record_store_contact(self, table, reachability, answered_at):
        self.contacts.append((reachability, answered_at))


def make_table(
    role=Role.FOLLOWER, answers=True, jitter=0.0, coalesce=BOUNDS.coalescing_pause
):
    listener, clock = TableListener(), ManualClock()
    table, store, feed, peers = make_shared_table(
        listener, clock, role, answers, jitter, coalesce
    )
    return table, store, feed, listener, peers, clock


def make_shared_table(
    listener,
    clock,
    role=Role.FOLLOWER,
    answers=True,
    jitter=0.0,
    coalesce=BOUNDS.coalescing_pause,
):
    store = Store()
    peers, feed = FakePeers(role, answers), StoreFeed(store)
    table = SharedTable(
        NAME,
        feed,
        listener,
        peers,
        clock,
        threading.Event(),
        pytest.fail,
        SharedTableBounds(coalesce, SILENT),
        jitter,
    )
    return table, store, feed, peers


def row(key, value):
    return Entry(key, value)


def whole_table(version=1, **values):
    entries = tuple(Entry(key, value) for key, value in values.items())
    return TableChanges(0, version, entries, is_whole=True)
