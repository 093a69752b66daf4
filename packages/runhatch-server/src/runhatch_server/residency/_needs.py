"""Find the models to load, the requests that wait for each, and its expected demand."""

from dataclasses import dataclass
from datetime import timedelta

from runhatch_server.residency._fleet_view import (
    MIN_DEMAND_RATE,
    REPLICA_LOAD,
    UNMET_WEIGHT,
    FleetView,
)
from runhatch_server.routing import EngineModel

PERSISTENCE_SECONDS = 10.0
"""Expected duration of demand for a model. A load that takes longer gains only the
requests already waiting for it."""
RARE_PERSISTENCE_SECONDS = 4.0
"""Expected duration of demand after only a few requests, which do not show lasting
demand."""
MISSED_GAIN_PER_SECOND = 0.25
"""Gain, in weighted requests, for each second for which requests have missed a model. A
load from the weight store costs 3.3 or more, and requests that come once in ten seconds
never gain that much: without this gain, their models were never loaded. A load that
evicts little starts within about ten seconds."""
MISSED_GAIN_DOUBLING_TIME = timedelta(seconds=30)
"""Time after which each missed second counts twice, and so on, so that a rarely
requested model is loaded even while busy models have high values."""
MIN_LOAD_ADVANCE = timedelta(seconds=2)
"""A load in progress is ignored if another would end this much sooner, for example
because a target with a copy on disk has come back."""

NOT_HELD, TOO_BUSY, OVERDUE = "not held", "too busy", "overdue"
"""Reasons for a load, as they appear in logs."""


@dataclass(frozen=True, slots=True)
class Need:
    """A model to load, the weighted requests waiting, and their rate per second."""

    model: EngineModel
    waiting: float
    rate: float
    reason: str
    persistence_seconds: float = PERSISTENCE_SECONDS
    missed_for: timedelta = timedelta()
    """How long requests have found no target that holds the model."""

    @property
    def missed_gain(self) -> float:
        """Gain of the load for the time during which the model has been missed."""
        value = self.missed_for.total_seconds() * MISSED_GAIN_PER_SECOND
        return value * (1.0 + self.missed_for / MISSED_GAIN_DOUBLING_TIME)

    def gain_after(self, seconds: float) -> float:
        """Return the gain of a load that ends after ``seconds``."""
        remaining = max(0.0, self.persistence_seconds - seconds)
        return self.waiting + self.rate * remaining


def find_needs(view: FleetView) -> list[Need]:
    """Return the models to load, the most valuable first."""
    needs = [
        need
        for model in view.engine.models
        if (need := _need_for(view, model)) is not None
    ]
    needs.sort(key=lambda need: need.gain_after(0.0), reverse=True)
    return needs


def _need_for(view: FleetView, model: EngineModel) -> Need | None:
    ready_at = view.load_ready_at(model.name)
    holders = view.holders(model.name)
    if ready_at is not None and (holders or ready_at - view.now < MIN_LOAD_ADVANCE):
        return None
    demand = view.demand_for(model.name)
    if holders:
        overloaded = _overloaded_share(view, model.name)
        rate = overloaded * demand.weighted_rate
        return Need(model, 0.0, rate, TOO_BUSY) if overloaded > 0 else None
    waiting = demand.waiting_requests(view.now)
    waiting += max(0.0, demand.unmet - 1.0) * UNMET_WEIGHT
    if waiting <= 0 and demand.rate < MIN_DEMAND_RATE:
        return None
    persistence = PERSISTENCE_SECONDS if demand.is_steady else RARE_PERSISTENCE_SECONDS
    missed_for = demand.missed_for(view.now)
    return Need(model, waiting, demand.weighted_rate, NOT_HELD, persistence, missed_for)


def _overloaded_share(view: FleetView, model: str) -> float:
    """Return the share of a model's requests that overloaded targets delay."""
    holders = view.holders(model)
    total = sum(
        view.spread.share(model, control.target.incarnation) for control in holders
    )
    if total <= 0:
        return 0.0
    excess = 0.0
    for control in holders:
        load = view.load_of(control)
        if load > REPLICA_LOAD:
            share = view.spread.share(model, control.target.incarnation)
            excess += share * (load - REPLICA_LOAD) / load
    return min(1.0, excess / total)
