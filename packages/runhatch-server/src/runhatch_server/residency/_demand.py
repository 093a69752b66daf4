"""Demand of callers, as a rate that rises at once and decays within seconds."""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from datetime import timedelta

TIME_CONSTANT = timedelta(seconds=5)
"""Time constant of the average rate. Demand moves to other models within about five
seconds; a longer average would keep models that are no longer requested."""
MIN_MISS_VALIDITY = timedelta(milliseconds=700)
MISS_VALIDITY_GOAL_SHARE = 0.5
"""A request that found no holder counts as waiting for the greater of
``MIN_MISS_VALIDITY`` and this share of its goal, after which a load would hardly help
it."""
HURRIED_GOAL = timedelta(seconds=2)
"""Requests with a shorter goal are lost if their model must be loaded first: a load
takes 1 to 2 s from a target's own disk, plus about 0.5 s to free the memory."""
SILENT_RATE = 0.02
"""Requests per second below which demand counts as ended."""
MIN_RATE_REQUESTS = 4
MIN_RATE_AGE = timedelta(seconds=1)
"""Minimum number of requests, and minimum time since the first, for a rate estimate."""
HURRIED_DURATION = timedelta(seconds=8)
"""How long after a hurried request more are expected: such routes use few models at a
time, and their demand stays with these for about ten seconds."""
UNMET_TIME_CONSTANT = timedelta(seconds=20)
"""Time constant with which missed requests decay, long enough that a rarely requested
model is loaded eventually."""
MISS_RETENTION = timedelta(seconds=30)
"""Time without a miss after which the start of the misses is forgotten; rarely
requested models are requested about once in ten seconds."""
RANK_WEIGHTS = (2.0, 1.6, 1.0)
"""Weight of a request by its route's priority, so that urgent requests are not served
less often than those that can wait. The ratios are close to those of the ranks of
their declared goals; lower ranks have the last weight."""


@dataclass(frozen=True, slots=True, order=True)
class DemandKey:
    """A model, optionally with an adapter, that requests of one kind need.

    ``goal`` is the time within which an answer to them must begin.
    """

    service: str
    model: str
    adapter: str
    priority: int
    goal: timedelta = timedelta(seconds=1)

    @property
    def is_hurried(self) -> bool:
        """Whether such a request is lost if its model must be loaded first."""
        return self.goal < HURRIED_GOAL


@dataclass(frozen=True, slots=True)
class DemandShare:
    """Requests at one node for one model or adapter since its previous report.

    ``missed`` of them found no target that holds the model or adapter; ``work_ms`` is
    the time to process their prompts. ``missed_for`` is how long requests at the node
    have found none, which is reported to a new orderer.
    """

    key: DemandKey
    requests: int
    missed: int
    work_ms: float
    missed_for: timedelta = timedelta()


def priority_weight(priority: int) -> float:
    """Return the weight of one request of ``priority``."""
    return RANK_WEIGHTS[min(max(priority, 0), len(RANK_WEIGHTS) - 1)]


@dataclass(slots=True)
class Demand:
    """Demand for one model or adapter."""

    rate: float = 0.0
    """Requests per second."""
    weighted_rate: float = 0.0
    """Requests per second, weighted by priority."""
    patient_rate: float = 0.0
    """Part of ``weighted_rate`` that can wait for a load."""
    work_share: float = 0.0
    """Share of an engine's time needed to process their prompts."""
    updated_at: timedelta = timedelta()
    first_request_at: timedelta | None = None
    """Time of the first request after a silence."""
    request_count: int = 0
    """Requests since ``first_request_at``."""
    unmet: float = 0.0
    """Weighted requests missed since a target last held the model; decays slowly."""
    last_hurried_at: timedelta | None = None
    """Time of the last request that could not wait for a load."""
    missed_since: timedelta | None = None
    """Time of the first miss since a target last held the model."""
    last_missed_at: timedelta = timedelta()
    """Time of the last miss."""
    miss_count: int = 0
    """Reports of misses since ``missed_since``."""
    awaited_interval: timedelta | None = None
    """Mean time between the misses that ended with a load, ``None`` once a request has
    found what was loaded."""
    misses: dict[tuple[str, DemandKey], tuple[float, timedelta]] = field(
        default_factory=dict
    )

    def decay(self, now: timedelta) -> None:
        """Decay the averages to ``now``."""
        age = max(timedelta(), now - self.updated_at)
        remaining = math.exp(-(age / TIME_CONSTANT))
        self.unmet *= math.exp(-(age / UNMET_TIME_CONSTANT))
        self.rate *= remaining
        self.weighted_rate *= remaining
        self.patient_rate *= remaining
        self.work_share *= remaining
        self.updated_at = now

    def add_requests(self, share: "DemandShare", now: timedelta) -> None:
        """Add the requests of ``share`` to the averages."""
        requests = share.requests
        weight = priority_weight(share.key.priority)
        self.decay(now)
        if self.first_request_at is None or self.rate < SILENT_RATE:
            self.first_request_at = now
            self.request_count = 0
        self.request_count += requests
        if requests > share.missed:
            self.awaited_interval = None
        if requests and share.key.is_hurried:
            self.last_hurried_at = now
        seconds = TIME_CONSTANT.total_seconds()
        self.rate += requests / seconds
        self.weighted_rate += requests * weight / seconds
        if not share.key.is_hurried:
            self.patient_rate += requests * weight / seconds
        self.work_share += share.work_ms / 1000 / seconds

    def record_miss(
        self, node: str, key: DemandKey, missed: int, now: timedelta
    ) -> None:
        """Record that ``missed`` requests of ``node`` wait for a holder."""
        weighted = missed * priority_weight(key.priority)
        self.unmet += weighted
        self.record_missed_since(now, now)
        valid_for = max(MIN_MISS_VALIDITY, key.goal * MISS_VALIDITY_GOAL_SHARE)
        self.misses[node, key] = (weighted, now + valid_for)

    def record_missed_since(self, since: timedelta, now: timedelta) -> None:
        """Record a miss at ``now`` in a series of misses since ``since``."""
        first_missed_at = self.missed_since
        if first_missed_at is None or now - self.last_missed_at > MISS_RETENTION:
            first_missed_at = since
            self.miss_count = 0
        self.miss_count += 1
        self.missed_since = min(first_missed_at, since)
        self.last_missed_at = max(self.last_missed_at, now)

    def missed_for(self, now: timedelta) -> timedelta:
        """Return how long requests have found no holder, zero if there is one."""
        if self.missed_since is None or now - self.last_missed_at > MISS_RETENTION:
            return timedelta()
        return now - self.missed_since

    def missed_span(self, now: timedelta) -> timedelta:
        """Return the time from the first to the last miss, zero if there is a holder.

        The time after the last miss does not count: the callers may have left.
        """
        if self.missed_since is None or now - self.last_missed_at > MISS_RETENTION:
            return timedelta()
        return self.last_missed_at - self.missed_since

    @property
    def was_requested(self) -> bool:
        """Whether any request was recorded."""
        return self.first_request_at is not None

    def is_hurried(self, now: timedelta) -> bool:
        """Return whether a recent request could not wait for a load."""
        return (
            self.last_hurried_at is not None
            and now - self.last_hurried_at < HURRIED_DURATION
        )

    @property
    def is_steady(self) -> bool:
        """Whether enough requests were recorded for a rate estimate."""
        return self.request_count >= MIN_RATE_REQUESTS

    def correction_factor(self, now: timedelta) -> float:
        """Return the factor that corrects the averages of demand that has just begun.

        One request gives no estimate of a rate, several within a second do.
        """
        if self.first_request_at is None or not self.is_steady:
            return 1.0
        age = max(now - self.first_request_at, MIN_RATE_AGE)
        return 1.0 / (1.0 - math.exp(-(age / TIME_CONSTANT)))

    def record_held(self) -> None:
        """Record that a target holds the model or adapter, which ends the misses."""
        if self.missed_since is not None:
            span = self.last_missed_at - self.missed_since
            interval = span / max(1, self.miss_count - 1)
            self.awaited_interval = max(interval, self.awaited_interval or interval)
        self.unmet = 0.0
        self.missed_since = None

    def waiting_requests(self, now: timedelta) -> float:
        """Return the weighted requests that wait for a holder at ``now``."""
        return sum(weighted for weighted, until in self.misses.values() if now < until)


