"""Responses of ``http.client`` whose framing is read strictly.

``http.client`` takes the end of the connection for the end of the headers, and part of
a chunk's size for the size, so that a truncated response may look complete.  It also
guesses where a body with malformed framing ends.
"""

import http.client
import io
import re
import socket
from email.errors import (
    FirstHeaderLineIsContinuationDefect,
    InvalidHeaderDefect,
    MisplacedEnvelopeHeaderDefect,
    MissingHeaderBodySeparatorDefect,
)

HEADER_DEFECTS = (
    FirstHeaderLineIsContinuationDefect,
    InvalidHeaderDefect,
    MisplacedEnvelopeHeaderDefect,
    MissingHeaderBodySeparatorDefect,
)
"""Defects after which the parser drops headers; others concern bodies of mail."""
INTERIM_STATUSES = frozenset(range(100, 200)) - {http.client.SWITCHING_PROTOCOLS}
HEADER_NAME = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
WHITESPACE = " \t"
LENGTH = re.compile(r"[0-9]+")
CHUNK_SIZE_LINE = re.compile(rb"([0-9A-Fa-f]+)[ \t]*(?:;[^\n]*)?\r\n")
CHUNK_END = b"\r\n"
MAX_LINE_BYTES = 65_536


class StrictLineReader(io.BufferedReader):
    """Reads a connection; a line that ends early is an error."""

    def readline(self, size: int | None = -1, /) -> bytes:
        """Return the next line, of at most ``size`` bytes.

        Raises ``IncompleteRead`` if the connection ends first.
        """
        line = super().readline(size)
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
    ) -> None:
        super().__init__(sock, debuglevel, method, url)
        self.fp = self.open_reader(self.fp.detach(), sock)

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
        line = self.fp.readline(MAX_LINE_BYTES + 1)
        found = CHUNK_SIZE_LINE.fullmatch(line)
        if found is None:
            raise http.client.IncompleteRead(line)
        return int(found[1], 16)
