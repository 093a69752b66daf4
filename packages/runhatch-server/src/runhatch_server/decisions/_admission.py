"""Admission control: whether a request is sent now, delayed briefly, or refused.

An engine reads prompts between the tokens of its streams, so a burst of prompts delays
the events of every stream on that target: prompts that take 300 ms to read delay them
by as much. One prompt too many makes about twenty answers late; refusing or delaying it
affects only one.
"""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from runhatch_server.decisions._load import LATE_TIER
from runhatch_server.decisions._request import GatewayRequest
from runhatch_server.decisions._scoring import ScoredTarget
from runhatch_server.refusals import Reason
from runhatch_server.routing import RequestKind

MAX_PAUSE_SHARES = (0.85, 0.75, 0.75, 0.6)
"""Share of the maximum allowed pause that prompts may cause, by tier. The remainder
covers the one or two prompts that peers sent within the last 25 ms and have not
reported yet. The share is smaller for less urgent tiers, and smallest for late
requests, so that more urgent prompts can still be sent."""
MAX_EMPTY_QUEUE_MS = 15.0
"""Queued prompt reading up to which a target's queue counts as empty. A prompt that
alone exceeds the allowed pause is sent to an empty queue; otherwise it would never be
sent."""
MAX_WAIT_SHARE = 0.25
"""Share of its goal that a request may wait for a queue to shorten. Queues of about
200 ms are read in that time, and the rest of the goal covers the request's own
prompt."""
MIN_QUEUE_POLL_INTERVAL = timedelta(milliseconds=10)
"""Minimum interval between two checks of the queues; reading a prompt takes about
20 ms."""
MIN_START_SLACK = timedelta(milliseconds=200)
"""A late answer is started only if it is predicted to begin at least this long before
its caller disconnects."""
MAX_ADMITTED_BUSY = (2.0, 1.3, 1.3, 1.0)
"""Share of a target's time that recently sent prompts may take before further
requests are refused, by tier. Above 1.0, streams in progress get one token per prompt
chunk, about 110 ms apart, and long streams miss their deadline. The limits above 1.0
admit short bursts and the most urgent tier; late requests use only the time that the
others leave."""
OVERLOAD_QUEUE_MS = 200.0
"""Queued prompt reading above which a target counts as overloaded. Busy shares come
from learned speeds, so a target with a short queue is less busy than its share
says."""
BUSY_RETRY_DELAY = timedelta(seconds=1)
"""Delay before a caller should retry when all targets are too busy; overload lasts a
few seconds."""


@dataclass(frozen=True, slots=True)
class Admitted:
    """The request is to be sent to ``best`` at priority ``tier``."""

    best: ScoredTarget
    tier: int


@dataclass(frozen=True, slots=True)
class Postponed:
    """The request waits for the queue at ``best`` to shorten.

    Admission is decided again after ``retry_after``. The request waits until
    ``wait_until`` at most.
    """

    best: ScoredTarget
    retry_after: timedelta
    wait_until: timedelta


@dataclass(frozen=True, slots=True)
class Rejected:
    """No target can serve the request in time; it may be retried after a delay.

    ``best`` is the target that came closest.
    """

    reason: Reason
    best: ScoredTarget
    retry_after: timedelta


AdmissionDecision = Admitted | Postponed | Rejected
FindBest = Callable[[int, float], ScoredTarget]
"""Returns the best target for a tier and a maximum stream pause in milliseconds."""


def stream_pause_limit_ms(max_gap: timedelta | None, tier: int) -> float:
    """Return the maximum stream pause that ``tier`` may cause, in milliseconds.

    It is infinite if ``max_gap`` is ``None``.

    >>> stream_pause_limit_ms(timedelta(milliseconds=200), 3)
    120.0
    """
    if max_gap is None:
        return float("inf")
    return max_gap / timedelta(milliseconds=1) * MAX_PAUSE_SHARES[tier]


