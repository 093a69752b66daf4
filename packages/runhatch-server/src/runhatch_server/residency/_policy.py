"""Decide which models to load, and on which targets.

All values are in weighted requests. The requests that wait for a model, and those
expected within a few seconds, are the gain of loading it; the same measure gives the
loss of evicting others for it.
"""

import heapq
from dataclasses import dataclass
from enum import Enum

from runhatch_server.residency._needs import NOT_HELD, OVERDUE, Need, find_needs
from runhatch_server.residency._places import Draft, Place
from runhatch_server.residency._view import FleetView


@dataclass(frozen=True, slots=True)
class LoadModel:
    """Load ``model`` on ``target`` after unloading the models in ``evict``."""

    target: str
    model: str
    evict: tuple[str, ...]
    reason: str
    value: float


class LeftBecause(Enum):
    """Why a model that no target holds is not loaded now."""

    NO_PLACE = "no place"
    """No target can evict enough models, or all that can are already in the plan."""
    NOT_WORTH_IT = "not worth it"
    """The evicted models and the duration of the load cost more than it gains."""
    TARGET_BUSY = "target busy"
    """The best target cannot receive an order yet."""


@dataclass(frozen=True, slots=True)
class LeftModel:
    """A model that requests wait for and for which no load was started.

    ``target`` is the best target, empty if there is none. ``waiting``, ``won``,
    ``lost`` and ``owed`` are in weighted requests, ``rate`` in weighted requests per
    second; ``seconds`` is the time until the load would be done.
    """

    model: str
    because: LeftBecause
    waiting: float
    rate: float
    target: str = ""
    won: float = 0.0
    lost: float = 0.0
    owed: float = 0.0
    seconds: float = 0.0


@dataclass(frozen=True, slots=True)
class ModelPlan:
    """The loads to start now, at most one per target, and the models deferred."""

    loads: list[LoadModel]
    left: list[LeftModel]


def plan_models(view: FleetView) -> ModelPlan:
    """Decide which models to load now.

    The load with the highest gain is placed first. A load that costs little more on
    another target must not occupy the target where another model loads quickly. When
    models were placed in order of their demand, a replica occupied for 9 s the one
    target with a copy of a model that 12 requests per second missed and that would have
    loaded in 2.3 s.
    """
    plan = ModelPlan([], [])
    needs = find_needs(view)
    draft = Draft(view, needs)
    places = [draft.best_place(need) for need in needs]
    queue = [
        (-place.value, index)
        for index, place in enumerate(places)
        if place is not None and place.is_worth_it
    ]
    heapq.heapify(queue)
    planned = set()
    while queue:
        _, index = heapq.heappop(queue)
        place = places[index]
        assert place is not None
        if not draft.is_open(place):
            place = places[index] = draft.best_place(needs[index])
            if place is not None and place.is_worth_it:
                heapq.heappush(queue, (-place.value, index))
            continue
        # A busy target may still be the best place.
        draft.take(place)
        if place.startable:
            planned.add(index)
            plan.loads.append(_load_model(needs[index], place))
    plan.left.extend(
        _deferred_model(need, places[index])
        for index, need in enumerate(needs)
        if index not in planned and need.reason == NOT_HELD
    )
    return plan


def _load_model(need: Need, place: Place) -> LoadModel:
    reason = OVERDUE if place.is_overdue else need.reason
    return LoadModel(place.target, need.model.name, place.evict, reason, place.value)


def _deferred_model(need: Need, best: Place | None) -> LeftModel:
    if best is None:
        because = LeftBecause.NO_PLACE
        return LeftModel(need.model.name, because, need.waiting, need.rate)
    because = LeftBecause.NOT_WORTH_IT
    if best.is_worth_it:
        because = LeftBecause.TARGET_BUSY
    return LeftModel(
        need.model.name,
        because,
        need.waiting,
        need.rate,
        best.target,
        best.won,
        best.lost,
        best.owed,
        best.seconds,
    )
