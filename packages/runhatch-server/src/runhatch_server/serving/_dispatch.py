"""Grants requests slots at targets: limits, the queue and admission by deadline."""

import copy
import itertools
import random
import sys
import threading
from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from datetime import timedelta

from runhatch_coordination import Clock
from runhatch_server.decisions._prefixes import PrefixIndex
from runhatch_server.refusals import Executed, Reason, Refusal
from runhatch_server.serving._placement_cache import Host, PlacementCache
from runhatch_server.serving._queue import Waiter, WaitingRequests
from runhatch_server.serving._rates import CompletionRate, MeanServiceTime
from runhatch_server.serving._request import CallerRequest, Route
from runhatch_server.serving._route_preview import (
    HostPreview,
    RouteOutcome,
    RoutePreview,
    Verdict,
    explain_exclusion,
)
from runhatch_server.serving._router import (
    Evaluation,
    Router,
    TargetChoice,
    predict_wait,
)
from runhatch_server.serving._target_state import TargetState
from runhatch_server.targets import (
    AttemptReason,
    CacheEvent,
    NotSent,
    RefusedNotRun,
    ReportedLoad,
    UnknownResult,
)

MIN_RETRY_AFTER = timedelta(seconds=1)
MAX_RETRY_AFTER = timedelta(seconds=30)
RETRY_AFTER_JITTER = 0.25
MAX_NO_REPLICA_WAIT = timedelta(seconds=5)
"""How long a request waits for a model without a known replica."""
QUEUE_POLL_INTERVAL = timedelta(milliseconds=250)
"""How often a waiting request tries to get a slot.  Returned slots wake it, but the
end of a target's backoff returns none."""
TARGET_FAULT_REASONS = frozenset(
    {
        AttemptReason.CONNECT_FAILED,
        AttemptReason.CONNECTION_BROKEN,
        AttemptReason.WRONG_ANSWER,
        AttemptReason.SERVER_ERROR,
        AttemptReason.STALLED,
        AttemptReason.TIMED_OUT,
    }
)


@dataclass(frozen=True, slots=True)
class Grant:
    """One slot at a target, returned by ``release_completed`` or ``release_failed``."""

    choice: TargetChoice
    route: Route
    granted_at: timedelta
    usual_duration: timedelta
    """Mean duration of the route's requests at that time, zero if unknown."""
    prefix: tuple[str, ...] = ()

    @property
    def host(self) -> Host:
        """The host that the slot belongs to."""
        return self.choice.host


@dataclass(slots=True)
class _RouteState:
    drain_rate: CompletionRate = field(default_factory=CompletionRate)
    service_times: MeanServiceTime = field(default_factory=MeanServiceTime)


