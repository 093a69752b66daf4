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

RESEND_INTERVAL = timedelta(seconds=3)
RETIRE_GRACE_PERIOD = timedelta(seconds=3)
"""Time in which nodes stop routing to a unit before it is unloaded."""


@dataclass(slots=True)
class UnitTimes:
    """Times of one charge's last state change and last order, by the holder's clock.

    A new lease holder sets both to the time of its takeover, which is later than any
    order of the previous holder, so it never waits too short a time.
    """

    state_changed_at: timedelta
    last_order_at: timedelta
    is_order_sent: bool = False


@dataclass(frozen=True, slots=True)
class TargetSnapshot:
    """The lease holder's data on one target at time ``now``.

    ``report_requested_at`` is the time at which the report was requested.
    """

    spec: TargetSpec
    report: EngineReport
    report_requested_at: timedelta
    now: timedelta


@dataclass(slots=True)
class Reconciliation:
    """The row to write, the orders to send after that, and permits.

    ``loads_awaiting_permit`` are charges that need a permit to be loaded,
    ``finished_loads`` units whose permits can be returned.  ``unaccounted_units`` units
    are loaded on the engine but do not fit into the row.
    """

    row: LedgerRow
    orders: list[Order] = field(default_factory=list)
    loads_awaiting_permit: list[Charge] = field(default_factory=list)
    finished_loads: set[str] = field(default_factory=set)
    unaccounted_units: list[LoadedUnit] = field(default_factory=list)


def reconcile(
    row: LedgerRow,
    snapshot: TargetSnapshot,
    times_by_unit: Mapping[str, UnitTimes],
    next_order_number: int,
    permitted_units: frozenset[str],
) -> Reconciliation:
    """Return the changes of ``row`` and the orders that follow from the report.

    ``next_order_number`` is the number of all orders recorded by the next write of the
    row.
    ``permitted_units`` are the units whose load orders may be sent to the engine.
    """
    result = Reconciliation(row)
    for charge in row.charges:
        unit_times = times_by_unit[charge.unit]
        if charge.base and not _base_stays(row, charge):
            # An adapter is removed together with its base.
            continue
        match charge.state:
            case ChargeState.LOADING:
                _reconcile_loading(
                    result,
                    charge,
                    snapshot,
                    unit_times,
                    next_order_number,
                    permitted_units,
                )
            case ChargeState.SERVING:
                if not snapshot.report.has_loaded(charge.unit):
                    # The engine restarted or dropped the unit; reload it.
                    lost = charge.as_reloading(peak_mb=0)
                    result.row = result.row.with_charge(lost)
            case ChargeState.UNLOADING:
                _reconcile_unloading(
                    result, charge, snapshot, unit_times, next_order_number
                )
    _adopt_unknown(result, snapshot)
    return result


def _base_stays(row: LedgerRow, adapter: Charge) -> bool:
    """Whether the adapter's base is charged and not being unloaded."""
    base = row.find_charge(adapter.base)
    return base is not None and base.state is not ChargeState.UNLOADING


def _reconcile_loading(
    result: Reconciliation,
    charge: Charge,
    view: TargetSnapshot,
    unit_times: UnitTimes,
    next_order: int,
    permitted: frozenset[str],
) -> None:
    """Confirm a load, request its permit, or send its order (again)."""
    if view.report.has_loaded(charge.unit):
        result.row = result.row.with_charge(charge.as_serving())
        result.finished_loads.add(charge.unit)
        return
    if charge.unit in view.report.loading:
        return
    waited = view.now - unit_times.last_order_at
    lag = timedelta(seconds=view.spec.max_report_lag_seconds)
    if unit_times.is_order_sent and waited < RESEND_INTERVAL + lag:
        return
    if charge.base and not view.report.has_loaded(charge.base):
        return
    if charge.unit not in permitted:
        result.loads_awaiting_permit.append(charge)
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
    result: Reconciliation,
    charge: Charge,
    view: TargetSnapshot,
    unit_times: UnitTimes,
    next_order: int,
) -> None:
    """Order an unload, repeat the order, or remove the charge of an unloaded unit."""
    if charge.order == NOT_ORDERED:
        if view.now - unit_times.state_changed_at >= RETIRE_GRACE_PERIOD:
            _order_unload(result, charge, next_order)
        return
    if _is_unloaded(charge, view, unit_times):
        adapters = [c.unit for c in result.row.charges if c.base == charge.unit]
        if not any(view.report.has_loaded(unit) for unit in adapters):
            result.row = result.row.without_units([charge.unit, *adapters])
            result.finished_loads |= {charge.unit, *adapters}
        return
    is_present = (
        view.report.has_loaded(charge.unit) or charge.unit in view.report.loading
    )
    unfenced = view.report.fence < charge.order
    if (
        is_present or unfenced
    ) and view.now - unit_times.last_order_at >= RESEND_INTERVAL:
        _order_unload(result, charge, next_order)


def _order_unload(result: Reconciliation, charge: Charge, next_order: int) -> None:
    result.row = result.row.with_charge(replace(charge, order=next_order))
    result.orders.append(Order(OrderKind.UNLOAD, charge.unit, next_order))


def _is_unloaded(charge: Charge, view: TargetSnapshot, unit_times: UnitTimes) -> bool:
    """Whether the unit is unloaded and no earlier order can load it again."""
    if view.report.has_loaded(charge.unit) or charge.unit in view.report.loading:
        return False
    if view.spec.fencing is Fencing.REFUSES:
        return view.report.fence >= charge.order
    max_delay = timedelta(
        seconds=view.spec.max_order_delay_seconds + view.spec.max_report_lag_seconds
    )
    return view.report_requested_at - unit_times.last_order_at >= max_delay


def _adopt_unknown(result: Reconciliation, view: TargetSnapshot) -> None:
    """Add charges for loaded units that have none, so that they are unloaded."""
    for loaded in view.report.units:
        if result.row.find_charge(loaded.unit) is not None:
            continue
        unknown = Charge(loaded.unit, loaded.memory_mb, 0, ChargeState.UNLOADING)
        if result.row.free_mb < loaded.memory_mb:
            result.unaccounted_units.append(loaded)
            continue
        result.row = result.row.with_charge(unknown)
