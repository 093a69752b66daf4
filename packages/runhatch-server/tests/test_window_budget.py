"""The retry budget that nodes keep together."""

from datetime import timedelta

import pytest
from gateway_cases import seconds
from hypothesis import given
from hypothesis import strategies as st

from runhatch_coordination.testing import ManualClock
from runhatch_server.gateway import RetryBounds
from runhatch_server.gateway._budget import WindowBudget

BOUNDS = RetryBounds(share=0.2, reserve=52, window=seconds(10))


def paid(budget, nodes, wanted):
    return sum(budget.withdraw(nodes) for _ in range(wanted))


class TestWindowBudget:
    """Retries paid for in any window."""

    @pytest.mark.parametrize(
        ("requests", "nodes", "most"),
        [(0, 6, 6), (0, 1, 9), (100, 6, 20), (0, 100, 0)],
    )
    def test_allows_a_share_of_requests_and_of_the_reserve(
        self, clock, requests, nodes, most
    ):
        budget = WindowBudget(BOUNDS, clock)
        for _ in range(requests):
            budget.request()

        assert paid(budget, nodes, 100) == most

    def test_pays_again_once_the_window_has_passed(self, clock):
        budget = WindowBudget(BOUNDS, clock)
        first = paid(budget, 6, 100)

        clock.advance(seconds(9))
        assert paid(budget, 6, 100) == 0
        clock.advance(seconds(2))
        assert paid(budget, 6, 100) == first

    @given(
        st.integers(1, 9),
        st.lists(st.tuples(st.integers(0, 8), st.booleans(), st.integers(0, 900))),
    )
    def test_all_nodes_together_keep_the_bound_in_every_window(self, nodes, events):
        """Restarted nodes aside, whose memory is gone; the reserve's split is for
        them."""
        clock = ManualClock()
        budgets = [WindowBudget(BOUNDS, clock) for _ in range(nodes)]
        requests, retries = [], []
        for node, is_request, pause in events:
            clock.advance(timedelta(milliseconds=pause))
            budget = budgets[node % nodes]
            if is_request:
                budget.request()
                requests.append(clock.elapsed())
            elif budget.withdraw(nodes):
                retries.append(clock.elapsed())
        for end in retries:
            begin = end - BOUNDS.window
            in_window = sum(begin <= at <= end for at in retries)
            asked = sum(begin <= at <= end for at in requests)
            assert in_window <= BOUNDS.share * asked + BOUNDS.reserve
