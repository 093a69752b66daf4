"""Exchange between nodes of the room of brittle targets.

The node that allocates the permits of a brittle target counts what all nodes have
outstanding at it.  Each node reports its part when a request ends and at an interval;
reports are totals, so that a lost one is replaced by the next.
"""

import itertools
import math
import threading
from collections.abc import Callable, Iterable
from datetime import timedelta

from runhatch_coordination import Clock, Membership, Vm, compute_weight
from runhatch_server.decisions import (
    RoomAnswer,
    RoomGate,
    RoomReport,
)
from runhatch_server.fleet import TargetDirectory
from runhatch_server.gateway._rate_limits import RateLimits
from runhatch_server.observability import log_change
from runhatch_server.peers import Fact, PermitAnswer, RoomOfTarget, RoomReports

LOST_NODE_WINDOW = timedelta(seconds=60)
"""How long a silent node counts as one that may still be granting permits."""
REPORT_INTERVAL = timedelta(milliseconds=240)
"""Shortest interval between two reports of everything outstanding."""
UNKNOWN_RETRY_DELAY = timedelta(milliseconds=200)
"""Delay after which a node requests room again from one without the target's entry."""
NUMBERS_PER_INCARNATION = 1 << 24
"""Numbers begin higher in each incarnation of a node, which starts seconds later."""
MILLISECOND = timedelta(milliseconds=1)


def choose_allocator(target: str, own: Vm, alive: Iterable[Vm]) -> Vm:
    """Return the node that allocates the permits of ``target``."""
    return max(alive, key=lambda vm: compute_weight(target, vm.name), default=own)


def count_slots(directory: TargetDirectory, target: str) -> int:
    """Return how many requests ``target`` runs concurrently, 0 if it is unknown."""
    known = directory.get(target)
    return 0 if known is None else known.slots


