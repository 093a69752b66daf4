"""Responses of ``http.client`` whose status line and framing are read strictly.

``http.client`` takes the end of the connection for the end of the headers, and part of
a chunk's size for the size, so that a truncated response may look complete.  It also
guesses where a body with malformed framing ends, and reads any text that Python takes
for a number below 1,000 as the status.

Bytes may arrive without end, so heads, trailers and bodies have bounds.  A timeout of
the socket limits each read alone, so the reads of one part share a deadline.
"""

import http.client
import io
import re
import socket
from datetime import timedelta
from email.errors import (
    FirstHeaderLineIsContinuationDefect,
    InvalidHeaderDefect,
    MisplacedEnvelopeHeaderDefect,
    MissingHeaderBodySeparatorDefect,
)
from functools import partial
from typing import TYPE_CHECKING, TypeVar

from runhatch_coordination import Clock, SystemClock

if TYPE_CHECKING:
    from _typeshed import WriteableBuffer

HEADER_DEFECTS = (
    FirstHeaderLineIsContinuationDefect,
    InvalidHeaderDefect,
    MisplacedEnvelopeHeaderDefect,
    MissingHeaderBodySeparatorDefect,
)
"""Defects after which the parser drops headers; others concern bodies of mail."""
STATUS_LINE = re.compile(
    r"(?P<version>HTTP/1\.[0-9]) (?P<status>[1-5][0-9]{2})"
    r"(?: (?P<reason>[\t\x20-\x7e\x80-\xff]*))?\r?\n"
)
"""RFC 9112, 4, with statuses from 100 to 599 (RFC 9110, 15).  Some servers omit the
space before an empty reason, or the carriage return."""
INTERIM_STATUSES = frozenset(range(100, 200)) - {http.client.SWITCHING_PROTOCOLS}
HEADER_NAME = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
WHITESPACE = " \t"
LENGTH = re.compile(r"[0-9]+")
CHUNK_SIZE_LINE = re.compile(rb"([0-9A-Fa-f]+)[ \t]*(?:;[^\n]*)?\r\n")
CHUNK_END = b"\r\n"
MAX_LINE_BYTES = 65_536
MAX_HEAD_BYTES = 65_536
"""Bound of the head of a response, with the interim responses before it."""
MAX_TRAILER_BYTES = 65_536
"""Bound of the lines after the last chunk."""
READ_BYTES = 65_536
MAX_LOGGED_LENGTH = 80
"""Maximum length in characters of a malformed line in an error."""


class DeadlineIO(io.RawIOBase):
    """Reads a socket until a deadline, whatever the timeout of the socket."""

    def __init__(self, raw: io.RawIOBase, sock: socket.socket, clock: Clock) -> None:
        super().__init__()
        self._raw = raw
        self._socket = sock
        self._clock = clock
        self.deadline: timedelta | None = None
        """Time of the clock after which reads raise ``TimeoutError``."""

    def readable(self) -> bool:
        """Return true."""
        return True

    def readinto(self, buffer: "WriteableBuffer", /) -> int | None:
        """Read available bytes into ``buffer``; wait for some until the deadline."""
        if self.deadline is None:
            return self._raw.readinto(buffer)
        left = (self.deadline - self._clock.elapsed()).total_seconds()
        if left <= 0:
            raise TimeoutError("the deadline of the response has passed")
        timeout = self._socket.gettimeout()
        self._socket.settimeout(left if timeout is None else min(left, timeout))
        try:
            return self._raw.readinto(buffer)
        finally:
            self._socket.settimeout(timeout)

    def close(self) -> None:
        """Close the reader of the socket."""
        self._raw.close()
        super().close()


class StrictLineReader(io.BufferedReader):
    """Reads a connection; a line that ends early is an error."""

    _lines_left = MAX_HEAD_BYTES

    def begin_lines(self, max_bytes: int) -> None:
        """Bound the lines that are read from now on by ``max_bytes`` together."""
        self._lines_left = max_bytes

    def readline(self, size: int | None = -1, /) -> bytes:
        """Return the next line, of at most ``size`` bytes.

        Raises ``IncompleteRead`` if the connection ends first, and ``HTTPException`` if
        the lines exceed their bound.
        """
        line = super().readline(size)
        self._lines_left -= len(line)
        if self._lines_left < 0:
            raise http.client.HTTPException("found more lines than are allowed")
        is_cut_by_size = size is not None and 0 <= size <= len(line)
        if not line.endswith(b"\n") and not is_cut_by_size:
            raise http.client.IncompleteRead(line)
        return line


