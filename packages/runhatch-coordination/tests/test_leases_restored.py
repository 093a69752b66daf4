"""Tests of leases after the table is restored from an older copy.

Also covers reports of epochs newer than those read from the table.
"""

from datetime import timedelta

import pytest
from lease_cases import TTL, Contenders, SlowTable, write_guarded

from runhatch_coordination import Committed, Lease, LeaseChange, Vacancy, fence_of
from runhatch_coordination.testing import TableFault


@pytest.fixture
def contenders():
    return Contenders()


class TestRestored:
    """Nodes that used the table before it was restored from an older copy."""

    def test_holder_reacquires_with_a_higher_fence(self, contenders):
        contenders.memory.save_copy()
        before = contenders.acquire("a")
        contenders.restore("a")

        assert contenders.acquire("a") > before
        assert contenders.leases["a"].takeover.vacancy is Vacancy.OWN_PROCESS
        assert (
            write_guarded(contenders, "a", contenders.leases["a"].held_epoch())
            == Committed()
        )

    def test_challenger_waits_until_the_holder_has_expired(self, contenders):
        contenders.step("b")
        contenders.memory.save_copy()
        contenders.leases["b"].release()
        before = contenders.acquire("a")
        contenders.restore()

        # The copy names b as the holder, and a does not know of the restore yet.
        contenders.step("b")
        contenders.advance(3)
        contenders.step("b")
        assert contenders.holders() == ["a"]

        contenders.advance(5)
        assert contenders.acquire("b") > before
        assert contenders.holders() == ["b"]
        assert contenders.leases["b"].takeover.vacancy is Vacancy.RESTORED
        assert contenders.leases["b"].takeover.is_from_other_node

    def test_previous_holder_waits_for_a_faster_challenger(self, contenders):
        contenders.tables["b"].update_era()
        contenders.memory.save_copy()
        contenders.step("a")
        contenders.restore()
        contenders.step("b")
        contenders.advance(8)
        assert contenders.step("b") is LeaseChange.ACQUIRED

        assert contenders.step("a") is LeaseChange.LOST
        assert contenders.step("a") is LeaseChange.NONE
        assert contenders.holders() == ["b"]

    def test_fences_increase_over_repeated_restores(self, contenders):
        contenders.memory.save_copy()
        numbers = []
        for _ in range(5):
            numbers.append(contenders.acquire("a"))
            contenders.restore("a")
        assert numbers == sorted(set(numbers))

    def test_challenger_waits_if_the_table_was_restored_before_its_first_read(
        self, contenders
    ):
        contenders.memory.era = 3

        assert contenders.step("a") is LeaseChange.NONE
        contenders.advance(TTL.total_seconds())
        assert contenders.step("a") is LeaseChange.NONE
        contenders.advance(TTL.total_seconds() * 0.3)
        assert contenders.acquire("a") == fence_of(3, 1)


class TestRestoredBeforeFirstRead:
    """Nodes that first read the table after it was restored."""

    def test_first_fence_exceeds_those_of_earlier_eras(self, contenders):
        contenders.memory.save_copy()
        contenders.acquire("a")
        contenders.restore("a")
        before = contenders.acquire("a")
        contenders.leases["a"].release()

        assert contenders.acquire("b") > before

    @pytest.mark.parametrize("copied", ["nobody", "given up", "own", "resigned"])
    def test_restored_row_does_not_identify_the_last_holder(self, contenders, copied):
        if copied != "nobody":
            first_holder = "b" if copied == "own" else "a"
            epoch = contenders.acquire(first_holder)
            if copied == "resigned":
                contenders.leases["b"].observe_resignation(epoch)
            if copied == "given up":
                contenders.leases[first_holder].release()
            contenders.memory.save_copy()
            contenders.leases[first_holder].release()
        contenders.restart("a")
        before = contenders.acquire("a")
        contenders.restore()
        if copied != "resigned":
            contenders.restart("b")

        assert contenders.step("b") is LeaseChange.NONE
        assert contenders.holders() == ["a"]

        contenders.advance(TTL.total_seconds() * 1.3)
        assert contenders.acquire("b") > before
        assert contenders.holders() == ["b"]

    def test_expired_previous_holder_does_not_replace_the_new_holder(self, contenders):
        contenders.memory.save_copy()
        contenders.acquire("a")
        contenders.tables["a"].inject(TableFault.DOWN)
        contenders.restore("a")
        assert contenders.step("a") is LeaseChange.LOST
        contenders.step("b")
        contenders.advance(TTL.total_seconds() * 1.3)
        contenders.acquire("b")

        contenders.tables["a"].inject(TableFault.NONE, 0)
        assert contenders.step("a") is LeaseChange.NONE
        assert contenders.holders() == ["b"]

    def test_previous_holder_waits_after_its_own_expiry(self, contenders):
        contenders.memory.save_copy()
        contenders.acquire("a")
        contenders.tables["a"].inject(TableFault.DOWN)
        contenders.restore("a")
        assert contenders.step("a") is LeaseChange.LOST
        contenders.advance(TTL.total_seconds())
        contenders.tables["a"].inject(TableFault.NONE, 0)

        assert contenders.step("a") is LeaseChange.NONE

    def test_expiry_is_not_measured_from_before_the_restore(self, contenders):
        """A challenger could take over a valid lease after a restore.

        The copy lacks the last renewal, so its row equals the one seen before.
        """
        contenders.step("a")
        contenders.memory.save_copy()
        contenders.step("b")
        contenders.advance(4)
        contenders.step("a")
        contenders.restore("b")
        contenders.step("b")

        contenders.advance(4)
        assert contenders.step("b") is LeaseChange.NONE
        assert contenders.holders() == ["a"]

    def test_acquisition_undone_by_a_restore_is_not_held(self, contenders):
        """The restore removes the acquired row, so another node may acquire."""
        table = SlowTable(contenders.memory, contenders.clocks["a"])
        lease = Lease(table, contenders.clocks["a"], "shard", "a", TTL)

        def restore_table():
            contenders.restore()
            table.update_era()
            table.after_write = lambda: None

        table.after_write = restore_table

        assert lease.step() is LeaseChange.NONE
        assert lease.held_epoch() is None


class TestNewerEpoch:
    """A node receives reports of a newer epoch than it has read."""

    def test_holder_loses_the_lease_to_a_newer_epoch(self, contenders):
        epoch = contenders.acquire("a")

        contenders.leases["a"].observe_renewal(epoch + 1, 0)

        assert contenders.holders() == []
        assert contenders.leases["a"].remaining_validity() == timedelta()
        assert contenders.step("a") is LeaseChange.LOST

    def test_report_of_its_own_epoch_does_not_end_the_lease(self, contenders):
        epoch = contenders.acquire("a")

        contenders.leases["a"].observe_renewal(epoch, 3)

        assert contenders.holders() == ["a"]

    def test_fence_below_a_reported_epoch_is_not_acquired(self, contenders):
        contenders.leases["a"].observe_renewal(fence_of(1, 3), 0)

        assert contenders.step("a") is LeaseChange.TABLE_BEHIND
        assert contenders.holders() == []
