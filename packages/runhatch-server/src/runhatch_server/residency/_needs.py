"""Find the models to load, the requests that wait for each, and its expected demand."""

from dataclasses import dataclass
from datetime import timedelta

from runhatch_server.residency._fleet_view import (
    MIN_DEMAND_RATE,
    UNMET_WEIGHT,
    FleetView,
)
from runhatch_server.routing import EngineModel

RARE_PERSISTENCE_SECONDS = 4.0
"""Expected duration of demand after only a few requests, which do not show lasting
demand."""
MISSED_GAIN_PER_SECOND = 0.25
"""Gain, in weighted requests, for each second since requests first missed a model. A
load from the weight store costs 3.3 or more, and requests that come once in ten seconds
never gain that much: without this gain, their models were never loaded. A load that
evicts little starts within about ten seconds."""
MISSED_GAIN_DOUBLING_TIME = timedelta(seconds=30)
"""Time after which each missed second counts twice, and so on, so that a rarely
requested model is loaded even while busy models have high values."""
REPEATED_MISS_GAIN_PER_SECOND = 0.25
"""The same for each second between the first and the last miss, which shows that
callers keep asking. It counts twice after as long as a load takes, and so on, because
the loss by evictions grows with the time of the load too."""
MIN_MISSED_TIME = timedelta(seconds=8)
"""Shortest time after which a model counts as long missed, however short its load:
one request and its retry do not show that it is in demand."""
TURN_LOADS = 1.5
"""Loads for whose time a model must have been missed to be loaded in turn, whatever it
gains. Most are loaded before, on the target that loses least by it."""
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
    persistence_seconds: float
    missed_for: timedelta = timedelta()
    """How long ago requests first found no target that holds the model."""
    missed_span: timedelta = timedelta()
    """Time from the first to the last request that found none."""
    excess_work: float = 0.0
    """Work of a model that delays requests at its holders, in seconds per second."""

    @property
    def missed_gain(self) -> float:
        """Gain of the load for the time since the model was first missed."""
        gain = self.missed_for.total_seconds() * MISSED_GAIN_PER_SECOND
        return gain * (1.0 + self.missed_for / MISSED_GAIN_DOUBLING_TIME)

    @property
    def repeated_miss_gain(self) -> float:
        """Gain of the load for the time in which callers kept asking for the model."""
        gain = self.missed_span.total_seconds() * REPEATED_MISS_GAIN_PER_SECOND
        return gain * (1.0 + self._missed_loads)

    def repeated_miss_gain_after(self, seconds: float) -> float:
        """Return the part of ``repeated_miss_gain`` for a load that takes ``seconds``.

        Otherwise a model would wait for the busy target with the least loss, which
        another model may use first, while targets that are free are used for others.
        """
        load_seconds = self.model.loads.from_store.total_seconds()
        longest = max(seconds, load_seconds, 1e-3)
        return self.repeated_miss_gain * load_seconds / longest

    @property
    def is_long_missed(self) -> bool:
        """Whether the model has been missed for as long as its load takes."""
        return self._missed_loads >= 1.0

    @property
    def awaits_turn(self) -> bool:
        """Whether the model is to be loaded in turn, even if the load loses more."""
        return self._missed_loads >= TURN_LOADS

    @property
    def _missed_loads(self) -> float:
        """How many times the model could have been loaded while it was missed."""
        load_time = max(self.model.loads.from_store, MIN_MISSED_TIME)
        return self.missed_span / load_time

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
    if ready_at is not None and not _may_load_again(view, model.name, ready_at):
        return None
    demand = view.demand_for(model.name)
    if holders:
        excess = _excess_work(view, model.name)
        if excess <= 0:
            return None
        rate = min(1.0, excess / _assigned_work(view, model.name))
        return Need(
            model,
            0.0,
            rate * demand.weighted_rate,
            TOO_BUSY,
            view.replica_policy.persistence_seconds,
            excess_work=excess,
        )
    waiting = demand.waiting_requests(view.now)
    waiting += max(0.0, demand.unmet - 1.0) * UNMET_WEIGHT
    if waiting <= 0 and demand.rate < MIN_DEMAND_RATE:
        return None
    persistence = RARE_PERSISTENCE_SECONDS
    if demand.is_steady:
        persistence = view.replica_policy.persistence_seconds
    return Need(
        model,
        waiting,
        demand.weighted_rate,
        NOT_HELD,
        persistence,
        demand.missed_for(view.now),
        demand.missed_span(view.now),
    )


def _may_load_again(view: FleetView, model: str, ready_at: timedelta) -> bool:
    """Return whether a model may be loaded while a load of it ends at ``ready_at``."""
    holders = view.holders(model)
    if not holders:
        return ready_at - view.now >= MIN_LOAD_ADVANCE
    policy = view.replica_policy
    return policy.loads_concurrently and view.count_loads(model) < len(holders)


def _assigned_work(view: FleetView, model: str) -> float:
    """Return the work of a model that its holders are expected to do."""
    return sum(
        view.spread.share(model, control.target.incarnation)
        for control in view.holders(model)
    )


def _excess_work(view: FleetView, model: str) -> float:
    """Return the work of a model that overloaded targets delay."""
    replica_load = view.replica_policy.replica_load
    excess = 0.0
    for control in view.holders(model):
        load = view.load_of(control)
        if load > replica_load:
            share = view.spread.share(model, control.target.incarnation)
            excess += share * (load - replica_load) / load
    return excess
