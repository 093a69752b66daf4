"""The store's client against the stand-in: conditions, feeds, and faults."""

import threading
import time
from datetime import UTC, datetime, timedelta

import pytest

from runhatch_coordination import (
    ABSENT,
    Check,
    Committed,
    Conflict,
    Delete,
    Entry,
    HistoryLost,
    Key,
    Missing,
    Put,
    Unavailable,
    Unknown,
    WaitEnded,
)
from runhatch_platform import Store, StoreFeed, StoreObjects, StoreTable
from runhatch_standins import launch
from runhatch_standins._cluster import call
from runhatch_standins._gateways import wait_until
from runhatch_standins._tcp_relay import LinkFault, TcpRelay

KEY = Key("things/x", "k")
OTHER = Key("others", "k")
DAY = timedelta(days=1)


@pytest.fixture(scope="module")
def platform():
    launched = launch("platform", "runhatch_standins.platform")
    yield launched
    launched.kill()


@pytest.fixture
def store(platform):
    call(platform.url, "POST", "/faults", {})
    store = Store(platform.url, timedelta(seconds=0.5))
    table = StoreTable(store)
    for key in (KEY, OTHER):
        found = table.get(key)
        if not isinstance(found, Missing):
            table.transact([Delete(key, found.version)])
    return store


@pytest.fixture
def table(store):
    return StoreTable(store)


def fault(platform, **faults):
    call(platform.url, "POST", "/faults", faults)


class TestTable:
    """The library's table over the store's rows."""

    def test_versions_count_from_one_whatever_the_store_counts(self, table):
        for version in range(3):
            put = Put(KEY, f"{version}".encode(), expect=version)
            assert table.transact([put]) == Committed()

        assert table.get(KEY).version == 3
        assert table.get(KEY).body == b"2"

    @pytest.mark.parametrize(
        "write",
        [
            Put(KEY, b"x", expect=ABSENT),
            Put(KEY, b"x", expect=2),
            Delete(KEY, 7),
            Check(KEY, ABSENT),
        ],
    )
    def test_a_condition_that_fails_writes_nothing(self, table, write):
        table.transact([Put(KEY, b"a", ABSENT)])

        outcome = table.transact([Put(OTHER, b"b", ABSENT), write])

        assert outcome == Conflict((1,))
        assert table.get(OTHER) == Missing()

    def test_a_reader_that_has_not_read_yet_may_write_all_the_same(self, store, table):
        table.transact([Put(KEY, b"a", ABSENT)])

        assert StoreTable(store).transact([Put(KEY, b"b", 1)]) == Committed()
        assert table.transact([Put(KEY, b"c", 1)]) == Conflict((0,))

    def test_a_partition_is_read_alone_and_in_order(self, table):
        table.transact([Put(KEY, b"a", ABSENT), Put(OTHER, b"b", ABSENT)])

        assert [row.key for row in table.query("things/x")] == [KEY]
        assert [row.key for row in table.query("others")] == [OTHER]
        assert table.query("things/y") == ()

    @pytest.mark.parametrize(
        ("faults", "outcome"),
        [
            ({"down": True}, Unavailable),
            ({"busy": True}, Unavailable),
            ({"lose_answer": 1.0}, Unknown),
            ({"lose_request": 1.0}, Unknown),
            ({"slow_seconds": 1.0}, Unknown),
        ],
    )
    def test_faults_say_whether_something_was_done(
        self, platform, table, faults, outcome
    ):
        fault(platform, **faults)

        assert isinstance(table.transact([Put(KEY, b"a", ABSENT)]), outcome)

    def test_expired_rows_are_swept_and_no_others(self, table):
        now = datetime(2026, 12, 2, tzinfo=UTC)
        table.transact(
            [Put(KEY, b"a", ABSENT, now - DAY), Put(OTHER, b"b", ABSENT, now + DAY)]
        )

        table.sweep(("things", "others"), now)

        assert table.get(KEY) == Missing()
        assert table.get(OTHER).body == b"b"


def decode(key, body):
    if body == b'"bad"':
        raise ValueError("not of our shape")
    return body


