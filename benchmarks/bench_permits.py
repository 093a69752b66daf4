"""Processor time of permits for a rate-limited target, at both nodes involved."""

import statistics
import time

from _reporting import Report

from runhatch_coordination import (
    MemberFact,
    Membership,
    Standing,
    SystemClock,
    Vm,
    rank_names,
)
from runhatch_server.gateway._permits import PermitExchange
from runhatch_server.gateway._rate_limits import RateLimits
from runhatch_server.observability import Metrics
from runhatch_server.peers import Fact, LimitOfTarget, Member, PermitRequest

NODES = (9, 91, 195, 390)
PERMITS = 2_000
"""Number of permits per trial."""
TRIALS = 5
RATE = 1_000_000.0
"""Requests per second; high enough that every permit is granted."""


def make_exchange(own: Vm, vms: list[Vm]) -> PermitExchange:
    """Return the permit exchange of one node, which discards its messages."""

    def discard(address: str, fact: Fact) -> None:
        pass

    clock = SystemClock()
    membership = Membership(own, clock)
    membership.merge_facts(MemberFact(vm, Standing.ALIVE) for vm in vms)
    limits = RateLimits(clock, Metrics())
    exchange = PermitExchange(
        limits, membership, clock, discard, lambda fact: None, lambda: None
    )
    limits.apply_answer("t", RATE, clock.elapsed())
    return exchange


def run_trial(count: int) -> tuple[float, float]:
    """Return the microseconds to request a permit and to grant one."""
    vms = [Vm(f"n{i}", f"d{i % 3}", f"10.0.0.{i}:1", 1) for i in range(count)]
    ranked = rank_names("t", [vm.name for vm in vms])
    by_name = {vm.name: vm for vm in vms}
    allocator = make_exchange(by_name[ranked[0]], vms)
    requester = make_exchange(by_name[ranked[1]], vms)
    sender = Member(ranked[1], "d0", by_name[ranked[1]].address, 1, Standing.ALIVE)
    fact = PermitRequest(0, LimitOfTarget("t", RATE, 0))
    started = time.process_time()
    for _ in range(PERMITS):
        requester.request_permit("t", 0)
    requested = time.process_time()
    for _ in range(PERMITS):
        allocator.handle_message(fact, sender)
    granted = time.process_time()
    return (requested - started) / PERMITS * 1e6, (granted - requested) / PERMITS * 1e6


def main() -> None:
    """Run the benchmark and write its report."""
    report = Report("permits", "Permits for limited targets", "make bench-permits")
    for count in NODES:
        trials = [run_trial(count) for _ in range(TRIALS)]
        report.add(
            nodes=count,
            ask_us=round(statistics.median(request_us for request_us, _ in trials), 1),
            give_us=round(statistics.median(grant_us for _, grant_us in trials), 1),
        )
    report.add_note(
        f"Processor time per permit, over {PERMITS} permits, at the requesting and at "
        f"the granting node, without the messages; medians of {TRIALS} trials."
    )
    report.write()


if __name__ == "__main__":
    main()
