"""Kept connections to targets, used again only when that is sure to be clean."""

import http.client
import io
import select
import socket
import threading
from collections import defaultdict
from datetime import timedelta

from runhatch_coordination import Clock
from runhatch_server.decisions import Headers
from runhatch_server.fleet import Target
from runhatch_server.targets import AttemptReason, NotSent, refuses_connections

CONNECT_TIMEOUT = timedelta(milliseconds=400)
"""A target in the region accepts within some 10 ms; a dropped opening packet is
sent again after a second, which is too late to wait for."""
CLOSED_TOGETHER = timedelta(milliseconds=2)
"""Within which the connections of a process that ends are closed, one by one."""
LONGEST_IDLE = timedelta(seconds=8)
"""An idle connection is not kept longer, whatever its target allows."""
READ_SIZE = 65_536
CHUNK_END = b"\r\n"


class _WatchedReader(io.BufferedReader):
    """Reads one answer, and tells whether bytes lay behind its end.

    The library drops its buffer with each answer.  Part of an answer that nobody
    asked for could be lost in it, and its rest be read as the next answer.
    """

    def __init__(self, raw: io.RawIOBase, sock: socket.socket) -> None:
        super().__init__(raw)
        self._socket = sock
        self.left_behind = False

    def pending(self) -> bytes:
        """Return what can be looked at without waiting."""
        timeout = self._socket.gettimeout()
        self._socket.settimeout(0)
        try:
            return self.peek(1)
        finally:
            self._socket.settimeout(timeout)

    def close(self) -> None:
        """Note whether something is left, then close."""
        if not self.closed:
            try:
                self.left_behind = bool(self.pending())
            except OSError:
                self.left_behind = True
        super().close()


class _WatchedResponse(http.client.HTTPResponse):
    """An answer that is read through a :class:`_WatchedReader`."""

    def __init__(
        self,
        sock: socket.socket,
        debuglevel: int = 0,
        method: str | None = None,
        url: str | None = None,
    ) -> None:
        super().__init__(sock, debuglevel, method, url)
        self.reader = _WatchedReader(self.fp.detach(), sock)
        self.fp = self.reader

    def has_pending(self) -> bool:
        """Tell whether reading on would bring something without waiting.

        Between two chunks the end of the last one may lie there alone.
        """
        if self.fp is None:
            return True
        try:
            pending = self.reader.pending()
        except OSError:
            # The next read tells what is wrong.
            return True
        return len(pending) > (len(CHUNK_END) if self.chunked else 0)


class TargetConnection:
    """One connection to one life of one target; used by one thread at a time."""

    def __init__(self, target: Target) -> None:
        self.target = target
        self.uses = 0
        self.idle_until = timedelta()
        self._connection = http.client.HTTPConnection(target.host, target.port)
        self._connection.response_class = _WatchedResponse
        self._response: _WatchedResponse | None = None
        self._socket: socket.socket | None = None
        self._left: int | None = None

    def connect(self, timeout: timedelta) -> None:
        """Open it; raises ``OSError`` if that cannot be done in time."""
        self._connection.timeout = timeout.total_seconds()
        self._connection.connect()
        # The response outlives the connection's own reference where it ends with it.
        self._socket = self._connection.sock

    def send(
        self, method: str, uri: str, headers: Headers, body: bytes, timeout: timedelta
    ) -> None:
        """Send a request; raises ``OSError`` after which it may have arrived."""
        self.uses += 1
        self.set_timeout(timeout)
        connection = self._connection
        connection.putrequest(method, uri, skip_host=True, skip_accept_encoding=True)
        for name, value in headers:
            connection.putheader(name, value)
        if body or method in ("POST", "PUT", "PATCH"):
            connection.putheader("Content-Length", str(len(body)))
        connection.endheaders(body or None)

    def wait(self, timeout: timedelta) -> bool:
        """Wait until something can be read; false if ``timeout`` passes first."""
        if self._response is not None and self._response.has_pending():
            return True
        return self._socket is None or _readable(self._socket, timeout)

    def read_head(self, timeout: timedelta) -> http.client.HTTPResponse:
        """Read the head; raises ``OSError`` or ``HTTPException`` if it is broken."""
        self.set_timeout(timeout)
        response = self._connection.getresponse()
        assert isinstance(response, _WatchedResponse)
        self._response = response
        self._left = None if response.chunked else response.length
        return response

    def read_some(self) -> bytes:
        """Return the next bytes of the body as they come, empty at its end.

        Raises ``OSError`` or ``HTTPException`` if it ends early.
        """
        response = self._require_response()
        if response.chunked or response.fp is None:
            # Raises if the connection ends within a chunk or before the last.
            return bytes(response.read1(READ_SIZE))
        if self._left is None:
            return response.fp.read1(READ_SIZE)
        if not self._left:
            return b""
        chunk = response.fp.read1(min(self._left, READ_SIZE))
        if not chunk:
            raise http.client.IncompleteRead(b"", self._left)
        self._left -= len(chunk)
        return chunk

    def read_whole(self) -> bytes:
        """Return the whole body; raises as :meth:`read_some` if it is short."""
        return self._require_response().read()

    def set_timeout(self, timeout: timedelta) -> None:
        """Limit how long each further read or write may wait."""
        if self._socket is not None:
            self._socket.settimeout(max(0.001, timeout.total_seconds()))

    def finish(self) -> bool:
        """End the answer, read whole; tells whether the connection may be used again.

        It may not if anything came behind the answer, the end included.
        """
        if self._response is not None:
            self._response.close()
            if self._response.reader.left_behind:
                return False
            self._response = None
        return self.is_clean()

    def is_clean(self) -> bool:
        """Tell whether nothing waits to be read, the end included."""
        # The library lets go of the socket where the answer ends the connection.
        sock = self._connection.sock
        return sock is not None and not _readable(sock, timedelta())

    def close(self) -> None:
        """Close it; a target that works on its request stops."""
        if self._response is not None:
            self._response.close()
        self._connection.close()

    def _require_response(self) -> _WatchedResponse:
        if self._response is None:
            raise http.client.ResponseNotReady
        return self._response


