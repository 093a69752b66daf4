"""What callers ask for, as a rate that rises at once and fades within seconds."""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from datetime import timedelta

TIME_CONSTANT = timedelta(seconds=5)
"""Over which requests are averaged.  Demand moves to other models within some five
seconds; a longer average keeps models that nobody asks for."""
LEAST_MISS_VALID = timedelta(milliseconds=700)
MISS_VALID_SHARE = 0.5
"""How long a request that found no holder counts as waiting for one: so long, or this
share of its goal, after which a load would hardly help it any more."""
HURRIED_GOAL = timedelta(seconds=2)
"""Requests with a shorter goal are lost where their model must be loaded first: that
takes 1 to 2 s from a target's own disk, and some 0.5 s more to free the memory."""
SILENT_RATE = 0.02
"""Requests a second below which demand counts as ended."""
ENOUGH_REQUESTS = 4
SHORTEST_AGE = timedelta(seconds=1)
"""Requests, and time since the first, from which a rate is told."""
HURRIED_LASTS = timedelta(seconds=8)
"""How long a hurried request tells that more will follow: such routes ask for few
models at a time, and demand stays with them for some ten seconds."""
UNMET_TIME_CONSTANT = timedelta(seconds=20)
"""Over which requests that were missed are remembered, so that a model asked for
seldom gets its turn."""
MISSES_REMEMBERED = timedelta(seconds=30)
"""After so long without a miss it is forgotten since when a model is missed: seldom
ones are asked for each ten seconds or so."""
RANK_WEIGHTS = (2.0, 1.6, 1.0)
"""What a request counts by its route's priority: the urgent ones must not be served
less often than those that can wait.  Ratios near those of their declared goals'
ranks; later ranks count as the last."""


@dataclass(frozen=True, slots=True, order=True)
class Wanted:
    """A model, perhaps with an adapter, that requests of one kind ask for.

    ``goal`` is the time in which an answer to them must begin.
    """

    service: str
    model: str
    adapter: str
    priority: int
    goal: timedelta = timedelta(seconds=1)

    @property
    def is_hurried(self) -> bool:
        """Whether such a request is lost where its model must be loaded first."""
        return self.goal < HURRIED_GOAL


@dataclass(frozen=True, slots=True)
class DemandShare:
    """Requests at one node for one thing, since it told last.

    ``missed`` of them found no target that holds it; ``work_ms`` is the time that
    reading their prompts takes.  ``missed_for`` is how long it has been missed there,
    told to a new orderer.
    """

    wanted: Wanted
    requests: int
    missed: int
    work_ms: float
    missed_for: timedelta = timedelta()


def rank_weight(priority: int) -> float:
    """Return what one request of ``priority`` counts."""
    return RANK_WEIGHTS[min(max(priority, 0), len(RANK_WEIGHTS) - 1)]


@dataclass(slots=True)
class Demand:
    """Demand for one model or adapter."""

    rate: float = 0.0
    """Requests a second."""
    weighted: float = 0.0
    """The same, each request counted by its rank."""
    patient: float = 0.0
    """The part of ``weighted`` that can wait for a load."""
    work: float = 0.0
    """Share of an engine's time that reading their prompts takes."""
    at: timedelta = timedelta()
    first_at: timedelta | None = None
    """When the first request for it was seen, after a silence."""
    count: int = 0
    """Requests since then."""
    unmet: float = 0.0
    """Weighted requests that were missed since it was held last; fades slowly."""
    hurried_at: timedelta | None = None
    """When a request that could not wait for a load asked for it last."""
    missed_since: timedelta | None = None
    """When the first request was missed after it was held last."""
    missed_at: timedelta = timedelta()
    """When the newest was."""
    misses: dict[tuple[str, Wanted], tuple[float, timedelta]] = field(
        default_factory=dict
    )

    def fade(self, now: timedelta) -> None:
        """Bring the averages up to ``now``."""
        age = max(timedelta(), now - self.at)
        kept = math.exp(-(age / TIME_CONSTANT))
        self.unmet *= math.exp(-(age / UNMET_TIME_CONSTANT))
        self.rate *= kept
        self.weighted *= kept
        self.patient *= kept
        self.work *= kept
        self.at = now

    def add(self, share: "DemandShare", now: timedelta) -> None:
        """Take in requests."""
        requests = share.requests
        weight = rank_weight(share.wanted.priority)
        self.fade(now)
        if self.first_at is None or self.rate < SILENT_RATE:
            self.first_at = now
            self.count = 0
        self.count += requests
        if requests and share.wanted.is_hurried:
            self.hurried_at = now
        seconds = TIME_CONSTANT.total_seconds()
        self.rate += requests / seconds
        self.weighted += requests * weight / seconds
        if not share.wanted.is_hurried:
            self.patient += requests * weight / seconds
        self.work += share.work_ms / 1000 / seconds

    def miss(self, node: str, wanted: Wanted, missed: int, now: timedelta) -> None:
        """Take in that requests of ``node`` wait for a holder."""
        weighted = missed * rank_weight(wanted.priority)
        self.unmet += weighted
        self.missed_before(now, now)
        valid = max(LEAST_MISS_VALID, wanted.goal * MISS_VALID_SHARE)
        self.misses[node, wanted] = (weighted, now + valid)

    def missed_before(self, since: timedelta, now: timedelta) -> None:
        """Take in that it is missed at ``now``, and first was at ``since``."""
        known = self.missed_since
        if known is None or now - self.missed_at > MISSES_REMEMBERED:
            known = since
        self.missed_since = min(known, since)
        self.missed_at = max(self.missed_at, now)

    def missed_for(self, now: timedelta) -> timedelta:
        """Return how long requests have been missing it, zero if they do not."""
        if self.missed_since is None or now - self.missed_at > MISSES_REMEMBERED:
            return timedelta()
        return now - self.missed_since

    @property
    def asked(self) -> bool:
        """Whether any request was ever seen for it."""
        return self.first_at is not None

    def is_hurried(self, now: timedelta) -> bool:
        """Tell whether requests that cannot wait for a load asked for it lately."""
        return self.hurried_at is not None and now - self.hurried_at < HURRIED_LASTS

    @property
    def is_steady(self) -> bool:
        """Whether enough requests were seen to tell of a rate."""
        return self.count >= ENOUGH_REQUESTS

    def rise(self, now: timedelta) -> float:
        """Return by what the averages fall short because demand has just begun.

        One request tells nothing of a rate, several within a second do.
        """
        if self.first_at is None or not self.is_steady:
            return 1.0
        age = max(now - self.first_at, SHORTEST_AGE)
        return 1.0 / (1.0 - math.exp(-(age / TIME_CONSTANT)))

    def met(self) -> None:
        """Take in that it is held, so that nothing is owed any more."""
        self.unmet = 0.0
        self.missed_since = None

    def waiting(self, now: timedelta) -> float:
        """Return the weighted requests that wait for a holder now."""
        return sum(weighted for weighted, until in self.misses.values() if now < until)


