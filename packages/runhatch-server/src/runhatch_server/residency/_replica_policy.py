"""When another replica of a model is worth its load.

Models are replicated early, and replicas may replace models that are used less, where
targets state how long work takes, because they differ in speed and share their hosts,
or where loads are short.
"""

from collections.abc import Sequence
from dataclasses import dataclass, replace
from datetime import timedelta

from runhatch_server.routing import EngineModel

MAX_SHORT_LOAD = timedelta(seconds=3)
"""Longest load from the weight store that counts as short: an evicted model is then
back about as soon as one that has a copy on a target's disk."""


@dataclass(frozen=True, slots=True)
class ReplicaPolicy:
    """Limits for the replicas of models.

    Loads are shares of a target's time spent on prompts.
    """

    replica_load: float
    """Load above which another replica is worth loading, because prompts wait for each
    other and requests arrive in bursts."""
    lossless_load: float
    """Load up to which a target takes over another replica's requests without a loss;
    at ``replica_load`` all of them are counted as lost."""
    min_load_difference: float
    """Minimum difference in load between the busiest holder and the target of a new
    replica."""
    persistence_seconds: float
    """Expected duration of demand for a model. A load that takes longer gains only the
    requests already waiting for it."""
    loads_concurrently: bool
    """Whether as many replicas of a model may be loaded at a time as targets hold it.
    Demand that has just begun is overestimated, so that one holder starts one load;
    short loads are started one after the other."""
    may_evict: bool
    """Whether a replica may replace the only replica of a model in demand, and may
    replace models while it is loaded from the weight store. Neither is allowed while
    requests have missed a model for as long as its load takes."""
    uses_capacities: bool
    """Whether work that moves to a target is compared with the target's capacity."""


CAUTIOUS = ReplicaPolicy(
    replica_load=0.5,  # A prompt of 100 ms waits half as long again.
    lossless_load=0.25,
    min_load_difference=0.2,
    persistence_seconds=10.0,
    loads_concurrently=False,
    may_evict=False,
    uses_capacities=False,
)
EAGER = ReplicaPolicy(
    replica_load=0.35,  # Leaves room for a target that is slowed for a moment.
    lossless_load=0.2,
    min_load_difference=0.1,
    persistence_seconds=20.0,  # Leaves half of it to use a replica after a long load.
    loads_concurrently=False,
    may_evict=True,
    uses_capacities=True,
)


def choose_policy(
    models: Sequence[EngineModel], states_work_time: bool
) -> ReplicaPolicy:
    """Return the policy for a service with ``models``.

    ``states_work_time`` is whether any of its targets states how long work takes.
    """
    longest = max((model.loads.from_store for model in models), default=timedelta())
    if timedelta() < longest <= MAX_SHORT_LOAD:
        return EAGER
    if states_work_time:
        return replace(EAGER, loads_concurrently=True)
    return CAUTIOUS
