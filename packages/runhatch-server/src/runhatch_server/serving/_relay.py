"""Relays streams in whole events, resumes broken ones and reports failed ones."""

import http.client
from collections.abc import Generator, Iterator
from datetime import timedelta
from enum import Enum
from typing import NoReturn

import msgspec

from runhatch_coordination import Clock
from runhatch_server.http import (
    AbortedStreamError,
    AnswerLimits,
    AnswerTooLongError,
)
from runhatch_server.observability import Metrics
from runhatch_server.refusals import Executed, Reason, Refusal
from runhatch_server.serving._attempts import Attempter, OpenedAnswer, RequestContext
from runhatch_server.serving._canceller import Canceller
from runhatch_server.serving._continuation import build_continuation
from runhatch_server.serving._kept_events import KeptEvents
from runhatch_server.serving._target_requests import attempt_id, build_resume_request
from runhatch_server.targets import (
    AttemptReason,
    EventSplitter,
    OpenAnswer,
    StreamMeter,
    TargetClient,
    UnknownResult,
    is_terminal_event,
    parse_event_id,
)

MAX_RESUMES = 2
RESUME_PAUSE = timedelta(milliseconds=50)
MIN_READ_TIMEOUT = timedelta(milliseconds=1)


class StreamEnd(Enum):
    """How a stream ended; counted per value."""

    COMPLETE = "complete"
    FAILED = "failed"
    CALLER_GONE = "caller_gone"


