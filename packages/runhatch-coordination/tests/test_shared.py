"""Shared tables: which nodes read the store when, and that no change is missed."""

from datetime import timedelta

import pytest
from shared_cases import SILENT, make_table, row, whole_table

from runhatch_coordination import (
    HistoryLost,
    Reachability,
    Role,
    Source,
    TableChanges,
    Vm,
    WaitInterrupted,
    choose_role,
)
from runhatch_coordination._shared import (
    REQUEST_TIMEOUT,
    START_GRACE,
    START_REQUEST_WINDOW,
)
from runhatch_coordination._store_contact import CHECK_WAIT


class TestReader:
    """A reader reads the store and publishes each change once."""

    def test_publishes_each_change_once(self):
        table, store, _, listener, peers, _ = make_table(Role.READER, answers=False)
        store.write("a", b"1")
        table.step()
        store.write("b", b"2")
        table.step()
        table.step()

        assert listener.rows == {"a": b"1", "b": b"2"}
        assert [changes.version for changes in peers.published] == [2, 3]
        assert peers.published[1] == TableChanges(
            2, 3, (row("b", b"2"),), changed_version=3
        )
        assert peers.announced_versions == [2, 3]
        assert table.empty_changes == TableChanges(3, 3, ())

    def test_announces_the_version_of_the_last_change(self):
        """Not that of its read, which differs between the readers of a change.

        A node with the rows would take a later version for one that it lacks.
        """
        table, store, _, _, peers, _ = make_table(Role.READER, answers=False)
        table.step()
        store.write("a", b"1")
        store.number += 5
        table.step()

        assert table.version == 7
        assert peers.announced_versions == [2]

    def test_announces_a_removal_found_by_a_listing(self):
        """A listing states no version for a row that is gone.

        The version of its newest row was announced before, so nodes whose readers are
        silent are not told of the removal.
        """
        table, store, feed, listener, peers, _ = make_table(Role.READER, answers=False)
        store.write("a", b"1")
        store.write("b", b"2")
        table.step()
        store.write("a", None)
        feed.read_changes = lambda after, wait: HistoryLost()
        table.step()
        table.step()

        assert listener.rows == {"b": b"2"}
        assert peers.announced_versions[-1] >= 4

    def test_does_not_announce_what_was_announced_to_it(self):
        table, store, _, _, peers, _ = make_table(Role.READER, answers=False)
        table.step()
        store.write("a", b"1")
        table.record_version(2, "p1")
        table.step()

        assert table.version == 2
        assert peers.announced_versions == []

    def test_reports_whether_it_reaches_the_store(self):
        table, _, feed, listener, _, _ = make_table(Role.READER, answers=False)
        table.step()
        feed.is_cut_off = True
        table.step()
        assert not table.reaches_store

        feed.is_cut_off = False
        table.step()
        assert table.reaches_store
        assert listener.reachability == [False, True]

    def test_records_when_the_store_answered_last(self):
        table, _, feed, _, peers, clock = make_table(Role.READER, answers=False)
        table.step()
        clock.advance(timedelta(seconds=1))
        feed.is_cut_off = True
        table.step()

        assert table.answered_at == timedelta()
        assert peers.contacts == [
            (Reachability.REACHED, timedelta()),
            (Reachability.UNREACHED, timedelta()),
        ]

    def test_does_not_reach_a_store_that_never_answered(self):
        """It once reported that it did, and other readers relied on the report."""
        table, _, feed, _, peers, _ = make_table(Role.READER)
        table.apply_answer(whole_table(a=b"1"))
        assert not table.reaches_store

        feed.read_changes = lambda after, wait: WaitInterrupted()
        table.step()
        assert not table.reaches_store
        assert peers.contacts == []

    @pytest.mark.parametrize("is_cut_off", [False, True])
    def test_an_interrupted_wait_is_no_answer(self, is_cut_off):
        table, _, feed, _, _, _ = make_table(Role.READER, answers=False)
        table.step()
        feed.is_cut_off = is_cut_off
        table.step()
        waits = []

        def interrupt(after, wait):
            waits.append(wait)
            return WaitInterrupted()

        feed.read_changes = interrupt
        table.step()
        table.step()

        assert table.reaches_store is not is_cut_off
        assert waits[-1] == CHECK_WAIT

    def test_publishes_an_answer_to_its_domain(self):
        """Otherwise each node of the domain would have to request it for itself."""
        table, _, feed, _, peers, _ = make_table(Role.READER, answers=False)
        table.step()
        feed.is_cut_off = True
        table.step()

        changes = TableChanges(1, 2, (row("a", b"1"),))
        table.apply_answer(changes)

        assert peers.published == [changes]
        assert peers.announced_versions == []


