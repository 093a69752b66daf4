"""Usage caps of workspaces over all nodes, counted by one node for each workspace.

Callers of a workspace reach any node, and its requests are few and large: a cap of
4,200 tokens a second admits fewer than two requests a second over ninety nodes. A share
of the cap for each node would admit none of them, and a share that follows demand
arrives after the request. So the node that receives a request asks the one that counts
the workspace's usage, before it sends the request to a target.

When that node stops, its successor cannot know what it had granted: it starts with an
empty bucket. Until all nodes know of the successor, a substitute grants a quarter of
the cap, and no more than three quarters of a second of it altogether, which together
with a counting node that others still reach stays within a tenth over the cap in any
eight seconds.

Nodes that see fewer nodes alive than they have lost may be cut off from the others,
which go on granting the cap. All such groups together grant a tenth of it.
"""

from dataclasses import dataclass
from datetime import timedelta

from runhatch_server.routing import UsageCap

SUBSTITUTE_SHARE = 0.25
"""Share of a cap that a substitute grants."""
SUBSTITUTE_TIME = timedelta(seconds=3)
"""How long a substitute's bucket fills; then the successor of a node that stopped is
known to all nodes."""
SUBSTITUTE_PAUSE = timedelta(seconds=10)
"""Time without a request after which a node may be a substitute once more."""
MINORITY_SHARE = 0.1
"""Share of a cap that all nodes grant together that are cut off from the others."""
MIN_RETRY_DELAY = timedelta(milliseconds=20)
"""Shortest wait that is stated to a node whose request was denied."""
SECOND = timedelta(seconds=1)


@dataclass(slots=True)
class UsageBucket:
    """Token bucket of one workspace on the node that counts its usage.

    ``level`` may be spent at ``filled_at``.
    """

    filled_at: timedelta
    level: float = 0.0

    def take(self, amount: float, cap: UsageCap, now: timedelta) -> timedelta | None:
        """Take ``amount`` under ``cap``.

        Return ``None`` if it was taken, else the time until it can be. A request that
        alone exceeds the burst is admitted by a full bucket, which then owes the rest;
        it would never be admitted otherwise.
        """
        self._fill(cap, now)
        needed = min(amount, cap.burst)
        if self.level >= needed:
            self.level -= amount
            return None
        wait = SECOND * ((needed - self.level) / cap.rate)
        return max(wait, MIN_RETRY_DELAY)

    def give_back(self, amount: float) -> None:
        """Return ``amount`` that was taken for a request that was not run."""
        self.level += amount

    def _fill(self, cap: UsageCap, now: timedelta) -> None:
        filled = self.level + cap.rate * ((now - self.filled_at) / SECOND)
        self.level = min(filled, cap.burst)
        self.filled_at = now


@dataclass(slots=True)
class SubstituteBucket:
    """What a node grants while the node that counts the usage does not answer."""

    started_at: timedelta
    asked_at: timedelta
    granted: float = 0.0

    def take(self, amount: float, cap: UsageCap, now: timedelta) -> timedelta | None:
        """Take ``amount`` as :meth:`UsageBucket.take` does."""
        if now - self.asked_at >= SUBSTITUTE_PAUSE:
            self.started_at, self.granted = now, 0.0
        self.asked_at = now
        filled_for = min(now - self.started_at, SUBSTITUTE_TIME) / SECOND
        level = cap.rate * SUBSTITUTE_SHARE * filled_for - self.granted
        if level >= amount:
            self.granted += amount
            return None
        wait = SECOND * ((amount - level) / (cap.rate * SUBSTITUTE_SHARE))
        return max(wait, MIN_RETRY_DELAY)


def granted_share(alive: int, lost: int) -> float:
    """Return the share of a cap that nodes grant of which ``alive`` are in touch.

    ``lost`` nodes were alive a short time ago.

    >>> granted_share(5, 4), granted_share(1, 9)
    (1.0, 0.01)
    """
    if alive > lost:
        return 1.0
    return MINORITY_SHARE * alive / (alive + lost)


def initial_level(cap: UsageCap, alone_for: timedelta) -> float:
    """Return the level of a new bucket of a node that counts usage for ``alone_for``.

    Within that time no other node granted any of it.
    """
    return min(cap.burst, cap.rate * (alone_for / SECOND))
