"""Relay a stream to its caller, and resume it at another target where allowed."""

import http.client
from collections.abc import Callable, Generator, Iterator
from datetime import timedelta
from typing import NoReturn, Protocol

from runhatch_coordination import Clock
from runhatch_server.decisions import GatewayRequest
from runhatch_server.gateway._balancer import Balancer
from runhatch_server.gateway._forward import (
    CALLER_CHECK_INTERVAL,
    READ_TIMEOUT,
    Forwarder,
    OpenedAnswer,
)
from runhatch_server.gateway._grant import Grant
from runhatch_server.gateway._pace import StreamPace
from runhatch_server.http import AbortedStreamError, AnswerLimits, AnswerTooLongError
from runhatch_server.refusals import Executed, Reason, Refusal
from runhatch_server.targets import (
    AttemptReason,
    EventEndDetector,
    EventSplitter,
    EventTooLongError,
    StreamMeter,
    has_data,
    parse_event_id,
)

EVENT_STREAM_TYPE = "text/event-stream"
LATE_PIECE_TIME = timedelta(milliseconds=250)
"""Time after the deadline in which pieces that have arrived are still relayed."""
BROKEN_STREAM_REASONS = {
    "caller_gone": Reason.CALLER_GONE,
    "deadline_passed": Reason.DEADLINE_PASSED,
}
"""Reasons for refusing a stream that broke before its first part, by its outcome."""


class Resumer(Protocol):
    """Resumes a stream at another target."""

    def resume(self, after: str) -> tuple[Grant, OpenedAnswer] | None:
        """Return an answer that continues after event ``after``, or ``None``."""

    def record_begun(self, grant: Grant) -> None:
        """Record that the target of ``grant`` sent the first event of the stream."""

    def record_first_event(self, grant: Grant) -> None:
        """Record that the target of ``grant`` sent its first event, if resumed too."""

    def record_no_answer(
        self, grant: Grant, reason: AttemptReason, has_begun: bool
    ) -> None:
        """Record that the attempt of ``grant`` got no complete answer, and why.

        ``has_begun``: its target sent an event.
        """


