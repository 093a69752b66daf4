"""Records in the store of the software versions that began streams."""

import threading
from dataclasses import replace

import pytest
from gateway_cases import make_target, seconds

from runhatch_coordination import (
    Entry,
    Key,
    MemberFact,
    Membership,
    Standing,
    Unavailable,
    Vm,
    rank_names,
)
from runhatch_coordination.testing import MemoryTable
from runhatch_server.decisions import (
    RECORD_RETENTION,
    VersionRecord,
    missing_record,
    plan_version_record,
)
from runhatch_server.gateway._stored_versions import (
    StoredVersions,
    decode_version_record,
    encode_version_record,
)
from runhatch_server.gateway._stream_versions import StreamVersions
from runhatch_server.gateway._version_recorder import (
    CHECK_INTERVAL,
    MIN_READ_INTERVAL,
    RANK_SUBJECT,
    RETRY_DELAY,
    VERSIONS_TABLE,
    VersionRecorder,
)

SERVICE = "s"
NAMES = rank_names(RANK_SUBJECT, [f"n{i}" for i in range(4)])
FIRST, *OTHERS = NAMES


def record(*versions, era=0, is_complete=True):
    return VersionRecord(frozenset(versions), era, is_complete)


@pytest.mark.parametrize(
    ("known", "needed", "removable", "era", "knows_all", "planned"),
    [
        (missing_record(0), {"v1"}, set(), 0, False, record("v1")),
        (
            missing_record(1),
            {"v1"},
            set(),
            1,
            False,
            record("v1", era=1, is_complete=False),
        ),
        (missing_record(1), {"v1"}, set(), 1, True, record("v1", era=1)),
        (record("v1"), {"v1"}, set(), 0, False, record("v1")),
        (record("v1"), {"v2"}, set(), 0, False, record("v1", "v2")),
        (record("v1", "v2"), {"v2"}, {"v1"}, 0, True, record("v2")),
        (record("v1"), {"v1"}, set(), 1, False, record("v1")),
        (record("v1"), {"v1"}, set(), 1, True, record("v1", era=1)),
        (record("v1"), {"v2"}, set(), 1, False, record("v1", "v2")),
        (
            record("v1", is_complete=False),
            {"v2"},
            set(),
            0,
            False,
            record("v1", "v2", is_complete=False),
        ),
    ],
    ids=[
        "first",
        "first after a restoration",
        "first after a restoration, all observed",
        "unchanged",
        "new version",
        "version gone",
        "older copy",
        "older copy, all observed",
        "older copy, new version",
        "incomplete",
    ],
)
def test_planned_record(known, needed, removable, era, knows_all, planned):
    assert plan_version_record(known, needed, removable, era, knows_all) == planned


def test_record_is_encoded_and_decoded():
    expected = record("v1", "v2", era=3, is_complete=False)

    assert decode_version_record(SERVICE, encode_version_record(expected)) == expected
    with pytest.raises(ValueError, match="JSON"):
        decode_version_record(SERVICE, b"?")


class BrokenTable(MemoryTable):
    """A table that counts its calls and may be unavailable."""

    is_down = False
    calls = 0

    def get(self, key):
        self.calls += 1
        return Unavailable("down") if self.is_down else super().get(key)

    def transact(self, writes):
        self.calls += 1
        return Unavailable("down") if self.is_down else super().transact(writes)


class Node:
    """A node that sees ``versions`` at the targets of the service."""

    def __init__(self, clock, table, name=FIRST, versions=("v1",), era=0):
        self.clock = clock
        self.table = table
        self.versions = list(versions)
        self.era = era
        self.is_informed = True
        membership = Membership(Vm(name, "d", name), clock)
        membership.merge_facts(
            MemberFact(Vm(each, "d", each), Standing.ALIVE) for each in NAMES
        )
        self.stored = StoredVersions(
            lambda: self.era,
            lambda *seen: self.seen.record_seen(*seen),
            lambda: self.recorder.release_recorded(),
        )
        self.seen = StreamVersions(
            clock, self._list_targets, lambda: self.is_informed, self.stored.list_all
        )
        self.recorder = VersionRecorder(
            table, self.stored, self.seen, membership, clock
        )
        self.recorder.services = frozenset({SERVICE})
        self.read()

    def _list_targets(self):
        return [
            replace(make_target(f"t{i}", SERVICE), software_version=version)
            for i, version in enumerate(self.versions)
        ]

    def read(self):
        """Read the whole table."""
        rows = self.table.query(VERSIONS_TABLE)
        self.stored.replace_entries(
            tuple(
                Entry(row.key.sort, decode_version_record(row.key.sort, row.body))
                for row in rows
            )
        )

    def update(self):
        self.seen.observe_targets()
        self.recorder.update()

    def run(self, duration):
        for _ in range(int(duration / seconds(0.5))):
            self.seen.remove_expired()
            self.update()
            self.clock.advance(seconds(0.5))

    def find(self):
        """Return the version of a stream of which nobody has a record."""
        self.seen.observe_targets()
        return self.seen.find_unrecorded_version("id-1", SERVICE)


