"""Asks the node that counts a workspace's usage, and answers for those counted here.

A few nodes count the usage of all workspaces, so that the links to them stay few. Each
workspace has an order of these nodes: the first that is alive counts its usage, and the
second is its substitute. Nodes without requests exchange no messages.
"""

import itertools
import threading
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum
from functools import singledispatchmethod

from runhatch_coordination import Clock, Membership, Vm, compute_weight
from runhatch_server._waiting import wait_for_event
from runhatch_server.decisions import (
    SubstituteBucket,
    UsageBucket,
    granted_share,
    initial_level,
)
from runhatch_server.observability import log_change
from runhatch_server.peers import (
    Fact,
    Member,
    UsageAnswer,
    UsageRequest,
    UsageReturn,
)
from runhatch_server.routing import UsageCap

NODES_PER_COUNTER = 16
MAX_COUNTERS = 16
"""Number of nodes that count usage: one of sixteen nodes, and sixteen at most."""
COUNTER_SUBJECT = "usage counters"
ANSWER_TIMEOUT = timedelta(milliseconds=120)
"""Longest wait for an answer, which normally takes a few milliseconds."""
LATE_ANSWER_TIME = timedelta(seconds=10)
"""How long a late answer is expected; what it grants is returned."""
SILENT_TIME = timedelta(seconds=1)
"""How long a node that did not answer is not asked again."""
START_TIME = timedelta(seconds=1.5)
"""Time after its start in which a node counts no usage: it does not know yet which
other nodes are alive, and each would grant the whole cap."""
LOST_NODE_WINDOW = timedelta(seconds=20)
"""How long a silent node counts as one that may still be granting usage."""
SETTLE_TIME = timedelta(seconds=1)
"""Time after a partition in which the nodes that were cut off count no usage: others do
not know yet that they are back."""
LINK_RETENTION = timedelta(seconds=5)
"""How long a link to a node is kept after a message to or from it."""
OUTDATED_RETRY_DELAY = timedelta(milliseconds=250)
"""Retry delay where no node that counts usage answers."""
MILLISECOND = timedelta(milliseconds=1)
UsageMessage = UsageRequest | UsageAnswer | UsageReturn
"""Messages between nodes about what workspaces use."""


class UsageOutcome(Enum):
    """Whether a workspace may use an amount."""

    GRANTED = "granted"
    DENIED = "denied"
    UNKNOWN = "unknown"
    """No node that counts usage answered."""


@dataclass(frozen=True, slots=True)
class UsageDecision:
    """The answer about an amount; if denied, it can be granted after ``wait``.

    ``counter`` is the address of the node that granted it, empty for this node.
    """

    outcome: UsageOutcome
    wait: timedelta = timedelta()
    counter: str = ""


@dataclass(slots=True)
class _Inquiry:
    """A question to another node; guarded by the lock of the exchange."""

    workspace: str
    amount: float
    asked_at: timedelta
    is_abandoned: bool = False
    """Whether the answer is no longer waited for."""
    answered: threading.Event = field(default_factory=threading.Event)
    answer: UsageAnswer | None = None


