"""Which of the targets that hold a model may be asked at all.

The load that this answers is a target that turns requests away: full for a moment, or
for as long as it says.  Where it alone holds a model there is nobody else to ask, and
each request would be sent to it again and again within milliseconds.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from datetime import timedelta

from runhatch_server.decisions._load import TargetLoad
from runhatch_server.fleet import Target

BUSY_HOLDS = timedelta(milliseconds=200)
"""How long a target that refused for load is passed over if there are others."""


@dataclass(frozen=True, slots=True)
class Tried:
    """Incarnations of targets to which one request was sent already.

    Those that ``failed`` it are asked once more if there is nobody else, those that
    it was ``turned_away`` from are not: what kept them from running it a moment ago
    still does.
    """

    failed: frozenset[str] = frozenset()
    turned_away: frozenset[str] = frozenset()

    def failed_at(self, target: str) -> "Tried":
        """Return the same with one more that failed it."""
        return replace(self, failed=self.failed | {target})

    def turned_away_at(self, target: str) -> "Tried":
        """Return the same with one more that turned it away."""
        return replace(self, turned_away=self.turned_away | {target})


@dataclass(frozen=True, slots=True)
class NoneWilling:
    """No target would take a request before ``after``; they rest if ``rest``."""

    after: timedelta
    rest: bool


def choose_candidates(
    holders: Iterable[Target],
    tried: Tried,
    load_of: Callable[[str], TargetLoad],
    now: timedelta,
) -> list[Target] | NoneWilling:
    """Return those of ``holders`` that a request may be sent to.

    Those that failed it, and those that are passed over for a moment, are left out
    if there are others.
    """
    loads = [(target, load_of(target.incarnation)) for target in holders]
    awake = [target for target, load in loads if now >= load.rests_until]
    willing = [t for t in awake if t.incarnation not in tried.turned_away]
    if not willing and awake:
        return NoneWilling(BUSY_HOLDS, rest=False)
    if not willing:
        return NoneWilling(min(load.rests_until for _, load in loads) - now, rest=True)
    fresh = [t for t in willing if t.incarnation not in tried.failed] or willing
    shut = {target.incarnation for target, load in loads if now < load.shut_until}
    return [t for t in fresh if t.incarnation not in shut] or fresh
