"""Links to nodes that are sent to now and then, without being linked."""

import threading
from collections.abc import Callable
from datetime import timedelta

from runhatch_coordination import Clock
from runhatch_server.peers._link import OnSent, PeerLink
from runhatch_server.peers._messages import Fact

TEMPORARY_LINK_LIFETIME = timedelta(seconds=5)
"""Time after which a link is replaced when it is used again.  It carries no heartbeats,
so no peer notices that its connection has gone silent without being closed."""
MAX_TEMPORARY_LINKS = 64

OnIdle = Callable[[PeerLink], None]


class TemporaryLinks:
    """Keeps a link to each address sent to lately; thread-safe.

    Otherwise each message would open a connection and a task of its own.  ``open_link``
    opens a link that reports to its second argument that it was not used for
    ``TEMPORARY_LINK_LIFETIME``.
    """

    def __init__(
        self, open_link: Callable[[str, OnIdle], PeerLink], clock: Clock
    ) -> None:
        self._open_link = open_link
        self._clock = clock
        self._lock = threading.Lock()
        self._links: dict[str, PeerLink] = {}
        """By address, the one opened first coming first."""

    @property
    def addresses(self) -> frozenset[str]:
        """The addresses that have a link."""
        with self._lock:
            return frozenset(self._links)

    def send(self, address: str, facts: list[Fact], on_sent: OnSent | None) -> None:
        """Send ``facts`` to ``address``; does not block."""
        with self._lock:
            link = self._links.get(address)
            if link is None or link.has_failed or link.age >= TEMPORARY_LINK_LIFETIME:
                self._close_link(address)
                link = self._open(address)
            # Queued under the lock, so that a link that ends has sent them before.
            link.put_all(facts, on_sent)

    def reopen(self, address: str) -> None:
        """Send over a new link to ``address`` from now on, unless it is new."""
        with self._lock:
            link = self._links.get(address)
            if link is not None and not link.is_new:
                self._close_link(address)

    def close(self) -> list[PeerLink]:
        """Close all links and return them; their queues are still sent."""
        with self._lock:
            closed = [*self._links.values()]
            for address in [*self._links]:
                self._close_link(address)
        return closed

    def _open(self, address: str) -> PeerLink:
        if len(self._links) >= MAX_TEMPORARY_LINKS:
            self._close_link(next(iter(self._links)))
        link = self._open_link(address, lambda idle: self._close_idle(address, idle))
        self._links[address] = link
        return link

    def _close_idle(self, address: str, idle: PeerLink) -> None:
        with self._lock:
            if self._links.get(address) is idle:
                self._close_link(address)

    def _close_link(self, address: str) -> None:
        link = self._links.pop(address, None)
        if link is not None:
            link.close()
