"""Cut gateways off from all targets, and check that they serve nevertheless."""

import random
import threading
import time
from collections.abc import Iterable, Mapping, Sequence
from contextlib import ExitStack
from dataclasses import dataclass

from runhatch_standins._gateway_faults import PlannedFault
from runhatch_standins._target_paths import PathFault, TargetPaths

CONTACT_SECONDS = 3.0
"""Time after which gateways without targets must serve again."""
MIN_CUT_SECONDS = CONTACT_SECONDS + 2.0
CUTS = (PathFault.RESET, PathFault.HANG, PathFault.NEW_REFUSED)
MIN_RELATIVE_SHARE = 2 / 3
"""Share of tries served by gateways without targets, of the share of the others."""
FAILED_ALLOWANCE = 10
FAILED_ALLOWANCE_SHARE = 1 / 50
"""Of all tries, in addition to ``FAILED_ALLOWANCE``."""


@dataclass(frozen=True, slots=True)
class Try:
    """A caller's try: gateway, start in monotonic seconds, and whether served."""

    gateway: str
    at: float
    is_served: bool


@dataclass(frozen=True, slots=True)
class Partition:
    """Gateways that reach no target, and the time in which they must serve."""

    gateways: frozenset[str]
    begins: float
    ends: float


def check_partitions(
    tries: Sequence[Try], partitions: Iterable[Partition]
) -> list[str]:
    """Return a violation per partition in which the cut gateways serve too few."""
    violations = []
    for partition in partitions:
        within = [t for t in tries if partition.begins <= t.at < partition.ends]
        cut = [t.is_served for t in within if t.gateway in partition.gateways]
        others = [t.is_served for t in within if t.gateway not in partition.gateways]
        allowance = FAILED_ALLOWANCE + FAILED_ALLOWANCE_SHARE * len(within)
        if cut.count(False) <= allowance or not others:
            continue
        least = MIN_RELATIVE_SHARE * sum(others) / len(others)
        if sum(cut) / len(cut) < least:
            violations.append(
                f"{', '.join(sorted(partition.gateways))} without targets served "
                f"{sum(cut)} of {len(cut)}, others {sum(others)} of {len(others)}"
            )
    return violations


def cut_gateways(
    paths: TargetPaths,
    planned: PlannedFault,
    names: Iterable[str],
    locks: Mapping[str, threading.Lock],
    stop: threading.Event,
) -> Partition:
    """Cut some of the gateways ``names``, but not all, until ``stop`` at the latest.

    Holds the locks of the cut gateways, so that no other fault ends or pauses them.
    """
    rng = random.Random(planned.subject)
    names = sorted(names)
    cut = sorted(rng.sample(names, rng.randint(1, len(names) - 1)))
    fault = rng.choice(CUTS)
    with ExitStack() as stack:
        for name in ("paths", *cut):
            stack.enter_context(locks[name])
        begins = time.monotonic() + CONTACT_SECONDS
        for name in cut:
            paths.cut(name, fault)
        stop.wait(MIN_CUT_SECONDS + planned.lasts)
        ends = time.monotonic()
        for name in cut:
            paths.cut(name, PathFault.NONE)
    return Partition(frozenset(cut), begins, ends)
