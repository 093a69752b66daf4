"""State of the search of one request for a target, and its use of permits."""

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
    """A request that needs a target, and the results of its search so far."""

    request: GatewayRequest
    tried: Tried
    tier: int
    place: HeldPlace | None = None
    """The place in this node's queue, set once the request waits."""
    asked: dict[str, timedelta] = field(default_factory=dict)
    """When a permit was requested, by target."""
    closed: dict[str, timedelta] = field(default_factory=dict)
    """Until when no permit is available, by target."""


@dataclass(frozen=True, slots=True)
class PermitWanted:
    """The request needs a permit of ``target``, and has to request one."""

    target: str
    tier: int


@dataclass(frozen=True, slots=True)
class Closed:
    """``target`` has no permit for the request before ``until``."""

    target: str
    until: timedelta


def use_permit(
    limits: RateLimits, search: Search, target: str, tier: int, now: timedelta
) -> Wait | PermitWanted | Closed | None:
    """Use a permit if ``target`` is limited.

    Return ``None`` if the request may be sent, else the next step.
    """
    asked_at = search.asked.get(target)
    if limits.take(target, asked_at is not None):
        return None
    opens_at = limits.opens_at(target, tier, now)
    if opens_at > now:
        return Closed(target, opens_at)
    if asked_at is None:
        return PermitWanted(target, tier)
    longest_wait = min(ASK_PATIENCE, search.request.route.goal / 2)
    left = asked_at + longest_wait - now
    if left > timedelta():
        return Wait(now + 2 * ASK_PATIENCE, Reason.TARGETS_LIMITED, look_after=left)
    limits.unanswered(target, tier)
    return Closed(target, now + UNANSWERED_PAUSE)
