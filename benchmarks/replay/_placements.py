"""The placements to compare: runhatch's planner and two baselines."""

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
    """Decides when units are loaded and retired."""

    name: str

    def step(
        self, now: timedelta, counts: dict[str, int], rows: Rows, ages: Ages
    ) -> list[Action]:
        """Return the actions at ``now`` for the requests since the last step."""


class RunhatchPlacement:
    """The planner and demand estimate of the daemon."""

    name = "runhatch"

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment
        self._demand = DemandEstimate()

    def step(
        self, now: timedelta, counts: dict[str, int], rows: Rows, ages: Ages
    ) -> list[Action]:
        """Return the plan that the lease holder would make."""
        self._demand.add_counts(counts)
        self._demand.update_rates(now)
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
    """Loads as many replicas of each model as fit, evenly, once at the start."""

    name = "even static"

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment

    def step(
        self, now: timedelta, counts: dict[str, int], rows: Rows, ages: Ages
    ) -> list[Action]:
        """Return loads at the start, and no action later."""
        if now > timedelta():
            return []
        return fill_evenly(self._deployment, rows)


class FollowDemand:
    """Sets replicas in proportion to recent demand, without hysteresis."""

    name = "follow demand"
    window = timedelta(seconds=10)

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment
        self._counts: dict[str, int] = {}
        self._next_window = timedelta()

    def step(
        self, now: timedelta, counts: dict[str, int], rows: Rows, ages: Ages
    ) -> list[Action]:
        """Return the actions to reach the placement for the last window's demand."""
        for name, count in counts.items():
            self._counts[name] = self._counts.get(name, 0) + count
        if now == timedelta():
            return fill_evenly(self._deployment, rows)
        if now < self._next_window:
            return []
        self._next_window = now + self.window
        replicas = self._target_replicas(rows)
        self._counts.clear()
        return self._actions_towards(replicas, rows)

    def _target_replicas(self, rows: Rows) -> dict[str, int]:
        total = sum(self._counts.values()) or 1
        extra_replicas = len(rows) * 2
        return {
            model.name: min(
                len(rows),
                1 + round(extra_replicas * self._counts.get(model.name, 0) / total),
            )
            for model in self._deployment.models
        }

    def _actions_towards(self, replicas: dict[str, int], rows: Rows) -> list[Action]:
        actions: list[Action] = []
        planned_rows = dict(rows)
        for model in self._deployment.models:
            serving = _hosts(model, planned_rows, ChargeState.SERVING)
            for host in serving[replicas[model.name] :]:
                charge = planned_rows[host].find_charge(model.unit_name)
                assert charge is not None
                planned_rows[host] = planned_rows[host].with_charge(
                    charge.as_unloading()
                )
                actions.append(RetireUnit(host, model.unit_name, "less demand"))
        busiest = sorted(
            self._deployment.models,
            key=lambda model: self._counts.get(model.name, 0),
            reverse=True,
        )
        for model in busiest:
            missing = replicas[model.name] - len(_hosts(model, planned_rows, *PRESENT))
            for _ in range(missing):
                load = _plan_load(self._deployment, model, planned_rows)
                if load is not None:
                    actions.append(load)
        return actions


def fill_evenly(deployment: Deployment, rows: Rows) -> list[Action]:
    """Return loads of one replica of each model in turn, until none fits."""
    actions: list[Action] = []
    planned_rows = dict(rows)
    fits = True
    while fits:
        fits = False
        for model in deployment.models:
            load = _plan_load(deployment, model, planned_rows)
            if load is not None:
                actions.append(load)
                fits = True
    return actions


def _hosts(model: ModelSpec, rows: Rows, *states: ChargeState) -> list[str]:
    host_names = []
    for name, row in rows.items():
        charge = row.find_charge(model.unit_name)
        if charge is not None and charge.state in states:
            host_names.append(name)
    return host_names


def _plan_load(
    deployment: Deployment, model: ModelSpec, rows: dict[str, LedgerRow]
) -> LoadUnit | None:
    adapters = sum(a.memory_mb for a in deployment.adapters_of(model.name))
    memory = model.memory_mb + model.kv_reserve_mb + adapters
    free = [
        (row.free_mb, name)
        for name, row in rows.items()
        if row.find_charge(model.unit_name) is None
        and row.free_mb >= memory + model.loading_peak_mb
    ]
    if not free:
        return None
    target = max(free)[1]
    load = LoadUnit(
        target,
        model.unit_name,
        memory,
        model.loading_peak_mb,
        Urgency.VALUE,
        "baseline",
    )
    rows[target] = rows[target].with_charge(load.new_charge())
    return load
