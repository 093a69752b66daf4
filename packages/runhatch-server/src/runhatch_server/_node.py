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
    rank,
)
from runhatch_server._caller_side import CallerSide
from runhatch_server._demand_reports import DemandReporter
from runhatch_server._drains import DrainTracker
from runhatch_server._peer_service import PeerService
from runhatch_server._tasks import Tasks
from runhatch_server.configuration import (
    ConfigurationService,
    RevisionFollower,
    parse_deployment,
)
from runhatch_server.crashes import CHECK_INTERVAL, DIGEST_INTERVAL, CrashDetector
from runhatch_server.http import HttpServer, ServerLimits
from runhatch_server.observability import Metrics, TraceLog, log_change
from runhatch_server.operations import Access, CommandService, Inventory, OperatorApp
from runhatch_server.outside import Outside
from runhatch_server.peers import PeerLinks, PlannerNotice
from runhatch_server.placement import PlacementService
from runhatch_server.serving import Hosting, Picture, TargetIncarnations
from runhatch_server.settings import Settings

CONFIGURATION = "configuration"
OPERATOR_THREADS = 4
OPERATOR_LIMITS = ServerLimits(body=16_777_216, header=32_768)
"""The body limit fits a configuration of 860 models."""
VM_LIST_EVERY = timedelta(seconds=2)
CACHES_EVERY = timedelta(seconds=1)
KEYS_EVERY = timedelta(seconds=10)
"""Interval between two checks of the key files of peer links."""
SWEEP = "sweep"
SWEEP_EVERY = timedelta(minutes=10)
"""Claims are kept for a day, so rows may stay some minutes longer."""
LEDGER_READ_PER_TARGET = timedelta(seconds=2)
STATE_RETRY = timedelta(seconds=1)
"""Interval between two attempts of a node to get a newer configuration it knows of."""


