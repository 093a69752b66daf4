"""Log lines on the lease of the orders: how it was gained, and why it was lost."""

from datetime import timedelta

from runhatch_coordination import LeaseChange, Takeover
from runhatch_server.observability import Metrics, log_change

RESIGNED = "resigned"
"""What a holder is said to have done that gave the orders up by itself."""


TOLD_ONCE = (LeaseChange.STORE_DOWN, LeaseChange.BEHIND)
"""Changes that go on from step to step."""


class LeaseLog:
    """Tells each change of the lease once; used by the task that keeps it.

    ``left_ms`` is for how long the lease was still held when the step began: none
    where it lapsed, some where another node took it.  ``late_ms`` is the time since
    the step before, ``took_ms`` that of the call to the store.  Together they tell a
    store that does not answer from a node that does not come to renew.  ``newest`` is
    the newest epoch that was heard of: a holder of an earlier one loses the lease.  One
    that was acquired has ``vacancy``, why it was free, the row that told so, and the
    era of the store in which its epoch was counted.
    """

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self._told = LeaseChange.NONE
        self._stepped_at = timedelta()

    def note(
        self,
        change: LeaseChange,
        epoch: int,
        left: timedelta,
        begun: timedelta,
        ended: timedelta,
        newest: int,
        takeover: Takeover | None = None,
    ) -> None:
        """Log one step that changed something; one that lasts is told once."""
        before, self._told = self._told, change
        stepped_at, self._stepped_at = self._stepped_at, ended
        if change is LeaseChange.NONE:
            return
        self._metrics.leases.labels(change.value).inc()
        if change is before and change in TOLD_ONCE:
            return
        log_change(
            "lease",
            change=change.value,
            epoch=epoch,
            newest=newest,
            left_ms=_milliseconds(left),
            late_ms=_milliseconds(begun - stepped_at),
            took_ms=_milliseconds(ended - begun),
            **_told_of(takeover),
        )

    def resigned(self, epoch: int, left: timedelta, now: timedelta) -> None:
        """Log that the holder of ``epoch`` gave the orders up, as it cannot renew."""
        self._metrics.leases.labels(RESIGNED).inc()
        log_change(
            "lease",
            change=RESIGNED,
            epoch=epoch,
            left_ms=_milliseconds(left),
            late_ms=_milliseconds(now - self._stepped_at),
        )


def _told_of(takeover: Takeover | None) -> dict[str, object]:
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
