"""Single attempts at a target: send the request, await the head and classify it."""

import http.client
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from runhatch_coordination import Clock
from runhatch_server.decisions import GatewayRequest, Headers
from runhatch_server.gateway._connections import ConnectionPool, TargetConnection
from runhatch_server.gateway._grant import Grant
from runhatch_server.gateway._messages import AnswerHead, HeaderCodec
from runhatch_server.targets import (
    AttemptReason,
    NotSent,
    RefusedUnrun,
    UnknownResult,
)

WATCH_SLICE = timedelta(milliseconds=150)
"""Interval at which a wait for a target checks that the caller is still connected:
work must stop within half a second of a disconnect, network delay included."""
READ_TIMEOUT = timedelta(seconds=2)
"""Timeout of reads within a head or chunk that has begun to arrive."""
MISDIRECTED = 421


@dataclass(slots=True)
class OpenedAnswer:
    """A target's answer whose head was read and found valid."""

    connection: TargetConnection
    head: AnswerHead


AttemptResult = OpenedAnswer | NotSent | RefusedUnrun | UnknownResult


class Forwarder:
    """Sends attempts to targets; thread-safe."""

    def __init__(self, pool: ConnectionPool, codec: HeaderCodec, clock: Clock) -> None:
        self._pool = pool
        self._codec = codec
        self._clock = clock

    def send(
        self,
        request: GatewayRequest,
        grant: Grant,
        until: timedelta,
        caller_gone: Callable[[], bool],
        resume_after: str = "",
    ) -> AttemptResult:
        """Send ``request`` to the target of ``grant`` and wait for the answer's head.

        The wait ends at ``until``; the target is sent the time left to the deadline
        of the request.  ``resume_after`` is the last event of a stream to resume.
        """
        time_left = request.deadline - self._clock.elapsed()
        if time_left <= timedelta():
            return NotSent(AttemptReason.TIMED_OUT)
        connection = self._pool.take(grant.target, grant.most_connections, time_left)
        if isinstance(connection, NotSent):
            return connection
        time_left = request.deadline - self._clock.elapsed()
        headers = self._codec.for_target(request, grant.target, time_left, grant.tier)
        if resume_after:
            headers = self._codec.resumed_after(headers, resume_after)
        result = self._exchange(connection, request, headers, until, caller_gone)
        if isinstance(result, RefusedUnrun):
            self._recycle_after_refusal(connection, result)
        elif not isinstance(result, OpenedAnswer):
            self._pool.discard(connection)
        return result

    def finished(self, opened: OpenedAnswer) -> None:
        """Pool or close the connection of an answer read to its end."""
        if opened.head.idle is None:
            self._pool.discard(opened.connection)
        else:
            self._pool.give_back(opened.connection, opened.head.idle)

    def _recycle_after_refusal(
        self, connection: TargetConnection, refused: RefusedUnrun
    ) -> None:
        """Pool the connection of a refusal if its body can be read to the end."""
        try:
            connection.set_timeout(READ_TIMEOUT)
            connection.read_whole()
        except (OSError, http.client.HTTPException):
            self._pool.discard(connection)
            return
        if refused.idle is None:
            self._pool.discard(connection)
        else:
            self._pool.give_back(connection, refused.idle)

    def abandon(self, opened: OpenedAnswer) -> None:
        """Close the connection of an answer that is not read to its end."""
        self._pool.discard(opened.connection)

    def _exchange(
        self,
        connection: TargetConnection,
        request: GatewayRequest,
        headers: Headers,
        until: timedelta,
        caller_gone: Callable[[], bool],
    ) -> AttemptResult:
        time_left = request.deadline - self._clock.elapsed()
        try:
            connection.send(
                request.method, request.uri, headers, request.body, time_left
            )
            abort_reason = self._await_head(connection, until, caller_gone)
            if abort_reason is not None:
                return UnknownResult(abort_reason)
            response = connection.read_head(READ_TIMEOUT)
        except TimeoutError:
            return UnknownResult(AttemptReason.TIMED_OUT)
        except (OSError, http.client.HTTPException, ValueError):
            return UnknownResult(AttemptReason.BROKEN)
        names = {name.lower(): value for name, value in response.getheaders()}
        head = self._codec.read_answer(
            response.status, response.reason, names, response.will_close
        )
        return self._classify(connection, request, head)

    def _await_head(
        self,
        connection: TargetConnection,
        until: timedelta,
        caller_gone: Callable[[], bool],
    ) -> AttemptReason | None:
        while True:
            time_left = until - self._clock.elapsed()
            if time_left <= timedelta():
                return AttemptReason.TIMED_OUT
            if connection.wait(min(time_left, WATCH_SLICE)):
                return None
            if caller_gone():
                return AttemptReason.CALLER_GONE

    def _classify(
        self, connection: TargetConnection, request: GatewayRequest, head: AnswerHead
    ) -> AttemptResult:
        if head.attempt_id != request.attempt_id:
            if head.not_run and not head.attempt_id:
                return _make_refusal(head)
            return UnknownResult(AttemptReason.WRONG_ANSWER)
        if head.not_run:
            return _make_refusal(head)
        if head.encoded or not head.sealed:
            return UnknownResult(AttemptReason.WRONG_ANSWER)
        return OpenedAnswer(connection, head)


def _make_refusal(head: AnswerHead) -> RefusedUnrun:
    if head.status == MISDIRECTED:
        return RefusedUnrun(
            AttemptReason.MODEL_NOT_THERE,
            idle=head.idle,
            leaving=head.leaving,
            rate_limit=head.rate_limit,
        )
    return RefusedUnrun(
        AttemptReason.TARGET_BUSY,
        retry_after=head.rest,
        idle=head.idle,
        leaving=head.leaving,
        rate_limit=head.rate_limit,
    )
