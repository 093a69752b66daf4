"""Creates the components of a node and connects them."""

import threading
import time
from collections.abc import Callable
from datetime import timedelta

from runhatch_coordination import (
    InvariantError,
    LeaseRecord,
    Membership,
    Revision,
    RevisionFeed,
    RevisionLog,
    Unavailable,
    Vm,
    rank_names,
)
from runhatch_server._caller_side import CallerSide
from runhatch_server._demand_reports import DemandReporter
from runhatch_server._drains import DrainTracker
from runhatch_server._peer_service import PeerService
from runhatch_server._tasks import RecurringTasks
from runhatch_server.configuration import (
    ConfigurationService,
    RevisionFollower,
    parse_deployment,
)
from runhatch_server.crashes import (
    CHECK_INTERVAL,
    DIGEST_INTERVAL,
    CrashDetector,
    TrialOwner,
)
from runhatch_server.external_services import ExternalServices
from runhatch_server.http import HttpServer, RequestMemory, ServerLimits
from runhatch_server.observability import Metrics, TraceLog, log_change
from runhatch_server.operations import (
    Access,
    CommandService,
    Inventory,
    OperatorApp,
    RouteService,
)
from runhatch_server.peers import PeerLinks, PlannerNotice
from runhatch_server.placement import PlacementService
from runhatch_server.serving import Hosting, PlacementCache, TargetIncarnations
from runhatch_server.settings import Settings

CONFIGURATION_LOG_NAME = "configuration"
MAX_OPERATOR_THREADS = 4
OPERATOR_LIMITS = ServerLimits(max_body_bytes=16_777_216, max_header_bytes=32_768)
"""The body limit fits a configuration of 860 models."""
VM_LIST_INTERVAL = timedelta(seconds=2)
CACHE_READ_INTERVAL = timedelta(seconds=1)
KEY_CHECK_INTERVAL = timedelta(seconds=10)
"""Interval between two checks of the key files of peer links."""
SWEEP_RANK_KEY = "sweep"
SWEEP_INTERVAL = timedelta(minutes=10)
"""Claims are kept for a day, so rows may stay some minutes longer."""
LEDGER_READ_INTERVAL_PER_TARGET = timedelta(seconds=2)
CATCH_UP_INTERVAL = timedelta(seconds=1)
"""Interval between two attempts of a node to get a newer configuration it knows of."""


