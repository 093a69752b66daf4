"""Headers of requests that one node forwards to another, and of their refusals.

Only nodes exchange them: the server that accepts forwarded requests is not reachable
by callers, and neither targets nor callers are sent any of them.
"""

from collections.abc import Mapping
from dataclasses import dataclass, replace
from datetime import timedelta
from urllib.parse import quote, unquote

from runhatch_server.decisions import GatewayRequest, Headers
from runhatch_server.gateway._messages import AnswerHead
from runhatch_server.refusals import Executed, Reason, Refusal

AGE_HEADER = "gateway-request-age-ms"
"""Time since the node received the request from the caller."""
SERVICE_HEADER = "gateway-request-service"
"""The service that the node chose for the request."""
VERSION_HEADER = "gateway-request-software-version"
"""The software version of the targets that may serve the request, percent-encoded; in
an answer, that of the target that began it."""
WORKSPACE_HEADER = "gateway-request-workspace"
"""The name of the request's workspace, percent-encoded; the key itself is not sent."""
REFUSAL_HEADER = "gateway-refusal"
"""The code of the reason for which the peer refused the request."""
EXECUTED_HEADER = "gateway-refusal-executed"
"""Whether the refused request may have run."""
RETRY_AFTER_HEADER = "retry-after"

REQUEST_HEADERS = frozenset(
    {AGE_HEADER, SERVICE_HEADER, VERSION_HEADER, WORKSPACE_HEADER}
)
REASONS = {reason.code: reason for reason in Reason}


@dataclass(frozen=True, slots=True)
class ForwardedBy:
    """What a node states about a request that it forwards."""

    age: timedelta
    service: str
    software_version: str | None = None
    workspace: str = ""


def encode_forwarded(
    request: GatewayRequest, headers: Headers, now: timedelta
) -> Headers:
    """Return ``headers`` of ``request`` with those for the peer that receives it."""
    kept = tuple(pair for pair in headers if pair[0].lower() not in REQUEST_HEADERS)
    age_ms = round((now - request.received_at) / timedelta(milliseconds=1))
    stated: Headers = (
        *kept,
        (AGE_HEADER, str(age_ms)),
        (SERVICE_HEADER, request.service),
    )
    stated += _encode_version(request.software_version)
    if request.workspace is not None:
        name = quote(request.workspace.name, safe="")
        stated += ((WORKSPACE_HEADER, name),)
    return stated


def decode_forwarded(headers: Mapping[str, str]) -> ForwardedBy | None:
    """Return what the forwarding node states, ``None`` if it states nothing valid."""
    age = headers.get(AGE_HEADER, "")
    if not age.isdecimal():
        return None
    return ForwardedBy(
        timedelta(milliseconds=int(age)),
        headers.get(SERVICE_HEADER, ""),
        _decode_version(headers.get(VERSION_HEADER)),
        unquote(headers.get(WORKSPACE_HEADER, "")),
    )


def apply_forwarded(request: GatewayRequest, by: ForwardedBy) -> GatewayRequest:
    """Return ``request`` as received from a node by which it was forwarded.

    Its times count from its receipt from the caller, and the service that the node
    chose keeps the shares of the route.
    """
    received_at = request.received_at - by.age
    is_service = any(share.service == by.service for share in request.route.shares)
    deadline = min(request.deadline, received_at + request.route.timeout)
    return replace(
        request,
        service=by.service if is_service else request.service,
        forwarded_headers=tuple(
            pair for pair in request.forwarded_headers if pair[0] not in REQUEST_HEADERS
        ),
        received_at=received_at,
        goal_at=min(received_at + request.route.goal, deadline),
        deadline=deadline,
        is_forwarded=True,
        software_version=by.software_version,
    )


def encode_peer_answer(headers: Headers, software_version: str | None) -> Headers:
    """Return ``headers`` of an answer with the version of the target that began it."""
    kept = tuple(pair for pair in headers if pair[0].lower() != VERSION_HEADER)
    return (*kept, *_encode_version(software_version))


def decode_peer_answer(head: AnswerHead) -> tuple[AnswerHead, str | None]:
    """Return ``head`` as the target sent it, and the version that the peer states."""
    headers = {name.lower(): value for name, value in head.forwarded}
    kept = tuple(pair for pair in head.forwarded if pair[0].lower() != VERSION_HEADER)
    version = _decode_version(headers.get(VERSION_HEADER))
    return replace(head, forwarded=kept), version


def encode_peer_refusal(refusal: Refusal) -> Headers:
    """Return the headers by which the forwarding node recognizes ``refusal``."""
    return (
        (REFUSAL_HEADER, refusal.reason.code),
        (EXECUTED_HEADER, refusal.executed.value),
    )


def decode_peer_refusal(head: AnswerHead) -> Refusal | None:
    """Return the refusal of a peer, ``None`` if ``head`` is not that of a refusal.

    An answer that a target confirms is the target's, whatever headers it has.
    """
    headers = {name.lower(): value for name, value in head.forwarded}
    reason = REASONS.get(headers.get(REFUSAL_HEADER, ""))
    if reason is None or head.is_authentic:
        return None
    is_unrun = headers.get(EXECUTED_HEADER) == Executed.NO.value
    return Refusal(
        reason,
        Executed.NO if is_unrun else Executed.UNKNOWN,
        retry_after=_decode_retry_after(headers.get(RETRY_AFTER_HEADER)),
    )


def _encode_version(software_version: str | None) -> Headers:
    if software_version is None:
        return ()
    return ((VERSION_HEADER, quote(software_version, safe="")),)


def _decode_version(value: str | None) -> str | None:
    return None if value is None else unquote(value)


def _decode_retry_after(value: str | None) -> timedelta | None:
    try:
        return None if value is None else timedelta(seconds=float(value))
    except (ValueError, OverflowError):
        return None
