"""Request and allocate permits of rate-limited targets between nodes.

The live node with the highest rank for a target allocates its permits; other nodes
request one permit per request, so no messages are sent for targets without a limit.
While nodes disagree on which are alive, only a node that ranks itself first grants
permits.
"""

import math
import threading
from collections.abc import Callable
from datetime import timedelta
from functools import singledispatchmethod

from runhatch_coordination import Clock, Membership, Vm, compute_weight
from runhatch_server.decisions import ObservedLimit, PermitBucket, issued_rate_share
from runhatch_server.gateway._rate_limits import RateLimits
from runhatch_server.peers import (
    Fact,
    LimitOfTarget,
    Member,
    PermitAnswer,
    PermitRequest,
    RateLimitsUpdate,
)

LOST_NODE_WINDOW = timedelta(seconds=60)
"""How long a silent node counts as one that may still be granting permits."""
LINK_RETENTION = timedelta(seconds=5)
"""How long a link to a node is kept after a permit request to or from it."""
OTHER_ALLOCATOR_RETRY_DELAY = timedelta(milliseconds=200)
"""Wait before requesting again from a node that considers another the allocator."""
MILLISECOND = timedelta(milliseconds=1)
PermitFact = RateLimitsUpdate | PermitRequest | PermitAnswer
"""Messages between nodes about rate limits."""


class PermitExchange:
    """Exchanges rate limits and permits of one node with its peers; thread-safe."""

    def __init__(
        self,
        limits: RateLimits,
        membership: Membership,
        clock: Clock,
        send: Callable[[str, Fact], None],
        publish: Callable[[Fact], None],
        on_answer: Callable[[], None],
    ) -> None:
        self._limits = limits
        self._membership = membership
        self._clock = clock
        self._send = send
        self._publish = publish
        self._on_answer = on_answer
        self._lock = threading.Lock()
        self._buckets: dict[str, PermitBucket] = {}
        self._used_at: dict[str, timedelta] = {}
        """When a permit request was last sent to or received from each address."""
        limits.on_limit = self.publish_limit
        limits.on_permit_request = self.request_permit

    def request_permit(self, target: str, tier: int) -> None:
        """Request a permit to send a request of ``tier`` to ``target``."""
        seen = self._limits.latest_limit(target)
        if seen is None or seen.rate is None:
            return
        alive = self._membership.alive()
        allocator = self._choose_allocator(target, alive)
        if allocator.name == self._membership.own.name:
            wait = self._take_permit(target, tier, seen.rate, len(alive))
            self._record_answer(target, tier, wait)
            return
        self._record_use(allocator.address)
        limit = self._make_limit_message(target, seen)
        self._send(allocator.address, PermitRequest(tier, limit))

    def publish_limit(self, target: str, seen: ObservedLimit) -> None:
        """Publish a changed limit of ``target`` to peers, which forward it."""
        self._publish(RateLimitsUpdate([self._make_limit_message(target, seen)]))

    def limit_facts(self) -> list[Fact]:
        """Return the limits in force as messages for a node that has just started."""
        limits = self._limits.all_limits()
        if not limits:
            return []
        return [
            RateLimitsUpdate(
                [self._make_limit_message(*limit) for limit in limits.items()]
            )
        ]

    def choose_links(self, alive: list[Vm]) -> list[Vm]:
        """Return the nodes to link to for permits.

        Forgets buckets of targets without a limit, and links that were not used lately.
        """
        now = self._clock.elapsed()
        limits = self._limits.all_limits()
        with self._lock:
            self._buckets = {
                target: bucket
                for target, bucket in self._buckets.items()
                if target in limits
            }
            self._used_at = {
                address: at
                for address, at in self._used_at.items()
                if now - at < LINK_RETENTION
            }
            return [vm for vm in alive if vm.address in self._used_at]

    @singledispatchmethod
    def handle_message(self, fact: PermitFact, sender: Member) -> None:
        """Apply a message of a peer about rate limits or permits."""
        raise NotImplementedError(type(fact))

    @handle_message.register
    def _apply_limits(self, fact: RateLimitsUpdate, sender: Member) -> None:
        for limit in fact.limits:
            self._apply_limit(limit)

    @handle_message.register
    def _apply_request(self, fact: PermitRequest, sender: Member) -> None:
        target = fact.limit.target
        self._apply_limit(fact.limit)
        self._record_use(sender.address)
        wait: timedelta | None = OTHER_ALLOCATOR_RETRY_DELAY
        alive = self._membership.alive()
        known = self._limits.latest_limit(target)
        rate = None if known is None else known.rate
        if rate is None and known is not None:
            self._send(
                sender.address,
                RateLimitsUpdate([self._make_limit_message(target, known)]),
            )
        elif self._choose_allocator(target, alive).name != self._membership.own.name:
            with self._lock:
                self._buckets.pop(target, None)
        elif rate is not None:
            wait = self._take_permit(target, fact.tier, rate, len(alive))
        # Rounded up: the requester would take a wait of 0 for a missing answer.
        wait_ms = None if wait is None else math.ceil(wait / MILLISECOND)
        self._send(sender.address, PermitAnswer(target, fact.tier, wait_ms))

    @handle_message.register
    def _apply_answer(self, fact: PermitAnswer, sender: Member) -> None:
        wait = None if fact.wait_ms is None else fact.wait_ms * MILLISECOND
        self._record_answer(fact.target, fact.tier, wait)
        self._on_answer()

    def _record_answer(self, target: str, tier: int, wait: timedelta | None) -> None:
        if wait is None:
            self._limits.record_granted(target)
        else:
            self._limits.record_denied(target, tier, wait)

    def _take_permit(
        self, target: str, tier: int, rate: float, alive_count: int
    ) -> timedelta | None:
        """Take a permit of a target that this node allocates.

        Return ``None`` if one is granted, else the time until the next can be granted.
        """
        now = self._clock.elapsed()
        rate *= issued_rate_share(
            alive_count, self._membership.count_suspected_within(LOST_NODE_WINDOW)
        )
        with self._lock:
            bucket = self._buckets.setdefault(target, PermitBucket(rate, now))
            return bucket.request_permit(tier, rate, now)

    def _choose_allocator(self, target: str, alive: list[Vm]) -> Vm:
        """Return the node that allocates the permits of ``target``."""
        if not alive:
            return self._membership.own
        return max(alive, key=lambda vm: compute_weight(target, vm.name))

    def _apply_limit(self, limit: LimitOfTarget) -> None:
        at = self._clock.elapsed() - limit.age_ms * MILLISECOND
        self._limits.apply_report(limit.target, ObservedLimit(limit.rate, at))

    def _make_limit_message(self, target: str, seen: ObservedLimit) -> LimitOfTarget:
        age = self._clock.elapsed() - seen.at
        return LimitOfTarget(target, seen.rate, round(age / MILLISECOND))

    def _record_use(self, address: str) -> None:
        with self._lock:
            self._used_at[address] = self._clock.elapsed()
