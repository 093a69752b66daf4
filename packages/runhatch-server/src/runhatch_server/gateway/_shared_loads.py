"""Locked access to the outstanding loads that nodes exchange."""

import threading
from collections.abc import Mapping

from runhatch_coordination import Clock
from runhatch_server.decisions import KnownPrompts, LoadBook, LoadShare

Shares = Mapping[str, LoadShare]


class SharedLoads:
    """The part of a balancer's load book that nodes exchange.

    Thread-safe; ``lock`` guards ``book``.
    """

    def __init__(self, book: LoadBook, lock: threading.Lock, clock: Clock) -> None:
        self._book = book
        self._lock = lock
        self._clock = clock

    def own(self) -> dict[str, LoadShare]:
        """Return the outstanding load of this node by target."""
        now = self._clock.elapsed()
        with self._lock:
            return self._book.own_shares(now)

    def count_own(self, target: str) -> int:
        """Return how many requests of this node were sent to ``target``."""
        with self._lock:
            own = self._book.load(target).own_requests.values()
            return sum(not outstanding.held for outstanding in own)

    def known_prompts(self, target: str) -> KnownPrompts:
        """Return the prompts that are known to be queued at ``target``."""
        now = self._clock.elapsed()
        with self._lock:
            load = self._book.load(target)
            total = load.total(now)
            start_ms = self._book.rates.base_ms * load.work_time.current_factor(now)
            return KnownPrompts(sum(total.waiting_ms), total.waiting, start_ms)

    def apply_peer(self, node: str, shares: Shares, whole: bool) -> None:
        """Apply the outstanding load of ``node`` at some targets.

        If ``whole``, it has none at any other target.
        """
        now = self._clock.elapsed()
        with self._lock:
            self._book.record_peer_shares(node, shares, whole, now)

    def apply_domain(self, domain: str, shares: Shares, whole: bool) -> None:
        """Apply the total outstanding load of the nodes of a failure domain."""
        now = self._clock.elapsed()
        with self._lock:
            self._book.record_domain_shares(domain, shares, whole, now)

    def apply_total(self, shares: Shares, whole: bool) -> None:
        """Apply the total outstanding load of all other nodes."""
        now = self._clock.elapsed()
        with self._lock:
            self._book.record_total_shares(shares, whole, now)

    def lasting_work_times(self) -> dict[str, float]:
        """Return the lasting work time factor of each target that stated it."""
        now = self._clock.elapsed()
        with self._lock:
            return self._book.lasting_work_times(now)

    def own_and_peers(self) -> dict[str, LoadShare]:
        """Return the load of this node plus that of nodes that sent theirs directly."""
        now = self._clock.elapsed()
        with self._lock:
            return self._book.direct_totals(now)

    def totals(self) -> dict[str, LoadShare]:
        """Return the known outstanding load of all nodes."""
        now = self._clock.elapsed()
        with self._lock:
            return self._book.totals(now)
