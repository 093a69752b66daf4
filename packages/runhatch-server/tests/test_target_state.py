"""Tests of how a node detects a slow target."""

import random
from datetime import timedelta

import pytest
from server_cases import make_request

from runhatch_coordination.testing import ManualClock
from runhatch_server.serving import Dispatcher, Grant, Hosting, PlacementCache
from runhatch_server.serving._target_state import TOLERATED_SLOWDOWN, TargetState

USUAL = timedelta(seconds=1)
START = timedelta(seconds=100)


@pytest.fixture
def state():
    state = TargetState(8, random.Random(1))
    state.record_grant(START, USUAL)
    state.record_success(USUAL, USUAL, START)
    state.record_return(START, USUAL)
    return state


class TestExcess:
    """Excess of request durations over the usual ones."""

    @pytest.mark.parametrize(
        ("times", "slow"), [(1, False), (TOLERATED_SLOWDOWN, False), (10, True)]
    )
    def test_slow_answers_add_excess(self, state, times, slow):
        """Only answers slower than the tolerated multiple add excess."""
        state.record_success(USUAL * times, USUAL, START)
        assert (state.estimate_excess(START) > timedelta()) is slow

    @pytest.mark.parametrize(("age", "slow"), [(1, False), (4, False), (6, True)])
    def test_overdue_outstanding_request_adds_excess(self, state, age, slow):
        """An outstanding request adds excess once it is older than tolerated."""
        state.record_grant(START, USUAL)
        later = START + USUAL * age
        assert (state.estimate_excess(later) > timedelta()) is slow
        state.record_return(START, USUAL)
        assert state.estimate_excess(later) == timedelta()

    def test_long_requests_are_compared_with_their_own_route(self, state):
        """A request of a slow route is compared with the usual time of that route."""
        state.record_grant(START, USUAL * 60)
        state.record_success(USUAL, USUAL, START)
        assert state.estimate_excess(START + USUAL * 50) == timedelta()

    def test_excess_decays(self, state):
        """The excess decays, so that a slow target is tried again."""
        state.record_success(USUAL * 10, USUAL, START)
        initial_excess = state.estimate_excess(START)
        assert (
            state.estimate_excess(START + timedelta(seconds=30)) < initial_excess / 500
        )


class TestSlowTarget:
    """Choice of targets by the dispatcher when one is slow."""

    def test_stuck_target_is_avoided(self, deployment):
        """A target that does not answer is avoided before its requests end."""
        clock = ManualClock()
        picture = PlacementCache()
        picture.set_deployment(deployment)
        for name in ("w0", "w1"):
            picture.apply_hosting(Hosting(name, 1, ("m0@1",)))
        dispatcher = Dispatcher(picture, clock, "d0", 8, 1.0, seed=1)

        def grant(avoided: str = "") -> Grant:
            request = make_request("r", seconds=1e6)
            granted = dispatcher.acquire(request, frozenset({avoided}))
            assert isinstance(granted, Grant)
            return granted

        first = [grant() for _ in range(4)]
        clock.advance(USUAL)
        for granted_slot in first:
            dispatcher.release_completed(granted_slot, USUAL, None)
        grant(avoided="w1")
        clock.advance(USUAL * 6)
        # By load alone, w0 with its one stuck request would be chosen.
        for _ in range(2):
            grant(avoided="w0")
        assert grant().host.target == "w1"
