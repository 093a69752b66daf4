"""Parser of requests whose sizes are bounded."""

from itertools import islice
from typing import Any

from waitress.parser import HTTPRequestParser
from waitress.receiver import FixedStreamReceiver
from waitress.utilities import BadRequest, RequestEntityTooLarge

from runhatch_server.http._body import (
    MAX_FRAMING_PER_BYTE,
    MIN_FRAMING_BYTES,
    BodyBuffer,
    ChunkedBody,
)
from runhatch_server.refusals import Executed, Reason, Refusal

MAX_REFUSED_HEADERS = 64
"""Headers that a refused request keeps for its answer."""


class BoundedParser(HTTPRequestParser):  # type: ignore[misc]
    """Parses one request, and refuses it if it is too large."""

    refusal: Refusal | None = None
    """Why the request is refused, ``None`` if it is not or is malformed."""
    headers: dict[str, str]
    completed: bool
    body_rcv: Any

    @property
    def step_count(self) -> int:
        """Number of steps in which the chunks of the body were decoded."""
        body = self.body_rcv
        return body.step_count if isinstance(body, ChunkedBody) else 0

    def received(self, data: bytes) -> int:
        """Parse ``data``; return how many of its bytes belong to this request."""
        if self.completed:
            return 0
        if self.body_rcv is None:
            consumed = int(super().received(data))
            if self.headers_finished:
                self._finish_head()
        else:
            consumed = self._receive_body(data)
        return consumed

    def parse_header(self, header_plus: bytes) -> None:
        """Parse a complete head, and choose the receiver of the body."""
        super().parse_header(header_plus)
        if self.chunked:
            body_limit = self.adj.max_request_body_size - 1
            self.body_rcv = ChunkedBody(
                BodyBuffer(),
                max(MIN_FRAMING_BYTES, MAX_FRAMING_PER_BYTE * body_limit),
                self.adj.max_request_header_size,
            )
        elif self.body_rcv is not None:
            self.body_rcv = FixedStreamReceiver(self.content_length, BodyBuffer())

    def refuse(self, refusal: Refusal) -> None:
        """End the request with ``refusal``, and give up its body."""
        self.refusal = refusal
        # waitress answers requests with an error instead of the application.
        self.error = BadRequest(refusal.reason.title)
        self.completed = True
        # Otherwise waitress would have the caller send the body.
        self.expect_continue = False
        self.headers = dict(islice(self.headers.items(), MAX_REFUSED_HEADERS))
        self.close()

    def _finish_head(self) -> None:
        """Refuse a body whose stated length is too large."""
        if isinstance(self.error, RequestEntityTooLarge):
            self._refuse_large_body()

    def _receive_body(self, data: bytes) -> int:
        body = self.body_rcv
        consumed = int(body.received(data))
        self.body_bytes_received += consumed
        if isinstance(body, ChunkedBody) and body.refusal is not None:
            self.refuse(body.refusal)
        elif len(body) >= self.adj.max_request_body_size:
            self._refuse_large_body()
        elif body.error:
            self.error = body.error
            self.completed = True
        elif body.completed:
            self.completed = True
            if self.chunked:
                # For the application the body has a length.
                self.headers["CONTENT_LENGTH"] = str(len(body))
        return consumed

    def _refuse_large_body(self) -> None:
        limit = self.adj.max_request_body_size - 1
        self.refuse(
            Refusal(Reason.BODY_TOO_LARGE, Executed.NO, f"allowed: up to {limit} bytes")
        )
