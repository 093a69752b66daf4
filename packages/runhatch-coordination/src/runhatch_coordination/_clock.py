"""Clock interface for code that waits or measures durations."""

import time
from datetime import UTC, datetime, timedelta
from typing import Protocol


class Clock(Protocol):
    """Source of time; production uses :class:`SystemClock`.

    Use ``elapsed`` for ages and deadlines, and ``now`` only for records that people
    read: no decision may compare the wall clocks of two VMs.

    .. versionadded:: 0.1
    """

    def now(self) -> datetime:
        """Return the wall time, in UTC."""

    def elapsed(self) -> timedelta:
        """Return the time since an arbitrary fixed point; it never decreases."""

    def sleep(self, duration: timedelta) -> None:
        """Block the calling thread for ``duration``."""


class SystemClock:
    """Clock that reads the operating system's clocks.

    ``elapsed`` reads the boot-time clock.  Unlike the monotonic clock it also advances
    while the VM is suspended, so that an expired lease does not appear valid after
    the VM resumes.
    """

    def now(self) -> datetime:
        """Return the wall time, in UTC."""
        return datetime.now(UTC)

    def elapsed(self) -> timedelta:
        """Return the time since boot, including suspended time."""
        return timedelta(seconds=time.clock_gettime(time.CLOCK_BOOTTIME))

    def sleep(self, duration: timedelta) -> None:
        """Block the calling thread for ``duration``."""
        time.sleep(max(0.0, duration.total_seconds()))
