"""Single attempts at a target: send the request, await the head and classify it."""

import http.client
from collections.abc import Callable
from dataclasses import dataclass, replace
from datetime import timedelta

from runhatch_coordination import Clock
from runhatch_server.decisions import GatewayRequest, Headers
from runhatch_server.gateway._connections import ConnectionPool, TargetConnection
from runhatch_server.gateway._grant import Grant
from runhatch_server.gateway._messages import AnswerHead, HeaderCodec
from runhatch_server.targets import (
    AttemptReason,
    NotSent,
    RefusedNotRun,
    UnknownResult,
)

CALLER_CHECK_INTERVAL = timedelta(milliseconds=150)
"""Interval at which a wait for a target checks that the caller is still connected:
work must stop within half a second of a disconnect, network delay included."""
READ_TIMEOUT = timedelta(seconds=2)
"""Timeout of reads within a head or chunk that has begun to arrive."""
MISDIRECTED_STATUS = 421
MAX_REFUSAL_BYTES = 65_536
"""Longest body of a refusal that is read for the sake of its connection."""


@dataclass(slots=True)
class OpenedAnswer:
    """A target's answer whose head was read and found valid."""

    connection: TargetConnection
    head: AnswerHead


AttemptResult = OpenedAnswer | NotSent | RefusedNotRun | UnknownResult


class Forwarder:
    """Sends attempts to targets; thread-safe."""

    def __init__(self, pool: ConnectionPool, codec: HeaderCodec, clock: Clock) -> None:
        self._pool = pool
        self._codec = codec
        self._clock = clock
        self.waits_until = timedelta.max
        """Time from which no answer is waited for, as this node is about to exit."""

    def send(
        self,
        request: GatewayRequest,
        grant: Grant,
        wait_until: timedelta,
        caller_gone: Callable[[], bool],
        resume_after: str = "",
    ) -> AttemptResult:
        """Send ``request`` to the target of ``grant`` and wait for the answer's head.

        The wait ends at ``wait_until``; the target is sent the time left to the
        deadline of the request.  ``resume_after`` is the last event of a stream
        to resume.
        """
        time_left = request.deadline - self._clock.elapsed()
        if time_left <= timedelta():
            return NotSent(AttemptReason.TIMED_OUT)
        connection = self._pool.acquire(
            grant.target, grant.max_connections, time_left, request.attempt_id
        )
        if isinstance(connection, NotSent):
            return connection
        time_left = request.deadline - self._clock.elapsed()
        headers = self._codec.encode_request(
            request, grant.target, time_left, grant.tier
        )
        if resume_after:
            headers = self._codec.add_resume_after(headers, resume_after)
        result = self._exchange(connection, request, headers, wait_until, caller_gone)
        if isinstance(result, RefusedNotRun):
            self.recycle_after_refusal(connection, result.idle_timeout)
        elif not isinstance(result, OpenedAnswer):
            self._pool.discard(connection)
        return result

    def recycle_connection(self, opened: OpenedAnswer) -> None:
        """Pool or close the connection of an answer read to its end."""
        if opened.head.idle_timeout is None:
            self._pool.discard(opened.connection)
        else:
            self._pool.release(opened.connection, opened.head.idle_timeout)

    def recycle_after_refusal(
        self, connection: TargetConnection, idle_timeout: timedelta | None
    ) -> None:
        """Pool the connection of a refusal if its body can be read to the end."""
        try:
            connection.set_timeout(READ_TIMEOUT)
            connection.skip_body(MAX_REFUSAL_BYTES)
        except (OSError, http.client.HTTPException):
            self._pool.discard(connection)
            return
        if idle_timeout is None:
            self._pool.discard(connection)
        else:
            self._pool.release(connection, idle_timeout)

    def discard_answer(self, opened: OpenedAnswer) -> None:
        """Close the connection of an answer that will not be read to its end."""
        self._pool.discard(opened.connection)

    def _exchange(
        self,
        connection: TargetConnection,
        request: GatewayRequest,
        headers: Headers,
        wait_until: timedelta,
        caller_gone: Callable[[], bool],
    ) -> AttemptResult:
        head = self.read_head(connection, request, headers, wait_until, caller_gone)
        if isinstance(head, UnknownResult):
            return head
        return self._classify(connection, request, head)

    def read_head(
        self,
        connection: TargetConnection,
        request: GatewayRequest,
        headers: Headers,
        wait_until: timedelta,
        caller_gone: Callable[[], bool],
    ) -> AnswerHead | UnknownResult:
        """Send ``request`` with ``headers`` and return the head of the answer."""
        time_left = request.deadline - self._clock.elapsed()
        try:
            connection.send(
                request.method, request.uri, headers, request.body, time_left
            )
            abort_reason = self._await_head(connection, wait_until, caller_gone)
            if abort_reason is not None:
                return UnknownResult(abort_reason)
            response = connection.read_head(READ_TIMEOUT)
        except TimeoutError:
            return UnknownResult(AttemptReason.TIMED_OUT)
        except (OSError, http.client.HTTPException, ValueError):
            return UnknownResult(AttemptReason.CONNECTION_BROKEN)
        names = {name.lower(): value for name, value in response.getheaders()}
        return self._codec.decode_answer(
            response.status, response.reason, names, response.will_close
        )

    def _await_head(
        self,
        connection: TargetConnection,
        wait_until: timedelta,
        caller_gone: Callable[[], bool],
    ) -> AttemptReason | None:
        while True:
            time_left = wait_until - self._clock.elapsed()
            if time_left <= timedelta():
                return AttemptReason.TIMED_OUT
            if connection.wait_readable(min(time_left, CALLER_CHECK_INTERVAL)):
                return None
            if caller_gone():
                return AttemptReason.CALLER_GONE
            if self._clock.elapsed() >= self.waits_until:
                return AttemptReason.NODE_EXITS

    def _classify(
        self, connection: TargetConnection, request: GatewayRequest, head: AnswerHead
    ) -> AttemptResult:
        if head.attempt_id != request.attempt_id:
            if head.not_run and not head.attempt_id:
                # A copy of it could not be distinguished from a later answer.
                return _make_refusal(replace(head, idle_timeout=None))
            return UnknownResult(AttemptReason.WRONG_ANSWER)
        if head.not_run:
            return _make_refusal(head)
        if head.encoded or not head.is_authentic:
            return UnknownResult(AttemptReason.WRONG_ANSWER)
        return OpenedAnswer(connection, head)


def _make_refusal(head: AnswerHead) -> RefusedNotRun:
    if head.status == MISDIRECTED_STATUS:
        return RefusedNotRun(
            AttemptReason.MODEL_MISSING,
            idle_timeout=head.idle_timeout,
            draining=head.draining,
            rate_limit=head.rate_limit,
            max_rejections=head.max_rejections,
        )
    return RefusedNotRun(
        AttemptReason.TARGET_BUSY,
        retry_after=head.backoff,
        idle_timeout=head.idle_timeout,
        draining=head.draining,
        rate_limit=head.rate_limit,
        max_rejections=head.max_rejections,
    )