class RoomExchange:
    """Reports and grants of room at brittle targets, of one node; thread-safe."""

    def __init__(
        self,
        limits: RateLimits,
        membership: Membership,
        clock: Clock,
        send: Callable[[str, Fact], None],
        on_answer: Callable[[], None],
        slots_of: Callable[[str], int],
    ) -> None:
        self._limits = limits
        self._membership = membership
        self._clock = clock
        self._send = send
        self._on_answer = on_answer
        self._slots_of = slots_of
        self._lock = threading.Lock()
        self._report_lock = threading.Lock()
        self._gates: dict[str, RoomGate] = {}
        first = membership.own.incarnation * NUMBERS_PER_INCARNATION + 1
        self._report_numbers = itertools.count(first)
        self._grant_numbers = itertools.count(first)
        self._reported_at = timedelta(days=-1)
        limits.on_room_change = self.report
        limits.on_reuse = on_answer

    def request(self, target: str, tier: int, address: str) -> None:
        """Request room at ``target``, which this node allocates, for ``address``."""
        own = self._membership.own
        alive = self._membership.alive()
        if address == own.address:
            self._apply_own(target)
        now = self._clock.elapsed()
        with self._lock:
            gate = self._find_gate(target, alive)
            if gate is not None:
                gate.request(address, tier, now)
        if gate is None:
            self._deliver(target, RoomAnswer(address, tier, wait=UNKNOWN_RETRY_DELAY))
        else:
            self._answer_requests(target, alive)

    def report(self, target: str) -> None:
        """Report what this node has outstanding at ``target`` to its allocator."""
        alive = self._membership.alive()
        allocator = choose_allocator(target, self._membership.own, alive)
        self._report_to(allocator, [target], alive)

    def report_all(self) -> list[str]:
        """Report what this node has outstanding at all brittle targets.

        Return the addresses of the allocators.
        """
        targets = self._limits.brittle_targets()
        now = self._clock.elapsed()
        if not targets or now - self._reported_at < REPORT_INTERVAL:
            return []
        self._reported_at = now
        own, alive = self._membership.own, self._membership.alive()
        targets_by_address: dict[str, list[str]] = {}
        allocators: dict[str, Vm] = {}
        for target in targets:
            allocator = choose_allocator(target, own, alive)
            allocators[allocator.address] = allocator
            targets_by_address.setdefault(allocator.address, []).append(target)
        for address, allocated in targets_by_address.items():
            self._report_to(allocators[address], allocated, alive)
        return [address for address in allocators if address != own.address]

    def apply_reports(self, fact: RoomReports, address: str) -> None:
        """Apply the reports of the node at ``address``, and grant what they free."""
        alive = self._membership.alive()
        now = self._clock.elapsed()
        for room in fact.rooms:
            report = RoomReport(
                fact.number, room.outstanding, room.confirmed, room.rejected
            )
            self._apply_report(room.target, address, report, now)
            self._answer_requests(room.target, alive)

    def remove_ended(self) -> None:
        """Forget targets that are not brittle, or that other nodes allocate."""
        brittle = set(self._limits.brittle_targets())
        own, alive = self._membership.own, self._membership.alive()
        with self._lock:
            self._gates = {
                target: gate
                for target, gate in self._gates.items()
                if target in brittle
                and choose_allocator(target, own, alive).name == own.name
            }

    def _find_gate(self, target: str, alive: list[Vm]) -> RoomGate | None:
        """Return the gate of a brittle target that this node allocates."""
        own = self._membership.own
        if choose_allocator(target, own, alive).name != own.name:
            self._gates.pop(target, None)
            return None
        known = self._limits.latest_limit(target)
        if known is None or known.max_rejections is None:
            return None
        gate = self._gates.get(target)
        slots = self._slots_of(target)
        if gate is None and slots:
            gate = RoomGate(slots, self._clock.elapsed(), self._grant_numbers)
            self._gates[target] = gate
        return gate

    def _report_to(self, allocator: Vm, targets: list[str], alive: list[Vm]) -> None:
        if allocator.name == self._membership.own.name:
            for target in targets:
                self._apply_own(target)
                self._answer_requests(target, alive)
            return
        self._send(allocator.address, self._make_reports(targets, allocator.address))

    def _apply_own(self, target: str) -> None:
        own = self._membership.own.address
        fact = self._make_reports([target], own)
        room = fact.rooms[0]
        report = RoomReport(
            fact.number, room.outstanding, room.confirmed, room.rejected
        )
        self._apply_report(target, own, report, self._clock.elapsed())

    def _apply_report(
        self, target: str, address: str, report: RoomReport, now: timedelta
    ) -> None:
        with self._lock:
            gate = self._find_gate(target, self._membership.alive())
            if gate is None:
                return
            before = gate.fitting
            gate.apply_report(address, report, now)
            fitting = gate.fitting
        if fitting < before:
            log_change("room_lowered", target=target, fitting=fitting, node=address)

    def _make_reports(self, targets: list[str], allocator: str) -> RoomReports:
        # A later number must not go with an earlier count.
        with self._report_lock:
            rooms = []
            for target in targets:
                # Permits are read first: one that is used meanwhile counts twice.
                usage = self._limits.permit_usage(target, allocator)
                outstanding = self._limits.count_outstanding(target)
                rooms.append(
                    RoomOfTarget(
                        target,
                        usage.permits + outstanding,
                        usage.confirmed,
                        usage.rejected,
                    )
                )
            return RoomReports(next(self._report_numbers), rooms)

    def _answer_requests(self, target: str, alive: list[Vm]) -> None:
        known = self._limits.latest_limit(target)
        if known is None or known.max_rejections is None:
            return
        lost = self._membership.count_suspected_within(LOST_NODE_WINDOW)
        addresses = [vm.address for vm in alive]
        now = self._clock.elapsed()
        with self._lock:
            gate = self._gates.get(target)
            if gate is None:
                return
            answers = gate.answer_requests(known.max_rejections, addresses, lost, now)
        for answer in answers:
            self._deliver(target, answer)

    def _deliver(self, target: str, answer: RoomAnswer) -> None:
        own = self._membership.own.address
        if answer.node != own:
            # Rounded up: the requester would take a wait of 0 for a missing answer.
            wait = answer.wait
            wait_ms = None if wait is None else math.ceil(wait / MILLISECOND)
            self._send(
                answer.node, PermitAnswer(target, answer.tier, wait_ms, answer.grant)
            )
        elif answer.wait is None:
            self._limits.record_granted(target, own, answer.grant)
            self._on_answer()
        else:
            self._limits.record_denied(target, answer.tier, answer.wait)
            self._on_answer()
