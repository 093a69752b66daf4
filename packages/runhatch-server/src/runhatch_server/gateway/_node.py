"""Build a gateway from its parts, run its tasks, and shut it down."""

import threading
from collections.abc import Callable
from datetime import timedelta

from runhatch_coordination import (
    InvariantError,
    Lease,
    rank_names,
)
from runhatch_server._progress import RequestCounter
from runhatch_server._tasks import RecurringTasks
from runhatch_server.crashes import (
    CHECK_INTERVAL,
    DIGEST_INTERVAL,
    CrashDetector,
    TrialOwner,
)
from runhatch_server.decisions import GatewayRequest, PeerChoice
from runhatch_server.fleet import TargetDirectory
from runhatch_server.gateway._app import GatewayApp, MetricsApp, ReadinessApp
from runhatch_server.gateway._balancer import Balancer
from runhatch_server.gateway._configuration import ActiveConfiguration
from runhatch_server.gateway._connections import ConnectionPool
from runhatch_server.gateway._demand import DemandCounter
from runhatch_server.gateway._forward import Forwarder
from runhatch_server.gateway._known_targets import KnownTargets
from runhatch_server.gateway._lease_keeper import LeaseKeeper, LeasePolicy
from runhatch_server.gateway._listeners import (
    HEARTBEAT_INTERVAL,
    ServerFactory,
    forward_limits,
    open_broadcast,
    open_links,
    request_memory_limit,
    server_limits,
)
from runhatch_server.gateway._own_membership import build_membership
from runhatch_server.gateway._peer_requests import PeerRequests
from runhatch_server.gateway._peers import GatewayPeers
from runhatch_server.gateway._platform import GatewayPlatform
from runhatch_server.gateway._rate_limits import RateLimits
from runhatch_server.gateway._recorded_versions import RecordedVersions
from runhatch_server.gateway._records import RequestRecorder
from runhatch_server.gateway._run_parts import RunParts
from runhatch_server.gateway._service import GatewayService
from runhatch_server.gateway._settings import GatewaySettings
from runhatch_server.gateway._shared_stream_versions import SharedStreamVersions
from runhatch_server.gateway._stream_version_exchange import (
    UPDATE_INTERVAL,
)
from runhatch_server.gateway._tables import (
    COALESCING_WINDOW,
    GatewayTables,
    target_coalescing_window,
)
from runhatch_server.gateway._target_gauge import TargetGauge
from runhatch_server.gateway._version_recorder import CHECK_INTERVAL as VERSION_INTERVAL
from runhatch_server.http import AnswerMemory, RequestMemory
from runhatch_server.observability import Metrics, log_change
from runhatch_server.peers import PeerLinks
from runhatch_server.residency import DemandShare, Orderer
from runhatch_server.routing import RequestLimits, RouteTable, UsageCap
from runhatch_server.workspaces import KeyCurrency, UsageGate

ORDERS_LEASE_NAME = "orders"
LEASE_TTL = timedelta(seconds=2)
"""Allows two renewals to fail, and lets models be loaded again within a few seconds
after the holder crashes."""
LEASE_INTERVAL = timedelta(milliseconds=300)
START_WINDOW = timedelta(seconds=3)
"""Time after its start in which a node may lack what its peers have learned."""
SHARE_INTERVAL = timedelta(milliseconds=250)
"""Longest interval between messages with loads and demand.  A request that is sent
to a target causes one at once: processing its prompt takes some 100 ms, and other nodes
choose targets by these loads."""
SHARE_BATCH_WINDOW = timedelta(milliseconds=25)
"""Requests sent within this time are reported in one message."""
ORDER_INTERVAL = timedelta(milliseconds=60)
"""Interval between rounds of the orderer; an adapter loads in some 10 ms."""
IDLE_ORDER_INTERVAL = timedelta(seconds=1)
"""Interval on a node without work for the orderer, to save processor time; taking the
lease starts a round at once."""
IDLE_RELAY_INTERVAL = timedelta(seconds=5)
"""Interval between checks for reports to relay; each report starts one at once."""
PACE_INTERVAL = timedelta(milliseconds=100)
"""Interval of checks for targets that recovered, which are not paced before."""
CLEANUP_INTERVAL = timedelta(milliseconds=500)
"""Interval between removals of expired state; missing targets are kept for 1.8 s."""
MIN_DRAIN_DURATION = timedelta(seconds=4.2)
"""Shortest time for which a stopping node keeps serving.  The load balancer checks
readiness once a second and needs two failures, and callers have open connections
by then."""
IDLE_BEFORE_STOP = timedelta(milliseconds=300)
"""Time without a request after which a stopping node stops serving."""
CONFIRMATION_SHARE = 0.4
"""Interval at which readers confirm that keys are current, as a share of the time after
which a removed key must not be served.  One confirmation may be lost."""
RESIGNATION_LEAD = timedelta(milliseconds=30)
"""Time between the notice to peers and the release of the orders' lease.  A message
takes a few milliseconds, and a successor that has received the notice can send
orders to most targets at once."""
KILL_MARGIN = timedelta(milliseconds=500)
"""Time before the kill at which a stopping node ends at the latest."""
EXIT_ANSWER_TIME = timedelta(milliseconds=300)
"""Time before that end in which requests that still run are answered as unknown."""


