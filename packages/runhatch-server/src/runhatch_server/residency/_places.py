"""Find the best target for a model that is to be loaded.

Evaluating every target for every model takes too much processor time on a VM that also
answers callers. Costs that do not depend on the model (the least loss by eviction, the
time until the target is free, its load) are therefore computed once per plan. For each
model the targets with a copy are evaluated first, then the others by rising cost, until
the lower bound of the next cost shows that no remaining target can be better. The
result equals that of evaluating all targets. For 70 targets and 305 models, half of
those not held being missed at once, a plan takes 25 ms of processor time instead of 400
ms (``benchmarks/bench_orders.py``).
"""

import math
from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from datetime import timedelta
from functools import cached_property

from runhatch_server.residency._control import TargetControl
from runhatch_server.residency._fleet_view import EVICTION_MISS_SECONDS, FleetView
from runhatch_server.residency._needs import (
    MIN_LOAD_ADVANCE,
    NOT_HELD,
    OVERDUE,
    Need,
)
from runhatch_server.routing import EngineModel

STORE_LOAD_COST = 1.0
"""Cost of a load from the weight store, in weighted requests; a load from a target's
own copy costs only its time."""
LOAD_COST_PER_SECOND = 0.25
"""Cost per second for which a load blocks other orders to its target."""
FULL_UTILISATION_COST = 0.5
"""Cost of a load on a fully utilised target."""
EVICTION_LOSS_FACTOR = 1.3
"""Factor by which the gain must exceed the loss, so that models do not evict each other
in turn."""
TURN_ROUNDS = 3
"""Loads that a target carries out, one after the other, until all models that await
their turns now have had them."""
MAX_OVERDUE_TARGET_SHARE = 1 / 2
"""Maximum share of the targets (at least one target) that load overdue models from the
weight store, because they accept no adapter orders meanwhile. A smaller share would
serve many missed models only after several loads, one after the other."""


@dataclass(frozen=True, slots=True)
class PlacementOption:
    """Gain and cost of loading a model on one target, in weighted requests."""

    target: str
    evictions: tuple[str, ...]
    gain: float
    loss: float
    ready_in_seconds: float
    load_penalty: float
    """Penalty for the load of the target."""
    is_startable: bool
    loads_from_store: bool
    missed_gain: float
    """Additional gain for the time since the model was first missed."""
    repeated_miss_gain: float
    """Additional gain for the time in which callers kept asking for the model."""

    @property
    def is_worthwhile(self) -> bool:
        """Whether the gain, with that for the time missed, exceeds the loss."""
        added_gain = max(self.missed_gain, self.repeated_miss_gain)
        return self.gain > 0.0 and self.loss < self.gain + added_gain

    @property
    def is_overdue(self) -> bool:
        """Whether only the time since the first miss justifies the load."""
        return self.gain <= self.loss

    @property
    def value(self) -> float:
        """Net gain, by which options for missed models and replicas are compared.

        A model that single requests missed has no advantage over others: their callers
        may have left.
        """
        return self.gain + self.repeated_miss_gain - self.loss - self.load_penalty


@dataclass(frozen=True, slots=True)
class _EvictableModel:
    """A model that may be evicted, and the loss of evicting it."""

    value: float
    model: str
    memory_mb: float
    is_only_replica_in_demand: bool


@dataclass(frozen=True, slots=True)
class LoadLowerBounds:
    """Lower bounds of a load: the least memory and the shortest time."""

    memory_mb: float
    duration: timedelta


def _load_lower_bounds(models: Sequence[EngineModel]) -> LoadLowerBounds:
    """Return the lower bounds of a load from the weight store."""
    memory_mb = min((model.memory_mb for model in models), default=0.0)
    duration = min((model.loads.from_store for model in models), default=timedelta())
    return LoadLowerBounds(memory_mb, duration)