class StreamRelay:
    """Relays one stream from its first event to its terminal one.

    ``relay_events`` doesn't yield the terminal event, as its user may have to record
    the answer first.
    """

    def __init__(
        self,
        context: RequestContext,
        opened: OpenedAnswer,
        attempter: Attempter,
        client: TargetClient,
        canceller: Canceller,
        metrics: Metrics,
        clock: Clock,
        stall_timeout: timedelta,
        limits: AnswerLimits,
        events: KeptEvents,
        must_keep_events: bool = False,
    ) -> None:
        """``must_keep_events``: the answer can't be completed unless it is recorded.

        Otherwise a stream whose ``events`` find no room goes on without them.
        """
        self._meter = StreamMeter(limits)
        self._events = events
        self._must_keep_events = must_keep_events
        self._context = context
        self._opened = opened
        self._attempter = attempter
        self._client = client
        self._canceller = canceller
        self._metrics = metrics
        self._clock = clock
        self._stall_timeout = stall_timeout
        self._splitter = EventSplitter()
        self._ready_events: list[bytes] = []
        self._last_event_id: bytes | None = None
        self._resumes = 0
        self._holds_slot = True
        self._broken_limit: AttemptReason | None = None
        self._was_slowed = False
        self.is_complete = False
        """Whether the terminal event has arrived, as ``last_event``."""
        self.last_event = b""
        """The event that was relayed last."""

    @property
    def answer(self) -> OpenAnswer:
        """The answer being relayed, with its status and headers."""
        return self._opened.answer

    def wait_for_first_event(self) -> Refusal | None:
        """Wait for the first event, retrying on other targets until it arrives."""
        while True:
            failure = self._read_events()
            if failure is None:
                return None
            refusal = self._retry_on_other_target(failure)
            if refusal is not None:
                return refusal

    def relay_events(self) -> Generator[bytes, None, None]:
        """Yield the events before the terminal one.

        Raises :class:`AbortedStreamError` after an error event if the stream
        cannot be completed.  Closing the iterator cancels an idempotent request.
        """
        try:
            while True:
                for event in self._pop_ready_events():
                    if not self._keep(event):
                        self._broken_limit = AttemptReason.MEMORY_FULL
                        yield from self._abort()
                    if is_terminal_event(event):
                        self._complete()
                        return
                    yield event
                if self._context.is_caller_gone():
                    return
                failure = self._read_events()
                if failure is not None and not self._recover_stream(failure):
                    yield from self._abort()
        finally:
            self._release_slot()

    def _pop_ready_events(self) -> Iterator[bytes]:
        while self._ready_events:
            event = self._ready_events.pop(0)
            self._last_event_id = parse_event_id(event) or self._last_event_id
            self.last_event = event
            self._attempter.record_begun(self._context)
            yield event

    def _keep(self, event: bytes) -> bool:
        """Keep ``event``; return whether the stream may go on."""
        was_whole = self._events.is_whole
        if self._events.append(event) or self._must_keep_events:
            return self._events.is_whole
        if was_whole:
            self._metrics.unkept_streams.inc()
            self._context.log.log_limit("request_memory_bytes")
        return True

    def _abort(self) -> Generator[bytes, None, NoReturn]:
        """Yield an event that tells the caller so, and abort the stream."""
        yield build_error_event(self._context.request.request_id)
        raise AbortedStreamError(self._context.request.request_id)

    def _read_events(self) -> AttemptReason | None:
        """Read until a whole event is available; return why that failed, if it did."""
        while not self._ready_events:
            remaining = self._context.request.deadline - self._clock.elapsed()
            if remaining <= timedelta():
                return AttemptReason.TIMED_OUT
            wait = max(MIN_READ_TIMEOUT, min(remaining, self._stall_timeout))
            try:
                self._opened.answer.set_timeout(wait.total_seconds())
                chunk = self._opened.answer.read_chunk()
                pause = self._meter.record(len(chunk), self._clock.elapsed())
                self._ready_events.extend(self._splitter.feed(chunk))
            except TimeoutError:
                return AttemptReason.STALLED
            except AnswerTooLongError:
                return AttemptReason.ANSWER_TOO_LONG
            except (OSError, ValueError, http.client.HTTPException):
                return AttemptReason.CONNECTION_BROKEN
            if pause:
                self._record_slowed()
                self._clock.sleep(min(pause, remaining))
            if not chunk:
                return AttemptReason.CONNECTION_BROKEN
        return None

    def _record_slowed(self) -> None:
        """Count the stream as slowed, once."""
        if not self._was_slowed:
            self._was_slowed = True
            kind = self._context.request.route.kind.value
            self._metrics.slowed_streams.labels(kind).inc()
            self._context.log.log_limit("max_stream_rate")

    def _recover_stream(self, failure: AttemptReason) -> bool:
        if failure is AttemptReason.ANSWER_TOO_LONG:
            self._broken_limit = failure
            return False
        if failure is AttemptReason.TIMED_OUT:
            return False
        if self._resume_stream():
            return True
        if not self._events.is_whole:
            return False
        continuation_document = build_continuation(
            self._context.request.document, self._events
        )
        if continuation_document is None or not self._context.request.idempotent:
            return False
        self._context.continuation = continuation_document
        return self._retry_on_other_target(failure) is None

    def _resume_stream(self) -> bool:
        """Request the events after the last relayed one from the same engine."""
        while self._resumes < MAX_RESUMES and self._last_event_id is not None:
            self._resumes += 1
            self._metrics.retries.labels("resumed").inc()
            request = build_resume_request(
                self._context.request,
                self._opened.grant.host,
                attempt_id(self._context.request, self._context.attempts),
                self._last_event_id,
            )
            outcome = self._client.send(request, self._context.is_caller_gone)
            if isinstance(outcome, OpenAnswer):
                self._opened.answer.close()
                self._opened = OpenedAnswer(
                    self._opened.grant, outcome, self._opened.time_to_first_byte
                )
                self._splitter = EventSplitter()
                return True
            self._clock.sleep(RESUME_PAUSE)
        return False

    def _retry_on_other_target(self, failure: AttemptReason) -> Refusal | None:
        """Return the slot and send the request to another target."""
        self._opened.answer.close()
        self._cancel_attempt()
        self._holds_slot = False
        outcome = UnknownResult(failure)
        refusal = self._attempter.handle_failure(
            self._context, self._opened.grant, outcome
        )
        if refusal is not None:
            return refusal
        opened = self._attempter.open_answer(self._context)
        if isinstance(opened, Refusal):
            return opened
        self._opened = opened
        self._holds_slot = True
        self._splitter = EventSplitter()
        self._last_event_id = None
        self._resumes = 0
        return None

    def _complete(self) -> None:
        self._holds_slot = False
        self.is_complete = True
        self._attempter.record_completed(self._opened, self._context)
        self._metrics.streams.labels(StreamEnd.COMPLETE.value).inc()

    def _release_slot(self) -> None:
        """Return the slot if the stream ended before its terminal event."""
        if not self._holds_slot:
            return
        self._holds_slot = False
        self._opened.answer.close()
        caller_left = self._context.is_caller_gone()
        if self._context.request.idempotent:
            self._cancel_attempt()
        stream_end = StreamEnd.CALLER_GONE if caller_left else StreamEnd.FAILED
        self._metrics.streams.labels(stream_end.value).inc()
        if self._broken_limit is not None:
            reason = self._broken_limit
        elif caller_left:
            reason = AttemptReason.CALLER_GONE
        else:
            reason = AttemptReason.CONNECTION_BROKEN
        self._attempter.record_abandoned(
            self._context, self._opened.grant, UnknownResult(reason)
        )

    def _cancel_attempt(self) -> None:
        cancelled_id = attempt_id(self._context.request, self._context.attempts)
        self._canceller.cancel(self._opened.grant.host.url, cancelled_id)


class _StreamError(msgspec.Struct):
    message: str
    type: str
    code: str
    executed: str
    request_id: str


def build_error_event(request_id: str) -> bytes:
    """Return the event that reports to the caller that the stream is incomplete."""
    error = _StreamError(
        Reason.TARGETS_FAILED.title,
        "runhatch_stream_broken",
        Reason.TARGETS_FAILED.code,
        Executed.UNKNOWN.value,
        request_id,
    )
    return b"event: error\ndata: " + msgspec.json.encode({"error": error}) + b"\n\n"
