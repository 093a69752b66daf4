"""Parses and validates a WSGI environment as a caller's request."""

import uuid
from collections.abc import Mapping
from dataclasses import dataclass
from datetime import timedelta
from typing import BinaryIO, cast
from urllib.parse import quote

import msgspec
from pydantic import ValidationError

from runhatch_coordination import Clock
from runhatch_server.configuration import Deployment, PathSpec, PlainServiceSpec
from runhatch_server.decisions._prefixes import prefix_blocks
from runhatch_server.refusals import Executed, Reason, Refusal
from runhatch_server.serving._caller_models import BODY_MODELS
from runhatch_server.serving._headers import (
    DEFAULT_PRIORITY,
    CallerHeaders,
    read_headers,
)
from runhatch_server.serving._placement_cache import PlacementCache
from runhatch_server.serving._request import CallerRequest, Route, RouteKind
from runhatch_server.settings import ServingSettings
from runhatch_server.validation import format_validation_errors

SERVICES_PREFIX = "/services/"
MODELS_PATH = "/v1/models"
Environ = Mapping[str, object]


@dataclass(frozen=True, slots=True)
class _Limits:
    default_deadline: timedelta
    max_deadline: timedelta
    max_body: int


class RequestReader:
    """Parses and validates callers' requests."""

    def __init__(
        self, placement_cache: PlacementCache, settings: ServingSettings, clock: Clock
    ) -> None:
        self._picture = placement_cache
        self._clock = clock
        self._limits = _Limits(
            timedelta(seconds=settings.default_deadline_seconds),
            timedelta(seconds=settings.max_deadline_seconds),
            settings.max_body_bytes,
        )

    def read_request(self, environ: Environ) -> CallerRequest | Refusal:
        """Return the request in ``environ``, or a refusal if it is invalid."""
        path = str(environ.get("PATH_INFO", ""))
        if path in BODY_MODELS:
            return self._read_model_request(environ, path)
        if path.startswith(SERVICES_PREFIX):
            return self._read_service_request(environ, path)
        return Refusal(Reason.UNKNOWN_PATH, Executed.NO, f"found {path[:80]!r}")

    def _read_model_request(
        self, environ: Environ, path: str
    ) -> CallerRequest | Refusal:
        if environ.get("REQUEST_METHOD") != "POST":
            return Refusal(Reason.BAD_METHOD, Executed.NO, "allowed: POST")
        headers = read_headers(environ, self._limits.max_deadline)
        if isinstance(headers, Refusal):
            return headers
        body = self._read_body(environ)
        if isinstance(body, Refusal):
            return body
        document = _decode_body(path, body)
        if isinstance(document, Refusal):
            return document
        name = str(document["model"])
        route = Route(RouteKind.MODEL, name)
        if not self._picture.is_declared(route):
            return Refusal(Reason.UNKNOWN_MODEL, Executed.NO, f"found {name!r}")
        return self._build_request(
            environ,
            headers,
            route,
            path,
            body,
            idempotent=headers.key is None,
            priority=self._choose_priority(headers, name),
            document=document,
            stream=bool(document.get("stream", False)),
            prefix=prefix_blocks(name, _prompt_text(document)),
        )

    def _read_service_request(
        self, environ: Environ, path: str
    ) -> CallerRequest | Refusal:
        name, _, service_path = path.removeprefix(SERVICES_PREFIX).partition("/")
        service = self._find_service(name)
        if service is None:
            return Refusal(
                Reason.UNKNOWN_PATH, Executed.NO, f"no service {name[:64]!r}"
            )
        method = str(environ.get("REQUEST_METHOD"))
        spec = _find_path_spec(service, f"/{service_path}", method)
        if isinstance(spec, Refusal):
            return spec
        headers = read_headers(environ, self._limits.max_deadline)
        if isinstance(headers, Refusal):
            return headers
        if not spec.idempotent and headers.key is None:
            detail = "allowed: with an Idempotency-Key header"
            return Refusal(Reason.KEY_MISSING, Executed.NO, detail)
        body = self._read_body(environ)
        if isinstance(body, Refusal):
            return body
        query = str(environ.get("QUERY_STRING", ""))
        return self._build_request(
            environ,
            headers,
            Route(RouteKind.SERVICE, name),
            quote(f"/{service_path}") + (f"?{query}" if query else ""),
            body,
            idempotent=spec.idempotent and headers.key is None,
            priority=DEFAULT_PRIORITY if headers.priority is None else headers.priority,
            unrun_statuses=frozenset(service.unrun_statuses),
        )

    def _build_request(
        self,
        environ: Environ,
        headers: CallerHeaders,
        route: Route,
        path: str,
        body: bytes,
        idempotent: bool,
        priority: int,
        document: dict[str, object] | None = None,
        stream: bool = False,
        prefix: tuple[str, ...] = (),
        unrun_statuses: frozenset[int] = frozenset(),
    ) -> CallerRequest:
        now = self._clock.elapsed()
        allowed = headers.deadline or self._limits.default_deadline
        return CallerRequest(
            request_id=uuid.uuid4().hex,
            caller=headers.caller,
            route=route,
            method=str(environ.get("REQUEST_METHOD")),
            path=path,
            priority=priority,
            received_at=now,
            deadline=now + allowed,
            idempotent=idempotent,
            key=headers.key,
            body=body,
            document=document or {},
            stream=stream,
            content_type=str(environ.get("CONTENT_TYPE") or "application/octet-stream"),
            unrun_statuses=unrun_statuses,
            prefix_blocks=prefix,
        )

    def _read_body(self, environ: Environ) -> bytes | Refusal:
        max_bytes = self._limits.max_body
        length = str(environ.get("CONTENT_LENGTH") or "0")
        if int(length) > max_bytes:
            detail = f"found {length} bytes, allowed: up to {max_bytes}"
            return Refusal(Reason.BODY_TOO_LARGE, Executed.NO, detail)
        stream = cast(BinaryIO, environ["wsgi.input"])
        return stream.read(int(length))

    def _choose_priority(self, headers: CallerHeaders, name: str) -> int:
        if headers.priority is not None:
            return headers.priority
        return declared_priority(self._picture.deployment, name)

    def _find_service(self, name: str) -> PlainServiceSpec | None:
        services = self._picture.deployment.plain_services
        return next((s for s in services if s.name == name), None)


