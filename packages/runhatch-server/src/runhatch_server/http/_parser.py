"""Parser of requests whose sizes are bounded, by themselves and together."""

from collections.abc import Callable
from itertools import islice
from typing import Any

from waitress.parser import HTTPRequestParser
from waitress.receiver import FixedStreamReceiver
from waitress.utilities import BadRequest, RequestEntityTooLarge

from runhatch_server.http._body import BodyBuffer, ChunkedBody
from runhatch_server.refusals import Executed, Reason, Refusal

MIN_FRAMING_BYTES = 65_536
"""Framing that a body of any length may have."""
REQUEST_BYTES = 2_048
"""Memory of a request without its headers and its body."""
MAX_REFUSED_HEADERS = 64
"""Headers that a refused request keeps for its answer."""
HEADER_FIELD_BYTES = 512
"""Memory of a header field beyond its text: the application gets copies of it."""


class BoundedParser(HTTPRequestParser):  # type: ignore[misc]
    """Parses one request; refuses it if it is too large or ``admit`` returns false.

    ``admit`` is called with the parser as the request grows.
    """

    refusal: Refusal | None = None
    """Why the request is refused, ``None`` if it is not or is malformed."""
    headers: dict[str, str]
    header_plus: bytes
    completed: bool
    body_rcv: Any

    def __init__(
        self, settings: Any, admit: "Callable[[BoundedParser], Refusal | None]"
    ) -> None:
        """``settings`` are waitress's adjustments, with the limits."""
        super().__init__(settings)
        self._admit = admit
        self._head_bytes = 0

    @property
    def held_bytes(self) -> int:
        """Memory that the request holds, in bytes."""
        held = REQUEST_BYTES + len(self.header_plus) + self._head_bytes
        body = self.body_rcv
        return held if body is None else held + int(body.getbuf().held_bytes)

    @property
    def final_bytes(self) -> int:
        """Memory that it will hold at least once its body has arrived, in bytes."""
        return self.held_bytes if self.chunked else self.held_bytes + self._unread_bytes

    @property
    def body_bytes(self) -> int:
        """Bytes of the body that have arrived."""
        return 0 if self.body_rcv is None else len(self.body_rcv)

    @property
    def awaits_body(self) -> bool:
        """Whether the head is complete and the body is not."""
        return bool(self.headers_finished) and not self.completed

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
        if self.error is None:
            refusal = self._admit(self)
            if refusal is not None:
                self.refuse(refusal)
        return consumed

    def parse_header(self, header_plus: bytes) -> None:
        """Parse a complete head, and choose the receiver of the body."""
        super().parse_header(header_plus)
        if self.chunked:
            body_limit = self.adj.max_request_body_size - 1
            self.body_rcv = ChunkedBody(
                BodyBuffer(),
                max(MIN_FRAMING_BYTES, self.adj.max_framing_per_byte * body_limit),
                self.adj.max_chunk_line_bytes,
                self.adj.max_request_header_size,
            )
        elif self.body_rcv is not None:
            self.body_rcv = FixedStreamReceiver(self.content_length, BodyBuffer())

    def refuse(self, refusal: Refusal) -> None:
        """End the request with ``refusal``, and release its body."""
        self.refusal = refusal
        # waitress answers requests with an error instead of the application.
        self.error = BadRequest(refusal.reason.title)
        self.completed = True
        # Otherwise waitress would have the caller send the body.
        self.expect_continue = False
        self.headers = dict(islice(self.headers.items(), MAX_REFUSED_HEADERS))
        self.close()

    @property
    def _unread_bytes(self) -> int:
        return 0 if self.body_rcv is None else int(self.body_rcv.remain)

    def _finish_head(self) -> None:
        """Account for the parsed head, of which waitress keeps a part unparsed."""
        self.header_plus = b""
        self._head_bytes = HEADER_FIELD_BYTES * len(self.headers)
        self._head_bytes += self.header_bytes_received
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


class PostponedParser(HTTPRequestParser):  # type: ignore[misc]
    """Keeps what follows requests in progress, so that it is parsed only after them.

    Parsed at once, eight kilobytes of small requests would take a megabyte.
    """

    headers_finished = True
    refusal = None

    def __init__(self, settings: Any) -> None:
        super().__init__(settings)
        self.unparsed = b""

    @property
    def held_bytes(self) -> int:
        """Memory that the bytes hold."""
        return REQUEST_BYTES + len(self.unparsed)

    def received(self, data: bytes) -> int:
        """Keep ``data``."""
        self.unparsed += data
        return len(data)