@pytest.fixture
def table():
    return BrokenTable()


def stored(table):
    row = table.get(Key(VERSIONS_TABLE, SERVICE))
    return decode_version_record(SERVICE, row.body)


class TestRecorder:
    """When records are written, and by which node."""

    def test_new_version_is_recorded_once(self, clock, table):
        node = Node(clock, table)
        node.run(seconds(1))
        assert stored(table) == record("v1")
        calls = table.calls
        node.run(seconds(60))
        assert table.calls == calls

        node.versions.append("v2")
        node.run(seconds(1))
        assert stored(table) == record("v1", "v2")

    def test_another_node_writes_if_the_first_does_not(self, clock, table):
        node = Node(clock, table, OTHERS[0])
        node.run(seconds(0.5))
        assert table.calls == 0

        node.run(seconds(2))
        assert stored(table) == record("v1")

    def test_stream_of_a_new_version_waits_for_its_record(self, clock, table):
        node = Node(clock, table, OTHERS[-1])
        recorded = node.recorder.request(SERVICE, "v1")
        assert not recorded.is_set()
        assert node.recorder.update_wanted.is_set()

        node.recorder.update()
        assert recorded.is_set()
        assert stored(table) == record("v1")
        assert node.recorder.request(SERVICE, "v1") is None

    def test_streams_that_are_never_resumed_are_not_recorded(self, clock, table):
        node = Node(clock, table)

        assert node.recorder.request("other", "v1") is None

    def test_unreachable_store_delays_no_stream(self, clock, table):
        node = Node(clock, table)
        table.is_down = True
        waiting = node.recorder.request(SERVICE, "v1")
        node.recorder.update()

        assert waiting.is_set()
        assert node.recorder.request(SERVICE, "v1") is None
        clock.advance(RETRY_DELAY)
        table.is_down = False
        node.update()
        assert stored(table) == record("v1")

    def test_versions_added_by_others_stay(self, clock, table):
        node, other = Node(clock, table), Node(clock, table, OTHERS[0], ["v2"])
        node.update()
        other.recorder.request(SERVICE, "v2")
        other.recorder.update()
        node.run(RECORD_RETENTION + seconds(10))

        assert stored(table) == record("v1", "v2")

    @pytest.mark.parametrize(("name", "delay"), [(FIRST, 0), (OTHERS[0], 1)])
    def test_version_is_removed_once_its_streams_are_over(
        self, clock, table, name, delay
    ):
        """Another node removes it if the first doesn't, as when it has just started."""
        Node(clock, table, versions=["v1", "v2"]).run(seconds(1))
        node = Node(clock, table, name, ["v2"])
        node.run(RECORD_RETENTION + seconds(delay))
        assert stored(table) == record("v1", "v2")

        node.run(seconds(1.5))
        assert stored(table) == record("v2")

    def test_node_that_stood_still_removes_no_version(self, clock, table):
        """It takes the time of its stop for observed, and the version may be back."""
        node = Node(clock, table, versions=["v1", "v2"])
        node.run(RECORD_RETENTION + seconds(10))
        node.versions = ["v2"]
        node.run(RECORD_RETENTION - seconds(45))
        back = Node(clock, table, OTHERS[0], ["v1", "v2"])
        assert back.recorder.request(SERVICE, "v1") is None

        clock.advance(seconds(90))
        node.seen.observe_targets()
        node.seen.remove_expired()
        node.recorder.update()

        assert stored(table) == record("v1", "v2")

    def test_version_that_another_node_adds_again_is_kept(self, clock, table):
        """A stream of it may go on there, and the two nodes would take turns."""
        first = Node(clock, table, versions=["v1", "v2"])
        other = Node(clock, table, OTHERS[0], ["v1", "v2"])
        first.run(seconds(1))
        first.versions = ["v2"]
        first.run(RECORD_RETENTION + seconds(1))
        assert stored(table) == record("v2")

        other.read()
        other.recorder.request(SERVICE, "v1")
        other.recorder.update()
        first.read()
        calls = table.calls
        first.run(RECORD_RETENTION - seconds(5))
        assert table.calls == calls
        assert stored(table) == record("v1", "v2")


