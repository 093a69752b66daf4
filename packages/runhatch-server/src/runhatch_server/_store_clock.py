"""A clock set by the ``Date`` header of the platform's answers (RFC 9110, 6.6.1)."""

from datetime import datetime, timedelta
from email.utils import parsedate_to_datetime

from runhatch_coordination import Clock

DATE_UPDATE_INTERVAL = timedelta(seconds=30)


class StoreClock:
    """A clock that uses the platform's wall time once an answer has arrived.

    The platform's table removes a claim at an expiry time written by the node.  If the
    VM's clock were days behind, the claim would expire at once and the request could
    run again.  Between answers the monotonic time is added, so that jumps of the VM's
    wall clock have no effect.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._last_date: tuple[datetime, timedelta] | None = None

    def now(self) -> datetime:
        """Return the platform's wall time, or the VM's until the former is known."""
        last_date = self._last_date
        if last_date is None:
            return self._clock.now()
        at, elapsed = last_date
        return at + (self._clock.elapsed() - elapsed)

    def elapsed(self) -> timedelta:
        """Return the monotonic time since an arbitrary fixed point."""
        return self._clock.elapsed()

    def sleep(self, duration: timedelta) -> None:
        """Block the calling thread for ``duration``."""
        self._clock.sleep(duration)

    def update_from_date_header(self, date_header: str | None) -> None:
        """Set the time from the ``Date`` header of an answer that has just arrived.

        A missing or invalid date is ignored.
        """
        elapsed = self._clock.elapsed()
        if (
            self._last_date is not None
            and elapsed - self._last_date[1] < DATE_UPDATE_INTERVAL
        ):
            return
        try:
            at = parsedate_to_datetime(date_header or "")
        except ValueError:
            return
        if at.tzinfo is not None:
            self._last_date = (at, elapsed)
