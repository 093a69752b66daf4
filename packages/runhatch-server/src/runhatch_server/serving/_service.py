"""Serves a caller's request from its claim to its answer."""

import http.client
from collections.abc import Callable, Generator, Iterator
from concurrent.futures import ThreadPoolExecutor
from datetime import timedelta

from runhatch_coordination import Clock, Taken
from runhatch_server.http import (
    AbortedStreamError,
    AnswerLimits,
    AnswerMemoryFullError,
    AnswerTooLongError,
    RequestMemory,
)
from runhatch_server.observability import (
    Metrics,
    RequestLog,
    RequestTrace,
    TraceLog,
)
from runhatch_server.refusals import Executed, Refusal
from runhatch_server.serving._answer_store import StoredAnswer
from runhatch_server.serving._attempts import Attempter, OpenedAnswer, RequestContext
from runhatch_server.serving._caller_answers import (
    EVENT_STREAM,
    REQUEST_ID_HEADER,
    CallerAnswer,
    StreamedAnswer,
    build_refusal_answer,
    build_whole_answer,
    select_forwarded_headers,
)
from runhatch_server.serving._canceller import Canceller
from runhatch_server.serving._demand import DemandCounter
from runhatch_server.serving._kept_events import KeptEvents
from runhatch_server.serving._once_guard import OnceGuard
from runhatch_server.serving._relay import StreamRelay
from runhatch_server.serving._request import CallerRequest
from runhatch_server.serving._target_requests import attempt_id
from runhatch_server.targets import AttemptReason, TargetClient, UnknownResult

DETACHED_RUN_THREADS = 8
SUCCESS_STATUSES = range(200, 300)


