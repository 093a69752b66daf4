"""Seeded bursts of requests over the models of one deployment."""

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
"""Share of models in a burst at any moment, on average."""
MEMORY_FILLED = 0.7
"""Share of all memory that one replica of every model takes."""
POPULARITY = 0.9
"""Exponent of the models' popularity by rank."""


@dataclass(frozen=True, slots=True)
class Size:
    """One deployment as it is today."""

    name: str
    workers: int
    models: int
    adapters: int
    loads_per_second: float
    loads_at_once: int
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
    """A deployment and the requests that come to it."""

    size: Size
    deployment: Deployment
    arrivals: tuple[Arrival, ...]
    seconds: float


def make_workload(
    size: Size, seed: int, seconds: float, load: float, bursts: bool = True
) -> Workload:
    """Return requests whose mean work is ``load`` times what all slots carry.

    Without ``bursts`` every model is small enough to be on every worker, and is
    asked for evenly.
    """
    source = random.Random(seed)
    names = [f"m{index}" for index in range(size.models)]
    shares = [1 / (rank + 1) ** POPULARITY for rank in range(size.models)]
    source.shuffle(shares)
    if not bursts:
        shares = [1.0 for _ in names]
    found = {name: _bursts(source, seconds) if bursts else [] for name in names}
    grown = 1 + MODELS_IN_BURST * (BURST_FACTOR - 1) if bursts else 1.0
    mean = load * size.workers * SLOTS / SERVICE_SECONDS / (sum(shares) * grown)
    arrivals = []
    for name, share in zip(names, shares, strict=True):
        arrivals += _arrivals(source, name, mean * share, found[name], seconds)
    arrivals.sort(key=lambda arrival: arrival.at)
    filled = MEMORY_FILLED if bursts else MEMORY_FILLED / size.workers
    deployment = _deployment(size, seed, filled)
    return Workload(size, deployment, tuple(arrivals), seconds)


def _bursts(source: random.Random, seconds: float) -> list[tuple[float, float]]:
    """Return begin and end of the times at which a model is asked for tenfold."""
    mean_length = sum(BURST_SECONDS) / 2
    mean_gap = mean_length * (1 - MODELS_IN_BURST) / MODELS_IN_BURST
    bursts = []
    at = source.expovariate(1 / mean_gap)
    while at < seconds:
        end = at + source.uniform(*BURST_SECONDS)
        bursts.append((at, end))
        at = end + source.expovariate(1 / mean_gap)
    return bursts


def _arrivals(
    source: random.Random,
    name: str,
    rate: float,
    bursts: list[tuple[float, float]],
    seconds: float,
) -> list[Arrival]:
    arrivals = []
    at = 0.0
    # Thinning: draw at the highest rate, keep what the present rate allows.
    highest = rate * BURST_FACTOR
    while True:
        at += source.expovariate(highest)
        if at >= seconds:
            return arrivals
        bursting = any(begin <= at < end for begin, end in bursts)
        if bursting or source.random() < 1 / BURST_FACTOR:
            service = source.lognormvariate(0, 0.4) * SERVICE_SECONDS
            arrivals.append(Arrival(at, name, service))


def _deployment(size: Size, seed: int, filled: float) -> Deployment:
    source = random.Random(seed + 1)
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
    mean = filled * size.workers * MEMORY_MB / size.models
    models = [
        {
            "name": f"m{index}",
            "pool": "pool",
            "memory_mb": int(mean * source.uniform(0.6, 1.4)),
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
                "at_once": size.loads_at_once,
            },
        }
    )
