"""Sends a request to targets and decides which failures are retried, and where."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta

from runhatch_coordination import Clock, RetryBudget
from runhatch_server.crashes import CrashDetector
from runhatch_server.observability import (
    AttemptTrace,
    Metrics,
    RequestLog,
    RequestTrace,
)
from runhatch_server.refusals import Executed, Reason, Refusal
from runhatch_server.serving._dispatch import Dispatcher, Grant
from runhatch_server.serving._placement_cache import PlacementCache
from runhatch_server.serving._request import CallerRequest
from runhatch_server.serving._target_incarnations import TargetIncarnations
from runhatch_server.serving._target_requests import build_target_request
from runhatch_server.targets import (
    AttemptReason,
    NotSent,
    OpenAnswer,
    RefusedNotRun,
    TargetClient,
    UnknownResult,
)

MAX_ATTEMPTS = 4
INITIAL_BACKOFF = timedelta(milliseconds=20)
FREE_RETRY_REASONS = frozenset({AttemptReason.MODEL_MISSING})
"""Failures caused by a stale picture; retrying them costs the targets nothing."""


@dataclass(slots=True)
class RequestContext:
    """State of one request across its attempts: trace, log, failures, connection."""

    request: CallerRequest
    fingerprint: str
    trace: RequestTrace
    log: RequestLog
    is_caller_gone: Callable[[], bool]
    may_have_run: bool = False
    attempts: int = 0
    failed_targets: frozenset[str] = frozenset()
    failed_domains: frozenset[str] = frozenset()
    continuation: dict[str, object] | None = None
    last_target_url: str = ""
    target_incarnation: str = ""
    """Incarnation of the target of the latest attempt."""
    traits: tuple[str, ...] = ()
    """What its prompt may have in common with those of other requests."""
    has_begun: bool = False
    """Whether the latest attempt's target has sent an event."""
    trial_key: object = field(default_factory=object)
    """Identifies the request among those that try held traits."""


@dataclass(frozen=True, slots=True)
class OpenedAnswer:
    """An answer whose headers have arrived, and the slot it occupies."""

    grant: Grant
    answer: OpenAnswer
    time_to_first_byte: timedelta


