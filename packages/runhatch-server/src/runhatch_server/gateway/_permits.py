"""Request and allocate permits of rate-limited targets between nodes.

The live node with the highest rank for a target allocates its permits; other nodes
request one permit per request, so no messages are sent for targets without a limit.
While nodes disagree on which are alive, only a node that ranks itself first grants
permits.
"""

import math
import threading
from collections.abc import Callable
from dataclasses import replace
from datetime import timedelta
from functools import singledispatchmethod

from runhatch_coordination import Clock, Membership, Vm
from runhatch_server.decisions import ObservedLimit, PermitBucket, issued_rate_share
from runhatch_server.gateway._pauses import PauseDetector
from runhatch_server.gateway._rate_limits import RateLimits
from runhatch_server.gateway._rooms import (
    LOST_NODE_WINDOW,
    RoomExchange,
    choose_allocator,
)
from runhatch_server.peers import (
    Fact,
    LimitOfTarget,
    Member,
    PermitAnswer,
    PermitRequest,
    RateLimitsUpdate,
    RoomReports,
)

LINK_RETENTION = timedelta(seconds=5)
"""How long a link to a node is kept after a permit request to or from it."""
OTHER_ALLOCATOR_RETRY_DELAY = timedelta(milliseconds=200)
"""Wait before requesting again from a node that considers another the allocator."""
MILLISECOND = timedelta(milliseconds=1)
PermitFact = RateLimitsUpdate | PermitRequest | PermitAnswer | RoomReports
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
        slots_of: Callable[[str], int] = lambda target: 0,
    ) -> None:
        self._limits = limits
        self._membership = membership
        self._clock = clock
        self._send = send
        self._publish = publish
        self._on_answer = on_answer
        self._lock = threading.Lock()
        self._buckets: dict[str, PermitBucket] = {}
        self._pauses = PauseDetector(clock)
        self._used_at: dict[str, timedelta] = {}
        """When a permit request was last sent to or received from each address."""
        self._rooms = RoomExchange(limits, membership, clock, send, on_answer, slots_of)
        limits.on_limit = self.publish_limit
        limits.on_permit_request = self.request_permit

    def request_permit(self, target: str, tier: int) -> None:
        """Request a permit to send a request of ``tier`` to ``target``."""
        seen = self._limits.latest_limit(target)
        if seen is None or not seen.is_in_force:
            return
        alive = self._membership.alive()
        allocator = self._choose_allocator(target, alive)
        if allocator.name == self._membership.own.name:
            wait = self._take_permit(target, tier, seen, len(alive))
            if wait is None and seen.max_rejections is not None:
                self._rooms.request(target, tier, allocator.address)
            else:
                self._record_answer(PermitAnswer(target, tier, None), wait)
            return
        self._record_use(allocator.address)
        limit = self._make_limit_message(target, seen)
        self._send(allocator.address, PermitRequest(tier, limit))

    def report_rooms(self) -> None:
        """Report what this node has outstanding at brittle targets.

        Called at a short interval, which shows when this process was paused.
        """
        self._pauses.record_running()
        for address in self._rooms.report_all():
            self._record_use(address)

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
        self._rooms.remove_ended()
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
        if known is not None and not known.is_in_force:
            self._send(
                sender.address,
                RateLimitsUpdate([self._make_limit_message(target, known)]),
            )
        elif self._choose_allocator(target, alive).name != self._membership.own.name:
            with self._lock:
                self._buckets.pop(target, None)
        elif known is not None:
            wait = self._take_permit(target, fact.tier, known, len(alive))
            if wait is None and known.max_rejections is not None:
                self._rooms.request(target, fact.tier, sender.address)
                return
        # Rounded up: the requester would take a wait of 0 for a missing answer.
        wait_ms = None if wait is None else math.ceil(wait / MILLISECOND)
        self._send(sender.address, PermitAnswer(target, fact.tier, wait_ms))

    @handle_message.register
    def _apply_answer(self, fact: PermitAnswer, sender: Member) -> None:
        wait = None if fact.wait_ms is None else fact.wait_ms * MILLISECOND
        self._record_answer(fact, wait, sender.address)
        self._on_answer()

    @handle_message.register
    def _apply_rooms(self, fact: RoomReports, sender: Member) -> None:
        self._record_use(sender.address)
        self._rooms.apply_reports(fact, sender.address)

    def _record_answer(
        self, fact: PermitAnswer, wait: timedelta | None, allocator: str = ""
    ) -> None:
        if wait is None:
            self._limits.record_granted(fact.target, allocator, fact.grant)
        else:
            self._limits.record_denied(fact.target, fact.tier, wait)

    def _take_permit(
        self, target: str, tier: int, seen: ObservedLimit, alive_count: int
    ) -> timedelta | None:
        """Take a permit for the rate of a target that this node allocates.

        Return ``None`` if one is granted, else the time until the next can be granted.
        """
        if seen.rate is None:
            return None
        now = self._clock.elapsed()
        rate = seen.rate * issued_rate_share(
            alive_count, self._membership.count_suspected_within(LOST_NODE_WINDOW)
        )
        with self._lock:
            bucket = self._buckets.setdefault(target, PermitBucket(rate, now))
            return bucket.request_permit(tier, rate, now)

    def _choose_allocator(self, target: str, alive: list[Vm]) -> Vm:
        """Return the node that allocates the permits of ``target``."""
        return choose_allocator(target, self._membership.own, alive)

    def _apply_limit(self, limit: LimitOfTarget) -> None:
        at = self._clock.elapsed() - limit.age_ms * MILLISECOND
        since = None
        if limit.max_rejections is not None:
            since = self._clock.elapsed() - limit.brittle_for_ms * MILLISECOND
        seen = ObservedLimit(limit.rate, at, limit.max_rejections, since)
        known = self._limits.latest_limit(limit.target)
        if known is not None and not seen.is_as_strict_as(known):
            # An older message must not lift or raise a limit.
            seen = replace(seen, at=at - self._pauses.max_unread_time())
        self._limits.apply_report(limit.target, seen)

    def _make_limit_message(self, target: str, seen: ObservedLimit) -> LimitOfTarget:
        now = self._clock.elapsed()
        brittle_for = timedelta()
        if seen.brittle_since is not None:
            brittle_for = now - seen.brittle_since
        return LimitOfTarget(
            target,
            seen.rate,
            round((now - seen.at) / MILLISECOND),
            seen.max_rejections,
            round(brittle_for / MILLISECOND),
        )

    def _record_use(self, address: str) -> None:
        with self._lock:
            self._used_at[address] = self._clock.elapsed()
