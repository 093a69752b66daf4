"""Keeping a node's revision up with what the store and its peers say."""

import threading
from collections.abc import Callable

from runhatch_coordination import RevisionFeed
from runhatch_server.configuration._service import ConfigurationService

FIRST_REVISION = 1
"""Known of from the start, so that a node without any keeps asking."""


class RevisionFollower:
    """Follows the newest revision that this node has heard of.

    One task calls :meth:`poll` now and then and whenever ``wake`` is set, another
    calls :meth:`catch_up` every second.  ``ask_peer`` asks one peer for what it has
    in force; it is for when the store cannot be read.
    """

    def __init__(
        self,
        service: ConfigurationService,
        feed: RevisionFeed,
        ask_peer: Callable[[], None],
    ) -> None:
        self._service = service
        self._feed = feed
        self._ask_peer = ask_peer
        self._noticed = FIRST_REVISION
        self.wake = threading.Event()

    def notice(self, position: int) -> None:
        """Take in that somebody has the revision at ``position`` in force."""
        if position > self._noticed:
            self._noticed = position
        if position > self._feed.position:
            self.wake.set()

    def poll(self) -> None:
        """Read the store.

        Notices that came meanwhile set off another read only if they tell of more.
        """
        known = self._feed.position
        self._service.refresh()
        self.wake.clear()
        if known < self._feed.position < self._noticed:
            self.wake.set()

    def catch_up(self) -> None:
        """Try the store and then a peer, as long as something newer is known of."""
        if self._feed.position >= self._noticed:
            return
        if not self._service.refresh():
            self._ask_peer()