def declared_priority(deployment: Deployment, name: str) -> int:
    """Return the priority of a request that states none."""
    return deployment.priority_by_model.get(name, DEFAULT_PRIORITY)


def _decode_body(path: str, body: bytes) -> dict[str, object] | Refusal:
    try:
        BODY_MODELS[path].validate_json(body)
        return msgspec.json.decode(body, type=dict[str, object])
    except ValidationError as error:
        return Refusal(
            Reason.BAD_JSON, Executed.NO, "; ".join(format_validation_errors(error))
        )
    except msgspec.MsgspecError as error:
        return Refusal(Reason.BAD_JSON, Executed.NO, str(error))


def _find_path_spec(
    service: PlainServiceSpec, path: str, method: str
) -> PathSpec | Refusal:
    if any(part in (".", "..") for part in path.split("/")):
        return Refusal(Reason.UNKNOWN_PATH, Executed.NO, f"found {path[:80]!r}")
    matching = [spec for spec in service.paths if _path_matches(spec, path)]
    if not matching:
        return Refusal(Reason.UNKNOWN_PATH, Executed.NO, f"found {path[:80]!r}")
    for spec in matching:
        if method in spec.methods:
            return spec
    allowed = sorted({method for spec in matching for method in spec.methods})
    return Refusal(Reason.BAD_METHOD, Executed.NO, f"allowed: {', '.join(allowed)}")


def _path_matches(spec: PathSpec, path: str) -> bool:
    if spec.path.endswith("*"):
        return path.startswith(spec.path[:-1])
    return path == spec.path


def _prompt_text(document: Mapping[str, object]) -> str:
    prompt = document.get("prompt")
    if isinstance(prompt, str):
        return prompt
    messages = document.get("messages")
    if not isinstance(messages, list):
        return ""
    return "\n".join(str(message.get("content", "")) for message in messages)
