"""Find the best target for a model that is to be loaded.

Weighing every target for every model takes too much processor time on a VM that also
answers callers. Costs that do not depend on the model (the least loss by eviction, the
time until the target is free, its load) are therefore computed once per plan. For each
model the targets with a copy are weighed first, then the others by rising cost, until
the lower bound of the next cost shows that no remaining target can be better. The
result equals that of weighing all targets. For 70 targets and 305 models, half of those
not held being missed at once, a plan takes 25 ms instead of 400 ms
(``benchmarks/bench_orders.py``).
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
"""Cost of a load from the weight store, in weighted requests; a load from a target's
own copy costs only its time."""
LOAD_SECOND_PRICE = 0.25
"""Cost per second for which a load blocks other orders to its target."""
BUSY_PRICE = 0.5
"""Cost of a load on a fully utilised target."""
HYSTERESIS = 1.3
"""Factor by which the gain must exceed the loss, so that models do not evict each other
in turn."""
LEAST_DIFFERENCE = 0.2
"""Minimum difference in load between the busiest holder and the target of a new
replica."""
OVERDUE_TARGETS = 1 / 8
"""Maximum share of the targets (at least one target) that load overdue models from the
weight store, because they accept no adapter orders meanwhile."""


@dataclass(frozen=True, slots=True)
class Place:
    """Gain and cost of loading a model on one target, in weighted requests."""

    target: str
    evict: tuple[str, ...]
    won: float
    lost: float
    seconds: float
    busy: float
    """Penalty for the load of the target."""
    startable: bool
    from_store: bool
    owed: float
    """Additional gain for the time during which the model has been missed."""

    @property
    def is_worth_it(self) -> bool:
        """Whether the gain, with ``owed``, exceeds the loss."""
        return self.won > 0.0 and self.lost < self.won + self.owed

    @property
    def is_overdue(self) -> bool:
        """Whether only the time since the first miss justifies the load."""
        return self.won <= self.lost

    @property
    def value(self) -> float:
        """Net gain, by which places are compared."""
        return self.won - self.lost - self.busy


@dataclass(frozen=True, slots=True)
class _EvictionCandidate:
    """A model that may be evicted, and the loss of evicting it."""

    value: float
    model: str
    memory_mb: float
    is_only_replica_in_demand: bool


@dataclass(frozen=True, slots=True)
class LeastLoad:
    """Lower bounds of a load: the least memory and the shortest time."""

    memory_mb: float
    took: timedelta


def _load_lower_bound(models: Sequence[EngineModel]) -> LeastLoad:
    """Return the lower bounds of a load from the weight store."""
    memory_mb = min((model.memory_mb for model in models), default=0.0)
    took = min((model.loads.from_store for model in models), default=timedelta())
    return LeastLoad(memory_mb, took)


class Site:
    """Costs of loading on one target that do not depend on the model.

    Created once per plan.
    """

    def __init__(
        self, view: FleetView, control: TargetControl, least: LeastLoad
    ) -> None:
        self.control = control
        self.name = control.target.incarnation
        self.free_in = control.free_at(view.engine, view.now) - view.now
        self.startable = control.is_free_at(view.now) and control.intent is None
        self.load = view.load_of(control)
        self.second_price = LOAD_SECOND_PRICE + view.blocked_by(control)
        self._delayed_rates: dict[str, float] = {}
        self._free_mb = view.free_mb(control)
        known = view.engine.by_name
        self._eviction_candidates = sorted(
            (
                _EvictionCandidate(
                    view.keep_value(control, name),
                    name,
                    known[name].memory_mb if name in known else 0.0,
                    view.is_last_asked(control, name),
                )
                for name in control.held
                if not control.protected(name, "", view.now)
            ),
            key=lambda candidate: (candidate.value, candidate.model),
        )
        self._lower_bound = least

    def victims(
        self, memory_mb: float, replica: bool
    ) -> tuple[tuple[str, ...], float] | None:
        """Return the models to evict for ``memory_mb``, and the loss, or ``None``.

        A new replica does not evict the only replica of another model in demand.
        """
        lacking = memory_mb - self._free_mb
        victims: list[str] = []
        lost = 0.0
        for candidate in self._eviction_candidates:
            if lacking <= 0:
                break
            if replica and candidate.is_only_replica_in_demand:
                continue
            victims.append(candidate.model)
            lost += candidate.value
            lacking -= candidate.memory_mb
        return (tuple(victims), lost) if lacking <= 0 else None

    def blocks(self, model: str, rate: float) -> None:
        """Charge other loads for each second that they delay ``model``.

        The model is missed, could be loaded quickly here, and would then serve ``rate``
        weighted requests per second.
        """
        self._delayed_rates[model] = rate
        self.second_price += rate

    def cost(self, model: str, lost: float, seconds: float) -> float:
        """Return the cost of a load that takes ``seconds`` and loses ``lost``."""
        weighted_loss = lost * max(1.0, seconds / HORIZON_SECONDS) * HYSTERESIS
        second_price = self.second_price - self._delayed_rates.get(model, 0.0)
        return weighted_loss + seconds * second_price

    @cached_property
    def least_cost(self) -> float:
        """Lower bound of the cost of any load from the weight store on this target."""
        eviction = self.victims(self._lower_bound.memory_mb, replica=False)
        if eviction is None:
            return math.inf
        seconds = (self.free_in + self._lower_bound.took).total_seconds()
        return self.cost("", eviction[1], seconds) + STORE_LOAD_PRICE


class Draft:
    """The targets that a plan has not used yet."""

    def __init__(self, view: FleetView, needs: Iterable[Need]) -> None:
        self._view = view
        lower_bound = _load_lower_bound(view.engine.models)
        candidates = [Site(view, control, lower_bound) for control in view.controls]
        self._with_copy: dict[str, list[Site]] = defaultdict(list)
        for candidate in candidates:
            control = candidate.control
            for model in control.copies_in_memory | control.copies_on_disk:
                self._with_copy[model].append(candidate)
        for need in needs:
            if need.reason == NOT_HELD:
                self._charge_for_delayed_loads(need)
        self.open_sites = sorted(candidates, key=lambda candidate: candidate.least_cost)
        """Unused targets, by rising lower bound of cost."""
        self._used_targets: set[str] = set()
        self._overdue_loads = sum(map(_is_loading_overdue, view.controls))
        self._max_overdue_loads = max(1.0, len(view.controls) * OVERDUE_TARGETS)

    def is_open(self, place: Place) -> bool:
        """Return whether ``place`` is still available at its computed cost."""
        if place.target in self._used_targets:
            return False
        needs_overdue_slot = place.from_store and place.is_overdue
        return not (needs_overdue_slot and self._is_overdue_limit_reached)

    def take(self, place: Place) -> None:
        """Reserve the target of ``place``."""
        self._used_targets.add(place.target)
        self.open_sites = [
            candidate for candidate in self.open_sites if candidate.name != place.target
        ]
        if place.startable and place.from_store and place.is_overdue:
            self._overdue_loads += 1

    def best_place(self, need: Need) -> Place | None:
        """Return the best place for ``need``, even if it is not worth the load."""
        best: Place | None = None
        with_copy = self._with_copy.get(need.model.name, [])
        for candidate in with_copy:
            if candidate.name not in self._used_targets:
                best = _better_place(best, self.place(candidate, need))
        names_with_copy = {candidate.name for candidate in with_copy}
        won = need.won(need.model.loads.from_store.total_seconds())
        for candidate in self.open_sites:
            if best is not None and _beats_remaining(
                best, won, need.owed, candidate.least_cost
            ):
                break
            if candidate.name not in names_with_copy:
                best = _better_place(best, self.place(candidate, need))
        return best

    def _charge_for_delayed_loads(self, need: Need) -> None:
        """Charge other loads for blocking the targets with a copy for ``need``."""
        free = [
            candidate
            for candidate in self._with_copy[need.model.name]
            if candidate.startable
        ]
        for candidate in free:
            candidate.blocks(need.model.name, need.rate / len(free) ** 2)

    @property
    def _is_overdue_limit_reached(self) -> bool:
        """Whether the maximum number of targets already load overdue models."""
        return self._overdue_loads + 1 > self._max_overdue_loads

    def place(self, site: Site, need: Need) -> Place | None:
        """Return the place of ``need`` at ``site``, or ``None`` if there is none."""
        view, control, model = self._view, site.control, need.model
        if model.name in control.held:
            return None
        holders = view.holders(model.name)
        if holders:
            busiest = max(view.load_of(holder) for holder in holders)
            if busiest - site.load < LEAST_DIFFERENCE:
                return None
        ready_in = site.free_in + control.load_time(model)
        if self._is_load_ending_soon(model.name, ready_in):
            return None
        eviction = site.victims(model.memory_mb, replica=bool(holders))
        if eviction is None:
            return None
        victims, lost = eviction
        from_store = control.loads_from_store(model.name)
        if victims and holders and from_store:
            # The evicted models would be missed for the whole duration of the load.
            return None
        seconds = ready_in.total_seconds()
        return Place(
            site.name,
            victims,
            need.won(seconds),
            site.cost(model.name, lost, seconds)
            + (STORE_LOAD_PRICE if from_store else 0.0),
            seconds,
            # Breaks ties between equal gains in favour of the least busy target.
            site.load * BUSY_PRICE,
            site.startable,
            from_store,
            0.0 if from_store and self._is_overdue_limit_reached else need.owed,
        )

    def _is_load_ending_soon(self, model: str, ready_in: timedelta) -> bool:
        """Return whether a load in progress ends soon enough.

        It does unless a load started now, done in ``ready_in``, ends ``MUCH_SOONER`` or
        more before it.
        """
        coming_at = self._view.coming_at(model)
        return coming_at is not None and (
            coming_at - self._view.now - ready_in < MUCH_SOONER
        )


def _is_loading_overdue(control: TargetControl) -> bool:
    return control.loading_because == OVERDUE and control.is_loading_from_store


def _better_place(best: Place | None, other: Place | None) -> Place | None:
    """Return the better of two places; ties go to the first target name."""
    if best is None or other is None:
        return best or other
    return min(best, other, key=_place_sort_key)


def _place_sort_key(place: Place) -> tuple[bool, float, str]:
    return not place.is_worth_it, -place.value, place.target


def _beats_remaining(best: Place, won: float, owed: float, least_cost: float) -> bool:
    """Return whether ``best`` is better than every place within these bounds.

    The other places gain at most ``won`` plus ``owed`` and cost at least
    ``least_cost``.
    """
    none_is_worth_it = won <= 0.0 or least_cost >= won + owed
    return won - least_cost < best.value and (best.is_worth_it or none_is_worth_it)
