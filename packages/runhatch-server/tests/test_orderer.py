"""Test the orderer before it holds the lease, while it does, and afterwards."""

import pytest
from gateway_cases import make_target, seconds
from orderer_cases import ANSWER_WAIT, HANDOVER, TTL, OrdererCase, SlowTargets

from runhatch_coordination import Entry
from runhatch_coordination.testing import FaultyTable, MemoryTable, TableFault
from runhatch_server.residency._handover import MAX_ORDER_DELAY
from runhatch_server.residency._orderer import RESIGN_MARGIN


@pytest.fixture
def table():
    """Return a table whose calls may fail."""
    return FaultyTable(MemoryTable())


def acquire_after_unresigned_holder(clock, table):
    """Return a node that acquired the lease after a holder ended without resigning."""
    first = OrdererCase(clock, table, "n0")
    first.orderer.keep_lease(eager=True)
    second = OrdererCase(clock, table, "n1")
    second.orderer.keep_lease(eager=True)
    clock.advance(TTL * 1.6)
    second.orderer.keep_lease(eager=True)
    assert second.orderer.holds_lease() is not None
    return second


def acquire_after_resignation(clock, table, resignation):
    """Return a node that acquired the lease after ``resignation`` and ran rounds."""
    case = OrdererCase(clock, table, "n1")
    case.orderer.record_resignation(resignation)
    case.orderer.keep_lease(eager=True)
    assert case.orderer.holds_lease() is not None
    case.request_model("m1")
    for _ in range(3):
        case.run_round()
    return case


class TestTakeover:
    """A node that acquires the lease after another holder."""

    def test_publishes_holdings_before_orders_are_allowed(self, clock, table):
        case = acquire_after_unresigned_holder(clock, table)

        case.run_round()

        assert [models for _, *models in case.published] == [["m0"]]

    def test_waits_after_orders_of_previous_holder(self, clock, table):
        case = acquire_after_unresigned_holder(clock, table)
        case.request_model("m1")
        case.run_round()
        case.run_round()
        assert case.targets.orders == []

        for _ in range(4):
            clock.advance(HANDOVER / 3)
            case.orderer.keep_lease(eager=True)
        case.request_model("m1")
        case.run_round()
        case.run_round()

        assert [order.model for order in case.targets.orders] == ["m1"]


