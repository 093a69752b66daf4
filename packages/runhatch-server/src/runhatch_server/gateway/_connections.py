"""Pooled connections to targets, reused only if no unread bytes are left on them.

Leftover bytes of one answer would otherwise be read as the next answer.  A second copy
of an answer may also arrive after the next request was sent, so that only the id of its
attempt distinguishes it: no connection carries two requests with the same id.
"""

import errno
import functools
import http.client
import io
import select
import socket
import threading
from collections import defaultdict
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from datetime import timedelta
from typing import ParamSpec, TypeVar

from runhatch_coordination import Clock
from runhatch_server.decisions import Headers
from runhatch_server.fleet import Target
from runhatch_server.http import (
    INVALID_HOST_ERRORS,
    AnswerMemory,
    StrictLineReader,
    StrictResponse,
    enable_keepalive,
    read_head,
)
from runhatch_server.targets import AttemptReason, NotSent, probe_refusal

CONNECT_TIMEOUT = timedelta(milliseconds=400)
"""Targets in the region accept within about 10 ms; a lost SYN is retransmitted only
after a second, which is too late to wait for."""
DEAD_TARGET_TIMEOUT = timedelta(seconds=2.5)
"""Time without a packet from a target after which its connection counts as dead.  As
probes are a second apart, it is closed three seconds after the last packet: within
three seconds of a partition, but not if a target is silent for a second and a half."""
PROCESS_EXIT_CLOSE_TIME = timedelta(milliseconds=2)
"""Time in which all connections of an exiting process are closed."""
MAX_IDLE_TIME = timedelta(seconds=8)
"""Maximum idle time of a pooled connection, even if its target allows more."""
READ_SIZE = 65_536
CHUNK_END = b"\r\n"

_Arguments = ParamSpec("_Arguments")
_Result = TypeVar("_Result")


def _report_death_as_reset(
    function: Callable[_Arguments, _Result],
) -> Callable[_Arguments, _Result]:
    """Raise ``ConnectionResetError`` if the kernel closed a dead connection.

    Python raises ``TimeoutError`` then too, as if a timeout of the call had passed.
    """

    @functools.wraps(function)
    def call(*args: _Arguments.args, **kwargs: _Arguments.kwargs) -> _Result:
        try:
            return function(*args, **kwargs)
        except TimeoutError as error:
            if error.errno != errno.ETIMEDOUT:
                raise
            raise ConnectionResetError(*error.args) from error

    return call


class _LeftoverReader(StrictLineReader):
    """Reads one answer and detects bytes that follow its end.

    ``http.client`` drops its buffer with each answer.  Part of an unsolicited
    answer could be lost with it, and the rest be read as the next answer.
    """

    def __init__(self, raw: io.RawIOBase, sock: socket.socket) -> None:
        super().__init__(raw)
        self._socket = sock
        self.left_behind = False

    def pending(self) -> bytes:
        """Return buffered or received bytes without blocking or consuming them."""
        timeout = self._socket.gettimeout()
        self._socket.settimeout(0)
        try:
            return self.peek(1)
        finally:
            self._socket.settimeout(timeout)

    def close(self) -> None:
        """Record whether unread bytes are left, then close."""
        if not self.closed:
            try:
                self.left_behind = bool(self.pending())
            except OSError:
                self.left_behind = True
        super().close()


class _LeftoverResponse(StrictResponse):
    """An answer read through a :class:`_LeftoverReader`."""

    reader: _LeftoverReader
    read_error: OSError | None = None
    """Error of the connection that was found by looking for data.  The kernel reports
    it once; the next read would find the end of the connection."""

    def open_reader(self, raw: io.RawIOBase, sock: socket.socket) -> _LeftoverReader:
        """Return the reader of ``raw``, which reads from ``sock``."""
        self.reader = _LeftoverReader(raw, sock)
        return self.reader

    def has_pending(self) -> bool:
        """Return whether the next read returns data without blocking.

        The CRLF that ends a chunk doesn't count, as no data may follow it yet.
        """
        if self.fp is None:
            return True
        try:
            pending = self.reader.pending()
        except OSError as error:
            self.read_error = error
            return True
        return len(pending) > (len(CHUNK_END) if self.chunked else 0)


