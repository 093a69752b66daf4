"""Decide which models to load, and on which targets.

All values are in weighted requests. The requests that wait for a model, and those
expected within a few seconds, are the gain of loading it; the same measure gives the
loss of evicting others for it.
"""

import heapq
from collections.abc import Sequence
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum

from runhatch_server.residency._fleet_view import FleetView
from runhatch_server.residency._needs import NOT_HELD, OVERDUE, Need, find_needs
from runhatch_server.residency._places import PlacementDraft, PlacementOption


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
    """No target can evict enough models, or the plan already uses all that can."""
    OVERDUE_LIMIT = "overdue limit"
    """The time for which it has been missed justifies the load, but as many targets as
    may load overdue models already do."""
    NOT_WORTH_IT = "not worth it"
    """The evicted models and the duration of the load cost more than the load gains."""
    TARGET_BUSY = "target busy"
    """The best target cannot receive an order yet."""


@dataclass(frozen=True, slots=True)
class DeferredModel:
    """A model that requests wait for and for which no load was started.

    ``target`` is the best target, empty if there is none. ``waiting``, ``gain``,
    ``loss`` and ``missed_gain`` are in weighted requests, ``rate`` in weighted requests
    per second; ``ready_in_seconds`` is the time until the load would be done, and
    ``missed_for`` how long requests have found no target that holds the model.
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
    missed_for: timedelta = timedelta()


@dataclass(frozen=True, slots=True)
class ModelPlan:
    """The loads to start now, at most one per target, and the models deferred."""

    loads: list[ModelLoad]
    deferred: list[DeferredModel]


def plan_models(view: FleetView) -> ModelPlan:
    """Decide which models to load now.

    Models that have been missed for longer than their loads take get their turns first,
    in the order of their first misses, on as many targets as serve all of them in time.

    Of the other loads the one with the highest gain is placed first. A load that costs
    little more on another target must not occupy the target where another model loads
    quickly. When models were placed in order of their demand, the load of a replica
    occupied, for 9 s, the only target with a copy of a model that 12 requests per
    second missed and that would have loaded there in 2.3 s.
    """
    plan = ModelPlan([], [])
    needs = find_needs(view)
    draft = PlacementDraft(view, needs)
    planned = set()
    for index in _order_turns(needs):
        turn = draft.take_turn(needs[index])
        if turn is not None:
            planned.add(index)
            plan.loads.append(_make_model_load(needs[index], turn, OVERDUE))
    options = [
        None if index in planned else draft.find_best_option(need)
        for index, need in enumerate(needs)
    ]
    queue = [
        (-option.value, index)
        for index, option in enumerate(options)
        if option is not None and option.is_worthwhile
    ]
    heapq.heapify(queue)
    while queue:
        _, index = heapq.heappop(queue)
        option = options[index]
        assert option is not None
        if not draft.is_available(option):
            option = options[index] = draft.find_best_option(needs[index])
            if option is not None and option.is_worthwhile:
                heapq.heappush(queue, (-option.value, index))
            continue
        # A busy target may still be the best option.
        draft.reserve(option)
        if option.is_startable:
            planned.add(index)
            reason = OVERDUE if option.is_overdue else needs[index].reason
            plan.loads.append(_make_model_load(needs[index], option, reason))
    plan.deferred.extend(
        _make_deferred_model(need, options[index])
        for index, need in enumerate(needs)
        if index not in planned and need.reason == NOT_HELD
    )
    return plan


def _order_turns(needs: Sequence[Need]) -> list[int]:
    """Return the indices of the models to load in turn, the first missed ones first."""
    indices = [index for index, need in enumerate(needs) if need.awaits_turn]
    return sorted(indices, key=lambda index: needs[index].missed_for, reverse=True)


def _make_model_load(need: Need, option: PlacementOption, reason: str) -> ModelLoad:
    return ModelLoad(
        option.target, need.model.name, option.evictions, reason, option.value
    )


def _make_deferred_model(need: Need, best: PlacementOption | None) -> DeferredModel:
    if best is None:
        return DeferredModel(
            need.model.name,
            DeferralReason.NO_PLACE,
            need.waiting,
            need.rate,
            missed_for=need.missed_for,
        )
    return DeferredModel(
        need.model.name,
        _deferral_reason(need, best),
        need.waiting,
        need.rate,
        best.target,
        best.gain,
        best.loss,
        max(need.missed_gain, need.repeated_miss_gain),
        best.ready_in_seconds,
        need.missed_for,
    )


def _deferral_reason(need: Need, best: PlacementOption) -> DeferralReason:
    if best.is_worthwhile:
        return DeferralReason.TARGET_BUSY
    added_gain = max(need.missed_gain, need.repeated_miss_gain)
    if best.gain > 0.0 and best.loss < best.gain + added_gain:
        return DeferralReason.OVERDUE_LIMIT
    return DeferralReason.NOT_WORTH_IT
