"""A waitress server that can close its listening socket before its connections."""

import threading
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum
from functools import partial
from typing import Any

from waitress import create_server

from runhatch_server.http._bounded_channel import BoundedChannel
from runhatch_server.http._dispatcher import GrowingDispatcher
from runhatch_server.http._memory import EVICTABLE_AFTER, RequestMemory
from runhatch_server.http._refusals import BuildRefusal, build_plain_refusal
from runhatch_server.observability import Metrics, log_change
from runhatch_server.refusals import Executed, Reason, Refusal

SPARE_CONNECTIONS = 100
"""Connections beyond the number of threads, for idle and soon refused ones."""
DEFAULT_IDLE_TIMEOUT = timedelta(seconds=120)
DEFAULT_HEADER_TIMEOUT = timedelta(seconds=10)
DEFAULT_BODY_TIMEOUT = timedelta(seconds=60)
DEFAULT_MIN_BODY_PROGRESS_BYTES = 1_024
DEFAULT_MAX_FRAMING_PER_BYTE = 8
"""In chunks of one byte, each byte has 5 bytes of framing."""
DEFAULT_MAX_CHUNK_LINE_BYTES = 4_096
DEFAULT_MAX_UNSENT_BYTES = 262_144
NO_TEMPORARY_FILES = 1 << 40
"""Size of an answer from which waitress would keep it in a temporary file.  Such a file
counts as memory on nodes without disks, and takes a descriptor."""
CLEANUP_INTERVAL = timedelta(seconds=1)
"""Interval of the check for idle connections, and for heads and bodies of requests that
do not arrive, whose connections close at most this much late."""
BACKLOG = 1024

App = Callable[..., Iterable[bytes]]


@dataclass(frozen=True, slots=True)
class ServerLimits:
    """Limits on requests and connections; sizes are in bytes.

    The head of a request must arrive within ``header_timeout`` of its first byte.  Its
    body must grow by ``min_body_progress_bytes``, or end, within each ``body_timeout``.
    A body in chunks may have ``max_framing_per_byte`` bytes of framing for each byte of
    ``max_body_bytes``, and the line before a chunk ``max_chunk_line_bytes``.

    If ``max_unsent_bytes`` of a streamed answer wait for their caller, the application
    has to wait too.  A caller that reads none of them for ``idle_timeout`` is
    disconnected.
    """

    max_body_bytes: int
    max_header_bytes: int
    idle_timeout: timedelta = DEFAULT_IDLE_TIMEOUT
    header_timeout: timedelta = DEFAULT_HEADER_TIMEOUT
    body_timeout: timedelta = DEFAULT_BODY_TIMEOUT
    min_body_progress_bytes: int = DEFAULT_MIN_BODY_PROGRESS_BYTES
    max_framing_per_byte: int = DEFAULT_MAX_FRAMING_PER_BYTE
    max_chunk_line_bytes: int = DEFAULT_MAX_CHUNK_LINE_BYTES
    max_unsent_bytes: int = DEFAULT_MAX_UNSENT_BYTES


class CloseReason(Enum):
    """Why a connection is closed before its caller closes it: metric label."""

    SLOW_HEAD = "slow_head"
    MAKES_ROOM = "makes_room"
    NOT_READING = "not_reading"


