"""Keeps a node's configuration revision up to date from the store or its peers."""

import threading
from collections.abc import Callable

from runhatch_coordination import RevisionFeed
from runhatch_server.configuration._service import ConfigurationService

FIRST_POSITION = 1
"""Assumed to exist, so that a node without a revision keeps requesting one."""


class RevisionFollower:
    """Follows the newest revision that this node knows of.

    One task calls :meth:`read_store` periodically and whenever ``read_requested`` is
    set, another calls :meth:`read_if_behind` every second.  ``request_from_peer``
    requests the revision in force from a peer, for when the store cannot be read.
    """

    def __init__(
        self,
        service: ConfigurationService,
        feed: RevisionFeed,
        request_from_peer: Callable[[], None],
    ) -> None:
        self._service = service
        self._feed = feed
        self._request_from_peer = request_from_peer
        self._newest_known = FIRST_POSITION
        self._requested_position = 0
        self.read_requested = threading.Event()

    def record_position(self, position: int) -> None:
        """Record that the revision at ``position`` is in force on another node.

        Only the first notice of a revision requests a read: peers repeat theirs, and
        after a failed read :meth:`read_if_behind` tries again.
        """
        if position > self._newest_known:
            self._newest_known = position
        if position > max(self._feed.position, self._requested_position):
            self._requested_position = position
            self.read_requested.set()

    def read_store(self) -> None:
        """Read the newest revision from the store.

        Notices that arrive during the read cause another read only if their revision is
        newer than the one read.
        """
        known = self._feed.position
        self._service.read_newest()
        self.read_requested.clear()
        if known < self._feed.position < self._newest_known:
            self.read_requested.set()

    def read_if_behind(self) -> None:
        """Read a newer known revision from the store, or request it from a peer."""
        if self._feed.position >= self._newest_known:
            return
        if not self._service.read_newest():
            self._request_from_peer()
