"""Passing a stream on as it comes, and going on elsewhere where that is allowed."""

import http.client
from collections.abc import Callable, Generator, Iterator
from typing import Protocol

from runhatch_coordination import Clock
from runhatch_server.decisions import GatewayRequest
from runhatch_server.gateway._balancer import Balancer
from runhatch_server.gateway._forward import (
    READ_TIMEOUT,
    WATCH_SLICE,
    Forwarder,
    OpenedAnswer,
)
from runhatch_server.gateway._grant import Grant
from runhatch_server.gateway._pace import StreamPace
from runhatch_server.http import AbortedStreamError
from runhatch_server.targets import AttemptReason, EventSplitter, event_id


class Resumer(Protocol):
    """Finds a target that goes on with a stream after an event."""

    def resume(self, after: str) -> tuple[Grant, OpenedAnswer] | None:
        """Return the answer that goes on, ``None`` if there is none."""

    def no_answer(self, grant: Grant, reason: AttemptReason) -> None:
        """Take in that ``grant`` brought no whole answer, and why."""


class StreamRelay:
    """One stream from its head to its end, for one caller.

    Iterating yields bytes for the caller; it ends normally only if the stream is
    complete, and raises :class:`AbortedStreamError` otherwise, so that the
    caller's connection is broken off.  ``on_end`` is called once, however it ends.
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
        caller_gone: Callable[[], bool],
        on_end: Callable[["StreamRelay"], None],
    ) -> None:
        self._on_end = on_end
        self._ended = False
        self._events = self._relay()
        self._request = request
        self._grant = grant
        self._opened = opened
        self._forwarder = forwarder
        self._balancer = balancer
        self._resumer = resumer
        self._clock = clock
        self._caller_gone = caller_gone
        self._splitter = EventSplitter() if request.route.resumable else None
        self._last_event = request.last_event
        self._holds_target = True
        self.pace = StreamPace()
        self.outcome = "cut"
        """How it ended, for the log."""

    @property
    def grant(self) -> Grant:
        """The place at the target that sent the newest part of it."""
        return self._grant

    def __iter__(self) -> Iterator[bytes]:
        return self

    def __next__(self) -> bytes:
        return next(self._events)

    def close(self) -> None:
        """Let go of the target; called by the HTTP server, whatever happened."""
        self._events.close()
        if self._ended:
            return
        self._ended = True
        self._leave()
        self._on_end(self)

    def _relay(self) -> Generator[bytes, None, None]:
        while True:
            chunk = self._next()
            if chunk is None:
                if not self._resume():
                    raise AbortedStreamError(self._request.attempt_id)
                continue
            if not chunk:
                break
            whole = self._whole_events(chunk)
            if whole:
                self.pace.piece(self._clock.elapsed())
                yield whole
        if self._splitter is not None and self._splitter.rest:
            yield self._splitter.rest
        self._complete()

    def _next(self) -> bytes | None:
        """Return the next bytes, empty at the end, ``None`` if it broke off."""
        connection = self._opened.connection
        try:
            while not connection.wait(WATCH_SLICE):
                if self._caller_gone():
                    self.outcome = "caller_gone"
                    raise AbortedStreamError(self._request.attempt_id)
                if self._clock.elapsed() >= self._request.deadline:
                    self.outcome = "deadline_passed"
                    raise AbortedStreamError(self._request.attempt_id)
            connection.set_timeout(READ_TIMEOUT)
            return connection.read_some()
        except (OSError, ValueError, http.client.HTTPException):
            return None

    def _whole_events(self, chunk: bytes) -> bytes:
        """Return what may be passed on of ``chunk``.

        Where the stream may go on elsewhere only whole events are: another target
        would send the broken one again.
        """
        if self._splitter is None:
            return chunk
        events = list(self._splitter.feed(chunk))
        for event in events:
            found = event_id(event)
            if found is not None:
                self._last_event = found.decode("latin-1")
        return b"".join(events)

    def _resume(self) -> bool:
        self._give_up_target(faulty=True)
        self._resumer.no_answer(self._grant, AttemptReason.BROKEN)
        if self._splitter is None:
            self.outcome = "target_broke_off"
            return False
        resumed = self._resumer.resume(self._last_event)
        if resumed is None:
            self.outcome = "not_resumed"
            return False
        self._grant, self._opened = resumed
        self._holds_target = True
        self._splitter = EventSplitter()
        return True

    def _complete(self) -> None:
        self.outcome = "answered"
        self._holds_target = False
        self._forwarder.finished(self._opened)
        mean_gap = self.pace.mean_gap
        if mean_gap is not None:
            self._balancer.streamed(self._grant, mean_gap)
        self._balancer.released(self._grant, faulty=False)

    def _leave(self) -> None:
        if self._holds_target:
            if self.outcome == "cut":
                self.outcome = "caller_gone"
            self._give_up_target(faulty=False)
            self._resumer.no_answer(self._grant, AttemptReason.CALLER_GONE)

    def _give_up_target(self, faulty: bool) -> None:
        self._holds_target = False
        self._forwarder.abandon(self._opened)
        self._balancer.released(self._grant, faulty)