class HttpServer:
    """Serves a WSGI application on one address, in a background thread.

    At most ``max_threads`` requests are served concurrently.  What they hold counts in
    ``memory``, which all servers of a process share.  Requests that the server refuses
    itself are answered by ``build_refusal``.  If ``max_connections`` are open, one that
    carries no request is closed for each new one.
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
        metrics: Metrics | None = None,
    ) -> None:
        self._dispatcher = GrowingDispatcher(max_threads)
        self._metrics = metrics
        self._closed_counts: Counter[CloseReason] = Counter()
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
            outbuf_overflow=NO_TEMPORARY_FILES,
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
        self._is_accepting = self._server.readable
        self._server.readable = self._make_room_and_accept
        self._header_timeout = limits.header_timeout
        self._body_timeout = limits.body_timeout
        self._idle_timeout = limits.idle_timeout
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

    @property
    def has_unsent_answers(self) -> bool:
        """Whether parts of answers wait for their callers to read them."""
        channels = list(self._server.active_channels.values())
        return any(channel.total_outbufs_len for channel in channels)

    def set_limits(self, limits: ServerLimits) -> None:
        """Apply ``limits`` to requests that arrive from now on."""
        settings = self._server.adj
        # waitress refuses what reaches this size.
        settings.max_request_body_size = limits.max_body_bytes + 1
        settings.max_request_header_size = limits.max_header_bytes
        settings.channel_timeout = limits.idle_timeout.total_seconds()
        settings.min_body_progress_bytes = limits.min_body_progress_bytes
        settings.max_framing_per_byte = limits.max_framing_per_byte
        settings.max_chunk_line_bytes = limits.max_chunk_line_bytes
        settings.outbuf_high_watermark = limits.max_unsent_bytes
        self._header_timeout = limits.header_timeout
        self._body_timeout = limits.body_timeout
        self._idle_timeout = limits.idle_timeout

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
            if channel.head_age > self._header_timeout:
                channel.will_close = True
                self._count_closed(CloseReason.SLOW_HEAD)
            elif channel.is_overdue:
                channel.will_close = True
            elif channel.output_pause > self._idle_timeout:
                channel.stop_sending()
                self._count_closed(CloseReason.NOT_READING)
            elif channel.body_pause > self._body_timeout:
                channel.refuse_unfinished(self._build_slow_refusal())
        for reason, count in self._closed_counts.items():
            log_change("connections_closed", reason=reason.value, count=count)
        self._closed_counts.clear()

    def _build_slow_refusal(self) -> Refusal:
        seconds = self._body_timeout.total_seconds()
        detail = f"the body stopped arriving for {seconds:g} s"
        return Refusal(Reason.BODY_SLOW, Executed.NO, detail)

    def _make_room_and_accept(self) -> bool:
        """Return whether to accept a connection, after closing another if needed."""
        server = self._server
        if server.accepting and len(server._map) >= server.adj.connection_limit:
            channel = choose_dispensable(server.active_channels.values())
            if channel is not None:
                # Its descriptor is being registered for polling; closed at once, it
                # could be that of the next connection when its events are handled.
                channel.will_close = True
                self._count_closed(CloseReason.MAKES_ROOM)
        return bool(self._is_accepting())

    def _count_closed(self, reason: CloseReason) -> None:
        self._closed_counts[reason] += 1
        if self._metrics is not None:
            self._metrics.closed_connections.labels(reason.value).inc()

    def _close_idle(self) -> None:
        for channel in list(self._server.active_channels.values()):
            if channel.requests or channel.request is not None:
                continue
            if channel.total_outbufs_len:
                channel.close_when_flushed = True
            else:
                channel.will_close = True

    def _close_listener(self) -> None:
        self._server.accepting = False
        self._server.del_channel()
        self._server.socket.close()

    def _run(self) -> None:
        self._server.run()


def choose_dispensable(channels: Iterable[BoundedChannel]) -> BoundedChannel | None:
    """Return the connection to close for a new one, ``None`` if all are in use.

    First come callers that were refused, then idle connections, the one that has been
    idle longest, then requests that have stopped arriving.  A connection that was just
    opened may hold a request that has not been read yet.
    """
    ranked = (
        (rank, channel.last_activity, channel)
        for channel in channels
        if (rank := _rank_dispensable(channel)) is not None
    )
    found = min(ranked, key=lambda entry: entry[:2], default=None)
    return None if found is None else found[2]


def _rank_dispensable(channel: BoundedChannel) -> int | None:
    if channel.will_close:
        return None
    if channel.is_lingering:
        return 0
    if channel.idle_time >= EVICTABLE_AFTER:
        return 1
    pause = max(channel.head_age, channel.body_pause)
    is_stalled = not channel.requests and pause >= EVICTABLE_AFTER
    return 2 if is_stalled else None
