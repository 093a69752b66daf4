"""What one round of planning costs the node that orders the targets, by size."""

import random
from datetime import timedelta

from _cost import time_call
from _reporting import Report

from runhatch_server.fleet import HeldModels, StoredCopies, Target, TargetState
from runhatch_server.residency import (
    DemandBook,
    DemandShare,
    FleetView,
    TargetControl,
    TargetReport,
    Wanted,
    plan_adapters,
    plan_models,
)
from runhatch_server.routing import EngineModel, EngineSpec, LoadTimes

SIZES = ((6, 26), (45, 196), (70, 305), (600, 860))
"""Targets and models; the last is the size that the design is built towards."""
HELD_EACH, COPIES_EACH = 3, 6
"""Models that a target holds, and of which it keeps copies."""
ADAPTERS = 2
MISSED_SHARE = 0.5
"""Share of the models held nowhere that requests miss: demand has moved at once."""
GOALS = (timedelta(seconds=0.8), timedelta(seconds=0.8), timedelta(seconds=8))
NOW = timedelta(seconds=100)
SERVICE = "engine"


def _engine(models: int) -> EngineSpec:
    loads = LoadTimes(*(timedelta(seconds=s) for s in (9, 2, 0.8)))
    specs = tuple(
        EngineModel(f"m{index}", 70.0, loads, ADAPTERS, 1.0) for index in range(models)
    )
    return EngineSpec(specs, 64, 228.0, 8, 130_000, 20.0)


def _controls(targets: int, models: int, chance: random.Random) -> list[TargetControl]:
    controls = []
    for index in range(targets):
        copies = [f"m{each}" for each in chance.sample(range(models), COPIES_EACH)]
        held = HeldModels({name: frozenset() for name in copies[:HELD_EACH]})
        target = Target(
            f"t{index}", SERVICE, "127.0.0.1", 1, "d1", 64, TargetState.READY, held
        )
        control = TargetControl(target)
        stored = StoredCopies(on_disk=frozenset(copies))
        report = TargetReport(0, held, False, frozenset(), stored, 0, 0)
        control.reported(report, timedelta())
        controls.append(control)
    return controls


def _demand(
    controls: list[TargetControl], models: int, chance: random.Random
) -> DemandBook:
    held = {name for control in controls for name in control.held}
    book = DemandBook()
    for index in range(models):
        name = f"m{index}"
        missed = name not in held and chance.random() < MISSED_SHARE
        for number in range(4):
            priority = chance.randrange(len(GOALS))
            adapter = f"a{1 + number % ADAPTERS}" if number >= ADAPTERS else ""
            wanted = Wanted(SERVICE, name, adapter, priority, GOALS[priority])
            at = NOW - timedelta(seconds=3 - number)
            book.add("n1", DemandShare(wanted, 2, 2 if missed else 0, 150.0), at)
    return book


def round_ms(targets: int, models: int) -> tuple[int, float]:
    """Return models that are missed, and the milliseconds of one round's plan."""
    chance = random.Random(targets)
    engine = _engine(models)
    controls = _controls(targets, models, chance)
    book = _demand(controls, models, chance)

    def plan() -> None:
        view = FleetView(SERVICE, engine, controls, book, NOW)
        plan_adapters(view)
        plan_models(view)

    view = FleetView(SERVICE, engine, controls, book, NOW)
    made = plan_models(view)
    return len(made.loads) + len(made.left), time_call(plan) * 1_000


def main() -> None:
    """Write one row a size."""
    report = Report("orders", "One round of planning", "make bench-orders")
    for targets, models in SIZES:
        missed, milliseconds = round_ms(targets, models)
        report.add(targets=targets, models=models, missed=missed, round_ms=milliseconds)
    report.write()


if __name__ == "__main__":
    main()
