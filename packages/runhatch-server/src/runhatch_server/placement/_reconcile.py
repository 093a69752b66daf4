"""Compares one target's charges with its report and derives changes and orders.

A charge is removed only when no earlier order can load the unit any more; otherwise
its memory could be used twice.  An engine that refuses old fencing numbers rejects
earlier orders once it reports a higher number.  For an engine that ignores them, the
maximum order delay and report lag must have passed since the last order was sent.
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
"""Time in which nodes stop routing to a unit before it is unloaded."""


@dataclass(slots=True)
class UnitTimes:
    """Times of one charge's last state change and last order, by the holder's clock.

    A new lease holder sets both to the time of its takeover, which is later than any
    order of the previous holder, so it never waits too short a time.
    """

    since: timedelta
    last_order: timedelta
    sent: bool = False


@dataclass(frozen=True, slots=True)
class TargetView:
    """The lease holder's data on one target at time ``now``.

    ``report_started`` is the time at which the report was requested.
    """

    spec: TargetSpec
    report: EngineReport
    report_started: timedelta
    now: timedelta


@dataclass(slots=True)
class Reconciled:
    """The row to write, the orders to send after that, and permits.

    ``permits_wanted`` are charges that need a permit to be loaded, ``permits_done``
    units whose permits can be returned.  ``unaccounted`` units are loaded on the
    engine but do not fit into the row.
    """

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
    """Return the changes of ``row`` and the orders that follow from the report.

    ``next_order`` is the number of all orders recorded by the next write of the row.
    ``permitted`` are the units whose load orders may be sent to the engine.
    """
    result = Reconciled(row)
    for charge in row.charges:
        unit_times = times[charge.unit]
        if charge.base and not _base_stays(row, charge):
            # An adapter is removed together with its base.
            continue
        match charge.state:
            case ChargeState.LOADING:
                _reconcile_loading(
                    result, charge, view, unit_times, next_order, permitted
                )
            case ChargeState.SERVING:
                if not view.report.holds(charge.unit):
                    # The engine restarted or dropped the unit; reload it.
                    lost = charge.lost(peak_mb=0)
                    result.row = result.row.with_charge(lost)
            case ChargeState.UNLOADING:
                _reconcile_unloading(result, charge, view, unit_times, next_order)
    _adopt_unknown(result, view)
    return result


def _base_stays(row: LedgerRow, adapter: Charge) -> bool:
    """Whether the adapter's base is charged and not being unloaded."""
    base = row.find(adapter.base)
    return base is not None and base.state is not ChargeState.UNLOADING


def _reconcile_loading(
    result: Reconciled,
    charge: Charge,
    view: TargetView,
    unit_times: UnitTimes,
    next_order: int,
    permitted: frozenset[str],
) -> None:
    """Confirm a load, request its permit, or send its order (again)."""
    if view.report.holds(charge.unit):
        result.row = result.row.with_charge(charge.serving())
        result.permits_done.add(charge.unit)
        return
    if charge.unit in view.report.loading:
        return
    waited = view.now - unit_times.last_order
    lag = timedelta(seconds=view.spec.max_report_lag_seconds)
    if unit_times.sent and waited < RESEND_AFTER + lag:
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
    unit_times: UnitTimes,
    next_order: int,
) -> None:
    """Order an unload, repeat the order, or remove the charge of an unloaded unit."""
    if charge.order == NOT_ORDERED:
        if view.now - unit_times.since >= RETIRE_GRACE:
            _order_unload(result, charge, next_order)
        return
    if _is_unloaded(charge, view, unit_times):
        adapters = [c.unit for c in result.row.charges if c.base == charge.unit]
        if not any(view.report.holds(unit) for unit in adapters):
            result.row = result.row.without([charge.unit, *adapters])
            result.permits_done |= {charge.unit, *adapters}
        return
    is_present = view.report.holds(charge.unit) or charge.unit in view.report.loading
    unfenced = view.report.fence < charge.order
    if (is_present or unfenced) and view.now - unit_times.last_order >= RESEND_AFTER:
        _order_unload(result, charge, next_order)


def _order_unload(result: Reconciled, charge: Charge, next_order: int) -> None:
    result.row = result.row.with_charge(replace(charge, order=next_order))
    result.orders.append(Order(OrderKind.UNLOAD, charge.unit, next_order))


def _is_unloaded(charge: Charge, view: TargetView, unit_times: UnitTimes) -> bool:
    """Whether the unit is unloaded and no earlier order can load it again."""
    if view.report.holds(charge.unit) or charge.unit in view.report.loading:
        return False
    if view.spec.fencing is Fencing.REFUSES:
        return view.report.fence >= charge.order
    max_delay = timedelta(
        seconds=view.spec.max_order_delay_seconds + view.spec.max_report_lag_seconds
    )
    return view.report_started - unit_times.last_order >= max_delay


def _adopt_unknown(result: Reconciled, view: TargetView) -> None:
    """Add charges for loaded units that have none, so that they are unloaded."""
    for loaded in view.report.units:
        if result.row.find(loaded.unit) is not None:
            continue
        unknown = Charge(loaded.unit, loaded.memory_mb, 0, ChargeState.UNLOADING)
        if result.row.free_mb < loaded.memory_mb:
            result.unaccounted.append(loaded)
            continue
        result.row = result.row.with_charge(unknown)
