"""Servers of a gateway node for callers, and its links to other nodes."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from datetime import timedelta

from runhatch_coordination import Clock, InvariantError
from runhatch_server.gateway._app import GatewayApp
from runhatch_server.gateway._settings import Endpoint, GatewaySettings
from runhatch_server.http import (
    BuildRefusal,
    HttpServer,
    RequestMemory,
    ServerLimits,
    build_plain_refusal,
)
from runhatch_server.observability import Metrics
from runhatch_server.peers import Broadcaster, Listener, MemberExchange, PeerLinks
from runhatch_server.routing import RequestLimits

CALLER_THREADS = 200
"""Requests served concurrently: 30 per second of at most 5 s need about 150."""
CALLER_CONNECTIONS = 1_500
"""Maximum open connections of callers."""
CALLER_DESCRIPTOR_SHARE = 3 / 8
"""Share of a node's descriptors that connections of callers may take.  The others are
for connections to targets, peers and the store."""
FORWARD_DESCRIPTOR_SHARE = 1 / 8
SIDE_DESCRIPTOR_SHARE = 1 / 16
"""Share for each of the listeners for readiness and metrics."""
FORWARD_THREADS = 200
"""Forwarded requests served concurrently."""
FORWARD_CONNECTIONS = 300
"""Maximum open connections of peers that forward requests."""
SIDE_CONNECTIONS = 102
"""Maximum open connections of the listener for readiness, and of that for metrics."""
BYTES_PER_MEGABYTE = 1_000_000
MIN_LARGE_REQUESTS = 3
"""Bodies of the largest allowed size for which there is room in any case."""
FORWARD_HEADER_BYTES = 1_024
"""Maximum size of the headers that a node adds to a request that it forwards."""
SIDE_THREADS = 2
SIDE_LIMITS = ServerLimits(max_body_bytes=1_024, max_header_bytes=16_384)
IDLE_TIMEOUT_MARGIN = timedelta(seconds=10)
"""Time that idle connections stay open beyond the timeout announced to callers: the
HTTP server measures idle time by the wall clock, which may jump by seconds."""
HEARTBEAT_INTERVAL = timedelta(seconds=1)
MAX_MESSAGE_BYTES = 1_048_576
"""Maximum size of a message between nodes in bytes."""

Application = Callable[..., Iterable[bytes]]
OnInvariantError = Callable[[InvariantError], None]


@dataclass(frozen=True, slots=True)
class ServerFactory:
    """Builds the HTTP servers of a node, whose requests share one ``memory``."""

    settings: GatewaySettings
    memory: RequestMemory
    metrics: Metrics

    def build_servers(
        self, callers: GatewayApp, readiness: Application, metrics: Application
    ) -> list[HttpServer]:
        """Return the server for callers, then those that serve no requests."""
        settings = self.settings
        main = self._build(
            callers,
            settings.callers,
            CALLER_THREADS,
            server_limits(settings, RequestLimits()),
            min(CALLER_CONNECTIONS, self._count_descriptors(CALLER_DESCRIPTOR_SHARE)),
            callers.refuse_unread,
        )
        servers = [main, self._build_side_server(readiness, settings.readiness)]
        if settings.metrics is not None:
            servers.append(self._build_side_server(metrics, settings.metrics))
        return servers

    def build_forward_server(self, app: GatewayApp) -> HttpServer | None:
        """Return the server for requests of peers, ``None`` without a port."""
        settings = self.settings
        if not settings.forward_port:
            return None
        return self._build(
            app,
            Endpoint(settings.peers.host, settings.forward_port),
            FORWARD_THREADS,
            forward_limits(settings, RequestLimits()),
            min(FORWARD_CONNECTIONS, self._count_descriptors(FORWARD_DESCRIPTOR_SHARE)),
            app.refuse_unread,
        )

    def _build_side_server(self, app: Application, endpoint: Endpoint) -> HttpServer:
        connections = min(
            SIDE_CONNECTIONS, self._count_descriptors(SIDE_DESCRIPTOR_SHARE)
        )
        return self._build(app, endpoint, SIDE_THREADS, SIDE_LIMITS, connections)

    def _count_descriptors(self, share: float) -> int:
        return int(self.settings.max_descriptors * share)

    def _build(
        self,
        app: Application,
        endpoint: Endpoint,
        max_threads: int,
        limits: ServerLimits,
        max_connections: int,
        build_refusal: BuildRefusal = build_plain_refusal,
    ) -> HttpServer:
        return HttpServer(
            app,
            endpoint.host,
            endpoint.port,
            max_threads,
            limits,
            max_connections,
            self.memory,
            build_refusal,
            self.metrics,
        )


def request_memory_limit(settings: GatewaySettings, limits: RequestLimits) -> int:
    """Return how many bytes open requests may hold under ``limits``.

    A body or an answer of the largest size is served on a node that holds nothing else,
    whatever its memory.
    """
    share = settings.memory_mb * BYTES_PER_MEGABYTE * settings.request_memory_share
    largest = max(limits.body_bytes, settings.answer_limits.max_bytes)
    return max(int(share), MIN_LARGE_REQUESTS * largest)


def forward_limits(settings: GatewaySettings, limits: RequestLimits) -> ServerLimits:
    """Return the limits of the server for requests forwarded by peers."""
    return ServerLimits(
        limits.body_bytes,
        limits.header_bytes + FORWARD_HEADER_BYTES,
        header_timeout=limits.header_timeout,
        body_timeout=limits.idle_timeout,
        max_unsent_bytes=settings.max_unsent_bytes,
    )


def server_limits(settings: GatewaySettings, limits: RequestLimits) -> ServerLimits:
    """Return the limits of the server for callers."""
    return ServerLimits(
        limits.body_bytes,
        limits.header_bytes,
        limits.idle_timeout + IDLE_TIMEOUT_MARGIN,
        limits.header_timeout,
        # A caller that sends nothing for so long would not be waited for either if it
        # had no request.
        limits.idle_timeout,
        max_unsent_bytes=settings.max_unsent_bytes,
    )


def open_links(
    settings: GatewaySettings,
    peers: MemberExchange,
    metrics: Metrics,
    on_broken: OnInvariantError,
    clock: Clock,
) -> PeerLinks:
    """Open the links to other nodes; they receive messages at once."""
    return PeerLinks(
        str(settings.peers),
        peers.own_member,
        peers.receive,
        metrics,
        HEARTBEAT_INTERVAL,
        MAX_MESSAGE_BYTES,
        None,
        on_broken,
        clock,
    )


def open_broadcast(
    settings: GatewaySettings,
    peers: MemberExchange,
    metrics: Metrics,
    on_broken: OnInvariantError,
    clock: Clock,
) -> tuple[Broadcaster | None, Listener]:
    """Return the broadcaster to a failure domain, if configured, and the listener."""
    broadcaster = None
    if settings.broadcast_port:
        url = f"tcp://{settings.peers.host}:{settings.broadcast_port}"
        broadcaster = Broadcaster(url, peers.own_member, metrics, clock)
    listener = Listener(peers.receive, metrics, MAX_MESSAGE_BYTES, on_broken, clock)
    return broadcaster, listener
