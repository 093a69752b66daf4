"""Connections of callers, bounded in what they hold and for how long."""

import socket
import time
from datetime import timedelta
from typing import Any

from waitress.task import ErrorTask

from runhatch_server.http._channel import FramingChannel
from runhatch_server.http._memory import Holding, RequestMemory
from runhatch_server.http._parser import BoundedParser, PostponedParser
from runhatch_server.http._refusals import BuildRefusal, status_line
from runhatch_server.refusals import Executed, Reason, Refusal

UNACCOUNTED_BYTES = 16_384
"""What requests on one connection may hold without being accounted for."""
MEMORY_RETRY_DELAY = timedelta(seconds=1)
"""Retry delay of requests that are refused for lack of memory."""
MAX_STEPS_PER_READ = 64
"""Steps of decoding in one read above which a connection sends small chunks."""
SMALL_CHUNKS_RECEIVE_BYTES = 1_024
"""Bytes read at once from a connection with small chunks: each costs as much time as
some hundred bytes, and other connections wait meanwhile."""
DISCARD_BYTES = 65_536
"""Bytes discarded in one read."""
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
    """A connection whose requests are accounted for in ``memory``."""

    error_task_class = RefusalTask
    request: BoundedParser | PostponedParser | None

    def __init__(
        self,
        memory: RequestMemory,
        build_refusal: BuildRefusal,
        *arguments: Any,
        **named: Any,
    ) -> None:
        """The further arguments are waitress's."""
        self.build_refusal = build_refusal
        self._memory = memory
        self._holding = Holding(self._request_eviction)
        self._output_bytes = 0
        self._unsent_bytes = 0
        self._output_progressed_at: timedelta | None = None
        """When the caller last read of an answer that waits for it."""
        self._awaited: BoundedParser | None = None
        """The request whose body is arriving, with what counted of it."""
        self._counted_body_bytes = 0
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
    def idle_time(self) -> timedelta:
        """Time without a request in progress or an answer that is being sent, else 0.

        A request that has arrived but was not read yet does not show, so a connection
        has not been idle before it could be read.
        """
        if self.requests or self.request is not None or self.total_outbufs_len:
            return timedelta()
        return timedelta(seconds=time.time() - self.last_activity)

    @property
    def body_pause(self) -> timedelta:
        """Time since an unfinished body has made progress, else 0.

        While an earlier request on the connection is served, it may have to wait.
        """
        progressed_at = self._holding.progressed_at
        if progressed_at is None or self.requests:
            return timedelta()
        return self.clock.elapsed() - progressed_at

    @property
    def output_pause(self) -> timedelta:
        """Time since the caller has read of an answer that waits for it, else 0."""
        progressed_at = self._output_progressed_at
        if progressed_at is None or not self.total_outbufs_len:
            return timedelta()
        return self.clock.elapsed() - progressed_at

    @property
    def is_overdue(self) -> bool:
        """Whether a refused caller has had its time to stop sending."""
        until = self._lingers_until
        return until is not None and self.clock.elapsed() >= until

    def parser_class(self, settings: Any) -> BoundedParser | PostponedParser:
        """Return the parser of the next request."""
        if len(self.requests) > self.adj.channel_request_lookahead:
            return PostponedParser(settings)
        return BoundedParser(settings, self._admit)

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
        self._record_progress()
        self._update_account()
        return is_accepted

    def service(self) -> None:
        """Serve the next request."""
        super().service()
        if self._holding.progressed_at is not None:
            self._holding.progressed_at = self.clock.elapsed()
        self._update_account()
        if isinstance(self.request, PostponedParser):
            self.server.trigger.pull_trigger(self._parse_postponed)

    def write_soon(self, data: Any) -> int:
        """Send ``data``, or keep what the caller does not read yet."""
        written: int = super().write_soon(data)
        if self.total_outbufs_len:
            self._record_output()
        return written

    def handle_write(self) -> None:
        """Send what is kept of answers."""
        super().handle_write()
        if self._output_bytes:
            self._record_output()

    def refuse_unfinished(self, refusal: Refusal) -> None:
        """Refuse a request whose body has not arrived; called by the server thread."""
        with self.requests_lock:
            request = self.request
            if not isinstance(request, BoundedParser) or not request.awaits_body:
                return
            if not self.connected or self.is_lingering:
                return
            request.refuse(refusal)
            self.request = None
            self.sent_continue = False
            self.requests.append(request)
            if len(self.requests) == 1:
                self.server.add_task(self)
        self._record_progress()
        self._update_account()

    def stop_sending(self) -> None:
        """Close the connection, whose caller does not read.

        The flag that has waitress close it takes effect when the socket can be written.
        """
        self.server.trigger.pull_trigger(self.handle_close)

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
        if self.request is not None:
            self.request.close()
        self._holding.progressed_at = None
        self._update_account()

    @property
    def _step_count(self) -> int:
        request = self.request
        return request.step_count if isinstance(request, BoundedParser) else 0

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

    def _parse_postponed(self) -> None:
        with self.requests_lock:
            request = self.request
            if not isinstance(request, PostponedParser) or not self.connected:
                return
            self.request = None
        self.received(request.unparsed)

    def _admit(self, request: BoundedParser) -> Refusal | None:
        """Return a refusal if there is no memory for ``request``."""
        size = self._measure()
        if size <= UNACCOUNTED_BYTES and not request.awaits_body:
            return None
        final_size = size - request.held_bytes + request.final_bytes
        if final_size <= UNACCOUNTED_BYTES:
            return None
        if self._memory.admit(self._holding, size, final_size):
            return None
        return self._build_memory_refusal()

    def _build_memory_refusal(self) -> Refusal:
        detail = f"open requests hold {self._memory.held} of {self._memory.limit} bytes"
        return Refusal(
            Reason.MEMORY_FULL, Executed.NO, detail, retry_after=MEMORY_RETRY_DELAY
        )

    def _request_eviction(self) -> None:
        self.server.trigger.pull_trigger(self._evict)

    def _evict(self) -> None:
        self.refuse_unfinished(self._build_memory_refusal())

    def _record_progress(self) -> None:
        request = self.request
        if not isinstance(request, BoundedParser) or not request.awaits_body:
            self._awaited = None
            self._holding.progressed_at = None
            return
        received = request.body_bytes
        progress = received - self._counted_body_bytes
        has_progressed = progress >= self.adj.min_body_progress_bytes
        if request is not self._awaited or has_progressed:
            self._awaited = request
            self._counted_body_bytes = received
            self._holding.progressed_at = self.clock.elapsed()

    def _record_output(self) -> None:
        """Account for what the caller does not read; a buffer is freed as a whole."""
        left = self.total_outbufs_len
        if not left:
            self._output_progressed_at = None
        elif self._output_progressed_at is None or left < self._unsent_bytes:
            self._output_progressed_at = self.clock.elapsed()
        self._unsent_bytes = left
        self._output_bytes = max(self._output_bytes, left) if left else 0
        self._update_account()

    def _update_account(self) -> None:
        if self._holding.size or self._measure() > UNACCOUNTED_BYTES:
            self._memory.update(self._holding, self._measure)

    def _measure(self) -> int:
        """Return what all requests and answers on this connection hold, in bytes."""
        held = self._output_bytes if self.total_outbufs_len else 0
        for request in (*self.requests,):
            held += request.held_bytes
        if self.request is not None and self.connected:
            held += self.request.held_bytes
        return held
