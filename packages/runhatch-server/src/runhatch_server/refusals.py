"""Refusals with a closed set of reasons, sent as RFC 9457 problem documents."""

import math
from dataclasses import dataclass, replace
from datetime import timedelta
from enum import Enum

import msgspec

__all__ = [
    "Executed",
    "PROBLEM_TYPE",
    "Prediction",
    "Reason",
    "Refusal",
    "problem_document",
    "retry_after_header",
]

PROBLEM_TYPE = "application/problem+json"


class Executed(Enum):
    """Whether a refused request may have run: ``NO`` if it certainly did not."""

    NO = "no"
    UNKNOWN = "unknown"


class Reason(Enum):
    """Why a request was refused: metric label, HTTP status and title."""

    BAD_JSON = ("bad_json", 400, "The body is not the JSON document it should be")
    BAD_HEADER = ("bad_header", 400, "A header cannot be used")
    BAD_DEADLINE = ("bad_deadline", 400, "The deadline cannot be used")
    KEY_MISSING = ("key_missing", 400, "The call may not be repeated and has no key")
    KEY_REUSED = ("key_reused", 422, "The key was used with another request")
    BODY_TOO_LARGE = ("body_too_large", 413, "The body is too large")
    FRAMING_TOO_LARGE = (
        "framing_too_large",
        413,
        "The body has too many bytes besides its content",
    )
    BODY_SLOW = ("body_slow", 408, "The body stopped arriving")
    MEMORY_FULL = ("memory_full", 503, "Open requests hold the memory for requests")
    UNKNOWN_PATH = ("unknown_path", 404, "There is no such path")
    NO_ROUTE = ("no_route", 404, "No route is declared for this host and path")
    KEY_UNKNOWN = ("key_unknown", 401, "No workspace has the key of the request")
    KEYS_OUTDATED = (
        "keys_outdated",
        503,
        "The node cannot confirm that the keys that it knows are still valid",
    )
    USAGE_CAP = ("usage_cap", 429, "The cap of the workspace is used up")
    USAGE_UNKNOWN = (
        "usage_unknown",
        503,
        "The node cannot find out what the workspace has used",
    )
    UNKNOWN_MODEL = ("unknown_model", 404, "No such model is declared")
    BAD_METHOD = ("bad_method", 405, "The path does not take this method")
    QUEUE_FULL = ("queue_full", 503, "Too many requests wait")
    CALLER_SHARE = ("caller_share", 429, "The caller's share of the queue is used")
    SHED = ("shed", 503, "Requests of a higher priority took the place")
    DEADLINE_UNMEETABLE = ("deadline_unmeetable", 503, "The deadline cannot be met")
    GOAL_UNMEETABLE = ("goal_unmeetable", 503, "No target would begin in time")
    TOO_BUSY = ("too_busy", 503, "Targets are too busy for answers to end in time")
    NO_TARGET = ("no_target", 503, "No target of the service takes work")
    NO_REPLICA = ("no_replica", 503, "No target serves this at the moment")
    STREAM_UNKNOWN = (
        "stream_unknown",
        503,
        "The node does not know which software version began the stream",
    )
    TARGETS_BUSY = ("targets_busy", 503, "The targets refused the request unrun")
    TARGETS_UNREACHABLE = (
        "targets_unreachable",
        503,
        "The node cannot connect to the targets",
    )
    TARGETS_BACK_OFF = ("targets_rest", 503, "The targets want no requests for a while")
    TARGETS_LIMITED = (
        "targets_limited",
        503,
        "The targets' rate limits are used up at the moment",
    )
    TARGETS_FAILED = ("targets_failed", 502, "The targets failed")
    CRASHES_TARGETS = ("ends_targets", 500, "Targets that ran the request have ended")
    PROMPT_CRASHES_TARGETS = (
        "prompt_ends_targets",
        503,
        "Targets that began to answer prompts like this one have ended",
    )
    DEADLINE_PASSED = ("deadline_passed", 504, "The deadline passed during the run")
    STORE_UNAVAILABLE = ("store_unavailable", 503, "The store does not answer")
    FIRST_RUN_OPEN = ("first_run_open", 409, "An earlier run of this key is open")
    NOT_READY = ("not_ready", 503, "The node has no configuration yet")
    CONFIGURATION_BEHIND = (
        "configuration_behind",
        503,
        "The node lacks a newer configuration, which may declare the route",
    )
    STOPPING = ("stopping", 503, "The node is stopping")
    CALLER_GONE = ("caller_gone", 499, "The caller went away")

    def __init__(self, code: str, status: int, title: str) -> None:
        self.code = code
        self.status = status
        self.title = title


@dataclass(frozen=True, slots=True)
class Prediction:
    """Prediction for the best target when a request was refused; only for logs.

    ``predicted_ms`` is the time to the first byte, ``busy_share`` the share of the
    target's time that recently sent prompts take, ``pause_ms`` the longest pause
    that the request would have caused in the target's streams, ``work_time_factor``
    how long work was expected to take there, relative to the usual time.
    """

    target: str
    predicted_ms: float
    busy_share: float
    pause_ms: float = 0.0
    work_time_factor: float | None = None


@dataclass(frozen=True, slots=True)
class Refusal:
    """One refusal; ``retry_after`` is set if a retry may succeed."""

    reason: Reason
    executed: Executed
    detail: str = ""
    retry_after: timedelta | None = None
    prediction: Prediction | None = None
    target: str = ""
    """The target whose answer caused the refusal, if any; for logs."""
    trait: str = ""
    """The trait of the prompt that caused the refusal, if any; for logs."""

    def as_unknown(self) -> "Refusal":
        """Return the refusal for a request that may have run already."""
        return replace(self, executed=Executed.UNKNOWN)


class _Problem(msgspec.Struct):
    type: str
    title: str
    status: int
    detail: str
    reason: str
    executed: str
    request_id: str


def problem_document(refusal: Refusal, request_id: str) -> bytes:
    """Return the problem document for ``refusal``."""
    problem = _Problem(
        type=f"urn:runhatch:refusal:{refusal.reason.code}",
        title=refusal.reason.title,
        status=refusal.reason.status,
        detail=refusal.detail,
        reason=refusal.reason.code,
        executed=refusal.executed.value,
        request_id=request_id,
    )
    return msgspec.json.encode(problem)


def retry_after_header(refusal: Refusal) -> list[tuple[str, str]]:
    """Return the Retry-After header in whole seconds, rounded up, if any.

    >>> refusal = Refusal(
    ...     Reason.QUEUE_FULL, Executed.NO, retry_after=timedelta(seconds=0.2)
    ... )
    >>> retry_after_header(refusal)
    [('Retry-After', '1')]
    """
    if refusal.retry_after is None:
        return []
    seconds = max(1, math.ceil(refusal.retry_after.total_seconds()))
    return [("Retry-After", str(seconds))]
