"""Relaying a stream: whole events only, resumed where it broke, never cut silently."""

import http.client
from collections.abc import Generator, Iterator
from datetime import timedelta
from enum import Enum

import msgspec

from runhatch_coordination import Clock
from runhatch_server.http import AbortedStreamError
from runhatch_server.observability import Metrics
from runhatch_server.refusals import Executed, Reason, Refusal
from runhatch_server.serving._attempts import Attempter, Opened, RequestContext
from runhatch_server.serving._cancel import Canceller
from runhatch_server.serving._continuation import continue_document
from runhatch_server.serving._target_requests import attempt_id, resume_request
from runhatch_server.targets import (
    AttemptReason,
    EventSplitter,
    OpenAnswer,
    TargetClient,
    UnknownResult,
    event_id,
    is_terminal,
)

RESUMES = 2
RESUME_PAUSE = timedelta(milliseconds=50)
SHORTEST_TIMEOUT = timedelta(milliseconds=1)


class StreamEnd(Enum):
    """How a stream ended; each has a counter."""

    COMPLETE = "complete"
    FAILED = "failed"
    CALLER_GONE = "caller_gone"


class StreamRelay:
    """One stream from its first event to its terminal one.

    ``relay`` leaves the terminal event to its user, who may first have to record
    the answer.
    """

    def __init__(
        self,
        context: RequestContext,
        opened: Opened,
        attempter: Attempter,
        client: TargetClient,
        canceller: Canceller,
        metrics: Metrics,
        clock: Clock,
        stall: timedelta,
    ) -> None:
        self._context = context
        self._opened = opened
        self._attempter = attempter
        self._client = client
        self._canceller = canceller
        self._metrics = metrics
        self._clock = clock
        self._stall = stall
        self._splitter = EventSplitter()
        self._ready: list[bytes] = []
        self._last_id: bytes | None = None
        self._resumes = 0
        self._open = True
        self.complete = False
        """Whether the terminal event arrived; it is then the last of ``events``."""
        self.events: list[bytes] = []
        """Events relayed so far, for recording and continuing."""

    @property
    def answer(self) -> OpenAnswer:
        """The answer being relayed, for its status and headers."""
        return self._opened.answer

    def start(self) -> Refusal | None:
        """Wait for the first event, trying elsewhere while nothing was relayed."""
        while True:
            failure = self._fill()
            if failure is None:
                return None
            refusal = self._elsewhere(failure)
            if refusal is not None:
                return refusal

    def relay(self) -> Generator[bytes, None, None]:
        """Yield events up to, but not including, the terminal one.

        Raises :class:`AbortedStreamError` after an error event if the stream
        cannot be completed.  Closing the iterator cancels the request.
        """
        try:
            while True:
                for event in self._take_ready():
                    if is_terminal(event):
                        self._finish()
                        return
                    yield event
                if self._context.caller_gone():
                    return
                failure = self._fill()
                if failure is not None and not self._recover(failure):
                    yield error_event(self._context.request.request_id)
                    raise AbortedStreamError(self._context.request.request_id)
        finally:
            self._leave()

    def _take_ready(self) -> Iterator[bytes]:
        while self._ready:
            event = self._ready.pop(0)
            self._last_id = event_id(event) or self._last_id
            self.events.append(event)
            yield event

    def _fill(self) -> AttemptReason | None:
        """Read until at least one whole event is ready."""
        while not self._ready:
            left = self._context.request.deadline - self._clock.elapsed()
            if left <= timedelta():
                return AttemptReason.TIMED_OUT
            wait = max(SHORTEST_TIMEOUT, min(left, self._stall))
            try:
                self._opened.answer.set_timeout(wait.total_seconds())
                chunk = self._opened.answer.read_some()
                self._ready.extend(self._splitter.feed(chunk))
            except TimeoutError:
                return AttemptReason.STALLED
            except (OSError, ValueError, http.client.HTTPException):
                return AttemptReason.BROKEN
            if not chunk:
                return AttemptReason.BROKEN
        return None

    def _recover(self, failure: AttemptReason) -> bool:
        if failure is AttemptReason.TIMED_OUT:
            return False
        if self._resume():
            return True
        rest = continue_document(self._context.request.document, self.events)
        if rest is None or not self._context.request.idempotent:
            return False
        self._context.continuation = rest
        return self._elsewhere(failure) is None

    def _resume(self) -> bool:
        """Ask the same engine for the events after the last one relayed."""
        while self._resumes < RESUMES and self._last_id is not None:
            self._resumes += 1
            self._metrics.retries.labels("resumed").inc()
            request = resume_request(
                self._context.request,
                self._opened.grant.host,
                attempt_id(self._context.request, self._context.attempts),
                self._last_id,
            )
            outcome = self._client.send(request, self._context.caller_gone)
            if isinstance(outcome, OpenAnswer):
                self._opened.answer.close()
                self._opened = Opened(
                    self._opened.grant, outcome, self._opened.first_byte
                )
                self._splitter = EventSplitter()
                return True
            self._clock.sleep(RESUME_PAUSE)
        return False

    def _elsewhere(self, failure: AttemptReason) -> Refusal | None:
        """Go on at another target; the slot held so far is given back."""
        self._opened.answer.close()
        self._cancel()
        self._open = False
        outcome = UnknownResult(failure)
        refusal = self._attempter.judge(self._context, self._opened.grant, outcome)
        if refusal is not None:
            return refusal
        opened = self._attempter.open(self._context)
        if isinstance(opened, Refusal):
            return opened
        self._opened = opened
        self._open = True
        self._splitter = EventSplitter()
        self._last_id = None
        self._resumes = 0
        return None

    def _finish(self) -> None:
        self._open = False
        self.complete = True
        self._attempter.completed(self._opened, self._context)
        self._metrics.streams.labels(StreamEnd.COMPLETE.value).inc()

    def _leave(self) -> None:
        """Give the slot back if the stream ended early."""
        if not self._open:
            return
        self._open = False
        self._opened.answer.close()
        gone = self._context.caller_gone()
        if self._context.request.idempotent:
            self._cancel()
        end = StreamEnd.CALLER_GONE if gone else StreamEnd.FAILED
        self._metrics.streams.labels(end.value).inc()
        reason = AttemptReason.CALLER_GONE if gone else AttemptReason.BROKEN
        self._attempter.abandoned(
            self._context, self._opened.grant, UnknownResult(reason)
        )

    def _cancel(self) -> None:
        sent = attempt_id(self._context.request, self._context.attempts)
        self._canceller.cancel(self._opened.grant.host.url, sent)


class _StreamError(msgspec.Struct):
    message: str
    type: str
    code: str
    executed: str
    request_id: str


def error_event(request_id: str) -> bytes:
    """Return the event that tells a caller that the stream is not complete."""
    error = _StreamError(
        Reason.TARGETS_FAILED.title,
        "runhatch_stream_broken",
        Reason.TARGETS_FAILED.code,
        Executed.UNKNOWN.value,
        request_id,
    )
    return b"event: error\ndata: " + msgspec.json.encode({"error": error}) + b"\n\n"