class TestStart:
    """Nodes that start together do not all read the store."""

    def test_requests_the_table_from_other_nodes_first(self):
        table, store, _, listener, peers, _ = make_table()
        table.step()
        assert peers.requested_versions == [None]
        assert store.calls == 0

        table.apply_changes("r1", whole_table(4, a=b"1"), True)
        table.step()

        assert listener.rows == {"a": b"1"}
        assert store.calls == 0

    def test_reads_the_store_if_no_node_answers(self):
        table, store, _, _, _, clock = make_table()
        started_at = clock.elapsed()
        while clock.elapsed() - started_at < START_REQUEST_WINDOW + REQUEST_TIMEOUT:
            clock.advance(table.step())

        assert store.calls

    def test_reads_at_once_if_there_is_no_node_to_request_from(self):
        table, store, *_ = make_table(answers=False)
        table.step()

        assert store.calls == 1

    def test_readers_do_not_count_as_silent_in_the_start_grace(self):
        table, store, _, _, _, clock = make_table()
        table.apply_changes("seed", whole_table(), True)
        while clock.elapsed() < START_GRACE - SILENT:
            clock.advance(table.step())

        assert store.calls == 0


def make_follower(**changes):
    """Return a table that received the whole table some time ago."""
    parts = make_table(**changes)
    table, clock = parts[0], parts[-1]
    table.apply_changes("r1", whole_table(), True)
    clock.advance(START_GRACE)
    table.apply_changes("r1", TableChanges(1, 1, ()), True)
    return parts


class TestFollower:
    """A follower receives updates and reads only changes it would otherwise miss."""

    def test_does_not_call_the_store_while_it_receives_updates(self):
        table, store, _, listener, _, clock = make_follower()
        for number in range(2, 30):
            clock.advance(SILENT / 2)
            table.apply_changes(
                "r1", TableChanges(number - 1, number, (row("a", b"1"),)), True
            )
            table.step()

        assert store.calls == 0
        assert listener.rows == {"a": b"1"}

    def test_reads_while_its_readers_are_silent(self):
        table, store, _, listener, peers, clock = make_follower()
        store.write("a", b"1")
        clock.advance(SILENT)
        table.step()
        table.apply_changes("r1", TableChanges(2, 2, ()), True)
        table.step()

        assert listener.rows == {"a": b"1"}
        assert peers.sources == [Source.NO_READER, Source.UPDATES]

    def test_requests_missed_changes_from_another_node(self):
        table, store, _, listener, peers, _ = make_follower()
        table.apply_changes("r1", TableChanges(5, 6, (row("b", b"2"),)), True)
        table.step()
        assert peers.requested_versions == [1]

        table.apply_changes(
            "r1", TableChanges(1, 6, (row("a", b"1"), row("b", b"2"))), True
        )
        table.step()

        assert listener.rows == {"a": b"1", "b": b"2"}
        assert store.calls == 0

    def test_reads_missed_changes_if_no_node_answers(self):
        table, store, _, listener, _, clock = make_follower()
        store.write("a", b"1")
        table.apply_changes("r1", TableChanges(5, 6, ()), True)
        table.step()
        clock.advance(REQUEST_TIMEOUT)
        table.step()

        assert listener.rows == {"a": b"1"}

    @pytest.mark.parametrize(
        ("elapsed_s", "coalesce_s", "interruptions"),
        [(1.0, 0.3, 1), (0.8, 0.3, 0), (1.5, 1.7, 0), (2.4, 1.7, 1)],
    )
    def test_reads_if_an_announced_change_is_overdue(
        self, elapsed_s, coalesce_s, interruptions
    ):
        """A reader may be cut off from the store without noticing it.

        It then keeps publishing its old version as the current one. A wait interrupted
        too early would cost the calls that coalescing saves.
        """
        table, store, feed, listener, _, clock = make_follower(
            coalesce=timedelta(seconds=coalesce_s)
        )
        store.write("a", b"1")
        assert table.record_version(2, "p1")
        assert not table.record_version(2, "p1")
        clock.advance(timedelta(seconds=elapsed_s))
        table.apply_changes("r1", TableChanges(1, 1, ()), True)
        table.obtain_missing()
        table.step()

        assert feed.interruptions == store.calls == interruptions
        assert listener.rows == ({"a": b"1"} if interruptions else {})

    def test_requests_an_announced_change_from_its_announcers(self):
        table, store, _, listener, peers, clock = make_follower()
        for peer in ("p1", "p2"):
            table.record_version(2, peer)
        for _ in range(8):
            clock.advance(timedelta(seconds=0.1))
            table.apply_changes("r1", TableChanges(1, 1, ()), True)
            table.obtain_missing()
            table.step()
        assert [version for _, version in peers.requests] == [1]

        table.apply_answer(TableChanges(1, 2, (row("a", b"1"),)))
        clock.advance(timedelta(seconds=2))
        table.obtain_missing()

        assert listener.rows == {"a": b"1"}
        assert len(peers.requests) == 1
        assert store.calls == 0

    def test_reads_again_if_a_read_of_an_announced_change_fails(self):
        """A node that tried once kept an old configuration for the rest of a day."""
        table, store, feed, listener, _, clock = make_follower()
        store.write("a", b"1")
        table.record_version(2, "p1")
        feed.is_cut_off = True
        for tenth in range(50):
            feed.is_cut_off = tenth < 30
            clock.advance(timedelta(seconds=0.1))
            table.apply_changes("r1", TableChanges(1, 1, ()), True)
            table.obtain_missing()
            table.step()

        assert listener.rows == {"a": b"1"}

    def test_reads_a_change_announced_while_another_was_missing(self):
        table, store, _, listener, _, clock = make_follower()
        store.write("a", b"1")
        store.write("b", b"2")
        for version in (2, 3):
            table.record_version(version, "p1")
        table.apply_changes("r1", TableChanges(1, 2, (row("a", b"1"),)), True)
        for _ in range(12):
            clock.advance(timedelta(seconds=0.1))
            table.apply_changes("r1", TableChanges(2, 2, ()), True)
            table.obtain_missing()
            table.step()

        assert listener.rows == {"a": b"1", "b": b"2"}

    def test_answer_on_request_does_not_show_that_a_reader_is_active(self):
        """Otherwise a node whose readers are silent would not read the store."""
        table, store, _, listener, _, clock = make_follower()
        store.write("a", b"1")
        clock.advance(SILENT)
        table.apply_answer(TableChanges(1, 1, ()))
        table.step()

        assert listener.rows == {"a": b"1"}

    @pytest.mark.parametrize(
        ("role", "calls"),
        [(Role.RESERVE, 1), (Role.FOLLOWER, 0)],
    )
    def test_only_reserves_read_if_the_readers_are_cut_off(self, role, calls):
        table, store, _, listener, peers, _ = make_follower()
        peers.current_role = role
        table.apply_changes("r1", TableChanges(1, 1, ()), False)
        assert listener.reachability == [False]
        table.step()

        assert store.calls == calls
        assert listener.reachability == ([False, True] if calls else [False])

    def test_may_be_behind_while_cut_off_or_behind(self):
        table, _, _, _, _, _ = make_follower()
        table.apply_changes("r1", TableChanges(1, 1, ()), True)
        assert not table.may_be_behind
        table.apply_changes("r1", TableChanges(1, 1, ()), False)
        assert table.may_be_behind
        table.apply_changes("r1", TableChanges(1, 1, ()), True)
        assert not table.may_be_behind
        table.record_version(2, "p1")
        assert table.may_be_behind
        table.apply_changes("r1", TableChanges(1, 2, ()), True)

        assert not table.may_be_behind

    def test_may_be_behind_until_it_learns_that_a_reader_reaches_the_store(self):
        """A restarted node once called a new route unknown by a copy of unknown age."""
        table, *_ = make_table()
        table.apply_answer(whole_table(1, a=b"1"))
        assert table.may_be_behind

        table.apply_changes("r1", TableChanges(1, 1, ()), True)
        assert not table.may_be_behind

    def test_may_be_behind_while_its_readers_are_silent(self):
        table, *_, clock = make_follower()
        table.apply_changes("r1", TableChanges(1, 1, ()), True)
        clock.advance(SILENT)

        assert table.may_be_behind

    def test_reads_an_announced_change_at_once_if_the_readers_are_cut_off(self):
        table, store, _, listener, _, _ = make_follower()
        store.write("a", b"1")
        table.apply_changes("r1", TableChanges(1, 1, ()), False)
        table.record_version(2, "p1")
        table.step()

        assert listener.rows == {"a": b"1"}

    def test_relies_on_one_reader_that_reaches_the_store(self):
        table, store, _, listener, _, clock = make_follower()
        table.apply_changes("r2", TableChanges(1, 1, ()), False)
        for _ in range(10):
            clock.advance(SILENT / 2)
            table.apply_changes("r1", TableChanges(1, 1, ()), True)
            table.apply_changes("r2", TableChanges(1, 1, ()), False)
            table.step()

        assert store.calls == 0
        assert listener.reachability == []


