"""Finding out that targets end under requests."""

from dataclasses import replace

import pytest
from gateway_cases import FakeTargets, make_directory, make_target, seconds

from runhatch_coordination import Entry
from runhatch_server.crashes import CrashWatch, Standing
from runhatch_server.crashes._watch import (
    LOOKED_AT_FOR,
    PROBE_VALID,
    SECOND_LOOK,
)
from runhatch_server.decisions import EndedUnder
from runhatch_server.fleet import TargetState
from runhatch_server.gateway._connections import ConnectionPool
from runhatch_server.gateway._known_targets import KnownTargets
from runhatch_server.observability import Metrics
from runhatch_server.refusals import Executed, Reason

TARGETS = ("t0", "t1", "t2", "t3")


class World:
    """A watch over targets that may end."""

    def __init__(self, clock):
        self.clock = clock
        self.targets = FakeTargets()
        self.woken = 0
        self.metrics = Metrics()
        self.watch = CrashWatch(clock, self.targets, self.metrics, self.wake)

    def wake(self):
        self.woken += 1

    def end(self, target, fingerprint="x"):
        self.targets.refusing.add(target)
        self.watch.cut_off(fingerprint, target)

    def answer(self, target, fingerprint):
        self.watch.answered(fingerprint, target, self.clock.elapsed())


@pytest.fixture
def world(clock):
    return World(clock)


class TestJudging:
    """What is held back, and what its caller is told."""

    def test_a_request_that_ended_two_targets_is_refused_at_once(self, world):
        world.end("t0")
        assert world.watch.judge("x") is None
        world.end("t1")

        refusal = world.watch.judge("x")

        assert refusal.reason is Reason.ENDS_TARGETS
        assert refusal.executed is Executed.NO
        assert refusal.retry_after is None
        assert world.watch.judge("another") is None
        assert world.targets.ends == ["t0", "t1"]

    def test_a_target_that_broke_off_and_lives_says_nothing(self, clock, world):
        """One broke 23 connections within 50 s and gave 220 other answers."""
        for _ in range(23):
            for target in TARGETS:
                world.watch.cut_off("x", target)
            clock.advance(seconds(2))
            for target in TARGETS:
                world.answer(target, "y")
            world.watch.settle()

        assert world.watch.judge("x") is None

    def test_what_was_cut_off_together_is_looked_at_once(self, clock, world):
        for number in range(15):
            world.end("t0", f"x{number}")

        assert world.targets.looks == 1
        assert b"ended_targets_total 1.0" in world.metrics.exposition()
        clock.advance(PROBE_VALID)
        world.end("t1")
        assert world.targets.looks == 2

    @pytest.mark.parametrize("standing", [Standing.LEAVES, Standing.GONE])
    def test_a_target_that_leaves_as_planned_says_nothing(self, world, standing):
        for target in TARGETS[:2]:
            world.targets.standings[target] = standing
            world.end(target)
            world.watch.unfinished("x", target)
        world.watch.settle()

        assert world.watch.judge("x") is None


class TestSettling:
    """Ends that are found out later."""

    @pytest.mark.parametrize(
        ("after", "held"), [(seconds(4), True), (seconds(20), False)]
    )
    @pytest.mark.parametrize("heard", [CrashWatch.cut_off, CrashWatch.unfinished])
    def test_an_entry_that_leaves_the_store_soon_after(
        self, clock, world, heard, after, held
    ):
        """The way to the target may be cut, or its caller has left: then nothing
        tells this node of its end."""
        for target in TARGETS[:2]:
            heard(world.watch, "x", target)
            clock.advance(after)
            world.watch.settle()
            world.targets.standings[target] = Standing.GONE
            world.watch.settle()

        assert (world.watch.judge("x") is not None) == held

    def test_one_that_stops_listening_a_moment_later(self, clock, world):
        for target in TARGETS[:2]:
            world.watch.cut_off("x", target)
            assert world.watch.doubts.is_set()
            world.targets.refusing.add(target)
            clock.advance(SECOND_LOOK)
            world.watch.settle()

        assert world.watch.judge("x") is not None

    def test_one_that_begins_to_leave_ends_as_planned(self, world):
        for target in TARGETS[:2]:
            world.watch.unfinished("x", target)
            for standing in (Standing.LEAVES, Standing.GONE):
                world.targets.standings[target] = standing
                world.watch.settle()

        assert world.watch.judge("x") is None

    def test_what_its_caller_left_costs_no_look(self, world):
        world.watch.unfinished("x", "t0")
        world.watch.settle()

        assert world.targets.looks == 0

    def test_a_target_in_doubt_is_looked_at_few_times(self, clock, world):
        for _ in range(40):
            world.watch.cut_off("x", "t0")
            clock.advance(SECOND_LOOK)
            world.watch.settle()
        assert world.targets.looks <= 2 * 40 * SECOND_LOOK / PROBE_VALID
        world.targets.looks = 0
        for _ in range(200):
            clock.advance(SECOND_LOOK)
            world.watch.settle()

        assert world.targets.looks <= 2 * LOOKED_AT_FOR / PROBE_VALID


class TestTelling:
    """What other nodes are told."""

    def test_news_is_told_once(self, world):
        world.end("t0")
        ends, cleared = world.watch.take_news()

        assert [(end.fingerprint, end.target) for end in ends] == [("x", "t0")]
        assert cleared == []
        assert world.watch.take_news() == ([], [])

    def test_what_is_heard_is_told_on_while_it_is_news(self, clock, world):
        end = EndedUnder("x", "elsewhere", clock.elapsed())
        world.watch.told([end])
        world.watch.told([end])

        assert world.watch.take_news() == ([end], [])
        assert world.woken == 1

    def test_an_answer_clears_it_everywhere(self, clock, world):
        other = World(clock)
        for watch in (world.watch, other.watch):
            watch.told([EndedUnder("x", f"t{i}", clock.elapsed()) for i in range(2)])
        world.answer("t3", "x")
        _, cleared = world.watch.take_news()
        other.watch.told_cleared(cleared)

        assert world.watch.judge("x") is other.watch.judge("x") is None


class TestKnownTargets:
    """Learned targets: what the directory says of them."""

    @pytest.mark.parametrize(
        ("state", "standing"),
        [
            (TargetState.READY, Standing.WORKS),
            (TargetState.DRAINING, Standing.LEAVES),
            (None, Standing.GONE),
        ],
    )
    def test_standing(self, clock, state, standing):
        target = make_target()
        directory = make_directory(clock, target)
        clock.advance(seconds(5))
        shown = None if state is None else replace(target, state=state)
        directory.changed((Entry(target.name, shown),))
        known = KnownTargets(directory, ConnectionPool(clock))

        assert known.standing("t1") is standing

    def test_one_that_is_not_known_refuses_nothing(self, clock):
        known = KnownTargets(make_directory(clock), ConnectionPool(clock))

        assert not known.refuses("t1")