def _with_corrected_averages(demand: Demand, now: timedelta) -> Demand:
    """Return ``demand`` with averages corrected for the short time observed."""
    factor = demand.correction_factor(now)
    if factor == 1.0:
        return demand
    return replace(
        demand,
        rate=demand.rate * factor,
        weighted_rate=demand.weighted_rate * factor,
        patient_rate=demand.patient_rate * factor,
        work_share=demand.work_share * factor,
    )


def _add_share(demand: Demand, node: str, share: DemandShare, now: timedelta) -> None:
    demand.add_requests(share, now)
    if share.missed:
        demand.record_miss(node, share.key, share.missed, now)


class DemandBook:
    """Demand by service and model, and by service, model and adapter."""

    def __init__(self) -> None:
        self._models: dict[tuple[str, str], Demand] = {}
        self._adapters: dict[tuple[str, str, str], Demand] = {}
        self._last_request_at: dict[str, timedelta] = {}

    def add_requests(self, node: str, share: DemandShare, now: timedelta) -> None:
        """Record the requests that ``node`` received."""
        key = share.key
        self._last_request_at[key.service] = now
        model = key.service, key.model
        _add_share(
            self._models.setdefault(model, Demand(updated_at=now)), node, share, now
        )
        if key.adapter:
            adapter = *model, key.adapter
            _add_share(
                self._adapters.setdefault(adapter, Demand(updated_at=now)),
                node,
                share,
                now,
            )

    def record_missed_for(self, share: DemandShare, now: timedelta) -> None:
        """Record how long requests at a node have found no holder of a model."""
        key = share.key
        if not share.missed_for or key.adapter:
            return
        model = key.service, key.model
        demand = self._models.setdefault(model, Demand(updated_at=now))
        demand.record_missed_since(now - share.missed_for, now)

    def model_demand(self, service: str, model: str, now: timedelta) -> Demand:
        """Return the demand for a model."""
        demand = self._models.get((service, model))
        if demand is None:
            return Demand(updated_at=now)
        demand.decay(now)
        return _with_corrected_averages(demand, now)

    def adapter_demand(
        self, service: str, model: str, adapter: str, now: timedelta
    ) -> Demand:
        """Return the demand for an adapter."""
        demand = self._adapters.get((service, model, adapter))
        if demand is None:
            return Demand(updated_at=now)
        demand.decay(now)
        return demand

    def last_request_at(self, service: str) -> timedelta | None:
        """Return the time of the last request, ``None`` if there was none."""
        return self._last_request_at.get(service)

    def record_held(self, service: str, model: str, adapters: Iterable[str]) -> None:
        """Record that a target holds ``model`` with ``adapters``."""
        demand = self._models.get((service, model))
        if demand is not None:
            demand.record_held()
        for adapter in adapters:
            adapter_demand = self._adapters.get((service, model, adapter))
            if adapter_demand is not None:
                adapter_demand.record_held()

    def requested_adapters(self, service: str) -> list[tuple[str, str]]:
        """Return the model and name of every adapter requested so far."""
        return [(m, a) for s, m, a in self._adapters if s == service]
