"""Tests of commits with lost answers."""

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
    """One writer and a table that loses requests and answers."""

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
    def test_lost_answer_is_resolved(self, table, fault, count, outcome):
        """A lost answer is resolved by resending and reading back."""
        table.inject(fault, count)
        assert isinstance(commit(table, [Put(KEY, b"mine", 0)]), outcome)

    def test_row_of_another_writer_is_a_conflict(self, table):
        """A row of another writer must not be mistaken for this write."""
        commit(table, [Put(KEY, b"theirs", 0)])
        table.inject(TableFault.LOSE_ANSWER, 1)
        assert commit(table, [Put(KEY, b"mine", 0)]) == Conflict((0,))

    def test_outcome_is_unknown_after_an_overwrite(self, table):
        """The outcome cannot be read back once the row was overwritten."""
        inner = table._table
        commit(table, [Put(KEY, b"mine", 0)])
        inner.transact([Put(KEY, b"later", 1)])
        outcome = commit(table, [Put(KEY, b"mine", 0)], is_answer_lost=True)
        assert isinstance(outcome, Unknown)

    def test_resent_write_takes_effect_once(self, table):
        """Resending a write after a lost answer must not apply it twice."""
        table.inject(TableFault.LOSE_ANSWER, 2)
        commit(table, [Put(KEY, b"mine", 0)])
        found = table.get(KEY)
        assert isinstance(found, Row)
        assert found.version == 1
