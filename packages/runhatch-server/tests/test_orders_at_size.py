"""Test that an orderer of many targets renews its lease and receives demand.

With 70 targets and 305 models the lease changed its holder every three or four seconds
although the holder reached the store in 30 ms. The check of the lease waited for the
lock of a round, which each demand message took as well, and came up to 1980 ms late
instead of every 300 ms. After each change targets received no orders for up to three
seconds.
"""

import contextlib
import random
import threading

import pytest
from gateway_cases import make_target, seconds
from orderer_cases import OrdererCase

from runhatch_coordination.testing import MemoryTable
from runhatch_server.fleet import HeldModels, StoredCopies
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
from runhatch_server.residency._orderer import (
    MAX_ROUND_PAUSE,
    MIN_ROUND_PAUSE,
    ROUND_PAUSE_FACTOR,
)
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
BLOCKED_AFTER = 2.0
"""Seconds after which a call that waits for a round counts as blocked."""


MAX_ROUNDS = 200
"""Maximum rounds in a second of the clock that are requested one after the other."""


def raise_error(service):
    """Fail a round."""
    raise RuntimeError(service)


def count_requested_rounds(case, clock):
    """Request rounds one after the other; return how many run within a second.

    Only pauses advance the clock, so the count ends at twice ``MAX_ROUNDS``.
    """
    rounds, started_at = 0, clock.elapsed()
    while clock.elapsed() - started_at < seconds(1) and rounds < MAX_ROUNDS * 2:
        case.request_model("m1")
        with contextlib.suppress(RuntimeError):
            case.orderer.run_paced_round()
        rounds += 1
    return rounds


class LongRound:
    """A holder of the lease whose round ends only when the context is left."""

    def __init__(self, clock):
        self.case = OrdererCase(clock, MemoryTable(), models=("m0",))
        self.case.orderer.keep_lease(eager=True)
        self.case.run_round()
        self._round_started, self._round_may_end = threading.Event(), threading.Event()
        self.case.on_publish = self._hold
        for _ in range(4):
            # All holdings are published again after some seconds.
            clock.advance(seconds(1))
            self.case.orderer.keep_lease(eager=True)
        self._thread = threading.Thread(target=self.case.orderer.step)

    def __enter__(self):
        self._thread.start()
        assert self._round_started.wait(BLOCKED_AFTER)
        return self.case

    def __exit__(self, *failure):
        self._round_may_end.set()
        self._thread.join(BLOCKED_AFTER)

    def _hold(self):
        self._round_started.set()
        self._round_may_end.wait(BLOCKED_AFTER * 3)


def ends_during_round(work):
    """Return whether ``work`` ends while a round is in progress."""
    thread = threading.Thread(target=work, daemon=True)
    thread.start()
    thread.join(BLOCKED_AFTER)
    return not thread.is_alive()


class TestLongRounds:
    """Other tasks of the holder while one of its rounds takes long."""

    def test_lease_is_renewed(self, clock):
        with LongRound(clock) as case:
            clock.advance(seconds(1))

            assert ends_during_round(lambda: case.orderer.keep_lease(eager=True))
            assert ends_during_round(case.orderer.resign_if_lapsing)
            assert case.orderer.holds_lease() is not None

    def test_demand_is_queued(self, clock):
        with LongRound(clock) as case:
            assert ends_during_round(lambda: case.request_model("m1"))

        case.run_round()
        case.run_round()

        assert [order.model for order in case.targets.orders] == ["m1"]

    def test_resignation_of_another_holder_is_recorded(self, clock):
        other = OrdererCase(clock, MemoryTable(), "n9")
        other.orderer.keep_lease(eager=True)
        resignation = other.orderer.stop()

        with LongRound(clock) as case:
            apply_resignation = case.orderer.record_resignation
            assert ends_during_round(lambda: apply_resignation(resignation))


class TestPause:
    """The pause after a round, which leaves processor time for other tasks."""

    @pytest.mark.parametrize(
        ("duration", "pause"),
        [
            (0.0, MIN_ROUND_PAUSE.total_seconds()),
            (0.02, 0.02 * ROUND_PAUSE_FACTOR),
            (3.0, MAX_ROUND_PAUSE.total_seconds()),
        ],
    )
    def test_is_proportional_to_round_within_bounds(self, clock, duration, pause):
        case = OrdererCase(clock, MemoryTable())
        case.orderer.keep_lease(eager=True)
        case.on_publish = lambda: clock.advance(seconds(duration))

        case.run_round()

        assert case.orderer.round_pause == seconds(pause)

    def test_requested_rounds_are_bounded(self, clock):
        """Rounds that take no time by the clock do not follow each other endlessly.

        A holder of 70 targets ran one for each answer of a target and each message with
        demand, and used all of its processor time for them.
        """
        case = OrdererCase(clock, MemoryTable())
        case.orderer.keep_lease(eager=True)

        assert count_requested_rounds(case, clock) <= MAX_ROUNDS

    def test_failing_rounds_are_bounded(self, clock):
        case = OrdererCase(clock, MemoryTable())
        case.orderer.keep_lease(eager=True)
        case.run_round()
        case.directory.ready_targets = raise_error

        assert count_requested_rounds(case, clock) <= MAX_ROUNDS

    def test_node_without_the_lease_does_not_pause(self, clock):
        case = OrdererCase(clock, MemoryTable())

        case.orderer.run_paced_round()

        assert clock.elapsed() == seconds(0)


class CountingBook(DemandBook):
    """Demand that counts its lookups."""

    def __init__(self):
        super().__init__()
        self.lookups = 0

    def model_demand(self, service, model, now):
        self.lookups += 1
        return super().model_demand(service, model, now)

    def adapter_demand(self, service, model, adapter, now):
        self.lookups += 1
        return super().adapter_demand(service, model, adapter, now)


@pytest.fixture(scope="module")
def moved_demand():
    """Return targets of a large deployment, and demand half of which has just moved."""
    rng = random.Random(7)
    controls = []
    for index in range(TARGETS):
        copies = [f"m{each}" for each in rng.sample(range(MODELS), COPIES_EACH)]
        held = HeldModels({name: frozenset() for name in copies[:HELD_EACH]})
        control = TargetControl(make_target(f"t{index}", models=copies[:HELD_EACH]))
        stored = StoredCopies(on_disk=frozenset(copies))
        report = TargetReport(0, held, False, frozenset(), stored, 0, 0)
        control.apply_report(report, seconds(0))
        controls.append(control)
    held = {name for control in controls for name in control.held}
    book = CountingBook()
    for index in range(MODELS):
        name, adapter = f"m{index}", f"a{1 + index % ADAPTERS}"
        wanted = DemandKey("engine", name, adapter, index % 3)
        missed = 2 if name not in held and index % 2 else 0
        book.add_requests("n1", DemandShare(wanted, 2, missed, 150.0), NOW)
    return controls, book


class TestRoundsAtSize:
    """Cost of a plan that weighs all targets for each missed model."""

    def test_demand_is_looked_up_once_per_model_and_adapter(self, moved_demand):
        controls, book = moved_demand
        book.lookups = 0

        view = FleetView("engine", ENGINE, controls, book, NOW)
        plan_adapters(view)
        plan = plan_models(view)

        assert len(plan.loads) + len(plan.deferred) > MODELS / 8
        assert book.lookups <= MODELS * 2
