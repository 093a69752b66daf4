"""Ledger rows against engine reports: charges, orders, and when they may go."""

from datetime import timedelta

import pytest

from runhatch_coordination import InvariantError
from runhatch_server.configuration import Fencing, TargetSpec
from runhatch_server.placement import (
    Charge,
    ChargeState,
    LedgerRow,
    TargetView,
    UnitTimes,
    reconcile,
)
from runhatch_server.targets import EngineReport, LoadedUnit, OrderKind

LOADING, SERVING, UNLOADING = ChargeState


def spec(fencing=Fencing.REFUSES):
    return TargetSpec(
        name="w0",
        url="http://127.0.0.1:1",
        failure_domain="d0",
        memory_mb=100,
        fencing=fencing,
        max_order_delay_seconds=10,
        max_report_lag_seconds=2,
    )


def report(*units, fence=0, loading=()):
    loaded = tuple(LoadedUnit(unit, 30) for unit in units)
    return EngineReport("i", fence, loaded, 0, 0, loading=loading)


def step(row, engine_report, now, last_order=0.0, fencing=Fencing.REFUSES, sent=True):
    at = timedelta(seconds=now)
    view = TargetView(spec(fencing), engine_report, at, at)
    ordered = timedelta(seconds=last_order)
    times = {c.unit: UnitTimes(timedelta(), ordered, sent) for c in row.charges}
    permitted = frozenset(c.unit for c in row.charges)
    return reconcile(row, view, times, 50, permitted)


def row_with(state, order=7, peak=5):
    return LedgerRow("w0", 100, (Charge("m@1", 30, peak, state, order),))


class TestReconcile:
    """One charge, one report."""

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
    def test_follows_the_report(self, state, units, loading, now, expected, orders):
        """The report confirms, or has the order sent again."""
        result = step(row_with(state), report(*units, loading=loading), now)
        assert result.row.find("m@1").state is expected
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
    def test_charge_goes_when_no_order_can_arrive(self, fencing, fence, now, dropped):
        """A fenced engine closes at once, another only after the longest delay."""
        row = row_with(UNLOADING)
        result = step(row, report(fence=fence), now, fencing=fencing)
        assert (result.row.find("m@1") is None) is dropped

    def test_peak_stays_charged_until_seen_loaded(self):
        """An unload that overtakes its load keeps the loading peak charged."""
        row = row_with(LOADING).with_charge(row_with(LOADING).find("m@1").unloading())
        assert row.used_mb == 35
        assert step(row_with(LOADING), report("m@1"), 1).row.used_mb == 30

    def test_nothing_is_loaded_without_a_permit(self):
        """A load waits for its permit, and nothing is ordered before."""
        row = row_with(LOADING, order=0)
        view = TargetView(spec(), report(), timedelta(), timedelta())
        times = {"m@1": UnitTimes(timedelta(), timedelta())}
        result = reconcile(row, view, times, 50, frozenset())
        assert result.orders == []
        assert [charge.unit for charge in result.permits_wanted] == ["m@1"]

    def test_unknown_units_are_charged(self):
        """What an engine holds without a charge is charged, to be unloaded."""
        result = step(LedgerRow("w0", 100), report("stray@1"), 1)
        assert result.row.find("stray@1").state is UNLOADING

    def test_adapters_go_with_their_base(self):
        """Unloading a base drops its adapters, and none is ordered again."""
        base = Charge("m@1", 30, 0, UNLOADING, 7)
        adapter = Charge("a@1", 2, 0, SERVING, 6, base="m@1")
        row = LedgerRow("w0", 100, (base, adapter))
        result = step(row, report(fence=7), 1)
        assert result.row.charges == ()
        assert result.orders == []

    def test_orders_carry_the_rows_next_version(self):
        """Fencing numbers are the versions of the rows that record them."""
        result = step(row_with(LOADING, order=0), report(), 1, sent=False)
        assert [order.number for order in result.orders] == [50]


class TestLedgerRow:
    """The promise about memory."""

    def test_overcommitment_stops_the_process(self):
        """A charge beyond the capacity breaks an invariant."""
        row = LedgerRow("w0", 100, (Charge("m@1", 60, 0, SERVING),))
        with pytest.raises(InvariantError, match="never overcommitted"):
            row.with_charge(Charge("n@1", 35, 6, LOADING))
