"""The clock interface that everything which waits or ages is handed."""

import time
from datetime import UTC, datetime, timedelta
from typing import Protocol


class Clock(Protocol):
    """Source of time; production uses :class:`SystemClock`.

    ``elapsed`` is for ages and deadlines, ``now`` only for records people read:
    no decision compares the wall clocks of two VMs.

    .. versionadded:: 0.1
    """

    def now(self) -> datetime:
        """Return the wall time, in UTC."""

    def elapsed(self) -> timedelta:
        """Return the time since an arbitrary fixed point; never goes back."""

    def sleep(self, duration: timedelta) -> None:
        """Block the calling thread for ``duration``."""


class SystemClock:
    """The operating system's clocks.

    ``elapsed`` reads the boot-time clock, which unlike the monotonic one also
    advances while the VM is suspended: a lease must not look fresh after that.
    """

    def now(self) -> datetime:
        """Return the wall time, in UTC."""
        return datetime.now(UTC)

    def elapsed(self) -> timedelta:
        """Return the time since boot, suspended time included."""
        return timedelta(seconds=time.clock_gettime(time.CLOCK_BOOTTIME))

    def sleep(self, duration: timedelta) -> None:
        """Block the calling thread for ``duration``."""
        time.sleep(max(0.0, duration.total_seconds()))
