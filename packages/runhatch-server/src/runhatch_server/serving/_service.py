"""Serving one request from its claim to its answer, written straight down."""

import http.client
from collections.abc import Callable, Generator, Iterator
from concurrent.futures import ThreadPoolExecutor
from datetime import timedelta

from runhatch_coordination import Clock, Taken
from runhatch_server.http import AbortedStreamError
from runhatch_server.observability import (
    Metrics,
    RequestLog,
    RequestTrace,
    TraceLog,
)
from runhatch_server.refusals import Executed, Refusal
from runhatch_server.serving._attempts import Attempter, Opened, RequestContext
from runhatch_server.serving._caller_answers import (
    EVENT_STREAM,
    REQUEST_ID_HEADER,
    CallerAnswer,
    StreamedAnswer,
    passed_headers,
    refused,
    whole,
)
from runhatch_server.serving._cancel import Canceller
from runhatch_server.serving._demand import DemandCounter
from runhatch_server.serving._once import OnceGuard
from runhatch_server.serving._relay import StreamRelay
from runhatch_server.serving._request import CallerRequest
from runhatch_server.serving._stored import StoredAnswer
from runhatch_server.serving._target_requests import attempt_id
from runhatch_server.targets import AttemptReason, TargetClient, UnknownResult

RUN_ON_WORKERS = 8
SUCCESS = range(200, 300)


