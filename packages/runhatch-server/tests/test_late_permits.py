"""Permits of rate-limited targets while messages and threads are delayed."""

import random
from datetime import timedelta

import pytest
from delayed_cluster import LATE_DELAYS, PROMPT_DELAYS, DelayedCluster
from gateway_cases import seconds
from rate_limit_cases import count_busiest_window, max_requests_in_window

from runhatch_server.gateway._rate_limits import RateLimits
from runhatch_server.observability import Metrics

MIN_USED_SHARE = 0.8
"""Smallest share of a limit that must be used while demand exceeds it."""
DEMAND = 3.0
"""Requests that callers send, as a multiple of the targets' limits."""
SLOW_MESSAGES = (0.075, 0.2)
"""Delay in seconds of a permit request, and of its answer."""


class TestPermitMetrics:
    """Counts of permits by outcome."""

    def test_permits_are_counted_by_outcome(self, clock):
        metrics = Metrics()
        limits = RateLimits(clock, metrics)
        limits.apply_answer("t1", 10.0, clock.elapsed())
        limits.request_permit("t1", 1)
        for _ in range(3):
            limits.record_granted("t1")
        limits.stop_waiting(["t1"])
        limits.record_granted("t1")
        assert limits.use_permit("t1", has_requested=True)
        assert limits.use_permit("t1", has_requested=True)
        limits.return_permit("t1")
        limits.record_denied("t1", 1, timedelta())
        limits.record_unanswered("t1", 1)
        clock.advance(seconds(5))
        limits.remove_expired(lambda target: True)
        limits.remove_expired(lambda target: True)

        (counted,) = metrics.permit_requests.collect()
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


class TestDelays:
    """Six nodes in front of targets whose callers exceed their limits.

    Permits that expire unused while messages or threads are late waste the limit.
    """

    @pytest.mark.parametrize("seed", range(3))
    @pytest.mark.parametrize("targets", [["t1"], ["t1", "t2"]])
    @pytest.mark.parametrize("rate", [0.5, 1.5, 6.0])
    @pytest.mark.parametrize(
        ("message", "thread"),
        [
            pytest.param(PROMPT_DELAYS, PROMPT_DELAYS, id="prompt"),
            pytest.param(PROMPT_DELAYS, LATE_DELAYS, id="threads"),
            pytest.param(SLOW_MESSAGES, PROMPT_DELAYS, id="answers"),
            pytest.param(SLOW_MESSAGES, LATE_DELAYS, id="both"),
        ],
    )
    def test_limit_is_respected_and_used_despite_delays(
        self, clock, message, thread, rate, targets, seed
    ):
        cluster = DelayedCluster(
            clock, random.Random(seed), 6, targets, message, thread
        )
        for target in targets:
            cluster.nodes["n0"].limits.apply_answer(target, rate, clock.elapsed())
        cluster.play(DEMAND * rate * len(targets), seconds(3))
        since = clock.elapsed()
        duration = seconds(max(24, 30 / rate))

        cluster.play(DEMAND * rate * len(targets), duration)

        for arrivals in cluster.sent.values():
            times = [at for at in arrivals if at >= since]
            assert count_busiest_window(times) <= max_requests_in_window(rate)
            used = len(times) / (rate * duration.total_seconds())
            assert used >= MIN_USED_SHARE, str(cluster.outcomes())
