"""The assignment of a request to a target."""

from dataclasses import dataclass
from datetime import timedelta

from runhatch_server.decisions import GatewayRequest
from runhatch_server.fleet import Target
from runhatch_server.gateway._prompt_permits import PromptPermit


@dataclass(frozen=True, slots=True)
class Grant:
    """Permission to send one request to one target.

    The holder must end it by ``Balancer.release`` or one of its variants.  If
    ``is_to_peer``, ``target`` stands for a peer that chooses the target, and whose
    balancer counts the request.
    ``predicted_ms``, ``busy``, ``pause_ms`` and ``work_time_factor`` are those of its
    :class:`~runhatch_server.decisions.ScoredTarget`.
    """

    number: int
    target: Target
    request: GatewayRequest
    predicted_ms: float
    granted_at: timedelta
    tier: int
    busy: float
    pause_ms: float
    max_connections: int
    is_to_peer: bool = False
    prompt_permit: PromptPermit | None = None
    """The permit for its prompt, which is released when it begins or ends."""
    peer_software_version: str | None = None
    """Software version of the target that a peer chose, ``None`` if not stated."""
    work_time_factor: float | None = None
    """``None`` if a peer chose the target."""

    @property
    def software_version(self) -> str | None:
        """Software version of the target that serves the request, if known."""
        if self.is_to_peer:
            return self.peer_software_version
        return self.target.software_version
