"""Answers to requests that the server refuses before the application gets them."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Protocol

from runhatch_server.refusals import (
    PROBLEM_TYPE,
    Refusal,
    problem_document,
    retry_after_header,
)


class RefusalAnswer(Protocol):
    """A refusal as it is sent."""

    @property
    def headers(self) -> tuple[tuple[str, str], ...]:
        """Names and values of the headers."""

    @property
    def body(self) -> bytes:
        """The body."""


BuildRefusal = Callable[[Refusal, Mapping[str, str]], RefusalAnswer]
"""Returns the answer for a refusal of a request with headers, by lower-case name."""


@dataclass(frozen=True, slots=True)
class _PlainAnswer:
    headers: tuple[tuple[str, str], ...]
    body: bytes


def build_plain_refusal(refusal: Refusal, headers: Mapping[str, str]) -> RefusalAnswer:
    """Return the problem document of ``refusal``, whose request has no name."""
    return _PlainAnswer(
        (("Content-Type", PROBLEM_TYPE), *retry_after_header(refusal)),
        problem_document(refusal, ""),
    )


def status_line(refusal: Refusal) -> str:
    """Return the status and the title of ``refusal``."""
    return f"{refusal.reason.status} {refusal.reason.title}"
