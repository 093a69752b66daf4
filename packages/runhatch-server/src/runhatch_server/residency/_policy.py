"""Which model goes where: decided by what requests wait for and what would be lost.

All values are in weighted requests.  What waits for a model, and what would ask for
it within a few seconds, speaks for loading it; the same measure speaks for keeping
what must give way.
"""

import heapq
from dataclasses import dataclass
from enum import Enum

from runhatch_server.residency._needs import NOT_HELD, OVERDUE, Need, find_needs
from runhatch_server.residency._places import Draft, Place
from runhatch_server.residency._view import FleetView


@dataclass(frozen=True, slots=True)
class LoadModel:
    """Load ``model`` on ``target`` after unloading ``evict``."""

    target: str
    model: str
    evict: tuple[str, ...]
    reason: str
    value: float


class LeftBecause(Enum):
    """Why a model that no target holds is not loaded now."""

    NO_PLACE = "no place"
    """No target may drop enough for it, or all that may are taken."""
    NOT_WORTH_IT = "not worth it"
    """What would give way, and the time that the load takes, outweigh it."""
    TARGET_BUSY = "target busy"
    """Its best place takes no order yet."""


@dataclass(frozen=True, slots=True)
class LeftModel:
    """A model that requests wait for and that no load was begun for.

    ``target`` is the best place, empty if there is none.  ``waiting``, ``won``,
    ``lost`` and ``owed`` are in weighted requests, ``rate`` in those a second;
    ``seconds`` is how long the load would take.
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
    """The loads to begin now, no two on one target, and what is left waiting."""

    loads: list[LoadModel]
    left: list[LeftModel]


def plan_models(view: FleetView) -> ModelPlan:
    """Decide which models to load now.

    The load that wins most goes first.  One that is less dear elsewhere must not take
    the target that another can be loaded on quickly: taken in the order of what asks
    for them, a replica took 9 s of the one target with a copy of a model that 12
    requests a second missed, and which 2.3 s would have served.
    """
    plan = ModelPlan([], [])
    needs = find_needs(view)
    draft = Draft(view, needs)
    places = [draft.best_place(need) for need in needs]
    waiting = [
        (-place.value, index)
        for index, place in enumerate(places)
        if place is not None and place.is_worth_it
    ]
    heapq.heapify(waiting)
    planned = set()
    while waiting:
        _, index = heapq.heappop(waiting)
        place = places[index]
        assert place is not None
        if not draft.is_open(place):
            place = places[index] = draft.best_place(needs[index])
            if place is not None and place.is_worth_it:
                heapq.heappush(waiting, (-place.value, index))
            continue
        # A target that is busy for a moment may still be the best place.
        draft.take(place)
        if place.startable:
            planned.add(index)
            plan.loads.append(_load(needs[index], place))
    plan.left.extend(
        _left(need, places[index])
        for index, need in enumerate(needs)
        if index not in planned and need.reason == NOT_HELD
    )
    return plan


def _load(need: Need, place: Place) -> LoadModel:
    reason = OVERDUE if place.is_overdue else need.reason
    return LoadModel(place.target, need.model.name, place.evict, reason, place.value)


def _left(need: Need, best: Place | None) -> LeftModel:
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
