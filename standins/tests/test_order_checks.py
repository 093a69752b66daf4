"""Test the checks of fences and holders in lists of orders."""

import pytest

from runhatch_standins._order_checks import (
    RESUMED_SECONDS,
    GivenOrder,
    check_orders,
    given_orders,
)

MIN_HANDOVER_SECONDS = 3.0
RESUMED_AT = 20.0


def make_orders(*orders):
    """Build orders from (time, fence, holder[, incarnation[, target]]) tuples."""
    return [
        GivenOrder(target, incarnation, at, fence, holder)
        for at, fence, holder, incarnation, target in (
            (*order, *(0, "e")[len(order) - 3 :]) for order in orders
        )
    ]


class TestValidOrders:
    """Orders without a violation."""

    @pytest.mark.parametrize(
        "orders",
        [
            [],
            [(1.0, 1, "a"), (1.0, 1, "a"), (1.1, 2, "a")],
            [(1.0, 1, "a"), (4.0, 2, "b"), (7.0, 3, "a")],
            # A restarted target does not know the previous fences.
            [(1.0, 2, "a", 0), (1.1, 1, "a", 1)],
            [(1.0, 1, "a", 0), (1.1, 1, "b", 1)],
            # Targets are checked independently.
            [(1.0, 2, "a", 0, "e"), (1.1, 1, "b", 0, "f")],
            # Orders are sorted by their time of arrival.
            [(4.0, 2, "b"), (1.0, 1, "a")],
        ],
    )
    def test_no_violation_is_reported(self, orders):
        assert check_orders(make_orders(*orders), {}, MIN_HANDOVER_SECONDS) == []

    @pytest.mark.parametrize("at", [RESUMED_AT, RESUMED_AT + RESUMED_SECONDS])
    def test_orders_of_a_just_resumed_sender_are_ignored(self, at):
        orders = make_orders((19.9, 2, "b"), (at, 1, "a"), (at + 0.1, 2, "b"))

        assert (
            check_orders(orders, {"a": [5.0, RESUMED_AT]}, MIN_HANDOVER_SECONDS) == []
        )


class TestInvalidOrders:
    """Orders with one violation each."""

    @pytest.mark.parametrize(
        ("orders", "found"),
        [
            pytest.param(
                [(1.0, 2, "a"), (1.5, 1, "a")],
                "e, incarnation 0: fence 1 of a at 1.500 after 2 of a",
                id="a lower fence of one holder",
            ),
            pytest.param(
                [(1.0, 2, "a"), (9.0, 1, "b")],
                "e, incarnation 0: fence 1 of b at 9.000 after 2 of a",
                id="a lower fence of another holder",
            ),
            pytest.param(
                [(1.0, 9, "a", 0), (1.5, 2, "a", 1), (1.6, 1, "a", 1)],
                "e, incarnation 1: fence 1 of a at 1.600 after 2 of a",
                id="a lower fence in a later incarnation",
            ),
            pytest.param(
                [(1.0, 1, "a"), (9.0, 1, "b")],
                "e, incarnation 0: fence 1 has holders a, b",
                id="one fence of two holders",
            ),
            pytest.param(
                [(1.0, 1, "a"), (3.9, 2, "b")],
                "e, incarnation 0: b orders by 2 at 3.900, 2.900 s after a by 1",
                id="another holder too early",
            ),
            pytest.param(
                [(1.0, 1, "a"), (9.0, 2, "b"), (9.5, 3, "a")],
                "e, incarnation 0: a orders by 3 at 9.500, 0.500 s after b by 2",
                id="the first holder again too early",
            ),
        ],
    )
    def test_violation_is_reported(self, orders, found):
        assert check_orders(make_orders(*orders), {}, MIN_HANDOVER_SECONDS) == [found]

    @pytest.mark.parametrize(
        ("at", "resumed"),
        [
            pytest.param(RESUMED_AT + RESUMED_SECONDS + 0.01, "a", id="too late"),
            pytest.param(RESUMED_AT - 0.01, "a", id="before it was resumed"),
            pytest.param(RESUMED_AT, "b", id="another was resumed"),
        ],
    )
    def test_other_late_orders_are_reported(self, at, resumed):
        orders = make_orders((10.0, 2, "b"), (at, 1, "a"))

        assert check_orders(orders, {resumed: [RESUMED_AT]}, MIN_HANDOVER_SECONDS)


class TestJournal:
    """Orders read from the journal of a target."""

    def test_incarnation_follows_from_restart_times(self):
        orders = [{"fence": n, "holder": "a"} for n in (1, 2, 3, 4)]
        times = [1.0, 2.0, 3.0, 5.0]
        journal = {"orders": orders, "order_times": times, "restart_times": [1.5, 4.0]}

        assert given_orders("e", journal) == make_orders(
            (1.0, 1, "a"), (2.0, 2, "a", 1), (3.0, 3, "a", 1), (5.0, 4, "a", 2)
        )