class Dispatcher:
    """Manages the slots and waiting requests of one node; thread-safe."""

    def __init__(
        self,
        placement_cache: PlacementCache,
        clock: Clock,
        failure_domain: str,
        queue_limit: int,
        caller_share: float,
        seed: int | None = None,
        use_affinity: bool = True,
    ) -> None:
        self._picture = placement_cache
        self._clock = clock
        self._random = random.Random(seed)
        self._prefixes = PrefixIndex()
        self._router = Router(
            failure_domain, self._prefixes, self._random, use_affinity
        )
        self._lock = threading.Lock()
        self._states: dict[str, TargetState] = {}
        self._routes: dict[Route, _RouteState] = defaultdict(_RouteState)
        self._waiting: WaitingRequests[Grant] = WaitingRequests(
            queue_limit, caller_share
        )
        self._draining: frozenset[str] = frozenset()
        self._sequence = itertools.count()

    @property
    def queued_count(self) -> int:
        """Number of waiting requests."""
        return len(self._waiting)

    def set_draining(self, targets: frozenset[str]) -> None:
        """Grant no slots at ``targets``, which replace the previously drained ones."""
        with self._lock:
            self._draining = targets
            self._grant_to_waiters()

    def acquire(
        self,
        request: CallerRequest,
        avoided_targets: frozenset[str] = frozenset(),
        avoided_domains: frozenset[str] = frozenset(),
    ) -> Grant | Refusal:
        """Wait for a slot for ``request``; refuse once it cannot be served in time.

        Refusals have ``Executed.NO``, which applies to this attempt only.
        """
        admission = self.try_acquire(request, avoided_targets, avoided_domains)
        if not isinstance(admission, Waiter):
            return admission
        wait_until = self._clock.elapsed() + admission.patience
        while not admission.settled.is_set():
            remaining = wait_until - self._clock.elapsed()
            if remaining <= timedelta():
                break
            if not admission.settled.wait(
                min(remaining, QUEUE_POLL_INTERVAL).total_seconds()
            ):
                self.grant_free_slots()
        return self.finish_waiting(admission)

    def try_acquire(
        self,
        request: CallerRequest,
        avoided_targets: frozenset[str] = frozenset(),
        avoided_domains: frozenset[str] = frozenset(),
    ) -> Grant | Refusal | Waiter[Grant]:
        """Return a slot, a refusal or a queued waiter without waiting.

        Call ``finish_waiting`` once the waiter is settled or its patience has passed.
        """
        waiter: Waiter[Grant] = Waiter(
            request.route,
            request.caller,
            request.priority,
            request.deadline,
            next(self._sequence),
            request.prefix_blocks,
            avoided_targets,
            avoided_domains,
        )
        with self._lock:
            backoff = self._shortest_backoff(waiter, self._random)
            if backoff is not None:
                return Refusal(
                    Reason.TARGETS_BACK_OFF, Executed.NO, retry_after=backoff
                )
            if not self._waiting.count_ahead(waiter):
                grant = self._try_grant(waiter)
                if grant is not None:
                    return grant
            refusal = self._check_admission(waiter)
            if refusal is not None:
                return refusal
            self._waiting.add(waiter)
            waiter.patience = self._max_wait(waiter, self._routes[waiter.route])
            return waiter

    def finish_waiting(self, waiter: Waiter[Grant]) -> Grant | Refusal:
        """Return the waiter's grant, or remove it from the queue and refuse it."""
        with self._lock:
            if waiter.grant is not None:
                return waiter.grant
            self._waiting.remove(waiter)
            route = waiter.route
            retry_after = self._retry_after(route, self._routes[route], self._random)
            reason = self._refusal_reason(waiter)
            return Refusal(reason, Executed.NO, retry_after=retry_after)

    def release_completed(
        self,
        grant: Grant,
        first_byte: timedelta,
        load: ReportedLoad | None,
    ) -> None:
        """Return the slot after a complete answer and record its duration and load."""
        with self._lock:
            now = self._clock.elapsed()
            state = self._state_of(grant.host)
            duration = now - grant.granted_at
            state.limit.record_answer(first_byte, state.outstanding, now)
            state.record_load(load, now)
            route = self._routes[grant.route]
            state.record_success(duration, route.service_times.mean, now)
            route.drain_rate.record_completion(now)
            route.service_times.record_duration(duration)
            self._prefixes.record_blocks(grant.host.target, grant.prefix)
            self._return_slot(state, grant)

    def release_unused(self, grant: Grant) -> None:
        """Return the slot of a request that is not to be sent any more."""
        with self._lock:
            self._return_slot(self._state_of(grant.host), grant)

    def release_failed(
        self, grant: Grant, outcome: NotSent | RefusedNotRun | UnknownResult
    ) -> None:
        """Return the slot after an attempt without a complete answer."""
        with self._lock:
            now = self._clock.elapsed()
            state = self._state_of(grant.host)
            if outcome.reason is AttemptReason.TARGET_BUSY:
                state.limit.record_refusal(now)
            if outcome.reason in TARGET_FAULT_REASONS:
                state.record_failure(now)
            if isinstance(outcome, RefusedNotRun) and outcome.retry_after is not None:
                # The target knows best when it can take work again.
                resume_at = now + outcome.retry_after
                state.backoff_until = max(state.backoff_until, resume_at)
            self._return_slot(state, grant)

    def prefix_targets(self) -> list[str]:
        """Return the targets for which the index has cached prefixes."""
        with self._lock:
            return self._prefixes.targets()

    def apply_cache_events(self, target: str, events: Iterable[CacheEvent]) -> None:
        """Apply a target's cache events to the prefix index.

        Blocks stored by other nodes' requests are added only if known here.
        """
        latest = {event.block: event.stored for event in events}
        with self._lock:
            stored = [b for b in latest if latest[b] and self._prefixes.is_known(b)]
            for block in latest.keys() - set(stored):
                self._prefixes.remove_block(target, block)
            self._prefixes.record_blocks(target, stored)

    def remove_cached_prefixes(self, target: str) -> None:
        """Remove a restarted target from the prefix index."""
        with self._lock:
            self._prefixes.remove_target(target)

    def grant_free_slots(self) -> None:
        """Grant waiting requests the slots that became available."""
        with self._lock:
            self._grant_to_waiters()

    def target_loads(self) -> dict[str, tuple[int, int]]:
        """Return the outstanding requests and the limit of each target in use."""
        with self._lock:
            return {
                name: (state.outstanding, state.limit.value)
                for name, state in self._states.items()
            }

    def preview_route(
        self, route: Route, caller: str, priority: int, allowed: timedelta
    ) -> RoutePreview:
        """Return where a request that arrives now would go, without any effect.

        ``allowed`` is the time until its deadline.  The request has no prompt, so
        cached prefixes don't count.
        """
        with self._lock:
            now = self._clock.elapsed()
            # A copy, so that the next request gets the same random numbers.
            random_source = random.Random()
            random_source.setstate(self._random.getstate())
            # Sorts after all waiting requests of its priority and deadline.
            waiter: Waiter[Grant] = Waiter(
                route, caller, priority, now + allowed, sys.maxsize
            )
            ahead = self._waiting.count_ahead(waiter)
            evaluation = None
            backoff = self._shortest_backoff(waiter, random_source)
            if backoff is None and not ahead:
                evaluation = self._evaluate_hosts(waiter, random_source)
            if backoff is not None:
                verdict = Verdict(
                    RouteOutcome.REFUSED, Reason.TARGETS_BACK_OFF, backoff
                )
            elif evaluation is not None and evaluation.best is not None:
                verdict = Verdict(RouteOutcome.SENT)
            else:
                verdict = self._preview_wait(waiter, random_source)
            hosts = tuple(
                self._preview_host(host, evaluation, now)
                for host in self._picture.hosts(route)
            )
            return RoutePreview(verdict, ahead, hosts)

    def estimate_retry_after(self, route: Route) -> timedelta:
        """Return the delay before a retry, from the observed drain rate."""
        with self._lock:
            return self._retry_after(route, self._routes[route], self._random)

    def _state_of(self, host: Host) -> TargetState:
        state = self._states.get(host.target)
        if state is None:
            state = self._states[host.target] = self._read_state(host)
        return state

    def _read_state(self, host: Host) -> TargetState:
        """Return the state of a target without storing that of an unused one."""
        state = self._states.get(host.target)
        if state is None:
            return TargetState(host.concurrency, self._random)
        return state

    def _copy_route_state(self, route: Route) -> _RouteState:
        """Return a copy, because reading a rate moves its window."""
        state = self._routes.get(route)
        return _RouteState() if state is None else copy.deepcopy(state)

    def _evaluate_hosts(
        self, waiter: Waiter[Grant], random_source: random.Random
    ) -> Evaluation:
        hosts = self._available_hosts(waiter)
        return self._router.evaluate_hosts(
            hosts,
            {host.target: self._read_state(host) for host in hosts},
            waiter.prefix,
            waiter.avoided_domains,
            self._clock.elapsed(),
            random_source,
        )

    def _preview_wait(
        self, waiter: Waiter[Grant], random_source: random.Random
    ) -> Verdict:
        """Return whether ``waiter`` may wait, and the refusal it would get."""
        state = self._copy_route_state(waiter.route)
        retry_after = self._retry_after(waiter.route, state, random_source)
        reason = self._predict_missed_deadline(
            waiter, state
        ) or self._waiting.check_room(waiter)
        if reason is not None:
            return Verdict(RouteOutcome.REFUSED, reason, retry_after)
        reason = self._refusal_reason(waiter)
        max_wait = self._max_wait(waiter, state)
        if max_wait <= timedelta():
            return Verdict(RouteOutcome.REFUSED, reason, retry_after)
        return Verdict(RouteOutcome.WAITS, reason, retry_after, max_wait)

    def _preview_host(
        self, host: Host, evaluation: Evaluation | None, now: timedelta
    ) -> HostPreview:
        state = self._read_state(host)
        exclusion = explain_exclusion(
            host,
            evaluation,
            is_draining=host.target in self._draining,
            backoff=state.backoff_until - now,
        )
        return HostPreview(
            host.target,
            host.failure_domain,
            state.outstanding,
            state.limit.value,
            state.estimate_load(now),
            predict_wait(host, state, now),
            state.estimate_excess(now),
            exclusion,
        )

    def _undrained_hosts(self, route: Route) -> list[Host]:
        """Return the hosts of ``route`` that are not draining."""
        hosts = self._picture.hosts(route)
        return [host for host in hosts if host.target not in self._draining]

    def _available_hosts(self, waiter: Waiter[Grant]) -> Sequence[Host]:
        now = self._clock.elapsed()
        hosts = [
            host
            for host in self._undrained_hosts(waiter.route)
            if now >= self._read_state(host).backoff_until
        ]
        untried = [host for host in hosts if host.target not in waiter.avoided_targets]
        return untried or hosts

    def _shortest_backoff(
        self, waiter: Waiter[Grant], random_source: random.Random
    ) -> timedelta | None:
        """Return the shortest remaining backoff if all hosts of the route back off."""
        now = self._clock.elapsed()
        hosts = self._undrained_hosts(waiter.route)
        backoffs = [self._read_state(host).backoff_until - now for host in hosts]
        if not backoffs or min(backoffs) <= timedelta():
            return None
        return min(backoffs) * random_source.uniform(1, 1 + RETRY_AFTER_JITTER)

    def _try_grant(self, waiter: Waiter[Grant]) -> Grant | None:
        now = self._clock.elapsed()
        hosts = self._available_hosts(waiter)
        choice = self._router.choose_host(
            hosts,
            {host.target: self._state_of(host) for host in hosts},
            waiter.prefix,
            waiter.avoided_domains,
            now,
        )
        if choice is None:
            return None
        usual = self._routes[waiter.route].service_times.mean or timedelta()
        self._state_of(choice.host).record_grant(now, usual)
        return Grant(choice, waiter.route, now, usual, waiter.prefix)

    def _check_admission(self, waiter: Waiter[Grant]) -> Refusal | None:
        route = waiter.route
        state = self._routes[route]
        missed_deadline = self._predict_missed_deadline(waiter, state)
        reason = missed_deadline or self._waiting.make_room(waiter)
        if reason is None:
            return None
        retry_after = self._retry_after(route, state, self._random)
        return Refusal(reason, Executed.NO, retry_after=retry_after)

    def _predict_missed_deadline(
        self, waiter: Waiter[Grant], state: _RouteState
    ) -> Reason | None:
        now = self._clock.elapsed()
        rate = state.drain_rate.per_second(now)
        if not rate:
            return None
        wait = timedelta(seconds=(self._waiting.count_ahead(waiter) + 1) / rate)
        service = state.service_times.mean or timedelta()
        if now + wait + service > waiter.deadline:
            return Reason.DEADLINE_UNMEETABLE
        return None

    def _max_wait(self, waiter: Waiter[Grant], state: _RouteState) -> timedelta:
        """Return how long ``waiter`` can wait and still be answered in time."""
        service = state.service_times.mean or timedelta()
        patience = waiter.deadline - service - self._clock.elapsed()
        if not self._picture.hosts(waiter.route):
            return min(patience, MAX_NO_REPLICA_WAIT)
        return patience

    def _refusal_reason(self, waiter: Waiter[Grant]) -> Reason:
        if waiter.is_shed:
            return Reason.SHED
        if not self._picture.hosts(waiter.route):
            return Reason.NO_REPLICA
        return Reason.DEADLINE_UNMEETABLE

    def _retry_after(
        self, route: Route, state: _RouteState, random_source: random.Random
    ) -> timedelta:
        rate = state.drain_rate.per_second(self._clock.elapsed())
        backlog = len(self._waiting.waiters(route)) + 1
        wait = timedelta(seconds=backlog / rate) if rate else MIN_RETRY_AFTER
        wait = min(max(wait, MIN_RETRY_AFTER), MAX_RETRY_AFTER)
        return wait * random_source.uniform(1, 1 + RETRY_AFTER_JITTER)

    def _return_slot(self, state: TargetState, grant: Grant) -> None:
        state.record_return(grant.granted_at, grant.usual_duration)
        self._grant_to_waiters()

    def _grant_to_waiters(self) -> None:
        """Grant free slots to waiters, in the order of each route's queue."""
        for route in self._waiting.routes():
            for waiter in self._waiting.waiters(route):
                grant = self._try_grant(waiter)
                if grant is None:
                    break
                self._waiting.remove(waiter)
                waiter.grant = grant
                waiter.settled.set()
