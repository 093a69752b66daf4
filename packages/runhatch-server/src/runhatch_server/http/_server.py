"""A waitress server that can close its listening socket before its connections."""

import threading
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from datetime import timedelta
from functools import partial
from typing import Any

from waitress import create_server

from runhatch_server.http._bounded_channel import BoundedChannel
from runhatch_server.http._dispatcher import GrowingDispatcher
from runhatch_server.http._memory import RequestMemory
from runhatch_server.http._refusals import BuildRefusal, build_plain_refusal
from runhatch_server.refusals import Executed, Reason, Refusal

SPARE_CONNECTIONS = 100
"""Connections beyond the number of threads, for idle and soon refused ones."""
DEFAULT_IDLE_TIMEOUT = timedelta(seconds=120)
DEFAULT_HEADER_TIMEOUT = timedelta(seconds=10)
DEFAULT_BODY_TIMEOUT = timedelta(seconds=60)
CLEANUP_INTERVAL = timedelta(seconds=1)
"""Interval of the check for idle connections, and for heads and bodies of requests that
do not arrive, whose connections close at most this much late."""
BACKLOG = 1024

App = Callable[..., Iterable[bytes]]


@dataclass(frozen=True, slots=True)
class ServerLimits:
    """Limits on requests and connections; sizes are in bytes.

    The head of a request must arrive within ``header_timeout`` of its first byte.  Its
    body must not stop arriving for ``body_timeout``.
    """

    max_body_bytes: int
    max_header_bytes: int
    idle_timeout: timedelta = DEFAULT_IDLE_TIMEOUT
    header_timeout: timedelta = DEFAULT_HEADER_TIMEOUT
    body_timeout: timedelta = DEFAULT_BODY_TIMEOUT


class HttpServer:
    """Serves a WSGI application on one address, in a background thread.

    At most ``max_threads`` requests are served concurrently.  What they hold counts in
    ``memory``, which all servers of a process share.  Requests that the server refuses
    itself are answered by ``build_refusal``.
    """

    def __init__(
        self,
        app: App,
        host: str,
        port: int,
        max_threads: int,
        limits: ServerLimits,
        max_connections: int | None = None,
        memory: RequestMemory | None = None,
        build_refusal: BuildRefusal = build_plain_refusal,
    ) -> None:
        self._dispatcher = GrowingDispatcher(max_threads)
        self._server: Any = create_server(
            app,
            _dispatcher=self._dispatcher,
            host=host,
            port=port,
            connection_limit=max_connections or max_threads + SPARE_CONNECTIONS,
            backlog=BACKLOG,
            asyncore_use_poll=True,
            # Events must be sent at once, not when a buffer is full.
            send_bytes=1,
            channel_request_lookahead=1,
            cleanup_interval=int(CLEANUP_INTERVAL.total_seconds()),
            ident="runhatch",
            expose_tracebacks=False,
        )
        self._server.channel_class = partial(
            BoundedChannel, memory or RequestMemory(), build_refusal
        )
        self._close_idle_channels = self._server.maintenance
        self._server.maintenance = self._close_overdue_channels
        self._header_timeout = limits.header_timeout
        self._body_timeout = limits.body_timeout
        self.set_limits(limits)
        self._thread = threading.Thread(target=self._run, name="http", daemon=True)

    @property
    def thread_count(self) -> int:
        """Number of request threads, including idle ones."""
        return self._dispatcher.thread_count

    @property
    def port(self) -> int:
        """The port that the server listens on."""
        return int(self._server.effective_port)

    def set_limits(self, limits: ServerLimits) -> None:
        """Apply ``limits`` to requests that arrive from now on."""
        settings = self._server.adj
        # waitress refuses what reaches this size.
        settings.max_request_body_size = limits.max_body_bytes + 1
        settings.max_request_header_size = limits.max_header_bytes
        settings.channel_timeout = limits.idle_timeout.total_seconds()
        self._header_timeout = limits.header_timeout
        self._body_timeout = limits.body_timeout

    def start(self) -> None:
        """Start the server thread."""
        self._thread.start()

    def stop_listening(self) -> None:
        """Stop accepting connections; existing ones are still served."""
        self._server.trigger.pull_trigger(self._close_listener)

    def close_idle_connections(self) -> None:
        """Close the connections without a request in progress."""
        self._server.trigger.pull_trigger(self._close_idle)

    def _close_overdue_channels(self, now: float) -> None:
        """Close connections that are idle, or whose request stops arriving."""
        self._close_idle_channels(now)
        for channel in list(self._server.active_channels.values()):
            if channel.head_age > self._header_timeout or channel.is_overdue:
                channel.will_close = True
            elif channel.body_pause > self._body_timeout:
                channel.refuse_unfinished(self._build_slow_refusal())

    def _build_slow_refusal(self) -> Refusal:
        seconds = self._body_timeout.total_seconds()
        detail = f"the body stopped arriving for {seconds:g} s"
        return Refusal(Reason.BODY_SLOW, Executed.NO, detail)

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
