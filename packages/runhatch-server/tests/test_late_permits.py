"""Permits of limited targets while messages and threads come late."""

import random
from datetime import timedelta

import pytest
from gateway_cases import seconds
from late_world import LATE, PROMPT, LateWorld
from rate_limit_cases import allowed, most_in_window

from runhatch_server.gateway._rate_limits import RateLimits
from runhatch_server.observability import Metrics

LEAST_USED = 0.8
"""Share of the limits that is used where callers want more."""
DEMAND = 3.0
"""Requests that callers send, as a multiple of what the targets take."""
LATE_ANSWERS = (0.075, 0.2)
"""Seconds that each of a question and its answer takes."""


class TestCounts:
    """What became of permits."""

    def test_each_is_counted_by_its_end(self, clock):
        metrics = Metrics()
        limits = RateLimits(clock, metrics)
        limits.heard("t1", 10.0, clock.elapsed())
        limits.ask("t1", 1)
        for _ in range(3):
            limits.granted("t1")
        limits.settle(["t1"])
        limits.granted("t1")
        assert limits.take("t1", asked=True)
        assert limits.take("t1", asked=True)
        limits.give_back("t1")
        limits.denied("t1", 1, timedelta())
        limits.unanswered("t1", 1)
        clock.advance(seconds(5))
        limits.forget(lambda target: True)
        limits.forget(lambda target: True)

        (counted,) = metrics.permits.collect()
        assert {
            sample.labels["outcome"]: sample.value
            for sample in counted.samples
            if sample.name.endswith("_total")
        } == {
            "granted": 4,
            "late": 1,
            "used": 2,
            "given_back": 1,
            "lapsed": 3,
            "denied": 1,
            "unanswered": 1,
        }


class TestLateReplay:
    """Six nodes, before targets that callers want more of than they take."""

    @pytest.mark.parametrize("seed", range(3))
    @pytest.mark.parametrize("targets", [["t1"], ["t1", "t2"]])
    @pytest.mark.parametrize("rate", [0.5, 1.5, 6.0])
    @pytest.mark.parametrize(
        ("message", "thread"),
        [
            pytest.param(PROMPT, PROMPT, id="prompt"),
            pytest.param(PROMPT, LATE, id="threads"),
            pytest.param(LATE_ANSWERS, PROMPT, id="answers"),
            pytest.param(LATE_ANSWERS, LATE, id="both"),
        ],
    )
    def test_the_limit_is_kept_and_used(
        self, clock, message, thread, rate, targets, seed
    ):
        world = LateWorld(clock, random.Random(seed), 6, targets, message, thread)
        for target in targets:
            world.nodes["n0"].limits.heard(target, rate, clock.elapsed())
        world.play(DEMAND * rate * len(targets), seconds(3))
        since = clock.elapsed()
        duration = seconds(max(24, 30 / rate))

        world.play(DEMAND * rate * len(targets), duration)

        for arrivals in world.sent.values():
            times = [at for at in arrivals if at >= since]
            assert most_in_window(times) <= allowed(rate)
            used = len(times) / (rate * duration.total_seconds())
            assert used >= LEAST_USED, str(world.outcomes())
