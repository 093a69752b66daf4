"""A store that comes back from an older copy, as its only client sees it."""

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
    WaitEnded,
    era_of,
    fence_of,
    store_version,
)
from runhatch_coordination.testing import MemoryObjects
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


def copy(platform):
    call(platform.url, "POST", "/copy", {})


def restore(platform):
    call(platform.url, "POST", "/restore", {})


def write(platform, key):
    row = {"table": "watched", "key": key, "document": key}
    call(platform.url, "PUT", "/rows", {"puts": [row]})


class TestFeed:
    """Versions of a watched table."""

    def test_they_rise_though_numbers_go_back(self, platform, feed):
        copy(platform)
        for key in "abc":
            write(platform, key)
        before = feed.read().version
        restore(platform)

        after = feed.read()

        assert after.version > before
        assert era_of(after.version) == 1
        assert after.entries == ()

    def test_one_that_was_given_out_again_is_not_gone_on_from(self, platform, feed):
        copy(platform)
        write(platform, "a")
        before = feed.read().version
        restore(platform)
        write(platform, "b")

        found = feed.changes(before, timedelta())

        # Either says that what lies between is not known.
        assert found == HistoryLost() or era_of(found.version) == 1

    def test_a_wait_ends_when_another_call_shows_a_newer_era(self, platform, feed):
        version = feed.read().version
        # The store itself would answer it; this one never arrives.
        call(platform.url, "POST", "/faults", {"silent": True})
        ended = []
        waiting = threading.Thread(
            target=lambda: ended.append(feed.changes(version, WAIT))
        )
        waiting.start()
        waiting.join(0.3)
        call(platform.url, "POST", "/faults", {})
        restore(platform)
        feed.read()
        waiting.join(2)

        assert ended == [WaitEnded()]

    def test_an_era_told_by_peers_counts(self, feed, store):
        feed.changes(store_version(3, 1), timedelta())
        assert store.era == 3

    def test_the_first_era_seen_is_no_step_back(self, platform, store):
        restore(platform)
        assert StoreTable(store).transact([Put(KEY, b"a", ABSENT)]) == Committed()
        assert store.era == 1

    @pytest.mark.parametrize("header", [None, "", "x", "-1"])
    def test_an_answer_that_names_no_era_says_nothing(self, feed, store, header):
        feed.changes(store_version(2, 1), timedelta())
        store._note(Reply(200, b"", {} if header is None else {"store-era": header}))
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
    def test_only_a_good_answer_that_names_no_era_is_of_the_first(
        self, store, status, headers, era
    ):
        """A node minted versions of the first era before any answer."""
        store._note(Reply(status, b"", headers))
        assert store.era == era

    def test_an_answer_of_an_earlier_era_is_passed_over(self, feed, store):
        feed.changes(store_version(2, 1), timedelta())
        # The stand-in is in its first era.
        assert not hasattr(feed.read(), "entries")