class CandidateTarget:
    """Costs of loading on one target that do not depend on the model.

    Created once per plan.
    """

    def __init__(
        self, view: FleetView, control: TargetControl, lower_bounds: LoadLowerBounds
    ) -> None:
        self.control = control
        self.name = control.target.incarnation
        self.free_in = control.free_at(view.engine, view.now) - view.now
        self.is_startable = control.is_free_at(view.now) and control.intent is None
        self.load = view.load_of(control)
        self.cost_per_second = LOAD_COST_PER_SECOND + view.delayed_adapter_rate(control)
        self._delayed_rates: dict[str, float] = {}
        self._free_mb = view.free_mb(control)
        specs = view.engine.by_name
        self._evictable_models = sorted(
            (
                _EvictableModel(
                    view.keep_value(control, name),
                    name,
                    specs[name].memory_mb if name in specs else 0.0,
                    view.is_only_holder_in_demand(control, name),
                )
                for name in control.held
                if not control.is_protected(name, "", view.now)
                and not view.awaits_first_request(control, name)
            ),
            key=lambda evictable: (evictable.value, evictable.model),
        )
        self._lower_bounds = lower_bounds

    def find_evictions(
        self, memory_mb: float, keeps_only_replicas: bool
    ) -> tuple[tuple[str, ...], float] | None:
        """Return the models to evict for ``memory_mb``, and the loss, or ``None``.

        With ``keeps_only_replicas``, the only replica of a model in demand stays.
        """
        missing_mb = memory_mb - self._free_mb
        evictions: list[str] = []
        loss = 0.0
        for evictable in self._evictable_models:
            if missing_mb <= 0:
                break
            if keeps_only_replicas and evictable.is_only_replica_in_demand:
                continue
            evictions.append(evictable.model)
            loss += evictable.value
            missing_mb -= evictable.memory_mb
        return (tuple(evictions), loss) if missing_mb <= 0 else None

    def keep_model(self, model: str) -> None:
        """Exclude ``model`` from eviction; ``min_cost`` is computed again."""
        self._evictable_models = [
            evictable
            for evictable in self._evictable_models
            if evictable.model != model
        ]
        vars(self).pop("min_cost", None)

    def charge_for_delay(self, model: str, rate: float) -> None:
        """Raise the cost of other loads here, because they delay ``model``.

        The model is missed, could be loaded quickly here, and would then serve ``rate``
        weighted requests per second.
        """
        self._delayed_rates[model] = rate
        self.cost_per_second += rate

    def cost(self, model: str, loss: float, seconds: float) -> float:
        """Return the cost of a load that takes ``seconds`` and loses ``loss``."""
        weighted_loss = (
            loss * max(1.0, seconds / EVICTION_MISS_SECONDS) * EVICTION_LOSS_FACTOR
        )
        cost_per_second = self.cost_per_second - self._delayed_rates.get(model, 0.0)
        return weighted_loss + seconds * cost_per_second

    @cached_property
    def min_cost(self) -> float:
        """Lower bound of the cost of any load from the weight store on this target."""
        eviction = self.find_evictions(
            self._lower_bounds.memory_mb, keeps_only_replicas=False
        )
        if eviction is None:
            return math.inf
        seconds = (self.free_in + self._lower_bounds.duration).total_seconds()
        return self.cost("", eviction[1], seconds) + STORE_LOAD_COST


