"""The node that orders the targets: what it does before, with and after its lease."""

import pytest
from gateway_cases import make_target, seconds
from orderer_cases import ANSWER_WAIT, HANDOVER, TTL, Case, SlowTargets

from runhatch_coordination import Entry
from runhatch_coordination.testing import FaultyTable, MemoryTable, TableFault
from runhatch_server.residency._handover import ORDER_ARRIVES
from runhatch_server.residency._orderer import RESIGN_BEFORE


@pytest.fixture
def table():
    """A table whose answers may fail."""
    return FaultyTable(MemoryTable())


def taken_over(clock, table):
    """Return a node that has acquired the lease after another ended without a word."""
    first = Case(clock, table, "n0")
    first.orderer.keep_lease(eager=True)
    second = Case(clock, table, "n1")
    second.orderer.keep_lease(eager=True)
    clock.advance(TTL * 1.6)
    second.orderer.keep_lease(eager=True)
    assert second.orderer.holds_lease() is not None
    return second


def succeed(clock, table, resignation):
    """Return a node that has acquired the lease by ``resignation``, and has rounds."""
    case = Case(clock, table, "n1")
    case.orderer.take_in_resignation(resignation)
    case.orderer.keep_lease(eager=True)
    assert case.orderer.holds_lease() is not None
    case.ask_for("m1")
    for _ in range(3):
        case.round()
    return case


class TestTakeover:
    """A node that takes the lease from another."""

    def test_what_targets_hold_is_told_before_orders_may_be_given(self, clock, table):
        case = taken_over(clock, table)

        case.round()

        assert [models for _, *models in case.told] == [["m0"]]

    def test_no_order_is_given_close_to_the_last_holders(self, clock, table):
        case = taken_over(clock, table)
        case.ask_for("m1")
        case.round()
        case.round()
        assert case.targets.orders == []

        for _ in range(4):
            clock.advance(HANDOVER / 3)
            case.orderer.keep_lease(eager=True)
        case.ask_for("m1")
        case.round()
        case.round()

        assert [order.model for order in case.targets.orders] == ["m1"]


class TestResignation:
    """A node that gives the orders up says what it ordered last."""

    def holder(self, clock, table):
        case = Case(clock, table, "n0")
        case.orderer.keep_lease(eager=True)
        case.round()
        return case

    def test_a_word_that_comes_after_the_lease_was_taken_counts(self, clock, table):
        first = self.holder(clock, table)
        resignation = first.orderer.stop()
        first.orderer.release()
        case = Case(clock, table, "n1")
        case.orderer.keep_lease(eager=True)
        case.round()

        case.orderer.take_in_resignation(resignation)

        case.ask_for("m1")
        for _ in range(3):
            case.round()
        assert [order.model for order in case.targets.orders] == ["m1"]

    def test_targets_not_ordered_lately_are_ordered_at_once(self, clock, table):
        first = self.holder(clock, table)
        resignation = first.orderer.stop()
        first.orderer.release()

        case = succeed(clock, table, resignation)

        assert [order.model for order in case.targets.orders] == ["m1"]

    def test_a_target_just_ordered_is_not(self, clock, table):
        first = self.holder(clock, table)
        first.ask_for("m2")
        for _ in range(3):
            first.round()
        assert first.targets.orders

        resignation = first.orderer.stop()
        first.orderer.release()
        case = succeed(clock, table, resignation)

        assert case.targets.orders == []

    def test_it_is_not_either_once_it_has_started_again(self, clock, table):
        """Orders of two nodes to one target lie apart, whichever life takes them."""
        first = Case(clock, table, "n0", born=100)
        first.orderer.keep_lease(eager=True)
        first.ask_for("m2")
        for _ in range(3):
            first.round()
        assert first.targets.orders

        resignation = first.orderer.stop()
        first.orderer.release()
        case = Case(clock, table, "n1", born=200)
        case.orderer.take_in_resignation(resignation)
        case.orderer.keep_lease(eager=True)
        case.ask_for("m1")
        for _ in range(3):
            case.round()

        assert case.targets.orders == []

    def test_one_that_is_cut_off_resigns_before_its_lease_lapses(self, clock, table):
        first = self.holder(clock, table)
        table.inject(TableFault.DOWN)
        clock.advance(TTL - RESIGN_BEFORE)
        first.orderer.keep_lease(eager=True)

        resignation = first.orderer.resign_if_cut_off()

        assert first.orderer.holds_lease() is None
        assert resignation.epoch == 1
        table.inject(TableFault.NONE)
        case = succeed(clock, table, resignation)
        assert [order.model for order in case.targets.orders] == ["m1"]

    def test_an_order_that_arrives_after_the_word_is_waited_for(self, clock, table):
        """It was on its way when its sender was cut off from the store."""
        targets = SlowTargets("m0")
        first = Case(clock, table, "n0", targets=targets)
        first.orderer.keep_lease(eager=True)
        first.ask_for("m1")
        for _ in range(3):
            first.round()
        assert targets.sent.acquire(timeout=ANSWER_WAIT)
        table.inject(TableFault.DOWN)
        clock.advance(TTL - RESIGN_BEFORE)
        resignation = first.orderer.resign_if_cut_off()
        table.inject(TableFault.NONE)
        case = succeed(clock, table, resignation)
        clock.advance(ORDER_ARRIVES)
        targets.arrives.set()

        for _ in range(5):
            clock.advance(HANDOVER * 0.19)
            case.orderer.keep_lease(eager=True)
            case.ask_for("m1")
            case.round()

        assert case.targets.orders == []

    @pytest.mark.parametrize(
        ("left", "sent"), [(ORDER_ARRIVES, 0), (ORDER_ARRIVES * 1.1, 1)]
    )
    def test_no_order_is_sent_that_may_arrive_after_the_lease(
        self, clock, table, left, sent
    ):
        """A successor counts from the end of the lease."""
        case = self.holder(clock, table)
        clock.advance(TTL - left)
        case.ask_for("m1")
        for _ in range(3):
            case.round()

        assert len(case.targets.orders) == sent

    def test_one_that_can_renew_does_not_resign(self, clock, table):
        first = self.holder(clock, table)
        clock.advance(TTL - RESIGN_BEFORE)
        first.orderer.keep_lease(eager=True)

        assert first.orderer.resign_if_cut_off() is None
        assert first.orderer.holds_lease() is not None


