"""Test how long a successor waits before it orders a target."""

import pytest
from gateway_cases import seconds

from runhatch_server.residency import OrderTimes, Resignation
from runhatch_server.residency._handover import HANDOVER_SLACK, MAX_ORDER_DELAY

BETWEEN = seconds(3)
FULL_WAIT = BETWEEN + HANDOVER_SLACK
NOW = seconds(100)
FENCE = 1


class TestOrderTimes:
    """From when on each target may be ordered."""

    def test_first_holder_may_order_at_once(self):
        assert OrderTimes(BETWEEN).orderable_from("t1") == seconds(0)

    def test_all_targets_wait_after_holder_without_resignation(self):
        times = OrderTimes(BETWEEN)
        times.start_after_lapse(NOW)

        assert times.orderable_from("t1") == NOW + FULL_WAIT

    def test_only_ordered_targets_wait_after_resignation(self):
        first, second = OrderTimes(BETWEEN), OrderTimes(BETWEEN)
        first.record_sent("t1", FENCE, NOW - seconds(1))
        first.record_sent("t2", FENCE, NOW - seconds(9))

        second.start_after_resignation(
            first.make_resignation(4, NOW), NOW + seconds(0.1)
        )

        assert second.orderable_from("t1") == NOW + seconds(0.1) + FULL_WAIT - seconds(
            1
        )
        assert second.orderable_from("t2") <= NOW + seconds(0.1)
        assert second.orderable_from("t3") <= NOW + seconds(0.1)

    @pytest.mark.parametrize("target", ["t1", "t2"])
    def test_third_holder_waits_for_orders_of_first(self, target):
        first, second, third = (OrderTimes(BETWEEN) for _ in range(3))
        first.start_after_lapse(NOW)
        first.record_sent("t1", FENCE, NOW)
        second.start_after_resignation(first.make_resignation(4, NOW), NOW)

        third.start_after_resignation(
            second.make_resignation(5, NOW + seconds(1)), NOW + seconds(1)
        )

        assert third.orderable_from(target) == NOW + FULL_WAIT

    def test_order_in_flight_counts_from_latest_arrival(self):
        times = OrderTimes(BETWEEN)
        times.record_sending("t1", FENCE)

        assert times.make_resignation(4, NOW).waits == {
            "t1": MAX_ORDER_DELAY + FULL_WAIT
        }

    def test_own_order_replaces_wait_for_previous_holder(self):
        times = OrderTimes(BETWEEN)
        times.start_after_lapse(NOW - seconds(2))
        times.record_sent("t1", FENCE, NOW)

        resignation = times.make_resignation(4, NOW)

        assert resignation.waits["t1"] == FULL_WAIT
        assert resignation.default_wait == FULL_WAIT - seconds(2)

    @pytest.mark.parametrize("resigned", [True, False])
    def test_old_own_order_does_not_end_wait_for_previous_holder(self, resigned):
        """The previous holder has ordered the target since."""
        times = OrderTimes(BETWEEN)
        times.record_sent("t1", FENCE, NOW - seconds(9))
        if resigned:
            times.start_after_resignation(Resignation(4, {"t1": seconds(2)}), NOW)
        else:
            times.start_after_lapse(NOW)

        resignation = times.make_resignation(5, NOW + seconds(1))

        remaining = times.orderable_from("t1") - (NOW + seconds(1))
        assert remaining > seconds(0)
        assert resignation.waits["t1"] == remaining

    def test_briefly_unlisted_target_keeps_its_wait(self):
        first, second = OrderTimes(BETWEEN), OrderTimes(BETWEEN)
        first.record_sent("t1", FENCE, NOW)
        second.start_after_resignation(first.make_resignation(4, NOW), NOW)

        second.remove_target("t1", NOW + seconds(1))
        assert second.orderable_from("t1") == NOW + FULL_WAIT

        second.remove_target("t1", NOW + FULL_WAIT)
        assert second.orderable_from("t1") <= NOW + FULL_WAIT

    def test_resignation_omits_targets_ordered_long_ago(self):
        times = OrderTimes(BETWEEN)
        times.record_sent("t1", FENCE, NOW - seconds(9))

        assert times.make_resignation(4, NOW) == Resignation(4)

    @pytest.mark.parametrize(
        ("ending", "targets"), [("not", {"t1"}), ("sent", set()), ("unsent", set())]
    )
    def test_order_of_previous_term_is_in_flight(self, ending, targets):
        times = OrderTimes(BETWEEN)
        times.record_sending("t1", FENCE)
        times.record_sending("t2", FENCE + 1)
        if ending == "sent":
            times.record_sent("t1", FENCE, NOW)
        elif ending == "unsent":
            times.record_unsent("t1", FENCE)

        assert times.targets_in_flight_before(FENCE + 1) == targets

    def test_unsent_order_does_not_hide_another(self):
        """Two terms may have an order to the same target in flight."""
        times = OrderTimes(BETWEEN)
        times.record_sending("t1", FENCE)
        times.record_sending("t1", FENCE + 1)
        times.record_unsent("t1", FENCE)

        assert list(times.make_resignation(FENCE + 1, NOW).waits) == ["t1"]
