"""Decides whether a node may still rely on the keys that it knows.

A key may be removed while a node is cut off from the store. The node relies on its
configuration only for a bounded time after the moment at which the configuration was
known to be the newest. That moment is a time of the store's clock, so that a message
that arrives late, at a node that was frozen, does not make an old configuration look
current.
"""

from collections.abc import Callable
from datetime import timedelta

from runhatch_coordination import StoreTime

REMOVAL_MARGIN = timedelta(milliseconds=100)
"""Time before the bound at which keys are no longer relied on, for the granularity of
the times between nodes."""


class KeyCurrency:
    """Whether the keys of one node are current; thread-safe.

    ``confirmed_at`` returns the store's time at which the configuration was last known
    to be the newest, ``None`` if it never was. A removed key must not be served for
    longer than ``removal_bound``, ``None`` if the platform sets no such bound.
    """

    def __init__(
        self,
        store_time: StoreTime,
        confirmed_at: Callable[[], timedelta | None],
        removal_bound: timedelta | None,
    ) -> None:
        self._store_time = store_time
        self._confirmed_at = confirmed_at
        self._removal_bound = removal_bound

    def is_current(self, received_at: timedelta) -> bool:
        """Return whether a request received at ``received_at`` may be served.

        A request sent by then was sent less than the bound after any removal of its
        key that this node does not know.
        """
        if self._removal_bound is None:
            return True
        confirmed_at = self._confirmed_at()
        latest = self._store_time.latest(received_at)
        if confirmed_at is None or latest is None:
            return False
        return latest - confirmed_at <= self._removal_bound - REMOVAL_MARGIN
