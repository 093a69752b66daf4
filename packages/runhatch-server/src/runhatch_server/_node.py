"""One node put together: what it owns, how its parts refer to each other."""

import threading
import time
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from runhatch_coordination import (
    Claims,
    Clock,
    GroupCommitter,
    InvariantError,
    LeaseRecord,
    Membership,
    ObjectStore,
    RetryBudget,
    Revision,
    RevisionFeed,
    RevisionLog,
    SystemClock,
    Table,
    Unavailable,
    Vm,
)
from runhatch_server._demand_reports import DemandReporter
from runhatch_server._drains import DrainTracker
from runhatch_server._http_server import HttpServer
from runhatch_server._tasks import Tasks
from runhatch_server.configuration import ConfigurationService, parse_deployment
from runhatch_server.observability import Metrics, TraceLog, log_change
from runhatch_server.operations import Access, CommandService, Inventory, OperatorApp
from runhatch_server.peers import PeerLinks, PeerService, PlannerNotice
from runhatch_server.placement import PlacementService
from runhatch_server.platform import (
    HttpObjects,
    HttpTable,
    HttpVmList,
    PlatformHttp,
    StoreClock,
)
from runhatch_server.serving import (
    AnswerStore,
    Attempter,
    CacheIntake,
    CallerApp,
    Canceller,
    DemandCounter,
    Dispatcher,
    Hosting,
    OnceGuard,
    Picture,
    Progress,
    RequestReader,
    ServingService,
)
from runhatch_server.settings import LogLevel, Settings
from runhatch_server.targets import TargetClient

CONFIGURATION = "configuration"
OPERATOR_THREADS = 4
VM_LIST_EVERY = timedelta(seconds=2)
DRAIN_POLL = timedelta(milliseconds=200)
CACHES_EVERY = timedelta(seconds=1)
KEYS_EVERY = timedelta(seconds=10)
"""Between two looks at the key files of peer links."""
LEDGER_READ_PER_TARGET = timedelta(seconds=2)
STATE_RETRY = timedelta(seconds=1)
"""Between two asks of peers by a node that knows no configuration yet."""


@dataclass(frozen=True, slots=True)
class Outside:
    """The outside as one node reaches it; tests pass their own."""

    table: Table
    objects: ObjectStore
    vms: HttpVmList
    clock: Clock


def connect(settings: Settings) -> Outside:
    """Return the clients of the platform that ``settings`` names."""
    platform = settings.platform
    timeout = timedelta(seconds=platform.timeout_seconds)
    clock = StoreClock(SystemClock())
    table_http = PlatformHttp(platform.table_url, timeout, on_date=clock.hear)
    return Outside(
        HttpTable(table_http, platform.table),
        HttpObjects(PlatformHttp(platform.objects_url, timeout), platform.bucket),
        HttpVmList(PlatformHttp(platform.vms_url, timeout)),
        clock,
    )


