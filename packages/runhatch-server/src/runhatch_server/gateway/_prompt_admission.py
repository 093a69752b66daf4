"""Admission of prompts that need a permit of their target's owner.

A request is sent to the target with the earliest predicted first byte that permits its
prompt. A target that denies it is left out until it has room again.
"""

from collections.abc import Callable
from datetime import timedelta

from runhatch_server.decisions import (
    MIN_START_SLACK,
    GatewayRequest,
    LoadBook,
    PermitState,
    ScoredTarget,
    request_tier,
    stream_pause_limit_ms,
)
from runhatch_server.gateway._held import HoldDecision
from runhatch_server.gateway._prompt_permits import (
    ANSWER_TIMEOUT,
    PromptPermit,
    PromptPermits,
)
from runhatch_server.gateway._search import (
    NoPermit,
    PromptPermitNeeded,
    TargetSearch,
)
from runhatch_server.refusals import Reason
from runhatch_server.routing import EngineSpec, RequestKind

MAX_QUEUED_TIME = timedelta(seconds=20)
"""Longest time for which a queued request waits for its permit. Its owner denies it
earlier; this bounds the wait if that answer is lost."""
LOST_ANSWER_DELAY = timedelta(milliseconds=500)
"""Time after which the answer to a queued request counts as lost, beyond the time in
which it could still be in time."""

FindBest = Callable[[int, float], ScoredTarget]
"""Returns the best target for a tier and a maximum stream pause in milliseconds."""


class PromptAdmission:
    """Decides the next step of a request that needs a permit for its prompt.

    The caller holds the lock that guards ``book``.
    """

    def __init__(self, book: LoadBook, is_enabled: bool) -> None:
        self._book = book
        self._is_enabled = is_enabled
        self.permits: PromptPermits | None = None
        """Permits of this node, ``None`` until the peers are known."""

    def applies(
        self,
        request: GatewayRequest,
        engine: EngineSpec | None,
        max_gap: timedelta | None,
    ) -> bool:
        """Return whether the prompt of ``request`` needs a permit of its target.

        Without a limit for the pauses of streams there is nothing to protect.
        """
        is_possible = self._is_enabled and self.permits is not None
        has_streams = engine is not None and max_gap is not None
        return is_possible and request.work is not None and has_streams

    def next_step(
        self,
        search: TargetSearch,
        engine: EngineSpec,
        max_gap: timedelta,
        find_best: FindBest,
        now: timedelta,
    ) -> PromptPermit | PromptPermitNeeded | HoldDecision | NoPermit | None:
        """Return the permit if there is one, else what to do next.

        Returns ``None`` if the owner is silent, so that the request is admitted without
        a permit.
        """
        permit = search.prompt_permit
        if permit is not None and self._has_lost_owner(permit):
            # Its queue has ended with it; the next owner is asked.
            self.stop(search)
            permit = None
        if permit is None:
            tier = request_tier(search.request)
            best = find_best(tier, float("inf"))
            limit_ms = stream_pause_limit_ms(max_gap, tier)
            load = self._book.load(best.target.incarnation)
            event_ms = engine.event_tokens * load.step_ms * best.work_time_factor
            return PromptPermitNeeded(best, max(0.0, limit_ms - event_ms), event_ms)
        assert self.permits is not None
        search.seen_prompt_answer = permit.answer
        match permit.state:
            case PermitState.GRANTED:
                return permit
            case PermitState.DENIED:
                assert permit.answer is not None
                until = now + permit.answer.retry_after
                self.permits.release(permit)
                search.prompt_permit = None
                search.is_prompt_denied = True
                return NoPermit(permit.target, until)
            case PermitState.QUEUED:
                return self._wait_in_queue(search, permit, now)
        left = permit.requested_at + ANSWER_TIMEOUT - now
        if left > timedelta():
            return HoldDecision(now + left * 2, Reason.TOO_BUSY, recheck_interval=left)
        self.permits.record_unanswered(permit)
        search.prompt_permit = None
        return None

    def request(
        self, search: TargetSearch, needed: PromptPermitNeeded, now: timedelta
    ) -> bool:
        """Request the permit; return whether the owner is expected to answer.

        Must not be called under the lock that guards the loads.
        """
        assert self.permits is not None
        request, best = search.request, needed.best
        base = timedelta(milliseconds=self._book.rates.base_ms * best.work_time_factor)
        in_time_by = request.goal_at
        if request.route.kind is not RequestKind.STREAM:
            in_time_by = request.deadline
        search.prompt_permit = self.permits.request(
            best.target.incarnation,
            best.work_ms,
            request_tier(request),
            needed.pause_limit_ms,
            needed.event_ms,
            max(timedelta(), in_time_by - now - base),
            max(timedelta(), request.start_deadline - MIN_START_SLACK - now - base),
        )
        return search.prompt_permit is not None

    def stop(self, search: TargetSearch) -> None:
        """Give up a permit that was not used."""
        if search.prompt_permit is not None and self.permits is not None:
            self.permits.release(search.prompt_permit)
            search.prompt_permit = None

    def _has_lost_owner(self, permit: PromptPermit) -> bool:
        """Return whether the request waits in the queue of a node that has ended."""
        assert self.permits is not None
        is_queued = permit.state is PermitState.QUEUED
        return is_queued and not self.permits.is_owner_alive(permit)

    def _wait_in_queue(
        self, search: TargetSearch, permit: PromptPermit, now: timedelta
    ) -> HoldDecision | NoPermit:
        assert self.permits is not None
        last = min(
            permit.requested_at + MAX_QUEUED_TIME,
            search.request.start_deadline + LOST_ANSWER_DELAY,
        )
        if now >= last:
            self.permits.release(permit)
            search.prompt_permit = None
            search.is_prompt_denied = True
            return NoPermit(permit.target, now + LOST_ANSWER_DELAY)
        return HoldDecision(last, Reason.TOO_BUSY, recheck_interval=last - now)
