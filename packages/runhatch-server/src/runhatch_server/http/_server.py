"""A waitress server in a thread, whose listening socket can be closed first."""

import threading
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from datetime import timedelta
from typing import Any

from waitress import create_server

from runhatch_server.http._dispatcher import GrowingDispatcher

SPARE_CONNECTIONS = 100
"""Connections beyond the threads: idle ones and ones about to be refused."""
RECEIVE_SLACK = 65_536
DEFAULT_IDLE = timedelta(seconds=120)
CLEANUP_INTERVAL = timedelta(seconds=5)
"""How often idle connections are looked for; they live this much longer at most."""
BACKLOG = 1024

App = Callable[..., Iterable[bytes]]


@dataclass(frozen=True, slots=True)
class ServerLimits:
    """What one caller may send, in bytes, and how long it may stay idle."""

    body: int
    header: int
    idle: timedelta = DEFAULT_IDLE


class HttpServer:
    """Serves one WSGI application on one address.

    It answers ``threads`` requests at once at the most.
    """

    def __init__(
        self,
        app: App,
        host: str,
        port: int,
        threads: int,
        limits: ServerLimits,
        connections: int | None = None,
    ) -> None:
        self._dispatcher = GrowingDispatcher(threads)
        self._server: Any = create_server(
            app,
            _dispatcher=self._dispatcher,
            host=host,
            port=port,
            connection_limit=connections or threads + SPARE_CONNECTIONS,
            backlog=BACKLOG,
            asyncore_use_poll=True,
            # Events must leave at once, not when a buffer is full.
            send_bytes=1,
            channel_request_lookahead=1,
            cleanup_interval=int(CLEANUP_INTERVAL.total_seconds()),
            ident="runhatch",
            expose_tracebacks=False,
        )
        self.limit(limits)
        self._thread = threading.Thread(target=self._run, name="http", daemon=True)

    @property
    def thread_count(self) -> int:
        """Threads that answer requests now, idle ones included."""
        return self._dispatcher.thread_count

    @property
    def port(self) -> int:
        """The port it listens on."""
        return int(self._server.effective_port)

    def limit(self, limits: ServerLimits) -> None:
        """Apply ``limits`` to what arrives from now on."""
        settings = self._server.adj
        settings.max_request_body_size = limits.body + RECEIVE_SLACK
        settings.max_request_header_size = limits.header
        settings.channel_timeout = limits.idle.total_seconds()

    def start(self) -> None:
        """Start serving."""
        self._thread.start()

    def stop_listening(self) -> None:
        """Take no new connections; those there are served on."""
        self._server.trigger.pull_trigger(self._close_listener)

    def close_idle(self) -> None:
        """Close the connections on which nothing has been asked."""
        self._server.trigger.pull_trigger(self._close_idle)

    def _close_idle(self) -> None:
        for channel in list(self._server.active_channels.values()):
            if not channel.requests and channel.request is None:
                channel.will_close = True

    def _close_listener(self) -> None:
        self._server.accepting = False
        self._server.del_channel()
        self._server.socket.close()

    def _run(self) -> None:
        self._server.run()
