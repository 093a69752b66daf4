"""Outcomes of an attempt to send a request to a target.

Only ``NotSent`` and ``RefusedNotRun`` prove that the target did not run the request.
"""

import re
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum

from runhatch_server.targets._answers import OpenAnswer
from runhatch_server.targets._load import MAX_LOGGED_CHARACTERS

MAX_BACKOFF = timedelta(hours=1)
"""Limits the effect of a wrong header; a backoff ends with the target's
incarnation."""
SECONDS_PATTERN = re.compile(r"\d{1,9}(\.\d{1,9})?")
RATE_PATTERN = re.compile(r"\d{1,15}(\.\d{0,15})?|\.\d{1,15}", re.ASCII)


def decode_retry_after(retry_after: str | None) -> timedelta | None:
    """Decode the ``Retry-After`` header of a target that refuses a request.

    The value is a number of seconds, with an optional fraction; ``None`` for any
    other value.  At most ``MAX_BACKOFF`` is returned.

    >>> decode_retry_after("2.5"), decode_retry_after("Wed, 21 Oct 2026 07:28:00 GMT")
    (datetime.timedelta(seconds=2, microseconds=500000), None)
    """
    if retry_after is None or not SECONDS_PATTERN.fullmatch(retry_after.strip()):
        return None
    return min(timedelta(seconds=float(retry_after)), MAX_BACKOFF)


@dataclass(frozen=True, slots=True)
class InvalidRateLimit:
    """An invalid rate limit, truncated for logging."""

    value: str


def decode_rate_limit(value: str | None) -> float | InvalidRateLimit | None:
    """Decode the requests per second that a target accepts from all nodes together.

    The value is a decimal number of at least 0, or a list, of which the least number
    is returned; ``None`` if ``value`` is ``None``.

    >>> decode_rate_limit("0.25"), decode_rate_limit("4, 2.5"), decode_rate_limit(None)
    (0.25, 2.5, None)
    >>> decode_rate_limit("-1")
    InvalidRateLimit(value='-1')
    """
    if value is None:
        return None
    parts = [part.strip() for part in value.split(",")]
    if not all(RATE_PATTERN.fullmatch(part) for part in parts):
        return InvalidRateLimit(value[:MAX_LOGGED_CHARACTERS])
    return min(float(part) for part in parts)


@dataclass(frozen=True, slots=True)
class InvalidMaxRejections:
    """An invalid number of rejections, truncated for logging."""

    value: str


def decode_max_rejections(value: str | None) -> int | InvalidMaxRejections | None:
    """Decode the most requests that a brittle target may reject in a second.

    The value is a decimal number of at least 0, of which the whole part counts, or a
    list, of which the least number is returned; ``None`` if ``value`` is ``None``.

    >>> decode_max_rejections("4"), decode_max_rejections("4, 2.5")
    (4, 2)
    >>> decode_max_rejections("many")
    InvalidMaxRejections(value='many')
    """
    decoded = decode_rate_limit(value)
    if isinstance(decoded, InvalidRateLimit):
        return InvalidMaxRejections(decoded.value)
    return None if decoded is None else int(decoded)


class AttemptReason(Enum):
    """Why an attempt ended without a response; each reason has a counter."""

    CONNECT_FAILED = "connect_failed"
    TARGET_BUSY = "target_busy"
    MODEL_MISSING = "model_not_there"
    TARGET_DRAINING = "target_draining"
    TIMED_OUT = "timed_out"
    CONNECTION_BROKEN = "broken"
    WRONG_ANSWER = "wrong_answer"
    ANSWER_TOO_LONG = "answer_too_long"
    MEMORY_FULL = "memory_full"
    SERVER_ERROR = "server_error"
    STALLED = "stalled"
    CALLER_GONE = "caller_gone"
    NODE_EXITS = "node_exits"


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
    :func:`decode_rate_limit`, ``max_rejections`` that of
    :func:`decode_max_rejections`.
    """

    reason: AttemptReason
    retry_after: timedelta | None = None
    idle_timeout: timedelta | None = None
    draining: bool = False
    rate_limit: float | InvalidRateLimit | None = None
    max_rejections: int | InvalidMaxRejections | None = None


@dataclass(frozen=True, slots=True)
class UnknownResult:
    """The request may have run."""

    reason: AttemptReason


AttemptOutcome = NotSent | RefusedNotRun | UnknownResult | OpenAnswer
