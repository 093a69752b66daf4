"""Predicts when each target would begin to answer, and selects the best target."""

import random
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from runhatch_server.decisions._load import (
    LATE_TIER,
    MAX_CACHE_FILL_SHARE,
    LoadShare,
)
from runhatch_server.decisions._load_book import LoadBook
from runhatch_server.decisions._request import GatewayRequest, ModelWork
from runhatch_server.fleet import Target
from runhatch_server.routing import EngineSpec, ServiceSpec

REMOTE_DOMAIN_PENALTY_MS = 3.0
"""Penalty for a target in another failure domain: the network round trip and the
price of the traffic."""
NEW_CONNECTION_PENALTY_MS = 8.0
"""Penalty for a new connection: a millisecond or more at the target, a slot that may
be occupied meanwhile, and its price."""
FAULT_PENALTY_FACTOR = 1.5
"""Penalty for a failed request, as a multiple of the request's goal."""
SILENT_PENALTY_MS = 10_000.0
"""Penalty for a silent target, large enough that any other target is preferred."""
SLOW_START_FACTOR = 1.5
"""Factor on the prediction for a target that is still in slow start."""
TYPICAL_RUN_MS = 1_500.0
"""Typical time between first and last token. A request that finds no free slot waits
until another one ends."""
CHUNK_TOKENS = 2_048
"""Prompt tokens that an engine reads between two tokens of its streams."""
MAX_BUSY_SHARE = 0.98
"""Upper bound of the busy share of an engine that predictions use."""
ARRIVING_SHARE = 0.5
"""Share of the recent prompt rate expected to continue while a queue is read. Counting
all of it refuses requests that would have been served on time; counting none admits
some that are not."""
SCORE_JITTER = 0.03
"""Random variation of scores, so that nodes with equal information do not all choose
the same target."""
SUMMED_LOAD_JITTER = 0.2
"""Variation used when loads are sums over many nodes, which are about 0.2 s old. With
less, all nodes would send their prompts to the target that was least busy then."""


@dataclass(slots=True)
class HeldRequest:
    """A request that waits for ``target`` to load its model.

    ``number`` is its key among the outstanding requests of this node, ``held_since``
    the time at which it was first held.
    """

    number: int
    held_since: timedelta
    target: str = ""


@dataclass(frozen=True, slots=True)
class ScoredTarget:
    """A target scored for a request; the lowest ``score`` is the best.

    Times are in milliseconds. ``predicted_ms`` is the time to the first byte, of which
    ``work_ms`` is spent on reading this prompt. ``busy`` is the share of the target's
    time that recently sent prompts take, and ``token_ms`` the time between two tokens
    of an answer. ``pause_ms`` is the longest pause of streams at the target while it
    reads its queued prompts.
    """

    target: Target
    score: float
    predicted_ms: float
    work_ms: float
    busy: float = 0.0
    token_ms: float = 0.0
    pause_ms: float = 0.0
    uncached_tokens: int = 0
    """Prompt tokens that are not cached at the target."""
    queue_ms: float = 0.0
    """Prompt reading queued at the target, of all tiers."""
    work_time_factor: float = 1.0
    """How long work is expected to take, relative to the usual time."""