class TargetConnection:
    """A connection to one incarnation of a target; used by one thread at a time."""

    def __init__(
        self, target: Target, clock: Clock, answers: AnswerMemory | None = None
    ) -> None:
        """``answers`` bounds the answers that are read whole."""
        self.target = target
        self.use_count = 0
        self.idle_until = timedelta()
        self._connection = http.client.HTTPConnection(target.host, target.port)
        self._clock = clock
        self._answers = answers or AnswerMemory(clock=clock)
        self._response: _LeftoverResponse | None = None
        self._socket: socket.socket | None = None
        self._body_left: int | None = None
        self._has_length = False
        self._attempts: dict[str, timedelta] = {}
        """Ids of the attempts that were sent, each with the end of its request."""

    @property
    def is_framed(self) -> bool:
        """Whether the answer states where its body ends.

        Otherwise the body ends with the connection, as it does if the target ends.
        """
        response = self._require_response()
        return response.chunked or self._has_length

    def connect(self, timeout: timedelta) -> None:
        """Open the connection; raises ``OSError`` on failure or timeout."""
        self._connection.timeout = timeout.total_seconds()
        self._connection.connect()
        # http.client drops its reference when the answer ends the connection, but the
        # response still reads from the socket.
        self._socket = self._connection.sock
        if self._socket is not None:
            enable_keepalive(self._socket, DEAD_TARGET_TIMEOUT)

    def has_carried(self, attempt_id: str) -> bool:
        """Return whether an answer here may be one to an earlier ``attempt_id``."""
        return attempt_id in self._attempts

    def record_attempt(self, attempt_id: str, ends_at: timedelta) -> None:
        """Record that ``attempt_id`` is sent here.

        Its request ends by ``ends_at``, after which the id is not sent again.
        """
        now = self._clock.elapsed()
        while self._attempts:
            oldest = next(iter(self._attempts))
            if self._attempts[oldest] > now:
                break
            del self._attempts[oldest]
        self._attempts[attempt_id] = ends_at

    @_report_death_as_reset
    def send(
        self, method: str, uri: str, headers: Headers, body: bytes, timeout: timedelta
    ) -> None:
        """Send a request.

        Raises ``OSError`` on failure; the target may have received it nonetheless.
        """
        self.use_count += 1
        self.set_timeout(timeout)
        connection = self._connection
        connection.putrequest(method, uri, skip_host=True, skip_accept_encoding=True)
        for name, value in headers:
            connection.putheader(name, value)
        if body or method in ("POST", "PUT", "PATCH"):
            connection.putheader("Content-Length", str(len(body)))
        connection.endheaders(body or None)

    def wait_readable(self, timeout: timedelta) -> bool:
        """Wait until data can be read; return false if ``timeout`` passes first."""
        if self._response is not None and self._response.has_pending():
            return True
        return self._socket is None or _is_readable(self._socket, timeout)

    @_report_death_as_reset
    def read_head(self, timeout: timedelta) -> http.client.HTTPResponse:
        """Read the head; raises ``OSError`` or ``HTTPException`` if it is malformed."""
        self.set_timeout(timeout)
        deadline = self._clock.elapsed() + timeout
        response = read_head(self._connection, _LeftoverResponse, deadline, self._clock)
        response.set_deadline(None)
        self._response = response
        self._body_left = None if response.chunked else response.length
        self._has_length = self._body_left is not None
        return response

    @_report_death_as_reset
    def read_chunk(self) -> bytes:
        """Return the next bytes of the body as they arrive; empty at its end.

        Raises ``OSError`` or ``HTTPException`` if the body ends early, which can't be
        detected unless :attr:`is_framed`, or if none arrive within the timeout.
        """
        with self._limit_reads() as response:
            return self._read_chunk(response)

    @_report_death_as_reset
    def read_body(self) -> bytes:
        """Return the whole body; raises like :meth:`read_chunk` if it ends early.

        All of it must arrive within the timeout.  Raises ``AnswerTooLongError`` and
        ``AnswerMemoryFullError`` as :class:`AnswerMemory` does.
        """
        with self._limit_reads() as response:
            return self._answers.read_body(response)

    @_report_death_as_reset
    def skip_body(self, max_bytes: int) -> None:
        """Read the whole body; raises like :meth:`read_chunk` if it ends early.

        Raises ``HTTPException`` if it is longer than ``max_bytes``.
        """
        with self._limit_reads() as response:
            response.read_whole(max_bytes)

    def set_timeout(self, timeout: timedelta) -> None:
        """Set the timeout of further reads and writes."""
        if self._socket is not None:
            self._socket.settimeout(max(0.001, timeout.total_seconds()))

    def finish_answer(self) -> bool:
        """Close a completely read answer; return whether the connection is reusable.

        It isn't if bytes or the end of the connection follow the answer.
        """
        if self._response is not None:
            self._response.close()
            if self._response.reader.left_behind:
                return False
            self._response = None
        return self.is_clean()

    def is_clean(self) -> bool:
        """Return whether the connection is open and has no unread bytes."""
        # http.client drops the socket when the answer ends the connection.
        sock = self._connection.sock
        return sock is not None and not _is_readable(sock, timedelta())

    def close(self) -> None:
        """Close the connection, upon which the target cancels a request in progress."""
        if self._response is not None:
            self._response.close()
        self._connection.close()

    def _read_chunk(self, response: _LeftoverResponse) -> bytes:
        if response.read_error is not None:
            raise response.read_error
        if response.chunked or response.fp is None:
            # Raises if the connection ends within a chunk or before the last chunk.
            return bytes(response.read1(READ_SIZE))
        if self._body_left is None:
            return response.fp.read1(READ_SIZE)
        if not self._body_left:
            return b""
        chunk = response.fp.read1(min(self._body_left, READ_SIZE))
        if not chunk:
            raise http.client.IncompleteRead(b"", self._body_left)
        self._body_left -= len(chunk)
        return chunk

    @contextmanager
    def _limit_reads(self) -> Iterator[_LeftoverResponse]:
        """Limit the reads of one part of the body together by the timeout."""
        response = self._require_response()
        timeout = None if self._socket is None else self._socket.gettimeout()
        if timeout is not None:
            response.set_deadline(self._clock.elapsed() + timedelta(seconds=timeout))
        try:
            yield response
        finally:
            response.set_deadline(None)

    def _require_response(self) -> _LeftoverResponse:
        if self._response is None:
            raise http.client.ResponseNotReady
        return self._response


