"""Decoded headers of requests and answers, and the codec protocol for them."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Protocol

from runhatch_server.decisions import GatewayRequest, Headers, ModelWork
from runhatch_server.fleet import Target
from runhatch_server.targets import InvalidMaxRejections, InvalidRateLimit, ReportedLoad


@dataclass(frozen=True, slots=True)
class CallerHeaders:
    """Decoded headers of a caller; ``forwarded`` go to the target.

    ``resumes`` is the caller's attempt that brought the first event of the stream that
    is to continue after ``last_event``.  ``credentials`` are the headers that carry
    ``key``, which go to the target only if no workspaces are declared.
    ``stated_tokens`` are the prompt and output tokens, ``None`` if not stated.
    """

    attempt_id: str
    time_left: timedelta | None
    work: ModelWork | None
    last_event: str
    forwarded: Headers
    resumes: str = ""
    key: str = field(default="", repr=False)
    credentials: Headers = field(default=(), repr=False)
    stated_tokens: int | None = None


@dataclass(frozen=True, slots=True)
class InvalidHeader:
    """An invalid header; ``detail`` names it and the allowed values."""

    detail: str


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """The decoded head of a target's answer.

    ``attempt_id`` identifies the answered request, empty if the answer names none.
    ``is_authentic`` is whether the target confirms that the answer is its own,
    ``not_run`` whether it did not run the request, ``encoded`` whether its body has a
    content encoding.  ``idle_timeout`` is how long the connection may stay open without
    a request, ``None`` if it must not be reused.
    ``draining`` is whether the target drains and takes no new work; ``backoff`` is the
    backoff that it requests of this node, ``rate_limit`` the requests per second that
    it accepts from all nodes together, ``max_rejections`` the most requests that it
    rejects in a second without ending, if it is brittle.
    """

    status: int
    reason: str
    attempt_id: str
    is_authentic: bool
    not_run: bool
    encoded: bool
    load: ReportedLoad | None
    idle_timeout: timedelta | None
    forwarded: Headers
    draining: bool = False
    backoff: timedelta | None = None
    rate_limit: float | InvalidRateLimit | None = None
    max_rejections: int | InvalidMaxRejections | None = None


class HeaderCodec(Protocol):
    """Encodes and decodes headers; only implementations know their names."""

    def decode_caller(
        self, headers: Mapping[str, str]
    ) -> CallerHeaders | InvalidHeader:
        """Decode a caller's ``headers``, keyed by lower-case name."""

    def encode_request(
        self,
        request: GatewayRequest,
        target: Target,
        time_left: timedelta,
        tier: int,
    ) -> Headers:
        """Return all headers for sending ``request`` to ``target``.

        The target has ``time_left`` for the request, prefers requests of a lower
        ``tier``, and must run it only if it is the incarnation addressed.
        """

    def add_resume_after(self, headers: Headers, event: str) -> Headers:
        """Return ``headers`` plus the one that resumes a stream after ``event``."""

    def decode_answer(
        self,
        status: int,
        reason: str,
        headers: Mapping[str, str],
        closes_connection: bool,
    ) -> AnswerHead:
        """Decode the head of an answer; ``closes_connection`` if it ends with it."""

    def encode_refusal(self, attempt_id: str) -> Headers:
        """Return the headers that let a caller match a refusal to its attempt."""
