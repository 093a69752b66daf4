"""Sending one request to one target, on a connection of its own."""

import http.client
import select
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from datetime import timedelta
from urllib.parse import urlsplit

from runhatch_coordination import Clock
from runhatch_server.targets._answers import OpenAnswer
from runhatch_server.targets._outcomes import (
    AttemptOutcome,
    AttemptReason,
    NotSent,
    RefusedUnrun,
    UnknownResult,
    rest_asked,
)

REQUEST_ID = "X-Request-Id"
CONNECT_TIMEOUT = timedelta(seconds=1)
WATCH_SLICE = timedelta(milliseconds=250)
"""How often a wait for an answer looks whether the caller is still there."""
UNRUN_REASONS: Mapping[int, AttemptReason] = {
    404: AttemptReason.MODEL_NOT_THERE,
    409: AttemptReason.MODEL_NOT_THERE,
    429: AttemptReason.TARGET_BUSY,
    503: AttemptReason.TARGET_DRAINING,
}


@dataclass(frozen=True, slots=True)
class TargetRequest:
    """One attempt: what to send and what answers prove.

    ``deadline`` is on the clock's elapsed time.  ``unrun_statuses`` are those by
    which this target says that it did not run the request.  With
    ``must_echo_id`` an answer without this request's id is not taken.
    """

    url: str
    method: str
    path: str
    body: bytes
    headers: Mapping[str, str]
    request_id: str
    deadline: timedelta
    unrun_statuses: frozenset[int] = field(default=frozenset({429}))
    must_echo_id: bool = True


def _never_gone() -> bool:
    return False


class TargetClient:
    """Makes attempts; never reuses a connection, so answers cannot mix."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock

    def send(
        self,
        request: TargetRequest,
        caller_gone: Callable[[], bool] = _never_gone,
    ) -> AttemptOutcome:
        """Send ``request`` and return the open answer, or how it failed.

        ``caller_gone`` is asked while waiting; once true the attempt is given up.
        """
        connection = self._connect(request)
        if isinstance(connection, NotSent):
            return connection
        outcome = self._exchange(connection, request, caller_gone)
        if not isinstance(outcome, OpenAnswer):
            connection.close()
        return outcome

    def _connect(self, request: TargetRequest) -> http.client.HTTPConnection | NotSent:
        parts = urlsplit(request.url)
        timeout = min(CONNECT_TIMEOUT, request.deadline - self._clock.elapsed())
        if timeout <= timedelta():
            return NotSent(AttemptReason.TIMED_OUT)
        secure = parts.scheme == "https"
        kind = http.client.HTTPSConnection if secure else http.client.HTTPConnection
        connection = kind(
            parts.hostname or "", parts.port, timeout=timeout.total_seconds()
        )
        try:
            connection.connect()
        except OSError:
            return NotSent(AttemptReason.CONNECT_FAILED)
        return connection

    def _exchange(
        self,
        connection: http.client.HTTPConnection,
        request: TargetRequest,
        caller_gone: Callable[[], bool],
    ) -> AttemptOutcome:
        headers = {**request.headers, REQUEST_ID: request.request_id}
        try:
            connection.request(request.method, request.path, request.body, headers)
            failure = self._await_head(connection, request, caller_gone)
            if failure is not None:
                return UnknownResult(failure)
            response = connection.getresponse()
        except TimeoutError:
            return UnknownResult(AttemptReason.TIMED_OUT)
        except (OSError, http.client.HTTPException):
            return UnknownResult(AttemptReason.BROKEN)
        return self._judge(OpenAnswer(connection, response), request)

    def _await_head(
        self,
        connection: http.client.HTTPConnection,
        request: TargetRequest,
        caller_gone: Callable[[], bool],
    ) -> AttemptReason | None:
        """Wait until the answer begins; nothing is buffered before its head."""
        poller = select.poll()
        poller.register(connection.sock, select.POLLIN)
        while True:
            remaining = request.deadline - self._clock.elapsed()
            if remaining <= timedelta():
                return AttemptReason.TIMED_OUT
            wait = min(remaining, WATCH_SLICE)
            if poller.poll(wait.total_seconds() * 1000):
                connection.sock.settimeout(max(remaining.total_seconds(), 0.001))
                return None
            if caller_gone():
                return AttemptReason.CALLER_GONE

    def _judge(self, answer: OpenAnswer, request: TargetRequest) -> AttemptOutcome:
        if answer.status in request.unrun_statuses:
            answer.close()
            reason = UNRUN_REASONS.get(answer.status, AttemptReason.TARGET_BUSY)
            return RefusedUnrun(reason, rest_asked(answer.headers.get("retry-after")))
        echoed = answer.headers.get(REQUEST_ID.lower())
        expected = request.request_id
        if echoed != expected and (echoed is not None or request.must_echo_id):
            answer.close()
            return UnknownResult(AttemptReason.WRONG_ANSWER)
        if not answer.is_framed:
            answer.close()
            return UnknownResult(AttemptReason.WRONG_ANSWER)
        if answer.status >= 500:
            answer.close()
            return UnknownResult(AttemptReason.SERVER_ERROR)
        return answer
