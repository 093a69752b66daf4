"""Copies of weights made while nobody asks: when, where, and in place of what."""

from dataclasses import replace

import pytest
from gateway_cases import ENGINE, make_target, seconds

from runhatch_server.fleet import HeldModels, StoredCopies
from runhatch_server.residency import (
    DemandBook,
    DemandShare,
    FleetView,
    TargetControl,
    TargetReport,
    Wanted,
)
from runhatch_server.residency._copies import (
    AGAIN_AFTER,
    PAUSE,
    QUIET,
    SETTLED,
    TAKEN_OVER,
    CopyPlanner,
)

NOW = seconds(100)
ALL = [model.name for model in ENGINE.models]
WITH_ADAPTERS = ("m1",)
PLAIN = replace(
    ENGINE,
    models=tuple(
        model if model.name in WITH_ADAPTERS else replace(model, adapters=0)
        for model in ENGINE.models
    ),
)


def control(name, models, on_disk=(), reported=True):
    made = TargetControl(make_target(name, models=models))
    if reported:
        held = HeldModels({model: frozenset() for model in models})
        copies = StoredCopies(on_disk=frozenset({*models, *on_disk}))
        report = TargetReport(0, held, False, frozenset(), copies, 0, 0)
        made.reported(report, seconds(0))
    return made


def plan(*controls, asked_ago=None, model="m0", settled=SETTLED):
    book = DemandBook()
    if asked_ago is not None:
        share = DemandShare(Wanted("engine", model, "", 1), 5, 0, 100.0)
        book.add("n1", share, NOW - asked_ago)
    planner = CopyPlanner(NOW - settled)
    return loads(planner, FleetView("engine", PLAIN, controls, book, NOW))


def loads(planner, view):
    return [(load.model, load.target, load.evict) for load in planner.plan(view)]


def two_targets():
    """All but the last model have a copy somewhere."""
    return [
        control("t1", ["m0", "m1", "m2"], on_disk=["m3"]),
        control("t2", ["m3", "m4", "m5"], on_disk=["m6"]),
    ]


