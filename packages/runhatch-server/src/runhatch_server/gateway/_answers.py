"""Answers to callers of a gateway: complete ones and streams."""

from dataclasses import dataclass

from runhatch_server.decisions import Headers
from runhatch_server.gateway._relay import StreamRelay

PROBLEM_HEADERS: Headers = (("Content-Type", "application/problem+json"),)


@dataclass(frozen=True, slots=True)
class CompleteAnswer:
    """An answer with its complete body.

    A body without framing is complete unless its connection was closed too early.
    """

    status: int
    reason: str
    headers: Headers
    body: bytes
    is_framed: bool = True


@dataclass(frozen=True, slots=True)
class StreamAnswer:
    """An answer whose events are sent as they arrive."""

    status: int
    reason: str
    headers: Headers
    events: StreamRelay
    is_framed: bool
    software_version: str | None = None
    """Software version of the target that began it, ``None`` if not known."""


GatewayAnswer = CompleteAnswer | StreamAnswer
