"""Reconciliation of ledger rows with engine reports: charges and orders."""

from datetime import timedelta

import pytest

from runhatch_coordination import InvariantError
from runhatch_server.configuration import Fencing, TargetSpec
from runhatch_server.placement import (
    Charge,
    ChargeState,
    LedgerRow,
    TargetSnapshot,
    UnitTimes,
    reconcile,
)
from runhatch_server.targets import EngineReport, LoadedUnit, OrderKind

LOADING, SERVING, UNLOADING = ChargeState


def make_spec(fencing=Fencing.REFUSES):
    return TargetSpec(
        name="w0",
        url="http://127.0.0.1:1",
        failure_domain="d0",
        memory_mb=100,
        fencing=fencing,
        max_order_delay_seconds=10,
        max_report_lag_seconds=2,
    )


def make_report(*units, fence=0, loading=()):
    loaded = tuple(LoadedUnit(unit, 30) for unit in units)
    return EngineReport("i", fence, loaded, 0, 0, loading=loading)


def reconcile_report(
    row, engine_report, now, last_order=0.0, fencing=Fencing.REFUSES, sent=True
):
    at = timedelta(seconds=now)
    view = TargetSnapshot(make_spec(fencing), engine_report, at, at)
    ordered = timedelta(seconds=last_order)
    times = {c.unit: UnitTimes(timedelta(), ordered, sent) for c in row.charges}
    permitted = frozenset(c.unit for c in row.charges)
    return reconcile(row, view, times, 50, permitted)


def make_row(state, order=7, peak=5):
    return LedgerRow("w0", 100, (Charge("m@1", 30, peak, state, order),))


class TestReconcile:
    """Changes and orders that follow from one report."""

    @pytest.mark.parametrize(
        ("state", "units", "loading", "now", "expected", "orders"),
        [
            (LOADING, ("m@1",), (), 1, SERVING, []),
            (LOADING, (), ("m@1",), 60, LOADING, []),
            (LOADING, (), (), 1, LOADING, []),
            (LOADING, (), (), 6, LOADING, [OrderKind.LOAD]),
            (SERVING, ("m@1",), (), 1, SERVING, []),
            (SERVING, (), (), 1, LOADING, []),
            (UNLOADING, ("m@1",), (), 1, UNLOADING, []),
            (UNLOADING, ("m@1",), (), 6, UNLOADING, [OrderKind.UNLOAD]),
        ],
    )
    def test_report_updates_charge_and_orders(
        self, state, units, loading, now, expected, orders
    ):
        """The report confirms a charge, or its order is sent (again)."""
        result = reconcile_report(
            make_row(state), make_report(*units, loading=loading), now
        )
        assert result.row.find_charge("m@1").state is expected
        assert [order.kind for order in result.orders] == orders

    @pytest.mark.parametrize(
        ("fencing", "fence", "now", "dropped"),
        [
            (Fencing.REFUSES, 6, 1, False),
            (Fencing.REFUSES, 7, 1, True),
            (Fencing.IGNORES, 7, 1, False),
            (Fencing.IGNORES, 7, 11.9, False),
            (Fencing.IGNORES, 7, 12, True),
        ],
    )
    def test_charge_is_removed_when_no_order_can_arrive(
        self, fencing, fence, now, dropped
    ):
        """A charge is kept while an earlier order could still load its unit.

        An engine that reports the order's fencing number refuses earlier orders; for
        one that ignores numbers, the maximum delay and report lag must pass.
        """
        row = make_row(UNLOADING)
        result = reconcile_report(row, make_report(fence=fence), now, fencing=fencing)
        assert (result.row.find_charge("m@1") is None) is dropped

    def test_loading_peak_is_reserved_until_reported_loaded(self):
        """The peak stays reserved if the unit is unloaded before it is reported."""
        row = make_row(LOADING).with_charge(
            make_row(LOADING).find_charge("m@1").as_unloading()
        )
        assert row.used_mb == 35
        assert (
            reconcile_report(make_row(LOADING), make_report("m@1"), 1).row.used_mb == 30
        )

    def test_load_is_not_ordered_without_a_permit(self):
        """A load without a permit requests one and is not ordered."""
        row = make_row(LOADING, order=0)
        view = TargetSnapshot(make_spec(), make_report(), timedelta(), timedelta())
        times = {"m@1": UnitTimes(timedelta(), timedelta())}
        result = reconcile(row, view, times, 50, frozenset())
        assert result.orders == []
        assert [charge.unit for charge in result.loads_awaiting_permit] == ["m@1"]

    def test_units_without_a_charge_are_charged_and_unloaded(self):
        """A loaded unit without a charge gets one in the state unloading."""
        result = reconcile_report(LedgerRow("w0", 100), make_report("stray@1"), 1)
        assert result.row.find_charge("stray@1").state is UNLOADING

    def test_adapters_are_removed_with_their_base(self):
        """The charges of a base's adapters are removed with it, without orders."""
        base = Charge("m@1", 30, 0, UNLOADING, 7)
        adapter = Charge("a@1", 2, 0, SERVING, 6, base="m@1")
        row = LedgerRow("w0", 100, (base, adapter))
        result = reconcile_report(row, make_report(fence=7), 1)
        assert result.row.charges == ()
        assert result.orders == []

    def test_order_number_is_that_of_the_next_write(self):
        """Orders carry the fencing number of the row version that records them."""
        result = reconcile_report(
            make_row(LOADING, order=0), make_report(), 1, sent=False
        )
        assert [order.number for order in result.orders] == [50]


class TestLedgerRow:
    """Charges of a row never exceed the capacity of its target."""

    def test_charge_beyond_capacity_raises(self):
        """A charge beyond the capacity raises ``InvariantError``."""
        row = LedgerRow("w0", 100, (Charge("m@1", 60, 0, SERVING),))
        with pytest.raises(InvariantError, match="never overcommitted"):
            row.with_charge(Charge("n@1", 35, 6, LOADING))
