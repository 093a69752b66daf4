"""The best target for a model that is to be loaded.

The clever part is that most targets need not be looked at.  What a target costs
whichever model is loaded there is worked out once for each plan: the least that must
give way, the time until it is free, the work it has.  For each model the targets with
a copy of it are weighed, and then the others, the cheapest first, until what the next
one costs at the least shows that neither it nor any after it can be the best.  The
choice is the same as that of weighing all: of 70 targets and 305 models, half of
those that nobody held missed at once, a plan takes 25 ms of processor time in place
of 400 (``benchmarks/bench_orders.py``), on a VM that answers callers too.
"""

import math
from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from datetime import timedelta
from functools import cached_property

from runhatch_server.residency._control import TargetControl
from runhatch_server.residency._needs import MUCH_SOONER, NOT_HELD, OVERDUE, Need
from runhatch_server.residency._view import HORIZON_SECONDS, FleetView
from runhatch_server.routing import EngineModel

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
OVERDUE_TARGETS = 1 / 8
"""Share of the targets, one at the least, that load from the weight store only for
models that have been missed for long: they take no orders for adapters meanwhile."""


@dataclass(frozen=True, slots=True)
class Place:
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


@dataclass(frozen=True, slots=True)
class _Droppable:
    """A model that may give way, and what is lost by that."""

    value: float
    model: str
    memory_mb: float
    is_last_asked: bool


@dataclass(frozen=True, slots=True)
class LeastLoad:
    """The memory of the smallest model, and the time of the shortest load."""

    memory_mb: float
    took: timedelta


def _least_load(models: Sequence[EngineModel]) -> LeastLoad:
    """Return what a load from the weight store needs at the least."""
    memory_mb = min((model.memory_mb for model in models), default=0.0)
    took = min((model.loads.from_store for model in models), default=timedelta())
    return LeastLoad(memory_mb, took)


class Site:
    """One target as a place for whichever model; made once for each plan."""

    def __init__(
        self, view: FleetView, control: TargetControl, least: LeastLoad
    ) -> None:
        self.control = control
        self.name = control.target.incarnation
        self.free_in = control.free_at(view.engine, view.now) - view.now
        self.startable = control.is_free_at(view.now) and control.intent is None
        self.load = view.load_of(control)
        self.second_price = LOAD_SECOND_PRICE + view.blocked_by(control)
        self._quick: dict[str, float] = {}
        self._free_mb = view.free_mb(control)
        known = view.engine.by_name
        self._droppable = sorted(
            (
                _Droppable(
                    view.keep_value(control, name),
                    name,
                    known[name].memory_mb if name in known else 0.0,
                    view.is_last_asked(control, name),
                )
                for name in control.held
                if not control.protected(name, "", view.now)
            ),
            key=lambda each: (each.value, each.model),
        )
        self._least = least

    def victims(
        self, memory_mb: float, replica: bool
    ) -> tuple[tuple[str, ...], float] | None:
        """Return what must give way for a model of that size, and what is lost by it.

        For one more replica no other model loses its last one while it is asked for.
        """
        lacking = memory_mb - self._free_mb
        victims: list[str] = []
        lost = 0.0
        for each in self._droppable:
            if lacking <= 0:
                break
            if replica and each.is_last_asked:
                continue
            victims.append(each.model)
            lost += each.value
            lacking -= each.memory_mb
        return (tuple(victims), lost) if lacking <= 0 else None

    def blocks(self, model: str, rate: float) -> None:
        """Have other loads pay for each second that they keep ``model`` waiting.

        It is missed, could be loaded quickly here, and would then serve ``rate``.
        """
        self._quick[model] = rate
        self.second_price += rate

    def cost(self, model: str, lost: float, seconds: float) -> float:
        """Return what a load of ``seconds`` costs for which ``lost`` gives way."""
        missed = lost * max(1.0, seconds / HORIZON_SECONDS) * HYSTERESIS
        price = self.second_price - self._quick.get(model, 0.0)
        return missed + seconds * price

    @cached_property
    def least_cost(self) -> float:
        """What any load from the weight store costs here, or more."""
        found = self.victims(self._least.memory_mb, replica=False)
        if found is None:
            return math.inf
        seconds = (self.free_in + self._least.took).total_seconds()
        return self.cost("", found[1], seconds) + STORE_LOAD_PRICE