class TestLapsedLease:
    """A node whose lease has run out while the store was away."""

    def lapsed(self, clock, table):
        case = Case(clock, table)
        case.orderer.keep_lease(eager=True)
        case.round()
        table.inject(TableFault.DOWN)
        clock.advance(TTL)
        case.orderer.keep_lease(eager=True)
        assert case.orderer.holds_lease() is None
        case.told.clear()
        return case

    def test_it_goes_on_telling_what_targets_hold(self, clock, table):
        case = self.lapsed(clock, table)
        case.targets.models = ("m0", "m1")
        clock.advance(seconds(4))

        case.round()

        assert case.told[-1] == (1, "m0", "m1")

    def test_it_orders_nothing(self, clock, table):
        case = self.lapsed(clock, table)
        case.ask_for("m1")

        case.round()

        assert case.targets.orders == []

    def test_it_falls_silent_once_another_node_orders(self, clock, table):
        case = self.lapsed(clock, table)
        case.newest_epoch = 2
        clock.advance(seconds(4))

        case.round()

        assert case.told == []


class TestStartedAgain:
    """A target that starts again under its name while a node orders it."""

    def test_it_is_asked_what_it_holds_and_ordered_anew(self, clock, table):
        case = Case(clock, table, born=100)
        case.orderer.keep_lease(eager=True)
        case.ask_for("m2")
        for _ in range(3):
            case.round()
        assert [order.model for order in case.targets.orders] == ["m2"]
        reports = case.targets.reports

        again = make_target("t1", models=(), born=200)
        case.directory.changed((Entry("t1", again),))
        case.ask_for("m1")
        for _ in range(3):
            case.round()

        assert case.targets.reports > reports
        assert [order.model for order in case.targets.orders][1:] == ["m1"]
        assert case.targets.orders[-1].after_orders == 0


class TestRestored:
    """The store comes back from an older copy."""

    def test_the_word_of_one_that_resigned_before_is_not_the_last_holders(self, clock):
        """Another has ordered since: targets are not ordered close to its orders."""
        memory = MemoryTable()
        first = Case(clock, FaultyTable(memory), "n0")
        first.orderer.keep_lease(eager=True)
        memory.copy()
        last = Case(clock, FaultyTable(memory), "n2")
        successor = Case(clock, FaultyTable(memory), "n1")
        successor.orderer.take_in_resignation(first.orderer.stop())
        first.orderer.release()
        last.orderer.keep_lease(eager=True)
        assert last.orderer.holds_lease() is not None
        memory.restore()

        successor.orderer.keep_lease(eager=True)
        clock.advance(TTL * 1.3)
        successor.orderer.keep_lease(eager=True)
        assert successor.orderer.holds_lease() is not None
        successor.ask_for("m1")
        for _ in range(3):
            successor.round()

        assert successor.targets.orders == []


class TestOwnTerms:
    """A node that takes the lease again after itself."""

    def test_an_order_of_its_earlier_term_arrives_before_those_of_the_next(
        self, clock, lines
    ):
        memory = MemoryTable()
        memory.copy()
        table = FaultyTable(memory)
        targets = SlowTargets("m0")
        case = Case(clock, table, targets=targets)
        case.orderer.keep_lease(eager=True)
        case.ask_for("m1")
        for _ in range(3):
            case.round()
        assert targets.sent.acquire(timeout=ANSWER_WAIT)
        memory.restore()
        table.learn_era()

        case.orderer.keep_lease(eager=True)
        for _ in range(3):
            case.ask_for("m1")
            case.round()
        targets.arrives.set()
        for _ in range(3):
            case.ask_for("m1")
            case.round()

        fences = [order.fence for order in targets.orders]
        assert len(set(fences)) == 2
        assert fences == sorted(fences)
        told = [line["fence"] for line in lines if line.get("message_type") == "order"]
        assert told == fences

    def test_one_that_starts_again_waits_for_the_holder_before_it(self, clock, table):
        """Its earlier process did, and is not there to tell."""
        taken_over(clock, table)

        again = Case(clock, table, "n1")
        again.orderer.keep_lease(eager=True)
        assert again.orderer.holds_lease() is not None
        again.ask_for("m1")
        for _ in range(3):
            again.round()

        assert again.targets.orders == []

    def test_the_word_of_one_that_started_again_covers_its_earlier_orders(
        self, clock, table
    ):
        """Its earlier process ordered targets that it knows nothing of."""
        first = Case(clock, table, "n0")
        first.orderer.keep_lease(eager=True)
        first.ask_for("m2")
        for _ in range(3):
            first.round()
        assert first.targets.orders
        again = Case(clock, table, "n0")
        again.orderer.keep_lease(eager=True)
        assert again.orderer.holds_lease() is not None
        resignation = again.orderer.stop()
        again.orderer.release()

        successor = succeed(clock, table, resignation)

        assert successor.targets.orders == []
