"""Which node orders the targets, by what peers and the store tell."""

from datetime import timedelta

from runhatch_coordination import Clock
from runhatch_server.observability import Metrics, log_change
from runhatch_server.peers import OrdererNotice

ORDERER_SILENT = timedelta(seconds=1.5)
"""Time without a renewal after which the orderer's lease is looked at: two renewals,
each told at once."""
NEVER = timedelta(days=-1)
NO_RENEWAL = -1
"""Stands for a holder of which only its epoch has been heard."""


class KnownOrderer:
    """The holder with the newest epoch that was heard of; used by one thread a peer.

    What an earlier holder still tells is told from it by its lower epoch.
    """

    def __init__(self, clock: Clock, metrics: Metrics) -> None:
        self._clock = clock
        self._metrics = metrics
        self._renewal = (0, NO_RENEWAL)
        self._heard_at = NEVER
        self._behind: dict[str, int] = {}
        self.address = ""
        self.epoch = 0
        self.newest_notice = OrdererNotice(0, NO_RENEWAL)
        """What the holder told of its last renewal."""

    @property
    def is_heard(self) -> bool:
        """Whether the holder has renewed its lease lately."""
        return self._clock.elapsed() - self._heard_at < ORDERER_SILENT

    def is_behind(self, epoch: int, address: str) -> bool:
        """Tell whether a later epoch than that of the node at ``address`` is known.

        Logged once for each epoch of a node: while it still orders, targets are
        given a lower fence after a higher one.
        """
        if epoch >= self.epoch:
            return False
        self._metrics.orderers_behind.inc()
        if self._behind.get(address) != epoch:
            self._behind[address] = epoch
            log_change(
                "orderer_behind",
                address=address,
                epoch=epoch,
                newest=self.epoch,
                newest_address=self.address,
            )
        return True

    def learn(self, address: str, epoch: int) -> bool:
        """Take in who holds the lease, and tell whether that is another epoch."""
        is_newer = epoch > self.epoch
        if is_newer:
            log_change("orderer", address=address, epoch=epoch, before=self.epoch)
        self.address = address
        self.epoch = epoch
        return is_newer

    def renewed(self, epoch: int, renewal: int) -> bool:
        """Note a renewal, and tell whether it is a new one.

        A holder that cannot renew may be heard all the same.
        """
        if (epoch, renewal) <= self._renewal:
            return False
        self._renewal = (epoch, renewal)
        self._heard_at = self._clock.elapsed()
        return True

    def resigned(self, epoch: int) -> None:
        """Note that the holder of ``epoch`` orders no longer."""
        if epoch >= self.epoch:
            self._heard_at = NEVER