class TestWitness:
    """A witness finds changes that the readers of a single failure domain miss.

    If both readers lose the store without an error, they report for up to 24 s that
    they reach it, and no other node would read.
    """

    @pytest.mark.parametrize(
        ("domains", "role"), [(1, Role.WITNESS), (2, Role.RESERVE), (3, Role.RESERVE)]
    )
    def test_only_a_single_domain_has_a_witness(self, domains, role):
        vms = [Vm(f"n{index}", f"d{index % domains}", "") for index in range(12)]
        roles = [choose_role(vm, vms) for vm in vms]

        assert roles.count(Role.READER) == 2 * domains
        assert (Role.WITNESS in roles) == (role is Role.WITNESS)
        assert roles.count(Role.RESERVE) == (1 if domains == 1 else 2 * domains)

    def test_a_draining_node_is_not_a_witness(self):
        """The list of nodes no longer has it, and may have only two others."""
        remaining = [Vm(f"n{index}", "d1", "") for index in range(2)]

        assert choose_role(Vm("n9", "d1", ""), remaining) is Role.FOLLOWER

    def test_announces_changes_that_its_readers_miss(self):
        table, store, _, listener, peers, _ = make_table(Role.WITNESS)
        table.apply_changes("r1", whole_table(), True)
        store.write("a", b"1")

        table.step()

        assert listener.rows == {"a": b"1"}
        assert peers.announced_versions == [2]
        assert peers.sources == [Source.WITNESS]