def _risen(demand: Demand, now: timedelta) -> Demand:
    """Return ``demand`` with its averages as they would be after a longer time."""
    factor = demand.rise(now)
    if factor == 1.0:
        return demand
    return replace(
        demand,
        rate=demand.rate * factor,
        weighted=demand.weighted * factor,
        patient=demand.patient * factor,
        work=demand.work * factor,
    )


def _add(demand: Demand, node: str, share: DemandShare, now: timedelta) -> None:
    demand.add(share, now)
    if share.missed:
        demand.miss(node, share.wanted, share.missed, now)


class DemandBook:
    """Demand by service and model, and by service, model and adapter."""

    def __init__(self) -> None:
        self._models: dict[tuple[str, str], Demand] = {}
        self._adapters: dict[tuple[str, str, str], Demand] = {}
        self._asked_at: dict[str, timedelta] = {}

    def add(self, node: str, share: DemandShare, now: timedelta) -> None:
        """Take in what ``node`` was asked for."""
        wanted = share.wanted
        self._asked_at[wanted.service] = now
        model = wanted.service, wanted.model
        _add(self._models.setdefault(model, Demand(at=now)), node, share, now)
        if wanted.adapter:
            adapter = *model, wanted.adapter
            _add(self._adapters.setdefault(adapter, Demand(at=now)), node, share, now)

    def missed_before(self, share: DemandShare, now: timedelta) -> None:
        """Take in how long a node has been missing something."""
        wanted = share.wanted
        if not share.missed_for or wanted.adapter:
            return
        model = wanted.service, wanted.model
        demand = self._models.setdefault(model, Demand(at=now))
        demand.missed_before(now - share.missed_for, now)

    def model(self, service: str, model: str, now: timedelta) -> Demand:
        """Return the demand for a model."""
        demand = self._models.get((service, model))
        if demand is None:
            return Demand(at=now)
        demand.fade(now)
        return _risen(demand, now)

    def adapter(self, service: str, model: str, adapter: str, now: timedelta) -> Demand:
        """Return the demand for an adapter."""
        demand = self._adapters.get((service, model, adapter))
        if demand is None:
            return Demand(at=now)
        demand.fade(now)
        return demand

    def asked_at(self, service: str) -> timedelta | None:
        """Return when anything was asked for last, ``None`` if nothing ever was."""
        return self._asked_at.get(service)

    def met(self, service: str, model: str, adapters: Iterable[str]) -> None:
        """Take in that a target holds ``model`` with ``adapters``."""
        demand = self._models.get((service, model))
        if demand is not None:
            demand.met()
        for adapter in adapters:
            of_adapter = self._adapters.get((service, model, adapter))
            if of_adapter is not None:
                of_adapter.met()

    def adapters(self, service: str) -> list[tuple[str, str]]:
        """Return model and adapter of every adapter asked for so far."""
        return [(m, a) for s, m, a in self._adapters if s == service]
