"""Copies of weights that are made while nobody asks for anything.

A model that no target keeps a copy of takes several times longer to load than one
that lies on a target's disk, and keeps its target from other orders all that time:
9 s against 2 s.  Before callers come, and when they have all gone, that time costs
nobody anything.
"""

from collections import Counter
from datetime import timedelta

from runhatch_server.residency._control import Step, TargetControl
from runhatch_server.residency._policy import LoadModel
from runhatch_server.residency._view import FleetView
from runhatch_server.routing import EngineModel

QUIET = timedelta(seconds=2)
"""How long nobody must have asked a service for anything: callers of a service in use
are a fraction of a second apart."""
SETTLED = timedelta(seconds=1)
"""How long no target must have been new to the orderer: they are listed one after the
other, some 0.7 s apart, and each has copies."""
TAKEN_OVER = timedelta(seconds=30)
"""The same after another node has ordered the targets: one that peers do not reach
hears of no callers, and must not take a busy system for a quiet one."""
MOST_TARGETS = 0.5
"""Share of the targets that make copies at once: the others take orders for adapters
when callers come meanwhile."""
PAUSE = timedelta(minutes=1)
"""Between copies begun together and the next ones: callers may come any time, and
should find targets busy for the rest of one load at the most."""
AGAIN_AFTER = timedelta(minutes=10)
"""How long a model is not copied again.  Where targets keep fewer copies than there
are models each new one drops another, and copying would never end."""
NO_COPY, PUT_BACK = "no copy", "put back"
"""Reasons for such loads, as logs tell them."""


class CopyPlanner:
    """Decides about copies; used by the orderer's loop alone."""

    def __init__(self, now: timedelta) -> None:
        self._settled_at = now + SETTLED
        self._made_at: dict[tuple[str, str], timedelta] = {}
        self._newest_at: dict[str, timedelta] = {}
        self._gave_way: dict[str, tuple[str, str]] = {}
        """By target: the model copied there, and the one that gave way to it."""

    def met(self, now: timedelta) -> None:
        """Take in that a target is new."""
        self._settled_at = max(self._settled_at, now + SETTLED)

    def taken_over(self, now: timedelta) -> None:
        """Take in that another node ordered the targets until now."""
        self._settled_at = now + TAKEN_OVER

    def made(self, service: str, load: LoadModel, now: timedelta) -> None:
        """Take in that a load was begun."""
        if load.reason == PUT_BACK:
            self._gave_way.pop(load.target, None)
            return
        self._made_at[service, load.model] = now
        self._newest_at[service] = now
        if load.evict:
            self._gave_way[load.target] = (load.model, load.evict[0])

    def plan(self, view: FleetView) -> list[LoadModel]:
        """Return the loads to begin now of models that no target has a copy of.

        Each takes the place of a model that its target can load again from a copy
        of its own, and which is put back once the copy is there: what targets held
        at first is what most callers ask for.
        """
        if not self._is_quiet(view):
            return []
        put_back = self._put_back(view)
        newest_at = self._newest_at.get(view.service)
        if newest_at is not None and view.now - newest_at < PAUSE:
            return put_back
        copies = _copies(view)
        free = _free_targets(view, copies)
        busy = len(view.controls) - len(free)
        most = int(len(view.controls) * MOST_TARGETS) - busy
        planned: list[LoadModel] = []
        for model in view.engine.models:
            if len(planned) >= most:
                break
            known = copies[model.name] or view.coming_at(model.name) is not None
            if known or self._was_made(view, model.name):
                continue
            load = _place(view, free, model)
            if load is not None:
                planned.append(load)
        return put_back + planned

    def _is_quiet(self, view: FleetView) -> bool:
        asked_at = view.demand.asked_at(view.service)
        if asked_at is not None and view.now - asked_at < QUIET:
            return False
        unknown = any(control.step is Step.UNKNOWN for control in view.controls)
        return view.now >= self._settled_at and not unknown

    def _put_back(self, view: FleetView) -> list[LoadModel]:
        """Return the loads of models that gave way to a copy that is made by now."""
        loads = []
        for control in view.controls:
            copied, model = self._gave_way.get(control.target.incarnation, ("", ""))
            if copied not in control.held or not _may_begin(view, control):
                continue
            if not view.holders(model) and not control.loads_from_store(model):
                target = control.target.incarnation
                loads.append(LoadModel(target, model, (copied,), PUT_BACK, 0.0))
        return loads

    def _was_made(self, view: FleetView, model: str) -> bool:
        made_at = self._made_at.get((view.service, model))
        return made_at is not None and view.now - made_at < AGAIN_AFTER


def _free_targets(view: FleetView, copies: Counter[str]) -> list[TargetControl]:
    """Return the targets that may make a copy now, the most suitable first."""
    free = [control for control in view.controls if _may_begin(view, control)]
    return sorted(free, key=lambda control: _copies_at_risk(control, copies))


def _may_begin(view: FleetView, control: TargetControl) -> bool:
    return control.is_free_at(view.now) and control.intent is None


def _place(
    view: FleetView, free: list[TargetControl], model: EngineModel
) -> LoadModel | None:
    """Return the load of ``model`` on one of ``free``, which is taken from them."""
    for control in free:
        evict = _gives_way(view, control, model.memory_mb)
        if evict is not None:
            free.remove(control)
            name = control.target.incarnation
            return LoadModel(name, model.name, evict, NO_COPY, 0.0)
    return None


def _copies(view: FleetView) -> Counter[str]:
    """Return how many targets have each model, or a copy of it."""
    return Counter(
        model
        for control in view.controls
        for model in {*control.held, *control.copies_in_memory, *control.copies_on_disk}
    )


def _copies_at_risk(control: TargetControl, copies: Counter[str]) -> float:
    """Return the share of a target's copies that no other target has.

    A new copy drops the one there that was used least lately, which nobody tells.
    """
    spare = control.copies_on_disk - control.held.keys()
    return sum(copies[model] == 1 for model in spare) / max(1, len(spare))


def _gives_way(
    view: FleetView, control: TargetControl, needed_mb: float
) -> tuple[str, ...] | None:
    """Return what is unloaded for a copy, ``None`` if nothing suitable is there."""
    if view.free_mb(control) >= needed_mb:
        return ()
    known = view.engine.by_name
    for model in sorted(control.held):
        spec = known.get(model)
        if spec is None or not _is_little_used(view, control, spec):
            continue
        again = not control.loads_from_store(model)
        if again and view.free_mb(control) + spec.memory_mb >= needed_mb:
            return (model,)
    return None


def _is_little_used(
    view: FleetView, control: TargetControl, model: EngineModel
) -> bool:
    """Tell whether few callers are expected to ask for ``model`` soon.

    Those that stand on several targets, or have adapters, are the ones that most
    callers use; one that was asked for lately is used.
    """
    alone = len(view.holders(model.name)) == 1
    return alone and not model.adapters and not view.is_last_asked(control, model.name)
