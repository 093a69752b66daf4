"""WSGI applications of the gateway: callers' requests, readiness and metrics."""

from collections.abc import Callable, Iterable, Mapping
from datetime import timedelta

from runhatch_coordination import Clock
from runhatch_server._progress import RequestCounter
from runhatch_server.decisions import Headers
from runhatch_server.gateway._answers import CompleteAnswer, GatewayAnswer, StreamAnswer
from runhatch_server.gateway._messages import HeaderCodec, InvalidHeader
from runhatch_server.gateway._peer_headers import (
    encode_peer_answer,
    encode_peer_refusal,
)
from runhatch_server.gateway._request_parser import MAX_LOGGED_LENGTH, RequestParser
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
from runhatch_server.refusals import PROBLEM_TYPE, Reason, Refusal, problem_document
from runhatch_server.routing import RouteTable

HEADER_PREFIX = "HTTP_"
CONTENT_TYPE = "CONTENT_TYPE"


class GatewayApp:
    """Accepts callers' requests and proxies them by route."""

    def __init__(
        self,
        service: GatewayService,
        codec: HeaderCodec,
        progress: RequestCounter,
        metrics: Metrics,
        clock: Clock,
        lacks_newer_routes: Callable[[], bool],
        is_for_peers: bool = False,
        has_current_keys: Callable[[timedelta], bool] = lambda received_at: True,
    ) -> None:
        """``is_for_peers``: callers' requests arrive by way of other nodes.

        ``has_current_keys`` returns whether the keys that this node knows are confirmed
        recently enough for a request received at a time.
        """
        self._service = service
        self._codec = codec
        self._progress = progress
        self._metrics = metrics
        self._is_for_peers = is_for_peers
        self._parser = RequestParser(
            codec, clock, lacks_newer_routes, has_current_keys, is_for_peers
        )
        self.draining = False
        """Set on shutdown: each connection is closed after its answer."""

    @property
    def routes(self) -> RouteTable | None:
        """The current routes, ``None`` before the first configuration."""
        return self._parser.routes

    @routes.setter
    def routes(self, routes: RouteTable | None) -> None:
        self._parser.routes = routes

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
        request = self._parser.parse(environ, headers)
        if isinstance(request, Refusal):
            return self.refuse_unread(
                request, headers, str(environ.get("REQUEST_URI", ""))
            )
        if request.is_forwarded:
            self._metrics.forwarded_bytes.labels("in").inc(len(request.body))
        else:
            self._metrics.requests.labels(request.route.kind.value).inc()
        answer = self._service.serve(request, caller_disconnect_check(environ))
        if isinstance(answer, Refusal):
            return self._build_refusal(answer, headers)
        return answer

    def refuse_unread(
        self, refusal: Refusal, headers: Mapping[str, str], uri: str = ""
    ) -> CompleteAnswer:
        """Return the answer to a request that is refused before it is served."""
        self._metrics.refusals.labels(refusal.reason.code).inc()
        log_change(
            "refused_unread",
            outcome=refusal.reason.code,
            detail=refusal.detail,
            host=headers.get("host", "")[:MAX_LOGGED_LENGTH],
            uri=uri[:MAX_LOGGED_LENGTH],
            configuration=None if self.routes is None else self.routes.version,
        )
        return self._build_refusal(refusal, headers)

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
        if refusal.reason is Reason.KEY_UNKNOWN:
            response_headers += (("WWW-Authenticate", "Bearer"),)
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
