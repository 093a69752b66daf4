"""Placements that are compared: runhatch's planner and two baselines."""

from collections.abc import Mapping
from datetime import timedelta
from typing import Protocol

from runhatch_server.configuration import Deployment, ModelSpec
from runhatch_server.placement import (
    Action,
    ChargeState,
    LedgerRow,
    LoadUnit,
    PoolState,
    RetireUnit,
    Urgency,
    plan,
)
from runhatch_server.placement._demand import DemandEstimate

Rows = Mapping[str, LedgerRow]
Ages = Mapping[tuple[str, str], timedelta]
PRESENT = (ChargeState.SERVING, ChargeState.LOADING)


class Placement(Protocol):
    """Decides loads and retirements."""

    name: str

    def step(
        self, now: timedelta, counts: dict[str, int], rows: Rows, ages: Ages
    ) -> list[Action]:
        """Return what to do at ``now``, given requests since the last step."""


class RunhatchPlacement:
    """The daemon's own planner and demand estimate."""

    name = "runhatch"

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment
        self._demand = DemandEstimate()

    def step(
        self, now: timedelta, counts: dict[str, int], rows: Rows, ages: Ages
    ) -> list[Action]:
        """Plan as the lease holder does."""
        self._demand.add(counts)
        self._demand.tick(now)
        state = PoolState(
            self._deployment.pools[0],
            self._deployment.models,
            self._deployment.adapters,
            self._deployment.policy,
            rows,
            {
                model.name: self._demand.rate(model.name) * model.service_seconds
                for model in self._deployment.models
            },
            ages=ages,
        )
        return plan(state)


class EvenStatic:
    """As many replicas of each model as fit, evenly, and no moves ever after."""

    name = "even static"

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment

    def step(
        self, now: timedelta, counts: dict[str, int], rows: Rows, ages: Ages
    ) -> list[Action]:
        """Load at the start only."""
        if now > timedelta():
            return []
        return fill_evenly(self._deployment, rows)


class FollowDemand:
    """Replicas in proportion to the last seconds' demand, without hysteresis."""

    name = "follow demand"
    window = timedelta(seconds=10)

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment
        self._counts: dict[str, int] = {}
        self._next = timedelta()

    def step(
        self, now: timedelta, counts: dict[str, int], rows: Rows, ages: Ages
    ) -> list[Action]:
        """Move straight to the placement that the window asks for."""
        for name, count in counts.items():
            self._counts[name] = self._counts.get(name, 0) + count
        if now == timedelta():
            return fill_evenly(self._deployment, rows)
        if now < self._next:
            return []
        self._next = now + self.window
        wanted = self._wanted(rows)
        self._counts.clear()
        return self._towards(wanted, rows)

    def _wanted(self, rows: Rows) -> dict[str, int]:
        total = sum(self._counts.values()) or 1
        spare = len(rows) * 2
        return {
            model.name: min(
                len(rows),
                1 + round(spare * self._counts.get(model.name, 0) / total),
            )
            for model in self._deployment.models
        }

    def _towards(self, wanted: dict[str, int], rows: Rows) -> list[Action]:
        actions: list[Action] = []
        changed = dict(rows)
        for model in self._deployment.models:
            serving = _hosts(model, changed, ChargeState.SERVING)
            for host in serving[wanted[model.name] :]:
                charge = changed[host].find(model.unit)
                assert charge is not None
                changed[host] = changed[host].with_charge(charge.unloading())
                actions.append(RetireUnit(host, model.unit, "less demand"))
        busiest = sorted(
            self._deployment.models,
            key=lambda model: self._counts.get(model.name, 0),
            reverse=True,
        )
        for model in busiest:
            lacking = wanted[model.name] - len(_hosts(model, changed, *PRESENT))
            for _ in range(lacking):
                load = _load(self._deployment, model, changed)
                if load is not None:
                    actions.append(load)
        return actions


def fill_evenly(deployment: Deployment, rows: Rows) -> list[Action]:
    """Return loads of every model once, then again while anything fits."""
    actions: list[Action] = []
    changed = dict(rows)
    fits = True
    while fits:
        fits = False
        for model in deployment.models:
            load = _load(deployment, model, changed)
            if load is not None:
                actions.append(load)
                fits = True
    return actions


def _hosts(model: ModelSpec, rows: Rows, *states: ChargeState) -> list[str]:
    found = []
    for name, row in rows.items():
        charge = row.find(model.unit)
        if charge is not None and charge.state in states:
            found.append(name)
    return found


def _load(
    deployment: Deployment, model: ModelSpec, rows: dict[str, LedgerRow]
) -> LoadUnit | None:
    adapters = sum(a.memory_mb for a in deployment.adapters_of(model.name))
    memory = model.memory_mb + model.kv_reserve_mb + adapters
    free = [
        (row.free_mb, name)
        for name, row in rows.items()
        if row.find(model.unit) is None
        and row.free_mb >= memory + model.loading_peak_mb
    ]
    if not free:
        return None
    target = max(free)[1]
    load = LoadUnit(
        target, model.unit, memory, model.loading_peak_mb, Urgency.VALUE, "baseline"
    )
    rows[target] = rows[target].with_charge(load.charge())
    return load
