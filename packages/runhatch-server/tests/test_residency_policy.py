"""Test which models and adapters are loaded on which targets, and evictions."""

import pytest
from gateway_cases import ENGINE, make_target, seconds

from runhatch_server.fleet import HeldModels, StoredCopies
from runhatch_server.residency import (
    ControlState,
    DemandBook,
    DemandKey,
    DemandShare,
    FleetView,
    TargetControl,
    TargetReport,
    plan_adapters,
    plan_models,
)

NOW = seconds(100)
GOALS = (seconds(0.8), seconds(0.8), seconds(8))
"""Goals of routes by rank; requests of the last rank can wait for a load."""


def make_control(name, models, on_disk=(), adapters=()):
    target_control = TargetControl(make_target(name, models=models))
    held = HeldModels({model: frozenset(adapters) for model in models})
    copies = StoredCopies(on_disk=frozenset({*models, *on_disk}))
    report = TargetReport(0, held, False, frozenset(), copies, 0, 0)
    target_control.apply_report(report, seconds(0))
    return target_control


def add_requests(book, model, priority, requests, missed, adapter=""):
    """Add requests at ``NOW``, each with a prompt of 100 ms."""
    wanted = DemandKey("engine", model, adapter, priority, GOALS[priority])
    book.add_requests(
        "n1", DemandShare(wanted, requests, missed, requests * 100.0), NOW
    )


def make_demand(*demands):
    """Return demand of the last ten seconds.

    Each tuple is a model, its priority, requests per second and requests missed now.
    """
    book = DemandBook()
    for model, priority, rate, missed, *rest in demands:
        adapter = rest[0] if rest else ""
        wanted = DemandKey("engine", model, adapter, priority, GOALS[priority])
        for second in range(10):
            at = NOW - seconds(9 - second)
            book.add_requests("n1", DemandShare(wanted, rate, 0, rate * 100.0), at)
        if missed:
            book.add_requests(
                "n1", DemandShare(wanted, missed, missed, missed * 100.0), NOW
            )
    return book


def make_view(controls, book, **limits):
    return FleetView("engine", ENGINE, controls, book, NOW, limits)


def planned_loads(controls, book, **limits):
    planned = plan_models(make_view(controls, book, **limits)).loads
    return [(load.model, load.target, load.evictions) for load in planned]


class TestMissingModels:
    """Models that requests wait for."""

    def test_without_requests_nothing_is_loaded(self):
        assert planned_loads([make_control("t1", ["m0"])], make_demand()) == []

    def test_loads_where_memory_is_free(self):
        controls = [make_control("t1", ["m0", "m1", "m2"]), make_control("t2", ["m3"])]

        assert planned_loads(controls, make_demand(("m5", 1, 0, 3))) == [
            ("m5", "t2", ())
        ]

    def test_loads_where_a_copy_exists(self):
        controls = [
            make_control("t1", ["m0"]),
            make_control("t2", ["m3"], on_disk=["m5"]),
        ]

        assert planned_loads(controls, make_demand(("m5", 1, 0, 1)))[0][1] == "t2"

    def test_loads_where_no_adapter_requests_are_delayed(self):
        controls = [
            make_control("t1", ["m0"], on_disk=["m5"]),
            make_control("t2", ["m1"], on_disk=["m5"]),
        ]
        first_demand = make_demand(("m0", 0, 3, 0, "a1"), ("m5", 1, 0, 2))
        second_demand = make_demand(("m1", 0, 3, 0, "a1"), ("m5", 1, 0, 2))

        assert planned_loads(controls, first_demand)[0][1] == "t2"
        assert planned_loads(controls, second_demand)[0][1] == "t1"

    def test_other_free_holder_reduces_delayed_adapter_requests(self):
        first, second = make_control("t1", ["m0"]), make_control("t2", ["m0"])
        book = make_demand(("m0", 0, 3, 0, "a1"))
        blocked_alone = make_view([first], book).delayed_adapter_rate(first)

        assert (
            make_view([first, second], book).delayed_adapter_rate(first) < blocked_alone
        )
        second.state = ControlState.LOADING
        assert (
            make_view([first, second], book).delayed_adapter_rate(first)
            == blocked_alone
        )

    def test_evicts_model_with_least_demand(self):
        controls = [make_control("t1", ["m0", "m1", "m2"], on_disk=["m5"])]
        book = make_demand(("m0", 1, 2, 0), ("m2", 1, 2, 0))
        add_requests(book, "m1", 2, 1, 0)
        add_requests(book, "m5", 1, 3, 3)

        assert planned_loads(controls, book) == [("m5", "t1", ("m1",))]

    def test_busy_models_are_not_evicted_for_one_request(self):
        controls = [make_control("t1", ["m0", "m1", "m2"], on_disk=["m5"])]
        book = make_demand(*((f"m{i}", 1, 2, 0) for i in range(3)), ("m5", 2, 0, 1))

        assert planned_loads(controls, book) == []

    def test_repeatedly_missed_model_is_loaded(self):
        controls = [make_control("t1", ["m0", "m1", "m2"])]
        book = make_demand()
        for i in range(3):
            add_requests(book, f"m{i}", 2, 1, 0)
        for _ in range(4):
            add_requests(book, "m5", 2, 1, 1)

        assert [load[0] for load in planned_loads(controls, book)] == ["m5"]

    def test_evicts_one_of_several_replicas_before_a_last_one(self):
        controls = [
            make_control("t1", ["m0", "m1", "m2"], on_disk=["m5"]),
            make_control("t2", ["m0", "m3", "m4"]),
        ]
        book = make_demand(("m0", 1, 0.2, 0), ("m5", 1, 0, 2))

        assert planned_loads(controls, book) == [("m5", "t1", ("m0",))]

    def test_load_in_progress_is_not_repeated(self):
        first, second = make_control("t1", ["m0"]), make_control("t2", ["m1"])
        first.loading_model = "m5"
        first.load_ready_at = NOW + seconds(1)

        assert planned_loads([first, second], make_demand(("m5", 1, 0, 1))) == []

    def test_models_just_requested_by_urgent_routes_are_kept(self):
        controls = [make_control("t1", ["m0", "m1", "m2"], on_disk=["m5"])]
        book = make_demand()
        for model, priority in (("m0", 1), ("m1", 0), ("m2", 1)):
            add_requests(book, model, priority, 1, 0)
        add_requests(book, "m5", 2, 1, 1)

        assert planned_loads(controls, book) == []


