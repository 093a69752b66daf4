"""Admission control and routing of requests to targets.

Requests are sent to the target with the earliest predicted first byte.  Requests
that no target can start in time are refused at once; those whose model is being
loaded are held while they can still be answered in time.
"""

import itertools
import threading
from collections.abc import Callable, Mapping
from datetime import timedelta

from runhatch_coordination import Clock
from runhatch_server.decisions import (
    BUSY_AVOIDANCE_DURATION,
    BUSY_RETRY_DELAY,
    GatewayRequest,
    HeldRequest,
    LoadBook,
    RecentDurations,
    Scorer,
    TriedTargets,
    request_tier,
)
from runhatch_server.fleet import TargetDirectory
from runhatch_server.gateway._grant import Grant
from runhatch_server.gateway._held import HeldRequests, HoldDecision
from runhatch_server.gateway._invalid_values import InvalidValueLog
from runhatch_server.gateway._prompt_admission import PromptAdmission
from runhatch_server.gateway._rate_limits import RateLimits
from runhatch_server.gateway._refusal_builder import (
    RefusalBuilder,
    missing_model_retry_delay,
)
from runhatch_server.gateway._search import TargetSearch
from runhatch_server.gateway._shared_loads import SharedLoads
from runhatch_server.gateway._target_paths import TargetPaths
from runhatch_server.gateway._target_selection import TargetSelector
from runhatch_server.refusals import Executed, Reason, Refusal
from runhatch_server.routing import RequestKind, ServiceSpec
from runhatch_server.targets import InvalidWorkTime

CALLER_CHECK_INTERVAL = timedelta(milliseconds=150)
"""Interval at which a held request checks that its caller is still connected: work
must stop within half a second of a disconnect."""
CONNECTIONS_USED_PAUSE = timedelta(milliseconds=500)
"""How long a target is avoided when all connections to it that this node may open are
in use."""
SHUTDOWN_STREAM_WINDOW = timedelta(seconds=2.5)
"""Time after the start of a shutdown in which streams are still accepted.  Later ones
would be cut off at exit, and the load balancer has polled readiness twice by then."""


