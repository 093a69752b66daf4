"""A place for a request at a target."""

from dataclasses import dataclass
from datetime import timedelta

from runhatch_server.decisions import GatewayRequest
from runhatch_server.fleet import Target


@dataclass(frozen=True, slots=True)
class Grant:
    """A place for one request at one target; must be given back by ``released``."""

    number: int
    target: Target
    request: GatewayRequest
    predicted_ms: float
    granted_at: timedelta
    tier: int
    busy: float
    pause_ms: float
    most_connections: int
