"""Permits for a shared rate."""

from datetime import timedelta

import pytest

from runhatch_coordination import SharedPermits
from runhatch_coordination.testing import ManualClock, MemoryTable


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def nodes(clock):
    table = MemoryTable()
    return [SharedPermits(table, clock, "w", 2.0, 3) for _ in range(3)]


class TestSharedPermits:
    """Three nodes, two permits a second, three at once."""

    def test_rate_is_shared(self, nodes, clock):
        """However many nodes ask, permits come no faster than the rate."""
        given = 0
        for step in range(100):
            for number, node in enumerate(nodes):
                user = f"{number}-{step}"
                if node.acquire([user]):
                    given += 1
                    node.release(frozenset([user]))
            clock.advance(timedelta(seconds=0.1))
        assert 15 <= given <= 21

    def test_at_once_is_shared(self, nodes, clock):
        """No more permits are in use than allowed, over all nodes."""
        for step in range(10):
            for number, node in enumerate(nodes):
                node.acquire([f"{number}-{step}"])
            clock.advance(timedelta(seconds=1))
        assert len(nodes[0].in_use()) == 3

    def test_first_come_first(self, nodes, clock):
        """Where permits are short the first users named get them."""
        clock.advance(timedelta(seconds=5))
        assert nodes[0].acquire(["a", "b", "c", "d"]) == {"a", "b"}

    def test_asking_again_is_harmless(self, nodes):
        """A permit in use is not taken twice by its user."""
        assert nodes[0].acquire(["u"]) == {"u"}
        assert nodes[0].acquire(["u"]) == {"u"}
        assert nodes[0].in_use() == ("u",)


class TestRestored:
    """Permits are counted again when the table comes back from an older copy."""

    def test_the_same_count_of_another_era_is_a_change(self):
        """It was taken for no change, and permits of a whole second were given out."""
        memory, clock = MemoryTable(), ManualClock()
        first, second = (SharedPermits(memory, clock, "w", 4.0, 9) for _ in "ab")
        memory.copy()
        assert first.acquire(["x"]) == {"x"}
        memory.restore()
        clock.advance(timedelta(seconds=5))
        assert second.acquire(["y"]) == {"y"}

        assert first.acquire(["z1", "z2", "z3"]) == frozenset()

        clock.advance(timedelta(seconds=0.3))
        assert first.acquire(["z1", "z2", "z3"]) == {"z1"}
