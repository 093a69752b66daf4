"""The orderer, which sends orders to targets, as known from peers and the store."""

from datetime import timedelta

from runhatch_coordination import Clock
from runhatch_server.observability import Metrics, log_change
from runhatch_server.peers import OrdererNotice

ORDERER_TIMEOUT = timedelta(seconds=1.5)
"""Time without a renewal after which the lease is checked in the store: two renewal
intervals, as each renewal is published at once."""
NEVER = timedelta(days=-1)
UNKNOWN_RENEWAL = -1
"""Renewal number of a holder of which only the epoch is known."""


class KnownOrderer:
    """The lease holder with the highest epoch known; called by a thread for each peer.

    Late messages of a previous holder are recognized by their lower epoch.
    """

    def __init__(self, clock: Clock, metrics: Metrics) -> None:
        self._clock = clock
        self._metrics = metrics
        self._latest_renewal = (0, UNKNOWN_RENEWAL)
        self._renewed_at = NEVER
        self._logged_behind: dict[str, int] = {}
        self.address = ""
        self.epoch = 0
        self.newest_notice = OrdererNotice(0, UNKNOWN_RENEWAL)
        """The latest renewal published by the holder."""

    @property
    def renewed_recently(self) -> bool:
        """Whether a renewal arrived within ``ORDERER_TIMEOUT``."""
        return self._clock.elapsed() - self._renewed_at < ORDERER_TIMEOUT

    def is_outdated(self, epoch: int, address: str) -> bool:
        """Return whether a higher epoch than that of the node at ``address`` is known.

        Logged once for each epoch of a node: while such a node still sends orders,
        targets receive a lower fence after a higher one.
        """
        if epoch >= self.epoch:
            return False
        self._metrics.stale_order_updates.inc()
        if self._logged_behind.get(address) != epoch:
            self._logged_behind[address] = epoch
            log_change(
                "orderer_behind",
                address=address,
                epoch=epoch,
                newest=self.epoch,
                newest_address=self.address,
            )
        return True

    def record_holder(self, address: str, epoch: int) -> bool:
        """Record the holder of the lease; return whether its epoch is higher."""
        is_newer = epoch > self.epoch
        if is_newer:
            log_change("orderer", address=address, epoch=epoch, before=self.epoch)
        self.address = address
        self.epoch = epoch
        return is_newer

    def record_renewal(self, epoch: int, renewal: int) -> bool:
        """Record a renewal; return whether it is new.

        A holder that cannot renew its lease may still send messages.
        """
        if (epoch, renewal) <= self._latest_renewal:
            return False
        self._latest_renewal = (epoch, renewal)
        self._renewed_at = self._clock.elapsed()
        return True

    def record_release(self, epoch: int) -> None:
        """Record that the holder of ``epoch`` has released the lease."""
        if epoch >= self.epoch:
            self._renewed_at = NEVER
