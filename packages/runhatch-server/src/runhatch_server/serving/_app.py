"""The callers' HTTP interface as a WSGI application."""

from collections.abc import Callable, Generator, Iterable, Iterator, Mapping
from datetime import timedelta

import msgspec

from runhatch_coordination import Clock, InvariantError
from runhatch_server._progress import RequestCounter
from runhatch_server.http import (
    AbortedStreamError,
    ClosingEvents,
    Environ,
    StartResponse,
    caller_disconnect_check,
    send_response,
)
from runhatch_server.observability import Metrics, log_change
from runhatch_server.refusals import Executed, Reason, Refusal
from runhatch_server.serving._caller_answers import (
    CallerAnswer,
    StreamedAnswer,
    WholeAnswer,
    build_refusal_answer,
)
from runhatch_server.serving._placement_cache import PlacementCache
from runhatch_server.serving._request import RouteKind
from runhatch_server.serving._request_reader import MODELS_PATH, RequestReader
from runhatch_server.serving._service import ServingService

JSON_HEADERS = (("Content-Type", "application/json"),)
HEALTH_PATHS = ("/healthz", "/readyz")
NO_REQUEST_ID = "-"
NOT_READY_RETRY_AFTER = timedelta(seconds=1)


class _ModelEntry(msgspec.Struct):
    id: str
    object: str = "model"
    created: int = 0
    owned_by: str = "runhatch"


class _ModelList(msgspec.Struct):
    data: list[_ModelEntry]
    object: str = "list"


class CallerApp:
    """Counts callers' requests and passes them to the serving service."""

    def __init__(
        self,
        reader: RequestReader,
        service: ServingService,
        placement_cache: PlacementCache,
        metrics: Metrics,
        progress: RequestCounter,
        clock: Clock,
        is_ready: Callable[[], bool],
        has_configuration: Callable[[], bool],
        on_invariant_error: Callable[[InvariantError], None],
    ) -> None:
        self._reader = reader
        self._service = service
        self._picture = placement_cache
        self._metrics = metrics
        self._progress = progress
        self._clock = clock
        self._is_ready = is_ready
        self._has_configuration = has_configuration
        self._on_broken = on_invariant_error
        self.draining = False
        """Whether connections are closed after their answers; set on shutdown."""

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Serve one WSGI request."""
        path = environ.get("PATH_INFO")
        if path in HEALTH_PATHS:
            return self._send(self._build_health_answer(str(path)), start_response)
        if path == MODELS_PATH:
            return self._send(self._build_models_answer(environ), start_response)
        self._progress.record_begin()
        self._metrics.requests_in_progress.inc()
        stream_started = False
        try:
            answer = self._build_answer(environ)
            if isinstance(answer, StreamedAnswer):
                start_response(_build_status_line(answer), list(answer.headers))
                stream_started = True
                events = _GeneratedEvents(answer.events)
                return ClosingEvents(events, self._end_request)
            return self._send(answer, start_response)
        except InvariantError as error:
            self._on_broken(error)
            raise
        finally:
            if not stream_started:
                self._end_request()

    def _build_answer(self, environ: Environ) -> CallerAnswer:
        started = self._clock.elapsed()
        if not self._has_configuration():
            return self._refuse_not_ready()
        request = self._reader.read_request(environ)
        if isinstance(request, Refusal):
            return self._refuse(request)
        answer = self._service.serve_request(request, caller_disconnect_check(environ))
        duration = self._clock.elapsed() - started
        kind = request.route.kind.value
        self._metrics.first_byte_seconds.labels(kind).observe(duration.total_seconds())
        return answer

    def _refuse_not_ready(self) -> CallerAnswer:
        """Refuse a request because no configuration declares paths and names yet."""
        refusal = Refusal(
            Reason.NOT_READY, Executed.UNKNOWN, retry_after=NOT_READY_RETRY_AFTER
        )
        return self._refuse(refusal)

    def refuse_unread(
        self, refusal: Refusal, headers: Mapping[str, str]
    ) -> WholeAnswer:
        """Return the answer to a request that the HTTP server refuses."""
        log_change("refused_unread", outcome=refusal.reason.code, detail=refusal.detail)
        return self._refuse(refusal)

    def _refuse(self, refusal: Refusal) -> WholeAnswer:
        self._metrics.refusals.labels(refusal.reason.code).inc()
        return build_refusal_answer(refusal, NO_REQUEST_ID)

    def _end_request(self) -> None:
        self._progress.record_end()
        self._metrics.requests_in_progress.dec()

    def _send(
        self, answer: WholeAnswer, start_response: StartResponse
    ) -> Iterable[bytes]:
        return send_response(
            _build_status_line(answer),
            answer.headers,
            answer.body,
            start_response,
            self.draining,
        )

    def _build_health_answer(self, path: str) -> WholeAnswer:
        healthy = path == "/healthz" or self._is_ready()
        body = b"ok\n" if healthy else b"not ready\n"
        return WholeAnswer(200 if healthy else 503, (), body)

    def _build_models_answer(self, environ: Environ) -> WholeAnswer:
        if environ.get("REQUEST_METHOD") != "GET":
            bad_method = Refusal(Reason.BAD_METHOD, Executed.NO, "allowed: GET")
            return build_refusal_answer(bad_method, NO_REQUEST_ID)
        names = [
            route.name
            for route in self._picture.routes()
            if route.kind is RouteKind.MODEL
        ]
        body = msgspec.json.encode(_ModelList([_ModelEntry(name) for name in names]))
        return WholeAnswer(200, JSON_HEADERS, body)


class _GeneratedEvents:
    """Iterates over a generator and runs its clean-up even if it never started."""

    def __init__(self, events: Iterator[bytes]) -> None:
        self._events = events
        self._started = False

    def __next__(self) -> bytes:
        self._started = True
        return next(self._events)

    def close(self) -> None:
        """Close the generator after starting it if necessary."""
        try:
            if not self._started:
                # Closing a generator that never started skips its finally blocks.
                next(self._events, None)
            if isinstance(self._events, Generator):
                self._events.close()
        except AbortedStreamError:
            pass


def _build_status_line(answer: CallerAnswer) -> str:
    return f"{answer.status} Status"
