"""Revisions with racing operators, lost answers and outages."""

import pytest

from runhatch_coordination import (
    InvariantError,
    Overtaken,
    Revision,
    RevisionEntry,
    RevisionFeed,
    RevisionLog,
    Unavailable,
    digest_of,
)
from runhatch_coordination.testing import (
    FaultyTable,
    MemoryObjects,
    MemoryTable,
    TableFault,
)


@pytest.fixture
def table():
    return FaultyTable(MemoryTable())


@pytest.fixture
def objects():
    return MemoryObjects()


@pytest.fixture
def log(table, objects):
    return RevisionLog(table, objects, "configuration")


def revision(number, operation="op", body=b"body"):
    entry = RevisionEntry(number, operation, "o", "", "", "name", digest_of(body))
    return Revision(entry, body)


class TestRevisionLog:
    """One change wins, and says so."""

    def test_of_two_racing_operators_one_is_told(self, log):
        """The second change on the same base gets the head that came first."""
        assert isinstance(log.publish(0, b"one", "x", "", ""), Revision)
        assert log.publish(0, b"two", "y", "", "") == Overtaken(1)
        assert log.read(1).body == b"one"

    @pytest.mark.parametrize("fault", [TableFault.LOSE_ANSWER, TableFault.LOSE_REQUEST])
    def test_lost_answer_is_settled(self, log, table, fault):
        """A change whose answer was lost is known to have taken effect, once."""
        table.inject(fault, 1)
        assert isinstance(log.publish(0, b"one", "x", "", ""), Revision)
        assert log.head() == 1

    def test_body_comes_before_the_head(self, log, objects):
        """With the object store down the head does not move."""
        objects.down = True
        assert isinstance(log.publish(0, b"one", "x", "", ""), Unavailable)
        assert log.head() == 0

    def test_history_names_who(self, log):
        """Each revision keeps its author and note."""
        log.publish(0, b"one", "ana", "", "first")
        log.publish(1, b"two", "bat", "", "second")
        assert [(e.author, e.note) for e in log.history()] == [
            ("ana", "first"),
            ("bat", "second"),
        ]


class TestRestored:
    """Numbers are given out again when the table comes back from an older copy."""

    @pytest.mark.parametrize("lost", [1, 2])
    def test_another_revision_of_a_lost_number_comes_into_force(self, objects, lost):
        """It was passed over, or ended the process of a node that knew the lost one."""
        memory = MemoryTable()
        log = RevisionLog(memory, objects, "configuration")
        seen = []
        feed = RevisionFeed(lambda revision: seen.append(revision.body))
        feed.offer(log.publish(0, b"one", "x", "", ""))
        memory.copy()
        for base in range(1, lost + 1):
            feed.offer(log.publish(base, b"lost", "x", "", ""))
        memory.restore()

        assert not feed.offer(log.read(1))
        assert feed.offer(log.publish(1, b"two", "y", "", ""))

        assert seen == [b"one", *[b"lost"] * lost, b"two"]
        assert feed.number == 2
        assert feed.offer(log.publish(2, b"three", "y", "", ""))


class TestRevisionFeed:
    """A node's revision only rises."""

    @pytest.mark.parametrize(
        ("offers", "number"), [((1, 2), 2), ((2, 1), 2), ((1, 3, 2), 3), ((5, 5), 5)]
    )
    def test_never_reverts(self, offers, number):
        """Whatever order revisions arrive in, the highest stays in force."""
        seen = []
        feed = RevisionFeed(lambda r: seen.append(r.entry.number))
        for offer in offers:
            feed.offer(revision(offer))
        assert feed.number == number
        assert seen == sorted(seen)

    def test_two_bodies_for_one_number_stop_the_process(self):
        """Two operations that claim one number break an invariant."""
        feed = RevisionFeed(lambda r: None)
        feed.offer(revision(1, "one"))
        with pytest.raises(InvariantError):
            feed.offer(revision(1, "two"))

    def test_damaged_body_is_not_taken(self):
        """A body that does not match its digest is refused."""
        feed = RevisionFeed(lambda r: None)
        sound = revision(1)
        assert not feed.offer(Revision(sound.entry, b"damaged"))