class TestReads:
    """Reads of the present record, before a node concludes from what it has seen."""

    @pytest.fixture
    def node(self, clock, table):
        node = Node(clock, table)
        node.run(seconds(1))
        return node

    def test_version_that_the_feed_has_not_brought_counts_as_seen(
        self, clock, table, node
    ):
        """A node that is out of step took its copy of the record for the present."""
        Node(clock, table, OTHERS[-1], ["v2"]).run(seconds(5))
        assert node.seen.seen_versions(SERVICE) == {"v1"}
        read = node.recorder.request_read(SERVICE)
        assert not read.finished.is_set()
        node.recorder.read_requested()

        assert read.finished.is_set()
        assert read.is_current
        assert node.seen.seen_versions(SERVICE) == {"v1", "v2"}

    def test_streams_resumed_at_the_same_time_share_one_read(self, clock, table, node):
        calls = table.calls
        reads = {id(node.recorder.request_read(SERVICE)) for _ in range(100)}
        node.recorder.read_requested()

        assert len(reads) == 1
        assert table.calls == calls + 1

    def test_read_that_has_begun_is_not_shared(self, clock, table, node):
        """It may miss what was written after it."""
        read = node.recorder.request_read(SERVICE)
        node.recorder.read_requested()

        assert node.recorder.request_read(SERVICE) is not read

    def test_reads_keep_an_interval(self, clock, table, node):
        node.recorder.request_read(SERVICE)
        node.recorder.read_requested()
        read = node.recorder.request_read(SERVICE)
        node.recorder.read_requested()
        assert not read.finished.is_set()
        assert node.recorder.read_pause == MIN_READ_INTERVAL

        clock.advance(node.recorder.read_pause)
        node.recorder.read_requested()
        assert read.is_current
        assert node.recorder.read_pause == CHECK_INTERVAL

    def test_unreachable_store_makes_streams_wait_once(self, clock, table, node):
        table.is_down = True
        reads = [node.recorder.request_read(SERVICE)]
        node.recorder.services |= {"other"}
        reads.append(node.recorder.request_read("other"))
        node.recorder.read_requested()

        assert [read.finished.is_set() for read in reads] == [True, True]
        assert [read.is_current for read in reads] == [False, False]
        assert node.recorder.request_read(SERVICE) is None
        clock.advance(RETRY_DELAY)
        assert node.recorder.request_read(SERVICE) is not None

    def test_services_without_records_are_not_read(self, node):
        assert node.recorder.request_read("other") is None

    @pytest.mark.parametrize("is_restored", [False, True])
    def test_record_of_an_older_copy_is_not_current(
        self, clock, table, node, is_restored
    ):
        """The feed of the table may not have noticed the restoration."""
        table.era = 1 if is_restored else 0
        read = node.recorder.request_read(SERVICE)
        node.recorder.read_requested()

        assert read.is_current is not is_restored

    def test_versions_known_before_a_restoration_are_not_current(
        self, clock, table, node
    ):
        """A node that was out of step may have lacked one that the copy lacks too."""
        table.era = 1
        node.stored.handle_restoration()
        node.era = 1
        read = node.recorder.request_read(SERVICE)
        node.recorder.read_requested()

        assert node.stored.known_before_restoration(SERVICE) == {"v1"}
        assert not read.is_current

    def test_store_whose_era_is_unknown_is_not_current(self, clock, table, node):
        read = node.recorder.request_read(SERVICE)
        table.era = None
        node.recorder.read_requested()

        assert read.finished.is_set()
        assert not read.is_current

    def test_failed_read_delays_no_record(self, clock, table, node):
        """Streams of a new version would begin without one meanwhile."""
        table.is_down = True
        node.recorder.request_read(SERVICE)
        node.recorder.read_requested()
        table.is_down = False
        recorded = node.recorder.request(SERVICE, "v2")
        node.recorder.update()

        assert recorded.is_set()
        assert stored(table) == record("v1", "v2")


