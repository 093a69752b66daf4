"""Tests for the platform's time under jumps of the VM's wall clock."""

from datetime import UTC, datetime, timedelta

import pytest

from runhatch_coordination import Claims, commit
from runhatch_coordination.testing import ManualClock, MemoryTable
from runhatch_server.external_services import StoreClock

DATE = "Wed, 02 Dec 2026 16:00:00 GMT"
DATE_TIME = datetime(2026, 12, 2, 16, tzinfo=UTC)
DAY = timedelta(days=1)


class RecordingTable(MemoryTable):
    """A table that records all writes."""

    def __init__(self):
        super().__init__()
        self.recorded_writes = []

    def transact(self, writes):
        self.recorded_writes += writes
        return super().transact(writes)


class DirectCommitter:
    """A committer without batching."""

    def __init__(self, table):
        self._table = table

    def commit(self, writes):
        return commit(self._table, writes)


class TestStoreClock:
    """The platform's time, taken from ``Date`` headers."""

    @pytest.mark.parametrize("jump", [-400 * DAY, -DAY, timedelta(), DAY])
    def test_jumps_of_vm_clock_are_ignored(self, jump):
        """Jumps of the VM's wall clock do not change the platform's time."""
        vm_clock = ManualClock()
        clock = StoreClock(vm_clock)
        clock.update_from_date_header(DATE)
        vm_clock.shift_wall_time(jump)
        vm_clock.advance(timedelta(seconds=10))
        assert clock.now() == DATE_TIME + timedelta(seconds=10)

    @pytest.mark.parametrize(
        "date", [None, "", "yesterday", "Wed, 02 Dec 2026 16:00:00 -0000"]
    )
    def test_invalid_dates_are_ignored(self, date):
        """The VM's time is used while no valid ``Date`` has been received."""
        vm_clock = ManualClock()
        clock = StoreClock(vm_clock)
        clock.update_from_date_header(date)
        assert clock.now() == vm_clock.now()

    def test_later_date_corrects_drift(self):
        """A later ``Date`` corrects the drift of the VM's clock."""
        vm_clock = ManualClock()
        clock = StoreClock(vm_clock)
        clock.update_from_date_header("Wed, 02 Dec 2026 15:00:00 GMT")
        vm_clock.advance(timedelta(minutes=1))
        clock.update_from_date_header(DATE)
        assert clock.now() == DATE_TIME

    def test_claim_expires_by_platform_time(self):
        """A claim written by a VM whose clock is days behind does not expire early.

        The claim would be removed at once, and its request could run again.
        """
        vm_clock = ManualClock()
        vm_clock.shift_wall_time(-3 * DAY)
        clock = StoreClock(vm_clock)
        clock.update_from_date_header(DATE)
        table = RecordingTable()
        Claims(table, DirectCommitter(table), "n1", clock, DAY).acquire("key", "digest")
        assert table.recorded_writes[0].expires_at == DATE_TIME + DAY
