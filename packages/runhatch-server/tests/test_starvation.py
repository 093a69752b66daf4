"""Rarely requested models must be served eventually.

Loading a model from the weight store occupies its target for nine seconds and evicts
other models. If that cost is compared only with the one or two requests that missed the
model recently, a model requested every ten seconds is never loaded.
"""

from dataclasses import dataclass, field
from datetime import timedelta

import pytest
from gateway_cases import ENGINE, make_target, seconds

from runhatch_server.fleet import HeldModels, StoredCopies
from runhatch_server.residency import (
    OVERDUE,
    ControlState,
    DeferralReason,
    DemandBook,
    DemandKey,
    DemandShare,
    FleetView,
    TargetControl,
    TargetReport,
    plan_models,
)

STEP = seconds(0.25)
LENGTH = seconds(60)
RETRY_DELAY = seconds(4)
"""Delay after which callers retry a failed request once."""
PATIENT_ROUTE = 2, seconds(8)
URGENT_ROUTE = 0, seconds(0.8)


@dataclass
class Simulation:
    """Requests to targets whose model loads are planned at each step."""

    controls: list[TargetControl]
    book: DemandBook = field(default_factory=DemandBook)
    now: timedelta = timedelta()
    requested: dict[str, int] = field(default_factory=dict)
    answered: dict[str, int] = field(default_factory=dict)
    max_overdue: int = 0

    def simulate(self, arrivals):
        """Simulate ``arrivals``: tuples of time, request and whether it is retried."""
        pending = sorted(arrivals)
        while self.now < LENGTH:
            while pending and pending[0][0] <= self.now:
                at, wanted, may_retry = pending.pop(0)
                if not self._request(wanted) and may_retry:
                    pending.append((at + RETRY_DELAY, wanted, False))
                    pending.sort()
            self._finish_loads()
            self._begin_loads()
            self.now += STEP

    def unanswered_models(self):
        """Return the models requested at least four times but never answered."""
        return [
            m for m, n in self.requested.items() if n >= 4 and not self.answered.get(m)
        ]

    def _request(self, wanted):
        model = wanted.model
        held = any(control.holds(model) for control in self.controls)
        self.book.add_requests(
            "n1", DemandShare(wanted, 1, 0 if held else 1, 100.0), self.now
        )
        if held:
            self.book.record_held("engine", model, ())
        self.requested[model] = self.requested.get(model, 0) + 1
        self.answered[model] = self.answered.get(model, 0) + held
        return held

    def _finish_loads(self):
        for control in self.controls:
            if (
                control.state is ControlState.LOADING
                and self.now >= control.load_ready_at
            ):
                held = {**control.held, control.loading_model: set()}
                on_disk = control.copies_on_disk | {control.loading_model}
                report_models(control, held, on_disk, self.now)
                self.book.record_held("engine", control.loading_model, ())

    def _begin_loads(self):
        view = FleetView("engine", ENGINE, self.controls, self.book, self.now)
        by_name = {c.target.incarnation: c for c in self.controls}
        for load in plan_models(view).loads:
            control = by_name[load.target]
            for model in load.evictions:
                del control.held[model]
            duration = control.load_time(ENGINE.by_name[load.model])
            control.loading_model, control.state = load.model, ControlState.LOADING
            control.loading_reason = load.reason
            control.load_ready_at = self.now + duration
        overdue = sum(
            control.is_loading_from_store and control.pending_load_reason == OVERDUE
            for control in self.controls
        )
        self.max_overdue = max(self.max_overdue, overdue)


def report_models(control, models, on_disk, now):
    """Report to ``control`` that its target holds ``models``."""
    held = HeldModels({model: frozenset(names) for model, names in models.items()})
    copies = StoredCopies(on_disk=frozenset(on_disk))
    control.apply_report(TargetReport(0, held, False, frozenset(), copies, 0, 0), now)


def make_control(name, *models):
    control = TargetControl(make_target(name, models=models))
    report_models(control, {model: () for model in models}, models, seconds(0))
    return control


def periodic_requests(model, every, route=PATIENT_ROUTE, adapter="", start=0.0):
    """Return requests for ``model``, one every ``every`` seconds."""
    priority, goal = route
    wanted = DemandKey("engine", model, adapter, priority, goal)
    count = int((LENGTH.total_seconds() - start) / every)
    return [(seconds(start + i * every), wanted, True) for i in range(count)]


