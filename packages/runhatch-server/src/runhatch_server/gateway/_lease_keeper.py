"""Keeps the lease of the orders, or leaves it to other nodes.

The holder loads the models that all nodes need.  If the holder cannot connect to any
target, another node should hold the lease.
"""

from collections.abc import Callable
from datetime import timedelta
from typing import Protocol

from runhatch_coordination import Clock, LeaseChange, LeaseRecord
from runhatch_server.residency import Orderer, Resignation

MIN_CANDIDATES = 3
MAX_CANDIDATES = 12
"""Bounds of the number of nodes that try to acquire the lease; if all did, reads of the
store would grow with the number of nodes."""
CANDIDATES_INTERVAL = timedelta(seconds=1)
"""Time without an orderer after which as many further nodes try: those before may all
be unable to connect to targets."""
MIN_TERM = timedelta(seconds=5)
"""Time for which a new holder keeps the lease even if it connects to no target.  If the
targets are down, all nodes fail alike, and the lease must not pass from one to the
next."""


class LeasePolicy:
    """Rules of one node on the orders' lease; used by the task that renews it.

    ``is_cut_off`` returns whether this node seems unable to connect to the targets that
    run models.
    """

    def __init__(self, clock: Clock, is_cut_off: Callable[[], bool]) -> None:
        self._clock = clock
        self._is_cut_off = is_cut_off
        self._acquired_at = timedelta(days=-1)
        self._vacant_since: timedelta | None = None

    def may_acquire(self) -> bool:
        """Return whether this node may acquire the lease."""
        return not self._is_cut_off()

    def must_resign(self, peer_count: int) -> bool:
        """Return whether this holder should leave the lease to one of its peers."""
        term = self._clock.elapsed() - self._acquired_at
        return peer_count > 0 and term >= MIN_TERM and self._is_cut_off()

    def record_acquired(self) -> None:
        """Record that this node has acquired the lease."""
        self._acquired_at = self._clock.elapsed()

    def candidate_count(self, has_orderer: bool) -> int:
        """Return how many nodes, in their order, may try to acquire the lease."""
        now = self._clock.elapsed()
        if has_orderer:
            self._vacant_since = None
            return MIN_CANDIDATES
        if self._vacant_since is None:
            self._vacant_since = now
        vacant_for = now - self._vacant_since
        count = MIN_CANDIDATES * (1 + vacant_for // CANDIDATES_INTERVAL)
        return min(count, MAX_CANDIDATES)


class LeasePeers(Protocol):
    """Exchange of the orders' lease with peers."""

    def has_active_orderer(self) -> bool:
        """Return whether a recent renewal of the lease is known."""

    def record_lease(self, record: LeaseRecord | None) -> None:
        """Record the lease as read from the store."""

    def publish_renewal(self, epoch: int, renewal: int) -> None:
        """Publish that this node is the orderer."""

    def publish_resignation(self, resignation: Resignation) -> None:
        """Publish that this node is no longer the orderer."""


class LeaseKeeper:
    """Renews, acquires or resigns the orders' lease of the node ``name``."""

    def __init__(
        self, name: str, orderer: Orderer, peers: LeasePeers, policy: LeasePolicy
    ) -> None:
        self._name = name
        self._orderer = orderer
        self._peers = peers
        self._policy = policy

    def update(self, ranked: list[str]) -> bool:
        """Renew the lease and publish it, or try to acquire one that is free.

        ``ranked`` are the names of the nodes that are alive, the preferred holder
        first.  Returns whether the lease was acquired.

        Other nodes measure expiry from the newest renewal that they received.  If
        renewals were sent with the heartbeat, they would be up to a second old, and
        delay a takeover by as much.
        """
        if not self._is_holder_or_candidate(ranked):
            return False
        change = self._orderer.keep_lease(eager=ranked[0] == self._name)
        is_acquired = change is LeaseChange.ACQUIRED
        if is_acquired:
            self._policy.record_acquired()
        resignation = self._orderer.resign_if_lapsing()
        if resignation is None and self._policy.must_resign(len(ranked) - 1):
            resignation = self._orderer.resign("connects to no target")
        if resignation is not None:
            self._peers.publish_resignation(resignation)
        record = self._orderer.record
        self._peers.record_lease(record)
        epoch = self._orderer.holds_lease()
        if epoch is not None and record is not None:
            self._peers.publish_renewal(epoch.number, record.renewal)
        return is_acquired

    def _is_holder_or_candidate(self, ranked: list[str]) -> bool:
        has_orderer = self._peers.has_active_orderer()
        count = self._policy.candidate_count(has_orderer)
        if self._orderer.holds_lease() is not None:
            return True
        if has_orderer or self._name not in ranked[:count]:
            return False
        return self._policy.may_acquire()
