"""A waitress server in a thread, whose listening socket can be closed first."""

import threading
from collections.abc import Callable, Iterable
from typing import Any

from waitress import create_server

from runhatch_server.settings import Listener

SPARE_CONNECTIONS = 100
"""Connections beyond the threads: idle ones and ones about to be refused."""
RECEIVE_SLACK = 65_536

App = Callable[..., Iterable[bytes]]


class HttpServer:
    """Serves one WSGI application on one listener."""

    def __init__(
        self,
        app: App,
        listener: Listener,
        threads: int,
        max_body: int,
        max_header: int,
    ) -> None:
        self._server: Any = create_server(
            app,
            host=listener.host,
            port=listener.port,
            threads=threads,
            connection_limit=threads + SPARE_CONNECTIONS,
            backlog=1024,
            asyncore_use_poll=True,
            # Events must leave at once, not when a buffer is full.
            send_bytes=1,
            channel_request_lookahead=1,
            channel_timeout=120,
            max_request_body_size=max_body + RECEIVE_SLACK,
            max_request_header_size=max_header,
            ident="runhatch",
            expose_tracebacks=False,
        )
        self._thread = threading.Thread(target=self._run, name="http", daemon=True)

    @property
    def port(self) -> int:
        """The port it listens on."""
        return int(self._server.effective_port)

    def start(self) -> None:
        """Start serving."""
        self._thread.start()

    def stop_listening(self) -> None:
        """Take no new connections; those there are served on."""
        self._server.trigger.pull_trigger(self._close_listener)

    def _close_listener(self) -> None:
        self._server.accepting = False
        self._server.del_channel()
        self._server.socket.close()

    def _run(self) -> None:
        self._server.run()
