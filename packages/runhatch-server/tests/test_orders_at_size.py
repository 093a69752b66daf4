"""The node that orders many targets keeps its lease and hears of demand meanwhile.

With 70 targets and 305 models the right to order them passed to and fro each three
or four seconds, on a day on which no node failed; after each change no target was
ordered for up to three seconds, and models that were asked for all day were never
loaded.  The holder reached the store in 30 ms all the time.  It resigned since the
look at its lease came too late: "lease", "change": "resigned", "epoch": 1,
"left_ms": 678, "late_ms": 1291, where 300 ms lie between two looks; and then
"epoch": 2, "left_ms": 0, "late_ms": 1980.  The look waited for the lock that a round
of orders holds, and that each message of demand took as well, some hundred a second.
"""

import random
import threading

import pytest
from gateway_cases import make_target, seconds
from orderer_cases import Case

from runhatch_coordination.testing import MemoryTable
from runhatch_server.fleet import HeldModels, StoredCopies
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
from runhatch_server.residency._orderer import MOST_REST, REST_FACTOR
from runhatch_server.routing import EngineModel, EngineSpec, LoadTimes

TARGETS, MODELS, ADAPTERS = 70, 305, 2
HELD_EACH, COPIES_EACH = 3, 6
NOW = seconds(100)
ENGINE = EngineSpec(
    models=tuple(
        EngineModel(
            f"m{index}",
            70.0,
            LoadTimes(seconds(9), seconds(2), seconds(0.8)),
            adapters=ADAPTERS,
            adapter_mb=1.0,
        )
        for index in range(MODELS)
    ),
    slots=64,
    memory_mb=228.0,
    adapter_slots=8,
    kv_tokens=130_000,
    loads_per_second=20.0,
)
WAIT = 2.0
"""Seconds after which a call that waits for a round is given up."""


class LongRound:
    """A holder of the lease whose round does not end before it is told to."""

    def __init__(self, clock):
        self.case = Case(clock, MemoryTable(), models=("m0",))
        self.case.orderer.keep_lease(eager=True)
        self.case.round()
        self._entered, self._may_end = threading.Event(), threading.Event()
        self.case.on_tell = self._hold
        for _ in range(4):
            # What targets hold is told again after some seconds.
            clock.advance(seconds(1))
            self.case.orderer.keep_lease(eager=True)
        self._thread = threading.Thread(target=self.case.orderer.step)

    def __enter__(self):
        self._thread.start()
        assert self._entered.wait(WAIT)
        return self.case

    def __exit__(self, *failure):
        self._may_end.set()
        self._thread.join(WAIT)

    def _hold(self):
        self._entered.set()
        self._may_end.wait(WAIT * 3)


def ends_at_once(work):
    """Tell whether ``work`` ends while a round goes on."""
    thread = threading.Thread(target=work, daemon=True)
    thread.start()
    thread.join(WAIT)
    return not thread.is_alive()


class TestLongRounds:
    """What else the holder has to do while one of its rounds takes long."""

    def test_the_lease_is_renewed(self, clock):
        with LongRound(clock) as case:
            clock.advance(seconds(1))

            assert ends_at_once(lambda: case.orderer.keep_lease(eager=True))
            assert ends_at_once(case.orderer.resign_if_cut_off)
            assert case.orderer.holds_lease() is not None

    def test_demand_is_taken_in(self, clock):
        with LongRound(clock) as case:
            assert ends_at_once(lambda: case.ask_for("m1"))

        case.round()
        case.round()

        assert [order.model for order in case.targets.orders] == ["m1"]

    def test_the_last_word_of_another_holder_is_taken_in(self, clock):
        other = Case(clock, MemoryTable(), "n9")
        other.orderer.keep_lease(eager=True)
        resignation = other.orderer.stop()

        with LongRound(clock) as case:
            take_in = case.orderer.take_in_resignation
            assert ends_at_once(lambda: take_in(resignation))


class TestRest:
    """The pause that leaves the processor to the holder's callers and its lease."""

    @pytest.mark.parametrize(
        ("took", "rest"),
        [(0.0, 0.0), (0.02, 0.02 * REST_FACTOR), (3.0, MOST_REST.total_seconds())],
    )
    def test_it_goes_by_how_long_the_round_took(self, clock, took, rest):
        case = Case(clock, MemoryTable())
        case.orderer.keep_lease(eager=True)
        case.on_tell = lambda: clock.advance(seconds(took))

        case.round()

        assert case.orderer.rest == seconds(rest)


class CountingBook(DemandBook):
    """Demand that counts how often it is looked up."""

    def __init__(self):
        super().__init__()
        self.lookups = 0

    def model(self, service, model, now):
        self.lookups += 1
        return super().model(service, model, now)

    def adapter(self, service, model, adapter, now):
        self.lookups += 1
        return super().adapter(service, model, adapter, now)


@pytest.fixture(scope="module")
def moved_demand():
    """Targets of a large deployment, and demand half of which has just moved."""
    chance = random.Random(7)
    controls = []
    for index in range(TARGETS):
        copies = [f"m{each}" for each in chance.sample(range(MODELS), COPIES_EACH)]
        held = HeldModels({name: frozenset() for name in copies[:HELD_EACH]})
        control = TargetControl(make_target(f"t{index}", models=copies[:HELD_EACH]))
        stored = StoredCopies(on_disk=frozenset(copies))
        report = TargetReport(0, held, False, frozenset(), stored, 0, 0)
        control.reported(report, seconds(0))
        controls.append(control)
    held = {name for control in controls for name in control.held}
    book = CountingBook()
    for index in range(MODELS):
        name, adapter = f"m{index}", f"a{1 + index % ADAPTERS}"
        wanted = Wanted("engine", name, adapter, index % 3)
        missed = 2 if name not in held and index % 2 else 0
        book.add("n1", DemandShare(wanted, 2, missed, 150.0), NOW)
    return controls, book


class TestRoundsAtSize:
    """What a plan costs that weighs all targets for each model that is missed."""

    def test_demand_is_looked_up_once_for_each_model_and_adapter(self, moved_demand):
        controls, book = moved_demand
        book.lookups = 0

        view = FleetView("engine", ENGINE, controls, book, NOW)
        plan_adapters(view)
        plan = plan_models(view)

        assert len(plan.loads) + len(plan.left) > MODELS / 8
        assert book.lookups <= MODELS * 2