class TestAfterAllNodesEnded:
    """What a node concludes of streams of which no node has a record."""

    @pytest.mark.parametrize(
        ("before", "versions", "found"),
        [
            (["v1"], ["v1"], "v1"),
            (["v1", "v2"], ["v1", "v2"], None),
            (["v1", "v2"], ["v2"], None),
            (["v1"], ["v2"], None),
            (["v1", "v2"], ["v1"], None),
        ],
    )
    def test_only_version_is_concluded(self, clock, table, before, versions, found):
        Node(clock, table, versions=before).run(seconds(1))

        assert Node(clock, table, versions=versions).find() == found

    def test_nothing_is_concluded_before_the_records_are_read(self, clock, table):
        node = Node(clock, table)
        node.run(seconds(1))
        started = Node(clock, BrokenTable(), era=None)

        assert started.find() is None
        assert not started.seen.can_deny(SERVICE)

    def test_version_that_left_is_remembered_as_long_as_its_streams(self, clock, table):
        """Callers may retry for longer than the ten seconds in which they should."""
        Node(clock, table, versions=["v1", "v2"]).run(seconds(1))
        node = Node(clock, table, versions=["v2"])
        node.run(seconds(60))
        assert node.seen.find_version("id-1", SERVICE) is None
        assert node.find() is None

        node.run(RECORD_RETENTION)
        assert node.seen.find_version("id-1", SERVICE) == "v2"

    def test_version_counts_as_long_as_the_store_states_it(self, clock, table):
        """A node that was cut off has not observed the targets for long enough."""
        Node(clock, table, versions=["v1", "v2"]).run(seconds(1))
        node = Node(clock, table, versions=["v2"])
        node.run(RECORD_RETENTION - seconds(10))
        node.is_informed = False
        node.run(seconds(1))
        node.is_informed = True
        node.run(seconds(60))

        assert node.seen.find_version("id-1", SERVICE) is None
        assert node.find() is None

    def test_second_end_loses_nothing(self, clock, table):
        Node(clock, table, versions=["v1", "v2"]).run(seconds(1))
        Node(clock, table, versions=["v2"]).run(seconds(5))

        assert Node(clock, table, versions=["v2"]).find() is None


class TestRestored:
    """The store was restored from an older copy."""

    def test_record_of_an_earlier_era_may_lack_versions(self, clock, table):
        Node(clock, table).run(seconds(1))
        node = Node(clock, table, era=1)
        node.run(seconds(5))
        assert node.find() is None
        assert not node.seen.can_deny(SERVICE)

        node.run(RECORD_RETENTION)
        assert node.find() == "v1"
        assert stored(table) == record("v1", era=1)

    @pytest.mark.parametrize("is_lost", [False, True])
    def test_node_that_runs_on_writes_what_the_copy_lacks(self, clock, table, is_lost):
        node = Node(clock, table)
        node.run(seconds(1))
        node.stored.handle_restoration()
        node.era = 1
        node.table = node.recorder._table = BrokenTable() if is_lost else table
        node.read()
        assert node.find() == "v1"

        node.run(seconds(1))
        assert stored(node.table) == record("v1", era=1)
        assert node.stored.known_before_restoration(SERVICE) is None

    def test_lost_record_is_incomplete(self, clock, table):
        node = Node(clock, table, era=1)
        node.run(seconds(1))

        assert stored(table) == record("v1", era=1, is_complete=False)
        assert node.find() is None


def test_waiting_streams_go_on_when_another_node_has_recorded_the_version(clock, table):
    node = Node(clock, table, OTHERS[-1])
    waiting = node.recorder.request(SERVICE, "v1")
    assert isinstance(waiting, threading.Event)

    node.stored.apply_entries((Entry(SERVICE, record("v1")),))

    assert waiting.is_set()
