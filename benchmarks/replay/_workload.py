"""Generates requests with bursts for the models of a deployment, from a seed."""

import random
from dataclasses import dataclass

from runhatch_server.configuration import Deployment

SLOTS = 8
SERVICE_SECONDS = 2.0
DEADLINE_SECONDS = 8.0
MEMORY_MB = 80_000
BURST_FACTOR = 10.0
BURST_SECONDS = (60.0, 400.0)
MODELS_IN_BURST = 0.06
"""Average share of models that are in a burst."""
MEMORY_SHARE = 0.7
"""Share of all memory needed for one replica of every model."""
POPULARITY_EXPONENT = 0.9
"""Exponent of the Zipf distribution of popularity over the models' ranks."""


@dataclass(frozen=True, slots=True)
class Size:
    """The size of a deployment and its limits on loads."""

    name: str
    workers: int
    models: int
    adapters: int
    loads_per_second: float
    max_concurrent_loads: int
    move_price: float


TUMEN = Size("tumen", 6, 26, 64, 1.5, 15, 40.0)
ASSOCIATION = Size("association", 9, 39, 95, 2.0, 17, 10.0)


@dataclass(frozen=True, slots=True)
class Arrival:
    """One request; times in seconds from the start."""

    at: float
    model: str
    service: float


@dataclass(frozen=True, slots=True)
class Workload:
    """A deployment and its requests."""

    size: Size
    deployment: Deployment
    arrivals: tuple[Arrival, ...]
    seconds: float


def make_workload(
    size: Size, seed: int, seconds: float, load: float, bursts: bool = True
) -> Workload:
    """Return a workload with a mean load of ``load`` times the capacity of all slots.

    Without ``bursts`` every worker has memory for every model, and all models have
    equal demand.
    """
    rng = random.Random(seed)
    names = [f"m{index}" for index in range(size.models)]
    shares = [1 / (rank + 1) ** POPULARITY_EXPONENT for rank in range(size.models)]
    rng.shuffle(shares)
    if not bursts:
        shares = [1.0 for _ in names]
    bursts_by_name = {
        name: _make_bursts(rng, seconds) if bursts else [] for name in names
    }
    mean_growth = 1 + MODELS_IN_BURST * (BURST_FACTOR - 1) if bursts else 1.0
    mean = load * size.workers * SLOTS / SERVICE_SECONDS / (sum(shares) * mean_growth)
    arrivals = []
    for name, share in zip(names, shares, strict=True):
        arrivals += _make_arrivals(
            rng, name, mean * share, bursts_by_name[name], seconds
        )
    arrivals.sort(key=lambda arrival: arrival.at)
    memory_share = MEMORY_SHARE if bursts else MEMORY_SHARE / size.workers
    deployment = _make_deployment(size, seed, memory_share)
    return Workload(size, deployment, tuple(arrivals), seconds)


def _make_bursts(rng: random.Random, seconds: float) -> list[tuple[float, float]]:
    """Return start and end times of a model's bursts, in which demand is tenfold."""
    mean_length = sum(BURST_SECONDS) / 2
    mean_gap = mean_length * (1 - MODELS_IN_BURST) / MODELS_IN_BURST
    bursts = []
    at = rng.expovariate(1 / mean_gap)
    while at < seconds:
        end = at + rng.uniform(*BURST_SECONDS)
        bursts.append((at, end))
        at = end + rng.expovariate(1 / mean_gap)
    return bursts


def _make_arrivals(
    rng: random.Random,
    name: str,
    rate: float,
    bursts: list[tuple[float, float]],
    seconds: float,
) -> list[Arrival]:
    arrivals = []
    at = 0.0
    # Thinning: draw at the highest rate and accept in proportion to the rate.
    highest = rate * BURST_FACTOR
    while True:
        at += rng.expovariate(highest)
        if at >= seconds:
            return arrivals
        bursting = any(begin <= at < end for begin, end in bursts)
        if bursting or rng.random() < 1 / BURST_FACTOR:
            service = rng.lognormvariate(0, 0.4) * SERVICE_SECONDS
            arrivals.append(Arrival(at, name, service))


def _make_deployment(size: Size, seed: int, memory_share: float) -> Deployment:
    rng = random.Random(seed + 1)
    targets = [
        {
            "name": f"w{index}",
            "url": f"http://127.0.0.1:{10_000 + index}",
            "failure_domain": f"d{index % 3}",
            "memory_mb": MEMORY_MB,
            "concurrency": SLOTS,
            "fencing": "refuses",
        }
        for index in range(size.workers)
    ]
    mean = memory_share * size.workers * MEMORY_MB / size.models
    models = [
        {
            "name": f"m{index}",
            "pool": "pool",
            "memory_mb": int(mean * rng.uniform(0.6, 1.4)),
            "loading_peak_mb": 500,
            "service_seconds": SERVICE_SECONDS,
        }
        for index in range(size.models)
    ]
    adapters = [
        {
            "name": f"a{index}",
            "base": f"m{index % size.models}",
            "memory_mb": 50,
        }
        for index in range(size.adapters)
    ]
    return Deployment.model_validate(
        {
            "pools": [{"name": "pool", "targets": targets}],
            "models": models,
            "adapters": adapters,
            "policy": {"move_price": size.move_price},
            "weight_store": {
                "loads_per_second": size.loads_per_second,
                "at_once": size.max_concurrent_loads,
            },
        }
    )
