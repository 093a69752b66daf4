"""Selection of the target of a request."""

import threading
from collections.abc import Callable, Iterator, Mapping
from datetime import timedelta

from runhatch_coordination import Clock
from runhatch_server.decisions import (
    BUSY_AVOIDANCE_DURATION,
    Admitted,
    GatewayRequest,
    LoadBook,
    NoCandidates,
    OutstandingRequest,
    Postponed,
    Rejected,
    ScoredTarget,
    Scorer,
    TriedTargets,
    choose_candidates,
    decide_admission,
    request_tier,
)
from runhatch_server.fleet import Target, TargetDirectory
from runhatch_server.gateway._grant import Grant
from runhatch_server.gateway._held import HeldRequests, HoldDecision
from runhatch_server.gateway._holders import find_holders, find_ready_targets
from runhatch_server.gateway._prompt_admission import PromptAdmission
from runhatch_server.gateway._prompt_permits import PromptPermit
from runhatch_server.gateway._rate_limits import RateLimits
from runhatch_server.gateway._refusal_builder import (
    RefusalBuilder,
    missing_target_retry_delay,
)
from runhatch_server.gateway._search import (
    NoPermit,
    PermitNeeded,
    PromptPermitNeeded,
    TargetSearch,
    find_awaited,
    use_permit,
)
from runhatch_server.refusals import Reason, Refusal
from runhatch_server.routing import ServiceSpec

MIN_CONNECTIONS = 4
"""Minimum number of connections that each node may open to a target, however many nodes
share the connections of the target."""


