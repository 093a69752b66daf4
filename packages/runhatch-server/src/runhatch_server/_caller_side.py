"""Assembles the parts of a node that serve callers' requests."""

from collections.abc import Callable
from datetime import timedelta

from runhatch_coordination import (
    Claims,
    GroupCommitter,
    InvariantError,
    Membership,
    RetryBudget,
)
from runhatch_server._progress import RequestCounter
from runhatch_server.crashes import CrashDetector
from runhatch_server.external_services import ExternalServices
from runhatch_server.http import (
    AnswerLimits,
    AnswerMemory,
    HttpServer,
    RequestMemory,
    ServerLimits,
)
from runhatch_server.observability import LogLevel, Metrics, TraceLog
from runhatch_server.serving import (
    AnswerStore,
    Attempter,
    CacheEventReader,
    CallerApp,
    Canceller,
    DemandCounter,
    Dispatcher,
    OnceGuard,
    PlacementCache,
    RequestReader,
    ServingService,
    TargetIncarnations,
)
from runhatch_server.settings import Settings
from runhatch_server.targets import TargetClient

DRAIN_POLL_INTERVAL = timedelta(milliseconds=200)


class CallerSide:
    """Serves callers' requests, and drains them on shutdown.

    ``is_ready`` is the readiness reported to the load balancer, ``has_configuration``
    whether requests can be validated at all.  ``on_draining`` is called with a target
    that refuses new work while draining, ``on_invariant_error`` with a violated
    invariant.  What open requests hold counts in ``request_memory``.
    """

    def __init__(
        self,
        settings: Settings,
        outside: ExternalServices,
        placement_cache: PlacementCache,
        membership: Membership,
        metrics: Metrics,
        traces: TraceLog,
        is_ready: Callable[[], bool],
        has_configuration: Callable[[], bool],
        on_draining: Callable[[str], None],
        on_invariant_error: Callable[[InvariantError], None],
        crashes: CrashDetector,
        target_incarnations: TargetIncarnations,
        request_memory: RequestMemory,
    ) -> None:
        serving = settings.serving
        self._settings = settings
        self._outside = outside
        self._clock = outside.clock
        self._picture = placement_cache
        self._membership = membership
        self._metrics = metrics
        self._crashes = crashes
        self._lives = target_incarnations
        self._progress = RequestCounter()
        self._committer = GroupCommitter(outside.table)
        self.demand = DemandCounter()
        self.dispatcher = Dispatcher(
            placement_cache,
            self._clock,
            settings.node.failure_domain,
            serving.queue_limit,
            serving.caller_share,
        )
        self.cache_event_reader = CacheEventReader(
            self.dispatcher, placement_cache, metrics, serving.cache_event_targets
        )
        self._service = self._build_service(traces, on_draining, request_memory)
        self._app = CallerApp(
            RequestReader(placement_cache, serving, self._clock),
            self._service,
            placement_cache,
            metrics,
            self._progress,
            self._clock,
            is_ready,
            has_configuration,
            on_invariant_error,
        )
        self._server = HttpServer(
            self._app,
            settings.callers.host,
            settings.callers.port,
            serving.threads,
            ServerLimits(
                serving.max_body_bytes,
                serving.max_header_bytes,
                body_timeout=timedelta(seconds=serving.body_timeout_seconds),
                min_body_progress_bytes=serving.min_body_progress_bytes,
                max_framing_per_byte=serving.max_framing_per_byte,
                max_chunk_line_bytes=serving.max_chunk_line_bytes,
                max_unsent_bytes=serving.max_unsent_bytes,
            ),
            memory=request_memory,
            build_refusal=self._app.refuse_unread,
            metrics=metrics,
        )

    @property
    def port(self) -> int:
        """The port of the listener for callers."""
        return self._server.port

    @property
    def in_progress(self) -> int:
        """Number of requests in progress."""
        return self._progress.in_progress

    def start(self) -> None:
        """Start accepting requests."""
        self._server.start()

    def close_connections(self) -> None:
        """Close callers' connections after their next answers."""
        self._app.draining = True

    def drain(self) -> None:
        """Stop listening and wait until all requests are answered and recorded."""
        self._server.stop_listening()
        self._wait_for_requests()
        self._service.close()
        self._committer.close()

    def _wait_for_requests(self) -> None:
        """Wait until no request is in progress or arrives on an open connection."""
        count_before = -1
        while count_before != self._progress.total_begun:
            count_before = self._progress.total_begun
            while not self._progress.wait_until_idle(DRAIN_POLL_INTERVAL):
                pass
            self._clock.sleep(DRAIN_POLL_INTERVAL)
        while self._server.has_unsent_answers:
            self._clock.sleep(DRAIN_POLL_INTERVAL)

    def _build_service(
        self,
        traces: TraceLog,
        on_draining: Callable[[str], None],
        request_memory: RequestMemory,
    ) -> ServingService:
        serving = self._settings.serving
        limits = AnswerLimits(serving.max_answer_bytes, serving.max_stream_rate)
        answers = AnswerMemory(limits, request_memory, self._clock)
        client = TargetClient(self._clock, answers)
        attempter = Attempter(
            self.dispatcher,
            client,
            self._picture,
            RetryBudget(),
            self._metrics,
            self._clock,
            on_draining,
            self._crashes,
            self._lives,
        )
        return ServingService(
            attempter,
            client,
            Canceller(),
            self._build_once_guard(),
            self.demand,
            self._metrics,
            traces,
            self._clock,
            timedelta(seconds=serving.stall_seconds),
            self._settings.logs.level is LogLevel.REQUEST,
            limits,
            request_memory,
        )

    def _build_once_guard(self) -> OnceGuard:
        serving = self._settings.serving
        claims = Claims(
            self._outside.table,
            self._committer,
            self._settings.node.name,
            self._clock,
            timedelta(seconds=serving.answer_retention_seconds),
        )
        return OnceGuard(
            claims,
            AnswerStore(self._outside.object_store, serving.inline_answer_bytes),
            self._membership,
            self._metrics,
            self._clock,
            timedelta(seconds=serving.claim_wait_seconds),
        )
