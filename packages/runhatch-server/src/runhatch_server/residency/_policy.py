"""Which model goes where: decided by what requests wait for and what would be lost.

All values are in weighted requests.  What waits for a model, and what would ask for
it within a few seconds, speaks for loading it; the same measure speaks for keeping
what must give way.
"""

from dataclasses import dataclass
from datetime import timedelta
from enum import Enum

from runhatch_server.residency._control import TargetControl
from runhatch_server.residency._view import (
    HORIZON_SECONDS,
    REPLICA_LOAD,
    UNMET_WEIGHT,
    WORTH_KEEPING_RATE,
    FleetView,
)
from runhatch_server.routing import EngineModel

PERSISTENCE_SECONDS = 10.0
"""How long demand is taken to stay with a model.  Loads that take longer win nothing
but what waits for them."""
STORE_LOAD_PRICE = 1.0
"""What a load from the weight store costs, in weighted requests; one loaded from a
target's own copy costs the time alone."""
LOAD_SECOND_PRICE = 0.25
"""What each second costs that a load keeps its target from other orders."""
BUSY_PRICE = 0.5
"""What a load on a target costs whose time is all taken."""
HYSTERESIS = 1.3
"""Times what is lost that must be won: against models that take turns."""
LEAST_DIFFERENCE = 0.2
"""A replica goes only to targets with so much less to do."""
MISSED_SECOND_VALUE = 0.25
"""What each second adds, in weighted requests, that requests have been missing a
model: a load from the weight store costs 3.3 and more, which requests that come one
each ten seconds never win, so such models were refused all day.  Loads for which
little gives way come within some ten seconds."""
MISSED_FOR_LONG = timedelta(seconds=30)
"""After which a second counts twice, and so on: the last way to be served must not
wait for as long as busy models are worth."""
OVERDUE_TARGETS = 1 / 8
"""Share of the targets, one at the least, that load from the weight store only for
such models: they take no orders for adapters meanwhile."""
MUCH_SOONER = timedelta(seconds=2)
"""A load that is under way is passed by if another would be done so much sooner, as
when a target with a copy on its disk has come back."""
SELDOM_SECONDS = 4.0
"""The same for a model that a few requests have asked for: they tell of no demand
that stays."""

NOT_HELD, TOO_BUSY, OVERDUE = "not held", "too busy", "overdue"
"""Reasons for a load, as logs tell them."""


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
    """Decide which models to load now."""
    plan = ModelPlan([], [])
    draft = _Draft(view)
    for need in _needs(view):
        best = _best_place(draft, need)
        if best is not None and best.is_worth_it:
            # A target that is busy for a moment may still be the best place.
            draft.taken.add(best.target)
            if best.startable:
                draft.overdue += best.from_store and best.is_overdue
                plan.loads.append(best.load(need))
                continue
        if need.reason == NOT_HELD:
            plan.left.append(_left(need, best))
    return plan


def _left(need: "_Need", best: "_Place | None") -> LeftModel:
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


class _Draft:
    """What a plan has taken so far."""

    def __init__(self, view: FleetView) -> None:
        self.view = view
        self.taken: set[str] = set()
        """Targets that are given a load, or will be."""
        self.overdue = sum(_loads_overdue(control) for control in view.controls)
        """Loads of overdue models from the weight store, under way or planned."""
        self._most_overdue = max(1.0, len(view.controls) * OVERDUE_TARGETS)

    @property
    def overdue_must_wait(self) -> bool:
        """Whether enough targets load overdue models from the weight store."""
        return self.overdue + 1 > self._most_overdue


def _loads_overdue(control: TargetControl) -> bool:
    return control.loading_because == OVERDUE and control.is_loading_from_store


@dataclass(frozen=True, slots=True)
class _Place:
    """What loading a model on one target wins and costs, in weighted requests."""

    target: str
    evict: tuple[str, ...]
    won: float
    lost: float
    seconds: float
    busy: float
    """What the target's other work makes this place worth less than others."""
    startable: bool
    from_store: bool
    owed: float
    """What it wins besides, for the time that the model has been missed."""

    @property
    def is_worth_it(self) -> bool:
        """Whether the load is to be made."""
        return self.won > 0.0 and self.lost < self.won + self.owed

    @property
    def is_overdue(self) -> bool:
        """Whether it is made only since the model has been missed for long."""
        return self.won <= self.lost

    @property
    def value(self) -> float:
        """What is left of the gain; places are compared by it."""
        return self.won - self.lost - self.busy

    def load(self, need: "_Need") -> LoadModel:
        """Return the load of what is needed here."""
        reason = OVERDUE if self.is_overdue else need.reason
        return LoadModel(self.target, need.model.name, self.evict, reason, self.value)