class TestResignation:
    """Resignations name the targets ordered recently."""

    def make_holder(self, clock, table):
        case = OrdererCase(clock, table, "n0")
        case.orderer.keep_lease(eager=True)
        case.run_round()
        return case

    def test_applies_resignation_received_after_acquiring_lease(self, clock, table):
        first = self.make_holder(clock, table)
        resignation = first.orderer.stop()
        first.orderer.release()
        case = OrdererCase(clock, table, "n1")
        case.orderer.keep_lease(eager=True)
        case.run_round()

        case.orderer.record_resignation(resignation)

        case.request_model("m1")
        for _ in range(3):
            case.run_round()
        assert [order.model for order in case.targets.orders] == ["m1"]

    def test_targets_without_recent_orders_are_ordered_at_once(self, clock, table):
        first = self.make_holder(clock, table)
        resignation = first.orderer.stop()
        first.orderer.release()

        case = acquire_after_resignation(clock, table, resignation)

        assert [order.model for order in case.targets.orders] == ["m1"]

    def test_target_with_recent_order_is_not_ordered(self, clock, table):
        first = self.make_holder(clock, table)
        first.request_model("m2")
        for _ in range(3):
            first.run_round()
        assert first.targets.orders

        resignation = first.orderer.stop()
        first.orderer.release()
        case = acquire_after_resignation(clock, table, resignation)

        assert case.targets.orders == []

    def test_restarted_target_with_recent_order_is_not_ordered(self, clock, table):
        """Orders of two nodes keep their interval even if the target restarts."""
        first = OrdererCase(clock, table, "n0", born=100)
        first.orderer.keep_lease(eager=True)
        first.request_model("m2")
        for _ in range(3):
            first.run_round()
        assert first.targets.orders

        resignation = first.orderer.stop()
        first.orderer.release()
        case = OrdererCase(clock, table, "n1", born=200)
        case.orderer.record_resignation(resignation)
        case.orderer.keep_lease(eager=True)
        case.request_model("m1")
        for _ in range(3):
            case.run_round()

        assert case.targets.orders == []

    def test_holder_without_store_resigns_before_lease_lapses(self, clock, table):
        first = self.make_holder(clock, table)
        table.inject(TableFault.DOWN)
        clock.advance(TTL - RESIGN_MARGIN)
        first.orderer.keep_lease(eager=True)

        resignation = first.orderer.resign_if_lapsing()

        assert first.orderer.holds_lease() is None
        assert resignation.epoch == 1
        table.inject(TableFault.NONE)
        case = acquire_after_resignation(clock, table, resignation)
        assert [order.model for order in case.targets.orders] == ["m1"]

    def test_waits_for_order_that_arrives_after_resignation(self, clock, table):
        """The order is in flight when its sender loses the connection to the store."""
        targets = SlowTargets("m0")
        first = OrdererCase(clock, table, "n0", targets=targets)
        first.orderer.keep_lease(eager=True)
        first.request_model("m1")
        for _ in range(3):
            first.run_round()
        assert targets.sent.acquire(timeout=ANSWER_WAIT)
        table.inject(TableFault.DOWN)
        clock.advance(TTL - RESIGN_MARGIN)
        resignation = first.orderer.resign_if_lapsing()
        table.inject(TableFault.NONE)
        case = acquire_after_resignation(clock, table, resignation)
        clock.advance(MAX_ORDER_DELAY)
        targets.arrives.set()

        for _ in range(5):
            clock.advance(HANDOVER * 0.19)
            case.orderer.keep_lease(eager=True)
            case.request_model("m1")
            case.run_round()

        assert case.targets.orders == []

    @pytest.mark.parametrize(
        ("left", "sent"), [(MAX_ORDER_DELAY, 0), (MAX_ORDER_DELAY * 1.1, 1)]
    )
    def test_sends_no_order_that_may_arrive_after_lease_ends(
        self, clock, table, left, sent
    ):
        """A successor computes its wait from the end of the lease."""
        case = self.make_holder(clock, table)
        clock.advance(TTL - left)
        case.request_model("m1")
        for _ in range(3):
            case.run_round()

        assert len(case.targets.orders) == sent

    def test_holder_resigns_on_request_although_its_lease_is_valid(
        self, clock, table, lines
    ):
        first = self.make_holder(clock, table)

        resignation = first.orderer.resign("connects to no target")

        assert first.orderer.holds_lease() is None
        assert first.orderer.resign("connects to no target") is None
        assert [line["reason"] for line in lines if "reason" in line] == [
            "connects to no target"
        ]
        case = acquire_after_resignation(clock, table, resignation)
        assert [order.model for order in case.targets.orders] == ["m1"]

    @pytest.mark.parametrize(("waited", "sent"), [(0.9, 0), (1.1, 1)])
    def test_successor_keeps_the_interval_after_a_resignation_on_request(
        self, clock, table, waited, sent
    ):
        """The lease is still valid, so the holder has just sent orders under it."""
        first = self.make_holder(clock, table)
        first.request_model("m2")
        for _ in range(3):
            first.run_round()
        assert first.targets.orders
        resignation = first.orderer.resign("connects to no target")
        case = acquire_after_resignation(clock, table, resignation)

        for _ in range(6):
            clock.advance(HANDOVER * waited * 1.1 / 6)
            case.orderer.keep_lease(eager=True)
        case.request_model("m1")
        for _ in range(3):
            case.run_round()

        assert len(case.targets.orders) == sent
        first.request_model("m1")
        first.run_round()
        assert len(first.targets.orders) == 1

    def test_holder_that_renews_does_not_resign(self, clock, table):
        first = self.make_holder(clock, table)
        clock.advance(TTL - RESIGN_MARGIN)
        first.orderer.keep_lease(eager=True)

        assert first.orderer.resign_if_lapsing() is None
        assert first.orderer.holds_lease() is not None


class TestLapsedLease:
    """A node whose lease has lapsed while the store was unavailable."""

    def make_lapsed_holder(self, clock, table):
        case = OrdererCase(clock, table)
        case.orderer.keep_lease(eager=True)
        case.run_round()
        table.inject(TableFault.DOWN)
        clock.advance(TTL)
        case.orderer.keep_lease(eager=True)
        assert case.orderer.holds_lease() is None
        case.published.clear()
        return case

    def test_continues_to_publish_holdings(self, clock, table):
        case = self.make_lapsed_holder(clock, table)
        case.targets.models = ("m0", "m1")
        clock.advance(seconds(4))

        case.run_round()

        assert case.published[-1] == (1, "m0", "m1")

    def test_sends_no_orders(self, clock, table):
        case = self.make_lapsed_holder(clock, table)
        case.request_model("m1")

        case.run_round()

        assert case.targets.orders == []

    def test_stops_publishing_once_another_node_orders(self, clock, table):
        case = self.make_lapsed_holder(clock, table)
        case.newest_epoch = 2
        clock.advance(seconds(4))

        case.run_round()

        assert case.published == []


