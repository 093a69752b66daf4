"""The store's client when the store is restored from an older copy."""

import threading
from datetime import timedelta

import pytest

from runhatch_coordination import (
    ABSENT,
    Claims,
    Committed,
    Conflict,
    Done,
    GroupCommitter,
    HistoryLost,
    Key,
    Lease,
    LeaseChange,
    Mismatch,
    Missing,
    Pending,
    Put,
    Revision,
    RevisionLog,
    StoreVersion,
    SystemClock,
    Taken,
    Unknown,
    WaitInterrupted,
    era_of,
    fence_of,
    store_version,
)
from runhatch_coordination.testing import MemoryObjectStore
from runhatch_platform import Store, StoreFeed, StoreTable
from runhatch_platform._store import Reply
from runhatch_standins import launch
from runhatch_standins._cluster import call
from runhatch_standins._gateways import wait_until

KEY = Key("things/x", "k")
OTHER = Key("things/x", "l")
WAIT = timedelta(seconds=5)
TTL = timedelta(seconds=1)


@pytest.fixture
def platform():
    launched = launch("platform", "runhatch_standins.platform")
    yield launched
    launched.kill()


@pytest.fixture
def store(platform):
    return Store(platform.url, timedelta(seconds=2))


@pytest.fixture
def feed(store):
    return StoreFeed(store, "watched", lambda key, body: body)


def copy_store(platform):
    call(platform.url, "POST", "/copy", {})


def restore_store(platform):
    call(platform.url, "POST", "/restore", {})


def write_row(platform, key):
    row = {"table": "watched", "key": key, "document": key}
    call(platform.url, "PUT", "/rows", {"puts": [row]})


class TestFeed:
    """Versions of a watched table."""

    def test_versions_increase_when_the_store_numbers_decrease(self, platform, feed):
        copy_store(platform)
        for key in "abc":
            write_row(platform, key)
        before = feed.read().version
        restore_store(platform)

        after = feed.read()

        assert after.version > before
        assert era_of(after.version) == 1
        assert after.entries == ()

    def test_changes_are_not_continued_from_a_reused_version(self, platform, feed):
        copy_store(platform)
        write_row(platform, "a")
        before = feed.read().version
        restore_store(platform)
        write_row(platform, "b")

        found = feed.read_changes(before, timedelta())

        # Both results show that changes may have been missed.
        assert found == HistoryLost() or era_of(found.version) == 1

    def test_wait_ends_when_another_call_returns_a_newer_era(self, platform, feed):
        version = feed.read().version
        # A real store answers the waiting call after a restore; the fault prevents it.
        call(platform.url, "POST", "/faults", {"silent": True})
        outcomes = []
        waiting = threading.Thread(
            target=lambda: outcomes.append(feed.read_changes(version, WAIT))
        )
        waiting.start()
        waiting.join(0.3)
        call(platform.url, "POST", "/faults", {})
        restore_store(platform)
        feed.read()
        waiting.join(2)

        assert outcomes == [WaitInterrupted()]

    def test_era_of_a_version_from_peers_is_adopted(self, feed, store):
        feed.read_changes(store_version(3, 1), timedelta())
        assert store.era == 3

    def test_first_era_received_is_not_treated_as_a_restore(self, platform, store):
        restore_store(platform)
        assert StoreTable(store).transact([Put(KEY, b"a", ABSENT)]) == Committed()
        assert store.era == 1

    @pytest.mark.parametrize("header", [None, "", "x", "-1"])
    def test_response_without_a_valid_era_keeps_the_known_era(
        self, feed, store, header
    ):
        feed.read_changes(store_version(2, 1), timedelta())
        store._record_reply(
            Reply(200, b"", {} if header is None else {"store-era": header})
        )
        assert store.era == 2

    @pytest.mark.parametrize(
        ("status", "headers", "era"),
        [
            (200, {}, 0),
            (412, {}, 0),
            (200, {"store-era": "3"}, 3),
            (503, {"store-era": "3"}, 3),
            (429, {}, None),
            (500, {}, None),
            (503, {}, None),
        ],
    )
    def test_only_a_successful_response_without_an_era_means_the_first_era(
        self, store, status, headers, era
    ):
        """Assuming the first era after an error creates versions of a wrong era."""
        store._record_reply(Reply(status, b"", headers))
        assert store.era == era

    def test_response_of_a_previous_era_is_rejected(self, feed, store):
        feed.read_changes(store_version(2, 1), timedelta())
        # The stand-in responds with its first era.
        assert not hasattr(feed.read(), "entries")