class TestTable:
    """Conditional writes."""

    def test_none_succeeds_on_the_row_of_another(self, platform, store):
        mine, theirs = StoreTable(store), StoreTable(Store(platform.url))
        copy(platform)
        assert mine.transact([Put(KEY, b"mine", ABSENT)]) == Committed()
        restore(platform)
        # It gets the number that the lost row had.
        assert theirs.transact([Put(KEY, b"theirs", ABSENT)]) == Committed()
        assert mine.get(OTHER) == Missing()

        assert mine.transact([Put(KEY, b"again", 1)]) == Conflict((0,))
        found = mine.get(KEY)
        assert found.body == b"theirs"
        assert mine.transact([Put(KEY, b"again", 1)]) == Conflict((0,))
        assert mine.transact([Put(KEY, b"again", found.version)]) == Committed()

        again = Put(KEY, b"theirs again", 1)
        assert theirs.transact([again]) == Conflict((0,))

    def test_none_succeeds_at_the_same_count_of_another_era(self, platform, store):
        """The count led to the row of another, whatever was read meanwhile."""
        mine, theirs = StoreTable(store), StoreTable(Store(platform.url))
        assert mine.transact([Put(KEY, b"first", ABSENT)]) == Committed()
        copy(platform)
        read = mine.get(KEY).version
        assert mine.transact([Put(KEY, b"mine", read)]) == Committed()
        restore(platform)
        formed = Put(KEY, b"mine again", read + 1)
        theirs_read = theirs.get(KEY).version
        assert theirs.transact([Put(KEY, b"theirs", theirs_read)]) == Committed()

        found = mine.get(KEY)

        assert mine.transact([formed]) == Conflict((0,))
        assert found.version > read + 1

    def test_versions_count_on_from_any_era(self, platform, store):
        restore(platform)
        table = StoreTable(store)
        assert table.transact([Put(KEY, b"a", ABSENT)]) == Committed()
        # As one counts on that has not read its row.
        assert table.transact([Put(KEY, b"b", 1)]) == Committed()
        assert table.transact([Put(KEY, b"c", 2)]) == Committed()
        found = table.get(KEY).version
        assert found == store_version(1, 3)
        assert table.transact([Put(KEY, b"d", found)]) == Committed()
        assert table.transact([Put(KEY, b"e", found + 1)]) == Committed()
        assert table.get(KEY).version == found + 2

    def test_one_that_first_sees_the_new_era_is_not_known_to_hold(
        self, platform, store
    ):
        table = StoreTable(store)
        copy(platform)
        assert table.transact([Put(KEY, b"a", ABSENT)]) == Committed()
        restore(platform)

        assert isinstance(table.transact([Put(KEY, b"b", 1)]), Unknown)
        assert table.era == 1
        assert table.transact([Put(KEY, b"b", 1)]) == Conflict((0,))

    def test_a_first_write_that_looked_in_an_earlier_era_is_not_known_to_hold(
        self, platform, store, monkeypatch
    ):
        """The table had learned no era when the write began, and took any."""
        other = StoreTable(Store(platform.url))
        assert other.transact([Put(OTHER, b"o", ABSENT)]) == Committed()
        copy(platform)
        assert other.transact([Put(KEY, b"a", ABSENT)]) == Committed()
        write_to_store = store.write

        def write_later(transaction):
            restore(platform)
            # It gets the number that the lost row had.
            theirs = StoreTable(Store(platform.url))
            assert theirs.transact([Put(KEY, b"theirs", ABSENT)]) == Committed()
            return write_to_store(transaction)

        monkeypatch.setattr(store, "write", write_later)

        assert isinstance(StoreTable(store).transact([Put(KEY, b"b", 1)]), Unknown)

    def test_a_claim_that_the_copy_has_is_finished(self, platform, store):
        claims, taken = self.claim(store)
        copy(platform)
        restore(platform)
        assert claims.read("k", "other") == Mismatch()

        assert claims.finish(taken, "answer") == Committed()
        assert claims.read("k", "digest") == Done("answer")

    def test_the_claim_of_another_is_not_finished(self, platform, store):
        """Its row has the count that the lost claim's had."""
        copy(platform)
        claims, taken = self.claim(store)
        restore(platform)
        others, _ = self.claim(Store(platform.url))
        assert isinstance(claims.read("k", "digest"), Pending)

        assert claims.finish(taken, "answer") == Conflict((0,))
        claims.release(taken)
        assert isinstance(others.read("k", "digest"), Pending)

    def claim(self, store):
        table = StoreTable(store)
        claims = Claims(table, GroupCommitter(table), "n", SystemClock())
        taken = claims.take("k", "digest")
        assert isinstance(taken, Taken)
        return claims, taken

    def test_a_head_that_the_copy_has_is_published_on(self, platform, store):
        log = RevisionLog(StoreTable(store), MemoryObjects(), "configuration")
        assert isinstance(log.publish(0, b"one", "x", "", ""), Revision)
        copy(platform)
        assert isinstance(log.publish(1, b"lost", "x", "", ""), Revision)
        restore(platform)
        assert log.head() == 1

        assert isinstance(log.publish(1, b"two", "x", "", ""), Revision)
        assert log.read(2).body == b"two"

    def test_versions_are_of_their_type(self):
        assert store_version(0, 7) == StoreVersion(7)


class TestLease:
    """A lease whose nodes have asked the store nothing before."""

    def lease(self, platform, name):
        table = StoreTable(Store(platform.url, timedelta(seconds=2)))
        return Lease(table, SystemClock(), "orders", name, TTL)

    def test_a_first_look_counts_no_fence_of_an_earlier_era(self, platform):
        copy(platform)
        restore(platform)
        first = self.lease(platform, "a")
        assert wait_until(lambda: first.step() is LeaseChange.ACQUIRED)
        before = first.held().number
        first.release()
        second = self.lease(platform, "b")

        assert second.step() is LeaseChange.ACQUIRED
        assert second.held().number > before
        assert before >= fence_of(1, 1)

    def test_its_own_name_in_a_copy_is_no_reason_to_acquire(self, platform):
        """Another process holds the lease by a row that the copy lacks."""
        former = self.lease(platform, "a")
        assert former.step() is LeaseChange.ACQUIRED
        copy(platform)
        former.release()
        holder = self.lease(platform, "b")
        assert holder.step() is LeaseChange.ACQUIRED
        restore(platform)

        again = self.lease(platform, "a")

        assert again.step() is LeaseChange.NONE
        assert holder.held() is not None
