"""Wall time under jumps of the VM's own clock."""

from datetime import UTC, datetime, timedelta

import pytest

from runhatch_coordination import Claims, commit
from runhatch_coordination.testing import ManualClock, MemoryTable
from runhatch_server.outside import StoreClock

DATE = "Wed, 02 Dec 2026 16:00:00 GMT"
AT = datetime(2026, 12, 2, 16, tzinfo=UTC)
DAY = timedelta(days=1)


class Recording(MemoryTable):
    """Keeps what was written."""

    def __init__(self):
        super().__init__()
        self.writes_seen = []

    def transact(self, writes):
        self.writes_seen += writes
        return super().transact(writes)


class Committer:
    """Commits at once."""

    def __init__(self, table):
        self._table = table

    def commit(self, writes):
        return commit(self._table, writes)


class TestStoreClock:
    """The platform's time, once heard."""

    @pytest.mark.parametrize("jump", [-400 * DAY, -DAY, timedelta(), DAY])
    def test_jumps_change_nothing(self, jump):
        """Whatever the VM's wall clock does, the platform's time goes on."""
        own = ManualClock()
        clock = StoreClock(own)
        clock.hear(DATE)
        own.jump(jump)
        own.advance(timedelta(seconds=10))
        assert clock.now() == AT + timedelta(seconds=10)

    @pytest.mark.parametrize(
        "date", [None, "", "yesterday", "Wed, 02 Dec 2026 16:00:00 -0000"]
    )
    def test_unreadable_dates(self, date):
        """Without a date that can be read the VM's own time is used."""
        own = ManualClock()
        clock = StoreClock(own)
        clock.hear(date)
        assert clock.now() == own.now()

    def test_heard_again(self):
        """Later answers correct what the VM's crystal drifted."""
        own = ManualClock()
        clock = StoreClock(own)
        clock.hear("Wed, 02 Dec 2026 15:00:00 GMT")
        own.advance(timedelta(minutes=1))
        clock.hear(DATE)
        assert clock.now() == AT

    def test_claims_are_kept_their_time(self):
        """A claim made by a VM whose clock is behind is not forgotten early."""
        own = ManualClock()
        own.jump(-3 * DAY)
        clock = StoreClock(own)
        clock.hear(DATE)
        table = Recording()
        Claims(table, Committer(table), "n1", clock, DAY).take("key", "digest")
        assert table.writes_seen[0].expires == AT + DAY