class GatewayNode:
    """A gateway; ``start`` returns once it runs, ``drain`` shuts it down."""

    def __init__(self, settings: GatewaySettings, platform: GatewayPlatform) -> None:
        self._settings = settings
        self._platform = platform
        self._clock = platform.clock
        self._stopping = threading.Event()
        self._metrics = Metrics()
        self._tasks = RecurringTasks(self._clock, self._stopping)
        self._progress = RequestCounter()
        self._demand = DemandCounter()
        self._directory = TargetDirectory(self._clock)
        self._configuration = ActiveConfiguration(self._on_routes, self._metrics)
        self._request_memory = RequestMemory(
            request_memory_limit(settings, RequestLimits()), self._clock
        )
        answers = AnswerMemory(
            settings.answer_limits, self._request_memory, self._clock
        )
        self._pool = ConnectionPool(self._clock, answers)
        self._work_time_gauge = TargetGauge(self._metrics.target_work_time)
        self._prompt_bound_gauge = TargetGauge(self._metrics.target_prompt_bound)
        self._limits = RateLimits(self._clock, self._metrics, START_WINDOW)
        self._balancer = Balancer(
            self._directory,
            self._clock,
            settings.failure_domain,
            self._limits,
            self._demand.count_miss,
            self._pool.has_idle,
            self._demand.missed_event.set,
            lambda target: self._peers.publish_draining(target),
            self._pool.close_idle,
            shares_prompt_queues=settings.shares_prompt_queues,
        )
        self._membership = build_membership(settings, self._clock)
        known_targets = KnownTargets(
            self._directory,
            self._pool,
            lambda target: self._peers.refusals.is_confirmed(target),
            self._balancer.paths.record_broken,
        )
        self._crashes = CrashDetector(
            self._clock,
            known_targets,
            self._metrics,
            lambda: self._peers.suspects.update_wanted.set(),
            TrialOwner(self._membership, self._clock).owns,
        )
        self._versions = RecordedVersions(
            platform,
            self._directory,
            self._membership,
            self._learns_of_targets,
            lambda: self._tables.era(platform.version_records.name),
        )
        self._tables = self._build_tables()
        self._orderer = self._build_orderer()
        self._peers = GatewayPeers(
            self._membership,
            self._clock,
            self._metrics,
            self._balancer.loads,
            self._limits,
            self._directory,
            self._on_demand,
            self._lease.observe_renewal,
            self._orderer.record_resignation,
            self._tables,
            self._crashes,
            known_targets.probe_refusal,
            self._versions.observed.has_several_versions,
            self._versions.observed.record_seen,
            self._versions.observed.can_deny,
            self._find_cap,
            platform.store_time,
        )
        self._balancer.prompts.permits = self._peers.prompts
        if settings.shares_prompt_queues:
            self._peers.prompts.find_serving = self._balancer.find_serving
        self._key_currency = KeyCurrency(
            platform.store_time,
            lambda: self._tables.confirmed_at(platform.configurations.name),
            settings.key_removal,
        )
        self._lease_keeper = LeaseKeeper(
            settings.name,
            self._orderer,
            self._peers,
            LeasePolicy(self._clock, self._balancer.is_cut_off),
        )
        self._order_wanted = threading.Event()
        self._links: PeerLinks | None = None
        self._forwarder = Forwarder(self._pool, platform.headers, self._clock)
        self._peer_requests = PeerRequests(
            self._membership,
            self._pool,
            self._forwarder,
            platform.headers,
            self._clock,
            self._metrics,
            PeerChoice(settings.failure_domain),
        )
        self._service = self._build_service()
        self._app = self._build_app()
        self._forward_app = self._build_app(is_for_peers=True)
        servers = ServerFactory(settings, self._request_memory, self._metrics)
        self._forward_server = servers.build_forward_server(self._forward_app)
        self._servers = servers.build_servers(
            self._app, ReadinessApp(self.is_ready), MetricsApp(self._metrics)
        )

    def is_ready(self) -> bool:
        """Return whether the load balancer should send requests to this node."""
        is_configured = (
            self._configuration.routes is not None and self._directory.is_listed
        )
        return is_configured and not self._stopping.is_set()

    def start(self) -> None:
        """Open the listeners and start all tasks."""
        self._open_links()
        self._tables.start()
        self._tasks.start_task("settle", CLEANUP_INTERVAL, self._clean_up)
        self._tasks.start_task(
            "members",
            HEARTBEAT_INTERVAL,
            self._update_members,
            self._peers.member_changed,
        )
        self._tasks.start_task(
            "readers", self._tables.heartbeat_interval, self._peers.broadcast_state
        )
        self._tasks.start_task(
            "behind",
            lambda: self._tables.attempt_interval,
            self._tables.check_overdue_tables,
            self._tables.version_announced,
        )
        self._tasks.start_task("lease", LEASE_INTERVAL, self._update_lease)
        self._tasks.start_task(
            "share",
            SHARE_INTERVAL,
            self._send_loads_and_demand,
            self._demand.missed_event,
        )
        self._tasks.start_task(
            "crashes",
            CHECK_INTERVAL,
            self._crashes.recheck_targets,
            self._crashes.recheck_requested,
        )
        self._tasks.start_task(
            "probes",
            lambda: self._balancer.paths.probe_interval,
            self._balancer.paths.probe,
            self._balancer.paths.failure_recorded,
        )
        self._tasks.start_task(
            "suspects", DIGEST_INTERVAL, self._peers.suspects.send_digest
        )
        self._tasks.start_task(
            "ends",
            DIGEST_INTERVAL,
            self._peers.suspects.send_paced_updates,
            self._peers.suspects.update_wanted,
        )
        self._tasks.start_task(
            "streams",
            UPDATE_INTERVAL,
            self._peers.stream_versions.send_updates,
            self._peers.stream_versions.update_wanted,
        )
        self._tasks.start_task(
            "versions",
            VERSION_INTERVAL,
            self._versions.recorder.update,
            self._versions.recorder.update_wanted,
        )
        self._tasks.start_task(
            "version_reads",
            lambda: self._versions.recorder.read_pause,
            self._versions.recorder.read_requested,
            self._versions.recorder.read_wanted,
        )
        if self._settings.key_removal is not None:
            self._tasks.start_task(
                "store_time",
                lambda: self._peers.store_time.interval,
                self._peers.store_time.send_query,
            )
        if self._settings.shares_prompt_queues:
            self._tasks.start_task(
                "prompts",
                self._peers.prompts.next_decision_pause,
                self._peers.prompts.decide_all,
                self._peers.prompts.decision_due,
            )
            self._tasks.start_task(
                "paces", PACE_INTERVAL, self._peers.prompts.update_paces
            )
        self._tasks.start_task(
            "sums", self._peers.loads.next_sums_pause, self._peers.loads.send_sums
        )
        self._tasks.start_task(
            "holdings",
            IDLE_RELAY_INTERVAL,
            self._peers.relay.relay,
            self._peers.relay.report_added,
        )
        self._tasks.start_task(
            "orders",
            self._order_interval,
            self._orderer.run_paced_round,
            self._order_wanted,
        )
        for server in self._servers:
            server.start()
        if self._forward_server is not None:
            self._forward_server.start()
        log_change("started", node=self._settings.name)

    def reload(self, settings: GatewaySettings) -> None:
        """Apply changed settings; changed listen addresses need a restart."""
        log_change("reload", node=settings.name, seeds=len(settings.seeds))
        self._settings = settings

    def drain(self) -> None:
        """Stop accepting requests and finish running ones within the shutdown grace."""
        started_at = self._clock.elapsed()
        log_change("stopping", in_progress=self._progress.in_progress)
        self._stopping.set()
        self._app.draining = True
        self._forward_app.draining = True
        ends_at = started_at + self._settings.shutdown_grace - KILL_MARGIN
        waits_until = ends_at - EXIT_ANSWER_TIME
        self._balancer.close(waits_until)
        self._forwarder.waits_until = waits_until
        self._membership.announce_draining()
        self._peers.check_members()
        resignation = self._orderer.stop()
        if resignation is not None:
            self._peers.publish_resignation(resignation)
            self._clock.sleep(RESIGNATION_LEAD)
        self._orderer.release()
        self._sleep_until(min(started_at + MIN_DRAIN_DURATION, ends_at))
        caller_server = self._servers[0]
        caller_server.stop_listening()
        caller_server.close_idle_connections()
        while self._clock.elapsed() < ends_at:
            begun_count = self._progress.total_begun
            if self._progress.wait_until_idle(IDLE_BEFORE_STOP):
                self._clock.sleep(IDLE_BEFORE_STOP)
                has_begun = self._progress.total_begun != begun_count
                if not has_begun and not self._has_unsent_answers():
                    break
        if self._links is not None:
            self._links.close()
        self._tables.close()
        log_change("stopped", in_progress=self._progress.in_progress)

    def set_invariant_error_handler(
        self, stop: Callable[[InvariantError], None]
    ) -> None:
        """Set ``stop`` to be called if a task finds a broken invariant."""
        self._tasks.on_invariant_error = stop

    def _build_service(self) -> GatewayService:
        parts = RunParts(
            self._balancer,
            self._forwarder,
            RequestRecorder(self._metrics, self._clock),
            self._crashes,
            self._clock,
            SharedStreamVersions(
                self._versions.observed,
                self._peers.stream_versions,
                self._versions.recorder,
            ),
            self._peer_requests,
            self._settings.answer_limits,
        )
        usage = UsageGate(self._peers.usage, self._clock, self._metrics)
        return GatewayService(parts, self._settings.retries, usage, self._record_demand)

    def _build_app(self, is_for_peers: bool = False) -> GatewayApp:
        return GatewayApp(
            self._service,
            self._platform.headers,
            self._progress,
            self._metrics,
            self._clock,
            lambda: self._tables.may_be_behind(self._platform.configurations.name),
            is_for_peers,
            self._key_currency.is_current,
        )

    def _build_tables(self) -> GatewayTables:
        drain = self._settings.drain
        tables = GatewayTables(
            self._membership,
            self._clock,
            self._metrics,
            self._stopping,
            drain,
            lambda address, fact: self._peers.send(address, fact),
            lambda fact: self._peers.publish(fact),
            lambda: map(str, self._settings.seeds),
        )
        platform = self._platform
        tables.add(platform.configurations, self._configuration, COALESCING_WINDOW)
        tables.add(platform.targets, self._directory, target_coalescing_window(drain))
        tables.add(platform.version_records, self._versions.stored, COALESCING_WINDOW)
        return tables

    def _build_orderer(self) -> Orderer:
        bounds = self._settings.orders
        self._lease = Lease(
            self._platform.table,
            self._clock,
            ORDERS_LEASE_NAME,
            self._settings.name,
            LEASE_TTL,
            str(self._settings.peers),
        )
        return Orderer(
            self._lease,
            self._settings.name,
            self._directory,
            self._platform.orders,
            self._clock,
            self._metrics,
            lambda epoch, holdings: self._peers.publish_holdings(epoch, holdings),
            lambda: self._order_wanted.set(),
            self._balancer.is_down,
            self._limits.rates,
            self._balancer.loads.lasting_work_times,
            lambda: self._peers.orderer_epoch,
            bounds.handover,
            bounds.load_window,
        )

    def _open_links(self) -> None:
        """Open the connections and broadcasts to other nodes."""

        def on_broken(error: InvariantError) -> None:
            self._tasks.on_invariant_error(error)

        self._links = open_links(
            self._settings, self._peers, self._metrics, on_broken, self._clock
        )
        self._peers.attach_links(self._links)
        broadcaster, listener = open_broadcast(
            self._settings, self._peers, self._metrics, on_broken, self._clock
        )
        self._tables.attach(broadcaster, listener)

    def _on_routes(self, routes: RouteTable) -> None:
        self._balancer.configure(routes.services, routes.max_gaps)
        self._orderer.declare(routes.services)
        limits = routes.configuration.limits
        self._request_memory.limit = request_memory_limit(self._settings, limits)
        self._servers[0].set_limits(server_limits(self._settings, limits))
        self._versions.configure(routes)
        self._app.routes = routes
        self._forward_app.routes = routes
        if self._forward_server is not None:
            self._forward_server.set_limits(forward_limits(self._settings, limits))

        self._tables.confirm_within(
            self._platform.configurations.name, self._confirmation_interval(routes)
        )

    def _confirmation_interval(self, routes: RouteTable) -> timedelta | None:
        """Return how often the configuration is confirmed, ``None`` if never."""
        bound = self._settings.key_removal
        if bound is None or not routes.has_workspaces:
            return None
        return bound * CONFIRMATION_SHARE

    def _find_cap(self, workspace: str) -> UsageCap | None:
        routes = self._configuration.routes
        spec = None if routes is None else routes.workspaces.get(workspace)
        return None if spec is None else spec.cap

    def _learns_of_targets(self) -> bool:
        """Return whether the store or its readers publish targets to this node."""
        return self._directory.is_reachable

    def _record_demand(self, request: GatewayRequest) -> None:
        self._demand.count_request(request, self._balancer.prompt_work_ms(request))

    def _on_demand(self, node: str, shares: list[DemandShare], age: timedelta) -> None:
        self._orderer.add_demand(node, shares, age)
        if any(share.missed for share in shares):
            self._order_wanted.set()

    def _update_members(self) -> None:
        self._peers.announce_to_seeds(map(str, self._settings.seeds))
        self._peers.update_links()
        self._peers.check_members()
        self._peers.publish_held_versions()
        self._balancer.selector.node_count = len(self._membership.alive())

    def _update_lease(self) -> None:
        """Keep the lease, and start a round of the orderer if it was acquired."""
        if self._lease_keeper.update(self._rank_lease_candidates()):
            self._order_wanted.set()

    def _rank_lease_candidates(self) -> list[str]:
        """Return the nodes that are alive: latest started, then by rank.

        During a rolling restart, the latest started nodes are not restarted again.
        """
        alive = {vm.name: vm for vm in self._membership.alive()}
        ranked = rank_names(ORDERS_LEASE_NAME, alive)
        ranked.sort(key=lambda name: alive[name].incarnation, reverse=True)
        return ranked

    def _send_loads_and_demand(self) -> None:
        """Send loads and demand, after a short pause that batches requests."""
        self._clock.sleep(SHARE_BATCH_WINDOW)
        self._peers.loads.send_own()
        self._peers.permits.report_rooms()
        self._peers.send_demand(self._demand)

    def _order_interval(self) -> timedelta:
        return ORDER_INTERVAL if self._orderer.has_work else IDLE_ORDER_INTERVAL

    def _clean_up(self) -> None:
        self._directory.remove_expired()
        known = frozenset(target.incarnation for target in self._directory.all())
        self._pool.close_expired(known | self._peer_requests.known_names())
        self._peer_requests.remove_expired()
        self._versions.observed.observe_targets()
        self._versions.observed.remove_expired()
        self._balancer.delete_unknown_targets()
        self._limits.remove_expired(known.__contains__)
        ready = [target for target in self._directory.all() if target.is_ready]
        self._metrics.targets.set(len(ready))
        self._work_time_gauge.update(
            self._directory.all(), self._balancer.loads.lasting_work_times()
        )
        self._prompt_bound_gauge.update(
            self._directory.all(), self._peers.prompts.owned_bounds()
        )
        replicas = sum(len(target.held.adapters_by_model) for target in ready)
        self._metrics.replicas.set(replicas)
        self._metrics.orders_lease_held.set(self._orderer.holds_lease() is not None)
        self._metrics.requests_held.set(self._balancer.held_count)
        self._tables.update_metrics()
        self._metrics.requests_in_progress.set(self._progress.in_progress)
        self._metrics.request_memory.set(self._request_memory.held)
        self._metrics.request_memory_limit.set(self._request_memory.limit)

    def _has_unsent_answers(self) -> bool:
        servers = [*self._servers]
        if self._forward_server is not None:
            servers.append(self._forward_server)
        return any(server.has_unsent_answers for server in servers)

    def _sleep_until(self, moment: timedelta) -> None:
        left = moment - self._clock.elapsed()
        if left > timedelta():
            self._clock.sleep(left)
