"""The retry budget that bounds the retries of all nodes."""

from datetime import timedelta

import pytest
from gateway_cases import seconds
from hypothesis import given
from hypothesis import strategies as st

from runhatch_coordination.testing import ManualClock
from runhatch_server.gateway import RetryBounds
from runhatch_server.gateway._budget import WindowedRetryBudget

BOUNDS = RetryBounds(share=0.2, reserve=52, window=seconds(10))


def count_allowed(budget, nodes, attempts):
    return sum(budget.try_spend(nodes) for _ in range(attempts))


class TestWindowBudget:
    """Retries allowed in any window."""

    @pytest.mark.parametrize(
        ("requests", "nodes", "most"),
        [(0, 6, 6), (0, 1, 9), (100, 6, 20), (0, 100, 0)],
    )
    def test_allows_fractions_of_requests_and_reserve(
        self, clock, requests, nodes, most
    ):
        budget = WindowedRetryBudget(BOUNDS, clock)
        for _ in range(requests):
            budget.record_request()

        assert count_allowed(budget, nodes, 100) == most

    def test_budget_is_restored_after_the_window(self, clock):
        budget = WindowedRetryBudget(BOUNDS, clock)
        first = count_allowed(budget, 6, 100)

        clock.advance(seconds(9))
        assert count_allowed(budget, 6, 100) == 0
        clock.advance(seconds(2))
        assert count_allowed(budget, 6, 100) == first

    @given(
        st.integers(1, 9),
        st.lists(st.tuples(st.integers(0, 8), st.booleans(), st.integers(0, 900))),
    )
    def test_all_nodes_together_stay_within_the_bound(self, nodes, events):
        """The sum of all nodes' retries must stay within the bound in every window.

        Restarts, which lose a node's counts, are covered by the minimum split of
        the reserve and not simulated here.
        """
        clock = ManualClock()
        budgets = [WindowedRetryBudget(BOUNDS, clock) for _ in range(nodes)]
        requests, retries = [], []
        for node, is_request, pause in events:
            clock.advance(timedelta(milliseconds=pause))
            budget = budgets[node % nodes]
            if is_request:
                budget.record_request()
                requests.append(clock.elapsed())
            elif budget.try_spend(nodes):
                retries.append(clock.elapsed())
        for end in retries:
            start = end - BOUNDS.window
            retries_in_window = sum(start <= at <= end for at in retries)
            requests_in_window = sum(start <= at <= end for at in requests)
            assert (
                retries_in_window <= BOUNDS.share * requests_in_window + BOUNDS.reserve
            )
