"""Ways in which readers notice that the store is silent, and that it is back.

For each way and size: the store calls of 30 calm seconds and of an outage of 8.2 s, and
the longest time from the ack of a change just after an outage, of several durations, to
its application on the last node. A reserve holds the lease. The last column is for one
outage in which six in ten nodes restart.
"""

import sys
from datetime import timedelta
from pathlib import Path
from unittest import mock

from _reporting import Report

from runhatch_coordination import Role
from runhatch_coordination._store_contact import (
    CHECK_WAIT,
    UNCONFIRMED_WAIT,
    StoreContact,
)

TESTS = Path(__file__).parent.parent / "packages/runhatch-coordination/tests"
sys.path.insert(0, str(TESTS))

from silent_store import SilentWorld  # noqa: E402

CALM_SECONDS = 30.0
STARTUP_SECONDS = 6.0
OUTAGES_SECONDS = (1.5, 3.0, 5.0, 8.2)
RESTART_AFTER_SECONDS = 3.1
RESTART_SECONDS = 1.0
ACK_SECONDS = 0.06
OBSERVED_SECONDS = 12.0
DOMAINS_BY_SIZE = {9: "aaaabbbcc", 90: "abc" * 30, 390: "abcdef" * 65}


class LongWaits(StoreContact):
    """Each call waits long."""

    def begin_call(self, longest_wait: timedelta) -> timedelta:
        super().begin_call(longest_wait)
        return longest_wait

    def end_doubtful_wait(self) -> bool:
        return False

    def record_answer_to_other_node(self) -> bool:
        return False


class CheckedWaits(LongWaits):
    """A call that is answered at once precedes each series of long waits."""

    def begin_call(self, longest_wait: timedelta) -> timedelta:
        wait = StoreContact.begin_call(self, longest_wait)
        return wait if wait == CHECK_WAIT else longest_wait


class ShortWaits(LongWaits):
    """Each call waits 2 s at most."""

    def begin_call(self, longest_wait: timedelta) -> timedelta:
        return min(StoreContact.begin_call(self, longest_wait), UNCONFIRMED_WAIT)


WAYS = {
    "long waits": LongWaits,
    "check first": CheckedWaits,
    "waits of 2 s": ShortWaits,
    "check first, answers to others": StoreContact,
}


def measure_calm_calls(size: int) -> int:
    """Return the store calls of the readers in some calm seconds."""
    world = SilentWorld(DOMAINS_BY_SIZE[size])
    world.run(STARTUP_SECONDS)
    calls = world.store.calls
    world.run(CALM_SECONDS)
    world.simulation.close()
    return world.store.calls - calls


def measure_outage(
    size: int, silent: float, restarted_share: float = 0.0
) -> tuple[float, int]:
    """Return the seconds until the last node has a change, and the store calls."""
    world = SilentWorld(DOMAINS_BY_SIZE[size])
    world.holder = world.nodes_with_role(Role.RESERVE)[-1]
    world.run(STARTUP_SECONDS)
    calls = world.store.calls
    world.store.fall_silent(silent)
    restarted = world.nodes[1 : 1 + round(size * restarted_share)]
    if restarted:
        world.run(RESTART_AFTER_SECONDS)
        for node in restarted:
            node.stop()
        world.run(RESTART_SECONDS)
        for node in restarted:
            node.start()
        silent -= RESTART_AFTER_SECONDS + RESTART_SECONDS
    world.run(silent + ACK_SECONDS)
    calls = world.store.calls - calls
    version, written_at = world.write()
    world.run(OBSERVED_SECONDS)
    delay = max(world.delays(version, written_at).values())
    world.simulation.close()
    return delay, calls


def main() -> None:
    """Measure each way at each size."""
    sizes = [int(word) for word in sys.argv[1:]] or list(DOMAINS_BY_SIZE)
    report = Report(
        "silent-store", "Readers of a silent store", "make bench-silent-store"
    )
    for size in sizes:
        for way, contact in WAYS.items():
            with mock.patch("runhatch_coordination._shared.StoreContact", contact):
                calm_calls = measure_calm_calls(size)
                outages = [measure_outage(size, silent) for silent in OUTAGES_SECONDS]
                restart_delay, _ = measure_outage(size, OUTAGES_SECONDS[-1], 0.6)
            report.add(
                nodes=size,
                way=way,
                calls_in_30_calm_seconds=calm_calls,
                calls_in_the_outage=outages[-1][1],
                last_node_s=max(delay for delay, _ in outages),
                last_node_s_with_restarts=restart_delay,
            )
    report.write()


if __name__ == "__main__":
    main()
