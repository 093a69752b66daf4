"""Log how the lease of the orders was acquired and why it was lost."""

from datetime import timedelta

from runhatch_coordination import LeaseChange, Takeover
from runhatch_server.observability import Metrics, log_change

RESIGNED = "resigned"
"""Logged change of a holder that resigned by itself."""


LOGGED_ONCE = (LeaseChange.STORE_DOWN, LeaseChange.TABLE_BEHIND)
"""Changes that repeat in consecutive steps and are logged once."""


class LeaseLog:
    """Logs each change of the lease once; used by the task that renews it.

    ``left_ms`` is the time for which the lease was still held when the step began: zero
    if it lapsed, positive if another node took it. ``late_ms`` is the time since the
    previous step, ``took_ms`` the duration of the call to the store. Together they
    distinguish a store that does not answer from a node that renews late. ``newest`` is
    the newest epoch received: the holder of a lower one loses the lease. An acquired
    lease has ``vacancy``, the reason why it was free, the row that showed it, and the
    era of the store in which its epoch was counted.
    """

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self._last_change = LeaseChange.NONE
        self._last_step_at = timedelta()

    def log_step(
        self,
        change: LeaseChange,
        epoch: int,
        remaining: timedelta,
        started_at: timedelta,
        ended_at: timedelta,
        newest_epoch: int,
        takeover: Takeover | None = None,
    ) -> None:
        """Log a step that changed the lease; repeated changes are logged once."""
        previous_change, self._last_change = self._last_change, change
        previous_step_at, self._last_step_at = self._last_step_at, ended_at
        if change is LeaseChange.NONE:
            return
        self._metrics.leases.labels(change.value).inc()
        if change is previous_change and change in LOGGED_ONCE:
            return
        log_change(
            "lease",
            change=change.value,
            epoch=epoch,
            newest=newest_epoch,
            left_ms=_milliseconds(remaining),
            late_ms=_milliseconds(started_at - previous_step_at),
            took_ms=_milliseconds(ended_at - started_at),
            **_takeover_fields(takeover),
        )

    def log_resignation(
        self, epoch: int, remaining: timedelta, now: timedelta, reason: str
    ) -> None:
        """Log that the holder of ``epoch`` resigned, and why."""
        self._metrics.leases.labels(RESIGNED).inc()
        log_change(
            "lease",
            change=RESIGNED,
            reason=reason,
            epoch=epoch,
            left_ms=_milliseconds(remaining),
            late_ms=_milliseconds(now - self._last_step_at),
        )


def _takeover_fields(takeover: Takeover | None) -> dict[str, object]:
    if takeover is None:
        return {}
    return {
        "vacancy": takeover.vacancy.value,
        "row_holder": takeover.holder,
        "row_epoch": takeover.epoch,
        "era": takeover.era,
    }


def _milliseconds(duration: timedelta) -> int:
    return round(duration / timedelta(milliseconds=1))
