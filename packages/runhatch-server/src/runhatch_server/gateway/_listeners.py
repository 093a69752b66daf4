"""What a gateway listens on, for callers and for other nodes."""

from collections.abc import Callable, Iterable
from datetime import timedelta

from runhatch_coordination import InvariantError
from runhatch_server.gateway._settings import Endpoint, GatewaySettings
from runhatch_server.http import HttpServer, ServerLimits
from runhatch_server.observability import Metrics
from runhatch_server.peers import Broadcaster, Listener, MemberExchange, PeerLinks
from runhatch_server.routing import RequestLimits

CALLER_THREADS = 200
"""Requests answered at once: at 30 a second and 5 s at the most, some 150."""
CALLER_CONNECTIONS = 1_500
"""Open connections of callers; a node may use some 3,900 descriptors."""
SIDE_THREADS = 2
SIDE_LIMITS = ServerLimits(body=1_024, header=16_384)
IDLE_SLACK = timedelta(seconds=10)
"""Idle connections are kept longer than callers are told: the time of day, by which
the HTTP server judges, may jump by seconds."""
HEARTBEAT = timedelta(seconds=1)
MOST_MESSAGE = 1_048_576
"""Bytes of one message between nodes."""

Application = Callable[..., Iterable[bytes]]
OnBroken = Callable[[InvariantError], None]


def build_servers(
    settings: GatewaySettings,
    callers: Application,
    readiness: Application,
    metrics: Application,
) -> list[HttpServer]:
    """Return the servers of a node, that of its callers first."""
    main = HttpServer(
        callers,
        settings.callers.host,
        settings.callers.port,
        CALLER_THREADS,
        server_limits(RequestLimits()),
        CALLER_CONNECTIONS,
    )
    servers = [main, _side(readiness, settings.readiness)]
    if settings.metrics is not None:
        servers.append(_side(metrics, settings.metrics))
    return servers


def server_limits(limits: RequestLimits) -> ServerLimits:
    """Return what the server of callers is to allow."""
    return ServerLimits(
        limits.body_bytes, limits.header_bytes, limits.idle_timeout + IDLE_SLACK
    )


def open_links(
    settings: GatewaySettings,
    peers: MemberExchange,
    metrics: Metrics,
    on_broken: OnBroken,
) -> PeerLinks:
    """Return the links to other nodes, which receive from now on."""
    return PeerLinks(
        str(settings.peers),
        peers.own,
        peers.receive,
        metrics,
        HEARTBEAT,
        MOST_MESSAGE,
        None,
        on_broken,
    )


def open_broadcast(
    settings: GatewaySettings,
    peers: MemberExchange,
    metrics: Metrics,
    on_broken: OnBroken,
) -> tuple[Broadcaster | None, Listener]:
    """Return what tells all nodes of a failure domain at once, if set, and hears it."""
    broadcaster = None
    if settings.broadcast_port:
        url = f"tcp://{settings.peers.host}:{settings.broadcast_port}"
        broadcaster = Broadcaster(url, peers.own, metrics)
    return broadcaster, Listener(peers.receive, metrics, MOST_MESSAGE, on_broken)


def _side(app: Application, endpoint: Endpoint) -> HttpServer:
    return HttpServer(app, endpoint.host, endpoint.port, SIDE_THREADS, SIDE_LIMITS)
