"""The faults of a run of gateways, and when they come."""

import random
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum


class GatewayFault(Enum):
    """What may happen to the system."""

    KILL = "kill gateway"
    PAUSE = "pause gateway"
    STOP = "stop gateway gracefully"
    RELOAD = "gateway told that settings changed"
    CUT_FROM_STORE = "gateway refused by store"
    SILENT_STORE_LINK = "gateway's store link silent"
    STORE_DOWN = "store down"
    STORE_SILENT = "store silent"
    STORE_SLOW = "store slow"
    STORE_LOSES = "store loses answers"
    STORE_FORGETS = "store forgets its history"
    TARGET_FAILS = "target fails after running"
    TARGET_HANGS = "target hangs"
    TARGET_RESTARTS = "target starts again under its name"
    ORDERS_LOST = "target loses orders"
    FOREIGN_ENTRY = "entry of another writer"
    CONFIGURATION = "configuration changes"
    STORE_RESTORED = "store comes back from an older copy"
    RATE_LIMIT = "target names a rate limit"
    HOLDER_KILLED = "holder killed, starts again at once"
    HOLDER_STOPPED = "holder stopped gracefully"


FIRST_KINDS = tuple(GatewayFault)[:17]
"""The kinds that runs of earlier seeds were planned with."""
ALL_KINDS = tuple(GatewayFault)[:19]
HOLDER_KINDS = (
    *GatewayFault,
    *[GatewayFault.HOLDER_KILLED] * 12,
    *[GatewayFault.HOLDER_STOPPED] * 4,
    *[GatewayFault.STORE_RESTORED] * 4,
)
"""All there are; those that change who orders come often."""


@dataclass(frozen=True, slots=True)
class PlannedFault:
    """One fault: when, what, to whom and for how long, in seconds."""

    at: float
    kind: GatewayFault
    subject: int
    lasts: float


def plan_faults(
    seed: int, seconds: float, kinds: Sequence[GatewayFault] = ALL_KINDS
) -> list[PlannedFault]:
    """Return the faults of a run, always the same for a seed; many overlap."""
    source = random.Random(seed)
    planned = []
    at = 1.0
    while at < seconds - 2:
        subject, lasts = source.randrange(1_000), source.uniform(0.3, 3.0)
        planned.append(PlannedFault(at, source.choice(kinds), subject, lasts))
        at += source.uniform(0.2, 1.5)
    return planned
