"""Models of the configuration document; memory in MB, durations in seconds."""

from collections import defaultdict
from enum import Enum
from functools import cached_property
from typing import Annotated
from urllib.parse import urlsplit

from pydantic import AfterValidator, Field

from runhatch_server.validation import StrictModel

Name = Annotated[str, Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$")]
Version = Annotated[str, Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,30}$")]
Megabytes = Annotated[int, Field(ge=0, le=100_000_000)]


def _check_url(value: str) -> str:
    parts = urlsplit(value)
    if parts.scheme not in ("http", "https") or not parts.hostname:
        raise ValueError("an address such as http://10.0.0.7:8000")
    if parts.path not in ("", "/") or parts.query:
        raise ValueError("an address without path and query")
    return value.rstrip("/")


Url = Annotated[str, AfterValidator(_check_url)]


class Fencing(Enum):
    """How an engine handles an order with an outdated fencing number."""

    REFUSES = "refuses"
    IGNORES = "ignores"


class TargetSpec(StrictModel):
    """A worker that runs a model engine."""

    name: Name
    url: Url
    failure_domain: Name
    memory_mb: Megabytes = Field(gt=0, description="Total accelerator memory")
    accelerators: int = Field(default=1, ge=1, le=64)
    concurrency: int = Field(
        default=8, ge=1, le=4_096, description="Requests it runs concurrently"
    )
    fencing: Fencing = Field(
        default=Fencing.IGNORES,
        description="Whether it rejects orders with an old fencing number",
    )
    max_order_delay_seconds: float = Field(
        default=10.0,
        ge=0,
        le=3_600,
        description="Maximum time after which a sent order may still take effect",
    )
    max_report_lag_seconds: float = Field(
        default=2.0, ge=0, le=3_600, description="Maximum age of its report"
    )
    vm: str = Field(default="", description="VM it runs on, as named in the VM list")


class PoolSpec(StrictModel):
    """Workers of one region that share models; the unit of placement planning."""

    name: Name
    region: Name = "default"
    targets: tuple[TargetSpec, ...] = Field(min_length=1)


class ModelSpec(StrictModel):
    """A model with at least one replica resident at any time."""

    name: Name
    version: Version = "1"
    pool: Name
    memory_mb: Megabytes = Field(gt=0, description="Weights")
    kv_reserve_mb: Megabytes = Field(
        default=0, description="Memory reserved for the KV cache"
    )
    loading_peak_mb: Megabytes = Field(
        default=0, description="Additional memory while loading"
    )
    priority: int = Field(default=3, ge=0, le=7, description="As in RFC 9218")
    service_seconds: float = Field(
        default=1.0, gt=0, le=3_600, description="Typical duration of a request"
    )
    min_replicas: int = Field(default=1, ge=1, le=64)

    @property
    def unit_name(self) -> str:
        """The name of this version on engines, such as ``model@1``."""
        return f"{self.name}@{self.version}"


class AdapterSpec(StrictModel):
    """An adapter, which callers address like a model."""

    name: Name
    version: Version = "1"
    base: Name
    memory_mb: Megabytes = Field(gt=0)

    @property
    def unit(self) -> str:
        """The name of this version on engines, such as ``model@1``."""
        return f"{self.name}@{self.version}"


class PathSpec(StrictModel):
    """An allowed path of a plain service; a trailing ``*`` matches any suffix."""

    path: str = Field(pattern=r"^/[A-Za-z0-9._~/-]*\*?$")
    methods: tuple[str, ...] = Field(min_length=1)
    idempotent: bool = Field(description="Whether a call may be repeated")


class PlainTargetSpec(StrictModel):
    """An instance of a plain service."""

    name: Name
    url: Url
    failure_domain: Name
    concurrency: int = Field(default=16, ge=1, le=4_096)
    vm: str = ""


class PlainServiceSpec(StrictModel):
    """A service other than a model engine."""

    name: Name
    targets: tuple[PlainTargetSpec, ...] = Field(min_length=1)
    paths: tuple[PathSpec, ...] = Field(min_length=1)
    unrun_statuses: tuple[int, ...] = Field(
        default=(429,), description="Statuses that mean the request was not run"
    )


class WeightStoreSpec(StrictModel):
    """Limits on loading weights, shared by all nodes."""

    loads_per_second: float = Field(default=1.5, gt=0, le=1_000)
    at_once: int = Field(default=15, ge=1, le=1_000)


class PolicySpec(StrictModel):
    """Parameters of placement decisions."""

    move_price: float = Field(
        default=20.0,
        ge=0,
        description="Requests in time that a move must gain over the horizon",
    )
    horizon_seconds: float = Field(
        default=120.0,
        gt=0,
        description="Period over which the gain of a replica is counted",
    )
    min_residence_seconds: float = Field(
        default=60.0, ge=0, description="Minimum time that a replica stays resident"
    )
    high_utilisation: float = Field(
        default=0.9,
        gt=0,
        le=1,
        description="Share of a target's concurrency above which it is overloaded",
    )
    paused: bool = Field(
        default=False, description="Only moves that keep models reachable"
    )


class PinSpec(StrictModel):
    """A model and a target to pin together or to keep apart."""

    model: Name
    target: Name


class Deployment(StrictModel):
    """The whole configuration document; applied entirely or not at all."""

    pools: tuple[PoolSpec, ...] = ()
    models: tuple[ModelSpec, ...] = ()
    adapters: tuple[AdapterSpec, ...] = ()
    plain_services: tuple[PlainServiceSpec, ...] = ()
    weight_store: WeightStoreSpec = WeightStoreSpec()
    policy: PolicySpec = PolicySpec()
    drained_targets: tuple[Name, ...] = Field(
        default=(), description="Targets that receive no new work"
    )
    pins: tuple[PinSpec, ...] = Field(
        default=(), description="Replicas that are kept regardless of their gain"
    )
    bans: tuple[PinSpec, ...] = Field(
        default=(), description="Replicas that are removed once others serve the model"
    )

    def adapters_of(self, model: str) -> tuple[AdapterSpec, ...]:
        """Return the adapters whose base is ``model``."""
        return self._adapters_by_base.get(model, ())

    @cached_property
    def priority_by_model(self) -> dict[str, int]:
        """The priority of each model by name; cached because each request reads it."""
        return {model.name: model.priority for model in self.models}

    @cached_property
    def pool_by_callable(self) -> dict[str, str]:
        """The pool of each model and adapter by name."""
        pools = {model.name: model.pool for model in self.models}
        pools |= {adapter.name: pools[adapter.base] for adapter in self.adapters}
        return pools

    @cached_property
    def _adapters_by_base(self) -> dict[str, tuple[AdapterSpec, ...]]:
        by_base: defaultdict[str, list[AdapterSpec]] = defaultdict(list)
        for adapter in self.adapters:
            by_base[adapter.base].append(adapter)
        return {base: tuple(adapters) for base, adapters in by_base.items()}
