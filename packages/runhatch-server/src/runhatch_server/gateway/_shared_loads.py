"""What nodes have outstanding at targets, for the exchange between nodes."""

import threading
from collections.abc import Mapping

from runhatch_coordination import Clock
from runhatch_server.decisions import LoadBook, LoadShare

Shares = Mapping[str, LoadShare]


class SharedLoads:
    """The part of a balancer's book that nodes tell each other.

    Safe for many threads; ``lock`` guards ``book``.
    """

    def __init__(self, book: LoadBook, lock: threading.Lock, clock: Clock) -> None:
        self._book = book
        self._lock = lock
        self._clock = clock

    def own(self) -> dict[str, LoadShare]:
        """Return what this node has outstanding at each target."""
        now = self._clock.elapsed()
        with self._lock:
            return self._book.shares(now)

    def of_peer(self, node: str, shares: Shares, whole: bool) -> None:
        """Take in what ``node`` has outstanding at some targets.

        If ``whole``, it has nothing at others.
        """
        now = self._clock.elapsed()
        with self._lock:
            self._book.peer_shares(node, shares, whole, now)

    def of_domain(self, domain: str, shares: Shares, whole: bool) -> None:
        """Take in what the nodes of a failure domain have outstanding together."""
        now = self._clock.elapsed()
        with self._lock:
            self._book.domain_shares(domain, shares, whole, now)

    def of_all(self, shares: Shares, whole: bool) -> None:
        """Take in what all other nodes have outstanding together."""
        now = self._clock.elapsed()
        with self._lock:
            self._book.all_shares(shares, whole, now)

    def gathered(self) -> dict[str, LoadShare]:
        """Return what this node has outstanding, with those that told it themselves."""
        now = self._clock.elapsed()
        with self._lock:
            return self._book.gathered(now)

    def totals(self) -> dict[str, LoadShare]:
        """Return what all nodes have outstanding, as far as it is known."""
        now = self._clock.elapsed()
        with self._lock:
            return self._book.totals(now)