class Node:
    """All components of a daemon; ``start`` does not block, ``drain`` ends it."""

    def __init__(self, settings: Settings, external_services: ExternalServices) -> None:
        self._settings = settings
        self._outside = external_services
        self._clock = external_services.clock
        self._ready = threading.Event()
        self._draining = threading.Event()
        self._metrics = Metrics()
        self._traces = TraceLog()
        self._placement_cache = PlacementCache()
        self._ledger_read_at = timedelta(days=-1)
        self._tasks = RecurringTasks(self._clock, self._draining)
        self._request_memory = RequestMemory(
            settings.serving.request_memory_bytes, self._clock
        )
        self._membership = Membership(
            self._build_own_vm(),
            self._clock,
            timedelta(seconds=settings.peering.suspect_seconds),
        )
        self._feed = RevisionFeed(self._on_revision)
        log = RevisionLog(
            external_services.table,
            external_services.object_store,
            CONFIGURATION_LOG_NAME,
        )
        self._configuration = ConfigurationService(log, self._feed, self._clock)
        target_incarnations = TargetIncarnations(settings.node.name)
        self._crash_detector = CrashDetector(
            self._clock,
            target_incarnations,
            self._metrics,
            lambda: self._peers.suspect_exchange.update_wanted.set(),
            TrialOwner(self._membership, self._clock).owns,
        )
        self._callers = CallerSide(
            settings,
            external_services,
            self._placement_cache,
            self._membership,
            self._metrics,
            self._traces,
            self.is_ready,
            self._ready.is_set,
            self._on_draining_answer,
            self._on_invariant_error,
            self._crash_detector,
            target_incarnations,
            self._request_memory,
        )
        self._dispatcher = self._callers.dispatcher
        self._drain_tracker = DrainTracker(self._clock, self._dispatcher.set_draining)
        self._placement = PlacementService(
            external_services.table,
            self._clock,
            self._membership,
            self._metrics,
            self._on_own_hosting,
            self._on_lease,
            timedelta(seconds=settings.placement.lease_seconds),
        )
        self._operator_server = self._build_operators()
        self._peers = PeerService(
            self._membership,
            self._feed,
            self._placement_cache,
            self._metrics,
            self._on_revision_notice,
            self._on_hosting,
            self._drain_tracker.record_reports,
            self._on_demand,
            self._on_planner,
            self._planner_notices,
            self._crash_detector,
            self._clock,
        )
        self._follower = RevisionFollower(
            self._configuration, self._feed, self._peers.request_state
        )
        self._demand_reporter = DemandReporter(
            self._callers.demand,
            self._clock,
            settings.node.name,
            self._on_demand,
            self._peers.send_demand,
        )
        self._links: PeerLinks | None = None

    @property
    def caller_port(self) -> int:
        """The port on which callers are served."""
        return self._callers.port

    @property
    def operator_port(self) -> int:
        """The port on which operators are served."""
        return self._operator_server.port

    def is_ready(self) -> bool:
        """Return whether the load balancer should send requests to this node."""
        return self._ready.is_set() and not self._draining.is_set()

    def start(self) -> None:
        """Open the listeners and start the recurring tasks."""
        peering = self._settings.peering
        listener = self._settings.peers
        heartbeat = timedelta(seconds=peering.heartbeat_seconds)
        self._links = PeerLinks(
            f"{listener.host}:{listener.port}",
            self._peers.own_member,
            self._peers.receive,
            self._metrics,
            heartbeat,
            peering.max_message_bytes,
            peering.tls,
            self._on_invariant_error,
            self._clock,
        )
        self._peers.attach_links(self._links)
        placement = self._settings.placement
        refresh = timedelta(seconds=placement.refresh_seconds)
        self._tasks.start_task("vms", VM_LIST_INTERVAL, self._read_vms)
        self._tasks.start_task(
            "members", heartbeat, self._maintain_membership, self._peers.member_changed
        )
        follower = self._follower
        self._tasks.start_task(
            "configuration", refresh, follower.read_store, follower.read_requested
        )
        interval = timedelta(seconds=placement.interval_seconds)
        self._tasks.start_task("leases", interval, self._watch_leases)
        self._tasks.start_task("placement", interval, self._plan)
        self._tasks.start_task("picture", refresh, self._refresh_placement_cache)
        self._tasks.start_task(
            "caches", CACHE_READ_INTERVAL, self._callers.cache_event_reader.read_round
        )
        self._tasks.start_task("keys", KEY_CHECK_INTERVAL, self._links.renew_keys)
        self._tasks.start_task(
            "crashes",
            CHECK_INTERVAL,
            self._crash_detector.recheck_targets,
            self._crash_detector.recheck_requested,
        )
        self._tasks.start_task(
            "suspects", DIGEST_INTERVAL, self._peers.suspect_exchange.send_digest
        )
        self._tasks.start_task(
            "ends",
            DIGEST_INTERVAL,
            self._peers.suspect_exchange.send_paced_updates,
            self._peers.suspect_exchange.update_wanted,
        )
        self._tasks.start_task("state", CATCH_UP_INTERVAL, follower.read_if_behind)
        self._tasks.start_task("sweep", SWEEP_INTERVAL, self._remove_expired_rows)
        self._operator_server.start()
        self._callers.start()

    def drain(self) -> None:
        """Stop accepting requests, finish those in progress and release all resources.

        Readiness fails at once; connections are accepted until the load balancer has
        had time to detect that.
        """
        log_change("draining", in_progress=self._callers.in_progress)
        self._draining.set()
        self._callers.close_connections()
        self._membership.announce_draining()
        self._peers.check_members()
        self._placement.stop()
        self._clock.sleep(timedelta(seconds=self._settings.serving.drain_lag_seconds))
        self._callers.drain()
        if self._links is not None:
            self._links.close()
        log_change("drained")

    def _on_invariant_error(self, error: InvariantError) -> None:
        self._tasks.on_invariant_error(error)

    def set_invariant_error_handler(
        self, stop: Callable[[InvariantError], None]
    ) -> None:
        """Call ``stop`` if a task raises an :class:`InvariantError`."""
        self._tasks.on_invariant_error = stop

    def _build_own_vm(self) -> Vm:
        node = self._settings.node
        peers = self._settings.peers
        # A VM that restarts must supersede stale reports of its previous incarnation.
        incarnation = int(time.time())
        address = f"{peers.host}:{peers.port}"
        return Vm(node.name, node.failure_domain, address, incarnation)

    def _build_operators(self) -> HttpServer:
        inventory = Inventory(
            self._placement_cache,
            self._dispatcher,
            self._placement,
            self._membership,
            self._feed,
            self._traces,
            self._metrics,
            self._outside.table,
        )
        routes = RouteService(
            self._placement_cache,
            self._dispatcher,
            timedelta(seconds=self._settings.serving.default_deadline_seconds),
        )
        app = OperatorApp(
            Access(self._settings.access),
            inventory,
            CommandService(self._configuration),
            self._configuration,
            self._placement,
            routes,
            self._traces,
            self._metrics,
            self.is_ready,
        )
        listener = self._settings.operators
        return HttpServer(
            app,
            listener.host,
            listener.port,
            MAX_OPERATOR_THREADS,
            OPERATOR_LIMITS,
            memory=self._request_memory,
            metrics=self._metrics,
        )

    def _on_revision(self, revision: Revision) -> None:
        """Put a revision in force; called in increasing order of revisions."""
        deployment = parse_deployment(revision.body)
        self._placement_cache.set_deployment(deployment)
        self._drain_tracker.set_deployment(deployment)
        self._metrics.revision.set(revision.entry.number)
        log_change("configuration", revision=revision.entry.number)
        self._peers.publish_revision(revision.entry.position)
        self._ready.set()

    def _on_revision_notice(self, position: int) -> None:
        self._follower.record_position(position)

    def _on_own_hosting(self, hosting: Hosting) -> None:
        if self._on_hosting(hosting):
            self._peers.publish_hosting(hosting)

    def _on_hosting(self, hosting: Hosting) -> bool:
        changed = self._placement_cache.apply_hosting(hosting)
        if changed:
            self._dispatcher.grant_free_slots()
        return changed

    def _on_draining_answer(self, target: str) -> None:
        targets = frozenset({target})
        if self._drain_tracker.record_reports(targets):
            self._peers.publish_draining(targets)

    def _on_lease(self, pool: str, record: LeaseRecord) -> None:
        self._peers.publish(_to_planner_notice(pool, record))

    def _on_planner(self, notice: PlannerNotice) -> bool:
        record = LeaseRecord(notice.holder, notice.epoch, 0, notice.address)
        return self._placement.record_lease(notice.pool, record)

    def _planner_notices(self) -> list[PlannerNotice]:
        leases = self._placement.lease_records()
        return [_to_planner_notice(pool, record) for pool, record in leases.items()]

    def _on_demand(self, counts: dict[str, int]) -> None:
        self._placement.add_demand(counts, self._placement_cache.deployment)

    def _read_vms(self) -> None:
        listing = self._outside.vm_list.read()
        if isinstance(listing, Unavailable):
            return
        self._membership.apply_list(listing.nodes, listing.draining_vms)
        self._placement.draining_vms = listing.draining_vms
        self._drain_tracker.set_draining_vms(listing.draining_vms)

    def _maintain_membership(self) -> None:
        self._metrics.request_memory.set(self._request_memory.held)
        self._metrics.request_memory_limit.set(self._request_memory.limit)
        self._peers.announce_to_seeds(self._settings.peering.seeds)
        self._peers.update_links()
        self._peers.check_members()
        self._peers.publish_held_revision()
        self._drain_tracker.remove_expired()
        self._demand_reporter.send_due_reports(
            self._placement_cache.deployment,
            self._placement.lease_records(),
            len(self._membership.facts()),
        )

    def _remove_expired_rows(self) -> None:
        """Remove expired rows, on the one node chosen by rank."""
        names = [vm.name for vm in self._membership.alive()]
        if rank_names(SWEEP_RANK_KEY, names)[0] == self._settings.node.name:
            self._outside.remove_expired_rows(self._clock.now())

    def _refresh_placement_cache(self) -> None:
        """Send the digest to peers, and read the ledgers if their interval has passed.

        Reading all ledgers transfers an amount of data proportional to the number of
        targets, so the interval grows with that number.
        """
        self._peers.publish_digest()
        deployment = self._placement_cache.deployment
        targets = sum(len(pool.targets) for pool in deployment.pools)
        now = self._clock.elapsed()
        if now - self._ledger_read_at >= LEDGER_READ_INTERVAL_PER_TARGET * targets:
            self._ledger_read_at = now
            self._placement.refresh_hostings(deployment)

    def _watch_leases(self) -> None:
        self._placement.watch_leases(self._placement_cache.deployment)

    def _plan(self) -> None:
        self._placement.plan_pools(self._placement_cache.deployment)


def _to_planner_notice(pool: str, record: LeaseRecord) -> PlannerNotice:
    return PlannerNotice(pool, record.holder, record.address, record.epoch)