class TestPatientRequests:
    """Evictions depend on whether requests can wait for a load, not on their rank."""

    def book(self, *asked_for):
        """Return demand of the last ten seconds, from model, goal and rank of each."""
        book = DemandBook()
        for model, goal, priority in asked_for:
            wanted = DemandKey("engine", model, "", priority, seconds(goal))
            for second in range(10):
                share = DemandShare(wanted, 1, 0, 20.0)
                book.add_requests("n1", share, NOW - seconds(9 - second))
        return book

    @pytest.mark.parametrize("priority", [0, 1, 2])
    def test_model_of_patient_requests_is_evicted_first(self, priority):
        """A load of two seconds is in time for patient requests only."""
        controls = [make_control("t1", ["m0", "m1", "m2"], on_disk=["m5"])]
        book = self.book(
            ("m0", 0.4, priority), ("m1", 5, priority), ("m2", 0.4, priority)
        )
        for _ in range(4):
            add_requests(book, "m5", 0, 2, 2)

        assert planned_loads(controls, book) == [("m5", "t1", ("m1",))]

    def test_unrequested_model_is_kept_over_patient_ones(self):
        """Demand moves without warning, and hurried requests cannot wait for a load."""
        controls = [make_control("t1", ["m0", "m1", "m2"], on_disk=["m5"])]
        book = self.book(("m2", 0.4, 0))
        rare = DemandKey("engine", "m1", "", 1, seconds(5))
        book.add_requests("n1", DemandShare(rare, 1, 0, 20.0), NOW - seconds(3))
        for _ in range(4):
            add_requests(book, "m5", 0, 2, 2)

        assert planned_loads(controls, book) == [("m5", "t1", ("m1",))]

    def test_patient_miss_counts_for_longer(self):
        """The caller still waits when a load from the store ends."""
        wanted = DemandKey("engine", "m5", "", 1, seconds(5))
        hurried = DemandKey("engine", "m4", "", 0, seconds(0.4))
        book = DemandBook()
        for each in (wanted, hurried):
            book.add_requests("n1", DemandShare(each, 1, 1, 20.0), NOW)
        later = NOW + seconds(2)

        assert book.model_demand("engine", "m5", later).waiting_requests(later) > 0
        assert book.model_demand("engine", "m4", later).waiting_requests(later) == 0


class TestDemandReportedAfterTakeover:
    """Demand from before a takeover, which nodes report to the new orderer."""

    @pytest.mark.parametrize("rate", [2, 4, 16])
    def test_estimates_rate_before_takeover(self, rate):
        """An estimate of zero would evict models in use, a burst would add replicas."""
        wanted = DemandKey("engine", "m0", "", 0, seconds(0.4))
        book = DemandBook()
        share = DemandShare(wanted, rate * 3, 0, rate * 60.0)
        book.add_requests("n1", share, NOW - seconds(3))

        assert 0.5 * rate < book.model_demand("engine", "m0", NOW).rate < 1.5 * rate


