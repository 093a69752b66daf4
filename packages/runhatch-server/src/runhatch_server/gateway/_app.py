"""WSGI applications of the gateway: callers' requests, readiness and metrics."""

import random
from collections.abc import Callable, Iterable, Mapping
from datetime import timedelta
from typing import BinaryIO, cast

from runhatch_coordination import Clock
from runhatch_server._progress import RequestCounter
from runhatch_server.decisions import (
    GatewayRequest,
    Headers,
    compute_fingerprint,
    compute_traits,
)
from runhatch_server.gateway._answers import CompleteAnswer, GatewayAnswer, StreamAnswer
from runhatch_server.gateway._messages import HeaderCodec, InvalidHeader
from runhatch_server.gateway._peer_headers import (
    apply_forwarded,
    decode_forwarded,
    encode_peer_answer,
    encode_peer_refusal,
)
from runhatch_server.gateway._service import GatewayService
from runhatch_server.http import (
    ClosingEvents,
    Environ,
    StartResponse,
    caller_disconnect_check,
    omit_framing,
    send_response,
)
from runhatch_server.observability import Metrics, log_change
from runhatch_server.refusals import (
    PROBLEM_TYPE,
    Executed,
    Reason,
    Refusal,
    problem_document,
)
from runhatch_server.routing import RouteTable, choose_service

NOT_READY_RETRY_AFTER = timedelta(milliseconds=500)
"""Retry-After sent by a node that has no configuration yet."""
BEHIND_RETRY_AFTER = timedelta(milliseconds=500)
"""Retry-After sent by a node that lacks a newer configuration, which arrives within
this time unless the first request for it fails."""
HEADER_PREFIX = "HTTP_"
CONTENT_TYPE = "CONTENT_TYPE"
MAX_LOGGED_LENGTH = 80
"""Maximum length in characters of a refused request's host and path in the log."""


