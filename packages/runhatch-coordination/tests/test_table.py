"""The table in memory after a restoration from an older copy."""

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
OLD_VERSION = 2
"""The version in conditions that were formed before the restoration."""


@pytest.fixture
def table():
    table = MemoryTable()
    table.transact([Put(KEY, b"first", ABSENT)])
    return table


class TestRestored:
    """Versions and conditions after a restoration."""

    @pytest.mark.parametrize(
        "write",
        [
            Put(KEY, b"mine", OLD_VERSION),
            Delete(KEY, OLD_VERSION),
            Check(KEY, OLD_VERSION),
        ],
    )
    def test_a_condition_fails_for_a_row_rewritten_in_another_era(self, table, write):
        table.save_copy()
        table.transact([Put(KEY, b"lost", OLD_VERSION - 1)])
        table.restore_copy()
        read = table.get(KEY).version
        assert table.transact([Put(KEY, b"theirs", read)]) == Committed()

        assert table.transact([write]) == Conflict((0,))
        assert table.get(KEY).body == b"theirs"

    def test_a_condition_holds_for_the_row_it_was_formed_on(self, table):
        table.save_copy()
        table.restore_copy()
        assert table.transact([Put(KEY, b"second", 1)]) == Committed()

    def test_versions_read_after_a_restoration_are_higher(self, table):
        table.save_copy()
        for version in range(1, 5):
            table.transact([Put(KEY, b"lost", version)])
        previous = table.get(KEY).version
        table.restore_copy()

        found = table.get(KEY).version

        assert found == store_version(1, 1) > previous
        assert table.query("p")[0].version == found
        assert table.transact([Put(KEY, b"x", found)]) == Committed()
        assert table.transact([Put(KEY, b"y", found + 1)]) == Committed()

    def test_the_creator_of_a_row_may_count_versions_from_one(self, table):
        table.restore_copy()
        assert table.transact([Put(KEY, b"a", ABSENT)]) == Committed()
        assert table.transact([Put(KEY, b"b", 1)]) == Committed()
        assert table.transact([Put(KEY, b"c", 2)]) == Committed()
        assert table.get(KEY).version == store_version(1, 3)

    @pytest.mark.parametrize(
        ("expect", "outcome"), [(ABSENT, Committed), (1, Committed), (2, Conflict)]
    )
    def test_a_lost_answer_is_resolved_in_a_later_era(self, expect, outcome):
        memory = MemoryTable()
        memory.restore_copy()
        table = FaultyTable(memory)
        if expect != ABSENT:
            table.transact([Put(KEY, b"first", ABSENT)])
        table.inject(TableFault.LOSE_ANSWER, 1)
        resolved = commit(table, [Put(KEY, b"mine", expect)])
        assert isinstance(resolved, outcome)

    def test_a_lost_answer_of_an_earlier_era_stays_unknown(self, table):
        """The row that would show the outcome may be lost by the restoration."""
        table.restore_copy()
        table.transact([Put(KEY, b"a", ABSENT)])
        expected = table.get(KEY).version
        table.save_copy()
        table.restore_copy()
        table.transact([Put(KEY, b"theirs", table.get(KEY).version)])
        found = commit(table, [Put(KEY, b"mine", expected)], is_answer_lost=True)
        assert isinstance(found, Unknown)
