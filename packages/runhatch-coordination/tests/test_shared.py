"""A watched table that few nodes read: who reads when, and what nobody misses."""

from datetime import timedelta

import pytest
from shared_cases import SILENT, make_table, row, told_whole

from runhatch_coordination import Role, Source, TableChanges, Vm, role_of
from runhatch_coordination._shared import ASK_EVERY, START_GRACE, START_PATIENCE


class TestReader:
    """A reader reads, and tells each change once."""

    def test_it_tells_what_it_reads(self):
        table, store, _, kept, peers, _ = make_table(Role.READER, answers=False)
        store.write("a", b"1")
        table.step()
        store.write("b", b"2")
        table.step()
        table.step()

        assert kept.rows == {"a": b"1", "b": b"2"}
        assert [changes.version for changes in peers.published] == [2, 3]
        assert peers.published[1] == TableChanges(2, 3, (row("b", b"2"),))
        assert peers.noticed == [2, 3]
        assert table.unchanged == TableChanges(3, 3, ())

    def test_it_tells_that_it_is_cut_off(self):
        table, _, feed, kept, _, _ = make_table(Role.READER, answers=False)
        table.step()
        feed.cut = True
        table.step()
        assert not table.reachable

        feed.cut = False
        table.step()
        assert table.reachable
        assert kept.reach == [False, True]


class TestStart:
    """Nodes that start together do not all read the store."""

    def test_others_are_asked_first(self):
        table, store, _, kept, peers, _ = make_table()
        table.step()
        assert peers.asked == [None]
        assert store.calls == 0

        table.told("r1", told_whole(4, a=b"1"), True)
        table.step()

        assert kept.rows == {"a": b"1"}
        assert store.calls == 0

    def test_the_store_is_read_if_nobody_answers(self):
        table, store, _, _, _, clock = make_table()
        begun = clock.elapsed()
        while clock.elapsed() - begun < START_PATIENCE + ASK_EVERY:
            clock.advance(table.step())

        assert store.calls

    def test_a_node_that_nobody_could_answer_reads_at_once(self):
        table, store, *_ = make_table(answers=False)
        table.step()

        assert store.calls == 1

    def test_readers_are_met_before_they_count_as_silent(self):
        table, store, _, _, _, clock = make_table()
        table.told("seed", told_whole(), True)
        while clock.elapsed() < START_GRACE - SILENT:
            clock.advance(table.step())

        assert store.calls == 0


def make_follower(**changes):
    """Return a table that was told the whole some time ago."""
    made = make_table(**changes)
    table, clock = made[0], made[-1]
    table.told("r1", told_whole(), True)
    clock.advance(START_GRACE)
    table.told("r1", TableChanges(1, 1, ()), True)
    return made


class TestFollower:
    """It is told, and reads only what it would otherwise miss."""

    def test_it_makes_no_call(self):
        table, store, _, kept, _, clock = make_follower()
        for number in range(2, 30):
            clock.advance(SILENT / 2)
            table.told("r1", TableChanges(number - 1, number, (row("a", b"1"),)), True)
            table.step()

        assert store.calls == 0
        assert kept.rows == {"a": b"1"}

    def test_it_reads_when_its_readers_are_silent(self):
        table, store, _, kept, peers, clock = make_follower()
        store.write("a", b"1")
        clock.advance(SILENT)
        table.step()
        table.told("r1", TableChanges(2, 2, ()), True)
        table.step()

        assert kept.rows == {"a": b"1"}
        assert peers.sources == [Source.SILENT, Source.TOLD]

    def test_it_asks_for_what_it_missed(self):
        table, store, _, kept, peers, _ = make_follower()
        table.told("r1", TableChanges(5, 6, (row("b", b"2"),)), True)
        table.step()
        assert peers.asked == [1]

        table.told("r1", TableChanges(1, 6, (row("a", b"1"), row("b", b"2"))), True)
        table.step()

        assert kept.rows == {"a": b"1", "b": b"2"}
        assert store.calls == 0

    def test_it_reads_what_nobody_tells(self):
        table, store, _, kept, _, clock = make_follower()
        store.write("a", b"1")
        table.told("r1", TableChanges(5, 6, ()), True)
        table.step()
        clock.advance(ASK_EVERY)
        table.step()

        assert kept.rows == {"a": b"1"}

    def test_it_reads_once_what_is_overdue(self):
        """A reader may be cut off from the store without noticing it."""
        table, store, _, kept, _, clock = make_follower()
        store.write("a", b"1")
        assert table.noticed(2)
        assert not table.noticed(2)
        for _ in range(6):
            clock.advance(timedelta(seconds=0.25))
            table.told("r1", TableChanges(1, 1, ()), True)
            table.check()
            table.step()

        assert kept.rows == {"a": b"1"}
        assert store.calls == 1

    @pytest.mark.parametrize(
        ("role", "calls"),
        [(Role.RESERVE, 1), (Role.FOLLOWER, 0)],
    )
    def test_readers_that_are_cut_off_are_replaced_by_few(self, role, calls):
        table, store, _, kept, peers, _ = make_follower()
        peers.now = role
        table.told("r1", TableChanges(1, 1, ()), False)
        assert kept.reach == [False]
        table.step()

        assert store.calls == calls
        assert kept.reach == ([False, True] if calls else [False])

    def test_a_notice_is_followed_at_once_if_the_readers_are_cut_off(self):
        table, store, _, kept, _, _ = make_follower()
        store.write("a", b"1")
        table.told("r1", TableChanges(1, 1, ()), False)
        table.noticed(2)
        table.step()

        assert kept.rows == {"a": b"1"}

    def test_one_reader_of_two_is_enough(self):
        table, store, _, kept, _, clock = make_follower()
        table.told("r2", TableChanges(1, 1, ()), False)
        for _ in range(10):
            clock.advance(SILENT / 2)
            table.told("r1", TableChanges(1, 1, ()), True)
            table.told("r2", TableChanges(1, 1, ()), False)
            table.step()

        assert store.calls == 0
        assert kept.reach == []


class TestWitness:
    """Two readers of the only failure domain lost the store in silence.

    They said for up to 24 s that they reach it, and nobody else looked.
    """

    @pytest.mark.parametrize(
        ("domains", "role"), [(1, Role.WITNESS), (2, Role.RESERVE), (3, Role.RESERVE)]
    )
    def test_a_single_domain_has_one(self, domains, role):
        vms = [Vm(f"n{index}", f"d{index % domains}", "") for index in range(12)]
        roles = [role_of(vm, vms) for vm in vms]

        assert roles.count(Role.READER) == 2 * domains
        assert (Role.WITNESS in roles) == (role is Role.WITNESS)
        assert roles.count(Role.RESERVE) == (1 if domains == 1 else 2 * domains)

    def test_a_node_that_leaves_is_none(self):
        """It no longer counts itself, and two others may be left."""
        left = [Vm(f"n{index}", "d1", "") for index in range(2)]

        assert role_of(Vm("n9", "d1", ""), left) is Role.FOLLOWER

    def test_it_tells_of_changes_that_its_readers_miss(self):
        table, store, _, kept, peers, _ = make_table(Role.WITNESS)
        table.told("r1", told_whole(), True)
        store.write("a", b"1")

        table.step()

        assert kept.rows == {"a": b"1"}
        assert peers.noticed == [2]
        assert peers.sources == [Source.WITNESS]