@dataclass(frozen=True, slots=True)
class _Need:
    """A model to load: what waits for it, and what it would serve a second."""

    model: EngineModel
    waiting: float
    rate: float
    reason: str

    persistence: float = PERSISTENCE_SECONDS
    missed_for: timedelta = timedelta()
    """How long requests have been missing it."""

    @property
    def owed(self) -> float:
        """What the load wins for the time that the model has been missed."""
        value = self.missed_for.total_seconds() * MISSED_SECOND_VALUE
        return value * (1.0 + self.missed_for / MISSED_FOR_LONG)

    def won(self, seconds: float) -> float:
        """Return what a load that is done after ``seconds`` wins."""
        lasting = max(0.0, self.persistence - seconds)
        return self.waiting + self.rate * lasting


def _needs(view: FleetView) -> list[_Need]:
    """Return the models to load, the most valuable first."""
    needs = []
    for model in view.engine.models:
        demand = view.demand.model(view.service, model.name, view.now)
        coming_at = view.coming_at(model.name)
        holders = view.holders(model.name)
        if coming_at is not None and (holders or coming_at - view.now < MUCH_SOONER):
            continue
        if not holders:
            waiting = demand.waiting(view.now)
            waiting += max(0.0, demand.unmet - 1.0) * UNMET_WEIGHT
            if waiting > 0 or demand.rate >= WORTH_KEEPING_RATE:
                lasts = PERSISTENCE_SECONDS if demand.is_steady else SELDOM_SECONDS
                missed_for = demand.missed_for(view.now)
                rate = demand.weighted
                need = _Need(model, waiting, rate, NOT_HELD, lasts, missed_for)
                needs.append(need)
            continue
        relief = _relief(view, model.name)
        if relief > 0:
            needs.append(_Need(model, 0.0, relief * demand.weighted, TOO_BUSY))
    needs.sort(key=lambda need: need.won(0.0), reverse=True)
    return needs


def _relief(view: FleetView, model: str) -> float:
    """Return the share of a model's requests that wait too long where they go."""
    holders = view.holders(model)
    total = sum(view.spread.share(model, c.target.incarnation) for c in holders)
    if total <= 0:
        return 0.0
    beyond = 0.0
    for control in holders:
        load = view.load_of(control)
        if load > REPLICA_LOAD:
            share = view.spread.share(model, control.target.incarnation)
            beyond += share * (load - REPLICA_LOAD) / load
    return min(1.0, beyond / total)


def _best_place(draft: _Draft, need: _Need) -> _Place | None:
    """Return the target that would win most, also if it would win nothing."""
    places = [
        place
        for control in draft.view.controls
        if control.target.incarnation not in draft.taken
        if (place := _place(draft, control, need)) is not None
    ]
    return max(places, key=lambda place: (place.is_worth_it, place.value), default=None)


def _place(draft: _Draft, control: TargetControl, need: _Need) -> _Place | None:
    """Return what loading a model on ``control`` would win, if it may be."""
    view = draft.view
    model = need.model
    if model.name in control.held:
        return None
    holders = view.holders(model.name)
    if holders:
        busiest = max(view.load_of(holder) for holder in holders)
        if busiest - view.load_of(control) < LEAST_DIFFERENCE:
            return None
    free_in = control.free_at(view.engine, view.now) - view.now
    ready_in = free_in + control.load_time(model)
    coming_at = view.coming_at(model.name)
    if coming_at is not None and coming_at - view.now - ready_in < MUCH_SOONER:
        return None
    evicted = _victims(view, control, model, replica=bool(holders))
    if evicted is None:
        return None
    victims, lost = evicted
    from_store = control.loads_from_store(model.name)
    if victims and holders and from_store:
        # What gives way would be missed all the time that the load takes.
        return None
    seconds = ready_in.total_seconds()
    missed = lost * max(1.0, seconds / HORIZON_SECONDS) * HYSTERESIS
    price = seconds * (LOAD_SECOND_PRICE + view.blocked_by(control))
    if from_store:
        price += STORE_LOAD_PRICE
    return _Place(
        control.target.incarnation,
        victims,
        need.won(seconds),
        missed + price,
        seconds,
        # Between places that win as much, the least busy one.
        view.load_of(control) * BUSY_PRICE,
        control.is_free_at(view.now) and control.intent is None,
        from_store,
        0.0 if from_store and draft.overdue_must_wait else need.owed,
    )


def _victims(
    view: FleetView, control: TargetControl, model: EngineModel, replica: bool
) -> tuple[tuple[str, ...], float] | None:
    """Return what must give way for ``model``, and what is lost by it.

    For one more replica no other model loses its last one while it is asked for.
    """
    lacking = model.memory_mb - view.free_mb(control)
    if lacking <= 0:
        return (), 0.0
    known = view.engine.by_name
    candidates = [
        (view.keep_value(control, name), name)
        for name in control.held
        if not control.protected(name, "", view.now)
        if not (replica and view.is_last_asked(control, name))
    ]
    victims: list[str] = []
    lost = 0.0
    for value, name in sorted(candidates):
        if lacking <= 0:
            break
        victims.append(name)
        lost += value
        lacking -= known[name].memory_mb if name in known else 0.0
    return (tuple(victims), lost) if lacking <= 0 else None
