"""Outcomes of an attempt to send a request to a target.

Only ``NotSent`` and ``RefusedNotRun`` prove that the target did not run the request.
"""

import re
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum

from runhatch_server.targets._answers import OpenAnswer

LONGEST_REST = timedelta(hours=1)
"""Limits the effect of a wrong header; a backoff ends with the target's
incarnation."""
SECONDS = re.compile(r"\d{1,9}(\.\d{1,9})?")
RATE = re.compile(r"\d{1,15}(\.\d{0,15})?|\.\d{1,15}", re.ASCII)
LONGEST_LOGGED = 40
"""Characters of an invalid value that are logged."""


def rest_asked(retry_after: str | None) -> timedelta | None:
    """Decode the ``Retry-After`` header of a target that refuses a request.

    The value is a number of seconds, with an optional fraction; ``None`` for any
    other value.  At most ``LONGEST_REST`` is returned.

    >>> rest_asked("2.5"), rest_asked("Wed, 21 Oct 2026 07:28:00 GMT")
    (datetime.timedelta(seconds=2, microseconds=500000), None)
    """
    if retry_after is None or not SECONDS.fullmatch(retry_after.strip()):
        return None
    return min(timedelta(seconds=float(retry_after)), LONGEST_REST)


@dataclass(frozen=True, slots=True)
class UnreadableLimit:
    """An invalid rate limit, truncated for logging."""

    found: str


def limit_named(value: str | None) -> float | UnreadableLimit | None:
    """Decode the requests per second that a target accepts from all nodes together.

    The value is a decimal number of at least 0, or a list, of which the least number
    is returned; ``None`` if ``value`` is ``None``.

    >>> limit_named("0.25"), limit_named("4, 2.5"), limit_named(None)
    (0.25, 2.5, None)
    >>> limit_named("-1")
    UnreadableLimit(found='-1')
    """
    if value is None:
        return None
    parts = [part.strip() for part in value.split(",")]
    if not all(RATE.fullmatch(part) for part in parts):
        return UnreadableLimit(value[:LONGEST_LOGGED])
    return min(float(part) for part in parts)


class AttemptReason(Enum):
    """Why an attempt ended without a response; each reason has a counter."""

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
    """This node sent no byte of the request."""

    reason: AttemptReason


@dataclass(frozen=True, slots=True)
class RefusedNotRun:
    """The target stated that it did not run the request.

    ``idle_timeout`` is how long its connection may stay open, ``None`` if not at all.
    ``retry_after`` is how long the target accepts no requests.  ``draining`` is
    whether it drains and accepts no further ones.  ``rate_limit`` is the result of
    :func:`limit_named`.
    """

    reason: AttemptReason
    retry_after: timedelta | None = None
    idle_timeout: timedelta | None = None
    draining: bool = False
    rate_limit: float | UnreadableLimit | None = None


@dataclass(frozen=True, slots=True)
class UnknownResult:
    """The request may have run."""

    reason: AttemptReason


AttemptOutcome = NotSent | RefusedNotRun | UnknownResult | OpenAnswer
