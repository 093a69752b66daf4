"""What the store's clock shows at the latest, without a call to the store."""

import threading
from datetime import timedelta

MAX_DRIFT = 0.001
"""Largest assumed difference in speed between the clocks of two hosts, as a share."""


class StoreTime:
    """An upper bound of the store's clock, from answers that state it; thread-safe.

    An answer to a call of ``asked_at`` states a time at or after the store received
    the call, so the clock showed no more than that at ``asked_at``.

    >>> store_time = StoreTime()
    >>> store_time.record(timedelta(seconds=1), timedelta(seconds=70))
    >>> store_time.latest(timedelta(seconds=1)) == timedelta(seconds=70)
    True

    .. versionadded:: 0.2
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._bound: tuple[timedelta, timedelta] | None = None
        """The time of a call and the store's time that its answer stated."""

    @property
    def is_known(self) -> bool:
        """Whether an answer has stated the store's time."""
        return self._bound is not None

    def record(self, asked_at: timedelta, stated: timedelta) -> None:
        """Record that an answer to a call of ``asked_at`` stated ``stated``."""
        with self._lock:
            known = self._latest(asked_at)
            if known is None or stated <= known:
                self._bound = asked_at, stated

    def latest(self, now: timedelta) -> timedelta | None:
        """Return what the store's clock shows at most at ``now``, if it is known."""
        with self._lock:
            return self._latest(now)

    def _latest(self, now: timedelta) -> timedelta | None:
        if self._bound is None:
            return None
        asked_at, stated = self._bound
        elapsed = now - asked_at
        return stated + elapsed + abs(elapsed) * MAX_DRIFT
