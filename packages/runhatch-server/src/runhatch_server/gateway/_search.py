"""State of a request's search for a target, and its use of permits."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import timedelta

from runhatch_server.decisions import (
    GatewayRequest,
    HeldRequest,
    PromptAnswer,
    ScoredTarget,
    TriedTargets,
)
from runhatch_server.fleet import Target
from runhatch_server.gateway._held import HoldDecision
from runhatch_server.gateway._prompt_permits import PromptPermit
from runhatch_server.gateway._rate_limits import (
    PERMIT_REQUEST_TIMEOUT,
    UNANSWERED_RETRY_DELAY,
    RateLimits,
)
from runhatch_server.refusals import Reason


@dataclass(slots=True)
class TargetSearch:
    """A request that needs a target, and the results of its search so far."""

    request: GatewayRequest
    tried: TriedTargets
    tier: int
    place: HeldRequest | None = None
    """The request in the queue of held ones, set once it waits."""
    permits_requested_at: dict[str, timedelta] = field(default_factory=dict)
    """When a permit was requested, by target."""
    no_permit_until: dict[str, timedelta] = field(default_factory=dict)
    """Until when no permit is available, by target."""
    needs_prompt_permit: bool = True
    """Whether to request permits for its prompt; not if their owner was silent."""
    prompt_permit: PromptPermit | None = None
    """The permit for the prompt, requested and not yet used."""
    seen_prompt_answer: PromptAnswer | None = None
    """The answer to ``prompt_permit`` as of the last search."""
    is_prompt_denied: bool = False
    """Whether a permit for the prompt was denied by any target."""

    @property
    def has_new_prompt_answer(self) -> bool:
        """Whether the owner has answered since the last search."""
        permit = self.prompt_permit
        return permit is not None and permit.answer is not self.seen_prompt_answer


@dataclass(frozen=True, slots=True)
class PermitNeeded:
    """The request needs a permit of ``target``, and has to request one."""

    target: str
    tier: int


@dataclass(frozen=True, slots=True)
class PromptPermitNeeded:
    """The request needs a permit for its prompt at the target of ``best``.

    An event of a stream there takes ``event_ms`` while no prompts are read, and may
    take ``pause_limit_ms`` longer.
    """

    best: ScoredTarget
    pause_limit_ms: float
    event_ms: float


@dataclass(frozen=True, slots=True)
class NoPermit:
    """``target`` has no permit for the request before ``until``."""

    target: str
    until: timedelta


def find_awaited(
    limits: RateLimits, search: TargetSearch, targets: Iterable[Target]
) -> list[Target]:
    """Return those of ``targets`` whose permits the request still waits for.

    Another request of this node was denied one, but permits go to any request.
    """
    return [
        target
        for target in targets
        if target.incarnation in search.permits_requested_at
        and target.incarnation not in search.no_permit_until
        and limits.keeps_waiting(target.incarnation)
    ]


def use_permit(
    limits: RateLimits, search: TargetSearch, target: str, tier: int, now: timedelta
) -> HoldDecision | PermitNeeded | NoPermit | None:
    """Use a permit if ``target`` is limited.

    Return ``None`` if the request may be sent, else the next step.
    """
    requested_at = search.permits_requested_at.get(target)
    if limits.use_permit(target, requested_at is not None):
        return None
    opens_at = limits.available_at(target, tier, now)
    waits_on = requested_at is not None and limits.keeps_waiting(target)
    if opens_at > now and not waits_on:
        return NoPermit(target, opens_at)
    if requested_at is None:
        return PermitNeeded(target, tier)
    longest_wait = min(PERMIT_REQUEST_TIMEOUT, search.request.route.goal / 2)
    left = requested_at + longest_wait - now
    if left > timedelta():
        return HoldDecision(
            now + 2 * PERMIT_REQUEST_TIMEOUT,
            Reason.TARGETS_LIMITED,
            recheck_interval=left,
        )
    limits.record_unanswered(target, tier)
    return NoPermit(target, now + UNANSWERED_RETRY_DELAY)
