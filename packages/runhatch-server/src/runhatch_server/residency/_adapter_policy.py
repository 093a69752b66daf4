"""Which adapters are loaded beside the models that targets hold."""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from runhatch_server.residency._control import TargetControl
from runhatch_server.residency._view import (
    UNMET_WEIGHT,
    WORTH_KEEPING_RATE,
    FleetView,
)

ADAPTER_RATE_PER_REPLICA = 1.5
"""Requests a second for one adapter from which it is put on another target."""


@dataclass(frozen=True, slots=True)
class LoadAdapter:
    """Load an adapter on ``target``, after unloading ``evict`` if it has no room."""

    target: str
    model: str
    adapter: str
    evict: tuple[str, str] | None


class AdapterLeft(Enum):
    """Why an adapter that no target holds is not loaded now."""

    NO_HOLDER_FREE = "no holder free"
    """Each target that holds its model has another order under way."""
    NOT_WORTH_IT = "not worth it"
    """Each adapter that might give way is asked for more."""


@dataclass(frozen=True, slots=True)
class LeftAdapter:
    """An adapter that requests wait for and that is not loaded now.

    ``waiting`` and ``lost``, what would give way, are in weighted requests.
    """

    model: str
    adapter: str
    because: AdapterLeft
    waiting: float
    lost: float = 0.0


@dataclass(frozen=True, slots=True)
class AdapterPlan:
    """The adapters to load now, no two on one target, and what is left waiting."""

    loads: list[LoadAdapter]
    left: list[LeftAdapter]


def plan_adapters(view: FleetView) -> AdapterPlan:
    """Decide which adapters to load now."""
    plan = AdapterPlan([], [])
    taken: set[str] = set()
    for model, adapter in _adapters_wanted(view):
        best = _adapter_place(view, model, adapter, taken)
        if best is not None:
            taken.add(best.target)
            plan.loads.append(best)
        elif not any(held.holds(model, adapter) for held in view.holders(model)):
            plan.left.append(_left(view, model, adapter, taken))
    return plan


def _left(view: FleetView, model: str, adapter: str, taken: set[str]) -> LeftAdapter:
    waiting = _worth(view, model, adapter)
    free = [
        control
        for control in view.holders(model)
        if control.is_free_at(view.now) and control.target.incarnation not in taken
    ]
    if not free:
        return LeftAdapter(model, adapter, AdapterLeft.NO_HOLDER_FREE, waiting)
    victims = [_adapter_victim(view, control) for control in free]
    lost = min((victim[0] for victim in victims if victim is not None), default=0.0)
    return LeftAdapter(model, adapter, AdapterLeft.NOT_WORTH_IT, waiting, lost)


def _worth(view: FleetView, model: str, adapter: str) -> float:
    """Return what loading an adapter wins, in weighted requests."""
    own = view.adapter_demand(model, adapter)
    return own.weighted + own.waiting(view.now) + own.unmet * UNMET_WEIGHT


def _adapters_wanted(view: FleetView) -> Iterable[tuple[str, str]]:
    """Return adapters to load, those most waited for first."""
    wanted: list[tuple[float, str, str]] = []
    for model, adapter in view.demand.adapters(view.service):
        holders = view.holders(model)
        demand = view.adapter_demand(model, adapter)
        have = sum(control.holds(model, adapter) for control in holders)
        if not holders or have == len(holders):
            continue
        waiting = demand.waiting(view.now) + demand.unmet * UNMET_WEIGHT
        enough = max(1, round(demand.rate / ADAPTER_RATE_PER_REPLICA))
        if (not have and (waiting > 0 or demand.rate > WORTH_KEEPING_RATE)) or (
            have and have < enough
        ):
            wanted.append((waiting + demand.weighted, model, adapter))
    wanted.sort(reverse=True)
    return [(model, adapter) for _, model, adapter in wanted]


def _adapter_place(
    view: FleetView, model: str, adapter: str, taken: set[str]
) -> LoadAdapter | None:
    """Return the best holder of ``model`` for ``adapter``: one with room first."""
    places: list[tuple[float, LoadAdapter]] = []
    worth = _worth(view, model, adapter)
    for control in view.holders(model):
        name = control.target.incarnation
        if name in taken or not control.is_free_at(view.now):
            continue
        if control.holds(model, adapter):
            continue
        if control.intent is not None and model in control.intent.evict:
            continue
        crowding = control.adapter_count() / max(1, view.engine.adapter_slots)
        if control.adapter_count() < view.engine.adapter_slots:
            cost = view.load_of(control) + crowding
            places.append((cost, LoadAdapter(name, model, adapter, None)))
            continue
        victim = _adapter_victim(view, control)
        if victim is not None and victim[0] < worth:
            cost = 2.0 + view.load_of(control) + victim[0]
            places.append((cost, LoadAdapter(name, model, adapter, victim[1])))
    return min(places, key=lambda place: place[0])[1] if places else None


def _adapter_victim(
    view: FleetView, control: TargetControl
) -> tuple[float, tuple[str, str]] | None:
    """Return the adapter that is asked for least, and how much that is."""
    found = [
        (
            view.adapter_demand(model, adapter).weighted,
            (model, adapter),
        )
        for model, adapters in control.held.items()
        for adapter in adapters
        if not control.protected(model, adapter, view.now)
    ]
    return min(found, default=None)
