"""Publishing revisions with concurrent operators, lost answers and outages."""

import pytest

from runhatch_coordination import (
    InvariantError,
    Revision,
    RevisionEntry,
    RevisionFeed,
    RevisionLog,
    StaleBaseRevision,
    Unavailable,
    digest_of,
)
from runhatch_coordination.testing import (
    FaultyTable,
    MemoryObjectStore,
    MemoryTable,
    TableFault,
)


@pytest.fixture
def table():
    return FaultyTable(MemoryTable())


@pytest.fixture
def objects():
    return MemoryObjectStore()


@pytest.fixture
def log(table, objects):
    return RevisionLog(table, objects, "configuration")


def revision(number, operation="op", body=b"body"):
    entry = RevisionEntry(number, operation, "o", "", "", "name", digest_of(body))
    return Revision(entry, body)


class TestRevisionLog:
    """Of concurrent changes exactly one is published."""

    def test_the_second_change_on_a_base_is_refused(self, log):
        """The second operator receives the number of the revision published first."""
        assert isinstance(log.publish(0, b"one", "x", "", ""), Revision)
        assert log.publish(0, b"two", "y", "", "") == StaleBaseRevision(1)
        assert log.read_revision(1).body == b"one"

    @pytest.mark.parametrize("fault", [TableFault.LOSE_ANSWER, TableFault.LOSE_REQUEST])
    def test_a_lost_answer_is_resolved(self, log, table, fault):
        """A change whose request or answer was lost is published exactly once."""
        table.inject(fault, 1)
        assert isinstance(log.publish(0, b"one", "x", "", ""), Revision)
        assert log.read_head_number() == 1

    def test_the_head_advances_only_after_the_body_is_stored(self, log, objects):
        """The head does not advance while the object store is unavailable."""
        objects.is_down = True
        assert isinstance(log.publish(0, b"one", "x", "", ""), Unavailable)
        assert log.read_head_number() == 0

    def test_history_contains_authors_and_notes(self, log):
        """The history entry of each revision contains its author and note."""
        log.publish(0, b"one", "ana", "", "first")
        log.publish(1, b"two", "bat", "", "second")
        assert [(e.author, e.note) for e in log.read_history()] == [
            ("ana", "first"),
            ("bat", "second"),
        ]


class TestRestored:
    """A table that is restored from an older copy reuses revision numbers."""

    @pytest.mark.parametrize("lost", [1, 2])
    def test_a_new_revision_of_a_lost_number_becomes_current(self, objects, lost):
        """A revision with a reused number must replace the lost one.

        Without the era a node that knew the lost revision would ignore the new one, or
        exit because of two bodies with one number.
        """
        memory = MemoryTable()
        log = RevisionLog(memory, objects, "configuration")
        bodies = []
        feed = RevisionFeed(lambda revision: bodies.append(revision.body))
        feed.offer(log.publish(0, b"one", "x", "", ""))
        memory.save_copy()
        for base in range(1, lost + 1):
            feed.offer(log.publish(base, b"lost", "x", "", ""))
        memory.restore_copy()

        assert not feed.offer(log.read_revision(1))
        assert feed.offer(log.publish(1, b"two", "y", "", ""))

        assert bodies == [b"one", *[b"lost"] * lost, b"two"]
        assert feed.number == 2
        assert feed.offer(log.publish(2, b"three", "y", "", ""))


class TestRevisionFeed:
    """The current revision of a node only increases."""

    @pytest.mark.parametrize(
        ("offers", "number"), [((1, 2), 2), ((2, 1), 2), ((1, 3, 2), 3), ((5, 5), 5)]
    )
    def test_the_highest_revision_stays_current(self, offers, number):
        """Revisions may arrive in any order, and more than once."""
        numbers = []
        feed = RevisionFeed(lambda r: numbers.append(r.entry.number))
        for offer in offers:
            feed.offer(revision(offer))
        assert feed.number == number
        assert numbers == sorted(numbers)

    def test_two_operations_with_one_number_raise(self):
        """Two operations with the same revision number break an invariant."""
        feed = RevisionFeed(lambda r: None)
        feed.offer(revision(1, "one"))
        with pytest.raises(InvariantError):
            feed.offer(revision(1, "two"))

    def test_a_damaged_body_is_ignored(self):
        """A revision whose body does not match its digest does not become current."""
        feed = RevisionFeed(lambda r: None)
        intact = revision(1)
        assert not feed.offer(Revision(intact.entry, b"damaged"))
