"""Which models are to be loaded: what waits for each, and what it would serve."""

from dataclasses import dataclass
from datetime import timedelta

from runhatch_server.residency._view import (
    REPLICA_LOAD,
    UNMET_WEIGHT,
    WORTH_KEEPING_RATE,
    FleetView,
)
from runhatch_server.routing import EngineModel

PERSISTENCE_SECONDS = 10.0
"""How long demand is taken to stay with a model.  Loads that take longer win nothing
but what waits for them."""
SELDOM_SECONDS = 4.0
"""The same for a model that a few requests have asked for: they tell of no demand
that stays."""
MISSED_SECOND_VALUE = 0.25
"""What each second adds, in weighted requests, that requests have been missing a
model: a load from the weight store costs 3.3 and more, which requests that come one
each ten seconds never win, so such models were refused all day.  Loads for which
little gives way come within some ten seconds."""
MISSED_FOR_LONG = timedelta(seconds=30)
"""After which a second counts twice, and so on: the last way to be served must not
wait for as long as busy models are worth."""
MUCH_SOONER = timedelta(seconds=2)
"""A load that is under way is passed by if another would be done so much sooner, as
when a target with a copy on its disk has come back."""

NOT_HELD, TOO_BUSY, OVERDUE = "not held", "too busy", "overdue"
"""Reasons for a load, as logs tell them."""


@dataclass(frozen=True, slots=True)
class Need:
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


def find_needs(view: FleetView) -> list[Need]:
    """Return the models to load, the most valuable first."""
    needs = [
        need for model in view.engine.models if (need := _need(view, model)) is not None
    ]
    needs.sort(key=lambda need: need.won(0.0), reverse=True)
    return needs


def _need(view: FleetView, model: EngineModel) -> Need | None:
    coming_at = view.coming_at(model.name)
    holders = view.holders(model.name)
    if coming_at is not None and (holders or coming_at - view.now < MUCH_SOONER):
        return None
    demand = view.demand_for(model.name)
    if holders:
        relief = _relief(view, model.name)
        rate = relief * demand.weighted
        return Need(model, 0.0, rate, TOO_BUSY) if relief > 0 else None
    waiting = demand.waiting(view.now)
    waiting += max(0.0, demand.unmet - 1.0) * UNMET_WEIGHT
    if waiting <= 0 and demand.rate < WORTH_KEEPING_RATE:
        return None
    lasts = PERSISTENCE_SECONDS if demand.is_steady else SELDOM_SECONDS
    missed_for = demand.missed_for(view.now)
    return Need(model, waiting, demand.weighted, NOT_HELD, lasts, missed_for)


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
