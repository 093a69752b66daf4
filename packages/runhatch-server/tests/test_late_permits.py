"""Permits of limited targets while messages and threads come late."""

from datetime import timedelta

from gateway_cases import seconds

from runhatch_server.gateway._rate_limits import RateLimits
from runhatch_server.observability import Metrics


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