class StrictResponse(http.client.HTTPResponse):
    """A response read through a :class:`StrictLineReader`.

    Malformed framing, or a switch to another protocol, raises an ``HTTPException``.
    """

    chunk_left: int | None

    def __init__(
        self,
        sock: socket.socket,
        debuglevel: int = 0,
        method: str | None = None,
        url: str | None = None,
        deadline: timedelta | None = None,
        clock: Clock | None = None,
    ) -> None:
        """``deadline`` is the time of ``clock`` until which the head must be read."""
        super().__init__(sock, debuglevel, method, url)
        self._io = DeadlineIO(self.fp.detach(), sock, clock or SystemClock())
        self._io.deadline = deadline
        self._reader = self.open_reader(self._io, sock)
        self.fp = self._reader

    @property
    def deadline(self) -> timedelta | None:
        """The time of the clock until which further reads must end, if any."""
        return self._io.deadline

    def set_deadline(self, deadline: timedelta | None) -> None:
        """Set the time of the clock until which further reads must end, if any."""
        self._io.deadline = deadline

    @property
    def stated_length(self) -> int | None:
        """Bytes of the body that are left by its length, ``None`` if it states none."""
        return None if self.chunked else self.length

    def read_whole(self, max_bytes: int) -> bytes:
        """Return the rest of the body.

        Raises ``HTTPException`` if it is longer than ``max_bytes`` or ends early.
        """
        length = self.stated_length
        parts = []
        total = 0
        while part := self.read(READ_BYTES):
            total += len(part)
            if total > max_bytes:
                raise http.client.HTTPException(
                    f"found a body of over {max_bytes} bytes"
                )
            parts.append(part)
        return self.check_length(b"".join(parts), length)

    @staticmethod
    def check_length(body: bytes, length: int | None) -> bytes:
        """Return ``body``; raise ``IncompleteRead`` if it is shorter than ``length``.

        ``http.client`` doesn't check the length of a body read in parts.
        """
        if length is not None and len(body) < length:
            raise http.client.IncompleteRead(b"", length - len(body))
        return body

    def open_reader(self, raw: io.RawIOBase, sock: socket.socket) -> StrictLineReader:
        """Return the reader of ``raw``, which reads from ``sock``."""
        return StrictLineReader(raw)

    def begin(self) -> None:
        """Read the head of the final response, after interim ones."""
        super().begin()
        while self.status in INTERIM_STATUSES:
            # http.client reads a head only while there are no headers.
            self.headers = None  # type: ignore[assignment]
            super().begin()
        if self.status == http.client.SWITCHING_PROTOCOLS:
            raise http.client.HTTPException("found a switch to another protocol")
        self._check_header_names()
        self._check_framing()

    def _read_status(self) -> tuple[str, int, str]:
        """Return the version, the status and the reason."""
        line = self.fp.readline(MAX_LINE_BYTES + 1).decode("latin-1")
        found = STATUS_LINE.fullmatch(line)
        if found is None:
            raise http.client.BadStatusLine(line[:MAX_LOGGED_LENGTH])
        reason = (found["reason"] or "").strip(WHITESPACE)
        return found["version"], int(found["status"]), reason

    def _check_header_names(self) -> None:
        """Check that no header was dropped, or goes by a name with spaces."""
        for defect in self.headers.defects:
            if isinstance(defect, HEADER_DEFECTS):
                raise http.client.HTTPException(f"found a malformed header: {defect}")
        for name in self.headers:
            if not HEADER_NAME.fullmatch(name):
                raise http.client.HTTPException(f"found header name {name[:40]!r}")

    def _check_framing(self) -> None:
        codings = self.headers.get_all("Transfer-Encoding", [])
        if codings and not (self.chunked and len(codings) == 1):
            raise http.client.HTTPException(
                f"found Transfer-Encoding {codings!r}, allowed: chunked"
            )
        if self.chunked:
            # RFC 9112, 6.3: it overrides the length.
            return
        values = self.headers.get_all("Content-Length", [])
        lengths = {value.strip(WHITESPACE) for value in values}
        if len(lengths) > 1 or not all(map(LENGTH.fullmatch, lengths)):
            raise http.client.HTTPException(
                f"found Content-Length {values!r}, allowed: one number"
            )

    def _get_chunk_left(self) -> int | None:
        """Return the bytes left in the current chunk, ``None`` after the last one."""
        if self.chunk_left == 0:
            chunk_end = self.fp.read(len(CHUNK_END))
            if chunk_end != CHUNK_END:
                raise http.client.IncompleteRead(chunk_end)
            self.chunk_left = None
        left: int | None = super()._get_chunk_left()  # type: ignore[misc]
        return left

    def _read_next_chunk_size(self) -> int:
        """Return the size of the next chunk; ``int`` would accept signs and ``0x``."""
        # The lines after the last chunk follow its size line.
        self._reader.begin_lines(MAX_TRAILER_BYTES)
        line = self.fp.readline(MAX_LINE_BYTES + 1)
        found = CHUNK_SIZE_LINE.fullmatch(line)
        if found is None:
            raise http.client.IncompleteRead(line)
        return int(found[1], 16)


ResponseT = TypeVar("ResponseT", bound=StrictResponse)


def read_head(
    connection: http.client.HTTPConnection,
    response_type: type[ResponseT],
    deadline: timedelta,
    clock: Clock,
) -> ResponseT:
    """Read the head of the response on ``connection``.

    Raises ``TimeoutError`` at the time ``deadline`` of ``clock``, which also applies to
    the body, and ``OSError`` or ``HTTPException`` if the head is malformed.
    """
    connection.response_class = partial(  # type: ignore[assignment]
        response_type, deadline=deadline, clock=clock
    )
    response = connection.getresponse()
    assert isinstance(response, response_type)
    return response
