"""Decide which models to load, and on which targets.

All values are in weighted requests. The requests that wait for a model, and those
expected within a few seconds, are the gain of loading it; the same measure gives the
loss of evicting others for it.
"""

import heapq
from dataclasses import dataclass
from enum import Enum

from runhatch_server.residency._needs import NOT_HELD, OVERDUE, Need, find_needs
from runhatch_server.residency._places import PlacementDraft, PlacementOption
from runhatch_server.residency._view import FleetView


@dataclass(frozen=True, slots=True)
class ModelLoad:
    """Load ``model`` on ``target`` after unloading the models in ``evictions``."""

    target: str
    model: str
    evictions: tuple[str, ...]
    reason: str
    value: float


class DeferralReason(Enum):
    """Why a model that no target holds is not loaded now."""

    NO_PLACE = "no place"
    """No target can evict enough models, or all that can are already in the plan."""
    NOT_WORTH_IT = "not worth it"
    """The evicted models and the duration of the load cost more than it gains."""
    TARGET_BUSY = "target busy"
    """The best target cannot receive an order yet."""


@dataclass(frozen=True, slots=True)
class DeferredModel:
    """A model that requests wait for and for which no load was started.

    ``target`` is the best target, empty if there is none. ``waiting``, ``gain``,
    ``loss`` and ``missed_gain`` are in weighted requests, ``rate`` in weighted requests
    per second; ``ready_in_seconds`` is the time until the load would be done.
    """

    model: str
    reason: DeferralReason
    waiting: float
    rate: float
    target: str = ""
    gain: float = 0.0
    loss: float = 0.0
    missed_gain: float = 0.0
    ready_in_seconds: float = 0.0


@dataclass(frozen=True, slots=True)
class ModelPlan:
    """The loads to start now, at most one per target, and the models deferred."""

    loads: list[ModelLoad]
    deferred: list[DeferredModel]


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
    draft = PlacementDraft(view, needs)
    places = [draft.find_best_option(need) for need in needs]
    queue = [
        (-place.value, index)
        for index, place in enumerate(places)
        if place is not None and place.is_worthwhile
    ]
    heapq.heapify(queue)
    planned = set()
    while queue:
        _, index = heapq.heappop(queue)
        place = places[index]
        assert place is not None
        if not draft.is_available(place):
            place = places[index] = draft.find_best_option(needs[index])
            if place is not None and place.is_worthwhile:
                heapq.heappush(queue, (-place.value, index))
            continue
        # A busy target may still be the best place.
        draft.reserve(place)
        if place.is_startable:
            planned.add(index)
            plan.loads.append(_load_model(needs[index], place))
    plan.deferred.extend(
        _deferred_model(need, places[index])
        for index, need in enumerate(needs)
        if index not in planned and need.reason == NOT_HELD
    )
    return plan


def _load_model(need: Need, place: PlacementOption) -> ModelLoad:
    reason = OVERDUE if place.is_overdue else need.reason
    return ModelLoad(
        place.target, need.model.name, place.evictions, reason, place.value
    )


def _deferred_model(need: Need, best: PlacementOption | None) -> DeferredModel:
    if best is None:
        because = DeferralReason.NO_PLACE
        return DeferredModel(need.model.name, because, need.waiting, need.rate)
    because = DeferralReason.NOT_WORTH_IT
    if best.is_worthwhile:
        because = DeferralReason.TARGET_BUSY
    return DeferredModel(
        need.model.name,
        because,
        need.waiting,
        need.rate,
        best.target,
        best.gain,
        best.loss,
        best.missed_gain,
        best.ready_in_seconds,
    )
