"""Tests of permits for a shared rate."""

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
    """Three nodes share two permits per second, with three in use at most."""

    def test_rate_is_shared(self, nodes, clock):
        """Several nodes together are granted permits no faster than the rate."""
        granted = 0
        for step in range(100):
            for number, node in enumerate(nodes):
                user = f"{number}-{step}"
                if node.acquire([user]):
                    granted += 1
                    node.release(frozenset([user]))
            clock.advance(timedelta(seconds=0.1))
        assert 15 <= granted <= 21

    def test_limit_of_permits_in_use_is_shared(self, nodes, clock):
        """The number of permits in use is limited over all nodes."""
        for step in range(10):
            for number, node in enumerate(nodes):
                node.acquire([f"{number}-{step}"])
            clock.advance(timedelta(seconds=1))
        assert len(nodes[0].in_use()) == 3

    def test_permits_are_granted_in_order(self, nodes, clock):
        """If permits are scarce, the first users in the request get them."""
        clock.advance(timedelta(seconds=5))
        assert nodes[0].acquire(["a", "b", "c", "d"]) == {"a", "b"}

    def test_repeated_acquire_grants_no_second_permit(self, nodes):
        """A user that holds a permit does not take another."""
        assert nodes[0].acquire(["u"]) == {"u"}
        assert nodes[0].acquire(["u"]) == {"u"}
        assert nodes[0].in_use() == ("u",)


class TestRestored:
    """Permit counts may repeat after the table is restored from a copy."""

    def test_equal_count_in_another_era_is_a_change(self):
        """If an equal count were no change, a full burst would be granted at once.

        After a restore, another node's grant can bring the count to the value seen
        before.
        """
        memory, clock = MemoryTable(), ManualClock()
        first, second = (SharedPermits(memory, clock, "w", 4.0, 9) for _ in "ab")
        memory.save_copy()
        assert first.acquire(["x"]) == {"x"}
        memory.restore_copy()
        clock.advance(timedelta(seconds=5))
        assert second.acquire(["y"]) == {"y"}

        assert first.acquire(["z1", "z2", "z3"]) == frozenset()

        clock.advance(timedelta(seconds=0.3))
        assert first.acquire(["z1", "z2", "z3"]) == {"z1"}
