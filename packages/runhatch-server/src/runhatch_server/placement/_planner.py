"""Decides which units to load and which to retire in one pool.

Reachability comes first: missing declared units are loaded, an old version is retired
only after the new one serves, and the last replica is never retired.  Then a replica
is added where the number of additional requests answered in time within the horizon
exceeds the cost of the moves; surplus replicas are retired only to free memory.
"""

from runhatch_server.configuration import ModelSpec
from runhatch_server.decisions import WorkDistribution
from runhatch_server.placement._actions import Action, LoadUnit
from runhatch_server.placement._balance import balance_work
from runhatch_server.placement._draft import Draft
from runhatch_server.placement._reachability import (
    load_adapters,
    load_missing_models,
    retire_obsolete_units,
)
from runhatch_server.placement._state import PoolState
from runhatch_server.placement._value import add_valuable_replicas


def plan(state: PoolState) -> list[Action]:
    """Return actions that together fit the current ledger."""
    draft = Draft(state)
    load_missing_models(draft)
    load_adapters(draft)
    retire_obsolete_units(draft)
    if not state.policy.paused:
        add_valuable_replicas(draft)
    return draft.actions


def explain_placement(state: PoolState, model: ModelSpec) -> list[str]:
    """Return lines on the replicas of ``model`` and the next actions with reasons."""
    spread: WorkDistribution = balance_work(state)
    work = state.work.get(model.name, 0.0)
    lines = [f"expected work: {work:.2f} concurrent requests"]
    for name, row in state.rows.items():
        charge = row.find_charge(model.unit_name)
        if charge is None:
            continue
        utilisation = spread.utilisation(name) if name in spread.capacities else 0.0
        lines.append(
            f"{name}: {charge.state.value}, {charge.reserved_mb} MB, "
            f"target at {utilisation:.0%} of its concurrency"
        )
    for action in plan(state):
        if action.unit == model.unit_name:
            verb = "load on" if isinstance(action, LoadUnit) else "retire from"
            lines.append(f"next: {verb} {action.target}: {action.reason}")
    return lines