class UsageExchange:
    """Usage of workspaces as asked, granted and counted by one node; thread-safe.

    ``find_cap`` returns the cap of a workspace by name, ``None`` if it has none.
    """

    def __init__(
        self,
        membership: Membership,
        clock: Clock,
        find_cap: Callable[[str], UsageCap | None],
        send: Callable[[str, Fact], None],
        wait: Callable[[threading.Event, timedelta], None] = wait_for_event,
    ) -> None:
        self._membership = membership
        self._clock = clock
        self._find_cap = find_cap
        self._send = send
        self._wait = wait
        self._lock = threading.Lock()
        self._started_at = clock.elapsed()
        self._buckets: dict[str, UsageBucket] = {}
        self._substitutes: dict[str, SubstituteBucket] = {}
        self._alive: frozenset[str] = frozenset()
        self._alive_changed_at = clock.elapsed()
        self._cut_off_at = timedelta(days=-1)
        """When this node last saw fewer nodes alive than lost."""
        self._silent_until: dict[str, timedelta] = {}
        """Until when nodes that did not answer are not asked, by address."""
        self._used_at: dict[str, timedelta] = {}
        """When a message was last sent to or received from each address."""
        self._numbers = itertools.count(1)
        self._inquiries: dict[int, _Inquiry] = {}

    def request(self, workspace: str, amount: float) -> UsageDecision:
        """Ask whether ``workspace`` may use ``amount`` now; the grant is counted.

        Blocks for at most twice ``ANSWER_TIMEOUT``.
        """
        for position, vm in enumerate(self._rank(workspace)[:2]):
            is_substitute = position > 0
            answer: UsageAnswer | None
            if vm.name == self._membership.own.name:
                answer = self._count(workspace, amount, is_substitute, 0)
            elif self._is_silent(vm.address):
                continue
            else:
                answer = self._ask(vm.address, workspace, amount, is_substitute)
            if answer is None or not answer.is_counted:
                continue
            if answer.wait_ms is not None:
                wait = answer.wait_ms * MILLISECOND
                return UsageDecision(UsageOutcome.DENIED, wait)
            own = vm.name == self._membership.own.name
            return UsageDecision(
                UsageOutcome.GRANTED, counter="" if own else vm.address
            )
        return UsageDecision(UsageOutcome.UNKNOWN, OUTDATED_RETRY_DELAY)

    def give_back(self, workspace: str, amount: float, counter: str) -> None:
        """Return ``amount``, granted by ``counter``, for a request that was not run."""
        if counter:
            self._send(counter, UsageReturn(workspace, amount))
        else:
            self._return_counted(workspace, amount)

    def choose_links(self, alive: list[Vm]) -> list[Vm]:
        """Return the nodes to link to for usage: those with a message lately.

        Also notes changes of the nodes that are alive.
        """
        now = self._clock.elapsed()
        with self._lock:
            self._record_alive(alive, now)
            self._used_at = {
                address: at
                for address, at in self._used_at.items()
                if now - at < LINK_RETENTION
            }
            self._inquiries = {
                number: inquiry
                for number, inquiry in self._inquiries.items()
                if now - inquiry.asked_at < LATE_ANSWER_TIME
            }
            self._silent_until = {
                address: until
                for address, until in self._silent_until.items()
                if until > now
            }
            return [vm for vm in alive if vm.address in self._used_at]

    @singledispatchmethod
    def handle_message(self, fact: UsageMessage, sender: Member) -> None:
        """Apply a message of a peer about what workspaces use."""
        raise NotImplementedError(type(fact))

    @handle_message.register
    def _answer_request(self, fact: UsageRequest, sender: Member) -> None:
        self._record_use(sender.address)
        answer = self._count(
            fact.workspace, fact.amount, fact.is_substitute, fact.number
        )
        self._send(sender.address, answer)

    @handle_message.register
    def _apply_answer(self, fact: UsageAnswer, sender: Member) -> None:
        with self._lock:
            inquiry = self._inquiries.get(fact.number)
            if inquiry is None:
                return
            if not inquiry.is_abandoned:
                inquiry.answer = fact
                inquiry.answered.set()
                return
            del self._inquiries[fact.number]
        if fact.is_counted and fact.wait_ms is None:
            # The request was refused or granted by the substitute meanwhile.
            self.give_back(inquiry.workspace, inquiry.amount, sender.address)

    @handle_message.register
    def _apply_return(self, fact: UsageReturn, sender: Member) -> None:
        self._return_counted(fact.workspace, fact.amount)

    def _rank(self, workspace: str) -> list[Vm]:
        """Return the nodes that may count the usage of ``workspace``, in order."""
        alive = self._membership.alive()
        with self._lock:
            self._record_alive(alive, self._clock.elapsed())
        count = min(MAX_COUNTERS, max(2, len(alive) // NODES_PER_COUNTER))
        counters = sorted(
            alive,
            key=lambda vm: compute_weight(COUNTER_SUBJECT, vm.name),
            reverse=True,
        )[:count]
        return sorted(
            counters, key=lambda vm: compute_weight(workspace, vm.name), reverse=True
        )

    def _record_alive(self, alive: list[Vm], now: timedelta) -> None:
        names = frozenset(vm.name for vm in alive)
        if names != self._alive:
            self._alive = names
            self._alive_changed_at = now

    def _count(
        self, workspace: str, amount: float, is_substitute: bool, number: int
    ) -> UsageAnswer:
        """Count ``amount`` if this node is the one to do so, and return the answer."""
        now = self._clock.elapsed()
        cap = self._find_cap(workspace)
        ranked = [vm.name for vm in self._rank(workspace)[:2]]
        own = self._membership.own.name
        is_counter = ranked[:1] == [own]
        may_count = is_counter or (is_substitute and own in ranked)
        share = self._granted_share(now)
        if cap is None or not may_count or not share:
            return UsageAnswer(number, is_counted=False)
        cap = cap.scale(share)
        with self._lock:
            if is_counter:
                self._substitutes.pop(workspace, None)
                wait = self._find_bucket(workspace, cap, now).take(amount, cap, now)
            else:
                self._buckets.pop(workspace, None)
                substitute = self._substitutes.setdefault(
                    workspace, SubstituteBucket(now, now)
                )
                wait = substitute.take(amount, cap, now)
        wait_ms = None if wait is None else max(1, round(wait / MILLISECOND))
        return UsageAnswer(number, True, wait_ms)

    def _granted_share(self, now: timedelta) -> float:
        """Return the share of the caps that this node grants, 0 if it must not."""
        if now - self._started_at < START_TIME:
            return 0.0
        lost = self._membership.count_suspected_within(LOST_NODE_WINDOW)
        share = granted_share(len(self._alive), lost)
        if share < 1.0:
            self._cut_off_at = now
            return share
        if now - self._cut_off_at < SETTLE_TIME:
            with self._lock:
                self._buckets.clear()
            return 0.0
        return share

    def _find_bucket(
        self, workspace: str, cap: UsageCap, now: timedelta
    ) -> UsageBucket:
        bucket = self._buckets.get(workspace)
        if bucket is None:
            alone_for = now - max(self._alive_changed_at, self._started_at + START_TIME)
            level = initial_level(cap, max(alone_for, timedelta()))
            bucket = self._buckets[workspace] = UsageBucket(now, level)
        return bucket

    def _return_counted(self, workspace: str, amount: float) -> None:
        with self._lock:
            bucket = self._buckets.get(workspace)
            if bucket is not None:
                bucket.give_back(amount)

    def _ask(
        self, address: str, workspace: str, amount: float, is_substitute: bool
    ) -> UsageAnswer | None:
        """Ask the node at ``address``; return ``None`` if it does not answer."""
        number = next(self._numbers)
        inquiry = _Inquiry(workspace, amount, self._clock.elapsed())
        with self._lock:
            self._inquiries[number] = inquiry
        self._record_use(address)
        try:
            self._send(address, UsageRequest(number, workspace, amount, is_substitute))
            self._wait(inquiry.answered, ANSWER_TIMEOUT)
        finally:
            with self._lock:
                inquiry.is_abandoned = inquiry.answer is None
                if not inquiry.is_abandoned:
                    self._inquiries.pop(number, None)
        if inquiry.answer is None:
            log_change("usage_unanswered", workspace=workspace, address=address)
            with self._lock:
                until = self._clock.elapsed() + SILENT_TIME
                self._silent_until[address] = until
        return inquiry.answer

    def _is_silent(self, address: str) -> bool:
        with self._lock:
            until = self._silent_until.get(address)
        return until is not None and self._clock.elapsed() < until

    def _record_use(self, address: str) -> None:
        with self._lock:
            self._used_at[address] = self._clock.elapsed()
