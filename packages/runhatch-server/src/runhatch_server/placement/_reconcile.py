"""Comparing one target's charges with its report: what to change, what to order.

The clever part is knowing when an order can no longer take effect.  An engine that
refuses old fencing numbers is closed to earlier orders as soon as it reports a
higher number.  One that ignores them is closed only when the longest order delay
and report lag have passed since the last order was sent.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from datetime import timedelta

from runhatch_server.configuration import Fencing, TargetSpec
from runhatch_server.placement._ledger import (
    NOT_ORDERED,
    Charge,
    ChargeState,
    LedgerRow,
)
from runhatch_server.targets import EngineReport, LoadedUnit, Order, OrderKind

RESEND_AFTER = timedelta(seconds=3)
RETIRE_GRACE = timedelta(seconds=3)
"""Time for nodes to stop routing to a unit before it is unloaded."""


@dataclass(slots=True)
class UnitTimes:
    """When, on the holder's clock, things happened to one charge.

    A new holder starts them at its takeover, which is later than any order of
    the last holder and so on the safe side.
    """

    since: timedelta
    last_order: timedelta
    sent: bool = False


@dataclass(frozen=True, slots=True)
class TargetView:
    """What the holder knows of one target at one moment.

    ``report_started`` is when the reading of the report began.
    """

    spec: TargetSpec
    report: EngineReport
    report_started: timedelta
    now: timedelta


@dataclass(slots=True)
class Reconciled:
    """The row as it should be written, and orders to send once it is."""

    row: LedgerRow
    orders: list[Order] = field(default_factory=list)
    permits_wanted: list[Charge] = field(default_factory=list)
    permits_done: set[str] = field(default_factory=set)
    unaccounted: list[LoadedUnit] = field(default_factory=list)


def reconcile(
    row: LedgerRow,
    view: TargetView,
    times: Mapping[str, UnitTimes],
    next_order: int,
    permitted: frozenset[str],
) -> Reconciled:
    """Return what the report asks to change in ``row``.

    ``next_order`` numbers all orders that the next write of the row records.
    ``permitted`` are the units whose loads may be sent to the engine.
    """
    result = Reconciled(row)
    for charge in row.charges:
        timing = times[charge.unit]
        if charge.base and not _base_stays(row, charge):
            # It goes with its base.
            continue
        match charge.state:
            case ChargeState.LOADING:
                _reconcile_loading(result, charge, view, timing, next_order, permitted)
            case ChargeState.SERVING:
                if not view.report.holds(charge.unit):
                    # The engine restarted or dropped it; load it again.
                    lost = charge.lost(peak_mb=0)
                    result.row = result.row.with_charge(lost)
            case ChargeState.UNLOADING:
                _reconcile_unloading(result, charge, view, timing, next_order)
    _adopt_unknown(result, view)
    return result


def _base_stays(row: LedgerRow, adapter: Charge) -> bool:
    base = row.find(adapter.base)
    return base is not None and base.state is not ChargeState.UNLOADING


def _reconcile_loading(
    result: Reconciled,
    charge: Charge,
    view: TargetView,
    timing: UnitTimes,
    next_order: int,
    permitted: frozenset[str],
) -> None:
    if view.report.holds(charge.unit):
        result.row = result.row.with_charge(charge.serving())
        result.permits_done.add(charge.unit)
        return
    if charge.unit in view.report.loading:
        return
    waited = view.now - timing.last_order
    lag = timedelta(seconds=view.spec.max_report_lag_seconds)
    if timing.sent and waited < RESEND_AFTER + lag:
        return
    if charge.base and not view.report.holds(charge.base):
        return
    if charge.unit not in permitted:
        result.permits_wanted.append(charge)
        return
    ordered = replace(charge, order=next_order)
    result.row = result.row.with_charge(ordered)
    result.orders.append(
        Order(
            OrderKind.LOAD,
            charge.unit,
            next_order,
            charge.memory_mb,
            charge.peak_mb,
            charge.base,
        )
    )


def _reconcile_unloading(
    result: Reconciled,
    charge: Charge,
    view: TargetView,
    timing: UnitTimes,
    next_order: int,
) -> None:
    if charge.order == NOT_ORDERED:
        if view.now - timing.since >= RETIRE_GRACE:
            _order_unload(result, charge, next_order)
        return
    if _is_gone(charge, view, timing):
        adapters = [c.unit for c in result.row.charges if c.base == charge.unit]
        if not any(view.report.holds(unit) for unit in adapters):
            result.row = result.row.without([charge.unit, *adapters])
            result.permits_done |= {charge.unit, *adapters}
        return
    seen = view.report.holds(charge.unit) or charge.unit in view.report.loading
    unfenced = view.report.fence < charge.order
    if (seen or unfenced) and view.now - timing.last_order >= RESEND_AFTER:
        _order_unload(result, charge, next_order)


def _order_unload(result: Reconciled, charge: Charge, next_order: int) -> None:
    result.row = result.row.with_charge(replace(charge, order=next_order))
    result.orders.append(Order(OrderKind.UNLOAD, charge.unit, next_order))


def _is_gone(charge: Charge, view: TargetView, timing: UnitTimes) -> bool:
    """Whether the unit is unloaded and no order can load it any more."""
    if view.report.holds(charge.unit) or charge.unit in view.report.loading:
        return False
    if view.spec.fencing is Fencing.REFUSES:
        return view.report.fence >= charge.order
    longest = timedelta(
        seconds=view.spec.max_order_delay_seconds + view.spec.max_report_lag_seconds
    )
    return view.report_started - timing.last_order >= longest


def _adopt_unknown(result: Reconciled, view: TargetView) -> None:
    """Charge what the engine holds without a charge, so that it is unloaded."""
    for loaded in view.report.units:
        if result.row.find(loaded.unit) is not None:
            continue
        stray = Charge(loaded.unit, loaded.memory_mb, 0, ChargeState.UNLOADING)
        if result.row.free_mb < loaded.memory_mb:
            result.unaccounted.append(loaded)
            continue
        result.row = result.row.with_charge(stray)
