"""HTTP calls to one service over a pool of kept-alive connections."""

import http.client
import itertools
import queue
import select
import socket
import threading
from collections.abc import Callable, Mapping
from contextlib import suppress
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Any
from urllib.parse import urlsplit

from runhatch_coordination import Clock, SystemClock, Unavailable, Unknown
from runhatch_server.http._response import StrictResponse, read_head

MAX_BODY_BYTES = 16 * 1024 * 1024
"""Bound of the body of a response; objects of the store have 8 MiB at most."""
DEFAULT_POOL_SIZE = 6
"""Size of the connection pool of a service; further calls wait for a connection."""
INVALID_HOST_ERRORS = (UnicodeError, http.client.InvalidURL)
"""Raised before a connection is opened if no host can have such a name."""
DEAD_PEER_TIMEOUT = timedelta(seconds=3)
"""Time without a packet from the other host after which a connection is closed;
equals the time in which a lost lease renewal must be detected."""
KEEPALIVE_PROBE_INTERVAL = timedelta(seconds=1)
"""Interval of the kernel's keep-alive probes on an idle connection."""


@dataclass(frozen=True, slots=True)
class AbortedCall(Unknown):
    """The client aborted a waiting call; implies nothing about the service."""

    reason: str = "aborted by the client"


@dataclass(frozen=True, slots=True)
class Reply:
    """A response read to its end; header names are in lower case.

    Unless it is framed, a truncated body can't be distinguished from a complete one.
    """

    status: int
    body: bytes
    headers: Mapping[str, str] = field(default_factory=dict)
    is_framed: bool = True