class TestCopies:
    """The load that this answers is none, before callers come."""

    def test_a_model_without_one_is_loaded(self):
        """Loaded while requests wait it would take nine seconds, not two."""
        assert plan(*two_targets()) == [("m7", "t1", ("m0",))]

    def test_none_is_made_twice(self):
        assert plan(control("t1", ["m0"], on_disk=ALL)) == []

    @pytest.mark.parametrize(
        ("asked_ago", "count"),
        [(seconds(0), 0), (QUIET / 2, 0), (seconds(30), 1)],
    )
    def test_none_is_made_while_callers_ask(self, asked_ago, count):
        assert len(plan(*two_targets(), asked_ago=asked_ago)) == count

    def test_none_is_made_until_all_targets_are_known(self):
        unknown = control("t3", ["m7"], reported=False)

        assert plan(*two_targets(), settled=SETTLED / 2) == []
        assert plan(*two_targets(), unknown) == []

    def test_none_is_made_soon_after_another_node_ordered(self):
        """One that peers do not reach hears of no callers."""
        planner = CopyPlanner(NOW)
        planner.taken_over(NOW)

        def view(later):
            return FleetView("engine", PLAIN, two_targets(), DemandBook(), NOW + later)

        assert loads(planner, view(SETTLED)) == []
        assert len(loads(planner, view(TAKEN_OVER))) == 1

    def test_models_with_more_than_one_holder_stay(self):
        controls = [
            control("t1", ["m0", "m1", "m2"]),
            control("t2", ["m0", "m1", "m3"], on_disk=["m4", "m5", "m6"]),
        ]

        assert plan(*controls)[0] == ("m7", "t1", ("m2",))

    def test_what_was_asked_for_lately_stays(self):
        planned = plan(*two_targets(), asked_ago=QUIET, model="m0")

        assert planned == [("m7", "t1", ("m2",))]

    def test_models_with_adapters_stay(self):
        """More callers use them than others."""
        controls = [
            control("t1", ["m1", "m2", "m3"]),
            control("t2", ["m2", "m3", "m4"], on_disk=["m5", "m6", "m7"]),
        ]

        assert plan(*controls) == [("m0", "t2", ("m4",))]

    def test_copies_that_drop_each_other_are_not_made_for_ever(self):
        controls = two_targets()
        planner = CopyPlanner(NOW - SETTLED)

        def view(later=seconds(0)):
            return FleetView("engine", PLAIN, controls, DemandBook(), NOW + later)

        (load,) = planner.plan(view())
        planner.made("engine", load, NOW)
        assert loads(planner, view(AGAIN_AFTER / 2)) == []
        assert len(loads(planner, view(AGAIN_AFTER))) == 1

    def test_the_next_ones_wait_for_a_while(self):
        """Callers that come meanwhile find the targets of one load busy, not two."""
        controls = [control("t1", ["m0", "m1", "m2"]), control("t2", ["m3", "m4"])]
        planner = CopyPlanner(NOW - SETTLED)
        view = FleetView("engine", PLAIN, controls, DemandBook(), NOW)
        (load,) = planner.plan(view)
        planner.made("engine", load, NOW)

        soon = FleetView("engine", PLAIN, controls, DemandBook(), NOW + PAUSE / 2)
        later = FleetView("engine", PLAIN, controls, DemandBook(), NOW + PAUSE)

        assert planner.plan(soon) == []
        assert [each.model for each in planner.plan(later)] == ["m6"]

    def test_it_goes_where_other_copies_are_not_the_last(self):
        """A target's disk is full: its oldest copy makes room."""
        controls = [
            control("t1", ["m0", "m1", "m2"], on_disk=["m6"]),
            control("t2", ["m3", "m4", "m5"], on_disk=["m0"]),
        ]

        assert plan(*controls)[0][:2] == ("m7", "t2")

    @pytest.mark.parametrize(("targets", "most"), [(2, 1), (4, 2), (6, 2), (7, 1)])
    def test_half_of_the_targets_make_one_each_at_the_most(self, targets, most):
        """The others take orders for adapters when callers come meanwhile."""
        controls = [control(f"t{i}", [f"m{i}"]) for i in range(targets)]
        left = len(ALL) - targets

        planned = plan(*controls)

        assert len({target for _, target, _ in planned}) == len(planned)
        assert len(planned) == min(left, most)


class TestPuttingBack:
    """What gave way to a copy is what most callers ask for: it comes back."""

    def after_a_copy(self, held, on_disk=("m0",)):
        """Return the planner, and the targets, once the copy of m7 is made on t1."""
        planner = CopyPlanner(NOW - SETTLED)
        view = FleetView("engine", PLAIN, two_targets(), DemandBook(), NOW)
        (load,) = planner.plan(view)
        planner.made("engine", load, NOW)
        t2 = control("t2", ["m3", "m4", "m5"], on_disk=["m6"])
        return planner, [control("t1", held, on_disk=on_disk), t2]

    def view(self, controls, book=None):
        demand = DemandBook() if book is None else book
        return FleetView("engine", PLAIN, controls, demand, NOW + seconds(9))

    def test_it_comes_back_once_the_copy_is_there(self):
        planner, controls = self.after_a_copy(["m7", "m1", "m2"])

        (load,) = planner.plan(self.view(controls))

        assert (load.model, load.target, load.evict) == ("m0", "t1", ("m7",))
        planner.made("engine", load, NOW + seconds(9))
        assert loads(planner, self.view(controls)) == []

    def test_not_before(self):
        planner, controls = self.after_a_copy(["m1", "m2"])

        assert loads(planner, self.view(controls)) == []

    def test_not_from_the_store(self):
        planner, controls = self.after_a_copy(["m7", "m1", "m2"], on_disk=())

        assert loads(planner, self.view(controls)) == []

    def test_not_once_callers_ask(self):
        """From then on what is loaded follows what they ask for."""
        planner, controls = self.after_a_copy(["m7", "m1", "m2"])
        book = DemandBook()
        share = DemandShare(Wanted("engine", "m7", "", 1), 5, 0, 100.0)
        book.add("n1", share, NOW + seconds(8))

        assert loads(planner, self.view(controls, book)) == []
