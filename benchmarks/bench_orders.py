"""Processor time of one planning round for the node that orders the targets."""

import random
from datetime import timedelta

from _cost import time_call
from _reporting import Report

from runhatch_server.fleet import HeldModels, StoredCopies, Target, TargetState
from runhatch_server.residency import (
    DemandBook,
    DemandKey,
    DemandShare,
    FleetView,
    TargetControl,
    TargetReport,
    plan_adapters,
    plan_models,
)
from runhatch_server.routing import EngineModel, EngineSpec, LoadTimes

SIZES = ((6, 26), (45, 196), (70, 305), (600, 860))
"""Numbers of targets and models; the last pair is the size designed for."""
HELD_EACH, COPIES_EACH = 3, 6
"""Models in memory and models with a copy on disk, per target."""
ADAPTERS = 2
REQUESTED_SHARE = 0.5
"""Share of the unloaded models that are requested, as after a shift of demand."""
GOALS = (timedelta(seconds=0.8), timedelta(seconds=0.8), timedelta(seconds=8))
NOW = timedelta(seconds=100)
SERVICE = "engine"


def _engine(models: int) -> EngineSpec:
    loads = LoadTimes(*(timedelta(seconds=s) for s in (9, 2, 0.8)))
    specs = tuple(
        EngineModel(f"m{index}", 70.0, loads, ADAPTERS, 1.0) for index in range(models)
    )
    return EngineSpec(specs, 64, 228.0, 8, 130_000, 20.0)


def _controls(targets: int, models: int, rng: random.Random) -> list[TargetControl]:
    controls = []
    for index in range(targets):
        copies = [f"m{each}" for each in rng.sample(range(models), COPIES_EACH)]
        held = HeldModels({name: frozenset() for name in copies[:HELD_EACH]})
        target = Target(
            f"t{index}", SERVICE, "127.0.0.1", 1, "d1", 64, TargetState.READY, held
        )
        control = TargetControl(target)
        stored = StoredCopies(on_disk=frozenset(copies))
        report = TargetReport(0, held, False, frozenset(), stored, 0, 0)
        control.apply_report(report, timedelta())
        controls.append(control)
    return controls


def _demand(
    controls: list[TargetControl], models: int, rng: random.Random
) -> DemandBook:
    held = {name for control in controls for name in control.held}
    book = DemandBook()
    for index in range(models):
        name = f"m{index}"
        missed = name not in held and rng.random() < REQUESTED_SHARE
        for request_index in range(4):
            priority = rng.randrange(len(GOALS))
            adapter = (
                f"a{1 + request_index % ADAPTERS}" if request_index >= ADAPTERS else ""
            )
            wanted = DemandKey(SERVICE, name, adapter, priority, GOALS[priority])
            at = NOW - timedelta(seconds=3 - request_index)
            book.add_requests(
                "n1", DemandShare(wanted, 2, 2 if missed else 0, 150.0), at
            )
    return book


def measure_round(targets: int, models: int) -> tuple[int, float]:
    """Return the number of missing models and the milliseconds of a round."""
    rng = random.Random(targets)
    engine = _engine(models)
    controls = _controls(targets, models, rng)
    book = _demand(controls, models, rng)

    def plan() -> None:
        view = FleetView(SERVICE, engine, controls, book, NOW)
        plan_adapters(view)
        plan_models(view)

    view = FleetView(SERVICE, engine, controls, book, NOW)
    model_plan = plan_models(view)
    return len(model_plan.loads) + len(model_plan.deferred), time_call(plan) * 1_000


def main() -> None:
    """Write one row per size."""
    report = Report("orders", "One round of planning", "make bench-orders")
    for targets, models in SIZES:
        missed, milliseconds = measure_round(targets, models)
        report.add(targets=targets, models=models, missed=missed, round_ms=milliseconds)
    report.write()


if __name__ == "__main__":
    main()
