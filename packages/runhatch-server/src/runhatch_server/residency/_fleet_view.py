"""Snapshot of the targets of one service for planning, and the values of their models.

All values are in weighted requests.
"""

from collections.abc import Iterable, Mapping, Sequence
from datetime import timedelta

from runhatch_server.decisions import MIN_RATE, WorkDistribution, distribute_work
from runhatch_server.residency._control import MODEL_MIN_RESIDENCE, TargetControl
from runhatch_server.residency._demand import Demand, DemandBook
from runhatch_server.residency._replica_policy import choose_policy
from runhatch_server.routing import EngineSpec

EVICTION_MISS_SECONDS = 3.0
"""How long an evicted model is missed: it takes this long to load it again when
requested, if a target has a copy on disk."""
ADAPTER_MISS_SHARE = 0.3
"""Share of requests for adapters whose adapter must first be loaded: a target accepts
no adapter orders while it loads a model."""
UNKNOWN_MODEL_VALUE = 2.5
"""Value, in weighted requests, of the last replica of a model that was never requested,
or that requests which cannot wait for a load have used. Demand moves to other models
without warning: within ten seconds, to one in seven of those not in demand, and
about 40 weighted requests are missed until such a model is loaded."""
HURRIED_MODEL_VALUE = 3.0
"""Additional value of the last replica if requests that cannot wait for a load have
used the model recently: the rate of demand that has just begun is underestimated."""
PATIENT_MODEL_VALUE = 0.2
"""Value of the last replica of a model that only requests which can wait have used; its
rate accounts for the rest."""
PATIENT_LOSS_SHARE = 0.6
"""Share of the requests that can wait for a load but are lost anyway if their model
must be loaded first, because the target may be busy with another load."""
MIN_DEMAND_RATE = 0.05
"""Requests per second above which a model that no target holds any more is loaded again
without waiting for the next request."""
RESIDENCE_INTERVALS = 2
"""Mean intervals between the misses of a model for which it stays, once loaded, until
a request finds it: the next request comes within them in six of seven cases."""
MAX_RESIDENCE_LOADS = 3
"""Loads for whose time a model stays at the longest until a request finds it."""
UNMET_WEIGHT = 0.7
"""Weight of each missed request after the first, until a target holds its model."""