def request_tier(request: GatewayRequest) -> int:
    """Return the tier of a request that can still be answered on time."""
    return min(max(request.priority, 0), LATE_TIER - 1)


def decide_admission(
    request: GatewayRequest,
    max_gap: timedelta | None,
    find_best: FindBest,
    now: timedelta,
) -> AdmissionDecision:
    """Decide whether ``request`` is admitted, postponed or rejected.

    ``max_gap`` is the longest pause allowed between events of the targets' streams,
    ``None`` if unlimited.
    """
    tier = request_tier(request)
    max_pause_ms = stream_pause_limit_ms(max_gap, tier)
    best = find_best(tier, max_pause_ms)
    if _is_overloaded(best, tier):
        return Rejected(Reason.TOO_BUSY, best, BUSY_RETRY_DELAY)
    if not _lateness(request, best.predicted_ms, now):
        return _check_stream_pause(request, best, tier, max_pause_ms, now)
    # A late answer still has some value, but has the lowest priority.
    tier = LATE_TIER
    max_pause_ms = stream_pause_limit_ms(max_gap, tier)
    best = find_best(tier, max_pause_ms)
    if _is_overloaded(best, tier) or _delays_streams(best, max_pause_ms):
        return Rejected(Reason.TOO_BUSY, best, BUSY_RETRY_DELAY)
    missed_by = _missed_by(request, best, now)
    if missed_by > timedelta():
        return Rejected(Reason.GOAL_UNMEETABLE, best, max(missed_by, BUSY_RETRY_DELAY))
    return Admitted(best, tier)


def _check_stream_pause(
    request: GatewayRequest,
    best: ScoredTarget,
    tier: int,
    max_pause_ms: float,
    now: timedelta,
) -> AdmissionDecision:
    """Admit ``request``, or postpone or reject it if streams would pause too long."""
    if not _delays_streams(best, max_pause_ms):
        return Admitted(best, tier)
    excess = timedelta(milliseconds=best.pause_ms - max_pause_ms)
    wait_until = request.received_at + request.route.goal * MAX_WAIT_SHARE
    if now + excess >= wait_until:
        return Rejected(Reason.TOO_BUSY, best, max(excess, BUSY_RETRY_DELAY))
    return Postponed(best, max(excess, MIN_QUEUE_POLL_INTERVAL), wait_until)


def _delays_streams(best: ScoredTarget, max_pause_ms: float) -> bool:
    """Return whether streams at the target would pause for too long."""
    return best.pause_ms > max_pause_ms and best.queue_ms > MAX_EMPTY_QUEUE_MS


def _lateness(
    request: GatewayRequest, predicted_ms: float, now: timedelta
) -> timedelta:
    """Return by how much the answer would begin too late, zero if on time."""
    starts_at = now + timedelta(milliseconds=predicted_ms)
    if request.route.kind is RequestKind.STREAM:
        return max(timedelta(), starts_at - request.goal_at)
    return max(timedelta(), starts_at - request.deadline)


def _is_overloaded(best: ScoredTarget, tier: int) -> bool:
    """Return whether prompts take so much time that streams at the target are late."""
    queued_ms = best.predicted_ms - best.work_ms
    return best.busy > MAX_ADMITTED_BUSY[tier] and queued_ms > OVERLOAD_QUEUE_MS


def _missed_by(
    request: GatewayRequest, best: ScoredTarget, now: timedelta
) -> timedelta:
    """Return by how much the answer misses the last useful start or end time.

    Negative or zero if the answer is still useful.
    """
    starts_at = now + timedelta(milliseconds=best.predicted_ms)
    output_tokens = 0 if request.work is None else request.work.expected_output_tokens
    ends_at = starts_at + timedelta(milliseconds=output_tokens * best.token_ms)
    return max(
        starts_at + MIN_START_SLACK - request.start_deadline, ends_at - request.deadline
    )
