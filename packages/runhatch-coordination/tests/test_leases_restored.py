"""Leases whose table comes back from an older copy, or whose news overtake it."""

from datetime import timedelta

import pytest
from lease_cases import TTL, Contest, SlowTable, guarded_write

from runhatch_coordination import Committed, Lease, LeaseChange, Vacancy, fence_of
from runhatch_coordination.testing import TableFault


@pytest.fixture
def contest():
    return Contest()


class TestRestored:
    """The table comes back from an older copy."""

    def test_the_holder_goes_on_with_a_higher_fence(self, contest):
        contest.memory.copy()
        before = contest.acquire("a")
        contest.restore("a")

        assert contest.acquire("a") > before
        assert contest.leases["a"].takeover.vacancy is Vacancy.KEPT
        assert guarded_write(contest, "a", contest.leases["a"].held()) == Committed()

    def test_another_waits_until_the_holder_has_surely_stopped(self, contest):
        contest.step("b")
        contest.memory.copy()
        contest.leases["b"].release()
        before = contest.acquire("a")
        contest.restore()

        # The copy names b as the holder, and a has not heard of the step back.
        contest.step("b")
        contest.advance(3)
        contest.step("b")
        assert contest.holders() == ["a"]

        contest.advance(5)
        assert contest.acquire("b") > before
        assert contest.holders() == ["b"]
        assert contest.leases["b"].takeover.vacancy is Vacancy.RESTORED
        assert contest.leases["b"].takeover.is_from_another

    def test_who_held_it_waits_for_another_that_was_quicker(self, contest):
        contest.tables["b"].learn_era()
        contest.memory.copy()
        contest.step("a")
        contest.restore()
        contest.step("b")
        contest.advance(8)
        assert contest.step("b") is LeaseChange.ACQUIRED

        assert contest.step("a") is LeaseChange.LOST
        assert contest.step("a") is LeaseChange.NONE
        assert contest.holders() == ["b"]

    def test_fences_rise_over_many_copies(self, contest):
        contest.memory.copy()
        numbers = []
        for _ in range(5):
            numbers.append(contest.acquire("a"))
            contest.restore("a")
        assert numbers == sorted(set(numbers))

    def test_a_table_that_came_back_before_the_first_look_is_waited_for(self, contest):
        contest.memory.era = 3

        assert contest.step("a") is LeaseChange.NONE
        contest.advance(TTL.total_seconds())
        assert contest.step("a") is LeaseChange.NONE
        contest.advance(TTL.total_seconds() * 0.3)
        assert contest.acquire("a") == fence_of(3, 1)


class TestRestoredUnseen:
    """Nodes that ask the table for the first time after it came back."""

    def test_a_first_look_counts_no_fence_of_an_earlier_era(self, contest):
        contest.memory.copy()
        contest.acquire("a")
        contest.restore("a")
        before = contest.acquire("a")
        contest.leases["a"].release()

        assert contest.acquire("b") > before

    @pytest.mark.parametrize("copied", ["nobody", "given up", "own", "resigned"])
    def test_a_copy_names_no_last_holder(self, contest, copied):
        if copied != "nobody":
            former = "b" if copied == "own" else "a"
            epoch = contest.acquire(former)
            if copied == "resigned":
                contest.leases["b"].observe_resigned(epoch)
            if copied == "given up":
                contest.leases[former].release()
            contest.memory.copy()
            contest.leases[former].release()
        contest.start("a")
        before = contest.acquire("a")
        contest.restore()
        if copied != "resigned":
            contest.start("b")

        assert contest.step("b") is LeaseChange.NONE
        assert contest.holders() == ["a"]

        contest.advance(TTL.total_seconds() * 1.3)
        assert contest.acquire("b") > before
        assert contest.holders() == ["b"]

    def test_who_held_it_has_no_claim_once_its_right_has_lapsed(self, contest):
        contest.memory.copy()
        contest.acquire("a")
        contest.tables["a"].inject(TableFault.DOWN)
        contest.restore("a")
        assert contest.step("a") is LeaseChange.LOST
        contest.step("b")
        contest.advance(TTL.total_seconds() * 1.3)
        contest.acquire("b")

        contest.tables["a"].inject(TableFault.NONE, 0)
        assert contest.step("a") is LeaseChange.NONE
        assert contest.holders() == ["b"]

    def test_a_right_that_has_lapsed_since_is_no_claim(self, contest):
        contest.memory.copy()
        contest.acquire("a")
        contest.tables["a"].inject(TableFault.DOWN)
        contest.restore("a")
        assert contest.step("a") is LeaseChange.LOST
        contest.advance(TTL.total_seconds())
        contest.tables["a"].inject(TableFault.NONE, 0)

        assert contest.step("a") is LeaseChange.NONE

    def test_a_holder_is_not_timed_from_before_the_table_came_back(self, contest):
        """The copy lacks its last renewal, and shows the row as it was seen before."""
        contest.step("a")
        contest.memory.copy()
        contest.step("b")
        contest.advance(4)
        contest.step("a")
        contest.restore("b")
        contest.step("b")

        contest.advance(4)
        assert contest.step("b") is LeaseChange.NONE
        assert contest.holders() == ["a"]

    def test_what_was_acquired_before_the_table_came_back_is_not_held(self, contest):
        """The row is gone, and another may acquire as after any step back."""
        table = SlowTable(contest.memory, contest.clocks["a"])
        lease = Lease(table, contest.clocks["a"], "shard", "a", TTL)

        def come_back():
            contest.restore()
            table.learn_era()
            table.after_write = lambda: None

        table.after_write = come_back

        assert lease.step() is LeaseChange.NONE
        assert lease.held() is None


class TestNewerEpoch:
    """A node hears of a newer epoch than the table has told it of."""

    def test_a_holder_acts_no_longer(self, contest):
        epoch = contest.acquire("a")

        contest.leases["a"].observe(epoch + 1, 0)

        assert contest.holders() == []
        assert contest.leases["a"].left() == timedelta()
        assert contest.step("a") is LeaseChange.LOST

    def test_its_own_epoch_is_no_newer_one(self, contest):
        epoch = contest.acquire("a")

        contest.leases["a"].observe(epoch, 3)

        assert contest.holders() == ["a"]

    def test_no_fence_is_taken_that_is_not_above_it(self, contest):
        contest.leases["a"].observe(fence_of(1, 3), 0)

        assert contest.step("a") is LeaseChange.BEHIND
        assert contest.holders() == []
