"""Measure rounds of the orderer and log long ones."""

from collections.abc import Sized
from datetime import timedelta

from runhatch_server.observability import Metrics, log_change

LONG_ROUND_DURATION = timedelta(milliseconds=200)
"""Duration of a round from which it is logged: adapters wait for the next round, and
requests that need one have about 400 ms."""
LOG_INTERVAL = timedelta(seconds=1)
"""Minimum interval between two log lines."""


class RoundLog:
    """Measures every round, and logs long ones."""

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self._logged_at = timedelta(days=-1)
        self._rounds = 0

    def record_round(
        self, started_at: timedelta, ended_at: timedelta, targets: int, queue: Sized
    ) -> None:
        """Record a round over ``targets`` targets, after which ``queue`` remains."""
        took = ended_at - started_at
        self._metrics.order_round_seconds.observe(took.total_seconds())
        self._rounds += 1
        if took < LONG_ROUND_DURATION or ended_at - self._logged_at < LOG_INTERVAL:
            return
        log_change(
            "long_round",
            took_ms=round(took / timedelta(milliseconds=1)),
            targets=targets,
            rounds=self._rounds,
            demand_waiting=len(queue),
        )
        self._logged_at = ended_at
        self._rounds = 0
