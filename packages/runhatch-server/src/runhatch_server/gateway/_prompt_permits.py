"""Permits for prompts: requested from the owner of a target, and given by it.

The owner is the live node with the highest rank for the target. While nodes disagree on
which are alive, two may give permits for one target; each then knows the other's
prompts by the exchange of loads only.
"""

import itertools
import threading
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from functools import singledispatchmethod

from runhatch_coordination import Clock, Membership
from runhatch_server.decisions import (
    KnownPrompts,
    PermitState,
    PromptAnswer,
    PromptQueue,
    PromptRequest,
)
from runhatch_server.gateway._prompt_paces import PromptPaces, ServingTargets
from runhatch_server.gateway._rooms import choose_allocator
from runhatch_server.observability import Metrics, log_change
from runhatch_server.peers import (
    Fact,
    Member,
    PromptPermitAnswer,
    PromptPermitRequest,
    PromptsReleased,
)

ANSWER_TIMEOUT = timedelta(milliseconds=60)
"""How long an owner may take to answer at all. A round trip between failure domains
takes a few milliseconds, a new connection as long again."""
SILENCE_DURATION = timedelta(seconds=1)
"""How long no permits are requested from an owner that did not answer."""
QUEUE_RETENTION = timedelta(seconds=5)
"""How long an unused queue is kept; by then the exchange of loads shows all prompts."""
IDLE_INTERVAL = timedelta(seconds=1)
MILLISECOND = timedelta(milliseconds=1)
PromptFact = PromptPermitRequest | PromptPermitAnswer | PromptsReleased
"""Messages between nodes about permits for prompts."""


@dataclass(slots=True)
class PromptPermit:
    """A request of this node for a permit, and its answer once there is one."""

    target: str
    number: int
    owner: str
    requested_at: timedelta
    answer: PromptAnswer | None = None
    is_released: bool = False

    @property
    def state(self) -> PermitState | None:
        """The last answer of the owner, ``None`` if there was none."""
        return None if self.answer is None else self.answer.state


@dataclass(slots=True)
class _OwnedQueue:
    queue: PromptQueue
    used_at: timedelta