class TestReplicas:
    """Replicas of models whose targets are overloaded."""

    def book(self, rate):
        return make_demand(("m0", 1, rate, 0))

    @pytest.mark.parametrize(("rate", "replicas"), [(2, 0), (8, 1)])
    def test_are_added_when_demand_requires_them(self, rate, replicas):
        controls = [
            make_control("t1", ["m0"]),
            make_control("t2", ["m1"], on_disk=["m0"]),
        ]

        planned = planned_loads(controls, self.book(rate))

        assert [load[0] for load in planned] == ["m0"] * replicas

    def test_do_not_evict_last_replica_in_demand(self):
        controls = [
            make_control("t1", ["m0"]),
            make_control("t2", ["m1", "m2", "m3"], on_disk=["m0"]),
        ]
        book = self.book(8)
        for model in ("m1", "m2", "m3"):
            add_requests(book, model, 2, 1, 0)

        assert planned_loads(controls, book) == []

    def test_are_not_loaded_from_store_with_evictions(self):
        controls = [make_control("t1", ["m0"]), make_control("t2", ["m1", "m2", "m3"])]

        assert planned_loads(controls, self.book(6)) == []


class TestQuickCopies:
    """Targets with the only copy of a missed model, from which it loads quickly.

    When 17 of 70 targets returned without models but with six copies each, one loaded a
    replica from the weight store for 9 s. Meanwhile 12 requests per second missed a
    model that it would have loaded in 2.3 s, which was loaded from the store elsewhere.
    """

    def test_replica_does_not_occupy_target_with_quick_copy(self):
        returned = make_control("t1", [], on_disk=["m5"])
        busy, other = make_control("t2", ["m0"]), make_control("t3", ["m1", "m2", "m3"])
        book = make_demand(("m0", 0, 40, 0), ("m1", 0, 1, 0), ("m2", 0, 1, 0))
        add_requests(book, "m3", 0, 5, 0)
        for _ in range(3):
            add_requests(book, "m5", 0, 4, 4)

        planned = planned_loads([returned, busy, other], book)

        assert ("m5", "t1", ()) in planned

    def test_model_with_copy_is_placed_before_others(self):
        returned, other = (
            make_control("t1", [], on_disk=["m5"]),
            make_control("t2", ["m0"]),
        )
        book = make_demand(("m0", 1, 1, 0), ("m5", 1, 2, 2), ("m6", 1, 3, 4))

        planned = planned_loads([returned, other], book)

        assert ("m5", "t1", ()) in planned
        assert ("m6", "t2", ()) in planned


class TestAdapters:
    """Adapters of models that targets hold."""

    def test_requested_adapter_is_loaded_on_holder(self):
        controls = [make_control("t1", ["m0"]), make_control("t2", ["m1"])]
        planned = plan_adapters(
            make_view(controls, make_demand(("m0", 0, 0, 1, "a1")))
        ).loads

        assert [(load.target, load.adapter) for load in planned] == [("t1", "a1")]

    def test_evicts_adapter_with_least_demand(self):
        full = make_control("t1", ["m0"], adapters=["a1", "a2", "a3", "a4"])
        book = make_demand(*(("m0", 0, 1, 0, f"a{i}") for i in (1, 2, 4)))
        add_requests(book, "m0", 0, 1, 1, adapter="a9")

        planned = plan_adapters(make_view([full], book)).loads

        assert [load.eviction for load in planned] == [("m0", "a3")]

    def test_none_is_loaded_while_target_loads_a_model(self):
        busy = make_control("t1", ["m0"])
        busy.state = ControlState.LOADING

        assert (
            plan_adapters(make_view([busy], make_demand(("m0", 0, 0, 1, "a1")))).loads
            == []
        )

    def test_none_is_loaded_without_its_model_held(self):
        controls = [make_control("t2", ["m1"])]

        assert (
            plan_adapters(make_view(controls, make_demand(("m0", 0, 0, 1, "a1")))).loads
            == []
        )


class TestRateLimits:
    """Models whose holders have a rate limit."""

    def test_model_whose_only_holder_is_limited_is_loaded_elsewhere(self):
        controls = [
            make_control("t1", ["m0"]),
            make_control("t2", ["m1"], on_disk=["m0"]),
        ]
        book = make_demand(("m0", 0, 3, 0))

        assert planned_loads(controls, book) == []
        assert planned_loads(controls, book, t1=1.0) == [("m0", "t2", ())]

    @pytest.mark.parametrize(
        ("limit", "load"), [(None, 0.3), (100.0, 0.3), (1.0, 3.0), (0.0, 15.0)]
    )
    def test_load_of_target_reflects_rate_limit(self, limit, load):
        holder = make_control("t1", ["m0"])
        limits = {} if limit is None else {"t1": limit}

        limited_view = make_view([holder], make_demand(("m0", 1, 3, 0)), **limits)

        assert limited_view.load_of(holder) == pytest.approx(load, rel=0.2)

    def test_no_load_if_another_holder_is_unlimited(self):
        controls = [make_control("t1", ["m0"]), make_control("t2", ["m0"])]

        assert planned_loads(controls, make_demand(("m0", 0, 3, 0)), t1=1.0) == []