class ConnectionPool:
    """The connections of one node to all targets; safe for many threads."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._idle: dict[str, list[TargetConnection]] = defaultdict(list)
        self._open: dict[str, int] = defaultdict(int)

    def take(
        self, target: Target, most: int, timeout: timedelta
    ) -> TargetConnection | NotSent:
        """Return a clean connection to ``target``.

        No more than ``most`` are open at once.
        """
        while True:
            kept = self._take_idle(target.incarnation)
            if kept is None:
                break
            if self._clock.elapsed() < kept.idle_until and kept.is_clean():
                return kept
            self.discard(kept)
        with self._lock:
            if self._open[target.incarnation] >= most:
                return NotSent(AttemptReason.TARGET_BUSY)
            self._open[target.incarnation] += 1
        connection = TargetConnection(target)
        try:
            connection.connect(min(timeout, CONNECT_TIMEOUT))
        except OSError:
            self.discard(connection)
            return NotSent(AttemptReason.CONNECT_FAILED)
        return connection

    def has_idle(self, target: str) -> bool:
        """Tell whether a kept connection to ``target`` could be used now."""
        with self._lock:
            return bool(self._idle.get(target))

    def refuses(self, target: Target) -> bool:
        """Tell whether nothing listens at the address of ``target`` any more.

        A process that ends closes its kept connections too, so if all are open it
        lives most likely, and needs no new one.
        """
        if self.has_idle(target.incarnation):
            self._clock.sleep(CLOSED_TOGETHER)
            if self._all_open(target.incarnation):
                return False
        return refuses_connections(target.host, target.port)

    def give_back(self, connection: TargetConnection, idle: timedelta) -> None:
        """Keep ``connection``, whose answer was read to its end, for ``idle``."""
        now = self._clock.elapsed()
        connection.idle_until = now + min(idle, LONGEST_IDLE)
        if not connection.finish():
            self.discard(connection)
            return
        with self._lock:
            self._idle[connection.target.incarnation].append(connection)

    def discard(self, connection: TargetConnection) -> None:
        """Close ``connection``, which was taken from here."""
        connection.close()
        with self._lock:
            self._open[connection.target.incarnation] -= 1

    def close_expired(self, known: frozenset[str]) -> None:
        """Close connections idle for too long, and those to targets not ``known``."""
        now = self._clock.elapsed()
        with self._lock:
            expired = [
                connection
                for target, idle in self._idle.items()
                for connection in idle
                if now >= connection.idle_until or target not in known
            ]
            for connection in expired:
                self._idle[connection.target.incarnation].remove(connection)
            for target in [name for name in self._open if name not in known]:
                if not self._open[target]:
                    del self._open[target]
                    self._idle.pop(target, None)
        for connection in expired:
            self.discard(connection)

    def _all_open(self, target: str) -> bool:
        with self._lock:
            idle = self._idle.get(target, [])
            return bool(idle) and all(kept.is_clean() for kept in idle)

    def _take_idle(self, target: str) -> TargetConnection | None:
        with self._lock:
            idle = self._idle.get(target)
            # The one used last is the least likely to have been closed meanwhile.
            return idle.pop() if idle else None


def _readable(sock: socket.socket, timeout: timedelta) -> bool:
    poller = select.poll()
    poller.register(sock, select.POLLIN)
    return bool(poller.poll(timeout.total_seconds() * 1000))
