"""Connections of callers, whose requests are bounded by the server."""

import socket
import time
from datetime import timedelta
from typing import Any

from waitress.task import ErrorTask

from runhatch_server.http._channel import FramingChannel
from runhatch_server.http._parser import BoundedParser
from runhatch_server.http._refusals import BuildRefusal, status_line

MAX_STEPS_PER_READ = 64
SMALL_CHUNKS_RECEIVE_BYTES = 1_024
"""Bytes read at once from a connection with small chunks: each costs as much time as
some hundred bytes, and other connections wait meanwhile."""
DISCARD_BYTES = 65_536
LINGER_TIME = timedelta(seconds=2)
"""Time in which what a refused caller still sends is discarded.  Closing with unread
bytes would reset the connection, and the caller could lose the refusal (RFC 9112,
9.6)."""


class RefusalTask(ErrorTask):  # type: ignore[misc]
    """Answers a request that the server itself refuses."""

    def execute(self) -> None:
        """Send the refusal, after which the connection closes."""
        self.channel.linger_on_close()
        refusal = self.request.refusal
        if refusal is None:
            super().execute()
            return
        headers = {
            name.replace("_", "-").lower(): value
            for name, value in self.request.headers.items()
        }
        answer = self.channel.build_refusal(refusal, headers)
        self.status = status_line(refusal)
        self.response_headers.extend(answer.headers)
        self.set_close_on_finish()
        self.content_length = len(answer.body)
        self.write(answer.body)


class BoundedChannel(FramingChannel):
    """A connection whose requests are bounded."""

    error_task_class = RefusalTask
    request: BoundedParser | None

    def __init__(
        self,
        build_refusal: BuildRefusal,
        *arguments: Any,
        **named: Any,
    ) -> None:
        """The further arguments are waitress's."""
        self.build_refusal = build_refusal
        self._must_linger = False
        self._discarded_bytes = 0
        self._lingers_until: timedelta | None = None
        self._has_small_chunks = False
        super().__init__(*arguments, **named)

    @property
    def is_lingering(self) -> bool:
        """Whether the connection only waits for its caller to stop sending."""
        return self._lingers_until is not None

    @property
    def is_overdue(self) -> bool:
        """Whether a refused caller has had its time to stop sending."""
        until = self._lingers_until
        return until is not None and self.clock.elapsed() >= until

    def parser_class(self, settings: Any) -> BoundedParser:
        """Return the parser of the next request."""
        return BoundedParser(settings)

    def handle_read(self) -> None:
        """Receive and parse some bytes, or discard them after a refusal."""
        try:
            data = self.recv(self._choose_receive_bytes())
        except OSError:
            self.handle_close()
            return
        if self.is_lingering:
            self._discarded_bytes += len(data)
            if self._discarded_bytes > self.adj.max_request_body_size:
                self.handle_close()
        elif data:
            self.last_activity = time.time()
            self.received(data)
        else:
            self.connected = False

    def received(self, data: bytes) -> bool:
        """Parse ``data``, which the caller sent."""
        steps_before = self._step_count
        is_accepted = super().received(data)
        self._has_small_chunks = self._step_count - steps_before > MAX_STEPS_PER_READ
        return is_accepted

    def linger_on_close(self) -> None:
        """Have the next close wait until the caller stops sending."""
        self._must_linger = True

    def handle_close(self) -> None:
        """Close the connection, or begin to wait for its caller to stop sending."""
        if self._must_linger and self.connected and not self.total_outbufs_len:
            self._must_linger = False
            if self._begin_lingering():
                return
        super().handle_close()

    @property
    def _step_count(self) -> int:
        request = self.request
        return 0 if request is None else request.step_count

    def _choose_receive_bytes(self) -> int:
        if self.is_lingering:
            return DISCARD_BYTES
        if self._has_small_chunks:
            return SMALL_CHUNKS_RECEIVE_BYTES
        return int(self.adj.recv_bytes)

    def _begin_lingering(self) -> bool:
        try:
            self.socket.shutdown(socket.SHUT_WR)
        except OSError:
            return False
        self._lingers_until = self.clock.elapsed() + LINGER_TIME
        self.will_close = False
        self.request = None
        return True
