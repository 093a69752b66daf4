"""Sends a request to a target, on a new connection for each attempt."""

import http.client
import select
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from datetime import timedelta
from urllib.parse import urlsplit

from runhatch_coordination import Clock
from runhatch_server.http import AnswerMemory, StrictResponse, read_head
from runhatch_server.targets._answers import OpenAnswer
from runhatch_server.targets._outcomes import (
    AttemptOutcome,
    AttemptReason,
    NotSent,
    RefusedNotRun,
    UnknownResult,
    decode_retry_after,
)

REQUEST_ID = "X-Request-Id"
CONNECT_TIMEOUT = timedelta(seconds=1)
CALLER_CHECK_INTERVAL = timedelta(milliseconds=250)
"""Interval at which a wait for a response checks that the caller is connected."""
NOT_RUN_REASONS: Mapping[int, AttemptReason] = {
    404: AttemptReason.MODEL_MISSING,
    409: AttemptReason.MODEL_MISSING,
    429: AttemptReason.TARGET_BUSY,
    503: AttemptReason.TARGET_DRAINING,
}


@dataclass(frozen=True, slots=True)
class TargetRequest:
    """An attempt to send a request, and how to interpret its response.

    ``deadline`` is a value of the clock's elapsed time.  A response with one of
    ``not_run_statuses`` proves that the target did not run the request.  With
    ``requires_id_echo``, a response that lacks this request's id is rejected.
    """

    url: str
    method: str
    path: str
    body: bytes
    headers: Mapping[str, str]
    request_id: str
    deadline: timedelta
    not_run_statuses: frozenset[int] = field(default=frozenset({429}))
    requires_id_echo: bool = True


def _never_disconnected() -> bool:
    return False


class TargetClient:
    """Sends requests; never reuses a connection, so responses cannot be mixed up."""

    def __init__(self, clock: Clock, answers: AnswerMemory | None = None) -> None:
        """``answers`` bounds the answers that are read whole."""
        self._clock = clock
        self._answers = answers or AnswerMemory(clock=clock)

    def send(
        self,
        request: TargetRequest,
        is_caller_gone: Callable[[], bool] = _never_disconnected,
    ) -> AttemptOutcome:
        """Send ``request`` and return the open response, or how the attempt failed.

        ``caller_gone`` is polled while waiting; the attempt is aborted once it is
        true.
        """
        connection = self._connect(request)
        if isinstance(connection, NotSent):
            return connection
        outcome = self._exchange(connection, request, is_caller_gone)
        if not isinstance(outcome, OpenAnswer):
            connection.close()
        return outcome

    def _connect(self, request: TargetRequest) -> http.client.HTTPConnection | NotSent:
        parts = urlsplit(request.url)
        timeout = min(CONNECT_TIMEOUT, request.deadline - self._clock.elapsed())
        if timeout <= timedelta():
            return NotSent(AttemptReason.TIMED_OUT)
        secure = parts.scheme == "https"
        connection_type = (
            http.client.HTTPSConnection if secure else http.client.HTTPConnection
        )
        connection = connection_type(
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
            response = read_head(
                connection, StrictResponse, request.deadline, self._clock
            )
        except TimeoutError:
            return UnknownResult(AttemptReason.TIMED_OUT)
        except (OSError, http.client.HTTPException):
            return UnknownResult(AttemptReason.CONNECTION_BROKEN)
        return self._classify_response(
            OpenAnswer(connection, response, self._answers), request
        )

    def _await_head(
        self,
        connection: http.client.HTTPConnection,
        request: TargetRequest,
        caller_gone: Callable[[], bool],
    ) -> AttemptReason | None:
        """Wait for the first bytes of the response; return why none arrived, if so.

        Polling the socket is sufficient, since nothing is buffered before the head.
        """
        poller = select.poll()
        poller.register(connection.sock, select.POLLIN)
        while True:
            remaining = request.deadline - self._clock.elapsed()
            if remaining <= timedelta():
                return AttemptReason.TIMED_OUT
            wait = min(remaining, CALLER_CHECK_INTERVAL)
            if poller.poll(wait.total_seconds() * 1000):
                connection.sock.settimeout(max(remaining.total_seconds(), 0.001))
                return None
            if caller_gone():
                return AttemptReason.CALLER_GONE

    def _classify_response(
        self, answer: OpenAnswer, request: TargetRequest
    ) -> AttemptOutcome:
        if answer.status in request.not_run_statuses:
            answer.close()
            reason = NOT_RUN_REASONS.get(answer.status, AttemptReason.TARGET_BUSY)
            return RefusedNotRun(
                reason, decode_retry_after(answer.headers.get("retry-after"))
            )
        echoed_id = answer.headers.get(REQUEST_ID.lower())
        expected_id = request.request_id
        if echoed_id != expected_id and (
            echoed_id is not None or request.requires_id_echo
        ):
            answer.close()
            return UnknownResult(AttemptReason.WRONG_ANSWER)
        if not answer.is_framed:
            answer.close()
            return UnknownResult(AttemptReason.WRONG_ANSWER)
        if answer.status >= 500:
            answer.close()
            return UnknownResult(AttemptReason.SERVER_ERROR)
        return answer
