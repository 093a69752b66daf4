"""Targets of the directory that may serve a request."""

from runhatch_server.decisions import GatewayRequest, select_version
from runhatch_server.fleet import Target, TargetDirectory


def find_ready_targets(
    directory: TargetDirectory, request: GatewayRequest
) -> list[Target]:
    """Return the targets that accept requests and may serve ``request``."""
    ready = directory.ready_targets(request.service)
    return select_version(ready, request.software_version)


def find_holders(
    directory: TargetDirectory, request: GatewayRequest, adapter: str
) -> list[Target]:
    """Return those of them that hold the model of ``request``, with ``adapter``."""
    holders = directory.holders(request.service, request.model, adapter)
    return select_version(holders, request.software_version)
