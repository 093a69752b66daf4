"""Log lines on rounds of the orderer that take too long."""

from collections.abc import Sized
from datetime import timedelta

from runhatch_server.observability import Metrics, log_change

LONG_ROUND = timedelta(milliseconds=200)
"""Time of a round from which it is logged: adapters wait for the next one, and
requests that wait for one have some 400 ms."""
LOG_EVERY = timedelta(seconds=1)
"""Between two such lines."""


class RoundLog:
    """Measures every round, and tells of long ones."""

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self._logged_at = timedelta(days=-1)
        self._rounds = 0

    def round(
        self, begun: timedelta, ended: timedelta, targets: int, inbox: Sized
    ) -> None:
        """Note a round over ``targets``, at whose end ``inbox`` waits to be read."""
        took = ended - begun
        self._metrics.round_seconds.observe(took.total_seconds())
        self._rounds += 1
        if took < LONG_ROUND or ended - self._logged_at < LOG_EVERY:
            return
        log_change(
            "long_round",
            took_ms=round(took / timedelta(milliseconds=1)),
            targets=targets,
            rounds=self._rounds,
            demand_waiting=len(inbox),
        )
        self._logged_at = ended
        self._rounds = 0
