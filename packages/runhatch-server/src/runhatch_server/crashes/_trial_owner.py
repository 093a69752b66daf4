"""Chooses the one node that sends trials of a held trait."""

from datetime import timedelta

from runhatch_coordination import Clock, Membership, rank_names

MIN_UPTIME = timedelta(seconds=10)
"""Time after a node's start before it owns trials: until then it may not have received
recent ends, nor know all other nodes."""


class TrialOwner:
    """Whether this node owns the trials of a trait; thread-safe.

    The owner is chosen by rank among the nodes that are alive. A node to
    which no more than half of the nodes seem alive may be cut off, and owns none.
    """

    def __init__(self, membership: Membership, clock: Clock) -> None:
        self._membership = membership
        self._clock = clock
        self._started_at = clock.elapsed()

    def owns(self, trait: str) -> bool:
        """Return whether this node owns the trials of ``trait``."""
        if self._clock.elapsed() - self._started_at < MIN_UPTIME:
            return False
        alive = [vm.name for vm in self._membership.alive()]
        if 2 * len(alive) <= len(self._membership.facts()):
            return False
        return rank_names(trait, alive)[0] == self._membership.own.name