class Draft:
    """The places that a plan has not taken yet."""

    def __init__(self, view: FleetView, needs: Iterable[Need]) -> None:
        self._view = view
        least = _least_load(view.engine.models)
        sites = [Site(view, control, least) for control in view.controls]
        self._with_copy: dict[str, list[Site]] = defaultdict(list)
        for site in sites:
            control = site.control
            for model in control.copies_in_memory | control.copies_on_disk:
                self._with_copy[model].append(site)
        for need in needs:
            if need.reason == NOT_HELD:
                self._keep_quick_ways(need)
        self.open_sites = sorted(sites, key=lambda site: site.least_cost)
        """Targets not taken yet, the cheapest first."""
        self._taken: set[str] = set()
        self._overdue = sum(map(_loads_overdue, view.controls))
        self._most_overdue = max(1.0, len(view.controls) * OVERDUE_TARGETS)

    def is_open(self, place: Place) -> bool:
        """Tell whether ``place`` is still to be had at its price."""
        if place.target in self._taken:
            return False
        relies = place.from_store and place.is_overdue
        return not (relies and self._overdue_must_wait)

    def take(self, place: Place) -> None:
        """Give ``place`` to no other model."""
        self._taken.add(place.target)
        self.open_sites = [
            site for site in self.open_sites if site.name != place.target
        ]
        if place.startable and place.from_store and place.is_overdue:
            self._overdue += 1

    def best_place(self, need: Need) -> Place | None:
        """Return the target that would win most, also if it would win nothing."""
        best: Place | None = None
        with_copy = self._with_copy.get(need.model.name, [])
        for site in with_copy:
            if site.name not in self._taken:
                best = _better(best, self.place(site, need))
        copied = {site.name for site in with_copy}
        won = need.won(need.model.loads.from_store.total_seconds())
        for site in self.open_sites:
            if best is not None and _beats(best, won, need.owed, site.least_cost):
                break
            if site.name not in copied:
                best = _better(best, self.place(site, need))
        return best

    def _keep_quick_ways(self, need: Need) -> None:
        """Have loads of other models pay for keeping ``need`` from its copies."""
        free = [site for site in self._with_copy[need.model.name] if site.startable]
        for site in free:
            site.blocks(need.model.name, need.rate / len(free) ** 2)

    @property
    def _overdue_must_wait(self) -> bool:
        """Whether enough targets load overdue models from the weight store."""
        return self._overdue + 1 > self._most_overdue

    def place(self, site: Site, need: Need) -> Place | None:
        """Return what loading a model at ``site`` would win, if it may be."""
        view, control, model = self._view, site.control, need.model
        if model.name in control.held:
            return None
        holders = view.holders(model.name)
        if holders:
            busiest = max(view.load_of(holder) for holder in holders)
            if busiest - site.load < LEAST_DIFFERENCE:
                return None
        ready_in = site.free_in + control.load_time(model)
        if self._is_coming_soon(model.name, ready_in):
            return None
        found = site.victims(model.memory_mb, replica=bool(holders))
        if found is None:
            return None
        victims, lost = found
        from_store = control.loads_from_store(model.name)
        if victims and holders and from_store:
            # What gives way would be missed all the time that the load takes.
            return None
        seconds = ready_in.total_seconds()
        return Place(
            site.name,
            victims,
            need.won(seconds),
            site.cost(model.name, lost, seconds)
            + (STORE_LOAD_PRICE if from_store else 0.0),
            seconds,
            # Between places that win as much, the least busy one.
            site.load * BUSY_PRICE,
            site.startable,
            from_store,
            0.0 if from_store and self._overdue_must_wait else need.owed,
        )

    def _is_coming_soon(self, model: str, ready_in: timedelta) -> bool:
        """Tell whether a load under way is not much later than one begun now."""
        coming_at = self._view.coming_at(model)
        return coming_at is not None and (
            coming_at - self._view.now - ready_in < MUCH_SOONER
        )


def _loads_overdue(control: TargetControl) -> bool:
    return control.loading_because == OVERDUE and control.is_loading_from_store


def _better(best: Place | None, other: Place | None) -> Place | None:
    """Return the better of two places; of equal ones that of the first name."""
    if best is None or other is None:
        return best or other
    return min(best, other, key=_order)


def _order(place: Place) -> tuple[bool, float, str]:
    return not place.is_worth_it, -place.value, place.target


def _beats(best: Place, won: float, owed: float, least_cost: float) -> bool:
    """Tell whether ``best`` beats all places that win and cost so much.

    They win ``won`` at the most, and ``owed`` besides, and cost ``least_cost`` or more.
    """
    none_is_worth_it = won <= 0.0 or least_cost >= won + owed
    return won - least_cost < best.value and (best.is_worth_it or none_is_worth_it)