class TargetSelector:
    """Selects the targets of the requests of one node; thread-safe.

    ``lock`` guards ``book``, and is held while a target is chosen.
    """

    def __init__(
        self,
        directory: TargetDirectory,
        clock: Clock,
        book: LoadBook,
        lock: threading.Lock,
        scorer: Scorer,
        limits: RateLimits,
        prompts: PromptAdmission,
        held_requests: HeldRequests,
        refusal_builder: RefusalBuilder,
        numbers: Iterator[int],
        on_change: Callable[[], None],
    ) -> None:
        """``numbers`` are those of outstanding requests, shared with held ones.

        ``on_change`` is called when the outstanding load has changed.
        """
        self._directory = directory
        self._clock = clock
        self._book = book
        self._lock = lock
        self._scorer = scorer
        self._limits = limits
        self._prompts = prompts
        self._held_requests = held_requests
        self._refusal_builder = refusal_builder
        self._numbers = numbers
        self._on_change = on_change
        self.services: Mapping[str, ServiceSpec] = {}
        """The declared services, by name."""
        self.max_gaps: Mapping[str, timedelta] = {}
        """The longest acceptable pause between two events of a stream, by service."""
        self.node_count = 1
        """Number of nodes among which the targets' connections are divided."""

    def select(self, search: TargetSearch) -> Grant | Refusal | HoldDecision:
        """Return a grant, a refusal, or how long to hold the request."""
        while True:
            result = self._try_targets(search)
            if isinstance(result, PromptPermitNeeded):
                now = self._clock.elapsed()
                if not self._prompts.request(search, result, now):
                    search.needs_prompt_permit = False
                continue
            if not isinstance(result, PermitNeeded):
                return result
            search.permits_requested_at[result.target] = self._clock.elapsed()
            # Answered synchronously if this node allocates the target's permits itself.
            self._limits.request_permit(result.target, result.tier)

    def _try_targets(
        self, search: TargetSearch
    ) -> Grant | Refusal | HoldDecision | PermitNeeded | PromptPermitNeeded:
        request = search.request
        service = self.services.get(request.service)
        if service is None or not find_ready_targets(self._directory, request):
            delay = missing_target_retry_delay(request)
            return self._refusal_builder.refuse(Reason.NO_TARGET, delay)
        holders = find_holders(self._directory, request, request.adapter)
        if not holders:
            decision = self._held_requests.decide(request, search.place)
            if isinstance(decision, HoldDecision):
                return decision
            return self._refusal_builder.refuse(Reason.NO_REPLICA, decision.retry_after)
        self._limits.extend_brittleness(target.incarnation for target in holders)
        with self._lock:
            while True:
                result = self._choose_candidates(holders, search)
                if isinstance(result, NoCandidates):
                    return self._refuse_unwilling(search, result)
                chosen = self._choose_target(search, service, result)
                if not isinstance(chosen, NoPermit):
                    return chosen
                search.no_permit_until[chosen.target] = chosen.until

    def _choose_candidates(
        self, holders: list[Target], search: TargetSearch
    ) -> list[Target] | NoCandidates:
        now = self._clock.elapsed()

        def available_at(target: str) -> timedelta:
            limit_available_at = self._limits.available_at(target, search.tier, now)
            return max(
                limit_available_at,
                search.no_permit_until.get(target, limit_available_at),
            )

        result = choose_candidates(
            holders, search.tried, self._book.load, now, available_at
        )
        awaited = find_awaited(self._limits, search, holders)
        if not awaited or not isinstance(result, NoCandidates):
            return result
        return choose_candidates(
            awaited, search.tried, self._book.load, now, lambda target: now
        )

    def _choose_target(
        self, search: TargetSearch, service: ServiceSpec, targets: list[Target]
    ) -> Grant | Refusal | HoldDecision | PermitNeeded | PromptPermitNeeded | NoPermit:
        now = self._clock.elapsed()
        request = search.request

        def find_best(tier: int, allowed_ms: float) -> ScoredTarget:
            return self._scorer.find_best(
                request, service, targets, tier, now, search.place, allowed_ms
            )

        max_gap = self.max_gaps.get(request.service)
        if search.needs_prompt_permit and self._prompts.applies(
            request, service.engine, max_gap
        ):
            assert service.engine is not None
            assert max_gap is not None
            step = self._prompts.next_step(
                search, service.engine, max_gap, find_best, now
            )
            if isinstance(step, PromptPermit):
                return self._use_prompt_permit(search, service, targets, step, now)
            if step is not None:
                return step
            search.needs_prompt_permit = False
        match decide_admission(request, max_gap, find_best, now):
            case Admitted(best, tier):
                blocked = use_permit(
                    self._limits, search, best.target.incarnation, tier, now
                )
                if blocked is not None:
                    return blocked
                return self._grant(request, service, best, tier, now)
            case Postponed(best, pause, until):
                return HoldDecision(until, Reason.TOO_BUSY, recheck_interval=pause)
            case Rejected(reason, best, after):
                return self._refusal_builder.refuse(reason, after, best)

    def _refuse_unwilling(self, search: TargetSearch, found: NoCandidates) -> Refusal:
        if search.is_prompt_denied:
            return self._refusal_builder.refuse(Reason.TOO_BUSY, found.retry_after)
        return self._refusal_builder.refuse_unwilling(found)

    def _use_prompt_permit(
        self,
        search: TargetSearch,
        service: ServiceSpec,
        targets: list[Target],
        permit: PromptPermit,
        now: timedelta,
    ) -> Grant | HoldDecision | PermitNeeded | NoPermit:
        """Send the request to the target that permits its prompt."""
        target = next((t for t in targets if t.incarnation == permit.target), None)
        if target is None:
            # It ended or refused others while the request waited.
            self._prompts.stop(search)
            return NoPermit(permit.target, now + BUSY_AVOIDANCE_DURATION)
        assert permit.answer is not None
        tier = permit.answer.tier
        blocked = use_permit(self._limits, search, permit.target, tier, now)
        if blocked is not None:
            return blocked
        best = self._scorer.score(
            search.request, service, target, tier, now, search.place
        )
        search.prompt_permit = None
        return self._grant(search.request, service, best, tier, now, permit)

    def _grant(
        self,
        request: GatewayRequest,
        service: ServiceSpec,
        best: ScoredTarget,
        tier: int,
        now: timedelta,
        prompt_permit: PromptPermit | None = None,
    ) -> Grant:
        number = next(self._numbers)
        tokens = 0
        if request.work is not None:
            tokens = request.work.prompt_tokens + request.work.expected_output_tokens
        load = self._book.load(best.target.incarnation)
        load.record_sent(best.work_ms, now)
        load.own_requests[number] = OutstandingRequest(
            best.work_ms,
            tokens,
            now,
            best.predicted_ms,
            tier,
            best.uncached_tokens,
            best.queue_ms,
            best.work_time_factor,
        )
        self._on_change()
        max_connections = service.max_connections // max(1, self.node_count)
        return Grant(
            number,
            best.target,
            request,
            best.predicted_ms,
            now,
            tier,
            best.busy,
            best.pause_ms,
            max(MIN_CONNECTIONS, max_connections),
            prompt_permit=prompt_permit,
            work_time_factor=best.work_time_factor,
        )

    def refusal_for_retry(
        self, request: GatewayRequest, tried: TriedTargets
    ) -> Refusal | None:
        """Return a refusal if every target with the model rejects a retry now.

        Returns ``None`` if one may accept it, or if no target holds the model.
        """
        holders = find_holders(self._directory, request, request.adapter)
        if not holders:
            return None
        with self._lock:
            result = self._choose_candidates(
                holders, TargetSearch(request, tried, request_tier(request))
            )
        if isinstance(result, NoCandidates):
            return self._refusal_builder.refuse_unwilling(result)
        return None
