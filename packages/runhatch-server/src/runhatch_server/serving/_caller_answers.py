"""Answers to callers: whole answers, streams and refusals."""

from collections.abc import Iterator
from dataclasses import dataclass

from runhatch_server.refusals import (
    PROBLEM_TYPE,
    Refusal,
    problem_document,
    retry_after_header,
)
from runhatch_server.serving._answer_store import StoredAnswer
from runhatch_server.targets import Answer, OpenAnswer

REQUEST_ID_HEADER = "X-Request-Id"
EVENT_STREAM = "text/event-stream"
FORWARDED_HEADERS = (
    "content-type",
    "location",
    "etag",
    "cache-control",
    "last-modified",
)
"""Headers of a target's answer that are forwarded to the caller."""

Headers = tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True)
class WholeAnswer:
    """An answer with a known length."""

    status: int
    headers: Headers
    body: bytes


@dataclass(frozen=True, slots=True)
class StreamedAnswer:
    """An answer sent as a stream of events."""

    status: int
    headers: Headers
    events: Iterator[bytes]


CallerAnswer = WholeAnswer | StreamedAnswer


def build_refusal_answer(refusal: Refusal, request_id: str) -> WholeAnswer:
    """Return the problem document of ``refusal`` as an answer."""
    headers = (
        ("Content-Type", PROBLEM_TYPE),
        (REQUEST_ID_HEADER, request_id),
        *retry_after_header(refusal),
    )
    body = problem_document(refusal, request_id)
    return WholeAnswer(refusal.reason.status, headers, body)


def select_forwarded_headers(answer: Answer | OpenAnswer) -> Headers:
    """Return the headers of a target's answer that are forwarded to the caller."""
    return tuple(
        (name.title(), answer.headers[name])
        for name in FORWARDED_HEADERS
        if name in answer.headers
    )


def build_whole_answer(answer: StoredAnswer, request_id: str) -> WholeAnswer:
    """Return ``answer`` as sent to the caller of ``request_id``."""
    headers = (*answer.headers, (REQUEST_ID_HEADER, request_id))
    return WholeAnswer(answer.status, headers, answer.body)
