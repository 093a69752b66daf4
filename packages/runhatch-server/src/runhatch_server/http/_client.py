"""HTTP calls to one service, over a few kept connections."""

import http.client
import itertools
import queue
import select
import socket
import threading
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Any
from urllib.parse import urlsplit

from runhatch_coordination import Unavailable, Unknown

CONNECTIONS = 6
"""Connections kept to one service; more callers than that take turns."""
DEAD_AFTER = timedelta(seconds=3)
"""Silence of the other end's host after which a connection is given up: as long
as a lost lease renewal may take to be noticed."""
PROBE_EVERY = timedelta(seconds=1)
"""Between two keep-alive probes of the kernel on an idle connection."""


@dataclass(frozen=True, slots=True)
class BrokenOff(Unknown):
    """This side gave up a call that waited; it says nothing of the service."""

    reason: str = "broken off here"


@dataclass(frozen=True, slots=True)
class Reply:
    """A complete answer; names of headers are in lower case."""

    status: int
    body: bytes
    headers: Mapping[str, str] = field(default_factory=dict)


class HttpClient:
    """Calls one service; safe for many threads.

    A call that could not be sent is ``Unavailable``; one that was sent and not
    answered in full is ``Unknown``.  ``on_date`` gets each answer's ``Date``.
    """

    def __init__(
        self,
        base_url: str,
        timeout: timedelta,
        connections: int = CONNECTIONS,
        on_date: Callable[[str | None], None] | None = None,
    ) -> None:
        self._on_date = on_date
        parts = urlsplit(base_url)
        self._host = parts.hostname or ""
        self._port = parts.port
        self._prefix = parts.path.rstrip("/")
        self._secure = parts.scheme == "https"
        self._timeout = timeout.total_seconds()
        self._free: queue.LifoQueue[http.client.HTTPConnection | None]
        self._free = queue.LifoQueue()
        for _ in range(connections):
            self._free.put(None)
        self._waits: dict[int, socket.socket] = {}
        self._broken_off: set[int] = set()
        self._waits_lock = threading.Lock()
        self._numbers = itertools.count()

    def call(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        headers: Mapping[str, str] | None = None,
        wait: timedelta = timedelta(),
    ) -> Reply | Unavailable | Unknown:
        """Send one request and read the whole answer.

        ``wait`` is how long the service was asked to keep the call waiting.
        """
        try:
            kept = self._free.get(timeout=self._timeout)
        except queue.Empty:
            return Unavailable("all connections are in use")
        connection = kept or self._new_connection()
        timeout = self._timeout + wait.total_seconds()
        outcome = self._exchange(
            connection, method, path, body, headers or {}, timeout, bool(wait)
        )
        if isinstance(outcome, Reply):
            self._free.put(connection)
        else:
            connection.close()
            self._free.put(None)
        return outcome

    def abort_waits(self) -> None:
        """Break off all calls that still wait where the service was asked to.

        One whose answer was lost, or that never arrived, would wait to its end.  An
        answer that has begun to arrive goes on: on a slow link it takes long, and
        would have to be sent again from its first byte.
        """
        with self._waits_lock:
            waits = list(self._waits.values())
            self._broken_off.update(self._waits)
        for waiting in waits:
            try:
                waiting.shutdown(socket.SHUT_RDWR)
            except OSError:
                # It has ended by itself meanwhile.
                continue

    def _new_connection(self) -> http.client.HTTPConnection:
        secure = self._secure
        kind = http.client.HTTPSConnection if secure else http.client.HTTPConnection
        return kind(self._host, self._port, timeout=self._timeout)

    def _exchange(
        self,
        connection: http.client.HTTPConnection,
        method: str,
        path: str,
        body: bytes,
        headers: Mapping[str, str],
        timeout: float,
        waits: bool,
    ) -> Reply | Unavailable | Unknown:
        try:
            if connection.sock is not None and _is_stale(connection.sock):
                connection.close()
            if connection.sock is None:
                connection.connect()
                opened: Any = connection.sock
                notice_dead_peers(opened, DEAD_AFTER)
        except OSError as error:
            return Unavailable(f"not reachable: {error}")
        link = connection.sock
        number = self._note_wait(connection) if waits else None
        try:
            link.settimeout(timeout)
            connection.request(
                method, self._prefix + path, body=body, headers=dict(headers)
            )
            response = connection.getresponse()
            first = response.read(1)
            if not response.isclosed():
                self._note_answer(number, link)
            answer = first + response.read()
            if self._on_date is not None:
                self._on_date(response.getheader("Date"))
        except (OSError, http.client.HTTPException) as error:
            if self._was_broken_off(number):
                return BrokenOff()
            return Unknown(f"no answer: {type(error).__name__}")
        finally:
            self._end_wait(number)
        names = {name.lower(): value for name, value in response.getheaders()}
        return Reply(response.status, answer, names)

    def _was_broken_off(self, number: int | None) -> bool:
        with self._waits_lock:
            return number in self._broken_off

    def _end_wait(self, number: int | None) -> None:
        if number is None:
            return
        with self._waits_lock:
            self._waits.pop(number, None)
            self._broken_off.discard(number)

    def _note_answer(self, number: int | None, link: socket.socket) -> None:
        """Let a call no longer count as waiting, nor be as patient."""
        if number is None:
            return
        with self._waits_lock:
            self._waits.pop(number, None)
        link.settimeout(self._timeout)

    def _note_wait(self, connection: http.client.HTTPConnection) -> int:
        number = next(self._numbers)
        with self._waits_lock:
            self._waits[number] = connection.sock
        return number


def _is_stale(kept: socket.socket) -> bool:
    """Tell whether the other end has closed a connection on which nothing is asked."""
    readable, _, _ = select.select([kept], [], [], 0)
    return bool(readable)


def notice_dead_peers(connection: socket.socket, after: timedelta) -> None:
    """Have the kernel break a connection whose other end has been silent so long.

    A host without power, or behind a cut, sends no reset; without this a call
    that waits for news would hear of the outage only at its own timeout.
    """
    probe = max(1, int(PROBE_EVERY.total_seconds()))
    probes = max(1, int(after / PROBE_EVERY) - 1)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, probe)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, probe)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, probes)
    milliseconds = int(after.total_seconds() * 1000)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, milliseconds)
