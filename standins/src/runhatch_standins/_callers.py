"""Callers for tests: send a request through any node and record the outcome."""

import http.client
import json
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Any
from urllib.parse import urlsplit

from runhatch_standins._history import Event, EventKind
from runhatch_standins._text import expected_text

TIMEOUT_SECONDS = 30.0


class Shape(Enum):
    """The kinds of requests that callers send."""

    WHOLE = "whole"
    STREAMED = "streamed"
    LOOKUP = "plain"
    BOOKING = "booking"
    ONCE = "model, once"


@dataclass(frozen=True, slots=True)
class Wanted:
    """One request, identical for every node it is sent to."""

    name: str
    shape: Shape
    model: str
    tokens: int = 8
    deadline: float = 20.0

    @property
    def once(self) -> bool:
        """Whether the request may run at most once."""
        return self.shape in (Shape.BOOKING, Shape.ONCE)

    @property
    def expected(self) -> str:
        """The text of a complete, correct answer; empty if not known in advance."""
        if self.shape in (Shape.BOOKING, Shape.LOOKUP):
            return ""
        return expected_text(self.name, self.tokens)


@dataclass(frozen=True, slots=True)
class Got:
    """The outcome of one attempt; times in seconds, ``retry_after`` 0 for none."""

    event: Event
    status: int
    first_byte: float = 0.0
    took: float = 0.0
    retry_after: int = 0


def send(url: str, wanted: Wanted) -> Got:
    """Send ``wanted`` once to the node at ``url``."""
    parts = urlsplit(url)
    connection = http.client.HTTPConnection(
        parts.hostname or "", parts.port, timeout=TIMEOUT_SECONDS
    )
    method, path, body, headers = _build_request(wanted)
    try:
        connection.request(method, path, body, headers)
        response = connection.getresponse()
        answer = response.read()
    except (OSError, http.client.HTTPException):
        return Got(Event(wanted.name, EventKind.BROKEN, wanted.once), 0)
    finally:
        connection.close()
    retry_after_seconds = int(response.getheader("Retry-After") or 0)
    if response.status >= 300:
        return Got(
            _refusal_event(wanted, answer),
            response.status,
            retry_after=retry_after_seconds,
        )
    text = _answer_text(wanted, answer)
    if text is None:
        return Got(Event(wanted.name, EventKind.BROKEN, wanted.once), response.status)
    event = Event(wanted.name, EventKind.ANSWERED, wanted.once, text, wanted.expected)
    return Got(event, response.status)


def send_until_settled(urls: Sequence[str], wanted: Wanted) -> list[Got]:
    """Try one node after another, as a load balancer does, until one is conclusive.

    A broken connection or a refusal as not run is retried at the next node.
    Returns the outcomes of all attempts.
    """
    outcomes: list[Got] = []
    for url in urls:
        outcome = send(url, wanted)
        outcomes.append(outcome)
        if outcome.event.kind in (EventKind.ANSWERED, EventKind.REFUSED_UNKNOWN):
            break
    return outcomes


def _build_request(wanted: Wanted) -> tuple[str, str, str | None, dict[str, str]]:
    headers = {
        "Content-Type": "application/json",
        "Request-Deadline": f"{wanted.deadline:g}",
    }
    if wanted.shape is Shape.LOOKUP:
        return "GET", f"/services/booking/drums/{wanted.name}", None, headers
    if wanted.once:
        headers["Idempotency-Key"] = wanted.name
    if wanted.shape is Shape.BOOKING:
        body = json.dumps({"drum": wanted.name})
        return "POST", "/services/booking/bookings", body, headers
    document = {
        "model": wanted.model,
        "messages": [{"role": "user", "content": wanted.name}],
        "max_tokens": wanted.tokens,
        "stream": wanted.shape is Shape.STREAMED,
    }
    return "POST", "/v1/chat/completions", json.dumps(document), headers


def _refusal_event(wanted: Wanted, answer: bytes) -> Event:
    try:
        executed = json.loads(answer).get("executed")
    except ValueError:
        executed = None
    kind = EventKind.REFUSED_NO if executed == "no" else EventKind.REFUSED_UNKNOWN
    return Event(wanted.name, kind, wanted.once, answer.decode(errors="replace"))


def _answer_text(wanted: Wanted, answer: bytes) -> str | None:
    """Return the answer's text; ``None`` if a stream lacks its final event."""
    if wanted.shape in (Shape.BOOKING, Shape.LOOKUP):
        return answer.decode()
    if wanted.shape is not Shape.STREAMED:
        return str(json.loads(answer)["choices"][0]["message"]["content"])
    pieces: list[str] = []
    for line in answer.decode().splitlines():
        if line == "data: [DONE]":
            return "".join(pieces)
        if line.startswith("data: "):
            document: dict[str, Any] = json.loads(line.removeprefix("data: "))
            for choice in document.get("choices", []):
                pieces.append(choice["delta"].get("content") or "")
    return None