class FleetView:
    """Snapshot of the targets of one service for planning."""

    def __init__(
        self,
        service: str,
        engine: EngineSpec,
        controls: Sequence[TargetControl],
        demand: DemandBook,
        now: timedelta,
        rate_limits: Mapping[str, float] | None = None,
        work_times: Mapping[str, float] | None = None,
    ) -> None:
        """Index the targets; ``rate_limits`` are requests per second, by incarnation.

        A target without a limit is limited only by its processing time. ``work_times``
        are the lasting work time factors, by incarnation; 1.0 is assumed for others.
        """
        self.service = service
        self.engine = engine
        self.controls = controls
        self.demand = demand
        self.now = now
        self._reserve_mb = engine.adapter_slots * max(
            (model.adapter_mb for model in engine.models), default=0.0
        )
        self._demands: dict[str, Demand] = {}
        self._adapter_demands: dict[tuple[str, str], Demand] = {}
        self._load_ready_times: dict[str, timedelta] = {}
        self._holders: dict[str, list[TargetControl]] = {}
        factors = work_times or {}
        states_work_time = any(c.target.incarnation in factors for c in controls)
        self.replica_policy = choose_policy(engine.models, states_work_time)
        for control in controls:
            self._record_expected_load(control)
            for model in control.held:
                if control.holds(model) and not self._is_to_be_evicted(control, model):
                    self._holders.setdefault(model, []).append(control)
        work = {
            model.name: self.demand_for(model.name).work_share
            for model in engine.models
        }
        hosts = {
            model: [control.target.incarnation for control in holders]
            for model, holders in self._holders.items()
        }
        limits = rate_limits or {}
        capacities = {
            control.target.incarnation: self._capacity(
                control,
                limits.get(control.target.incarnation),
                factors.get(control.target.incarnation, 1.0),
            )
            for control in controls
        }
        self.spread: WorkDistribution = distribute_work(work, hosts, capacities)
        self._adapter_rates: dict[str, float] = {}
        for model, adapter in demand.requested_adapters(service):
            rate = self.adapter_demand(model, adapter).weighted_rate
            self._adapter_rates[model] = self._adapter_rates.get(model, 0.0) + rate

    def demand_for(self, model: str) -> Demand:
        """Return the demand for ``model``, cached in this view."""
        cached = self._demands.get(model)
        if cached is None:
            cached = self.demand.model_demand(self.service, model, self.now)
            self._demands[model] = cached
        return cached

    def adapter_demand(self, model: str, adapter: str) -> Demand:
        """Return the demand for an adapter, cached in this view."""
        cached = self._adapter_demands.get((model, adapter))
        if cached is None:
            cached = self.demand.adapter_demand(self.service, model, adapter, self.now)
            self._adapter_demands[model, adapter] = cached
        return cached

    def holders(self, model: str) -> list[TargetControl]:
        """Return the targets that hold ``model``."""
        return self._holders.get(model, [])

    def count_loads(self, model: str) -> int:
        """Return the number of loads of ``model`` in progress or planned."""
        return sum(model in _expected_models(control) for control in self.controls)

    def load_ready_at(self, model: str) -> timedelta | None:
        """Return when a load of ``model`` in progress or planned ends."""
        return self._load_ready_times.get(model)

    def free_mb(self, control: TargetControl) -> float:
        """Return the free memory for models in MB, less the adapter reserve."""
        used = control.used_mb(self.engine)
        return self.engine.memory_mb - self._reserve_mb - used

    def delayed_adapter_rate(self, control: TargetControl) -> float:
        """Return the weighted adapter requests per second that a load would delay.

        Other free holders serve their share of them.
        """
        delayed_rate = 0.0
        for model in control.held:
            others = [
                holder
                for holder in self.holders(model)
                if holder is not control and holder.is_free
            ]
            rate = self._adapter_rates.get(model, 0.0) * ADAPTER_MISS_SHARE
            delayed_rate += rate / (len(others) + 1) ** 2
        return delayed_rate

    def load_of(self, control: TargetControl) -> float:
        """Return the share of a target's time spent on prompts."""
        return self.spread.utilisation(control.target.incarnation)

    def load_with(self, control: TargetControl, added_work: float) -> float:
        """Return the load of a target if ``added_work`` moved there."""
        incarnation = control.target.incarnation
        load = self.spread.loads[incarnation] + added_work
        return load / self.spread.capacities[incarnation]

    def is_only_holder_in_demand(self, control: TargetControl, model: str) -> bool:
        """Return whether ``control`` is the only holder of a model in demand."""
        if any(holder is not control for holder in self.holders(model)):
            return False
        return self.demand_for(model).rate >= MIN_DEMAND_RATE

    def awaits_first_request(self, control: TargetControl, model: str) -> bool:
        """Return whether ``control`` must keep a model that was missed until loaded.

        It stays until a request finds it. Otherwise the load would be in vain, and its
        callers would wait for another one.
        """
        loaded_at = control.loaded_at.get((model, ""))
        spec = self.engine.by_name.get(model)
        interval = self.demand_for(model).awaited_interval
        if loaded_at is None or spec is None or interval is None:
            return False
        load_time = spec.loads.from_store
        if len(self.holders(model)) > 1 or load_time <= MODEL_MIN_RESIDENCE:
            # Others serve meanwhile, or another load would soon be done.
            return False
        longest = load_time * MAX_RESIDENCE_LOADS
        residence = max(load_time, min(interval * RESIDENCE_INTERVALS, longest))
        return self.now - loaded_at < residence

    def keep_value(self, control: TargetControl, model: str) -> float:
        """Return the loss if ``control`` dropped ``model``."""
        demand = self.demand_for(model)
        hurried = demand.weighted_rate - demand.patient_rate
        missed = hurried + demand.patient_rate * PATIENT_LOSS_SHARE
        value = missed * EVICTION_MISS_SECONDS
        others = [c for c in self.holders(model) if c is not control]
        if not others:
            is_patient = demand.was_requested and demand.last_hurried_at is None
            base_value = PATIENT_MODEL_VALUE if is_patient else UNKNOWN_MODEL_VALUE
            if demand.is_hurried(self.now):
                base_value += HURRIED_MODEL_VALUE
            return base_value + value + demand.waiting_requests(self.now)
        share = self.spread.share(model, control.target.incarnation)
        moved = share / len(others)
        policy = self.replica_policy
        if policy.uses_capacities:
            load_after = min(self.load_with(other, moved) for other in others)
        else:
            load_after = min(self.load_of(other) + moved for other in others)
        crowding = (load_after - policy.lossless_load) / (
            policy.replica_load - policy.lossless_load
        )
        return value / (len(others) + 1) * min(max(crowding, 0.0), 1.0)

    def _capacity(
        self, control: TargetControl, limit: float | None, work_time: float
    ) -> float:
        """Return the work per second that a target can do, in seconds of usual work.

        ``limit`` is its rate limit in requests per second, ``work_time`` its lasting
        work time factor.
        """
        unlimited = 1.0 / work_time
        if limit is None:
            return unlimited
        demands = [self.demand_for(model) for model in control.held]
        rate = sum(demand.rate for demand in demands)
        work = sum(demand.work_share for demand in demands)
        if rate <= 0 or work <= 0:
            return unlimited
        return min(unlimited, max(limit, MIN_RATE) * work / rate)

    def _is_to_be_evicted(self, control: TargetControl, model: str) -> bool:
        """Return whether ``control`` is about to unload ``model`` for another.

        Otherwise the plans made before it has done so would evict other replicas of the
        model as if this one stayed.
        """
        intent = control.intent
        return (
            self.replica_policy.may_evict
            and intent is not None
            and model in intent.evictions
        )

    def _record_expected_load(self, control: TargetControl) -> None:
        for model in _expected_models(control):
            ready_at = control.free_at(self.engine, self.now)
            known_ready_at = self._load_ready_times.get(model, ready_at)
            self._load_ready_times[model] = min(known_ready_at, ready_at)


def _expected_models(control: TargetControl) -> set[str]:
    """Return the models that a target loads or is about to load."""
    models = {control.loading_model}
    if control.intent is not None:
        models.add(control.intent.model)
    return models - {""}


def group_by_service(
    controls: Iterable[TargetControl],
) -> Mapping[str, list[TargetControl]]:
    """Return the targets of each service, ordered by incarnation."""
    services: dict[str, list[TargetControl]] = {}
    for control in sorted(controls, key=lambda each: each.target.incarnation):
        services.setdefault(control.target.service, []).append(control)
    return services