class PromptPermits:
    """Permits for prompts of one node, and the queues that it owns; thread-safe."""

    def __init__(
        self,
        membership: Membership,
        clock: Clock,
        metrics: Metrics,
        send: Callable[[str, Fact], None],
        on_answer: Callable[[], None],
        known_prompts: Callable[[str], KnownPrompts],
    ) -> None:
        """Create permits; ``known_prompts`` returns those known to be at a target."""
        self._membership = membership
        self._clock = clock
        self._metrics = metrics
        self._send = send
        self._on_answer = on_answer
        self._known_prompts = known_prompts
        self._lock = threading.Lock()
        self._numbers = itertools.count(1)
        self._permits: dict[int, PromptPermit] = {}
        self._queues: dict[str, _OwnedQueue] = {}
        self._paces = PromptPaces()
        self._silent_until: dict[str, timedelta] = {}
        self.find_serving: Callable[[], ServingTargets] = dict
        """Returns the slots of the targets that serve, by service and incarnation.

        Without it no target has a pace.
        """
        self.decision_due = threading.Event()
        """Set when requests wait, to begin decisions at an interval."""

    def request(
        self,
        target: str,
        work_ms: float,
        tier: int,
        pause_limit_ms: float,
        event_ms: float,
        begin_within: timedelta,
        late_within: timedelta,
    ) -> PromptPermit | None:
        """Request a permit; return ``None`` if the owner is silent.

        The arguments are those of :class:`PromptRequest`.
        """
        now = self._clock.elapsed()
        own = self._membership.own
        owner = choose_allocator(target, own, self._membership.alive()).address
        if now < self._silent_until.get(owner, now):
            self._metrics.prompt_permits.labels("owner_silent").inc()
            return None
        number = next(self._numbers)
        permit = PromptPermit(target, number, owner, now)
        with self._lock:
            self._permits[number] = permit
        request = PromptRequest(
            own.address,
            number,
            work_ms,
            tier,
            pause_limit_ms,
            event_ms,
            begin_within,
            late_within,
        )
        if owner == own.address:
            self._queue_request(target, request)
        else:
            self._send(
                owner,
                PromptPermitRequest(
                    target,
                    number,
                    round(work_ms),
                    tier,
                    round(pause_limit_ms),
                    round(event_ms),
                    round(begin_within / MILLISECOND),
                    round(late_within / MILLISECOND),
                ),
            )
        return permit

    def release(self, permit: PromptPermit, has_begun: bool = False) -> None:
        """Tell the owner that the answer to the prompt began, or never will."""
        with self._lock:
            if permit.is_released:
                return
            permit.is_released = True
            self._permits.pop(permit.number, None)
        if permit.state is PermitState.DENIED:
            return
        own = self._membership.own.address
        if permit.owner == own:
            if has_begun:
                self._begin_at_owner(permit.target, own, [permit.number])
            else:
                self._release_at_owner(permit.target, own, [permit.number])
        elif has_begun:
            self._send(permit.owner, PromptsReleased(permit.target, [permit.number]))
        else:
            self._send(
                permit.owner, PromptsReleased(permit.target, [], [permit.number])
            )

    def is_owner_alive(self, permit: PromptPermit) -> bool:
        """Return whether the node that was asked for the permit still decides on it."""
        return any(vm.address == permit.owner for vm in self._membership.alive())

    def record_unanswered(self, permit: PromptPermit) -> None:
        """Record that the owner did not answer in time; it is not asked for a while."""
        now = self._clock.elapsed()
        if now >= self._silent_until.get(permit.owner, now):
            log_change("prompt_owner_silent", owner=permit.owner, target=permit.target)
        self._silent_until[permit.owner] = now + SILENCE_DURATION
        self._metrics.prompt_permits.labels("unanswered").inc()
        self.release(permit)

    def update_paces(self) -> None:
        """Begin the paces of targets that started or recovered, and end others."""
        serving = self.find_serving()
        with self._lock:
            self._paces.update_targets(serving, self._clock.elapsed())

    def owned_bounds(self) -> dict[str, int]:
        """Return the most prompts that may be at targets owned by this node.

        Targets without such a bound are left out.
        """
        now = self._clock.elapsed()
        with self._lock:
            bounds = self._paces.bounds(now)
            return {
                target: most
                for target, most in bounds.items()
                if target in self._queues
            }

    def decide_all(self) -> None:
        """Answer the requests that wait in the queues of this node."""
        now = self._clock.elapsed()
        with self._lock:
            self._queues = {
                target: owned
                for target, owned in self._queues.items()
                if len(owned.queue) or now - owned.used_at < QUEUE_RETENTION
            }
            targets = [*self._queues]
        for target in targets:
            self._decide(target)

    def next_decision_pause(self) -> timedelta:
        """Return how long to pause after a call of :meth:`decide_all`."""
        now = self._clock.elapsed()
        with self._lock:
            pauses = [
                pause
                for owned in self._queues.values()
                if (pause := owned.queue.next_decision_in(now)) is not None
            ]
        return min([IDLE_INTERVAL, *pauses])

    @singledispatchmethod
    def handle_message(self, fact: PromptFact, sender: Member) -> None:
        """Apply a message of a peer about permits."""
        raise NotImplementedError(type(fact))

    @handle_message.register
    def _apply_request(self, fact: PromptPermitRequest, sender: Member) -> None:
        self._queue_request(
            fact.target,
            PromptRequest(
                sender.address,
                fact.number,
                float(fact.work_ms),
                fact.tier,
                float(fact.pause_limit_ms),
                float(fact.event_ms),
                fact.begin_within_ms * MILLISECOND,
                fact.late_within_ms * MILLISECOND,
            ),
        )

    @handle_message.register
    def _apply_answer(self, fact: PromptPermitAnswer, sender: Member) -> None:
        self._record_answer(
            PromptAnswer(
                self._membership.own.address,
                fact.number,
                PermitState(fact.state),
                float(fact.backlog_ms),
                fact.tier,
                fact.retry_ms * MILLISECOND,
            ),
            fact.target,
            sender.address,
        )

    @handle_message.register
    def _apply_released(self, fact: PromptsReleased, sender: Member) -> None:
        if fact.begun:
            self._begin_at_owner(fact.target, sender.address, fact.begun)
        if fact.given_up:
            self._release_at_owner(fact.target, sender.address, fact.given_up)

    def _queue_request(self, target: str, request: PromptRequest) -> None:
        now = self._clock.elapsed()
        known = KnownPrompts()
        if target not in self._queues:
            known = self._known_prompts(target)
            # A target that has just started is paced from its first prompt on.
            self.update_paces()
        with self._lock:
            owned = self._queues.get(target)
            if owned is None:
                queue = PromptQueue(known.backlog_ms, now, known.count)
                owned = _OwnedQueue(queue, now)
                self._queues[target] = owned
                self._paces.take_over(target, known.count, now)
            owned.used_at = now
            owned.queue.request(request, now)
        if self._decide(target):
            self.decision_due.set()

    def _release_at_owner(self, target: str, node: str, numbers: list[int]) -> None:
        with self._lock:
            owned = self._queues.get(target)
            if owned is None:
                return
            owned.queue.release(node, numbers, self._clock.elapsed())
        self._decide(target)

    def _begin_at_owner(self, target: str, node: str, numbers: list[int]) -> None:
        now = self._clock.elapsed()
        with self._lock:
            is_paced = self._paces.most(target, now) is not None
        start_ms = self._known_prompts(target).start_ms if is_paced else 0.0
        with self._lock:
            owned = self._queues.get(target)
            if owned is None:
                return
            for begun in owned.queue.begin(node, numbers, now):
                predicted = begun.predicted + start_ms * MILLISECOND
                self._paces.record_begun(target, predicted, begun.took, now)
        self._decide(target)

    def _decide(self, target: str) -> bool:
        """Answer what can be answered; return whether requests still wait."""
        now = self._clock.elapsed()
        with self._lock:
            owned = self._queues.get(target)
            if owned is None:
                return False
            answers = owned.queue.decide(now, self._paces.most(target, now))
            is_waiting = owned.queue.next_decision_in(now) is not None
        own = self._membership.own.address
        for answer in answers:
            self._metrics.prompt_permits.labels(answer.state.name.lower()).inc()
            if answer.node == own:
                self._record_answer(answer, target, own)
            else:
                self._send(answer.node, _message_of_answer(target, answer))
        return is_waiting

    def _record_answer(self, answer: PromptAnswer, target: str, owner: str) -> None:
        with self._lock:
            permit = self._permits.get(answer.number)
            if permit is not None and permit.target == target:
                permit.answer = answer
        if permit is not None:
            self._on_answer()
        elif answer.state is PermitState.GRANTED:
            # The request was given up while the answer was on its way.
            if owner == self._membership.own.address:
                self._release_at_owner(target, owner, [answer.number])
            else:
                self._send(owner, PromptsReleased(target, [], [answer.number]))


def _message_of_answer(target: str, answer: PromptAnswer) -> PromptPermitAnswer:
    return PromptPermitAnswer(
        target,
        answer.number,
        int(answer.state),
        answer.tier,
        round(answer.backlog_ms),
        round(answer.retry_after / MILLISECOND),
    )