class GatewayApp:
    """Accepts callers' requests and proxies them by route."""

    def __init__(
        self,
        service: GatewayService,
        codec: HeaderCodec,
        progress: RequestCounter,
        metrics: Metrics,
        clock: Clock,
        on_request: Callable[[GatewayRequest], None],
        lacks_newer_routes: Callable[[], bool],
        is_for_peers: bool = False,
    ) -> None:
        """``is_for_peers``: callers' requests arrive by way of other nodes."""
        self._service = service
        self._codec = codec
        self._progress = progress
        self._metrics = metrics
        self._clock = clock
        self._on_request = on_request
        self._lacks_newer_routes = lacks_newer_routes
        self._is_for_peers = is_for_peers
        self._random = random.Random()
        self.routes: RouteTable | None = None
        """The current routes, ``None`` before the first configuration."""
        self.draining = False
        """Set on shutdown: each connection is closed after its answer."""

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Serve one request."""
        self._progress.record_begin()
        is_streaming = False
        try:
            answer = self._answer(environ)
            status = f"{answer.status} {answer.reason or 'Status'}"
            if not answer.is_framed:
                omit_framing(environ)
            if isinstance(answer, StreamAnswer):
                start_response(status, [*self._build_stream_headers(answer)])
                is_streaming = True
                return ClosingEvents(answer.events, self._progress.record_end)
            close_connection = self.draining or not answer.is_framed
            return send_response(
                status, answer.headers, answer.body, start_response, close_connection
            )
        finally:
            if not is_streaming:
                self._progress.record_end()

    def _answer(self, environ: Environ) -> GatewayAnswer:
        headers = _collect_headers(environ)
        request = self._parse(environ, headers)
        if isinstance(request, Refusal):
            self._metrics.refusals.labels(request.reason.code).inc()
            log_change(
                "refused_unread",
                outcome=request.reason.code,
                detail=request.detail,
                host=headers.get("host", "")[:MAX_LOGGED_LENGTH],
                uri=str(environ.get("REQUEST_URI", ""))[:MAX_LOGGED_LENGTH],
                configuration=None if self.routes is None else self.routes.version,
            )
            return self._build_refusal(request, headers)
        if not request.is_forwarded:
            self._metrics.requests.labels(request.route.kind.value).inc()
            self._on_request(request)
        answer = self._service.serve(request, caller_disconnect_check(environ))
        if isinstance(answer, Refusal):
            return self._build_refusal(answer, headers)
        return answer

    def _parse(
        self, environ: Environ, headers: Mapping[str, str]
    ) -> GatewayRequest | Refusal:
        """Parse and validate a request; return a refusal if it is invalid."""
        received = self._clock.elapsed()
        routes = self.routes
        if routes is None:
            return Refusal(
                Reason.NOT_READY, Executed.NO, retry_after=NOT_READY_RETRY_AFTER
            )
        uri = str(environ.get("REQUEST_URI", ""))
        if not uri.startswith("/"):
            detail = f"found target {uri[:MAX_LOGGED_LENGTH]!r}, allowed: a path"
            return Refusal(Reason.BAD_HEADER, Executed.NO, detail)
        host = headers.get("host", "")
        route = routes.find(host, uri.partition("?")[0])
        if route is None and self._lacks_newer_routes():
            # Callers do not retry a 404.
            return Refusal(
                Reason.CONFIGURATION_BEHIND,
                Executed.NO,
                retry_after=BEHIND_RETRY_AFTER,
            )
        if route is None:
            return Refusal(Reason.NO_ROUTE, Executed.NO)
        caller = self._codec.decode_caller(headers)
        if isinstance(caller, InvalidHeader):
            return Refusal(Reason.BAD_HEADER, Executed.NO, caller.detail)
        if not caller.attempt_id:
            return Refusal(Reason.BAD_HEADER, Executed.NO, "the request has no id")
        time_left = route.timeout
        if caller.time_left is not None:
            time_left = min(time_left, caller.time_left)
        method = str(environ.get("REQUEST_METHOD"))
        forwarded = decode_forwarded(headers) if self._is_for_peers else None
        if self._is_for_peers and forwarded is None:
            return Refusal(Reason.BAD_HEADER, Executed.NO, "not from a peer")
        body = cast(BinaryIO, environ["wsgi.input"]).read()
        request = GatewayRequest(
            attempt_id=caller.attempt_id,
            route=route,
            service=choose_service(route, self._random),
            method=method,
            uri=uri,
            forwarded_headers=caller.forwarded,
            body=body,
            received_at=received,
            goal_at=received + min(route.goal, time_left),
            deadline=received + time_left,
            work=caller.work,
            last_event_id=caller.last_event,
            resumes=caller.resumes,
            configuration_version=routes.version,
            fingerprint=compute_fingerprint(method, host.lower(), uri, body),
            traits=compute_traits(caller.work),
        )
        return request if forwarded is None else apply_forwarded(request, forwarded)

    def _build_stream_headers(self, answer: StreamAnswer) -> Headers:
        if not self._is_for_peers:
            return answer.headers
        return encode_peer_answer(answer.headers, answer.software_version)

    def _build_refusal(
        self, refusal: Refusal, headers: Mapping[str, str]
    ) -> CompleteAnswer:
        """Return the problem document for ``refusal``, with its headers."""
        attempt_id = headers.get("x-request-id", "")
        caller = self._codec.decode_caller(headers)
        if not isinstance(caller, InvalidHeader):
            attempt_id = caller.attempt_id
        response_headers = (
            ("Content-Type", PROBLEM_TYPE),
            *self._codec.encode_refusal(attempt_id),
        )
        if self._is_for_peers:
            response_headers += encode_peer_refusal(refusal)
        if refusal.retry_after is not None:
            seconds = refusal.retry_after.total_seconds()
            response_headers += (("Retry-After", f"{seconds:.2f}"),)
        body = problem_document(refusal, attempt_id)
        return CompleteAnswer(
            refusal.reason.status, refusal.reason.title, response_headers, body
        )


class ReadinessApp:
    """Readiness endpoint polled by the load balancer."""

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        self._is_ready = is_ready

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answer 200 if ready, else 503, on every path."""
        ready = self._is_ready()
        status = "200 OK" if ready else "503 Not Ready"
        body = b"ready\n" if ready else b"not ready\n"
        start_response(status, [("Content-Length", str(len(body)))])
        return [body]


class MetricsApp:
    """Serves the metrics in the Prometheus text format."""

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answer every path with the metrics."""
        body = self._metrics.render_exposition()
        headers = [
            ("Content-Type", "text/plain; version=0.0.4"),
            ("Content-Length", str(len(body))),
        ]
        start_response("200 OK", headers)
        return [body]


def _collect_headers(environ: Environ) -> dict[str, str]:
    """Return the request headers by lower-case name."""
    headers = {
        key.removeprefix(HEADER_PREFIX).replace("_", "-").lower(): str(value)
        for key, value in environ.items()
        if key.startswith(HEADER_PREFIX)
    }
    content_type = environ.get(CONTENT_TYPE)
    if content_type:
        headers["content-type"] = str(content_type)
    return headers