class StreamRelay:
    """Relays the body of one stream to one caller.

    Iterating yields bytes for the caller.  It ends normally only if the stream is
    complete, and raises :class:`AbortedStreamError` otherwise, so that the caller's
    connection is aborted.  ``on_end`` is called once, after success or failure.

    A stream that ends within an event has been broken off.  If it has no framing, its
    end can't be distinguished from that of the target's process, so it may only be
    relayed without framing.
    """

    def __init__(
        self,
        request: GatewayRequest,
        grant: Grant,
        opened: OpenedAnswer,
        forwarder: Forwarder,
        balancer: Balancer,
        resumer: Resumer,
        clock: Clock,
        is_caller_gone: Callable[[], bool],
        on_end: Callable[["StreamRelay"], None],
        limits: AnswerLimits,
    ) -> None:
        self._on_end = on_end
        self._meter = StreamMeter(limits)
        self._is_closed = False
        self._chunks = self._relay()
        self._request = request
        self._grant = grant
        self._opened = opened
        self._forwarder = forwarder
        self._balancer = balancer
        self._resumer = resumer
        self._clock = clock
        self._caller_gone = is_caller_gone
        self._splitter = EventSplitter() if request.route.resumable else None
        self._end_detector = EventEndDetector()
        self.is_framed = opened.connection.is_framed
        """Whether the stream's first target states where the body ends, and so may the
        answer to the caller."""
        self._last_event_id = request.last_event_id
        self._last_event_has_id = True
        """Whether the stream can be resumed without sending an event again."""
        self._has_event = False
        self._first_event_splitter = EventSplitter()
        self._target_has_begun = False
        """Whether the newest target has sent an event."""
        self._holds_target = True
        self._first_part: bytes | None = None
        self.has_begun = False
        """Whether the caller has been or will be sent the head of the answer."""
        self.ended_framed = False
        """Whether the last part of the stream stated where its body ends."""
        self.was_slowed = False
        """Whether the stream was read no faster than its limit allows."""
        self.pace = StreamPace()
        self.outcome = "cut"
        """The outcome for the log; ``cut`` while the stream runs."""

    @property
    def grant(self) -> Grant:
        """The grant at the target that sent the newest part of the stream."""
        return self._grant

    def __iter__(self) -> Iterator[bytes]:
        return self

    def __next__(self) -> bytes:
        first_part, self._first_part = self._first_part, None
        return next(self._chunks) if first_part is None else first_part

    def begin(self) -> bool:
        """Wait for the first part; return false if the stream breaks before it.

        The caller can then still be refused.
        """
        try:
            self._first_part = next(self._chunks, None)
        except AbortedStreamError:
            return False
        self.has_begun = True
        return True

    def build_refusal(self) -> Refusal:
        """Return the refusal of a stream that broke before its first part."""
        reason = BROKEN_STREAM_REASONS.get(self.outcome, Reason.TARGETS_FAILED)
        return Refusal(reason, Executed.UNKNOWN)

    def close(self) -> None:
        """Release the target; the HTTP server calls this after success or failure."""
        self._chunks.close()
        if self._is_closed:
            return
        self._is_closed = True
        self._abandon()
        self._on_end(self)

    def _relay(self) -> Generator[bytes, None, None]:
        while True:
            chunk = self._read_chunk()
            if chunk is None or (not chunk and self._is_broken_off()):
                if not self._resume():
                    raise AbortedStreamError(self._request.attempt_id)
                continue
            if not chunk:
                break
            self._apply_limits(len(chunk))
            self._end_detector.feed(chunk)
            self._record_first_event(chunk)
            sendable = self._take_sendable(chunk)
            if sendable:
                self.pace.record_piece(self._clock.elapsed())
                yield sendable
        if self._splitter is not None and self._splitter.incomplete_event:
            yield self._splitter.incomplete_event
        self._finish()

    def _apply_limits(self, size: int) -> None:
        """Count ``size`` bytes received; wait if they arrive too fast.

        Aborts a stream that is too long, or still goes on after its deadline: one that
        always has data to read is not waited for.
        """
        now = self._clock.elapsed()
        if now >= self._request.deadline + LATE_PIECE_TIME:
            self._abort("deadline_passed")
        try:
            pause = self._meter.record(size, now)
        except AnswerTooLongError:
            self._abort(AttemptReason.ANSWER_TOO_LONG.value)
        if pause:
            self.was_slowed = True
            self._clock.sleep(min(pause, CALLER_CHECK_INTERVAL))

    def _abort(self, outcome: str) -> NoReturn:
        self.outcome = outcome
        raise AbortedStreamError(self._request.attempt_id)

    def _record_first_event(self, chunk: bytes) -> None:
        """Record the newest target's first event if it is complete with ``chunk``."""
        if self._target_has_begun:
            return
        if self._completes_first_event(chunk):
            self._target_has_begun = True
            self._resumer.record_first_event(self._grant)

    def _completes_first_event(self, chunk: bytes) -> bool:
        if not _is_event_stream(self._opened):
            return True
        try:
            return any(map(has_data, self._first_event_splitter.feed(chunk)))
        except EventTooLongError:
            # No comment is that long.
            return True

    def _is_broken_off(self) -> bool:
        """Return whether a body at whose end no error was found is incomplete."""
        is_framed = self._opened.connection.is_framed
        if self.is_framed and not is_framed:
            # Only the end of the connection is known, and the last chunk sent to the
            # caller would state more.
            return True
        if not _is_event_stream(self._opened):
            return False
        if self._end_detector.is_empty:
            return not is_framed
        return not self._end_detector.is_between_events

    def _read_chunk(self) -> bytes | None:
        """Return the next bytes, empty at the end, ``None`` if the connection broke."""
        connection = self._opened.connection
        try:
            while not connection.wait_readable(CALLER_CHECK_INTERVAL):
                if self._caller_gone():
                    self._abort("caller_gone")
                if self._clock.elapsed() >= self._request.deadline:
                    self._abort("deadline_passed")
            connection.set_timeout(READ_TIMEOUT)
            return connection.read_chunk()
        except (OSError, ValueError, http.client.HTTPException):
            return None

    def _take_sendable(self, chunk: bytes) -> bytes:
        """Return the part of ``chunk`` that may be sent to the caller.

        Only whole events of a resumable stream may be: after an interruption the
        next target sends the incomplete event again.
        """
        if self._splitter is None:
            return chunk
        events = list(self._splitter.feed(chunk))
        for event in events:
            found_id = parse_event_id(event)
            if found_id:
                self._last_event_id = found_id.decode("latin-1")
                self._last_event_has_id = True
            elif has_data(event):
                self._last_event_has_id = False
            if not self._has_event and (found_id or has_data(event)):
                self._has_event = True
                self._resumer.record_begun(self._grant)
        return b"".join(events)

    def _resume(self) -> bool:
        self._release_target(faulty=True)
        self._resumer.record_no_answer(
            self._grant, AttemptReason.CONNECTION_BROKEN, self._target_has_begun
        )
        if self._splitter is None or not self._last_event_has_id:
            self.outcome = "target_broke_off"
            return False
        resumed = self._resumer.resume(self._last_event_id)
        if resumed is None:
            self.outcome = "not_resumed"
            return False
        self._grant, self._opened = resumed
        self._holds_target = True
        self._first_event_splitter = EventSplitter()
        self._target_has_begun = False
        self._splitter = EventSplitter()
        self._end_detector = EventEndDetector()
        return True

    def _finish(self) -> None:
        self.outcome = "answered"
        self._holds_target = False
        self.ended_framed = self._opened.connection.is_framed
        self._forwarder.recycle_connection(self._opened)
        mean_gap = self.pace.mean_gap
        if mean_gap is not None:
            self._balancer.record_stream_pace(self._grant, mean_gap)
        self._balancer.release(self._grant, target_failed=False)

    def _abandon(self) -> None:
        if self._holds_target:
            if self.outcome == "cut":
                self.outcome = "caller_gone"
            self._release_target(faulty=False)
            self._resumer.record_no_answer(
                self._grant, AttemptReason.CALLER_GONE, self._target_has_begun
            )

    def _release_target(self, faulty: bool) -> None:
        self._holds_target = False
        self._forwarder.discard_answer(self._opened)
        self._balancer.release(self._grant, faulty)


def _is_event_stream(opened: OpenedAnswer) -> bool:
    """Return whether the body consists of events, as it does unless it says not."""
    headers = {name.lower(): value for name, value in opened.head.forwarded}
    content_type = headers.get("content-type", EVENT_STREAM_TYPE)
    return content_type.partition(";")[0].strip().lower() == EVENT_STREAM_TYPE
