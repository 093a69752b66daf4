"""Rate limits that targets name, which all nodes keep together.

The load that this answers is many nodes before one target.  A target that takes one
request a second gets nine from nine nodes that each keep to its limit, and an even
split of the limit leaves a node without a permit for nine seconds while others have
no request for that target at all.  So one node gives out the permits of a target, one
a request, and the others ask it.
"""

from dataclasses import dataclass, field
from datetime import timedelta

from runhatch_server.decisions._load import TIERS

TRIAL_RATE = 0.2
"""Requests a second that a target gets at least, whatever limit it names: without any
answer it cannot say that the limit is over."""
BURST = 3.0
BURST_SECONDS = 0.25
"""Permits that collect while nobody asks: so many, and what the rate gives in this
time.  A node that asks late would find the permits of meanwhile lapsed."""
RESERVES = (0.0, 0.5, 0.5, 1.0)
"""Permits that each tier leaves for more urgent ones, most urgent first."""
PERMIT_VALID = timedelta(milliseconds=250)
VALID_PERMITS = 1.0
"""How long a node may use a permit: so long, and while the rate gives so many more.
Those used late add to the next ones."""
LONGEST_TURN = timedelta(seconds=2)
"""How far ahead a node that gets no permit is told to ask again."""
SECOND = timedelta(seconds=1)


@dataclass(frozen=True, slots=True)
class LimitSeen:
    """What an answer said of its target's limit, in requests a second.

    Without a ``rate`` it named none.  ``at`` is when the answer came if it named one,
    else when its request was sent: answers overtake each other, and only one to a
    request that was sent after the limit was named shows that it is over.
    """

    rate: float | None
    at: timedelta

    def supersedes(self, known: "LimitSeen | None") -> bool:
        """Tell whether it is newer than what is ``known``."""
        if known is None:
            return self.rate is not None
        return self.at > known.at


def most_permits(rate: float) -> float:
    """Return how many permits may collect at ``rate`` a second."""
    return BURST + BURST_SECONDS * rate


@dataclass(slots=True)
class PermitBucket:
    """The permits of one target, on the node that gives them out.

    It begins empty: the node that gave them out before may just have given some.
    """

    rate: float
    filled_at: timedelta
    level: float = 0.0
    turn: timedelta = timedelta()
    """When the next node that gets no permit is to ask again."""

    def ask(self, tier: int, rate: float, now: timedelta) -> timedelta | None:
        """Take a permit for a request of ``tier``; ``rate`` is the present limit.

        Returns ``None`` if there is one, else how long to wait before asking again.
        Waits lie a permit apart, so that nodes do not ask together.
        """
        self._fill(max(rate, TRIAL_RATE), now)
        needed = 1.0 + RESERVES[tier]
        if self.level >= needed:
            self.level -= 1.0
            return None
        ready = now + SECOND * ((needed - self.level) / self.rate)
        turn = max(ready, self.turn + SECOND / self.rate)
        self.turn = max(ready, min(turn, now + LONGEST_TURN))
        return self.turn - now

    def _fill(self, rate: float, now: timedelta) -> None:
        collected = self.level + self.rate * ((now - self.filled_at) / SECOND)
        self.rate = rate
        self.level = min(collected, most_permits(rate))
        self.filled_at = now


@dataclass(slots=True)
class LimitedTarget:
    """One target's limit as a node knows it, and the permits that the node has."""

    seen: LimitSeen
    permits: list[timedelta] = field(default_factory=list)
    """Until when each may be used."""
    closed_until: list[timedelta] = field(
        default_factory=lambda: [timedelta(days=-1)] * TIERS
    )
    """By tier, when to ask for permits again."""
    waiting: int = 0
    """Requests that have asked for a permit and wait for the answer."""
    lapsed: int = 0
    """Permits that were not used in time and are not counted yet."""

    def opens_at(self, tier: int, now: timedelta) -> timedelta:
        """Return when a request of ``tier`` may be sent, or a permit asked for."""
        return now if self._has_permit(now) else self.closed_until[tier]

    def take(self, now: timedelta, asked: bool) -> bool:
        """Use a permit; tell whether there was one for this request.

        Those that have not ``asked`` leave the permits to those that wait for one.
        """
        if not self._has_permit(now):
            return False
        if not asked and len(self.permits) <= self.waiting:
            return False
        self.permits.pop(0)
        return True

    def add(self, now: timedelta) -> None:
        """Take in a permit."""
        rate = max(self.seen.rate or 0.0, TRIAL_RATE)
        self.permits.append(now + PERMIT_VALID + SECOND * (VALID_PERMITS / rate))

    def close(self, tier: int, until: timedelta) -> None:
        """Take in that there is no permit for ``tier`` and less urgent ones."""
        for each in range(tier, TIERS):
            self.closed_until[each] = max(self.closed_until[each], until)

    def count_lapsed(self, now: timedelta) -> int:
        """Return how many permits have lapsed since it was called last."""
        self._has_permit(now)
        lapsed, self.lapsed = self.lapsed, 0
        return lapsed

    def _has_permit(self, now: timedelta) -> bool:
        held = len(self.permits)
        self.permits = [until for until in self.permits if until > now]
        self.lapsed += held - len(self.permits)
        return bool(self.permits)


def share_of_rate(alive: int, lost: int) -> float:
    """Return the share of a limit that a node gives out which sees ``alive`` nodes.

    ``lost`` others were heard a while ago.  In a parted network those that most nodes
    can reach give out all of it, the others a part that stays below a half together.

    >>> share_of_rate(5, 4), share_of_rate(3, 6)
    (1.0, 0.3333333333333333)
    """
    return 1.0 if alive > lost else alive / (alive + lost)
