"""The search for a place for one request, over as many looks as it takes."""

from dataclasses import dataclass, field
from datetime import timedelta

from runhatch_server.decisions import GatewayRequest, HeldPlace, Tried
from runhatch_server.gateway._held import Wait
from runhatch_server.gateway._rate_limits import (
    ASK_PATIENCE,
    UNANSWERED_PAUSE,
    RateLimits,
)
from runhatch_server.refusals import Reason


@dataclass(slots=True)
class Search:
    """A request that looks for a place, and what it has met so far."""

    request: GatewayRequest
    tried: Tried
    tier: int
    place: HeldPlace | None = None
    """Set once it waits on this node."""
    asked: dict[str, timedelta] = field(default_factory=dict)
    """When a permit of each target was asked for."""
    closed: dict[str, timedelta] = field(default_factory=dict)
    """Until when limited targets have no permit for it."""


@dataclass(frozen=True, slots=True)
class PermitWanted:
    """A permit of ``target`` is to be asked for."""

    target: str
    tier: int


@dataclass(frozen=True, slots=True)
class Closed:
    """``target`` has no permit for the request until then."""

    target: str
    until: timedelta


def use_permit(
    limits: RateLimits, search: Search, target: str, tier: int, now: timedelta
) -> Wait | PermitWanted | Closed | None:
    """Use a permit if ``target`` is limited; return what to do without one."""
    asked_at = search.asked.get(target)
    if limits.take(target, asked_at is not None):
        return None
    opens_at = limits.opens_at(target, tier, now)
    if opens_at > now:
        return Closed(target, opens_at)
    if asked_at is None:
        return PermitWanted(target, tier)
    patience = min(ASK_PATIENCE, search.request.route.goal / 2)
    left = asked_at + patience - now
    if left > timedelta():
        return Wait(now + 2 * ASK_PATIENCE, Reason.TARGETS_LIMITED, look_after=left)
    limits.unanswered(target, tier)
    return Closed(target, now + UNANSWERED_PAUSE)
