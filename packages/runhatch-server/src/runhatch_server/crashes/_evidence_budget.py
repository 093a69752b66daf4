"""How much evidence about ended targets a node may send.

A caller repeats a request that crashes its target within a tenth of a second, at any
node, so a few suspects of a recent end go at once, to all linked peers. Several targets
that end at once leave thousands of suspects: these go to some peers only, in intervals.
The last of them arrive seconds later, a few at a time, and are not urgent either.
"""

from dataclasses import dataclass
from datetime import timedelta

INTERVAL = timedelta(milliseconds=200)
RECENT_AGE = timedelta(milliseconds=500)
"""Age up to which an end is recent."""
MAX_AT_ONCE = 20
"""Maximum number of suspects sent to all linked peers in an interval."""
MAX_PER_INTERVAL = 120
"""Maximum number of suspects sent to some peers in an interval, about 20 bytes each: 36
KB a second to three peers."""


@dataclass(frozen=True, slots=True)
class EvidenceAllowance:
    """Numbers of suspects that may be sent to all linked peers, or to some only."""

    to_all: int = 0
    to_some: int = 0


@dataclass(slots=True)
class EvidenceBudget:
    """What a node has sent in the interval that began at ``started_at``.

    >>> budget = EvidenceBudget()
    >>> budget.take(5, timedelta(), timedelta(seconds=1))
    EvidenceAllowance(to_all=5, to_some=0)
    >>> budget.take(500, timedelta(), timedelta(seconds=1.1))
    EvidenceAllowance(to_all=0, to_some=0)
    >>> budget.take(500, timedelta(), timedelta(seconds=1.2))
    EvidenceAllowance(to_all=0, to_some=120)
    >>> budget.take(5, timedelta(seconds=2), timedelta(seconds=1.4))
    EvidenceAllowance(to_all=0, to_some=5)
    """

    started_at: timedelta = timedelta(days=-1)
    sent_at_once: int = 0

    def take(self, pending: int, age: timedelta, now: timedelta) -> EvidenceAllowance:
        """Return how many of ``pending`` suspects may be sent now.

        ``age`` is that of the latest end among them.
        """
        is_due = now - self.started_at >= INTERVAL
        if is_due:
            self.started_at, self.sent_at_once = now, 0
        if age <= RECENT_AGE and self.sent_at_once + pending <= MAX_AT_ONCE:
            self.sent_at_once += pending
            return EvidenceAllowance(to_all=pending)
        if is_due:
            return EvidenceAllowance(to_some=min(pending, MAX_PER_INTERVAL))
        return EvidenceAllowance()
