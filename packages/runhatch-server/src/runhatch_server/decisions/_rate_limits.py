"""Rate limits announced by targets, enforced over all nodes with permits.

One node issues the permits of a target, one per request, and the others request them.
If each of nine nodes applied a limit of 1/s itself, the target would get nine requests
a second; an even split would let a node send only one in nine seconds, even while the
others have no requests for that target.
"""

from dataclasses import dataclass, field
from datetime import timedelta

from runhatch_server.decisions._load import TIERS

TRIAL_RATE = 0.2
"""Minimum requests per second sent to a target, even if its limit is lower. Only its
answers show when the limit ends."""
BURST = 3.0
BURST_SECONDS = 0.25
"""Capacity of a bucket: ``BURST`` permits plus those of ``BURST_SECONDS`` at the rate.
Without it, permits would be lost whenever a node requests one late."""
RESERVES = (0.0, 0.5, 0.5, 1.0)
"""Permits that each tier leaves for more urgent tiers, most urgent tier first."""
PERMIT_VALID = timedelta(milliseconds=250)
VALID_PERMITS = 1.0
"""Validity of a permit: ``PERMIT_VALID`` plus the time in which the rate yields
``VALID_PERMITS``. Permits used late are sent in addition to newer ones, which limits
how long they may be valid."""
LONGEST_TURN = timedelta(seconds=2)
"""Maximum delay after which a node that was denied a permit requests one again."""
SECOND = timedelta(seconds=1)


@dataclass(frozen=True, slots=True)
class LimitSeen:
    """Rate limit in an answer of a target, in requests per second.

    ``rate`` is ``None`` if the answer announced no limit. ``at`` is the arrival time of
    an answer with a limit, and the send time of the request otherwise. Answers may
    arrive out of order, so only a request sent after the limit was announced can show
    that it has ended.
    """

    rate: float | None
    at: timedelta

    def supersedes(self, known: "LimitSeen | None") -> bool:
        """Return whether this replaces the limit in ``known``."""
        if known is None:
            return self.rate is not None
        return self.at > known.at


def most_permits(rate: float) -> float:
    """Return the capacity of a bucket filled at ``rate`` permits per second."""
    return BURST + BURST_SECONDS * rate


@dataclass(slots=True)
class PermitBucket:
    """Token bucket for one target, on the node that issues its permits.

    It starts empty, because the node that issued permits before may just have issued
    some.
    """

    rate: float
    filled_at: timedelta
    level: float = 0.0
    turn: timedelta = timedelta()
    """Time at which the last denied node is to request a permit again."""

    def ask(self, tier: int, rate: float, now: timedelta) -> timedelta | None:
        """Take a permit for a request of ``tier`` at the current limit ``rate``.

        Returns ``None`` if a permit was taken, else the delay before requesting one
        again. Successive delays are one permit apart, so that nodes do not all retry
        at once.
        """
        self._refill(max(rate, TRIAL_RATE), now)
        needed = 1.0 + RESERVES[tier]
        if self.level >= needed:
            self.level -= 1.0
            return None
        ready = now + SECOND * ((needed - self.level) / self.rate)
        turn = max(ready, self.turn + SECOND / self.rate)
        self.turn = max(ready, min(turn, now + LONGEST_TURN))
        return self.turn - now

    def _refill(self, rate: float, now: timedelta) -> None:
        refilled = self.level + self.rate * ((now - self.filled_at) / SECOND)
        self.rate = rate
        self.level = min(refilled, most_permits(rate))
        self.filled_at = now


@dataclass(slots=True)
class LimitedTarget:
    """The rate limit of one target as known to a node, and the node's permits."""

    seen: LimitSeen
    permits: list[timedelta] = field(default_factory=list)
    """Expiry time of each permit."""
    closed_until: list[timedelta] = field(
        default_factory=lambda: [timedelta(days=-1)] * TIERS
    )
    """Time from which permits may be requested again, by tier."""
    waiting: int = 0
    """Number of requests that wait for a permit that they requested."""
    lapsed: int = 0
    """Expired permits not yet returned by :meth:`count_lapsed`."""

    def opens_at(self, tier: int, now: timedelta) -> timedelta:
        """Return when a request of ``tier`` may be sent, or request a permit."""
        return now if self._has_permit(now) else self.closed_until[tier]

    def take(self, now: timedelta, asked: bool) -> bool:
        """Use a permit and return whether there was one for this request.

        Requests that have not ``asked`` for a permit leave the permits to those that
        wait for one.
        """
        if not self._has_permit(now):
            return False
        if not asked and len(self.permits) <= self.waiting:
            return False
        self.permits.pop(0)
        return True

    def add(self, now: timedelta) -> None:
        """Add a permit received at ``now``."""
        rate = max(self.seen.rate or 0.0, TRIAL_RATE)
        self.permits.append(now + PERMIT_VALID + SECOND * (VALID_PERMITS / rate))

    def close(self, tier: int, until: timedelta) -> None:
        """Record that ``tier`` and less urgent tiers get no permit before ``until``."""
        for closed in range(tier, TIERS):
            self.closed_until[closed] = max(self.closed_until[closed], until)

    def count_lapsed(self, now: timedelta) -> int:
        """Return how many permits expired since the previous call."""
        self._has_permit(now)
        lapsed, self.lapsed = self.lapsed, 0
        return lapsed

    def _has_permit(self, now: timedelta) -> bool:
        count = len(self.permits)
        self.permits = [expiry for expiry in self.permits if expiry > now]
        self.lapsed += count - len(self.permits)
        return bool(self.permits)


def share_of_rate(alive: int, lost: int) -> float:
    """Return the share of a limit that a node issues that sees ``alive`` nodes.

    ``lost`` nodes were seen before but not recently. In a network partition, nodes in
    the majority issue the whole limit, the others a proportional part below one half.

    >>> share_of_rate(5, 4), share_of_rate(3, 6)
    (1.0, 0.3333333333333333)
    """
    return 1.0 if alive > lost else alive / (alive + lost)
