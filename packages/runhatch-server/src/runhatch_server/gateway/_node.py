"""A gateway put together: what it owns, how its parts refer to each other."""

import threading
from collections.abc import Callable, Iterable
from datetime import timedelta
from typing import TypeVar

import eliot

from runhatch_coordination import (
    Feed,
    FeedListener,
    InvariantError,
    TableWatcher,
)
from runhatch_server._tasks import Tasks
from runhatch_server.fleet import Directory
from runhatch_server.gateway._app import GatewayApp, MetricsApp, ReadinessApp
from runhatch_server.gateway._balancer import Balancer
from runhatch_server.gateway._configuration import ConfigurationKeeper
from runhatch_server.gateway._connections import ConnectionPool
from runhatch_server.gateway._demand import DemandCounter
from runhatch_server.gateway._forward import Forwarder
from runhatch_server.gateway._outside import GatewayOutside
from runhatch_server.gateway._records import RequestRecorder
from runhatch_server.gateway._run import RunParts
from runhatch_server.gateway._service import GatewayService
from runhatch_server.gateway._settings import Endpoint, GatewaySettings
from runhatch_server.http import HttpServer, ServerLimits
from runhatch_server.observability import Metrics, log_change
from runhatch_server.routing import RequestLimits, RouteTable
from runhatch_server.serving import Progress

ValueT = TypeVar("ValueT")

CALLER_THREADS = 200
"""Requests answered at once: at 30 a second and 5 s at the most, some 150."""
CALLER_CONNECTIONS = 1_500
"""Open connections of callers; a node may use some 3,900 descriptors."""
SIDE_THREADS = 2
SIDE_LIMITS = ServerLimits(body=1_024, header=16_384)
IDLE_SLACK = timedelta(seconds=10)
"""Idle connections are kept longer than callers are told: the time of day, by which
the HTTP server judges, may jump by seconds."""
SETTLE_EVERY = timedelta(milliseconds=250)
LEAST_STOP = timedelta(seconds=4.2)
"""How long a stopping node serves on at least: the balancer asks once a second, needs
two misses, and callers have connections open by then."""
QUIET = timedelta(milliseconds=300)
"""Without a request for so long, a stopping node has served its last."""
KILL_SLACK = timedelta(milliseconds=500)
"""A stopping node ends so long before it would be killed."""


class GatewayNode:
    """A whole gateway; ``start`` returns, ``drain`` ends it."""

    def __init__(self, settings: GatewaySettings, outside: GatewayOutside) -> None:
        self._settings = settings
        self._outside = outside
        self._clock = outside.clock
        self._stopping = threading.Event()
        self._metrics = Metrics()
        self._tasks = Tasks(self._clock, self._stopping)
        self._progress = Progress()
        self._demand = DemandCounter()
        self._directory = Directory(self._clock)
        self._keeper = ConfigurationKeeper(self._on_routes, self._metrics)
        self._pool = ConnectionPool(self._clock)
        self._balancer = Balancer(
            self._directory, self._clock, settings.failure_domain, self._demand.miss
        )
        self._app = self._build_app()
        self._servers = self._build_servers()

    def is_ready(self) -> bool:
        """Tell whether the balancer should send requests here."""
        known = self._keeper.routes is not None and self._directory.known
        return known and not self._stopping.is_set()

    def start(self) -> None:
        """Open the listeners and start every task."""
        outside = self._outside
        self._watch("configuration", outside.configurations, self._keeper)
        self._watch("targets", outside.targets, self._directory)
        self._tasks.every("settle", SETTLE_EVERY, self._settle)
        for server in self._servers:
            server.start()
        log_change("started", node=self._settings.name)

    def drain(self) -> None:
        """Stop taking requests and finish those there are, within the grace."""
        begun = self._clock.elapsed()
        log_change("stopping", in_progress=self._progress.count)
        self._stopping.set()
        self._app.draining = True
        latest = begun + self._settings.shutdown_grace - KILL_SLACK
        self._sleep_until(min(begun + LEAST_STOP, latest))
        callers = self._servers[0]
        callers.stop_listening()
        callers.close_idle()
        while self._clock.elapsed() < latest:
            seen = self._progress.begun
            if self._progress.wait_idle(QUIET):
                self._clock.sleep(QUIET)
                if self._progress.begun == seen:
                    break
        log_change("stopped", in_progress=self._progress.count)

    def on_broken_invariant(self, stop: Callable[[InvariantError], None]) -> None:
        """Have ``stop`` called if a task finds a promise broken."""
        self._tasks.on_broken = stop

    def _build_app(self) -> GatewayApp:
        forwarder = Forwarder(self._pool, self._outside.headers, self._clock)
        recorder = RequestRecorder(self._metrics, self._clock)
        parts = RunParts(self._balancer, forwarder, recorder, self._clock)
        return GatewayApp(
            GatewayService(parts, self._settings.retries),
            self._outside.headers,
            self._progress,
            self._metrics,
            self._clock,
            self._demand.note,
        )

    def _build_servers(self) -> list[HttpServer]:
        settings = self._settings
        limits = RequestLimits()
        callers = HttpServer(
            self._app,
            settings.callers.host,
            settings.callers.port,
            CALLER_THREADS,
            _server_limits(limits),
            CALLER_CONNECTIONS,
        )
        servers = [callers, _side(ReadinessApp(self.is_ready), settings.readiness)]
        if settings.metrics is not None:
            servers.append(_side(MetricsApp(self._metrics), settings.metrics))
        return servers

    def _watch(
        self, name: str, feed: Feed[ValueT], listener: FeedListener[ValueT]
    ) -> None:
        watcher = TableWatcher(
            feed,
            listener,
            self._clock,
            self._stopping,
            lambda error: eliot.write_traceback(),
        )
        threading.Thread(target=watcher.run, name=name, daemon=True).start()

    def _on_routes(self, routes: RouteTable) -> None:
        self._balancer.configure(routes.services)
        self._servers[0].limit(_server_limits(routes.configuration.limits))
        self._app.routes = routes

    def _settle(self) -> None:
        self._directory.settle()
        known = frozenset(target.incarnation for target in self._directory.all())
        self._pool.close_expired(known)
        self._balancer.forget_unknown()

    def _sleep_until(self, moment: timedelta) -> None:
        left = moment - self._clock.elapsed()
        if left > timedelta():
            self._clock.sleep(left)


def _side(app: Callable[..., Iterable[bytes]], endpoint: Endpoint) -> HttpServer:
    return HttpServer(app, endpoint.host, endpoint.port, SIDE_THREADS, SIDE_LIMITS)


def _server_limits(limits: RequestLimits) -> ServerLimits:
    return ServerLimits(
        limits.body_bytes, limits.header_bytes, limits.idle_timeout + IDLE_SLACK
    )
