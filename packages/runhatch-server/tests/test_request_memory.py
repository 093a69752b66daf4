"""Decisions on who may hold memory, without connections."""

import pytest
from gateway_cases import seconds

from runhatch_coordination.testing import ManualClock
from runhatch_server.http import RequestMemory
from runhatch_server.http._memory import EVICTABLE_AFTER, Holding

LIMIT = 100


class Requests:
    """Requests that hold memory, and the names of those that were evicted."""

    def __init__(self):
        self.clock = ManualClock()
        self.memory = RequestMemory(LIMIT, self.clock)
        self.evicted = []
        self.holdings = {}

    def admit(self, name, size, final_size=None):
        holding = self.holdings.setdefault(
            name, Holding(lambda: self.evicted.append(name))
        )
        return self.memory.admit(holding, size, final_size or size)

    def receive(self, name):
        """Have the body of a request make progress."""
        self.holdings[name].progressed_at = self.clock.elapsed()


@pytest.fixture
def requests():
    return Requests()


@pytest.mark.parametrize(
    ("held", "size", "is_admitted"),
    [
        (0, 50, True),
        (0, 51, False),
        (60, 20, True),
        (60, 21, False),
        (96, 2, True),
        (98, 1, True),
        (99, 1, False),
        (100, 1, False),
    ],
)
def test_as_much_must_stay_free_as_a_request_holds(requests, held, size, is_admitted):
    """So small requests are admitted when large ones no longer are."""
    requests.memory.update(Holding(lambda: None), lambda: held)

    assert requests.admit("a", size) is is_admitted


def test_bodies_of_one_size_leave_room_for_another(requests):
    names = [f"large-{number}" for number in range(50)]

    assert sum(requests.admit(name, 10) for name in names) == 9
    assert requests.admit("small", 5)


def test_announced_length_counts_before_it_has_arrived(requests):
    requests.memory.update(Holding(lambda: None), lambda: 40)

    assert not requests.admit("a", 1, final_size=31)
    assert requests.admit("a", 1, final_size=30)
    assert requests.memory.held == 41


def test_growing_request_is_not_counted_twice(requests):
    assert requests.admit("a", 40)
    assert requests.admit("a", 50)
    assert requests.memory.held == 50


def test_refused_request_keeps_its_size(requests):
    """Its bytes are held until it is answered."""
    requests.admit("a", 10)
    assert not requests.admit("a", 60)

    assert requests.memory.held == 10


class TestEviction:
    """Requests whose bodies have stalled give way to others."""

    @pytest.fixture(autouse=True)
    def fill(self, requests):
        for name, size in (("a", 20), ("b", 30), ("c", 10)):
            assert requests.admit(name, size)
            requests.receive(name)

    def test_bodies_that_arrive_are_not_evicted(self, requests):
        requests.clock.advance(EVICTABLE_AFTER - seconds(0.001))

        assert not requests.admit("new", 30)
        assert requests.evicted == []

    def test_what_held_most_for_longest_gives_way(self, requests):
        requests.clock.advance(EVICTABLE_AFTER)

        assert requests.admit("new", 30)
        assert requests.evicted == ["b"]
        assert requests.memory.held == 60

    def test_time_counts_as_well_as_size(self, requests):
        requests.clock.advance(seconds(9))
        requests.receive("b")
        requests.clock.advance(seconds(1))

        assert requests.admit("new", 25)
        assert requests.evicted == ["a"]

    def test_request_in_use_is_not_evicted(self, requests):
        """A target may be running it."""
        requests.holdings["b"].progressed_at = None
        requests.clock.advance(EVICTABLE_AFTER)

        assert requests.admit("new", 30)
        assert requests.evicted == ["a"]

    def test_none_is_evicted_in_vain(self, requests):
        requests.holdings["b"].progressed_at = None
        requests.clock.advance(EVICTABLE_AFTER)

        assert not requests.admit("new", 40)
        assert requests.evicted == []

    def test_request_does_not_evict_itself(self, requests):
        requests.clock.advance(EVICTABLE_AFTER)

        assert requests.admit("b", 40)
        assert requests.evicted == ["a"]

    def test_evicted_request_is_not_evicted_again(self, requests):
        """Its connection has not given up the body yet."""
        requests.clock.advance(EVICTABLE_AFTER)
        requests.admit("new", 30)

        assert not requests.admit("newer", 40)
        assert requests.evicted == ["b"]


def test_closed_connection_holds_nothing(requests):
    requests.admit("a", 40)
    requests.memory.update(requests.holdings["a"], lambda: 0)

    assert requests.memory.held == 0
    assert requests.admit("b", 50)