class TestTable:
    """Conditional writes."""

    def test_stale_write_conflicts_with_the_row_of_another_writer(
        self, platform, store
    ):
        mine, theirs = StoreTable(store), StoreTable(Store(platform.url))
        copy_store(platform)
        assert mine.transact([Put(KEY, b"mine", ABSENT)]) == Committed()
        restore_store(platform)
        # The store gives it the version number of the lost row.
        assert theirs.transact([Put(KEY, b"theirs", ABSENT)]) == Committed()
        assert mine.get(OTHER) == Missing()

        assert mine.transact([Put(KEY, b"again", 1)]) == Conflict((0,))
        found = mine.get(KEY)
        assert found.body == b"theirs"
        assert mine.transact([Put(KEY, b"again", 1)]) == Conflict((0,))
        assert mine.transact([Put(KEY, b"again", found.version)]) == Committed()

        stale_write = Put(KEY, b"theirs again", 1)
        assert theirs.transact([stale_write]) == Conflict((0,))

    def test_write_conflicts_at_the_same_count_of_another_era(self, platform, store):
        """A restore lets another writer's row reach the count that a write expects.

        Reading that row in between must not let the write overwrite it.
        """
        mine, theirs = StoreTable(store), StoreTable(Store(platform.url))
        assert mine.transact([Put(KEY, b"first", ABSENT)]) == Committed()
        copy_store(platform)
        read = mine.get(KEY).version
        assert mine.transact([Put(KEY, b"mine", read)]) == Committed()
        restore_store(platform)
        stale_write = Put(KEY, b"mine again", read + 1)
        theirs_read = theirs.get(KEY).version
        assert theirs.transact([Put(KEY, b"theirs", theirs_read)]) == Committed()

        found = mine.get(KEY)

        assert mine.transact([stale_write]) == Conflict((0,))
        assert found.version > read + 1

    def test_versions_increase_by_one_in_a_later_era(self, platform, store):
        restore_store(platform)
        table = StoreTable(store)
        assert table.transact([Put(KEY, b"a", ABSENT)]) == Committed()
        # A writer that has not read the row expects a count without an era.
        assert table.transact([Put(KEY, b"b", 1)]) == Committed()
        assert table.transact([Put(KEY, b"c", 2)]) == Committed()
        found = table.get(KEY).version
        assert found == store_version(1, 3)
        assert table.transact([Put(KEY, b"d", found)]) == Committed()
        assert table.transact([Put(KEY, b"e", found + 1)]) == Committed()
        assert table.get(KEY).version == found + 2

    def test_write_that_first_receives_a_new_era_is_unknown(self, platform, store):
        table = StoreTable(store)
        copy_store(platform)
        assert table.transact([Put(KEY, b"a", ABSENT)]) == Committed()
        restore_store(platform)

        assert isinstance(table.transact([Put(KEY, b"b", 1)]), Unknown)
        assert table.era == 1
        assert table.transact([Put(KEY, b"b", 1)]) == Conflict((0,))

    def test_first_write_across_a_restore_is_unknown(
        self, platform, store, monkeypatch
    ):
        """A table without a known era reads its row before a restore and writes after.

        Accepting the result would confirm a write to another writer's row.
        """
        other = StoreTable(Store(platform.url))
        assert other.transact([Put(OTHER, b"o", ABSENT)]) == Committed()
        copy_store(platform)
        assert other.transact([Put(KEY, b"a", ABSENT)]) == Committed()
        write_to_store = store.apply_transaction

        def write_after_restore(transaction):
            restore_store(platform)
            # The store gives it the version number of the lost row.
            theirs = StoreTable(Store(platform.url))
            assert theirs.transact([Put(KEY, b"theirs", ABSENT)]) == Committed()
            return write_to_store(transaction)

        monkeypatch.setattr(store, "apply_transaction", write_after_restore)

        assert isinstance(StoreTable(store).transact([Put(KEY, b"b", 1)]), Unknown)

    def test_claim_in_the_copy_can_be_finished(self, platform, store):
        claims, taken = self.take_claim(store)
        copy_store(platform)
        restore_store(platform)
        assert claims.read("k", "other") == Mismatch()

        assert claims.finish(taken, "answer") == Committed()
        assert claims.read("k", "digest") == Done("answer")

    def test_claim_of_another_node_is_not_finished(self, platform, store):
        """After a restore, another node's claim has the version of the lost claim."""
        copy_store(platform)
        claims, taken = self.take_claim(store)
        restore_store(platform)
        others, _ = self.take_claim(Store(platform.url))
        assert isinstance(claims.read("k", "digest"), Pending)

        assert claims.finish(taken, "answer") == Conflict((0,))
        claims.release(taken)
        assert isinstance(others.read("k", "digest"), Pending)

    def take_claim(self, store):
        table = StoreTable(store)
        claims = Claims(table, GroupCommitter(table), "n", SystemClock())
        taken = claims.acquire("k", "digest")
        assert isinstance(taken, Taken)
        return claims, taken

    def test_revisions_continue_from_the_head_in_the_copy(self, platform, store):
        log = RevisionLog(StoreTable(store), MemoryObjectStore(), "configuration")
        assert isinstance(log.publish(0, b"one", "x", "", ""), Revision)
        copy_store(platform)
        assert isinstance(log.publish(1, b"lost", "x", "", ""), Revision)
        restore_store(platform)
        assert log.read_head_number() == 1

        assert isinstance(log.publish(1, b"two", "x", "", ""), Revision)
        assert log.read_revision(2).body == b"two"

    def test_store_version_returns_a_store_version(self):
        assert store_version(0, 7) == StoreVersion(7)


class TestLease:
    """Leases of nodes that have not called the store before."""

    def create_lease(self, platform, name):
        table = StoreTable(Store(platform.url, timedelta(seconds=2)))
        return Lease(table, SystemClock(), "orders", name, TTL)

    def test_first_lease_after_a_restore_has_a_fence_of_the_new_era(self, platform):
        copy_store(platform)
        restore_store(platform)
        first = self.create_lease(platform, "a")
        assert wait_until(lambda: first.step() is LeaseChange.ACQUIRED)
        previous_fence = first.held_epoch().number
        first.release()
        second = self.create_lease(platform, "b")

        assert second.step() is LeaseChange.ACQUIRED
        assert second.held_epoch().number > previous_fence
        assert previous_fence >= fence_of(1, 1)

    def test_own_name_in_a_restored_row_does_not_acquire_the_lease(self, platform):
        """Another process holds the lease by a row that is missing in the copy."""
        previous = self.create_lease(platform, "a")
        assert previous.step() is LeaseChange.ACQUIRED
        copy_store(platform)
        previous.release()
        holder = self.create_lease(platform, "b")
        assert holder.step() is LeaseChange.ACQUIRED
        restore_store(platform)

        restarted = self.create_lease(platform, "a")

        assert restarted.step() is LeaseChange.NONE
        assert holder.held_epoch() is not None
