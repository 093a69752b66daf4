"""A copy of a table that takes changes from several sources, each once."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from runhatch_coordination import Entry, Offer, TableChanges, TableReplica
from runhatch_coordination._replica import MOST_REMOVED


class Kept:
    """A listener that keeps the rows it is told."""

    def __init__(self):
        self.rows = {}
        self.calls = []

    def listed(self, entries):
        self.calls.append("listed")
        self.rows = {e.key: e.value for e in entries if e.value is not None}

    def changed(self, entries):
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
    kept = Kept()
    replica = TableReplica(kept)
    replica.offer(TableChanges(0, version, rows(**values), whole=True))
    return replica, kept


class TestOffer:
    """What is new is taken, what is old or does not follow is not."""

    @pytest.mark.parametrize(
        ("after", "version", "whole", "outcome", "known"),
        [
            pytest.param(10, 12, False, Offer.TAKEN, 12, id="next"),
            pytest.param(7, 12, False, Offer.TAKEN, 12, id="overlapping"),
            pytest.param(7, 10, False, Offer.KNOWN, 10, id="known"),
            pytest.param(7, 9, False, Offer.KNOWN, 10, id="late"),
            pytest.param(11, 12, False, Offer.GAP, 10, id="something is missing"),
            pytest.param(0, 12, True, Offer.TAKEN, 12, id="whole"),
            pytest.param(0, 9, True, Offer.KNOWN, 10, id="an old whole"),
        ],
    )
    def test_outcomes(self, after, version, whole, outcome, known):
        replica, kept = make_replica(a="1")

        offered = replica.offer(TableChanges(after, version, rows(b="2"), whole))

        assert offered is outcome
        assert replica.version == known
        assert ("b" in kept.rows) is (outcome is Offer.TAKEN)

    def test_nothing_is_taken_before_the_whole_is_known(self):
        kept = Kept()
        replica = TableReplica(kept)

        assert replica.offer(TableChanges(0, 3, rows(a="1"))) is Offer.GAP
        assert replica.version is None
        assert replica.unchanged is None

    def test_a_version_without_rows_tells_the_listener_nothing(self):
        replica, kept = make_replica(a="1")
        kept.calls.clear()

        assert replica.offer(TableChanges(10, 14, ())) is Offer.TAKEN

        assert replica.version == 14
        assert replica.unchanged == TableChanges(10, 14, ())
        assert kept.calls == []


class TestSince:
    """What has changed is told as far back as removals are remembered."""

    def test_changes_and_removals(self):
        replica, _ = make_replica(a="1", b="2", c="3")
        replica.offer(TableChanges(10, 11, rows(a="9")))
        replica.offer(TableChanges(11, 12, rows(b=None)))

        assert replica.since(10) == TableChanges(10, 12, rows(a="9", b=None))
        assert replica.since(11) == TableChanges(11, 12, rows(b=None))
        assert replica.since(12) == TableChanges(12, 12, ())

    @pytest.mark.parametrize("version", [None, 9])
    def test_who_knows_too_little_gets_the_whole(self, version):
        replica, _ = make_replica(a="1", b="2")

        assert replica.since(version) == TableChanges(
            0, 10, rows(a="1", b="2"), whole=True
        )

    def test_a_listing_anew_tells_what_differs(self):
        """After the store has dropped its history, followers get no whole table."""
        replica, _ = make_replica(a="1", b="2", c="3")
        replica.offer(TableChanges(0, 20, rows(a="1", b="5"), whole=True))

        assert replica.since(10) == TableChanges(10, 20, rows(b="5", c=None))

    def test_removals_are_forgotten_some_time(self):
        many = {f"k{i}": "1" for i in range(MOST_REMOVED + 1)}
        replica, _ = make_replica(**many)
        for place, key in enumerate(many):
            replica.offer(TableChanges(10 + place, 11 + place, rows(**{key: None})))

        assert replica.since(10).whole
        assert not replica.since(11).whole


class TestAnyOrder:
    """Copies that are told in any order end up alike, and never go back."""

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
    def test_copies_are_alike(self, edits, offers):
        """Each offer is a span of the table's history, or the whole at a moment."""
        states = [{}]
        for key, value in edits:
            state = dict(states[-1])
            state.pop(key, None)
            if value is not None:
                state[key] = value.encode()
            states.append(state)
        replica, kept = make_replica(version=0)
        reached = 0
        for first, last, whole in offers:
            first, last = sorted((first % len(states), last % len(states)))
            if whole:
                entries = tuple(Entry(k, v) for k, v in states[last].items())
            else:
                touched = {key for key, _ in edits[first:last]}
                entries = tuple(Entry(k, states[last].get(k)) for k in sorted(touched))
            replica.offer(TableChanges(first, last, entries, whole))

            assert replica.version >= reached
            reached = replica.version
            assert kept.rows == states[reached]
            for version in range(reached + 1):
                other, copy = make_replica(version=0)
                old = tuple(Entry(k, v) for k, v in states[version].items())
                other.offer(TableChanges(0, version, old, whole=True))
                other.offer(replica.since(version))
                assert copy.rows == kept.rows
