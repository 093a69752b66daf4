"""Decide which adapters to load on the targets that hold their models."""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from runhatch_server.residency._control import TargetControl
from runhatch_server.residency._fleet_view import (
    MIN_DEMAND_RATE,
    UNMET_WEIGHT,
    FleetView,
)

ADAPTER_RATE_PER_REPLICA = 1.5
"""Requests per second for one adapter above which another replica of it is loaded."""


@dataclass(frozen=True, slots=True)
class AdapterLoad:
    """Load an adapter on ``target`` after unloading ``eviction`` if no slot is free."""

    target: str
    model: str
    adapter: str
    eviction: tuple[str, str] | None


class AdapterDeferralReason(Enum):
    """Why an adapter that no target holds is not loaded now."""

    NO_HOLDER_FREE = "no holder free"
    """Each target that holds the model has another order in progress."""
    NOT_WORTH_IT = "not worth it"
    """Each adapter that could be evicted has more demand."""


@dataclass(frozen=True, slots=True)
class DeferredAdapter:
    """An adapter that requests wait for and that is not loaded now.

    ``waiting`` and ``loss``, the demand for the adapter that would be evicted, are in
    weighted requests.
    """

    model: str
    adapter: str
    reason: AdapterDeferralReason
    waiting: float
    loss: float = 0.0


@dataclass(frozen=True, slots=True)
class AdapterPlan:
    """The adapters to load now, at most one per target, and the adapters deferred."""

    loads: list[AdapterLoad]
    deferred: list[DeferredAdapter]


def plan_adapters(view: FleetView) -> AdapterPlan:
    """Decide which adapters to load now."""
    plan = AdapterPlan([], [])
    used_targets: set[str] = set()
    for model, adapter in _adapters_to_load(view):
        best = _best_adapter_load(view, model, adapter, used_targets)
        if best is not None:
            used_targets.add(best.target)
            plan.loads.append(best)
        elif not any(holder.holds(model, adapter) for holder in view.holders(model)):
            plan.deferred.append(_deferred_adapter(view, model, adapter, used_targets))
    return plan


def _deferred_adapter(
    view: FleetView, model: str, adapter: str, used_targets: set[str]
) -> DeferredAdapter:
    waiting = _adapter_gain(view, model, adapter)
    free = [
        control
        for control in view.holders(model)
        if control.is_free_at(view.now)
        and control.target.incarnation not in used_targets
    ]
    if not free:
        return DeferredAdapter(
            model, adapter, AdapterDeferralReason.NO_HOLDER_FREE, waiting
        )
    evictions = [_cheapest_eviction(view, control) for control in free]
    loss = min(
        (eviction[0] for eviction in evictions if eviction is not None), default=0.0
    )
    return DeferredAdapter(
        model, adapter, AdapterDeferralReason.NOT_WORTH_IT, waiting, loss
    )


def _adapter_gain(view: FleetView, model: str, adapter: str) -> float:
    """Return the gain of loading an adapter, in weighted requests."""
    demand = view.adapter_demand(model, adapter)
    return (
        demand.weighted_rate
        + demand.waiting_requests(view.now)
        + demand.unmet * UNMET_WEIGHT
    )


def _adapters_to_load(view: FleetView) -> Iterable[tuple[str, str]]:
    """Return the adapters to load, those with most demand first."""
    ranked: list[tuple[float, str, str]] = []
    for model, adapter in view.demand.requested_adapters(view.service):
        holders = view.holders(model)
        demand = view.adapter_demand(model, adapter)
        holding = sum(control.holds(model, adapter) for control in holders)
        if not holders or holding == len(holders):
            continue
        waiting = demand.waiting_requests(view.now) + demand.unmet * UNMET_WEIGHT
        replicas = max(1, round(demand.rate / ADAPTER_RATE_PER_REPLICA))
        if (not holding and (waiting > 0 or demand.rate > MIN_DEMAND_RATE)) or (
            holding and holding < replicas
        ):
            ranked.append((waiting + demand.weighted_rate, model, adapter))
    ranked.sort(reverse=True)
    return [(model, adapter) for _, model, adapter in ranked]


def _best_adapter_load(
    view: FleetView, model: str, adapter: str, used_targets: set[str]
) -> AdapterLoad | None:
    """Return the best load of ``adapter`` on a holder of ``model``.

    Holders with a free adapter slot are preferred.
    """
    candidates: list[tuple[float, AdapterLoad]] = []
    gain = _adapter_gain(view, model, adapter)
    for control in view.holders(model):
        name = control.target.incarnation
        if name in used_targets or not control.is_free_at(view.now):
            continue
        if control.holds(model, adapter):
            continue
        if control.intent is not None and model in control.intent.evictions:
            continue
        crowding = control.adapter_count() / max(1, view.engine.adapter_slots)
        if control.adapter_count() < view.engine.adapter_slots:
            cost = view.load_of(control) + crowding
            candidates.append((cost, AdapterLoad(name, model, adapter, None)))
            continue
        eviction = _cheapest_eviction(view, control)
        if eviction is not None and eviction[0] < gain:
            cost = 2.0 + view.load_of(control) + eviction[0]
            candidates.append((cost, AdapterLoad(name, model, adapter, eviction[1])))
    return (
        min(candidates, key=lambda candidate: candidate[0])[1] if candidates else None
    )


def _cheapest_eviction(
    view: FleetView, control: TargetControl
) -> tuple[float, tuple[str, str]] | None:
    """Return the adapter with the least demand on a target, and that demand."""
    candidates = [
        (
            view.adapter_demand(model, adapter).weighted_rate,
            (model, adapter),
        )
        for model, adapters in control.held.items()
        for adapter in adapters
        if not control.is_protected(model, adapter, view.now)
    ]
    return min(candidates, default=None)
