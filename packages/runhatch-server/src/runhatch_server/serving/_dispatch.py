"""Grants requests slots at targets: limits, the queue and admission by deadline."""

import itertools
import random
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
from runhatch_server.serving._router import Router, TargetChoice
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
            backoff = self._shortest_backoff(waiter)
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
            waiter.patience = self._max_wait(waiter)
            return waiter

    def finish_waiting(self, waiter: Waiter[Grant]) -> Grant | Refusal:
        """Return the waiter's grant, or remove it from the queue and refuse it."""
        with self._lock:
            if waiter.grant is not None:
                return waiter.grant
            self._waiting.remove(waiter)
            retry_after = self._retry_after(waiter.route)
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

    def estimate_retry_after(self, route: Route) -> timedelta:
        """Return the delay before a retry, from the observed drain rate."""
        with self._lock:
            return self._retry_after(route)

    def _state_of(self, host: Host) -> TargetState:
        state = self._states.get(host.target)
        if state is None:
            state = TargetState(host.concurrency, self._random)
            self._states[host.target] = state
        return state

    def _undrained_hosts(self, route: Route) -> list[Host]:
        """Return the hosts of ``route`` that are not draining."""
        hosts = self._picture.hosts(route)
        return [host for host in hosts if host.target not in self._draining]

    def _available_hosts(self, waiter: Waiter[Grant]) -> Sequence[Host]:
        now = self._clock.elapsed()
        hosts = [
            host
            for host in self._undrained_hosts(waiter.route)
            if now >= self._state_of(host).backoff_until
        ]
        untried = [host for host in hosts if host.target not in waiter.avoided_targets]
        return untried or hosts

    def _shortest_backoff(self, waiter: Waiter[Grant]) -> timedelta | None:
        """Return the shortest remaining backoff if all hosts of the route back off."""
        now = self._clock.elapsed()
        hosts = self._undrained_hosts(waiter.route)
        backoffs = [self._state_of(host).backoff_until - now for host in hosts]
        if not backoffs or min(backoffs) <= timedelta():
            return None
        return min(backoffs) * self._random.uniform(1, 1 + RETRY_AFTER_JITTER)

    def _try_grant(self, waiter: Waiter[Grant]) -> Grant | None:
        now = self._clock.elapsed()
        choice = self._router.choose_host(
            self._available_hosts(waiter),
            self._states,
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
        missed_deadline = self._predict_missed_deadline(waiter)
        reason = missed_deadline or self._waiting.make_room(waiter)
        if reason is None:
            return None
        return Refusal(reason, Executed.NO, retry_after=self._retry_after(waiter.route))

    def _predict_missed_deadline(self, waiter: Waiter[Grant]) -> Reason | None:
        now = self._clock.elapsed()
        route = self._routes[waiter.route]
        rate = route.drain_rate.per_second(now)
        if not rate:
            return None
        wait = timedelta(seconds=(self._waiting.count_ahead(waiter) + 1) / rate)
        service = route.service_times.mean or timedelta()
        if now + wait + service > waiter.deadline:
            return Reason.DEADLINE_UNMEETABLE
        return None

    def _max_wait(self, waiter: Waiter[Grant]) -> timedelta:
        """Return how long ``waiter`` can wait and still be answered in time."""
        service = self._routes[waiter.route].service_times.mean or timedelta()
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

    def _retry_after(self, route: Route) -> timedelta:
        rate = self._routes[route].drain_rate.per_second(self._clock.elapsed())
        backlog = len(self._waiting.waiters(route)) + 1
        wait = timedelta(seconds=backlog / rate) if rate else MIN_RETRY_AFTER
        wait = min(max(wait, MIN_RETRY_AFTER), MAX_RETRY_AFTER)
        return wait * self._random.uniform(1, 1 + RETRY_AFTER_JITTER)

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
