"""What a caller of a gateway is answered: a whole answer, or a stream."""

from dataclasses import dataclass

from runhatch_server.decisions import Headers
from runhatch_server.gateway._relay import StreamRelay

PROBLEM_HEADERS: Headers = (("Content-Type", "application/problem+json"),)


@dataclass(frozen=True, slots=True)
class WholeAnswer:
    """An answer whose body is known."""

    status: int
    reason: str
    headers: Headers
    body: bytes


@dataclass(frozen=True, slots=True)
class StreamAnswer:
    """An answer that arrives piece by piece."""

    status: int
    reason: str
    headers: Headers
    events: StreamRelay


GatewayAnswer = WholeAnswer | StreamAnswer
