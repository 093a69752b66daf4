"""Run the attempts of one request, from its first target to its answer."""

import http.client
from collections.abc import Callable
from datetime import timedelta

from runhatch_server.decisions import GatewayRequest, TriedTargets
from runhatch_server.gateway._answers import CompleteAnswer, GatewayAnswer, StreamAnswer
from runhatch_server.gateway._budget import WindowedRetryBudget
from runhatch_server.gateway._crash_records import (
    record_answer,
    record_begun,
    record_no_answer,
)
from runhatch_server.gateway._forward import AttemptResult, OpenedAnswer
from runhatch_server.gateway._grant import Grant
from runhatch_server.gateway._peer_requests import (
    REASONS_OF_LOAD,
    ForwardedAttempt,
    NextStep,
)
from runhatch_server.gateway._records import RequestRecord
from runhatch_server.gateway._relay import StreamRelay
from runhatch_server.gateway._run_parts import RunParts
from runhatch_server.gateway._stream_resumption import (
    record_begun_stream,
    require_begun_version,
    require_resumed_version,
)
from runhatch_server.gateway._target_signals import apply_target_signals
from runhatch_server.http import AnswerMemoryFullError, AnswerTooLongError
from runhatch_server.refusals import Executed, Reason, Refusal
from runhatch_server.routing import RequestKind
from runhatch_server.targets import (
    AttemptReason,
    NotSent,
    RefusedNotRun,
    UnknownResult,
)

MAX_UNRUN_RETRIES = 2
"""Attempts at other targets after one that did not run the request; each needs a retry
of the retry budget."""
MAX_UNSENT_RETRIES = 4
"""Attempts at other targets after one that could not be reached."""
HEAD_TIMEOUT_SHARE = 0.4
"""Share of the remaining time to wait for the answer to a repeatable request, if the
request may still be sent to another target."""
HEAD_TIMEOUT_FACTOR = 8.0
"""Shortest wait for such an answer, as a multiple of the predicted time."""
UNRUN_RETRY_DELAY = timedelta(milliseconds=250)
"""Retry delay for a caller whose request no target could run."""
OWN_REASONS = frozenset({AttemptReason.CALLER_GONE, AttemptReason.NODE_EXITS})
"""Reasons to give up an attempt that are not its target's."""
SUCCESS_STATUSES = range(200, 300)
MIN_SERVER_ERROR_STATUS = 500


