"""Who is sent on at once, who waits a moment, and who is refused.

The load that this answers is a clump of prompts at a target that makes streams.  An
engine reads prompts between the tokens of its streams, and an event holds several
tokens: prompts of 300 ms read one after another part the events of every stream
there by as much.  One prompt too many then makes some twenty answers late, where
refusing it, or sending it a moment later, costs one.
"""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from runhatch_server.decisions._load import LATE_TIER
from runhatch_server.decisions._request import GatewayRequest
from runhatch_server.decisions._scoring import Scored
from runhatch_server.refusals import Reason
from runhatch_server.routing import RequestKind

PAUSE_SHARES = (0.85, 0.75, 0.75, 0.6)
"""Share of the longest allowed pause that prompts may cause, by rank.  What peers
sent in the last 25 ms is not known yet, a prompt or two; the less urgent leave room
for the more urgent, late ones for all."""
EMPTY_QUEUE_MS = 15.0
"""Prompt reading ahead up to which a target counts as having none: a prompt that
alone takes longer than the share allows is sent then, or it never would be."""
HOLD_SHARE = 0.25
"""Share of its goal that a request waits for a queue to shorten: queues of some
200 ms are read in that time, and what is left of the goal covers its own prompt."""
SHORTEST_HOLD = timedelta(milliseconds=10)
"""Between two looks at queues; prompts take some 20 ms to read."""
BEGIN_SLACK = timedelta(milliseconds=200)
"""A late answer is begun only if it is predicted so long before its caller leaves."""
MOST_BUSY = (2.0, 1.3, 1.3, 1.0)
"""Shares of a target's time that prompts sent of late may take before further
requests are refused, by tier: beyond 1.0 streams in progress get one token a chunk
read, some 110 ms apart, and long ones do not end in time.  Clumps and the most urgent
may go beyond for a moment, late requests take what the others leave."""
QUEUE_MS = 200.0
"""Prompt reading ahead, by which a target shows that it does not keep up: shares are
worked out from speeds that are learned, and a target whose queue is short is not as
busy as they say."""
BUSY_RETRY = timedelta(seconds=1)
"""When a caller may come back whose targets are all too busy: what keeps them so
lasts some seconds."""


@dataclass(frozen=True, slots=True)
class Admitted:
    """Send it to ``best``, with the rank ``tier``."""

    best: Scored
    tier: int


@dataclass(frozen=True, slots=True)
class Postponed:
    """Look again after ``pause``: the queue at ``best`` is about to be short enough."""

    best: Scored
    pause: timedelta
    until: timedelta


@dataclass(frozen=True, slots=True)
class Rejected:
    """No target would serve it in time; coming back may help ``after``."""

    reason: Reason
    best: Scored
    after: timedelta


Judgement = Admitted | Postponed | Rejected
FindBest = Callable[[int, float], Scored]
"""Returns the best target for a rank and the longest pause that it may cause, in ms."""


def longest_pause_ms(max_gap: timedelta | None, tier: int) -> float:
    """Return the longest pause that a request of ``tier`` may cause, in milliseconds.

    >>> longest_pause_ms(timedelta(milliseconds=200), 3)
    120.0
    """
    if max_gap is None:
        return float("inf")
    return max_gap / timedelta(milliseconds=1) * PAUSE_SHARES[tier]


def request_tier(request: GatewayRequest) -> int:
    """Return the rank of a request that is in time."""
    return min(max(request.route.priority, 0), LATE_TIER - 1)


def judge(
    request: GatewayRequest,
    max_gap: timedelta | None,
    find_best: FindBest,
    now: timedelta,
) -> Judgement:
    """Decide about ``request``, whose targets' streams may pause for ``max_gap``."""
    tier = request_tier(request)
    allowed_ms = longest_pause_ms(max_gap, tier)
    best = find_best(tier, allowed_ms)
    if _keeps_up_no_more(best, tier):
        return Rejected(Reason.TOO_BUSY, best, BUSY_RETRY)
    if not _late_by(request, best.predicted_ms, now):
        return _spaced(request, best, tier, allowed_ms, now)
    # It gives way to requests in time, and is still worth something late.
    tier = LATE_TIER
    allowed_ms = longest_pause_ms(max_gap, tier)
    best = find_best(tier, allowed_ms)
    if _keeps_up_no_more(best, tier) or _parts_events(best, allowed_ms):
        return Rejected(Reason.TOO_BUSY, best, BUSY_RETRY)
    late_by = _too_late(request, best, now)
    if late_by > timedelta():
        return Rejected(Reason.GOAL_UNMEETABLE, best, max(late_by, BUSY_RETRY))
    return Admitted(best, tier)


def _spaced(
    request: GatewayRequest,
    best: Scored,
    tier: int,
    allowed_ms: float,
    now: timedelta,
) -> Judgement:
    """Send ``request`` on unless streams would pause too long; then wait or refuse."""
    if not _parts_events(best, allowed_ms):
        return Admitted(best, tier)
    beyond = timedelta(milliseconds=best.pause_ms - allowed_ms)
    until = request.received + request.route.goal * HOLD_SHARE
    if now + beyond >= until:
        return Rejected(Reason.TOO_BUSY, best, max(beyond, BUSY_RETRY))
    return Postponed(best, max(beyond, SHORTEST_HOLD), until)


def _parts_events(best: Scored, allowed_ms: float) -> bool:
    """Tell whether streams at the best target would pause too long."""
    return best.pause_ms > allowed_ms and best.queue_ms > EMPTY_QUEUE_MS


def _late_by(request: GatewayRequest, predicted_ms: float, now: timedelta) -> timedelta:
    """Return by how much the answer would begin too late, zero if in time."""
    begins = now + timedelta(milliseconds=predicted_ms)
    if request.route.kind is RequestKind.STREAM:
        return max(timedelta(), begins - request.goal_at)
    return max(timedelta(), begins - request.deadline)


def _keeps_up_no_more(best: Scored, tier: int) -> bool:
    """Tell whether streams in progress at the best target would suffer."""
    ahead_ms = best.predicted_ms - best.work_ms
    return best.busy > MOST_BUSY[tier] and ahead_ms > QUEUE_MS


def _too_late(request: GatewayRequest, best: Scored, now: timedelta) -> timedelta:
    """Return by how much an answer would begin or end too late to be of any use."""
    begins = now + timedelta(milliseconds=best.predicted_ms)
    output = 0 if request.work is None else request.work.expected_output
    ends = begins + timedelta(milliseconds=output * best.token_ms)
    return max(begins + BEGIN_SLACK - request.begin_by, ends - request.deadline)
