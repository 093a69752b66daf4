"""Deciding which units to load and which to retire in one pool.

Reachability first: what is declared and not resident is loaded, a version is made
before the old one is broken, and the last replica is never retired.  After that a
replica is added where the requests in time it wins over the horizon exceed the
price of the moves it costs; a replica is retired only to make room.
"""

from runhatch_server.configuration import ModelSpec
from runhatch_server.decisions import Spread
from runhatch_server.placement._actions import Action, LoadUnit
from runhatch_server.placement._balance import balance
from runhatch_server.placement._draft import Draft
from runhatch_server.placement._reachability import (
    keep_reachable,
    load_adapters,
    retire_obsolete,
)
from runhatch_server.placement._state import PoolState
from runhatch_server.placement._value import add_for_value


def plan(state: PoolState) -> list[Action]:
    """Return what to do now; the actions together fit the ledger as it stands."""
    draft = Draft(state)
    keep_reachable(draft)
    load_adapters(draft)
    retire_obsolete(draft)
    if not state.policy.paused:
        add_for_value(draft)
    return draft.actions


def explain(state: PoolState, model: ModelSpec) -> list[str]:
    """Return lines that tell where ``model`` is, and what speaks for changes."""
    spread: Spread = balance(state)
    work = state.work.get(model.name, 0.0)
    lines = [f"expected work: {work:.2f} concurrent requests"]
    for name, row in state.rows.items():
        charge = row.find(model.unit)
        if charge is None:
            continue
        busy = spread.utilisation(name) if name in spread.capacities else 0.0
        lines.append(
            f"{name}: {charge.state.value}, {charge.held_mb} MB, "
            f"target at {busy:.0%} of its concurrency"
        )
    for action in plan(state):
        if action.unit == model.unit:
            verb = "load on" if isinstance(action, LoadUnit) else "retire from"
            lines.append(f"next: {verb} {action.target}: {action.reason}")
    return lines