class TestRestartedTarget:
    """A target that restarts under the same name while a node orders it."""

    def test_report_is_requested_and_target_is_ordered_again(self, clock, table):
        case = OrdererCase(clock, table, born=100)
        case.orderer.keep_lease(eager=True)
        case.request_model("m2")
        for _ in range(3):
            case.run_round()
        assert [order.model for order in case.targets.orders] == ["m2"]
        reports = case.targets.reports

        restarted = make_target("t1", models=(), started_at_seconds=200)
        case.directory.apply_entries((Entry("t1", restarted),))
        case.request_model("m1")
        for _ in range(3):
            case.run_round()

        assert case.targets.reports > reports
        assert [order.model for order in case.targets.orders][1:] == ["m1"]
        assert case.targets.orders[-1].after_orders == 0


class TestRestoredStore:
    """The store is restored from an older copy."""

    def test_resignation_of_earlier_holder_is_not_applied(self, clock):
        """A later holder has ordered since, so its orders must be waited for."""
        memory = MemoryTable()
        first = OrdererCase(clock, FaultyTable(memory), "n0")
        first.orderer.keep_lease(eager=True)
        memory.save_copy()
        last = OrdererCase(clock, FaultyTable(memory), "n2")
        successor = OrdererCase(clock, FaultyTable(memory), "n1")
        successor.orderer.record_resignation(first.orderer.stop())
        first.orderer.release()
        last.orderer.keep_lease(eager=True)
        assert last.orderer.holds_lease() is not None
        memory.restore_copy()

        successor.orderer.keep_lease(eager=True)
        clock.advance(TTL * 1.3)
        successor.orderer.keep_lease(eager=True)
        assert successor.orderer.holds_lease() is not None
        successor.request_model("m1")
        for _ in range(3):
            successor.run_round()

        assert successor.targets.orders == []


class TestConsecutiveTerms:
    """A node that acquires the lease again after itself."""

    def test_order_of_previous_term_arrives_before_those_of_next_term(
        self, clock, lines
    ):
        memory = MemoryTable()
        memory.save_copy()
        table = FaultyTable(memory)
        targets = SlowTargets("m0")
        case = OrdererCase(clock, table, targets=targets)
        case.orderer.keep_lease(eager=True)
        case.request_model("m1")
        for _ in range(3):
            case.run_round()
        assert targets.sent.acquire(timeout=ANSWER_WAIT)
        memory.restore_copy()
        table.update_era()

        case.orderer.keep_lease(eager=True)
        for _ in range(3):
            case.request_model("m1")
            case.run_round()
        targets.arrives.set()
        for _ in range(3):
            case.request_model("m1")
            case.run_round()

        fences = [order.fence for order in targets.orders]
        assert len(set(fences)) == 2
        assert fences == sorted(fences)
        order_fences = [
            line["fence"] for line in lines if line.get("message_type") == "order"
        ]
        assert order_fences == fences

    def test_restarted_node_waits_for_holder_before_it(self, clock, table):
        """The previous process of the node waited, and its state is lost."""
        acquire_after_unresigned_holder(clock, table)

        restarted = OrdererCase(clock, table, "n1")
        restarted.orderer.keep_lease(eager=True)
        assert restarted.orderer.holds_lease() is not None
        restarted.request_model("m1")
        for _ in range(3):
            restarted.run_round()

        assert restarted.targets.orders == []

    def test_resignation_of_restarted_node_covers_orders_of_previous_process(
        self, clock, table
    ):
        """The new process does not know which targets the previous one ordered."""
        first = OrdererCase(clock, table, "n0")
        first.orderer.keep_lease(eager=True)
        first.request_model("m2")
        for _ in range(3):
            first.run_round()
        assert first.targets.orders
        restarted = OrdererCase(clock, table, "n0")
        restarted.orderer.keep_lease(eager=True)
        assert restarted.orderer.holds_lease() is not None
        resignation = restarted.orderer.stop()
        restarted.orderer.release()

        successor = acquire_after_resignation(clock, table, resignation)

        assert successor.targets.orders == []
