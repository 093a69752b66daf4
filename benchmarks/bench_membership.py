"""Detection time, traffic and false suspicions of failures in the membership."""

from collections.abc import Callable

from _reporting import Report

from runhatch_standins._peer_group import PeerGroup, group_of, region

SIZES = (9, 32, 100, 390)
WARM_UP_ROUNDS = 6
MAX_ROUNDS = 120
PAUSE_ROUNDS = 20
PARTITION_ROUNDS = 120


def rounds_until(group: PeerGroup, done: Callable[[], bool]) -> int:
    """Run rounds until ``done``, at most ``MAX_ROUNDS``; return their number."""
    for rounds in range(MAX_ROUNDS):
        if done():
            return rounds
        group.run(1)
    return MAX_ROUNDS


def no_failure(group: PeerGroup) -> None:
    """Let a healthy group run."""
    group.run(PAUSE_ROUNDS)


def kill_node(group: PeerGroup) -> None:
    """Kill one node."""
    group.dead.add("n001")


def kill_domain(group: PeerGroup) -> None:
    """Kill a whole failure domain."""
    domain = group.nodes["n001"].vm.failure_domain
    group.dead |= {
        name for name, node in group.nodes.items() if node.vm.failure_domain == domain
    }


def pause_node(group: PeerGroup) -> None:
    """Stop one node for a while and let it go on."""
    group.stopped.add("n001")
    group.run(PAUSE_ROUNDS)
    group.stopped.clear()


def cut_one_way(group: PeerGroup) -> None:
    """Lose what one failure domain sends to another, for a while."""
    first = group.nodes["n000"].vm.failure_domain
    second = group.nodes["n001"].vm.failure_domain
    group.cut = lambda a, b: (a.failure_domain, b.failure_domain) == (first, second)
    group.run(PAUSE_ROUNDS)
    group.cut = lambda a, b: False


def partition_region(group: PeerGroup) -> None:
    """Part one region from the others, for a while."""
    group.cut = lambda a, b: (region(a) == "r0") != (region(b) == "r0")
    group.run(PARTITION_ROUNDS)
    group.cut = lambda a, b: False


FAILURES = (
    no_failure,
    kill_node,
    kill_domain,
    pause_node,
    cut_one_way,
    partition_region,
)


def measure(report: Report, size: int, failure: Callable[[PeerGroup], None]) -> None:
    """Add a row for one failure in a group of ``size`` nodes."""
    group = group_of(size)
    group.run(WARM_UP_ROUNDS)
    messages, bytes_before, started = group.messages, group.bytes, group.clock.elapsed()
    failure(group)
    expected_suspicions = len(group.running()) * len(group.dead)
    false_suspicions = group.suspicions(set(group.nodes) - group.dead)
    settled = rounds_until(
        group,
        lambda: (
            group.suspicions(group.dead) == expected_suspicions
            and group.suspicions(set(group.nodes) - group.dead) == 0
        ),
    )
    seconds = (group.clock.elapsed() - started).total_seconds() or 1.0
    report.add(
        failure=(failure.__doc__ or "").rstrip("."),
        nodes=size,
        wrongly_suspected_share=round(false_suspicions / size / (size - 1), 5),
        settled_s=settled,
        messages_node_s=round((group.messages - messages) / seconds / size, 2),
        bytes_node_s=round((group.bytes - bytes_before) / seconds / size, 1),
    )


def main() -> None:
    """Run the benchmark and write its report."""
    report = Report("membership", "Membership under failures", "make bench-membership")
    for failure in FAILURES:
        for size in SIZES:
            measure(report, size, failure)
    report.add_note(
        "Real memberships and peer services over an in-memory network and a manual "
        f"clock, one round a second. The pause and the one-way cut last "
        f"{PAUSE_ROUNDS} s, "
        f"the partition {PARTITION_ROUNDS} s. Wrongly suspected: share of "
        f"all pairs of a node "
        "and another live node when the failure ends (for deaths, when they happen). "
        "Settled: seconds from then until every node has the correct states. "
        "Messages and bytes are those sent per node and second until it has settled."
    )
    report.write()


if __name__ == "__main__":
    main()