class Node:
    """All components of a daemon; ``start`` does not block, ``drain`` ends it."""

    def __init__(self, settings: Settings, outside: Outside) -> None:
        self._settings = settings
        self._outside = outside
        self._clock = outside.clock
        self._ready = threading.Event()
        self._draining = threading.Event()
        self._metrics = Metrics()
        self._traces = TraceLog()
        self._placement_cache = Picture()
        self._ledger_read_at = timedelta(days=-1)
        self._tasks = Tasks(self._clock, self._draining)
        self._membership = Membership(
            self._build_own_vm(),
            self._clock,
            timedelta(seconds=settings.peering.suspect_seconds),
        )
        self._feed = RevisionFeed(self._on_revision)
        log = RevisionLog(outside.table, outside.objects, CONFIGURATION)
        self._configuration = ConfigurationService(log, self._feed, self._clock)
        target_incarnations = TargetIncarnations(settings.node.name)
        self._crash_detector = CrashDetector(
            self._clock,
            target_incarnations,
            self._metrics,
            lambda: self._peers.suspects.send_updates(),
        )
        self._callers = CallerSide(
            settings,
            outside,
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
        )
        self._dispatcher = self._callers.dispatcher
        self._drain_tracker = DrainTracker(self._clock, self._dispatcher.drain)
        self._placement = PlacementService(
            outside.table,
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
            self._drain_tracker.said,
            self._on_demand,
            self._on_planner,
            self._planner_notices,
            self._crash_detector,
            self._clock,
        )
        self._follower = RevisionFollower(
            self._configuration, self._feed, self._peers.ask_for_state
        )
        self._demand_reporter = DemandReporter(
            self._callers.demand,
            self._clock,
            settings.node.name,
            self._on_demand,
            self._peers.tell_demand,
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
            self._peers.own,
            self._peers.receive,
            self._metrics,
            heartbeat,
            peering.max_message_bytes,
            peering.tls,
            self._on_invariant_error,
        )
        self._peers.attach(self._links)
        placement = self._settings.placement
        refresh = timedelta(seconds=placement.refresh_seconds)
        self._tasks.every("vms", VM_LIST_EVERY, self._read_vms)
        self._tasks.every(
            "members", heartbeat, self._maintain_membership, self._peers.met_member
        )
        follower = self._follower
        self._tasks.every("configuration", refresh, follower.poll, follower.wake)
        interval = timedelta(seconds=placement.interval_seconds)
        self._tasks.every("leases", interval, self._watch_leases)
        self._tasks.every("placement", interval, self._plan)
        self._tasks.every("picture", refresh, self._refresh_placement_cache)
        self._tasks.every("caches", CACHES_EVERY, self._callers.caches.read_round)
        self._tasks.every("keys", KEYS_EVERY, self._links.renew_keys)
        self._tasks.every(
            "crashes",
            CHECK_INTERVAL,
            self._crash_detector.recheck_targets,
            self._crash_detector.recheck_requested,
        )
        self._tasks.every("suspects", DIGEST_INTERVAL, self._peers.suspects.send_digest)
        self._tasks.every("state", STATE_RETRY, follower.catch_up)
        self._tasks.every("sweep", SWEEP_EVERY, self._remove_expired_rows)
        self._operator_server.start()
        self._callers.start()

    def drain(self) -> None:
        """Stop accepting requests, finish those in progress and release all resources.

        Readiness fails at once; connections are accepted until the load balancer has
        had time to detect that.
        """
        log_change("draining", in_progress=self._callers.in_progress)
        self._draining.set()
        self._callers.announce_drain()
        self._membership.leave()
        self._peers.look_round()
        self._placement.stop()
        self._clock.sleep(timedelta(seconds=self._settings.serving.drain_lag_seconds))
        self._callers.drain()
        if self._links is not None:
            self._links.close()
        log_change("drained")

    def _on_invariant_error(self, error: InvariantError) -> None:
        self._tasks.on_broken(error)

    def on_broken_invariant(self, stop: Callable[[InvariantError], None]) -> None:
        """Call ``stop`` if a task raises an :class:`InvariantError`."""
        self._tasks.on_broken = stop

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
        app = OperatorApp(
            Access(self._settings.access),
            inventory,
            CommandService(self._configuration),
            self._configuration,
            self._placement,
            self._traces,
            self._metrics,
            self.is_ready,
        )
        listener = self._settings.operators
        return HttpServer(
            app, listener.host, listener.port, OPERATOR_THREADS, OPERATOR_LIMITS
        )

    def _on_revision(self, revision: Revision) -> None:
        """Put a revision in force; called in increasing order of revisions."""
        deployment = parse_deployment(revision.body)
        self._placement_cache.configure(deployment)
        self._drain_tracker.configure(deployment)
        self._metrics.revision.set(revision.entry.number)
        log_change("configuration", revision=revision.entry.number)
        self._peers.tell_revision(revision.entry.position)
        self._ready.set()

    def _on_revision_notice(self, position: int) -> None:
        self._follower.notice(position)

    def _on_own_hosting(self, hosting: Hosting) -> None:
        if self._on_hosting(hosting):
            self._peers.tell_hosting(hosting)

    def _on_hosting(self, hosting: Hosting) -> bool:
        changed = self._placement_cache.learn(hosting)
        if changed:
            self._dispatcher.picture_changed()
        return changed

    def _on_draining_answer(self, target: str) -> None:
        targets = frozenset({target})
        if self._drain_tracker.said(targets):
            self._peers.tell_draining(targets)

    def _on_lease(self, pool: str, record: LeaseRecord) -> None:
        self._peers.tell_all(_to_planner_notice(pool, record))

    def _on_planner(self, notice: PlannerNotice) -> bool:
        record = LeaseRecord(notice.holder, notice.epoch, 0, notice.address)
        return self._placement.learn_lease(notice.pool, record)

    def _planner_notices(self) -> list[PlannerNotice]:
        leases = self._placement.leases()
        return [_to_planner_notice(pool, record) for pool, record in leases.items()]

    def _on_demand(self, counts: dict[str, int]) -> None:
        self._placement.demand(counts, self._placement_cache.deployment)

    def _read_vms(self) -> None:
        listing = self._outside.vms.read()
        if isinstance(listing, Unavailable):
            return
        self._membership.listed(listing.nodes, listing.leaving)
        self._placement.leaving = listing.leaving
        self._drain_tracker.listed(listing.leaving)

    def _maintain_membership(self) -> None:
        self._peers.look_for_members(self._settings.peering.seeds)
        self._peers.keep_links()
        self._peers.look_round()
        self._drain_tracker.forget_old()
        self._demand_reporter.report(
            self._placement_cache.deployment,
            self._placement.leases(),
            len(self._membership.facts()),
        )

    def _remove_expired_rows(self) -> None:
        """Remove expired rows, on the one node chosen by rank."""
        names = [vm.name for vm in self._membership.alive()]
        if rank(SWEEP, names)[0] == self._settings.node.name:
            self._outside.sweep(self._clock.now())

    def _refresh_placement_cache(self) -> None:
        """Send the digest to peers, and read the ledgers if their interval has passed.

        Reading all ledgers transfers an amount of data proportional to the number of
        targets, so the interval grows with that number.
        """
        self._peers.tell_digest()
        deployment = self._placement_cache.deployment
        targets = sum(len(pool.targets) for pool in deployment.pools)
        now = self._clock.elapsed()
        if now - self._ledger_read_at >= LEDGER_READ_PER_TARGET * targets:
            self._ledger_read_at = now
            self._placement.refresh(deployment)

    def _watch_leases(self) -> None:
        self._placement.watch_leases(self._placement_cache.deployment)

    def _plan(self) -> None:
        self._placement.plan_pools(self._placement_cache.deployment)


def _to_planner_notice(pool: str, record: LeaseRecord) -> PlannerNotice:
    return PlannerNotice(pool, record.holder, record.address, record.epoch)
