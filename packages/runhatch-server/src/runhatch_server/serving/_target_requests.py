"""Builds the requests that are sent to targets for callers' requests."""

from collections.abc import Mapping

import msgspec

from runhatch_server.serving._placement_cache import Host
from runhatch_server.serving._request import CallerRequest
from runhatch_server.targets import TargetRequest

ENGINE_NOT_RUN_STATUSES = frozenset({404, 429, 503})
"""Statuses of engines that mean that the request was not run."""
LOAD_FORMAT_HEADER = "endpoint-load-metrics-format"


def attempt_id(request: CallerRequest, attempt: int) -> str:
    """Return the id that is sent to the target for one attempt."""
    return f"{request.request_id}.{attempt}"


def build_target_request(
    request: CallerRequest,
    host: Host,
    attempt: int,
    continuation: Mapping[str, object] | None = None,
) -> TargetRequest:
    """Return the request for one attempt at ``host``.

    ``continuation`` replaces the document to request the rest of a broken stream.
    """
    if request.is_model:
        sent_id = attempt_id(request, attempt)
        return _engine_request(request, host, sent_id, continuation)
    headers = {"Content-Type": request.content_type}
    if request.key is not None:
        headers["Idempotency-Key"] = request.key
    return TargetRequest(
        host.url,
        request.method,
        request.path,
        request.body,
        headers,
        attempt_id(request, attempt),
        request.deadline,
        request.unrun_statuses,
        requires_id_echo=False,
    )


def _engine_request(
    request: CallerRequest,
    host: Host,
    sent_id: str,
    document: Mapping[str, object] | None,
) -> TargetRequest:
    sent = {**(document or request.document), "model": host.unit}
    headers = {
        "Content-Type": "application/json",
        "Priority": f"u={request.priority}",
        LOAD_FORMAT_HEADER: "JSON",
    }
    return TargetRequest(
        host.url,
        "POST",
        request.path,
        msgspec.json.encode(sent),
        headers,
        sent_id,
        request.deadline,
        ENGINE_NOT_RUN_STATUSES,
    )


def build_resume_request(
    request: CallerRequest, host: Host, sent_id: str, last_event: bytes
) -> TargetRequest:
    """Return the request for the events of a stream after ``last_event``."""
    return TargetRequest(
        host.url,
        "GET",
        f"/v1/streams/{sent_id}",
        b"",
        {"Last-Event-ID": last_event.decode("latin-1")},
        sent_id,
        request.deadline,
        ENGINE_NOT_RUN_STATUSES,
    )