def rare_requests(models, every=10.0):
    """Return requests for each of ``models``, one per model every ``every`` seconds."""
    return [
        request
        for i, model in enumerate(models)
        for request in periodic_requests(
            model, every, start=1.0 + i * every / len(models)
        )
    ]


ALL_MODELS = [model.name for model in ENGINE.models]
BUSY_REQUESTS = [
    *periodic_requests("m0", 0.2, URGENT_ROUTE),
    *periodic_requests("m0", 0.7, URGENT_ROUTE, "a1"),
    *periodic_requests("m3", 0.2, URGENT_ROUTE),
    *periodic_requests("m3", 0.7, URGENT_ROUTE, "a1"),
]


class TestRareModels:
    """All of eight models are requested; two are in the weight store only."""

    @pytest.mark.parametrize(
        "arrivals",
        [
            pytest.param(rare_requests(ALL_MODELS), id="all-rare"),
            pytest.param(
                [*rare_requests(ALL_MODELS), *BUSY_REQUESTS], id="beside-busy-ones"
            ),
        ],
    )
    def test_each_model_is_served_eventually(self, arrivals):
        simulation = Simulation(
            [make_control("t1", "m0", "m1", "m2"), make_control("t2", "m3", "m4", "m5")]
        )

        simulation.simulate(arrivals)

        assert simulation.unanswered_models() == []

    def test_overdue_models_load_from_the_store_on_one_target_at_a_time(self):
        """A target cannot load adapters during a load from the weight store."""
        simulation = Simulation(
            [make_control("t1", "m0", "m1", "m2"), make_control("t2", "m3", "m4", "m5")]
        )

        simulation.simulate([*rare_requests(ALL_MODELS), *BUSY_REQUESTS])

        assert simulation.max_overdue == 1


class TestPlannerChange:
    """The time for which a model was missed survives a change of the planning node."""

    @pytest.mark.parametrize(
        ("missed_for", "planned"),
        [(0.0, []), (40.0, ["m6"])],
    )
    def test_new_planner_uses_miss_times_reported_by_nodes(self, missed_for, planned):
        control = make_control("t1", "m0", "m1", "m2")
        simulation = Simulation([control], now=seconds(20))
        wanted = DemandKey("engine", "m6", "", *PATIENT_ROUTE)
        reported_share = DemandShare(wanted, 0, 0, 0.0, seconds(missed_for))
        simulation.book.record_missed_for(reported_share, simulation.now)
        simulation.book.add_requests(
            "n1", DemandShare(wanted, 1, 1, 100.0), simulation.now
        )

        view = FleetView("engine", ENGINE, [control], simulation.book, simulation.now)

        assert [load.model for load in plan_models(view).loads] == planned


class TestDeferral:
    """A plan states why it starts no load of a missed model."""

    @pytest.mark.parametrize(
        ("missed_for", "is_limit_reached", "reason"),
        [
            (0.0, False, DeferralReason.NOT_WORTH_IT),
            (0.0, True, DeferralReason.NOT_WORTH_IT),
            (40.0, True, DeferralReason.OVERDUE_LIMIT),
        ],
    )
    def test_limit_is_told_from_a_small_gain(
        self, missed_for, is_limit_reached, reason
    ):
        controls = [make_control("t1", "m0", "m1", "m2")]
        if is_limit_reached:
            loading = make_control("t2", "m3", "m4")
            loading.loading_model, loading.state = "m5", ControlState.LOADING
            loading.loading_reason = OVERDUE
            loading.load_ready_at = seconds(29)
            controls.append(loading)
        book, now = DemandBook(), seconds(20)
        wanted = DemandKey("engine", "m6", "", *PATIENT_ROUTE)
        book.record_missed_for(DemandShare(wanted, 0, 0, 0.0, seconds(missed_for)), now)
        book.add_requests("n1", DemandShare(wanted, 1, 1, 100.0), now)

        plan = plan_models(FleetView("engine", ENGINE, controls, book, now))

        assert [(each.model, each.reason) for each in plan.deferred] == [("m6", reason)]
        assert plan.deferred[0].missed_for == seconds(missed_for)
