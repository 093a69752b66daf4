"""Committing while answers are lost."""

import pytest

from runhatch_coordination import (
    Committed,
    Conflict,
    Key,
    Put,
    Row,
    Unavailable,
    Unknown,
    commit,
)
from runhatch_coordination.testing import FaultyTable, MemoryTable, TableFault

KEY = Key("p", "s")


@pytest.fixture
def table():
    return FaultyTable(MemoryTable())


class TestCommit:
    """One writer and a table that loses things."""

    @pytest.mark.parametrize(
        ("fault", "count", "outcome"),
        [
            (TableFault.NONE, 0, Committed),
            (TableFault.LOSE_ANSWER, 1, Committed),
            (TableFault.LOSE_ANSWER, 2, Committed),
            (TableFault.LOSE_REQUEST, 1, Committed),
            (TableFault.LOSE_REQUEST, 9, Unknown),
            (TableFault.DOWN, 9, Unavailable),
        ],
    )
    def test_settles_lost_answers(self, table, fault, count, outcome):
        """A lost answer is settled by sending again and reading back."""
        table.inject(fault, count)
        assert isinstance(commit(table, [Put(KEY, b"mine", 0)]), outcome)

    def test_sees_another_writer(self, table):
        """A conflict with somebody else's row is not taken for one's own write."""
        commit(table, [Put(KEY, b"theirs", 0)])
        table.inject(TableFault.LOSE_ANSWER, 1)
        assert commit(table, [Put(KEY, b"mine", 0)]) == Conflict((0,))

    def test_does_not_guess_once_overwritten(self, table):
        """If the evidence was overwritten the outcome stays unknown."""
        inner = table._table
        commit(table, [Put(KEY, b"mine", 0)])
        inner.transact([Put(KEY, b"later", 1)])
        outcome = commit(table, [Put(KEY, b"mine", 0)], lost=True)
        assert isinstance(outcome, Unknown)

    def test_writes_once(self, table):
        """A write sent again after a lost answer does not take effect twice."""
        table.inject(TableFault.LOSE_ANSWER, 2)
        commit(table, [Put(KEY, b"mine", 0)])
        found = table.get(KEY)
        assert isinstance(found, Row)
        assert found.version == 1
