"""HTTP calls to one of the platform's services, over a few kept connections."""

import http.client
import queue
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from datetime import timedelta
from urllib.parse import urlsplit

from runhatch_coordination import Unavailable, Unknown

CONNECTIONS = 6
"""Connections kept to one service; more callers than that take turns."""


@dataclass(frozen=True, slots=True)
class Reply:
    """A complete answer."""

    status: int
    body: bytes


class PlatformHttp:
    """Calls one service of the platform; safe for many threads.

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

    def call(
        self, method: str, path: str, body: bytes, headers: Mapping[str, str]
    ) -> Reply | Unavailable | Unknown:
        """Send one request and read the whole answer."""
        try:
            kept = self._free.get(timeout=self._timeout)
        except queue.Empty:
            return Unavailable("all connections are in use")
        connection = kept or self._new_connection()
        outcome = self._exchange(connection, method, path, body, headers)
        if isinstance(outcome, Reply):
            self._free.put(connection)
        else:
            connection.close()
            self._free.put(None)
        return outcome

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
    ) -> Reply | Unavailable | Unknown:
        try:
            if connection.sock is None:
                connection.connect()
        except OSError as error:
            return Unavailable(f"not reachable: {error}")
        try:
            connection.request(
                method, self._prefix + path, body=body, headers=dict(headers)
            )
            response = connection.getresponse()
            answer = response.read()
            if self._on_date is not None:
                self._on_date(response.getheader("Date"))
        except (OSError, http.client.HTTPException) as error:
            return Unknown(f"no answer: {type(error).__name__}")
        return Reply(response.status, answer)
