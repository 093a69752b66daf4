"""How long a successor waits before it orders a target."""

import pytest
from gateway_cases import seconds

from runhatch_server.residency import OrderTimes, Resignation
from runhatch_server.residency._handover import HANDOVER_SLACK

BETWEEN = seconds(3)
WHOLE = BETWEEN + HANDOVER_SLACK
NOW = seconds(100)
FENCE = 1


class TestOrderTimes:
    """From when on each target may be ordered."""

    def test_the_first_holder_may_order_at_once(self):
        assert OrderTimes(BETWEEN).may_order_from("t1") == seconds(0)

    def test_after_one_that_ended_without_a_word_all_wait(self):
        times = OrderTimes(BETWEEN)
        times.take_over(NOW)

        assert times.may_order_from("t1") == NOW + WHOLE

    def test_after_one_that_resigned_only_what_it_ordered_waits(self):
        first, second = OrderTimes(BETWEEN), OrderTimes(BETWEEN)
        first.sent("t1", FENCE, NOW - seconds(1))
        first.sent("t2", FENCE, NOW - seconds(9))

        second.take_over_from(first.resignation(4, NOW), NOW + seconds(0.1))

        assert second.may_order_from("t1") == NOW + seconds(0.1) + WHOLE - seconds(1)
        assert second.may_order_from("t2") <= NOW + seconds(0.1)
        assert second.may_order_from("t3") <= NOW + seconds(0.1)

    @pytest.mark.parametrize("target", ["t1", "t2"])
    def test_a_third_holder_hears_of_the_first_ones_orders_too(self, target):
        first, second, third = (OrderTimes(BETWEEN) for _ in range(3))
        first.take_over(NOW)
        first.sent("t1", FENCE, NOW)
        second.take_over_from(first.resignation(4, NOW), NOW)

        third.take_over_from(second.resignation(5, NOW + seconds(1)), NOW + seconds(1))

        assert third.may_order_from(target) == NOW + WHOLE

    def test_an_order_on_its_way_counts_as_sent_now(self):
        times = OrderTimes(BETWEEN)
        times.begin("t1", FENCE)

        assert times.resignation(4, NOW).waits == {"t1": WHOLE}

    def test_an_order_of_its_own_ends_the_wait_for_others(self):
        times = OrderTimes(BETWEEN)
        times.take_over(NOW - seconds(2))
        times.sent("t1", FENCE, NOW)

        told = times.resignation(4, NOW)

        assert told.waits["t1"] == WHOLE
        assert told.others_wait == WHOLE - seconds(2)

    def test_a_target_that_is_not_listed_for_a_moment_is_not_forgotten(self):
        first, second = OrderTimes(BETWEEN), OrderTimes(BETWEEN)
        first.sent("t1", FENCE, NOW)
        second.take_over_from(first.resignation(4, NOW), NOW)

        second.forget("t1", NOW + seconds(1))
        assert second.may_order_from("t1") == NOW + WHOLE

        second.forget("t1", NOW + WHOLE)
        assert second.may_order_from("t1") <= NOW + WHOLE

    def test_nothing_is_said_of_targets_ordered_long_ago(self):
        times = OrderTimes(BETWEEN)
        times.sent("t1", FENCE, NOW - seconds(9))

        assert times.resignation(4, NOW) == Resignation(4)

    @pytest.mark.parametrize(
        ("ended", "waited_for"), [("not", {"t1"}), ("sent", set()), ("unsent", set())]
    )
    def test_an_order_of_an_earlier_term_is_waited_for(self, ended, waited_for):
        times = OrderTimes(BETWEEN)
        times.begin("t1", FENCE)
        times.begin("t2", FENCE + 1)
        if ended == "sent":
            times.sent("t1", FENCE, NOW)
        elif ended == "unsent":
            times.unsent("t1", FENCE)

        assert times.ordered_before(FENCE + 1) == waited_for

    def test_one_that_is_not_sent_does_not_hide_another(self):
        """Two terms may begin an order to the same target."""
        times = OrderTimes(BETWEEN)
        times.begin("t1", FENCE)
        times.begin("t1", FENCE + 1)
        times.unsent("t1", FENCE)

        assert list(times.resignation(FENCE + 1, NOW).waits) == ["t1"]
