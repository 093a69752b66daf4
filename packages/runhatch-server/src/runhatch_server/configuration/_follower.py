"""Keeps a node's configuration revision up to date from the store or its peers."""

import threading
from collections.abc import Callable

from runhatch_coordination import RevisionFeed
from runhatch_server.configuration._service import ConfigurationService

FIRST_REVISION = 1
"""Assumed to exist, so that a node without a revision keeps requesting one."""


class RevisionFollower:
    """Follows the newest revision that this node knows of.

    One task calls :meth:`poll` periodically and whenever ``wake`` is set, another calls
    :meth:`catch_up` every second.  ``ask_peer`` requests the revision in force from a
    peer, for when the store cannot be read.
    """

    def __init__(
        self,
        service: ConfigurationService,
        feed: RevisionFeed,
        ask_peer: Callable[[], None],
    ) -> None:
        self._service = service
        self._feed = feed
        self._request_from_peer = ask_peer
        self._newest_known = FIRST_REVISION
        self.wake = threading.Event()

    def notice(self, position: int) -> None:
        """Record that the revision at ``position`` is in force on another node."""
        if position > self._newest_known:
            self._newest_known = position
        if position > self._feed.position:
            self.wake.set()

    def poll(self) -> None:
        """Read the newest revision from the store.

        Notices that arrive during the read cause another read only if their revision is
        newer than the one read.
        """
        known = self._feed.position
        self._service.refresh()
        self.wake.clear()
        if known < self._feed.position < self._newest_known:
            self.wake.set()

    def catch_up(self) -> None:
        """Read a newer known revision from the store, or request it from a peer."""
        if self._feed.position >= self._newest_known:
            return
        if not self._service.refresh():
            self._request_from_peer()