class Node:
    """A whole daemon; ``start`` returns, ``drain`` ends it."""

    def __init__(self, settings: Settings, outside: Outside) -> None:
        self._settings = settings
        self._outside = outside
        self._clock = outside.clock
        self._ready = threading.Event()
        self._draining = threading.Event()
        self._metrics = Metrics()
        self._traces = TraceLog()
        self._progress = Progress()
        self._picture = Picture()
        self._demand = DemandCounter()
        self._ledger_read = timedelta(days=-1)
        self._notices = threading.Event()
        self._tasks = Tasks(self._clock, self._draining)
        self._membership = Membership(
            self._own_vm(),
            self._clock,
            timedelta(seconds=settings.peering.suspect_seconds),
        )
        self._feed = RevisionFeed(self._on_revision)
        log = RevisionLog(outside.table, outside.objects, CONFIGURATION)
        self._configuration = ConfigurationService(log, self._feed, self._clock)
        serving = settings.serving
        self._dispatcher = Dispatcher(
            self._picture,
            self._clock,
            settings.node.failure_domain,
            serving.queue_limit,
            serving.caller_share,
        )
        self._caches = CacheIntake(
            self._dispatcher,
            self._picture,
            self._metrics,
            serving.cache_event_targets,
        )
        self._drains = DrainTracker(self._clock, self._dispatcher.drain)
        self._placement = PlacementService(
            outside.table,
            self._clock,
            self._membership,
            self._metrics,
            self._on_own_hosting,
            self._on_lease,
            timedelta(seconds=settings.placement.lease_seconds),
        )
        self._committer = GroupCommitter(outside.table)
        self._service = self._build_service()
        self._caller_app = CallerApp(
            RequestReader(self._picture, serving, self._clock),
            self._service,
            self._picture,
            self._metrics,
            self._progress,
            self._clock,
            self.is_ready,
            self._ready.is_set,
            self._broken,
        )
        self._callers = HttpServer(
            self._caller_app,
            settings.callers,
            serving.threads,
            serving.max_body_bytes,
            serving.max_header_bytes,
        )
        self._operators = self._build_operators()
        self._peers = PeerService(
            self._membership,
            self._feed,
            self._picture,
            self._metrics,
            self._on_notice,
            self._on_hosting,
            self._drains.said,
            self._on_demand,
            self._on_planner,
            self._planner_notices,
        )
        self._demand_reporter = DemandReporter(
            self._demand,
            self._clock,
            settings.node.name,
            self._on_demand,
            self._peers.tell_demand,
        )
        self._links: PeerLinks | None = None

    @property
    def caller_port(self) -> int:
        """The port callers are served on."""
        return self._callers.port

    @property
    def operator_port(self) -> int:
        """The port operators are served on."""
        return self._operators.port

    def is_ready(self) -> bool:
        """Tell whether the balancer should send requests here."""
        return self._ready.is_set() and not self._draining.is_set()

    def start(self) -> None:
        """Open the listeners and start every task."""
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
            self._broken,
        )
        self._peers.attach(self._links)
        placement = self._settings.placement
        refresh = timedelta(seconds=placement.refresh_seconds)
        self._tasks.every("vms", VM_LIST_EVERY, self._read_vms)
        self._tasks.every("members", heartbeat, self._keep_members)
        self._tasks.every("configuration", refresh, self._refresh, self._notices)
        interval = timedelta(seconds=placement.interval_seconds)
        self._tasks.every("leases", interval, self._watch_leases)
        self._tasks.every("placement", interval, self._plan)
        self._tasks.every("picture", refresh, self._refresh_picture)
        self._tasks.every("caches", CACHES_EVERY, self._caches.read_round)
        self._tasks.every("keys", KEYS_EVERY, self._links.renew_keys)
        self._tasks.every("state", STATE_RETRY, self._ask_while_empty)
        self._operators.start()
        self._callers.start()

    def drain(self) -> None:
        """Stop taking requests, finish those there are, and let go of everything.

        Readiness fails at once; connections are taken until the balancer has
        had time to notice.
        """
        log_change("draining", in_progress=self._progress.count)
        self._draining.set()
        self._caller_app.draining = True
        self._membership.leave()
        self._peers.look_round()
        self._placement.stop()
        self._clock.sleep(timedelta(seconds=self._settings.serving.drain_lag_seconds))
        self._callers.stop_listening()
        self._finish_requests()
        self._service.close()
        self._committer.close()
        if self._links is not None:
            self._links.close()
        log_change("drained")

    def _broken(self, error: InvariantError) -> None:
        self._tasks.on_broken(error)

    def _finish_requests(self) -> None:
        """Wait until nothing is in progress, nor arrives on an open connection."""
        begun = -1
        while begun != self._progress.begun:
            begun = self._progress.begun
            while not self._progress.wait_idle(DRAIN_POLL):
                pass
            self._clock.sleep(DRAIN_POLL)

    def on_broken_invariant(self, stop: Callable[[InvariantError], None]) -> None:
        """Have ``stop`` called if a task finds a promise broken."""
        self._tasks.on_broken = stop

    def _own_vm(self) -> Vm:
        node = self._settings.node
        peers = self._settings.peers
        # A VM that comes back must outrank what is still said of its last life.
        born = int(time.time())
        address = f"{peers.host}:{peers.port}"
        return Vm(node.name, node.failure_domain, address, born)

    def _build_service(self) -> ServingService:
        serving = self._settings.serving
        client = TargetClient(self._clock)
        claims = Claims(
            self._outside.table,
            self._committer,
            self._settings.node.name,
            self._clock,
            timedelta(seconds=serving.answer_retention_seconds),
        )
        once = OnceGuard(
            claims,
            AnswerStore(self._outside.objects, serving.inline_answer_bytes),
            self._membership,
            self._metrics,
            self._clock,
            timedelta(seconds=serving.claim_wait_seconds),
        )
        attempter = Attempter(
            self._dispatcher,
            client,
            self._picture,
            RetryBudget(),
            self._metrics,
            self._clock,
            self._on_draining_answer,
        )
        return ServingService(
            attempter,
            client,
            Canceller(),
            once,
            self._demand,
            self._metrics,
            self._traces,
            self._clock,
            timedelta(seconds=serving.stall_seconds),
            self._settings.logs.level is LogLevel.REQUEST,
        )

    def _build_operators(self) -> HttpServer:
        inventory = Inventory(
            self._picture,
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
        return HttpServer(
            app, self._settings.operators, OPERATOR_THREADS, 16_777_216, 32_768
        )

    def _on_revision(self, revision: Revision) -> None:
        """Put a revision in force; called in order, never for a lower one."""
        deployment = parse_deployment(revision.body)
        self._picture.configure(deployment)
        self._drains.configure(deployment)
        self._metrics.revision.set(revision.entry.number)
        log_change("configuration", revision=revision.entry.number)
        self._peers.tell_revision(revision.entry.number)
        self._ready.set()

    def _on_notice(self, number: int) -> None:
        if number > self._feed.number:
            self._notices.set()

    def _on_own_hosting(self, hosting: Hosting) -> None:
        if self._on_hosting(hosting):
            self._peers.tell_hosting(hosting)

    def _on_hosting(self, hosting: Hosting) -> bool:
        news = self._picture.learn(hosting)
        if news:
            self._dispatcher.picture_changed()
        return news

    def _on_draining_answer(self, target: str) -> None:
        targets = frozenset({target})
        if self._drains.said(targets):
            self._peers.tell_draining(targets)

    def _on_lease(self, pool: str, record: LeaseRecord) -> None:
        self._peers.tell_all(_notice(pool, record))

    def _on_planner(self, notice: PlannerNotice) -> bool:
        record = LeaseRecord(notice.holder, notice.epoch, 0, notice.address)
        return self._placement.learn_lease(notice.pool, record)

    def _planner_notices(self) -> list[PlannerNotice]:
        leases = self._placement.leases()
        return [_notice(pool, record) for pool, record in leases.items()]

    def _on_demand(self, counts: dict[str, int]) -> None:
        self._placement.demand(counts, self._picture.deployment)

    def _read_vms(self) -> None:
        listing = self._outside.vms.read()
        if isinstance(listing, Unavailable):
            return
        self._membership.listed(listing.nodes, listing.leaving)
        self._placement.leaving = listing.leaving
        self._drains.listed(listing.leaving)

    def _keep_members(self) -> None:
        self._peers.keep_links()
        self._peers.look_round()
        self._drains.forget_old()
        self._demand_reporter.report(
            self._picture.deployment,
            self._placement.leases(),
            len(self._membership.facts()),
        )

    def _refresh(self) -> None:
        self._configuration.refresh()

    def _refresh_picture(self) -> None:
        """Compare with peers each time, with the ledger ever more seldom.

        Reading all ledgers costs bytes by the number of targets.
        """
        self._peers.tell_digest()
        deployment = self._picture.deployment
        targets = sum(len(pool.targets) for pool in deployment.pools)
        now = self._clock.elapsed()
        if now - self._ledger_read >= LEDGER_READ_PER_TARGET * targets:
            self._ledger_read = now
            self._placement.refresh(deployment)

    def _ask_while_empty(self) -> None:
        if self._feed.number == 0 and not self._configuration.refresh():
            self._peers.ask_for_state()

    def _watch_leases(self) -> None:
        self._placement.watch_leases(self._picture.deployment)

    def _plan(self) -> None:
        self._placement.plan_pools(self._picture.deployment)


def _notice(pool: str, record: LeaseRecord) -> PlannerNotice:
    return PlannerNotice(pool, record.holder, record.address, record.epoch)