class TestFeed:
    """Changes of a table."""

    @pytest.fixture
    def feed(self, store):
        return StoreFeed(store, "watched", decode)

    def write(self, platform, key, document):
        row = {"table": "watched", "key": key, "document": document}
        call(platform.url, "PUT", "/rows", {"puts": [row]})

    def test_a_change_ends_the_wait(self, platform, feed):
        version = feed.read().version
        later = threading.Timer(0.1, self.write, (platform, "a", 1))
        later.start()

        changes = feed.changes(version, timedelta(seconds=5))

        assert changes.entries == (Entry("a", b"1"),)
        assert changes.version > version

    def test_a_row_that_cannot_be_read_is_passed_over(self, platform, feed):
        version = feed.read().version
        self.write(platform, "a", "bad")
        self.write(platform, "b", 2)

        changes = feed.changes(version, timedelta(seconds=1))

        assert [entry.key for entry in changes.entries] == ["b"]

    @pytest.mark.parametrize("listed", [True, False])
    def test_where_rows_name_targets_such_a_row_is_gone(self, platform, store, listed):
        """Somebody else may write over a target's entry; the others hold."""
        feed = StoreFeed(store, "watched", decode, unreadable_is_gone=True)
        self.write(platform, "a", 1)
        self.write(platform, "b", 2)
        version = feed.read().version
        self.write(platform, "a", "bad")

        found = feed.read() if listed else feed.changes(version, timedelta(seconds=1))

        assert Entry("a", None) in found.entries
        assert not listed or Entry("b", b"2") in found.entries

    def test_a_removed_row_has_no_value(self, platform, feed):
        self.write(platform, "a", 1)
        version = feed.read().version
        row = {"table": "watched", "key": "a"}
        call(platform.url, "PUT", "/rows", {"remove": [row]})

        changes = feed.changes(version, timedelta(seconds=1))

        assert changes.entries == (Entry("a", None),)

    def test_lost_history_is_told(self, platform, feed):
        version = feed.read().version
        self.write(platform, "a", 3)
        call(platform.url, "POST", "/forget", {})

        assert feed.changes(version, timedelta()) == HistoryLost()

    def test_a_wait_is_broken_off_when_told(self, feed):
        version = feed.read().version
        threading.Timer(0.1, feed.hurry).start()

        outcome = feed.changes(version, timedelta(seconds=8))

        assert outcome == WaitEnded()

    def test_a_wait_is_broken_off_when_another_call_fails(self, platform, feed, table):
        version = feed.read().version
        outcomes = []
        waiting = threading.Thread(
            target=lambda: outcomes.append(feed.changes(version, timedelta(seconds=8)))
        )
        waiting.start()
        fault(platform, silent=True)
        table.get(KEY)
        waiting.join(3)

        assert outcomes == [WaitEnded()]


MEGABIT = 125_000
LARGE = "x" * 400_000


class TestSlowLink:
    """A large row takes a second over a link of some Mbit/s.

    While it arrived, news of its version from elsewhere or another call that failed
    had it sent again from the first byte.
    """

    @pytest.fixture
    def relay(self, platform):
        call(platform.url, "POST", "/faults", {})
        relay = TcpRelay(platform.port)
        relay.slow_down(5 * MEGABIT)
        yield relay
        relay.close()

    @pytest.fixture
    def far(self, relay):
        return Store(f"http://127.0.0.1:{relay.port}", timedelta(seconds=0.5))

    def change(self, platform, far):
        feed = StoreFeed(far, "grown", decode)
        version = feed.read().version
        row = {"table": "grown", "key": "a", "document": LARGE}
        call(platform.url, "PUT", "/rows", {"puts": [row]})
        return feed, version

    def in_midst(self, relay, act):
        """Do something once half of the next answer has arrived."""
        half = relay.answered + len(LARGE) // 2

        def run():
            if wait_until(lambda: relay.answered >= half):
                act()

        threading.Thread(target=run, daemon=True).start()

    def test_an_answer_that_arrives_is_not_broken_off(self, platform, far, relay):
        feed, version = self.change(platform, far)
        self.in_midst(relay, feed.hurry)

        outcome = feed.changes(version, timedelta(seconds=8))

        assert [len(entry.value) for entry in outcome.entries] == [len(LARGE) + 2]

    def test_one_that_stops_arriving_is_given_up_soon(self, platform, far, relay):
        feed, version = self.change(platform, far)
        self.in_midst(relay, lambda: relay.inject(LinkFault.FREEZE))
        began = time.monotonic()

        outcome = feed.changes(version, timedelta(seconds=8))

        assert isinstance(outcome, Unavailable)
        assert time.monotonic() - began < 2


class TestObjects:
    """Raw objects."""

    def test_are_read_as_they_were_written(self, store):
        objects = StoreObjects(store)

        assert objects.put("a/b c", b"body")
        assert objects.get("a/b c") == b"body"
        assert objects.get("absent") is None

    def test_a_store_that_is_down_says_so(self, platform, store):
        fault(platform, down=True)

        assert not StoreObjects(store).put("x", b"")
        assert StoreObjects(store).get("x") is None
