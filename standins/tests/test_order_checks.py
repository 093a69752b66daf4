"""Who may order a target, checked over tables of orders."""

import pytest

from runhatch_standins._order_checks import (
    RESUMED_SECONDS,
    GivenOrder,
    check_orders,
    given_orders,
)

BETWEEN = 3.0
RESUMED = 20.0


def given(*orders):
    """Return orders from tuples of time, fence, holder, and perhaps life or target."""
    return [
        GivenOrder(target, life, at, fence, holder)
        for at, fence, holder, life, target in (
            (*order, *(0, "e")[len(order) - 3 :]) for order in orders
        )
    ]


class TestKept:
    """Orders in which nothing is wrong."""

    @pytest.mark.parametrize(
        "orders",
        [
            [],
            [(1.0, 1, "a"), (1.0, 1, "a"), (1.1, 2, "a")],
            [(1.0, 1, "a"), (4.0, 2, "b"), (7.0, 3, "a")],
            # It knows nothing of the life before.
            [(1.0, 2, "a", 0), (1.1, 1, "a", 1)],
            [(1.0, 1, "a", 0), (1.1, 1, "b", 1)],
            # Each target by itself.
            [(1.0, 2, "a", 0, "e"), (1.1, 1, "b", 0, "f")],
            # They come in any order, and are told apart by when they arrived.
            [(4.0, 2, "b"), (1.0, 1, "a")],
        ],
    )
    def test_nothing_is_found(self, orders):
        assert check_orders(given(*orders), {}, BETWEEN) == []

    @pytest.mark.parametrize("at", [RESUMED, RESUMED + RESUMED_SECONDS])
    def test_a_sender_that_just_ran_again_is_left_out(self, at):
        orders = given((19.9, 2, "b"), (at, 1, "a"), (at + 0.1, 2, "b"))

        assert check_orders(orders, {"a": [5.0, RESUMED]}, BETWEEN) == []


class TestBroken:
    """Orders in which one thing is wrong."""

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
                id="a lower fence in a later life",
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
    def test_it_is_found(self, orders, found):
        assert check_orders(given(*orders), {}, BETWEEN) == [found]

    @pytest.mark.parametrize(
        ("at", "resumed"),
        [
            pytest.param(RESUMED + RESUMED_SECONDS + 0.01, "a", id="too late"),
            pytest.param(RESUMED - 0.01, "a", id="before it ran again"),
            pytest.param(RESUMED, "b", id="another ran again"),
        ],
    )
    def test_no_other_order_is_left_out(self, at, resumed):
        orders = given((10.0, 2, "b"), (at, 1, "a"))

        assert check_orders(orders, {resumed: [RESUMED]}, BETWEEN)


class TestJournal:
    """What a target's journal tells."""

    def test_lives_go_by_when_the_target_started_again(self):
        orders = [{"fence": n, "holder": "a"} for n in (1, 2, 3, 4)]
        times = [1.0, 2.0, 3.0, 5.0]
        journal = {"orders": orders, "order_times": times, "restart_times": [1.5, 4.0]}

        assert given_orders("e", journal) == given(
            (1.0, 1, "a"), (2.0, 2, "a", 1), (3.0, 3, "a", 1), (5.0, 4, "a", 2)
        )
