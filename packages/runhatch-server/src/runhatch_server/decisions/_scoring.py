"""How soon each target would begin to answer, and which is the best choice."""

import random
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from runhatch_server.decisions._load import (
    LATE_TIER,
    STREAM_TOKENS_AT_ONCE,
    LoadShare,
    TargetLoad,
)
from runhatch_server.decisions._load_book import LoadBook
from runhatch_server.decisions._request import GatewayRequest, ModelWork
from runhatch_server.fleet import Target
from runhatch_server.routing import EngineSpec, ServiceSpec

ELSEWHERE_MS = 3.0
"""What another failure domain costs: the way there and back, and bytes that are
paid for."""
HANDSHAKE_MS = 8.0
"""What a new connection costs: a millisecond or more at the target, a slot that may
be held meanwhile, and its price."""
FAULT_COST = 1.5
"""Times the goal that a failed request is taken to cost beside waiting."""
SILENT_COST_MS = 10_000.0
"""Put on a target from which nothing is heard: any other goes first."""
SLOW_START_FACTOR = 1.5
"""Slowness of a target that has just started, until it says otherwise."""
RUN_MS = 1_500.0
"""Usual time between first and last token; a request beyond the slots waits for
one to end."""
CHUNK_TOKENS = 2_048
"""Prompt tokens that an engine reads between two tokens of its streams."""
MOST_BUSY_COUNTED = 0.98
"""Share of an engine's time for prompts that is counted at the most."""
COMING_SHARE = 0.5
"""Share of the prompts sent of late that is taken to go on coming while a queue is
read: counting all refuses requests that would have been served in time, counting none
lets in some that are not."""
SCORE_JITTER = 0.03
"""Keeps nodes that know the same from choosing the same target at once."""
SUMS_JITTER = 0.2
"""The same where loads are known by sums of many nodes, some 0.2 s old: all of them
would send their prompts to the one that was least busy then."""


@dataclass(slots=True)
class HeldPlace:
    """A held request, and the target whose load it waits for."""

    number: int
    since: timedelta
    target: str = ""


@dataclass(frozen=True, slots=True)
class Scored:
    """A target for a request; the lowest ``score`` is the best.

    Times are in milliseconds; ``work_ms`` is this prompt's part alone.  ``busy`` is
    the share of the target's time that prompts sent of late take, and ``token_ms``
    the time between two tokens of an answer.  ``pause_ms`` is the longest
    pause that streams at the target would see while the prompts there are read.
    """

    target: Target
    score: float
    predicted_ms: float
    work_ms: float
    busy: float = 0.0
    token_ms: float = 0.0
    pause_ms: float = 0.0
    unread: int = 0
    """Tokens of the prompt that the target must read."""
    queue_ms: float = 0.0
    """Prompt reading that is ahead there, of all ranks."""


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

    def best(
        self,
        request: GatewayRequest,
        service: ServiceSpec,
        targets: list[Target],
        tier: int,
        now: timedelta,
        place: HeldPlace | None,
        longest_pause_ms: float,
    ) -> Scored:
        """Return the target that would begin first, counting what goes before.

        Those come first where streams would pause for ``longest_pause_ms`` at the
        most.
        """
        scored = [self.score(request, service, t, tier, now, place) for t in targets]
        return min(
            scored, key=lambda found: (found.pause_ms > longest_pause_ms, found.score)
        )

    def score(
        self,
        request: GatewayRequest,
        service: ServiceSpec,
        target: Target,
        tier: int,
        now: timedelta,
        place: HeldPlace | None,
    ) -> Scored:
        """Return what sending ``request`` to ``target`` now would come to."""
        load = self._book.load(target.incarnation)
        total = load.total(now)
        uncached = 0
        work_ms = 0.0
        token_ms = 0.0
        pause_ms = 0.0
        if request.work is not None and service.engine is not None:
            uncached = self._book.uncached(target.incarnation, request.work)
            work_ms = self._book.rates.prompt_ms(request.work.model, uncached)
            base_ms = self._book.rates.base_ms
            predicted = _engine_ms(
                service.engine, request.work, total, base_ms + work_ms, tier
            )
            predicted *= load.factor(now)
            chunk_ms = self._book.rates.prompt_ms(request.work.model, CHUNK_TOKENS)
            token_ms = _token_ms(total.busy, chunk_ms, load.step_ms)
            pause_ms = _pause_ms(service.engine, load, total, work_ms, chunk_ms)
            if place is not None or tier == LATE_TIER:
                since = now if place is None else place.since
                predicted += load.held_ahead_ms(since, now)
        else:
            usual = self._book.rates.service_ms(request.route.name)
            beyond = max(0, total.waiting + total.running + 1 - target.slots)
            predicted = usual * (1 + beyond / max(1, target.slots))
        if target.slow_start_left > timedelta():
            predicted *= SLOW_START_FACTOR
        jitter = SUMS_JITTER if load.domains else SCORE_JITTER
        score = predicted * self._random.uniform(1 - jitter, 1 + jitter)
        if target.failure_domain != self._failure_domain:
            score += ELSEWHERE_MS
        if not self._has_connection(target.incarnation):
            score += HANDSHAKE_MS
        goal_ms = request.route.goal / timedelta(milliseconds=1)
        score += load.fault_rate(now) * FAULT_COST * goal_ms
        if load.is_silent(now):
            score += SILENT_COST_MS
        return Scored(
            target,
            score,
            predicted,
            work_ms,
            total.busy,
            token_ms,
            pause_ms,
            uncached,
            sum(total.waiting_ms),
        )


def _pause_ms(
    engine: EngineSpec,
    load: TargetLoad,
    total: LoadShare,
    work_ms: float,
    chunk_ms: float,
) -> float:
    """Return the longest pause of streams at a target that takes one more prompt.

    An event is made in several steps, and an engine reads up to a chunk of prompts
    in each.  While the queue is read, prompts go on coming, and are read within the
    same event.  Where nothing else is, nobody waits.
    """
    if not total.waiting and not total.running:
        return 0.0
    making = engine.event_tokens * load.step_ms
    coming = min(total.busy, MOST_BUSY_COUNTED) * COMING_SHARE
    longest = making + engine.event_tokens * chunk_ms
    return min((making + sum(total.waiting_ms) + work_ms) / (1.0 - coming), longest)


def _token_ms(busy: float, chunk_ms: float, step_ms: float) -> float:
    """Return the time between tokens of an engine that is ``busy`` with prompts.

    While it reads prompts it makes one token a chunk, else one a step.
    """
    reading = min(busy, MOST_BUSY_COUNTED)
    return 1.0 / ((1.0 - reading) / step_ms + reading / max(chunk_ms, step_ms))


def _engine_ms(
    engine: EngineSpec,
    work: ModelWork,
    total: LoadShare,
    own_ms: float,
    tier: int,
) -> float:
    """Return the predicted time to the first token at an engine."""
    predicted = sum(total.waiting_ms[: tier + 1]) + own_ms
    beyond = total.waiting + total.running + 1 - engine.slots
    if beyond > 0:
        predicted += RUN_MS * beyond / engine.slots
    room = engine.kv_tokens * STREAM_TOKENS_AT_ONCE
    lacking = total.tokens + work.prompt_tokens + work.expected_output - room
    if engine.kv_tokens and lacking > 0:
        predicted += RUN_MS * lacking / engine.kv_tokens
    return predicted
