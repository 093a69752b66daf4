"""Responses of ``http.client`` that detect lines cut by the end of the connection.

``http.client`` takes the end of the connection for the end of the headers, and part of
a chunk's size for the size, so that a truncated response may look complete.
"""

import http.client
import io
import socket


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
    """A response read through a :class:`StrictLineReader`."""

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