class Scorer:
    """Scores targets for requests; guarded by the balancer's lock."""

    def __init__(
        self,
        book: LoadBook,
        failure_domain: str,
        has_connection: Callable[[str], bool],
        seed: int | None,
    ) -> None:
        self._book = book
        self._failure_domain = failure_domain
        self._has_connection = has_connection
        self._random = random.Random(seed)

    def find_best(
        self,
        request: GatewayRequest,
        service: ServiceSpec,
        targets: list[Target],
        tier: int,
        now: timedelta,
        place: HeldRequest | None,
        max_pause_ms: float,
    ) -> ScoredTarget:
        """Return the best of ``targets``, which must not be empty.

        Targets whose streams would pause for at most ``max_pause_ms`` are preferred
        to all others; among equals the lowest score wins.
        """
        scored = [self.score(request, service, t, tier, now, place) for t in targets]
        return min(scored, key=lambda each: (each.pause_ms > max_pause_ms, each.score))

    def score(
        self,
        request: GatewayRequest,
        service: ServiceSpec,
        target: Target,
        tier: int,
        now: timedelta,
        place: HeldRequest | None,
    ) -> ScoredTarget:
        """Return the score and predictions for sending ``request`` to ``target``."""
        load = self._book.load(target.incarnation)
        total = load.total(now)
        factor = load.work_time.current_factor(now)
        uncached = 0
        work_ms = 0.0
        token_ms = 0.0
        pause_ms = 0.0
        if request.work is not None and service.engine is not None:
            uncached = self._book.count_uncached_tokens(
                target.incarnation, request.work
            )
            rates = self._book.rates
            work_ms = rates.prompt_ms(request.work.model, uncached) * factor
            base_ms = rates.base_ms * factor
            predicted_ms = _engine_ms(
                service.engine, request.work, total, base_ms + work_ms, tier
            )
            predicted_ms *= load.slowness_factor(now)
            chunk_ms = rates.prompt_ms(request.work.model, CHUNK_TOKENS) * factor
            step_ms = load.step_ms * factor
            token_ms = _token_ms(total.busy, chunk_ms, step_ms)
            pause_ms = _pause_ms(service.engine, step_ms, total, work_ms, chunk_ms)
            if place is not None or tier == LATE_TIER:
                since = now if place is None else place.held_since
                predicted_ms += load.held_ahead_ms(since, now)
        else:
            usual_ms = self._book.rates.service_ms(request.route.name) * factor
            excess = max(0, total.waiting + total.running + 1 - target.slots)
            predicted_ms = usual_ms * (1 + excess / max(1, target.slots))
        if target.slow_start_remaining > timedelta():
            predicted_ms *= SLOW_START_FACTOR
        jitter = SUMMED_LOAD_JITTER if load.domain_shares else SCORE_JITTER
        score = predicted_ms * self._random.uniform(1 - jitter, 1 + jitter)
        if target.failure_domain != self._failure_domain:
            score += REMOTE_DOMAIN_PENALTY_MS
        if not self._has_connection(target.incarnation):
            score += NEW_CONNECTION_PENALTY_MS
        goal_ms = request.route.goal / timedelta(milliseconds=1)
        score += load.fault_rate(now) * FAULT_PENALTY_FACTOR * goal_ms
        if load.is_silent(now):
            score += SILENT_PENALTY_MS
        return ScoredTarget(
            target,
            score,
            predicted_ms,
            work_ms,
            total.busy,
            token_ms,
            pause_ms,
            uncached,
            sum(total.waiting_ms),
            factor,
        )


def _pause_ms(
    engine: EngineSpec,
    step_ms: float,
    total: LoadShare,
    work_ms: float,
    chunk_ms: float,
) -> float:
    """Return the longest pause of streams at a target that takes one more prompt.

    An event takes several steps, and an engine reads up to one prompt chunk in each.
    Prompts that arrive while the queue is read lengthen the same event. A target
    without requests has no streams that could pause.
    """
    if not total.waiting and not total.running:
        return 0.0
    event_ms = engine.event_tokens * step_ms
    arriving = min(total.busy, MAX_BUSY_SHARE) * ARRIVING_SHARE
    max_event_ms = event_ms + engine.event_tokens * chunk_ms
    return min(
        (event_ms + sum(total.waiting_ms) + work_ms) / (1.0 - arriving), max_event_ms
    )


def _token_ms(busy: float, chunk_ms: float, step_ms: float) -> float:
    """Return the time between tokens in milliseconds at an engine's ``busy`` share.

    The engine produces one token per chunk while it reads prompts, else one per step.
    """
    reading_share = min(busy, MAX_BUSY_SHARE)
    return 1.0 / (
        (1.0 - reading_share) / step_ms + reading_share / max(chunk_ms, step_ms)
    )


def _engine_ms(
    engine: EngineSpec,
    work: ModelWork,
    total: LoadShare,
    own_ms: float,
    tier: int,
) -> float:
    """Return the predicted time to the first token at an engine, in milliseconds."""
    predicted_ms = sum(total.waiting_ms[: tier + 1]) + own_ms
    excess = total.waiting + total.running + 1 - engine.slots
    if excess > 0:
        predicted_ms += TYPICAL_RUN_MS * excess / engine.slots
    capacity = engine.kv_tokens * MAX_CACHE_FILL_SHARE
    missing_tokens = (
        total.tokens + work.prompt_tokens + work.expected_output_tokens - capacity
    )
    if engine.kv_tokens and missing_tokens > 0:
        predicted_ms += TYPICAL_RUN_MS * missing_tokens / engine.kv_tokens
    return predicted_ms
