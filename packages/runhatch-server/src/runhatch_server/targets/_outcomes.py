"""How an attempt at a target may end, apart from an answer.

Only ``NotSent`` and ``RefusedUnrun`` prove that nothing ran.
"""

import re
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum

from runhatch_server.targets._answers import OpenAnswer

LONGEST_REST = timedelta(hours=1)
"""Bounds what a mistaken header does; a rest ends with the target's incarnation."""
SECONDS = re.compile(r"\d{1,9}(\.\d{1,9})?")


def rest_asked(retry_after: str | None) -> timedelta | None:
    """Decode what a target that turns a request away says in ``Retry-After``.

    Seconds, perhaps with a fraction; a value of another shape asks nothing.

    >>> rest_asked("2.5"), rest_asked("Wed, 21 Oct 2026 07:28:00 GMT")
    (datetime.timedelta(seconds=2, microseconds=500000), None)
    """
    if retry_after is None or not SECONDS.fullmatch(retry_after.strip()):
        return None
    return min(timedelta(seconds=float(retry_after)), LONGEST_REST)


class AttemptReason(Enum):
    """Why an attempt ended without an answer; each has a counter."""

    CONNECT_FAILED = "connect_failed"
    TARGET_BUSY = "target_busy"
    MODEL_NOT_THERE = "model_not_there"
    TARGET_DRAINING = "target_draining"
    TIMED_OUT = "timed_out"
    BROKEN = "broken"
    WRONG_ANSWER = "wrong_answer"
    SERVER_ERROR = "server_error"
    STALLED = "stalled"
    CALLER_GONE = "caller_gone"


@dataclass(frozen=True, slots=True)
class NotSent:
    """No byte of the request left this node."""

    reason: AttemptReason


@dataclass(frozen=True, slots=True)
class RefusedUnrun:
    """The target said that it did not run the request.

    ``idle`` is how long its connection may be kept, ``None`` if not at all;
    ``retry_after`` how long it wants nothing more, and ``leaving`` that it wants
    nothing at all any more.
    """

    reason: AttemptReason
    retry_after: timedelta | None = None
    idle: timedelta | None = None
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class UnknownResult:
    """The request may have run."""

    reason: AttemptReason


AttemptOutcome = NotSent | RefusedUnrun | UnknownResult | OpenAnswer