class HttpClient:
    """A thread-safe client of one service.

    A call that could not be sent returns ``Unavailable``; one that was sent without a
    complete response returns ``Unknown``.  ``on_date`` is called with the ``Date``
    header of each response.

    The head of a response must arrive within ``timeout`` of the request, the whole
    response within ``transfer_time`` more, and no read may take longer than
    ``timeout``.
    """

    def __init__(
        self,
        base_url: str,
        timeout: timedelta,
        pool_size: int = DEFAULT_POOL_SIZE,
        on_date: Callable[[str | None], None] | None = None,
        transfer_time: timedelta = timedelta(),
        clock: Clock | None = None,
        max_body_bytes: int = MAX_BODY_BYTES,
    ) -> None:
        """A response with a body over ``max_body_bytes`` counts as incomplete."""
        self._max_body_bytes = max_body_bytes
        self._on_date = on_date
        self._clock = clock or SystemClock()
        self._transfer_time = transfer_time
        parts = urlsplit(base_url)
        self._host = parts.hostname or ""
        self._port = parts.port
        self._prefix = parts.path.rstrip("/")
        self._secure = parts.scheme == "https"
        self._timeout = timeout.total_seconds()
        self._pool: queue.LifoQueue[http.client.HTTPConnection | None]
        self._pool = queue.LifoQueue()
        for _ in range(pool_size):
            self._pool.put(None)
        self._waiting_calls: dict[int, socket.socket] = {}
        self._aborted_calls: set[int] = set()
        self._waiting_lock = threading.Lock()
        self._call_numbers = itertools.count()

    def send_request(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        headers: Mapping[str, str] | None = None,
        max_server_delay: timedelta = timedelta(),
    ) -> Reply | Unavailable | Unknown:
        """Send one request and read the whole response.

        ``max_server_delay`` is how long the service may delay its response (long
        polling).
        """
        try:
            kept = self._pool.get(timeout=self._timeout)
        except queue.Empty:
            return Unavailable("all connections are in use")
        connection, reusable = kept, None
        try:
            connection = kept or self._new_connection()
            timeout = self._timeout + max_server_delay.total_seconds()
            outcome = self._send(
                connection,
                method,
                path,
                body,
                headers or {},
                timeout,
                bool(max_server_delay),
            )
            reusable = connection if isinstance(outcome, Reply) else None
        except http.client.InvalidURL as error:
            return Unavailable(f"not reachable: {error}")
        finally:
            if connection is not None and reusable is None:
                connection.close()
            # A place that was not returned would be lost to all further calls.
            self._pool.put(reusable)
        return outcome

    def abort_waiting_calls(self) -> None:
        """Abort all long-polling calls whose response has not begun to arrive.

        A call whose request or response was lost would wait until its timeout.  A
        response that has begun to arrive is read to its end: on a slow link it takes
        long and would have to be sent again from its first byte.

        Idle connections are closed: one that the service has forgotten would lose the
        next call too.
        """
        self._close_idle_connections()
        with self._waiting_lock:
            waiting_sockets = list(self._waiting_calls.values())
            self._aborted_calls.update(self._waiting_calls)
        for waiting in waiting_sockets:
            try:
                waiting.shutdown(socket.SHUT_RDWR)
            except OSError:
                # The call has ended in the meantime.
                continue

    def _close_idle_connections(self) -> None:
        idle = []
        with suppress(queue.Empty):
            while True:
                idle.append(self._pool.get_nowait())
        for connection in idle:
            if connection is not None:
                connection.close()
            self._pool.put(None)

    def _new_connection(self) -> http.client.HTTPConnection:
        secure = self._secure
        connection_class = (
            http.client.HTTPSConnection if secure else http.client.HTTPConnection
        )
        return connection_class(self._host, self._port, timeout=self._timeout)

    def _send(
        self,
        connection: http.client.HTTPConnection,
        method: str,
        path: str,
        body: bytes,
        headers: Mapping[str, str],
        timeout: float,
        is_long_poll: bool,
    ) -> Reply | Unavailable | Unknown:
        try:
            if connection.sock is not None and _is_stale(connection.sock):
                connection.close()
            if connection.sock is None:
                connection.connect()
                opened_socket: Any = connection.sock
                enable_keepalive(opened_socket, DEAD_PEER_TIMEOUT)
        except (OSError, *INVALID_HOST_ERRORS) as error:
            return Unavailable(f"not reachable: {error}")
        sock = connection.sock
        number = self._record_wait(connection) if is_long_poll else None
        try:
            sock.settimeout(timeout)
            connection.request(
                method, self._prefix + path, body=body, headers=dict(headers)
            )
            deadline = self._clock.elapsed() + timedelta(seconds=timeout)
            response = read_head(connection, StrictResponse, deadline, self._clock)
            length = response.length
            is_framed = response.chunked or length is not None
            first_byte = response.read(1)
            if length and not first_byte:
                # http.client doesn't check the length of a body read in parts.
                raise http.client.IncompleteRead(first_byte, length)
            if not response.isclosed():
                self._record_first_byte(number, sock)
            response.set_deadline(deadline + self._transfer_time)
            answer = first_byte + response.read_whole(self._max_body_bytes)
            if self._on_date is not None:
                self._on_date(response.getheader("Date"))
        except (OSError, http.client.HTTPException) as error:
            if self._was_aborted(number):
                return AbortedCall()
            return Unknown(f"no answer: {type(error).__name__}")
        finally:
            self._remove_wait(number)
        headers_by_name = {name.lower(): value for name, value in response.getheaders()}
        return Reply(response.status, answer, headers_by_name, is_framed)

    def _was_aborted(self, number: int | None) -> bool:
        with self._waiting_lock:
            return number in self._aborted_calls

    def _remove_wait(self, number: int | None) -> None:
        if number is None:
            return
        with self._waiting_lock:
            self._waiting_calls.pop(number, None)
            self._aborted_calls.discard(number)

    def _record_first_byte(self, number: int | None, sock: socket.socket) -> None:
        """Remove a call from the waiting ones and restore the default timeout."""
        if number is None:
            return
        with self._waiting_lock:
            self._waiting_calls.pop(number, None)
        sock.settimeout(self._timeout)

    def _record_wait(self, connection: http.client.HTTPConnection) -> int:
        number = next(self._call_numbers)
        with self._waiting_lock:
            self._waiting_calls[number] = connection.sock
        return number


def _is_stale(kept: socket.socket) -> bool:
    """Return whether the other end has closed a connection that is not in use."""
    readable, _, _ = select.select([kept], [], [], 0)
    return bool(readable)


def enable_keepalive(connection: socket.socket, timeout: timedelta) -> None:
    """Have the kernel close a connection that received no packet for ``timeout``.

    A host that lost power, or is behind a network partition, sends no reset; without
    probes a long-polling call would detect the outage only at its own timeout.
    """
    probe = max(1, int(KEEPALIVE_PROBE_INTERVAL.total_seconds()))
    probes = max(1, int(timeout / KEEPALIVE_PROBE_INTERVAL) - 1)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, probe)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, probe)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, probes)
    milliseconds = int(timeout.total_seconds() * 1000)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, milliseconds)