class PlacementDraft:
    """The targets that a plan has not used yet."""

    def __init__(self, view: FleetView, needs: Iterable[Need]) -> None:
        self._view = view
        lower_bounds = _load_lower_bounds(view.engine.models)
        candidates = [
            CandidateTarget(view, control, lower_bounds) for control in view.controls
        ]
        self._candidates = {candidate.name: candidate for candidate in candidates}
        self._with_copy: dict[str, list[CandidateTarget]] = defaultdict(list)
        for candidate in candidates:
            control = candidate.control
            for model in control.copies_in_memory | control.copies_on_disk:
                self._with_copy[model].append(candidate)
        for need in needs:
            if need.reason == NOT_HELD:
                self._charge_for_delayed_loads(need)
        self.unused_candidates = sorted(candidates, key=_min_cost)
        """Unused targets, by rising lower bound of cost."""
        self._used_targets: set[str] = set()
        self._evicted_replicas: set[tuple[str, str]] = set()
        self._last_replicas: set[tuple[str, str]] = set()
        self._overdue_loads = sum(map(_is_loading_overdue, view.controls))
        self._max_overdue_loads = max(
            1.0, len(view.controls) * MAX_OVERDUE_TARGET_SHARE
        )
        turns = sum(need.awaits_turn for need in needs) + self._overdue_loads
        self._max_turns = math.ceil(turns / TURN_ROUNDS)
        self._replicas_may_evict = view.replica_policy.may_evict and not any(
            need.is_long_missed for need in needs
        )

    def is_available(self, option: PlacementOption) -> bool:
        """Return whether ``option`` is still available at its computed cost."""
        if option.target in self._used_targets:
            return False
        if any(
            (option.target, model) in self._last_replicas for model in option.evictions
        ):
            return False
        needs_overdue_slot = option.loads_from_store and option.is_overdue
        return not (needs_overdue_slot and self._is_overdue_limit_reached)

    def reserve(self, option: PlacementOption, is_turn: bool = False) -> None:
        """Reserve the target of ``option``."""
        self._used_targets.add(option.target)
        self.unused_candidates = [
            candidate
            for candidate in self.unused_candidates
            if candidate.name != option.target
        ]
        is_overdue = option.is_overdue or is_turn
        if option.is_startable and option.loads_from_store and is_overdue:
            self._overdue_loads += 1
        if option.is_startable and self._view.replica_policy.may_evict:
            self._keep_last_replicas(option)

    def find_best_option(self, need: Need) -> PlacementOption | None:
        """Return the best option for ``need``, even if it is not worthwhile."""
        best: PlacementOption | None = None
        with_copy = self._with_copy.get(need.model.name, [])
        for candidate in with_copy:
            if candidate.name not in self._used_targets:
                best = _better_option(best, self.evaluate_option(candidate, need))
        names_with_copy = {candidate.name for candidate in with_copy}
        max_gain = need.gain_after(need.model.loads.from_store.total_seconds())
        for candidate in self.unused_candidates:
            if best is not None and _beats_remaining(
                best, max_gain, need, candidate.min_cost
            ):
                break
            if candidate.name not in names_with_copy:
                best = _better_option(best, self.evaluate_option(candidate, need))
        return best

    def take_turn(self, need: Need) -> PlacementOption | None:
        """Reserve the target that loses least by loading ``need`` now.

        The loss may exceed the gain. Return ``None`` if no target can start the load,
        or if enough of them load models in turn.
        """
        if self._overdue_loads >= self._max_turns:
            return None
        options = [
            option
            for candidate in self.unused_candidates
            if candidate.is_startable
            and (option := self.evaluate_option(candidate, need))
        ]
        if not options:
            return None
        best = min(options, key=lambda option: (option.loss, option.target))
        self.reserve(best, is_turn=True)
        return best

    def _charge_for_delayed_loads(self, need: Need) -> None:
        """Raise the cost of other loads on the targets with a copy for ``need``."""
        free = [
            candidate
            for candidate in self._with_copy[need.model.name]
            if candidate.is_startable
        ]
        for candidate in free:
            candidate.charge_for_delay(need.model.name, need.rate / len(free) ** 2)

    def _keep_last_replicas(self, option: PlacementOption) -> None:
        """Keep the replicas that are the last ones after the evictions of ``option``.

        The loss by evicting a replica is computed as if all others stayed; the next
        plan computes it for the last one.
        """
        for model in option.evictions:
            self._evicted_replicas.add((option.target, model))
            remaining = [
                holder.target.incarnation
                for holder in self._view.holders(model)
                if (holder.target.incarnation, model) not in self._evicted_replicas
            ]
            if len(remaining) != 1:
                continue
            self._last_replicas.add((remaining[0], model))
            self._candidates[remaining[0]].keep_model(model)
            self.unused_candidates.sort(key=_min_cost)

    @property
    def _is_overdue_limit_reached(self) -> bool:
        """Whether the maximum number of targets already load overdue models."""
        return self._overdue_loads + 1 > self._max_overdue_loads

    def evaluate_option(
        self, candidate: CandidateTarget, need: Need
    ) -> PlacementOption | None:
        """Return the option of loading ``need`` on ``candidate``, if there is one."""
        view, control, model = self._view, candidate.control, need.model
        if model.name in control.held:
            return None
        holders = view.holders(model.name)
        if holders:
            busiest = max(view.load_of(holder) for holder in holders)
            difference = busiest - candidate.load
            if difference < view.replica_policy.min_load_difference:
                return None
        ready_in = candidate.free_in + control.next_load_time(model)
        waits_for_load = not (holders and view.replica_policy.loads_concurrently)
        if waits_for_load and self._is_load_ending_soon(model.name, ready_in):
            return None
        loads_from_store = control.next_load_reads_store(model.name)
        keeps_only_replicas = bool(holders) and not self._replicas_may_evict
        eviction = candidate.find_evictions(model.memory_mb, keeps_only_replicas)
        if eviction is None:
            return None
        evictions, loss = eviction
        if evictions and holders and loads_from_store and not self._replicas_may_evict:
            # The evicted models would be missed for the whole duration of the load.
            return None
        is_limited = loads_from_store and self._is_overdue_limit_reached
        seconds = ready_in.total_seconds()
        load_after = candidate.load
        if view.replica_policy.uses_capacities:
            load_after = view.load_with(control, need.excess_work)
        return PlacementOption(
            candidate.name,
            evictions,
            need.gain_after(seconds),
            candidate.cost(model.name, loss, seconds)
            + (STORE_LOAD_COST if loads_from_store else 0.0),
            seconds,
            # Breaks ties between equal gains in favour of the target that is least busy
            # with the replica, which is a fast one among equally busy ones.
            load_after * FULL_UTILISATION_COST,
            candidate.is_startable,
            loads_from_store,
            0.0 if is_limited else need.missed_gain,
            0.0 if is_limited else need.repeated_miss_gain_after(seconds),
        )

    def _is_load_ending_soon(self, model: str, ready_in: timedelta) -> bool:
        """Return whether a load of ``model`` in progress ends soon enough.

        It does unless a load started now, which takes ``ready_in``, would end
        ``MIN_LOAD_ADVANCE`` or more before it.
        """
        ready_at = self._view.load_ready_at(model)
        return ready_at is not None and (
            ready_at - self._view.now - ready_in < MIN_LOAD_ADVANCE
        )


def _min_cost(candidate: CandidateTarget) -> float:
    return candidate.min_cost


def _is_loading_overdue(control: TargetControl) -> bool:
    return control.pending_load_reason == OVERDUE and control.is_loading_from_store


def _better_option(
    best: PlacementOption | None, other: PlacementOption | None
) -> PlacementOption | None:
    """Return the better of two options; ties go to the first target name."""
    if best is None or other is None:
        return best or other
    return min(best, other, key=_option_sort_key)


def _option_sort_key(option: PlacementOption) -> tuple[bool, float, str]:
    return not option.is_worthwhile, -option.value, option.target


def _beats_remaining(
    best: PlacementOption, max_gain: float, need: Need, min_cost: float
) -> bool:
    """Return whether ``best`` is better than every option within these bounds.

    The other options gain at most ``max_gain``, plus what ``need`` gains for the time
    missed, and cost at least ``min_cost``.
    """
    max_added_gain = max(need.missed_gain, need.repeated_miss_gain)
    none_is_worthwhile = max_gain <= 0.0 or min_cost >= max_gain + max_added_gain
    return max_gain + need.repeated_miss_gain - min_cost < best.value and (
        best.is_worthwhile or none_is_worthwhile
    )
