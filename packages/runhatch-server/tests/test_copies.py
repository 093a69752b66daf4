"""Test when and where copies of weights are created, and what they replace."""

from dataclasses import replace

import pytest
from gateway_cases import ENGINE, make_target, seconds

from runhatch_server.fleet import HeldModels, StoredCopies
from runhatch_server.residency import (
    DemandBook,
    DemandKey,
    DemandShare,
    FleetView,
    TargetControl,
    TargetReport,
)
from runhatch_server.residency._copies import (
    COPY_INTERVAL,
    MIN_IDLE_TIME,
    MIN_RECOPY_INTERVAL,
    SETTLING_TIME,
    TAKEOVER_SETTLING_TIME,
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


def make_control(name, models, on_disk=(), reported=True):
    target_control = TargetControl(make_target(name, models=models))
    if reported:
        held = HeldModels({model: frozenset() for model in models})
        copies = StoredCopies(on_disk=frozenset({*models, *on_disk}))
        report = TargetReport(0, held, False, frozenset(), copies, 0, 0)
        target_control.apply_report(report, seconds(0))
    return target_control


def planned_copies(*controls, last_request_ago=None, model="m0", settled=SETTLING_TIME):
    book = DemandBook()
    if last_request_ago is not None:
        share = DemandShare(DemandKey("engine", model, "", 1), 5, 0, 100.0)
        book.add_requests("n1", share, NOW - last_request_ago)
    planner = CopyPlanner(NOW - settled)
    return as_tuples(planner, FleetView("engine", PLAIN, controls, book, NOW))


def as_tuples(planner, view):
    return [
        (load.model, load.target, load.evictions) for load in planner.plan_copies(view)
    ]


def make_two_targets():
    """Return two targets with a copy of every model but the last."""
    return [
        make_control("t1", ["m0", "m1", "m2"], on_disk=["m3"]),
        make_control("t2", ["m3", "m4", "m5"], on_disk=["m6"]),
    ]


class TestCopies:
    """Copies are created only while a service receives no requests."""

    def test_model_without_copy_is_loaded(self):
        """A load while requests wait would take nine seconds instead of two."""
        assert planned_copies(*make_two_targets()) == [("m7", "t1", ("m0",))]

    def test_existing_copy_is_not_repeated(self):
        assert planned_copies(make_control("t1", ["m0"], on_disk=ALL)) == []

    @pytest.mark.parametrize(
        ("last_request_ago", "count"),
        [(seconds(0), 0), (MIN_IDLE_TIME / 2, 0), (seconds(30), 1)],
    )
    def test_none_is_created_while_requests_arrive(self, last_request_ago, count):
        assert (
            len(planned_copies(*make_two_targets(), last_request_ago=last_request_ago))
            == count
        )

    def test_none_is_created_until_all_targets_are_known(self):
        unknown = make_control("t3", ["m7"], reported=False)

        assert planned_copies(*make_two_targets(), settled=SETTLING_TIME / 2) == []
        assert planned_copies(*make_two_targets(), unknown) == []

    def test_none_is_created_soon_after_takeover(self):
        """An orderer that its peers cannot reach receives no demand."""
        planner = CopyPlanner(NOW)
        planner.record_takeover(NOW)

        def view(later):
            return FleetView(
                "engine", PLAIN, make_two_targets(), DemandBook(), NOW + later
            )

        assert as_tuples(planner, view(SETTLING_TIME)) == []
        assert len(as_tuples(planner, view(TAKEOVER_SETTLING_TIME))) == 1

    def test_models_with_several_holders_are_not_evicted(self):
        controls = [
            make_control("t1", ["m0", "m1", "m2"]),
            make_control("t2", ["m0", "m1", "m3"], on_disk=["m4", "m5", "m6"]),
        ]

        assert planned_copies(*controls)[0] == ("m7", "t1", ("m2",))

    def test_recently_requested_model_is_not_evicted(self):
        planned = planned_copies(
            *make_two_targets(), last_request_ago=MIN_IDLE_TIME, model="m0"
        )

        assert planned == [("m7", "t1", ("m2",))]

    def test_models_with_adapters_are_not_evicted(self):
        """They have more demand than others."""
        controls = [
            make_control("t1", ["m1", "m2", "m3"]),
            make_control("t2", ["m2", "m3", "m4"], on_disk=["m5", "m6", "m7"]),
        ]

        assert planned_copies(*controls) == [("m0", "t2", ("m4",))]

    def test_copies_that_replace_each_other_are_delayed(self):
        controls = make_two_targets()
        planner = CopyPlanner(NOW - SETTLING_TIME)

        def view(later=seconds(0)):
            return FleetView("engine", PLAIN, controls, DemandBook(), NOW + later)

        (load,) = planner.plan_copies(view())
        planner.record_copy("engine", load, NOW)
        assert as_tuples(planner, view(MIN_RECOPY_INTERVAL / 2)) == []
        assert len(as_tuples(planner, view(MIN_RECOPY_INTERVAL))) == 1

    def test_next_copies_wait_for_pause(self):
        """Requests that arrive meanwhile find targets busy for one load, not two."""
        controls = [
            make_control("t1", ["m0", "m1", "m2"]),
            make_control("t2", ["m3", "m4"]),
        ]
        planner = CopyPlanner(NOW - SETTLING_TIME)
        view = FleetView("engine", PLAIN, controls, DemandBook(), NOW)
        (load,) = planner.plan_copies(view)
        planner.record_copy("engine", load, NOW)

        soon = FleetView(
            "engine", PLAIN, controls, DemandBook(), NOW + COPY_INTERVAL / 2
        )
        later = FleetView("engine", PLAIN, controls, DemandBook(), NOW + COPY_INTERVAL)

        assert planner.plan_copies(soon) == []
        assert [each.model for each in planner.plan_copies(later)] == ["m6"]

    def test_prefers_target_whose_copies_exist_elsewhere(self):
        """A full disk drops its oldest copy, which must not be the only one."""
        controls = [
            make_control("t1", ["m0", "m1", "m2"], on_disk=["m6"]),
            make_control("t2", ["m3", "m4", "m5"], on_disk=["m0"]),
        ]

        assert planned_copies(*controls)[0][:2] == ("m7", "t2")

    @pytest.mark.parametrize(
        ("targets", "max_copies"), [(2, 1), (4, 2), (6, 2), (7, 1)]
    )
    def test_at_most_half_of_targets_create_one_each(self, targets, max_copies):
        """The other targets accept adapter orders when requests arrive meanwhile."""
        controls = [make_control(f"t{i}", [f"m{i}"]) for i in range(targets)]
        uncopied = len(ALL) - targets

        planned = planned_copies(*controls)

        assert len({target for _, target, _ in planned}) == len(planned)
        assert len(planned) == min(uncopied, max_copies)


class TestRestoringEvictedModels:
    """Models evicted for a copy, which most callers use, are loaded again."""

    def make_copied_targets(self, held, on_disk=("m0",)):
        """Return the planner and the targets after m7 was copied to t1."""
        planner = CopyPlanner(NOW - SETTLING_TIME)
        view = FleetView("engine", PLAIN, make_two_targets(), DemandBook(), NOW)
        (load,) = planner.plan_copies(view)
        planner.record_copy("engine", load, NOW)
        t2 = make_control("t2", ["m3", "m4", "m5"], on_disk=["m6"])
        return planner, [make_control("t1", held, on_disk=on_disk), t2]

    def make_view(self, controls, book=None):
        demand = DemandBook() if book is None else book
        return FleetView("engine", PLAIN, controls, demand, NOW + seconds(9))

    def test_is_loaded_again_once_copy_exists(self):
        planner, controls = self.make_copied_targets(["m7", "m1", "m2"])

        (load,) = planner.plan_copies(self.make_view(controls))

        assert (load.model, load.target, load.evictions) == ("m0", "t1", ("m7",))
        planner.record_copy("engine", load, NOW + seconds(9))
        assert as_tuples(planner, self.make_view(controls)) == []

    def test_is_not_loaded_before_copy_exists(self):
        planner, controls = self.make_copied_targets(["m1", "m2"])

        assert as_tuples(planner, self.make_view(controls)) == []

    def test_is_not_loaded_from_store(self):
        planner, controls = self.make_copied_targets(["m7", "m1", "m2"], on_disk=())

        assert as_tuples(planner, self.make_view(controls)) == []

    def test_is_not_loaded_once_requests_arrive(self):
        """From then on loads follow demand."""
        planner, controls = self.make_copied_targets(["m7", "m1", "m2"])
        book = DemandBook()
        share = DemandShare(DemandKey("engine", "m7", "", 1), 5, 0, 100.0)
        book.add_requests("n1", share, NOW + seconds(8))

        assert as_tuples(planner, self.make_view(controls, book)) == []