class RequestRun:
    """Makes the attempts of one request in sequence; used by one thread."""

    def __init__(
        self,
        parts: RunParts,
        request: GatewayRequest,
        budget: WindowedRetryBudget,
        is_caller_gone: Callable[[], bool],
    ) -> None:
        self._parts = parts
        self._request = request
        self._budget = budget
        self._caller_gone = is_caller_gone
        self._tried_targets = TriedTargets()
        self._trial_key = object()
        """Identifies this run among those that try held traits."""
        self._attempt_count = 0
        self._unrun_count = 0
        self._unsent_count = 0
        self._may_have_run = False
        self.record = RequestRecord(request)

    def answer(self) -> GatewayAnswer | Refusal:
        """Return the answer, whose body may still be arriving, or the refusal."""
        try:
            return self._answer()
        finally:
            self._parts.crashes.traits.record_request_end(self._trial_key)

    def _answer(self) -> GatewayAnswer | Refusal:
        required = require_resumed_version(self._request, self._parts.versions)
        if isinstance(required, Refusal):
            return self._record_refusal(required)
        self._request = required
        while True:
            sent = self._send("")
            if isinstance(sent, Refusal):
                return self._record_refusal(sent)
            grant, opened = sent
            if self._is_stream(opened):
                return self._stream_answer(grant, opened)
            answer = self._read_whole(grant, opened)
            if isinstance(answer, Refusal):
                return self._record_refusal(answer)
            if answer is not None:
                self.record.record_answer(answer.status)
                self._parts.recorder.record(self.record)
                return answer

    def resume(self, after: str) -> tuple[Grant, OpenedAnswer] | None:
        """Resume a stream at another target after the event with id ``after``.

        Return ``None`` if that is not possible.
        """
        if after:
            required = require_begun_version(self._request, self._parts.versions)
            if required is None:
                return None
            self._request = required
        if not self._may_retry(AttemptReason.CONNECTION_BROKEN):
            return None
        sent = self._send(after)
        if isinstance(sent, Refusal):
            return None
        grant, opened = sent
        if opened.head.status not in SUCCESS_STATUSES:
            self._parts.forwarder.discard_answer(opened)
            self._parts.balancer.release(grant, target_failed=True)
            return None
        return sent

    def record_begun(self, grant: Grant) -> None:
        """Record that the target of ``grant`` sent the first event of the stream."""
        self._request = record_begun_stream(self._request, grant, self._parts.versions)
        self.record.software_version = self._request.software_version

    def record_first_event(self, grant: Grant) -> None:
        """Record that the target of ``grant`` sent its first event."""
        record_begun(self._parts.crashes, grant)

    def record_no_answer(
        self, grant: Grant, reason: AttemptReason, has_begun: bool = False
    ) -> None:
        """Record that the attempt of ``grant`` got no complete answer, and why."""
        record_no_answer(self._parts.crashes, grant, reason, has_begun)
        if reason is AttemptReason.CONNECTION_BROKEN and not grant.is_to_peer:
            self._parts.balancer.paths.record_broken(grant.target.incarnation)

    def _send(self, resume_after: str) -> tuple[Grant, OpenedAnswer] | Refusal:
        """Send the request until a target begins to answer, or return a refusal."""
        while True:
            # Checked before retries too: the last attempt may have crashed a target.
            refusal = self._check_before_sending()
            if refusal is not None:
                return self._qualify(refusal)
            if self._parts.balancer.paths.lacks_all(self._request):
                forwarded = self._forward(resume_after)
                if forwarded is NextStep.RETRY:
                    continue
                if forwarded is not NextStep.TRY_TARGETS:
                    return forwarded
            wait_started_at = self._parts.clock.elapsed()
            grant = self._parts.balancer.acquire(
                self._request, self._tried_targets, self._caller_gone
            )
            self.record.waited += self._parts.clock.elapsed() - wait_started_at
            if isinstance(grant, Refusal):
                forwarded = self._forward_refused(grant, resume_after)
                if forwarded is NextStep.RETRY:
                    continue
                if forwarded is not NextStep.TRY_TARGETS:
                    return forwarded
                return self._qualify(grant)
            # Targets may have ended under requests like this one while it waited.
            suspect_refusal = self._check_suspicion()
            if suspect_refusal is not None:
                self._parts.balancer.release_unused(grant)
                return self._qualify(suspect_refusal)
            self._parts.crashes.traits.record_sent(self._trial_key)
            result = self._parts.forwarder.send(
                self._request,
                grant,
                self._head_deadline(grant.predicted_ms),
                self._caller_gone,
                resume_after,
            )
            if isinstance(result, OpenedAnswer):
                self._attempt_count += 1
                self._parts.balancer.record_first_byte(grant)
                apply_target_signals(self._parts.balancer, grant, result.head)
                took = self._parts.clock.elapsed() - grant.granted_at
                self.record.record_first_byte(took)
                self.record.record_attempt(grant, f"status_{result.head.status}")
                self.record.is_framed = result.connection.is_framed
                return grant, result
            refusal = self._handle_failed_attempt(grant, result)
            if refusal is not None:
                return refusal

    def _check_before_sending(self) -> Refusal | None:
        """Return a refusal if the node exits too soon, or targets may crash."""
        return (
            self._parts.balancer.refuse_if_exiting(self._request)
            or self._check_suspicion()
        )

    def _check_suspicion(self) -> Refusal | None:
        """Return a refusal if requests like this one have crashed targets."""
        request = self._request
        return self._parts.crashes.check_request(
            request.fingerprint, request.traits, self._trial_key
        )

    def _forward(
        self, resume_after: str
    ) -> tuple[Grant, OpenedAnswer] | Refusal | NextStep:
        """Forward the request, whose targets this node cannot reach, to a peer."""
        if self._request.is_forwarded:
            return self._make_refusal(Reason.TARGETS_UNREACHABLE)
        if self._parts.peers is None:
            return NextStep.TRY_TARGETS
        started_at = self._parts.clock.elapsed()
        attempt = self._parts.peers.send(
            self._request,
            self._head_deadline(0.0),
            self._caller_gone,
            resume_after,
            self._record_forwarded,
        )
        if attempt is None:
            return NextStep.TRY_TARGETS
        if attempt.unknown_reason is not None:
            self._attempt_count += 1
            self._may_have_run = True
            refusal = self._decide_after_unknown(attempt.unknown_reason)
            return NextStep.RETRY if refusal is None else refusal
        if isinstance(attempt.result, OpenedAnswer):
            self._attempt_count += 1
            took = self._parts.clock.elapsed() - started_at
            self.record.record_first_byte(took)
            self.record.is_framed = attempt.result.connection.is_framed
            return attempt.grant, attempt.result
        if isinstance(attempt.result, Refusal):
            return self._qualify(attempt.result)
        return self._make_refusal(Reason.DEADLINE_PASSED)

    def _forward_refused(
        self, refusal: Refusal, resume_after: str
    ) -> tuple[Grant, OpenedAnswer] | Refusal | NextStep:
        """Forward a request that only targets out of reach could serve now."""
        if refusal.reason not in REASONS_OF_LOAD:
            return NextStep.TRY_TARGETS
        if not self._parts.balancer.paths.lacks_any(self._request):
            return NextStep.TRY_TARGETS
        return self._forward(resume_after)

    def _record_forwarded(self, attempt: ForwardedAttempt) -> None:
        self.record.record_attempt(attempt.grant, attempt.outcome)

    def _head_deadline(self, predicted_ms: float) -> timedelta:
        """Return the time at which to stop waiting for the head of the answer."""
        request = self._request
        if not request.may_retry or not self._has_attempts_left(after=1):
            return request.deadline
        now = self._parts.clock.elapsed()
        predicted = timedelta(milliseconds=predicted_ms) * HEAD_TIMEOUT_FACTOR
        longest_wait = max(predicted, (request.deadline - now) * HEAD_TIMEOUT_SHARE)
        return min(request.deadline, now + longest_wait)

    def _has_attempts_left(self, after: int = 0) -> bool:
        return self._attempt_count + after < self._request.route.max_attempts

    def _handle_failed_attempt(
        self, grant: Grant, result: AttemptResult
    ) -> Refusal | None:
        """Release the grant; return a refusal unless another attempt is due."""
        balancer = self._parts.balancer
        target = grant.target.incarnation
        self._tried_targets = self._tried_targets.with_failure(target)
        if not isinstance(result, UnknownResult):
            self._parts.crashes.traits.record_not_run(self._trial_key)
        match result:
            case NotSent(reason):
                self.record.record_attempt(grant, f"not_sent_{reason.value}")
                balancer.limits.return_permit(target)
                self._unsent_count += 1
                if reason is AttemptReason.TIMED_OUT:
                    balancer.release(grant, target_failed=False)
                    return self._make_refusal(Reason.DEADLINE_PASSED)
                if reason is AttemptReason.CONNECT_FAILED:
                    balancer.release_unreachable(grant)
                else:
                    balancer.release_unsent(grant)
                if self._unsent_count <= MAX_UNSENT_RETRIES:
                    return None
                return self._make_refusal(Reason.TARGETS_BUSY)
            case RefusedNotRun(reason):
                self.record.record_attempt(grant, f"not_run_{reason.value}")
                apply_target_signals(balancer, grant, result)
                if reason is AttemptReason.MODEL_MISSING:
                    balancer.release_misdirected(grant)
                else:
                    self._tried_targets = self._tried_targets.with_refusal(target)
                    balancer.release_refused(grant)
                return self._decide_after_unrun(reason)
            case UnknownResult(reason):
                self.record.record_attempt(grant, f"unknown_{reason.value}")
                self._attempt_count += 1
                self._may_have_run = True
                balancer.release(grant, reason not in OWN_REASONS)
                self.record_no_answer(grant, reason)
                return self._decide_after_unknown(reason)
            case _:
                raise AssertionError(result)

    def _decide_after_unrun(self, reason: AttemptReason) -> Refusal | None:
        self._unrun_count += 1
        is_missing = reason is AttemptReason.MODEL_MISSING
        refusal_reason = Reason.NO_REPLICA if is_missing else Reason.TARGETS_BUSY
        refusal = self._parts.balancer.selector.refusal_for_retry(
            self._request, self._tried_targets
        )
        if refusal is not None:
            return self._qualify(refusal)
        if self._unrun_count > MAX_UNRUN_RETRIES or not self._try_spend_retry(reason):
            return self._make_refusal(refusal_reason)
        return None

    def _decide_after_unknown(self, reason: AttemptReason) -> Refusal | None:
        if reason is AttemptReason.CALLER_GONE:
            return Refusal(Reason.CALLER_GONE, Executed.UNKNOWN)
        if reason is AttemptReason.NODE_EXITS:
            return self._make_refusal(Reason.STOPPING)
        if self._may_retry(reason):
            return None
        if self._parts.clock.elapsed() >= self._request.deadline:
            return self._make_refusal(Reason.DEADLINE_PASSED)
        return self._make_refusal(Reason.TARGETS_FAILED)

    def _may_retry(self, reason: AttemptReason) -> bool:
        """Return whether a request that may have run is retried; spends the retry."""
        if not self._request.may_retry or not self._has_attempts_left():
            return False
        if self._parts.clock.elapsed() >= self._request.deadline:
            return False
        return self._try_spend_retry(reason)

    def _try_spend_retry(self, reason: AttemptReason) -> bool:
        is_allowed = self._budget.try_spend(self._parts.balancer.selector.node_count)
        self.record.record_retry(reason, is_allowed)
        return is_allowed

    def _qualify(self, refusal: Refusal) -> Refusal:
        """Return ``refusal``, as unknown if an earlier attempt may have run."""
        return refusal.as_unknown() if self._may_have_run else refusal

    def _make_refusal(self, reason: Reason) -> Refusal:
        if self._may_have_run:
            return Refusal(reason, Executed.UNKNOWN)
        if reason.status != http.client.SERVICE_UNAVAILABLE:
            # Nothing ran, so the caller may retry.
            reason = Reason.TARGETS_BUSY
        return Refusal(reason, Executed.NO, retry_after=UNRUN_RETRY_DELAY)

    def _record_refusal(self, refusal: Refusal) -> Refusal:
        if refusal.executed is Executed.UNKNOWN and refusal.reason.status == 503:
            # Status 503 promises that nothing ran.
            refusal = Refusal(Reason.TARGETS_FAILED, Executed.UNKNOWN)
        self.record.record_refusal(refusal)
        self._parts.recorder.record(self.record)
        return refusal

    def _is_stream(self, opened: OpenedAnswer) -> bool:
        is_stream_route = self._request.route.kind is RequestKind.STREAM
        return is_stream_route and opened.head.status in SUCCESS_STATUSES

    def _stream_answer(
        self, grant: Grant, opened: OpenedAnswer
    ) -> StreamAnswer | Refusal:
        parts = self._parts
        relay = StreamRelay(
            self._request,
            grant,
            opened,
            parts.forwarder,
            parts.balancer,
            self,
            parts.clock,
            self._caller_gone,
            self._record_stream,
            parts.answer_limits,
        )
        if not relay.begin():
            relay.close()
            return relay.build_refusal()
        head = opened.head
        return StreamAnswer(
            head.status,
            head.reason,
            head.forwarded,
            relay,
            relay.is_framed,
            relay.grant.software_version,
        )

    def _record_stream(self, relay: StreamRelay) -> None:
        if relay.outcome == "answered":
            record_answer(self._parts.crashes, relay.grant, relay.ended_framed)
        self.record.record_stream(relay.outcome, relay.pace, relay.was_slowed)
        if not relay.has_begun:
            self.record.status = relay.build_refusal().reason.status
        self._parts.recorder.record(self.record)

    def _read_whole(
        self, grant: Grant, opened: OpenedAnswer
    ) -> CompleteAnswer | Refusal | None:
        """Return the complete answer, a refusal, or ``None`` to try again."""
        head = opened.head
        left = self._request.deadline - self._parts.clock.elapsed()
        try:
            opened.connection.set_timeout(left)
            body = opened.connection.read_body()
        except AnswerMemoryFullError:
            return self._handle_broken_answer(grant, opened, AttemptReason.MEMORY_FULL)
        except TimeoutError:
            return self._handle_broken_answer(grant, opened, AttemptReason.TIMED_OUT)
        except AnswerTooLongError:
            return self._handle_broken_answer(
                grant, opened, AttemptReason.ANSWER_TOO_LONG
            )
        except (OSError, ValueError, http.client.HTTPException):
            return self._handle_broken_answer(
                grant, opened, AttemptReason.CONNECTION_BROKEN
            )
        is_framed = opened.connection.is_framed
        self._parts.forwarder.recycle_connection(opened)
        failed = head.status >= MIN_SERVER_ERROR_STATUS
        self._parts.balancer.release(grant, target_failed=failed)
        record_answer(self._parts.crashes, grant, is_framed, is_success=not failed)
        self._tried_targets = self._tried_targets.with_failure(grant.target.incarnation)
        if failed:
            self._may_have_run = True
            if self._may_retry(AttemptReason.SERVER_ERROR):
                return None
        return CompleteAnswer(head.status, head.reason, head.forwarded, body, is_framed)

    def _handle_broken_answer(
        self, grant: Grant, opened: OpenedAnswer, reason: AttemptReason
    ) -> Refusal | None:
        self._parts.forwarder.discard_answer(opened)
        is_faulty = reason is not AttemptReason.MEMORY_FULL
        self._parts.balancer.release(grant, target_failed=is_faulty)
        self._tried_targets = self._tried_targets.with_failure(grant.target.incarnation)
        self._may_have_run = True
        self.record.record_attempt(grant, f"unknown_{reason.value}")
        self.record_no_answer(grant, reason)
        return self._decide_after_unknown(reason)