class ServingService:
    """Serves callers' requests; thread-safe."""

    def __init__(
        self,
        attempter: Attempter,
        client: TargetClient,
        canceller: Canceller,
        once_guard: OnceGuard,
        demand: DemandCounter,
        metrics: Metrics,
        traces: TraceLog,
        clock: Clock,
        stall_timeout: timedelta,
        log_requests: bool,
        answer_limits: AnswerLimits,
        request_memory: RequestMemory,
    ) -> None:
        self._answer_limits = answer_limits
        self._request_memory = request_memory
        self._log_requests = log_requests
        self._attempter = attempter
        self._client = client
        self._canceller = canceller
        self._once = once_guard
        self._demand = demand
        self._metrics = metrics
        self._traces = traces
        self._clock = clock
        self._stall_timeout = stall_timeout
        self._detached_runs = ThreadPoolExecutor(
            DETACHED_RUN_THREADS, thread_name_prefix="run-on"
        )

    def serve_request(
        self, request: CallerRequest, caller_gone: Callable[[], bool]
    ) -> CallerAnswer:
        """Return the answer to ``request``, which may be a stream still in progress."""
        self._metrics.requests.labels(request.route.kind.value).inc()
        self._demand.count_request(request.route)
        context = self._build_context(request, caller_gone)
        if request.key is None:
            return self._run_request(context, None)
        claim_outcome = self._once.claim_request(request)
        if isinstance(claim_outcome, Refusal):
            return self._refuse(context, claim_outcome)
        if isinstance(claim_outcome, StoredAnswer):
            self._record_outcome(context, "repeated", claim_outcome.status)
            return build_whole_answer(claim_outcome, request.request_id)
        return self._run_request(context, claim_outcome)

    def close(self) -> None:
        """Wait for runs without callers and for answers that are being recorded."""
        self._detached_runs.shutdown()
        self._once.close()
        self._canceller.close()

    def _run_request(
        self, context: RequestContext, claim: Taken | None
    ) -> CallerAnswer:
        while True:
            opened = self._attempter.open_answer(context)
            if isinstance(opened, Refusal):
                return self._refuse_run(context, claim, opened)
            if _is_stream(context.request, opened):
                return self._start_stream(context, claim, opened)
            answer = self._read_whole(context, opened)
            if isinstance(answer, Refusal):
                return self._refuse_run(context, claim, answer)
            if answer is not None:
                return self._finish_whole(context, claim, opened, answer)

    def _read_whole(
        self, context: RequestContext, opened: OpenedAnswer
    ) -> StoredAnswer | Refusal | None:
        """Return the whole answer, a refusal, or ``None`` if the request is retried."""
        remaining = context.request.deadline - self._clock.elapsed()
        try:
            opened.answer.set_timeout(max(0.001, remaining.total_seconds()))
            answer = opened.answer.read_answer()
        except AnswerMemoryFullError:
            failure = UnknownResult(AttemptReason.MEMORY_FULL)
        except TimeoutError:
            failure = UnknownResult(AttemptReason.TIMED_OUT)
        except AnswerTooLongError:
            failure = UnknownResult(AttemptReason.ANSWER_TOO_LONG)
        except (OSError, http.client.HTTPException):
            failure = UnknownResult(AttemptReason.CONNECTION_BROKEN)
        else:
            headers = select_forwarded_headers(answer)
            return StoredAnswer(answer.status, headers, answer.body)
        opened.answer.close()
        return self._attempter.handle_failure(context, opened.grant, failure)

    def _finish_whole(
        self,
        context: RequestContext,
        claim: Taken | None,
        opened: OpenedAnswer,
        answer: StoredAnswer,
    ) -> CallerAnswer:
        self._attempter.record_completed(opened, context)
        if claim is not None:
            self._once.finish_claim(claim, answer)
        self._record_answered(context, answer.status)
        return build_whole_answer(answer, context.request.request_id)

    def _start_stream(
        self, context: RequestContext, claim: Taken | None, opened: OpenedAnswer
    ) -> CallerAnswer:
        events = KeptEvents(self._request_memory)
        relay = StreamRelay(
            context,
            opened,
            self._attempter,
            self._client,
            self._canceller,
            self._metrics,
            self._clock,
            self._stall_timeout,
            self._answer_limits,
            events,
            must_keep_events=claim is not None,
        )
        refusal = relay.wait_for_first_event()
        if refusal is not None:
            return self._refuse_run(context, claim, refusal)
        headers = (
            *select_forwarded_headers(relay.answer),
            (REQUEST_ID_HEADER, context.request.request_id),
        )
        stream: Iterator[bytes] = self._relay_all(context, claim, relay, events)
        if claim is not None:
            stream = self._detach_if_closed(stream)
        return StreamedAnswer(relay.answer.status, headers, stream)

    def _relay_all(
        self,
        context: RequestContext,
        claim: Taken | None,
        relay: StreamRelay,
        events: KeptEvents,
    ) -> Generator[bytes, None, None]:
        outcome = "cut"
        status = relay.answer.status
        stream = relay.relay_events()
        try:
            yield from stream
            if not relay.is_complete:
                outcome = "caller gone"
                return
            if claim is not None:
                recorded = StoredAnswer(
                    status,
                    select_forwarded_headers(relay.answer),
                    events.content,
                )
                self._once.finish_claim(claim, recorded)
            outcome = "answered"
            yield relay.last_event
        except GeneratorExit:
            outcome = "caller gone"
            raise
        finally:
            stream.close()
            events.close()
            if relay.is_complete:
                self._record_answered(context, status)
            else:
                self._record_outcome(context, outcome, status)

    def _detach_if_closed(self, events: Iterator[bytes]) -> Iterator[bytes]:
        """Yield ``events``; if closed early, consume the rest in the background."""
        ended = False
        try:
            yield from _iterate_without_closing(events)
            ended = True
        except AbortedStreamError:
            ended = True
            raise
        finally:
            if not ended:
                self._detached_runs.submit(_consume, events)

    def _refuse_run(
        self, context: RequestContext, claim: Taken | None, refusal: Refusal
    ) -> CallerAnswer:
        if context.request.is_model and refusal.executed is Executed.UNKNOWN:
            self._cancel_last_attempt(context)
        if claim is not None and refusal.executed is Executed.NO:
            self._once.release_claim(claim)
        return self._refuse(context, refusal)

    def _cancel_last_attempt(self, context: RequestContext) -> None:
        """Cancel the last attempt of an idempotent request, which may still run."""
        if not context.request.idempotent or not context.trace.attempts:
            return
        cancelled_id = attempt_id(context.request, context.attempts)
        self._canceller.cancel(context.last_target_url, cancelled_id)

    def _refuse(self, context: RequestContext, refusal: Refusal) -> CallerAnswer:
        self._metrics.refusals.labels(refusal.reason.code).inc()
        self._record_outcome(context, refusal.reason.code, refusal.reason.status)
        return build_refusal_answer(refusal, context.request.request_id)

    def _record_answered(self, context: RequestContext, status: int) -> None:
        self._metrics.answers.labels(context.request.route.kind.value).inc()
        self._record_outcome(context, "answered", status)

    def _record_outcome(
        self, context: RequestContext, outcome: str, status: int
    ) -> None:
        context.trace.outcome = outcome
        context.trace.status = status
        context.trace.duration = self._clock.elapsed() - context.request.received_at
        context.log.finish(outcome, status)

    def _build_context(
        self, request: CallerRequest, caller_gone: Callable[[], bool]
    ) -> RequestContext:
        trace = RequestTrace(
            request.request_id,
            str(request.route),
            request.caller,
            request.priority,
            self._clock.now(),
        )
        self._traces.add(trace)
        log = RequestLog(
            request.request_id, trace.route, request.caller, self._log_requests
        )
        # A run that can't be repeated is finished and recorded without its caller.
        is_caller_gone = caller_gone if request.idempotent else _never_gone
        return RequestContext(
            request,
            request.fingerprint,
            trace,
            log,
            is_caller_gone,
            traits=request.traits,
        )


def _never_gone() -> bool:
    return False


def _is_stream(request: CallerRequest, opened: OpenedAnswer) -> bool:
    content_type = opened.answer.headers.get("content-type", "")
    succeeded = opened.answer.status in SUCCESS_STATUSES
    return request.stream and succeeded and content_type.startswith(EVENT_STREAM)


def _iterate_without_closing(events: Iterator[bytes]) -> Iterator[bytes]:
    """Yield ``events`` without closing their source when this is closed."""
    for event in events:  # noqa: UP028 - "yield from" would close the source
        yield event


def _consume(events: Iterator[bytes]) -> None:
    try:
        for _ in events:
            pass
    except AbortedStreamError:
        pass
