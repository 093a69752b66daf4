"""The table in memory, where it comes back from an older copy."""

import pytest

from runhatch_coordination import (
    ABSENT,
    Check,
    Committed,
    Conflict,
    Delete,
    Key,
    Put,
    Unknown,
    commit,
    store_version,
)
from runhatch_coordination.testing import FaultyTable, MemoryTable, TableFault

KEY = Key("p", "s")
FORMED = 2
"""The version that a condition of before the step back names."""


@pytest.fixture
def table():
    table = MemoryTable()
    table.transact([Put(KEY, b"first", ABSENT)])
    return table


class TestRestored:
    """Versions and conditions after a step back."""

    @pytest.mark.parametrize(
        "write", [Put(KEY, b"mine", FORMED), Delete(KEY, FORMED), Check(KEY, FORMED)]
    )
    def test_none_holds_at_the_same_count_of_another_era(self, table, write):
        table.copy()
        table.transact([Put(KEY, b"lost", FORMED - 1)])
        table.restore()
        read = table.get(KEY).version
        assert table.transact([Put(KEY, b"theirs", read)]) == Committed()

        assert table.transact([write]) == Conflict((0,))
        assert table.get(KEY).body == b"theirs"

    def test_one_holds_on_the_row_that_it_was_formed_on(self, table):
        table.copy()
        table.restore()
        assert table.transact([Put(KEY, b"second", 1)]) == Committed()

    def test_versions_read_later_are_higher(self, table):
        table.copy()
        for version in range(1, 5):
            table.transact([Put(KEY, b"lost", version)])
        before = table.get(KEY).version
        table.restore()

        found = table.get(KEY).version

        assert found == store_version(1, 1) > before
        assert table.query("p")[0].version == found
        assert table.transact([Put(KEY, b"x", found)]) == Committed()
        assert table.transact([Put(KEY, b"y", found + 1)]) == Committed()

    def test_who_created_a_row_counts_on(self, table):
        table.restore()
        assert table.transact([Put(KEY, b"a", ABSENT)]) == Committed()
        assert table.transact([Put(KEY, b"b", 1)]) == Committed()
        assert table.transact([Put(KEY, b"c", 2)]) == Committed()
        assert table.get(KEY).version == store_version(1, 3)

    @pytest.mark.parametrize(
        ("expect", "outcome"), [(ABSENT, Committed), (1, Committed), (2, Conflict)]
    )
    def test_lost_answers_are_settled_in_a_later_era(self, expect, outcome):
        memory = MemoryTable()
        memory.restore()
        table = FaultyTable(memory)
        if expect != ABSENT:
            table.transact([Put(KEY, b"first", ABSENT)])
        table.inject(TableFault.LOSE_ANSWER, 1)
        settled = commit(table, [Put(KEY, b"mine", expect)])
        assert isinstance(settled, outcome)

    def test_a_lost_answer_of_another_era_is_not_known_to_hold(self, table):
        """Its evidence may have been of a row that is gone."""
        table.restore()
        table.transact([Put(KEY, b"a", ABSENT)])
        formed = table.get(KEY).version
        table.copy()
        table.restore()
        table.transact([Put(KEY, b"theirs", table.get(KEY).version)])
        found = commit(table, [Put(KEY, b"mine", formed)], lost=True)
        assert isinstance(found, Unknown)
