"""What a node learns of one target's slowness."""

import random
from datetime import timedelta

import pytest
from server_cases import make_request

from runhatch_coordination.testing import ManualClock
from runhatch_server.serving import Dispatcher, Grant, Hosting, Picture
from runhatch_server.serving._target_state import TOLERATED, TargetState

USUAL = timedelta(seconds=1)
START = timedelta(seconds=100)


@pytest.fixture
def state():
    state = TargetState(8, random.Random(1))
    state.granted(START, USUAL)
    state.succeeded(USUAL, USUAL, START)
    state.returned(START, USUAL)
    return state


class TestExcess:
    """How much longer than usual requests take."""

    @pytest.mark.parametrize(
        ("times", "slow"), [(1, False), (TOLERATED, False), (10, True)]
    )
    def test_learnt_from_answers(self, state, times, slow):
        """Answers far slower than usual count, the common spread does not."""
        state.succeeded(USUAL * times, USUAL, START)
        assert (state.excess(START) > timedelta()) is slow

    @pytest.mark.parametrize(("age", "slow"), [(1, False), (4, False), (6, True)])
    def test_learnt_from_what_is_outstanding(self, state, age, slow):
        """A request that should have been answered long ago counts by itself."""
        state.granted(START, USUAL)
        later = START + USUAL * age
        assert (state.excess(later) > timedelta()) is slow
        state.returned(START, USUAL)
        assert state.excess(later) == timedelta()

    def test_long_requests_are_not_slow(self, state):
        """A request of a slow route is judged by its own route's usual time."""
        state.granted(START, USUAL * 60)
        state.succeeded(USUAL, USUAL, START)
        assert state.excess(START + USUAL * 50) == timedelta()

    def test_fades(self, state):
        """A slow target is not avoided for ever."""
        state.succeeded(USUAL * 10, USUAL, START)
        soon = state.excess(START)
        assert state.excess(START + timedelta(seconds=30)) < soon / 500


class TestAvoidance:
    """What the dispatcher makes of it."""

    def test_stuck_target_gets_no_more(self, deployment):
        """A target that sits on its requests is passed over before it answers."""
        clock = ManualClock()
        picture = Picture()
        picture.configure(deployment)
        for name in ("w0", "w1"):
            picture.learn(Hosting(name, 1, ("m0@1",)))
        dispatcher = Dispatcher(picture, clock, "d0", 8, 1.0, seed=1)

        def grant(avoided: str = "") -> Grant:
            request = make_request("r", seconds=1e6)
            granted = dispatcher.acquire(request, frozenset({avoided}))
            assert isinstance(granted, Grant)
            return granted

        first = [grant() for _ in range(4)]
        clock.advance(USUAL)
        for each in first:
            dispatcher.completed(each, USUAL, None)
        grant(avoided="w1")
        clock.advance(USUAL * 6)
        # Two that have just begun are more load than the one that is stuck.
        for _ in range(2):
            grant(avoided="w0")
        assert grant().host.target == "w1"
