"""Plan loads that create copies of weights while a service receives no requests.

A model without a copy on any target's disk takes several times longer to load (9 s
instead of 2 s) and blocks other orders to its target meanwhile. While there are no
requests, that time delays none.
"""

from collections import Counter
from datetime import timedelta

from runhatch_server.residency._control import ControlState, TargetControl
from runhatch_server.residency._fleet_view import FleetView
from runhatch_server.residency._policy import ModelLoad
from runhatch_server.routing import EngineModel

MIN_IDLE_TIME = timedelta(seconds=2)
"""How long a service must have received no request; requests to a service in use are a
fraction of a second apart."""
SETTLING_TIME = timedelta(seconds=1)
"""How long no target must have been added: targets are listed one after the other,
about 0.7 s apart, and each may have copies."""
TAKEOVER_SETTLING_TIME = timedelta(seconds=30)
"""Settling time after a takeover from another node: an orderer that its peers cannot
reach receives no demand, and must not mistake a busy system for an idle one."""
MAX_TARGET_SHARE = 0.5
"""Maximum share of the targets that create copies at once: the others remain available
for adapter orders."""
COPY_INTERVAL = timedelta(minutes=1)
"""Minimum time between batches of copies: requests that arrive meanwhile find targets
busy for the rest of one load at most."""
MIN_RECOPY_INTERVAL = timedelta(minutes=10)
"""Minimum time until a model is copied again. Where targets store fewer copies than
there are models, each new copy replaces another, and copying would never end."""
NO_COPY, RESTORING = "no copy", "put back"
"""Reasons for these loads, as they appear in logs."""


class CopyPlanner:
    """Plans copies; used only by the orderer's loop."""

    def __init__(self, now: timedelta) -> None:
        self._settled_at = now + SETTLING_TIME
        self._copied_at: dict[tuple[str, str], timedelta] = {}
        self._last_copied_at: dict[str, timedelta] = {}
        self._evicted_for: dict[str, tuple[str, str]] = {}
        """For each target, the model copied there and the model that was evicted for
        it."""

    def record_new_target(self, now: timedelta) -> None:
        """Record that a target was added."""
        self._settled_at = max(self._settled_at, now + SETTLING_TIME)

    def record_takeover(self, now: timedelta) -> None:
        """Record that another node ordered the targets until ``now``."""
        self._settled_at = now + TAKEOVER_SETTLING_TIME

    def record_copy(self, service: str, load: ModelLoad, now: timedelta) -> None:
        """Record that ``load`` was started."""
        if load.reason == RESTORING:
            self._evicted_for.pop(load.target, None)
            return
        self._copied_at[service, load.model] = now
        self._last_copied_at[service] = now
        if load.evictions:
            self._evicted_for[load.target] = (load.model, load.evictions[0])

    def plan_copies(self, view: FleetView) -> list[ModelLoad]:
        """Return the loads to start now of models without a copy on any target.

        Each evicts a model that its target can load again from its own copy. The
        evicted model is loaded again once the new copy exists, because callers mostly
        use the models that targets held initially.
        """
        if not self._is_idle(view):
            return []
        restoring = self._restoring_loads(view)
        last_copied_at = self._last_copied_at.get(view.service)
        if last_copied_at is not None and view.now - last_copied_at < COPY_INTERVAL:
            return restoring
        copies = _count_copies(view)
        free = _free_targets(view, copies)
        busy = len(view.controls) - len(free)
        max_loads = int(len(view.controls) * MAX_TARGET_SHARE) - busy
        planned: list[ModelLoad] = []
        for model in view.engine.models:
            if len(planned) >= max_loads:
                break
            has_copy = copies[model.name] or view.load_ready_at(model.name) is not None
            if has_copy or self._was_copied_recently(view, model.name):
                continue
            load = _assign_load(view, free, model)
            if load is not None:
                planned.append(load)
        return restoring + planned

    def _is_idle(self, view: FleetView) -> bool:
        last_request_at = view.demand.last_request_at(view.service)
        if last_request_at is not None and view.now - last_request_at < MIN_IDLE_TIME:
            return False
        has_unknown = any(
            control.state is ControlState.UNKNOWN for control in view.controls
        )
        return view.now >= self._settled_at and not has_unknown

    def _restoring_loads(self, view: FleetView) -> list[ModelLoad]:
        """Return the loads of models that were evicted for a copy that now exists."""
        loads = []
        for control in view.controls:
            copied, model = self._evicted_for.get(control.target.incarnation, ("", ""))
            if copied not in control.held or not _accepts_load(view, control):
                continue
            if not view.holders(model) and not control.loads_from_store(model):
                target = control.target.incarnation
                loads.append(ModelLoad(target, model, (copied,), RESTORING, 0.0))
        return loads

    def _was_copied_recently(self, view: FleetView, model: str) -> bool:
        copied_at = self._copied_at.get((view.service, model))
        return copied_at is not None and view.now - copied_at < MIN_RECOPY_INTERVAL


def _free_targets(view: FleetView, copies: Counter[str]) -> list[TargetControl]:
    """Return the targets that may create a copy now, the most suitable first."""
    free = [control for control in view.controls if _accepts_load(view, control)]
    return sorted(free, key=lambda control: _copies_at_risk(control, copies))


def _accepts_load(view: FleetView, control: TargetControl) -> bool:
    return control.is_free_at(view.now) and control.intent is None


def _assign_load(
    view: FleetView, free: list[TargetControl], model: EngineModel
) -> ModelLoad | None:
    """Return the load of ``model`` on one of ``free``, and remove that target."""
    for control in free:
        evictions = _models_to_evict(view, control, model.memory_mb)
        if evictions is not None:
            free.remove(control)
            name = control.target.incarnation
            return ModelLoad(name, model.name, evictions, NO_COPY, 0.0)
    return None


def _count_copies(view: FleetView) -> Counter[str]:
    """Return the number of targets that hold each model or a copy of it."""
    return Counter(
        model
        for control in view.controls
        for model in {*control.held, *control.copies_in_memory, *control.copies_on_disk}
    )


def _copies_at_risk(control: TargetControl, copies: Counter[str]) -> float:
    """Return the share of a target's copies that no other target has.

    A new copy replaces the least recently used one; targets do not report which that
    is.
    """
    unheld_copies = control.copies_on_disk - control.held.keys()
    return sum(copies[model] == 1 for model in unheld_copies) / max(
        1, len(unheld_copies)
    )


def _models_to_evict(
    view: FleetView, control: TargetControl, needed_mb: float
) -> tuple[str, ...] | None:
    """Return the models to evict for a copy, or ``None`` if no model is suitable."""
    if view.free_mb(control) >= needed_mb:
        return ()
    specs = view.engine.by_name
    for model in sorted(control.held):
        spec = specs.get(model)
        if spec is None or not _is_little_used(view, control, spec):
            continue
        has_own_copy = not control.loads_from_store(model)
        if has_own_copy and view.free_mb(control) + spec.memory_mb >= needed_mb:
            return (model,)
    return None


def _is_little_used(
    view: FleetView, control: TargetControl, model: EngineModel
) -> bool:
    """Return whether little demand for ``model`` is expected.

    Models with several replicas or with adapters have most of the demand. A model
    requested recently is in use.
    """
    is_only_replica = len(view.holders(model.name)) == 1
    return (
        is_only_replica
        and not model.adapters
        and not view.is_only_holder_in_demand(control, model.name)
    )