class Balancer:
    """Assigns the requests of one node to targets; thread-safe."""

    def __init__(
        self,
        directory: TargetDirectory,
        clock: Clock,
        failure_domain: str,
        limits: RateLimits,
        on_missing_model: Callable[[GatewayRequest], None],
        has_connection: Callable[[str], bool],
        on_change: Callable[[], None],
        on_draining: Callable[[str], None],
        close_idle: Callable[[str], None],
        seed: int | None = None,
        shares_prompt_queues: bool = False,
    ) -> None:
        self._directory = directory
        self._clock = clock
        self._on_missing_model = on_missing_model
        self._on_draining = on_draining
        self._refusal_builder = RefusalBuilder(seed)
        self._lock = threading.Lock()
        self._book = LoadBook()
        self.prompts = PromptAdmission(self._book, shares_prompt_queues)
        """Permits for prompts, given by the owners of targets."""
        self._number_sequence = itertools.count(1)
        self.loads = SharedLoads(self._book, self._lock, clock)
        """Outstanding load at targets, of this node and its peers."""
        self.paths = TargetPaths(
            self._book, self._lock, directory, clock, has_connection, close_idle
        )
        """The targets that this node can connect to."""
        self.limits = limits
        """The rate limits announced by targets."""
        limits.count_outstanding = self.loads.count_own
        self._held_requests = HeldRequests(directory, clock, self._book, self._lock)
        self._invalid_work_times = InvalidValueLog("work_time_unreadable")
        self._closed_at: timedelta | None = None
        self._ends_by = timedelta.max
        self._durations = RecentDurations()
        self.selector = TargetSelector(
            directory,
            clock,
            self._book,
            self._lock,
            Scorer(self._book, failure_domain, has_connection, seed),
            limits,
            self.prompts,
            self._held_requests,
            self._refusal_builder,
            self._number_sequence,
            on_change,
        )
        """Selects the targets of requests."""

    @property
    def held_count(self) -> int:
        """Number of requests that currently wait for a model."""
        return self._held_requests.count

    def configure(
        self,
        services: Mapping[str, ServiceSpec],
        max_gaps: Mapping[str, timedelta] | None = None,
    ) -> None:
        """Replace the declared services.

        ``max_gaps`` gives, by service, the longest acceptable pause between two
        events of a stream.
        """
        self.selector.services = services
        self.selector.max_gaps = max_gaps or {}

    def close(self, ends_by: timedelta) -> None:
        """Refuse held requests, and those that won't end by ``ends_by``.

        The caller can retry on another node.
        """
        self._ends_by = ends_by
        self._closed_at = self._clock.elapsed()
        self._directory.notify_waiters()

    def refuse_if_exiting(self, request: GatewayRequest) -> Refusal | None:
        """Return a refusal if this node exits before ``request`` would end."""
        if not self._exits_before_end_of(request):
            return None
        return Refusal(Reason.STOPPING, Executed.NO, retry_after=timedelta())

    def acquire(
        self,
        request: GatewayRequest,
        tried: TriedTargets,
        caller_gone: Callable[[], bool],
    ) -> Grant | Refusal:
        """Return a grant for ``request``, or a refusal as soon as none is possible.

        ``tried`` holds the targets of its previous attempts.  Blocks while the
        request is held for its model.
        """
        stopping = self.refuse_if_exiting(request)
        if stopping is not None:
            return stopping
        search = TargetSearch(request, tried, request_tier(request))
        try:
            result = self.selector.select(search)
            if not isinstance(result, HoldDecision):
                return result
            if result.recheck_interval is None:
                self._on_missing_model(request)
            search.place = HeldRequest(
                next(self._number_sequence), self._clock.elapsed()
            )
            return self._wait(search, search.place, caller_gone, result)
        finally:
            if search.place is not None:
                self._held_requests.uncount(search.place)
            self.limits.stop_waiting(search.permits_requested_at)
            self.prompts.stop(search)

    def _wait(
        self,
        search: TargetSearch,
        held_request: HeldRequest,
        caller_gone: Callable[[], bool],
        result: HoldDecision,
    ) -> Grant | Refusal:
        """Hold a request until its model is loaded or waiting can no longer help."""
        request = search.request
        while True:
            now = self._clock.elapsed()
            if self._closed_at is not None:
                return self._refusal_builder.refuse(result.reason)
            if now >= result.until or self._held_requests.is_full:
                retry_after = missing_model_retry_delay(request)
                if result.recheck_interval is not None:
                    retry_after = BUSY_RETRY_DELAY
                return self._refusal_builder.refuse(result.reason, retry_after)
            if caller_gone():
                return Refusal(Reason.CALLER_GONE, Executed.NO)
            self._held_requests.count_at(request, result.target, held_request)
            recheck_interval = result.recheck_interval or CALLER_CHECK_INTERVAL
            self._held_requests.wait_for_update(
                min(result.until - now, recheck_interval, CALLER_CHECK_INTERVAL),
                lambda: search.has_new_prompt_answer,
            )
            next_result = self.selector.select(search)
            if not isinstance(next_result, HoldDecision):
                return next_result
            result = next_result

    def record_first_byte(self, grant: Grant) -> None:
        """Record that the first byte of the answer has arrived."""
        self._directory.record_reached(grant.target.incarnation)
        self._release_prompt_permit(grant, has_begun=True)
        now = self._clock.elapsed()
        with self._lock:
            load = self._book.load(grant.target.incarnation)
            load.last_received_at = now
            load.record_connected()
            outstanding = load.own_requests.get(grant.number)
            if outstanding is None or outstanding.started:
                return
            outstanding.started = True
            work = grant.request.work
            if work is not None:
                duration = now - outstanding.sent_at
                self._book.record_first_byte(
                    grant.target.incarnation, work, outstanding, duration
                )

    def record_stream_pace(self, grant: Grant, mean_gap: timedelta) -> None:
        """Update the target's pace by the mean gap of events in a complete stream."""
        if grant.is_to_peer:
            return
        service = self.selector.services.get(grant.request.service)
        if service is None or service.engine is None:
            return
        gap_ms = mean_gap / timedelta(milliseconds=1)
        with self._lock:
            load = self._book.load(grant.target.incarnation)
            now = self._clock.elapsed()
            load.record_step_time(gap_ms / service.engine.event_tokens, now)

    def release(self, grant: Grant, target_failed: bool) -> None:
        """Release ``grant``; ``target_failed`` if the target failed the request."""
        now = self._clock.elapsed()
        if not target_failed:
            self._durations.record(grant.request.route.name, now - grant.granted_at)
        if grant.is_to_peer:
            return
        self._release_prompt_permit(grant)
        with self._lock:
            load = self._book.load(grant.target.incarnation)
            load.own_requests.pop(grant.number, None)
            load.record_outcome(target_failed, now)
            if not target_failed:
                load.last_received_at = now
                if grant.request.work is None:
                    duration = now - grant.granted_at
                    duration /= load.work_time.current_factor(now)
                    self._book.rates.record_service_time(
                        grant.request.route.name, duration
                    )
        self.limits.record_end(grant.target.incarnation)

    def release_refused(self, grant: Grant) -> None:
        """Release ``grant``, whose target was full and didn't run the request."""
        self._release_and_exclude(grant, BUSY_AVOIDANCE_DURATION, is_rejected=True)

    def back_off_target(self, grant: Grant, backoff: timedelta) -> None:
        """Send nothing to the target of ``grant`` for the duration ``backoff``."""
        now = self._clock.elapsed()
        with self._lock:
            load = self._book.load(grant.target.incarnation)
            load.backoff_until = max(load.backoff_until, now + backoff)

    def record_work_time(self, grant: Grant, factor: float | InvalidWorkTime) -> None:
        """Record how long work takes at the target of ``grant``, as it stated.

        ``factor`` is relative to the usual time; an invalid one is logged.
        """
        if isinstance(factor, InvalidWorkTime):
            self._invalid_work_times.log(grant.target.incarnation, factor.value)
            return
        now = self._clock.elapsed()
        with self._lock:
            load = self._book.load(grant.target.incarnation)
            load.work_time.record_received(factor, now)

    def record_draining(self, grant: Grant) -> None:
        """Record that the target of ``grant`` announced that it drains."""
        if self._directory.record_draining(grant.target.incarnation):
            self._on_draining(grant.target.incarnation)

    def release_unused(self, grant: Grant) -> None:
        """Release ``grant``, whose request is not to be sent any more."""
        self._release_and_exclude(grant, timedelta())
        self.limits.return_permit(grant.target.incarnation)

    def release_unsent(self, grant: Grant) -> None:
        """Release ``grant``, for which this node may open no further connection."""
        self._release_and_exclude(grant, CONNECTIONS_USED_PAUSE)

    def release_unreachable(self, grant: Grant) -> None:
        """Release ``grant``, to whose target no connection could be made."""
        self._release_and_exclude(grant, timedelta())
        self.paths.record_failure(grant.target.incarnation)

    def release_misdirected(self, grant: Grant) -> None:
        """Release ``grant``, whose target does not hold the model at present."""
        self._release_and_exclude(grant, timedelta())
        request = grant.request
        target = grant.target.incarnation
        self._directory.record_missing_model(target, request.model, request.adapter)

    def is_down(self, target: str) -> bool:
        """Return whether the last connects to ``target`` all failed."""
        return self.paths.is_down(target)

    def is_cut_off(self) -> bool:
        """Return whether this node seems to have lost its paths to targets with models.

        See :meth:`TargetPaths.are_lost`.
        """
        return self.paths.are_lost(
            [
                target
                for name, service in self.selector.services.items()
                if service.engine is not None
                for target in self._directory.ready_targets(name)
            ]
        )

    def find_serving(self) -> dict[str, dict[str, int]]:
        """Return the slots of targets with models that serve, by service.

        Those are the ready ones that are neither down nor silent.
        """
        return {
            name: self.paths.find_serving(self._directory.ready_targets(name))
            for name, service in self.selector.services.items()
            if service.engine is not None
        }

    def prompt_work_ms(self, request: GatewayRequest) -> float:
        """Return the milliseconds that processing the whole prompt would take."""
        with self._lock:
            return self._book.full_prompt_ms(request)

    def delete_unknown_targets(self) -> None:
        """Delete the load records of targets that no longer exist."""
        now = self._clock.elapsed()

        def is_known(name: str) -> bool:
            return self._directory.get(name) is not None

        with self._lock:
            self._book.remove_ended(is_known, now)
        self._invalid_work_times.remove_ended(is_known)

    def _exits_before_end_of(self, request: GatewayRequest) -> bool:
        """Return whether this node would exit before ``request`` ends."""
        closed_at = self._closed_at
        if closed_at is None:
            return False
        now = self._clock.elapsed()
        is_stream = request.route.kind is RequestKind.STREAM
        if is_stream and now - closed_at >= SHUTDOWN_STREAM_WINDOW:
            return True
        time_left = request.deadline - now
        route = request.route.name
        return not self._durations.fits(route, time_left, now, self._ends_by)

    def _release_prompt_permit(self, grant: Grant, has_begun: bool = False) -> None:
        permits = self.prompts.permits
        if grant.prompt_permit is not None and permits is not None:
            permits.release(grant.prompt_permit, has_begun)

    def _release_and_exclude(
        self, grant: Grant, pause: timedelta, is_rejected: bool = False
    ) -> None:
        self._release_prompt_permit(grant)
        now = self._clock.elapsed()
        with self._lock:
            load = self._book.load(grant.target.incarnation)
            load.own_requests.pop(grant.number, None)
            load.avoided_until = max(load.avoided_until, now + pause)
        self.limits.record_end(grant.target.incarnation, is_rejected)
