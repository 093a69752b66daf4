"""Test that gateways keep brittle targets up under a load beyond their room.

A brittle target announces how many requests it may turn away for want of room in one
second; if it turns more away, it breaks off all connections for some seconds.
"""

import http.client
import time
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack

import pytest

from runhatch_standins._brittle import NOTICE_SECONDS, Room
from runhatch_standins._brittle_checks import (
    BRITTLE_FAULTS,
    LOAD_FACTOR,
    PlainCallers,
    check_falls,
    has_served_all,
)
from runhatch_standins._cluster import call
from runhatch_standins._gateways import (
    GatewaySystem,
    request_headers,
    route,
    wait_until,
)
from runhatch_standins._wsgi import BrokenOffError

TARGETS = 6
SLOTS = 4
WARM_UP_SECONDS = 1.0
"""Time in which gateways learn from answers that the targets are brittle."""
SECONDS = 6.0 + NOTICE_SECONDS
BRITTLE = 3
DOWN_SECONDS = 2.5
HANG_SECONDS = 0.8
"""Time in which all requests find the only place taken."""


class TestRoom:
    """The room of a target, with a clock of the test."""

    @pytest.fixture
    def now(self):
        return [100.0]

    @pytest.fixture
    def room(self, now):
        room = Room(2, lambda: now[0], brittle=BRITTLE, down_seconds=3.0)
        room.headers()
        now[0] += NOTICE_SECONDS
        return room

    def test_requests_beyond_its_places_are_turned_away(self, room):
        assert [room.take() for _ in range(4)] == [True, True, False, False]
        assert room.falls == []

    def test_released_place_is_taken_again(self, room):
        assert [room.take() for _ in range(3)] == [True, True, False]
        room.release()

        assert room.take()

    def test_it_falls_when_too_many_are_turned_away_in_a_second(self, room, now):
        for _ in range(2 + BRITTLE):
            room.take()

        with pytest.raises(BrokenOffError):
            room.take()
        assert room.falls == [now[0]]
        assert room.is_down
        now[0] += 3.0
        assert not room.is_down
        assert not room.take()

    @pytest.mark.parametrize("is_announced", [False, True])
    def test_it_does_not_fall_before_callers_can_know(self, now, is_announced):
        room = Room(2, lambda: now[0], brittle=BRITTLE)
        if is_announced:
            room.headers()
            now[0] += NOTICE_SECONDS - 0.1
        for _ in range(4 + 2 * BRITTLE):
            room.take()

        assert room.falls == []

    def test_only_its_first_answer_begins_the_notice(self, room):
        room.headers()
        for _ in range(2 + BRITTLE):
            room.take()

        with pytest.raises(BrokenOffError):
            room.take()

    def test_it_stays_up_when_few_are_turned_away_in_each_second(self, room, now):
        for _ in range(4):
            for _ in range(2 + BRITTLE):
                room.take()
            room.release()
            room.release()
            now[0] += 1.0

        assert room.falls == []

    def test_target_that_is_not_brittle_has_room_for_any_number(self, room):
        room.brittle = 0

        assert all(room.take() for _ in range(20))
        assert room.headers() == ()


@pytest.fixture(scope="module")
def system(tmp_path_factory):
    with ExitStack() as stack:
        system = GatewaySystem(stack, tmp_path_factory.mktemp("gateways"))
        system.start_gateway("n3")
        yield system


class TestTarget:
    """One brittle target, which callers reach directly."""

    def test_it_falls_and_comes_back(self, system):
        target = system.start_worker("brittle", slots=1)
        faults = {
            "brittle": BRITTLE,
            "down_seconds": DOWN_SECONDS,
            "hang_seconds": HANG_SECONDS,
        }
        call(target.url, "POST", "/faults", faults)

        assert ask(target, "first") == (200, str(BRITTLE))
        time.sleep(NOTICE_SECONDS)

        with ThreadPoolExecutor(2 + BRITTLE) as pool:
            numbers = range(2 + BRITTLE)
            outcomes = list(pool.map(lambda n: ask(target, f"r{n}"), numbers))

        assert outcomes.count((503, str(BRITTLE))) == BRITTLE
        # One has the place, and one is turned away too many.
        assert outcomes.count(None) == 2
        assert len(call(target.url, "GET", "/journal")["falls"]) == 1
        assert ask(target, "down") is None
        assert wait_until(lambda: ask(target, "back") == (200, str(BRITTLE)))


def ask(target, name):
    """Send a request; return status and announced number, ``None`` if broken off."""
    connection = http.client.HTTPConnection("127.0.0.1", target.port, timeout=5)
    try:
        connection.request("GET", "/x", headers=request_headers(name))
        response = connection.getresponse()
        response.read()
    except (OSError, http.client.HTTPException):
        return None
    finally:
        connection.close()
    return response.status, response.getheader("Server-Brittle")


def warm_up(callers, targets):
    """Fill half of the room; return whether each target has answered one."""
    callers.run(count=TARGETS * SLOTS // 2, seconds=WARM_UP_SECONDS)
    return has_served_all(targets)


class TestGateways:
    """Callers at three gateways, beyond the room of all targets."""

    @pytest.mark.parametrize(
        ("brittle", "hang_seconds"),
        [(BRITTLE, 0.2), (4 * BRITTLE, 0.1)],
        ids=["few-refusals", "more-refusals"],
    )
    def test_few_targets_fall(self, system, brittle, hang_seconds):
        name = f"brittle-{brittle}"
        with ThreadPoolExecutor() as pool:
            targets = list(
                pool.map(
                    lambda _: system.start_worker(name, slots=SLOTS), range(TARGETS)
                )
            )
        faults = {**BRITTLE_FAULTS, "brittle": brittle, "hang_seconds": hang_seconds}
        for target in targets:
            call(target.url, "POST", "/faults", faults)
        system.add_service(name, [route(f"/{name}/", "idempotent", name)])
        callers = PlainCallers(system.gateways, f"/{name}/")
        assert wait_until(lambda: warm_up(callers, targets))

        served_before = callers.served
        callers.run(count=TARGETS * SLOTS * LOAD_FACTOR, seconds=SECONDS)

        assert callers.served > served_before
        assert check_falls(targets) == [], callers.statuses
