"""A copy of a table that applies changes from several sources, each once."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from runhatch_coordination import Entry, OfferOutcome, TableChanges, TableReplica
from runhatch_coordination._replica import MAX_REMOVED_ROWS


class TableListener:
    """A listener that stores the rows and records its calls."""

    def __init__(self):
        self.rows = {}
        self.calls = []

    def replace_entries(self, entries):
        self.calls.append("listed")
        self.rows = {e.key: e.value for e in entries if e.value is not None}

    def apply_entries(self, entries):
        self.calls.append("changed")
        for entry in entries:
            if entry.value is None:
                self.rows.pop(entry.key, None)
            else:
                self.rows[entry.key] = entry.value


def rows(**values):
    return tuple(
        Entry(key, None if value is None else value.encode())
        for key, value in values.items()
    )


def make_replica(version=10, **values):
    listener = TableListener()
    replica = TableReplica(listener)
    replica.offer(TableChanges(0, version, rows(**values), is_whole=True))
    return replica, listener


class TestOffer:
    """New changes are applied; known ones and those after a gap are not."""

    @pytest.mark.parametrize(
        ("after", "version", "whole", "outcome", "known"),
        [
            pytest.param(10, 12, False, OfferOutcome.APPLIED, 12, id="next"),
            pytest.param(7, 12, False, OfferOutcome.APPLIED, 12, id="overlapping"),
            pytest.param(7, 10, False, OfferOutcome.KNOWN, 10, id="known"),
            pytest.param(7, 9, False, OfferOutcome.KNOWN, 10, id="older"),
            pytest.param(11, 12, False, OfferOutcome.GAP, 10, id="gap"),
            pytest.param(0, 12, True, OfferOutcome.APPLIED, 12, id="whole table"),
            pytest.param(0, 9, True, OfferOutcome.KNOWN, 10, id="older whole table"),
        ],
    )
    def test_outcome_depends_on_the_versions(
        self, after, version, whole, outcome, known
    ):
        replica, listener = make_replica(a="1")

        offered = replica.offer(TableChanges(after, version, rows(b="2"), whole))

        assert offered is outcome
        assert replica.version == known
        assert ("b" in listener.rows) is (outcome is OfferOutcome.APPLIED)

    def test_changes_before_the_first_whole_table_are_a_gap(self):
        listener = TableListener()
        replica = TableReplica(listener)

        assert replica.offer(TableChanges(0, 3, rows(a="1"))) is OfferOutcome.GAP
        assert replica.version is None
        assert replica.empty_changes is None

    def test_a_version_without_rows_does_not_call_the_listener(self):
        replica, listener = make_replica(a="1")
        listener.calls.clear()

        assert replica.offer(TableChanges(10, 14, ())) is OfferOutcome.APPLIED

        assert replica.version == 14
        assert replica.empty_changes == TableChanges(10, 14, ())
        assert listener.calls == []


class TestSince:
    """Changes are returned as far back as removed rows are remembered."""

    def test_returns_changed_and_removed_rows(self):
        replica, _ = make_replica(a="1", b="2", c="3")
        replica.offer(TableChanges(10, 11, rows(a="9")))
        replica.offer(TableChanges(11, 12, rows(b=None)))

        assert replica.changes_since(10) == TableChanges(10, 12, rows(a="9", b=None))
        assert replica.changes_since(11) == TableChanges(11, 12, rows(b=None))
        assert replica.changes_since(12) == TableChanges(12, 12, ())

    @pytest.mark.parametrize("version", [None, 9])
    def test_returns_the_whole_table_for_an_unknown_version(self, version):
        replica, _ = make_replica(a="1", b="2")

        assert replica.changes_since(version) == TableChanges(
            0, 10, rows(a="1", b="2"), is_whole=True
        )

    def test_returns_the_difference_after_a_new_listing(self):
        """After the store has dropped its history, followers need no whole table."""
        replica, _ = make_replica(a="1", b="2", c="3")
        replica.offer(TableChanges(0, 20, rows(a="1", b="5"), is_whole=True))

        assert replica.changes_since(10) == TableChanges(10, 20, rows(b="5", c=None))

    def test_the_oldest_removed_rows_are_forgotten(self):
        many = {f"k{i}": "1" for i in range(MAX_REMOVED_ROWS + 1)}
        replica, _ = make_replica(**many)
        for index, key in enumerate(many):
            replica.offer(TableChanges(10 + index, 11 + index, rows(**{key: None})))

        assert replica.changes_since(10).is_whole
        assert not replica.changes_since(11).is_whole


class TestAnyOrder:
    """Copies that receive offers in any order become equal and never go back."""

    @given(
        edits=st.lists(
            st.tuples(st.sampled_from("abcd"), st.sampled_from([None, "1", "2"])),
            min_size=1,
            max_size=12,
        ),
        offers=st.lists(
            st.tuples(st.integers(0, 12), st.integers(0, 12), st.booleans()),
            max_size=20,
        ),
    )
    def test_copies_at_one_version_are_equal(self, edits, offers):
        """Offers are spans of the table's history, or whole tables at a version."""
        states = [{}]
        for key, value in edits:
            state = dict(states[-1])
            state.pop(key, None)
            if value is not None:
                state[key] = value.encode()
            states.append(state)
        replica, listener = make_replica(version=0)
        last_version = 0
        for first, last, whole in offers:
            first, last = sorted((first % len(states), last % len(states)))
            if whole:
                entries = tuple(Entry(k, v) for k, v in states[last].items())
            else:
                changed_keys = {key for key, _ in edits[first:last]}
                entries = tuple(
                    Entry(k, states[last].get(k)) for k in sorted(changed_keys)
                )
            replica.offer(TableChanges(first, last, entries, whole))

            assert replica.version >= last_version
            last_version = replica.version
            assert listener.rows == states[last_version]
            for version in range(last_version + 1):
                other, other_listener = make_replica(version=0)
                old = tuple(Entry(k, v) for k, v in states[version].items())
                other.offer(TableChanges(0, version, old, is_whole=True))
                other.offer(replica.changes_since(version))
                assert other_listener.rows == listener.rows
