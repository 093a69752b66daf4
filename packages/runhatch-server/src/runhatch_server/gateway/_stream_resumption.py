"""Limit requests that continue a stream to the software version that began it."""

from dataclasses import replace
from datetime import timedelta

from runhatch_server.decisions import GatewayRequest
from runhatch_server.gateway._grant import Grant
from runhatch_server.gateway._stream_versions import StreamVersionSource
from runhatch_server.refusals import Executed, Reason, Refusal

UNKNOWN_STREAM_RETRY_DELAY = timedelta(milliseconds=250)
"""Retry delay of a caller that resumes a stream unknown here: its retry reaches another
node, or finds the record that is on its way to this one."""


def require_resumed_version(
    request: GatewayRequest, versions: StreamVersionSource
) -> GatewayRequest | Refusal:
    """Return ``request``, limited to a version if its caller resumes a stream.

    An unknown version is not guessed: the stream would be corrupted unnoticed.
    """
    if not request.is_resumption or request.software_version is not None:
        return request
    version = versions.find_version(request.resumes, request.service)
    if version is None:
        return Refusal(
            Reason.STREAM_UNKNOWN, Executed.NO, retry_after=UNKNOWN_STREAM_RETRY_DELAY
        )
    return replace(request, software_version=version)


def record_begun_stream(
    request: GatewayRequest, grant: Grant, versions: StreamVersionSource
) -> GatewayRequest:
    """Record which version began a stream; return ``request`` limited to it.

    A resumed stream is recorded under the attempt that it resumes as well, which the
    caller names when it resumes again.
    """
    version = grant.software_version
    if version is None:
        return request
    if request.is_resumption and request.resumes:
        versions.record_begun(request.resumes, request.service, version)
    versions.record_begun(request.attempt_id, request.service, version)
    return replace(request, software_version=version)


def require_begun_version(
    request: GatewayRequest, versions: StreamVersionSource
) -> GatewayRequest | None:
    """Return ``request`` limited to the version that sent its first event.

    Return ``None`` if this is not known, as a peer of an earlier release began it.
    """
    if request.software_version is not None:
        return request
    version = versions.find_version(request.attempt_id, request.service)
    return None if version is None else replace(request, software_version=version)
