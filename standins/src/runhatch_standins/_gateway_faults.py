"""Plan the faults that a run of the gateway soak injects."""

import random
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum


class GatewayFault(Enum):
    """Kinds of faults that a run may inject."""

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
    ANSWERS_UNFRAMED = "target answers without framing"
    STREAMS_CLOSED = "target closes streams early"
    STREAMS_RESET = "target resets streams"
    PARTITION = "gateways cut off from targets"
    RELEASE = "target replaced by one of another version"
    RELEASED_CRASHES = "target of replaced service crashes"
    RELEASED_CLOSES = "target of replaced service closes streams"
    RELEASED_RESETS = "target of replaced service resets streams"
    BRITTLE_LOAD = "load beyond room of brittle targets"
    CRASHING_PROMPTS = "prompts with a part that crashes targets"


FIRST_KINDS = tuple(GatewayFault)[:17]
"""Kinds used by the oldest plans, so that their seeds give the same faults."""
ALL_KINDS = tuple(GatewayFault)[:19]
HOLDER_KINDS = (
    *tuple(GatewayFault)[:21],
    *[GatewayFault.HOLDER_KILLED] * 12,
    *[GatewayFault.HOLDER_STOPPED] * 4,
    *[GatewayFault.STORE_RESTORED] * 4,
)
"""Kinds of which those that change the holder of the order lease are repeated."""
STREAM_KINDS = (
    *tuple(GatewayFault)[:24],
    *[GatewayFault.ANSWERS_UNFRAMED] * 8,
    *[GatewayFault.STREAMS_CLOSED] * 8,
    *[GatewayFault.STREAMS_RESET] * 8,
)
"""Kinds of which those that concern the ends of answers are repeated."""
PARTITION_KINDS = (*tuple(GatewayFault)[:25], *[GatewayFault.PARTITION] * 8)
"""Kinds of which cuts between gateways and targets are repeated."""
GATEWAY_ENDS = (GatewayFault.KILL, GatewayFault.PAUSE, GatewayFault.STOP)
RELEASE_KINDS = (
    *GATEWAY_ENDS,
    GatewayFault.RELOAD,
    GatewayFault.CONFIGURATION,
    *[GatewayFault.RELEASE] * 4,
    *[GatewayFault.RELEASED_CRASHES] * 2,
    *[GatewayFault.RELEASED_CLOSES] * 2,
    *[GatewayFault.RELEASED_RESETS] * 2,
)
"""Kinds that replace targets, break off streams or end gateways."""
BRITTLE_KINDS = (
    *GATEWAY_ENDS,
    GatewayFault.RELOAD,
    GatewayFault.CONFIGURATION,
    *[GatewayFault.BRITTLE_LOAD] * 5,
)
"""Kinds that load brittle targets or end gateways."""
PROMPT_KINDS = (
    *GATEWAY_ENDS,
    GatewayFault.RELOAD,
    GatewayFault.CONFIGURATION,
    *[GatewayFault.CRASHING_PROMPTS] * 5,
)
"""Kinds that crash targets by a part of prompts or end gateways."""
KINDS = {
    "first": FIRST_KINDS,
    "all": ALL_KINDS,
    "holder": HOLDER_KINDS,
    "streams": STREAM_KINDS,
    "partition": PARTITION_KINDS,
    "release": RELEASE_KINDS,
    "brittle": BRITTLE_KINDS,
    "prompts": PROMPT_KINDS,
}

FOREIGN_ENTRIES: tuple[object, ...] = (
    {"service": "plain"},
    {"address": 7},
    "text",
    [],
    {"state": "ready"},
)


@dataclass(frozen=True, slots=True)
class PlannedFault:
    """One fault: start and duration in seconds, kind, and number of its subject."""

    at: float
    kind: GatewayFault
    subject: int
    lasts: float


def plan_faults(
    seed: int, seconds: float, kinds: Sequence[GatewayFault] = ALL_KINDS
) -> list[PlannedFault]:
    """Return the faults of a run, which may overlap; equal for equal seeds."""
    rng = random.Random(seed)
    planned = []
    at = 1.0
    while at < seconds - 2:
        subject, lasts = rng.randrange(1_000), rng.uniform(0.3, 3.0)
        planned.append(PlannedFault(at, rng.choice(kinds), subject, lasts))
        at += rng.uniform(0.2, 1.5)
    return planned