class Attempter:
    """Sends the attempts of all requests of one node."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        client: TargetClient,
        placement_cache: PlacementCache,
        retry_budget: RetryBudget,
        metrics: Metrics,
        clock: Clock,
        on_draining: Callable[[str], None],
        crashes: CrashDetector,
        target_incarnations: TargetIncarnations,
        seed: int | None = None,
    ) -> None:
        self._on_draining = on_draining
        self._crashes = crashes
        self._lives = target_incarnations
        self._dispatcher = dispatcher
        self._client = client
        self._picture = placement_cache
        self._budget = retry_budget
        self._metrics = metrics
        self._clock = clock
        self._random = random.Random(seed)

    def open_answer(self, context: RequestContext) -> OpenedAnswer | Refusal:
        """Return an answer that has started, or a refusal once no retry is allowed."""
        while True:
            crash_refusal = self._check_suspicion(context)
            if crash_refusal is not None:
                return crash_refusal
            grant = self._dispatcher.acquire(
                context.request, context.failed_targets, context.failed_domains
            )
            if isinstance(grant, Refusal):
                self._crashes.traits.record_request_end(context.trial_key)
                return grant.as_unknown() if context.may_have_run else grant
            # Targets may have ended under requests like this one while it waited.
            crash_refusal = self._check_suspicion(context)
            if crash_refusal is not None:
                self._dispatcher.release_unused(grant)
                return crash_refusal
            opened = self._attempt(context, grant)
            if isinstance(opened, OpenedAnswer):
                return opened
            refusal = self.handle_failure(context, grant, opened)
            if refusal is not None:
                return refusal

    def record_completed(self, opened: OpenedAnswer, context: RequestContext) -> None:
        """Return the slot after the whole answer has arrived."""
        self._budget.record_success()
        self._record_attempt(context, opened.grant, "answered")
        self._dispatcher.release_completed(
            opened.grant, opened.time_to_first_byte, opened.answer.load
        )
        self.record_begun(context)
        self._crashes.record_answer(
            context.fingerprint, context.target_incarnation, opened.grant.granted_at
        )
        self._crashes.traits.record_request_end(context.trial_key)
        opened.answer.close()

    def record_begun(self, context: RequestContext) -> None:
        """Record that the target of the latest attempt began its answer."""
        if not context.has_begun:
            context.has_begun = True
            self._crashes.traits.record_begun(context.traits)

    def handle_failure(
        self,
        context: RequestContext,
        grant: Grant,
        outcome: NotSent | RefusedNotRun | UnknownResult,
    ) -> Refusal | None:
        """Return the slot; return a refusal unless the request is to be retried."""
        self._dispatcher.release_failed(grant, outcome)
        self._record_attempt(context, grant, outcome.reason.value)
        if outcome.reason is AttemptReason.MODEL_MISSING:
            self._picture.mark_unit_missing(grant.host.target, grant.host.unit)
        if outcome.reason is AttemptReason.TARGET_DRAINING:
            self._on_draining(grant.host.target)
        if isinstance(outcome, UnknownResult):
            context.may_have_run = True
            self._record_possible_crash(context, outcome.reason)
        else:
            self._crashes.traits.record_not_run(context.trial_key)
        context.failed_targets |= {grant.host.target}
        context.failed_domains |= {grant.host.failure_domain}
        refusal = self._refuse_or_back_off(context, outcome)
        if refusal is not None:
            self._crashes.traits.record_request_end(context.trial_key)
        return refusal

    def record_abandoned(
        self, context: RequestContext, grant: Grant, outcome: UnknownResult
    ) -> None:
        """Return the slot without a retry."""
        context.may_have_run = True
        self._record_possible_crash(context, outcome.reason)
        self._dispatcher.release_failed(grant, outcome)
        self._record_attempt(context, grant, outcome.reason.value)
        self._crashes.traits.record_request_end(context.trial_key)

    def _check_suspicion(self, context: RequestContext) -> Refusal | None:
        """Return a refusal if requests like this one have crashed targets."""
        refusal = self._crashes.check_request(
            context.fingerprint, context.traits, context.trial_key
        )
        if refusal is not None and context.may_have_run:
            return refusal.as_unknown()
        return refusal

    def _attempt(
        self, context: RequestContext, grant: Grant
    ) -> OpenedAnswer | NotSent | RefusedNotRun | UnknownResult:
        context.attempts += 1
        context.has_begun = False
        self._crashes.traits.record_sent(context.trial_key)
        context.last_target_url = grant.host.url
        context.target_incarnation = self._lives.current_id(
            grant.host.target, grant.host.url
        )
        target_request = build_target_request(
            context.request, grant.host, context.attempts, context.continuation
        )
        outcome = self._client.send(target_request, context.is_caller_gone)
        if isinstance(outcome, OpenAnswer):
            first_byte = self._clock.elapsed() - grant.granted_at
            return OpenedAnswer(grant, outcome, first_byte)
        return outcome

    def _record_possible_crash(
        self, context: RequestContext, reason: AttemptReason
    ) -> None:
        """Report a broken connection, which may mean that the target crashed."""
        if reason is AttemptReason.CONNECTION_BROKEN:
            self._crashes.record_abort(
                context.fingerprint,
                context.target_incarnation,
                () if context.has_begun else context.traits,
            )

    def _refuse_or_back_off(
        self,
        context: RequestContext,
        outcome: NotSent | RefusedNotRun | UnknownResult,
    ) -> Refusal | None:
        if outcome.reason is AttemptReason.CALLER_GONE:
            return Refusal(Reason.CALLER_GONE, Executed.UNKNOWN)
        remaining_time = context.request.deadline - self._clock.elapsed()
        backoff = self._choose_backoff(context.attempts)
        if remaining_time <= backoff:
            return self._build_refusal(context, Reason.DEADLINE_PASSED)
        repeatable = not context.may_have_run or context.request.idempotent
        if not repeatable or context.attempts >= MAX_ATTEMPTS:
            return self._build_refusal(context, _choose_final_reason(outcome))
        if (
            outcome.reason not in FREE_RETRY_REASONS
            and not self._budget.try_acquire_retry()
        ):
            return self._build_refusal(context, _choose_final_reason(outcome))
        self._metrics.retries.labels(outcome.reason.value).inc()
        if outcome.reason not in FREE_RETRY_REASONS:
            self._clock.sleep(backoff)
        return None

    def _choose_backoff(self, attempts: int) -> timedelta:
        max_backoff = INITIAL_BACKOFF * (1 << (attempts - 1))
        return max_backoff * self._random.uniform(0.5, 1)

    def _build_refusal(self, context: RequestContext, reason: Reason) -> Refusal:
        executed = Executed.UNKNOWN if context.may_have_run else Executed.NO
        retry_helps = executed is Executed.NO or context.request.idempotent
        retry_delay = (
            self._dispatcher.estimate_retry_after(context.request.route)
            if retry_helps
            else None
        )
        return Refusal(reason, executed, retry_after=retry_delay)

    def _record_attempt(
        self, context: RequestContext, grant: Grant, outcome: str
    ) -> None:
        target = grant.host.target
        self._metrics.attempts.labels(outcome).inc()
        context.log.log_attempt(target, outcome)
        explanation = grant.choice.explain()
        context.trace.attempts.append(AttemptTrace(target, explanation, outcome))


def _choose_final_reason(outcome: NotSent | RefusedNotRun | UnknownResult) -> Reason:
    if outcome.reason is AttemptReason.MODEL_MISSING:
        return Reason.NO_REPLICA
    if isinstance(outcome, RefusedNotRun):
        return Reason.TARGETS_BUSY
    return Reason.TARGETS_FAILED
