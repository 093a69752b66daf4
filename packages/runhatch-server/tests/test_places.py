"""Test that the best place equals that of weighing all targets, but weighs few."""

import random

import pytest
from gateway_cases import make_target, seconds

from runhatch_server.fleet import HeldModels, StoredCopies
from runhatch_server.residency import (
    ControlState,
    DemandBook,
    DemandKey,
    DemandShare,
    FleetView,
    TargetControl,
    TargetReport,
)
from runhatch_server.residency._needs import find_needs
from runhatch_server.residency._places import PlacementDraft, PlacementOption
from runhatch_server.routing import EngineModel, EngineSpec, LoadTimes

NOW = seconds(100)
GOALS = (seconds(0.8), seconds(0.8), seconds(8))
FLEETS = 60


class Fleet:
    """A random fleet: some targets busy, some with copies, demand that has moved."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.engine = EngineSpec(
            models=tuple(self._model(index) for index in range(24)),
            slots=8,
            memory_mb=220.0,
            adapter_slots=4,
            kv_tokens=100_000,
            loads_per_second=1.0,
        )
        self.controls = [self._control(index) for index in range(10)]
        self.view = FleetView("engine", self.engine, self.controls, self._demand(), NOW)

    def _model(self, index):
        loads = LoadTimes(*(seconds(self.rng.uniform(*s)) for s in LOAD_SECONDS))
        memory_mb = self.rng.uniform(40.0, 90.0)
        return EngineModel(f"m{index}", memory_mb, loads, 2, 1.0)

    def _control(self, index):
        names = [model.name for model in self.engine.models]
        copies = self.rng.sample(names, 5)
        held = HeldModels({name: frozenset() for name in copies[:2]})
        control = TargetControl(make_target(f"t{index}", models=copies[:2]))
        stored = StoredCopies(on_disk=frozenset(copies))
        report = TargetReport(0, held, False, frozenset(), stored, 0, 0)
        control.apply_report(report, seconds(0))
        if self.rng.random() < 0.3:
            control.state = ControlState.LOADING
            control.loading_model = self.rng.choice(names)
            control.load_ready_at = NOW + seconds(self.rng.uniform(0, 9))
        return control

    def _demand(self):
        book = DemandBook()
        for model in self.engine.models:
            priority = self.rng.randrange(3)
            adapter = self.rng.choice(("", "", "a1"))
            wanted = DemandKey("engine", model.name, adapter, priority, GOALS[priority])
            missed = self.rng.choice((0, 0, 1, 4))
            missed_for = seconds(self.rng.choice((0, 0, 40)))
            for age in range(self.rng.randrange(6)):
                share = DemandShare(wanted, 2, 0, 200.0, missed_for)
                book.add_requests("n1", share, NOW - seconds(5 - age))
            share = DemandShare(wanted, missed, missed, missed * 100.0, missed_for)
            book.add_requests("n1", share, NOW)
            book.record_missed_for(share, NOW)
        return book


LOAD_SECONDS = ((6, 9), (1, 3), (0.5, 1))
"""Bounds of load times in seconds: from the weight store, a disk, memory."""


def best_of_all_places(draft, need):
    """Return the best place, found by weighing every target."""
    places = [
        place
        for candidate in draft.unused_candidates
        if (place := draft.evaluate_option(candidate, need)) is not None
    ]
    return min(
        places,
        key=lambda place: (not place.is_worthwhile, -place.value, place.target),
        default=None,
    )


@pytest.mark.parametrize("seed", range(FLEETS))
def test_best_place_equals_that_of_weighing_all(seed):
    fleet = Fleet(seed)
    needs = find_needs(fleet.view)
    draft = PlacementDraft(fleet.view, needs)
    placed = 0
    for need in needs:
        best = draft.find_best_option(need)
        assert best == best_of_all_places(draft, need)
        if best is not None:
            placed += 1
            draft.reserve(best)
    assert placed


def test_most_targets_are_not_weighed():
    fleet = Fleet(1)
    weighed = []
    needs = find_needs(fleet.view)
    draft = PlacementDraft(fleet.view, needs)
    place = draft.evaluate_option

    def count_and_place(candidate, need) -> PlacementOption | None:
        weighed.append(candidate)
        return place(candidate, need)

    draft.evaluate_option = count_and_place
    for need in needs:
        draft.find_best_option(need)

    assert len(weighed) < len(needs) * len(fleet.controls) / 2