class ServingService:
    """Serves requests of callers; safe for many threads."""

    def __init__(
        self,
        attempter: Attempter,
        client: TargetClient,
        canceller: Canceller,
        once: OnceGuard,
        demand: DemandCounter,
        metrics: Metrics,
        traces: TraceLog,
        clock: Clock,
        stall: timedelta,
        log_requests: bool,
    ) -> None:
        self._log_requests = log_requests
        self._attempter = attempter
        self._client = client
        self._canceller = canceller
        self._once = once
        self._demand = demand
        self._metrics = metrics
        self._traces = traces
        self._clock = clock
        self._stall = stall
        self._run_on = ThreadPoolExecutor(RUN_ON_WORKERS, thread_name_prefix="run-on")

    def serve(
        self, request: CallerRequest, caller_gone: Callable[[], bool]
    ) -> CallerAnswer:
        """Return the answer to ``request``, which may still be arriving."""
        self._metrics.requests.labels(request.route.kind.value).inc()
        self._demand.note(request.route)
        context = self._context(request, caller_gone)
        if request.key is None:
            return self._run(context, None)
        begun = self._once.begin(request)
        if isinstance(begun, Refusal):
            return self._refuse(context, begun)
        if isinstance(begun, StoredAnswer):
            self._close(context, "repeated", begun.status)
            return whole(begun, request.request_id)
        return self._run(context, begun)

    def close(self) -> None:
        """Wait for runs whose callers are gone, and for what they record."""
        self._run_on.shutdown()
        self._once.close()
        self._canceller.close()

    def _run(self, context: RequestContext, taken: Taken | None) -> CallerAnswer:
        while True:
            opened = self._attempter.open(context)
            if isinstance(opened, Refusal):
                return self._give_up(context, taken, opened)
            if _is_stream(context.request, opened):
                return self._stream(context, taken, opened)
            answer = self._read_whole(context, opened)
            if isinstance(answer, Refusal):
                return self._give_up(context, taken, answer)
            if answer is not None:
                return self._answer(context, taken, opened, answer)

    def _read_whole(
        self, context: RequestContext, opened: Opened
    ) -> StoredAnswer | Refusal | None:
        """Return the whole answer, a refusal, or ``None`` to try again."""
        left = context.request.deadline - self._clock.elapsed()
        try:
            opened.answer.set_timeout(max(0.001, left.total_seconds()))
            answer = opened.answer.read_whole()
        except TimeoutError:
            failure = UnknownResult(AttemptReason.TIMED_OUT)
        except (OSError, http.client.HTTPException):
            failure = UnknownResult(AttemptReason.BROKEN)
        else:
            headers = passed_headers(answer)
            return StoredAnswer(answer.status, headers, answer.body)
        opened.answer.close()
        return self._attempter.judge(context, opened.grant, failure)

    def _answer(
        self,
        context: RequestContext,
        taken: Taken | None,
        opened: Opened,
        answer: StoredAnswer,
    ) -> CallerAnswer:
        self._attempter.completed(opened, context)
        if taken is not None:
            self._once.finish(taken, answer)
        self._answered(context, answer.status)
        return whole(answer, context.request.request_id)

    def _stream(
        self, context: RequestContext, taken: Taken | None, opened: Opened
    ) -> CallerAnswer:
        relay = StreamRelay(
            context,
            opened,
            self._attempter,
            self._client,
            self._canceller,
            self._metrics,
            self._clock,
            self._stall,
        )
        refusal = relay.start()
        if refusal is not None:
            return self._give_up(context, taken, refusal)
        headers = (
            *passed_headers(relay.answer),
            (REQUEST_ID_HEADER, context.request.request_id),
        )
        events: Iterator[bytes] = self._relay_all(context, taken, relay)
        if taken is not None:
            events = self._run_on_without_caller(events)
        return StreamedAnswer(relay.answer.status, headers, events)

    def _relay_all(
        self, context: RequestContext, taken: Taken | None, relay: StreamRelay
    ) -> Generator[bytes, None, None]:
        outcome = "cut"
        status = relay.answer.status
        stream = relay.relay()
        try:
            yield from stream
            if not relay.complete:
                outcome = "caller gone"
                return
            if taken is not None:
                kept = StoredAnswer(
                    status, passed_headers(relay.answer), b"".join(relay.events)
                )
                self._once.finish(taken, kept)
            outcome = "answered"
            yield relay.events[-1]
        except GeneratorExit:
            outcome = "caller gone"
            raise
        finally:
            stream.close()
            if relay.complete:
                self._answered(context, status)
            else:
                self._close(context, outcome, status)

    def _run_on_without_caller(self, events: Iterator[bytes]) -> Iterator[bytes]:
        """Yield ``events``; if the caller goes, have the rest run and recorded."""
        finished = False
        try:
            yield from _guard(events)
            finished = True
        except AbortedStreamError:
            finished = True
            raise
        finally:
            if not finished:
                self._run_on.submit(_exhaust, events)

    def _give_up(
        self, context: RequestContext, taken: Taken | None, refusal: Refusal
    ) -> CallerAnswer:
        if context.request.is_model and refusal.executed is Executed.UNKNOWN:
            self._cancel(context)
        if taken is not None and refusal.executed is Executed.NO:
            self._once.release(taken)
        return self._refuse(context, refusal)

    def _cancel(self, context: RequestContext) -> None:
        """Stop what may still run for an answer that nobody waits for."""
        if not context.request.idempotent or not context.trace.attempts:
            return
        sent = attempt_id(context.request, context.attempts)
        self._canceller.cancel(context.last_url, sent)

    def _refuse(self, context: RequestContext, refusal: Refusal) -> CallerAnswer:
        self._metrics.refusals.labels(refusal.reason.code).inc()
        self._close(context, refusal.reason.code, refusal.reason.status)
        return refused(refusal, context.request.request_id)

    def _answered(self, context: RequestContext, status: int) -> None:
        self._metrics.answers.labels(context.request.route.kind.value).inc()
        self._close(context, "answered", status)

    def _close(self, context: RequestContext, outcome: str, status: int) -> None:
        context.trace.outcome = outcome
        context.trace.status = status
        context.trace.took = self._clock.elapsed() - context.request.received
        context.log.finish(outcome, status)

    def _context(
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
        # What may run only once runs on and is recorded, whoever waits for it.
        gone = caller_gone if request.idempotent else _never
        return RequestContext(request, request.fingerprint, trace, log, gone)


def _never() -> bool:
    return False


def _is_stream(request: CallerRequest, opened: Opened) -> bool:
    kind = opened.answer.headers.get("content-type", "")
    ok = opened.answer.status in SUCCESS
    return request.stream and ok and kind.startswith(EVENT_STREAM)


def _guard(events: Iterator[bytes]) -> Iterator[bytes]:
    """Pass events on without closing their source when this is closed."""
    for event in events:  # noqa: UP028 - "yield from" would close the source
        yield event


def _exhaust(events: Iterator[bytes]) -> None:
    try:
        for _ in events:
            pass
    except AbortedStreamError:
        pass
