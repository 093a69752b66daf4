"""The platform's time, from the ``Date`` header of its answers (RFC 9110, 6.6.1)."""

from datetime import datetime, timedelta
from email.utils import parsedate_to_datetime

from runhatch_coordination import Clock

LISTEN_EVERY = timedelta(seconds=30)


class StoreClock:
    """A clock whose wall time is the platform's, as soon as it has been heard.

    The table forgets a claim at a wall time that the node writes and the platform
    judges.  A VM whose clock is days behind would have it forgotten at once, and the
    request could run again.  Between two answers the time since boot is added, so
    that a jump of the VM's own clock changes nothing.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._heard: tuple[datetime, timedelta] | None = None

    def now(self) -> datetime:
        """Return the platform's wall time, the VM's own until it is known."""
        heard = self._heard
        if heard is None:
            return self._clock.now()
        at, elapsed = heard
        return at + (self._clock.elapsed() - elapsed)

    def elapsed(self) -> timedelta:
        """Return the time since an arbitrary fixed point; never goes back."""
        return self._clock.elapsed()

    def sleep(self, duration: timedelta) -> None:
        """Block the calling thread for ``duration``."""
        self._clock.sleep(duration)

    def hear(self, date: str | None) -> None:
        """Take in the ``Date`` of an answer that has just come."""
        elapsed = self._clock.elapsed()
        if self._heard is not None and elapsed - self._heard[1] < LISTEN_EVERY:
            return
        try:
            at = parsedate_to_datetime(date or "")
        except ValueError:
            return
        if at.tzinfo is not None:
            self._heard = (at, elapsed)