class ConnectionPool:
    """The connections of one node to all targets; thread-safe."""

    def __init__(self, clock: Clock, answers: AnswerMemory | None = None) -> None:
        """``answers`` bounds the answers that are read whole."""
        self._clock = clock
        self._answers = answers or AnswerMemory(clock=clock)
        self._lock = threading.Lock()
        self._idle_connections: dict[str, list[TargetConnection]] = defaultdict(list)
        self._open_counts: dict[str, int] = defaultdict(int)

    def acquire(
        self, target: Target, max_open: int, time_left: timedelta, attempt_id: str
    ) -> TargetConnection | NotSent:
        """Return a clean connection to ``target`` for ``attempt_id``, pooled or new.

        The connection has not carried the id before.  ``time_left`` is the time until
        the request ends.  Returns ``NotSent`` if ``max_open`` connections are open or
        connecting fails.
        """
        connection = self._take_idle(target.incarnation, attempt_id)
        if connection is None:
            opened = self._open(target, max_open, time_left)
            if isinstance(opened, NotSent):
                return opened
            connection = opened
        ends_at = self._clock.elapsed() + time_left
        connection.record_attempt(attempt_id, ends_at)
        return connection

    def _take_idle(self, target: str, attempt_id: str) -> TargetConnection | None:
        while (pooled := self._pop_idle(target, attempt_id)) is not None:
            if self._clock.elapsed() < pooled.idle_until and pooled.is_clean():
                return pooled
            self.discard(pooled)
        return None

    def _open(
        self, target: Target, max_open: int, timeout: timedelta
    ) -> TargetConnection | NotSent:
        is_counted = self._count_open(target.incarnation, max_open)
        if not is_counted:
            unsuitable = self._pop_idle(target.incarnation)
            if unsuitable is None:
                return NotSent(AttemptReason.TARGET_BUSY)
            self.discard(unsuitable)
            is_counted = self._count_open(target.incarnation, max_open)
        if not is_counted:
            return NotSent(AttemptReason.TARGET_BUSY)
        connection = None
        try:
            connection = TargetConnection(target, self._clock, self._answers)
            connection.connect(min(timeout, CONNECT_TIMEOUT))
        except (OSError, *INVALID_HOST_ERRORS) as error:
            if connection is not None:
                connection.close()
            self._uncount(target.incarnation)
            if isinstance(error, TimeoutError):
                # Packets are lost on open connections too.
                self.close_idle(target.incarnation)
            return NotSent(AttemptReason.CONNECT_FAILED)
        return connection

    def has_idle(self, target: str) -> bool:
        """Return whether the pool has an idle connection to ``target``."""
        with self._lock:
            return bool(self._idle_connections.get(target))

    def close_idle(self, target: str) -> None:
        """Close the idle connections to ``target``, which no longer answers."""
        while (connection := self._pop_idle(target)) is not None:
            self.discard(connection)

    def refuses_connections_of(self, target: Target) -> bool:
        """Return whether the address of ``target`` is known to refuse connections."""
        return self.probe_refusal_of(target) is True

    def probe_refusal_of(self, target: Target) -> bool | None:
        """Return whether ``target`` refuses connections, ``None`` if unknown.

        A process that exits closes its idle connections too, so if all are still
        open, the target most likely runs, and no new connection is tried.
        """
        if self.has_idle(target.incarnation):
            self._clock.sleep(PROCESS_EXIT_CLOSE_TIME)
            if self._all_idle_open(target.incarnation):
                return False
        return probe_refusal(target.host, target.port)

    def release(self, connection: TargetConnection, idle: timedelta) -> None:
        """Pool ``connection`` for ``idle``, or close it if it isn't clean.

        Its answer must have been read to the end.
        """
        now = self._clock.elapsed()
        connection.idle_until = now + min(idle, MAX_IDLE_TIME)
        if not connection.finish_answer():
            self.discard(connection)
            return
        with self._lock:
            self._idle_connections[connection.target.incarnation].append(connection)

    def discard(self, connection: TargetConnection) -> None:
        """Close ``connection``, which was taken from this pool."""
        connection.close()
        self._uncount(connection.target.incarnation)

    def close_expired(self, known_targets: frozenset[str]) -> None:
        """Close idle connections that expired or lack a target in ``known_targets``."""
        now = self._clock.elapsed()
        with self._lock:
            expired = [
                connection
                for target, idle in self._idle_connections.items()
                for connection in idle
                if now >= connection.idle_until or target not in known_targets
            ]
            for connection in expired:
                self._idle_connections[connection.target.incarnation].remove(connection)
            for target in [
                name for name in self._open_counts if name not in known_targets
            ]:
                if not self._open_counts[target]:
                    del self._open_counts[target]
                    self._idle_connections.pop(target, None)
        for connection in expired:
            self.discard(connection)

    def _count_open(self, target: str, max_open: int) -> bool:
        """Count a connection as open unless there are ``max_open`` of them."""
        with self._lock:
            if self._open_counts[target] >= max_open:
                return False
            self._open_counts[target] += 1
            return True

    def _uncount(self, target: str) -> None:
        with self._lock:
            self._open_counts[target] -= 1

    def _all_idle_open(self, target: str) -> bool:
        with self._lock:
            idle = self._idle_connections.get(target, [])
            return bool(idle) and all(connection.is_clean() for connection in idle)

    def _pop_idle(
        self, target: str, attempt_id: str | None = None
    ) -> TargetConnection | None:
        """Remove and return an idle connection that has not carried ``attempt_id``."""
        with self._lock:
            idle = self._idle_connections.get(target, [])
            # The last one used is the least likely to have been closed by the target.
            for position in reversed(range(len(idle))):
                if attempt_id is None or not idle[position].has_carried(attempt_id):
                    return idle.pop(position)
            return None


def _is_readable(sock: socket.socket, timeout: timedelta) -> bool:
    poller = select.poll()
    poller.register(sock, select.POLLIN)
    return bool(poller.poll(timeout.total_seconds() * 1000))
