"""Channel and task of waitress for bodies that end with their connection.

waitress sends each body without a length in chunks.  A proxy that did so could claim
that a body is complete although only its connection ended.
"""

import socket
import struct
from datetime import timedelta
from typing import Any

from waitress.channel import HTTPChannel
from waitress.task import WSGITask

from runhatch_coordination import Clock, SystemClock

OMIT_FRAMING_KEY = "runhatch.omit_framing"
CHUNKED_LINE = b"\r\nTransfer-Encoding: chunked\r\n"
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""``SO_LINGER`` value with which closing a socket resets its connection."""
FLUSH_ON_CLOSE = struct.pack("ii", 0, 0)
"""The default value, with which closing a socket sends what is left, then a FIN."""


class FramingTask(WSGITask):  # type: ignore[misc]
    """Runs the application, which may have the framing of its body omitted.

    A body without framing is complete if its connection is closed normally, so the
    connection is reset unless the application has returned the whole body.
    """

    chunked_response: bool = False
    _is_unframed = False

    @property
    def has_body(self) -> bool:
        """Whether the response has a body; waitress would send one to ``HEAD`` too."""
        return self.request.command != "HEAD" and bool(super().has_body)

    def get_environment(self) -> dict[str, Any]:
        """Return the environment, with the function that omits the framing."""
        environ: dict[str, Any] = super().get_environment()
        environ[OMIT_FRAMING_KEY] = self.omit_framing
        return environ

    def omit_framing(self) -> None:
        """Send neither a length nor chunks; call before the first part of the body."""
        self._is_unframed = True

    def build_response_header(self) -> bytes:
        """Return the head of the response."""
        head: bytes = super().build_response_header()
        if self._is_unframed and self.chunked_response:
            self.chunked_response = False
            head = head.replace(CHUNKED_LINE, b"\r\n", 1)
        has_framing = self.chunked_response or self.content_length is not None
        if self.has_body and not has_framing:
            self.channel.begin_unframed_body()
        return head

    def finish(self) -> None:
        """End the response, whose whole body has been written."""
        super().finish()
        self.channel.is_body_whole = True


class FramingChannel(HTTPChannel):  # type: ignore[misc]
    """A connection that is reset if it ends within a body without framing.

    That includes the end of this process, so the socket is set up in advance.
    """

    task_class = FramingTask
    clock: Clock = SystemClock()
    is_body_whole = False
    """Whether the last body without framing has been written completely to the
    buffer."""
    _head_began_at: timedelta | None = None

    @property
    def head_age(self) -> timedelta:
        """The time since the first byte of a head that is not complete yet, else 0."""
        began_at = self._head_began_at
        return timedelta() if began_at is None else self.clock.elapsed() - began_at

    def received(self, data: bytes) -> bool:
        """Parse ``data``, which the caller sent."""
        is_accepted = bool(super().received(data))
        request = self.request
        if request is None or request.headers_finished:
            self._head_began_at = None
        elif self._head_began_at is None:
            self._head_began_at = self.clock.elapsed()
        return is_accepted

    def begin_unframed_body(self) -> None:
        """Have any close reset the connection, until the whole body has been sent."""
        self.is_body_whole = False
        self._set_linger(RESET_ON_CLOSE)

    def handle_close(self) -> None:
        """Close the connection."""
        if self.is_body_whole and not self.total_outbufs_len:
            self._set_linger(FLUSH_ON_CLOSE)
        super().handle_close()

    def _set_linger(self, value: bytes) -> None:
        sock = self.socket
        if sock is None:
            return
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, value)
        except OSError:
            # The caller has closed the connection.
            return
