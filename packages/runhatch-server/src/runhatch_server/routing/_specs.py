"""Routes, services and limits that operators declare for forwarded requests.

Memory sizes are in megabytes, message sizes in bytes, prompt sizes in tokens.
"""

from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum
from functools import cached_property

from runhatch_server.routing._workspaces import WorkspaceSpec

DEFAULT_LOAD_TIME = timedelta(seconds=10)
"""Assumed time to load weights if none is declared."""


class RequestKind(Enum):
    """Whether a request with an unknown outcome may be sent again."""

    IDEMPOTENT = "idempotent"
    """The request may be sent again."""
    NON_IDEMPOTENT = "non_idempotent"
    """The request must not run twice."""
    STREAM = "stream"
    """The answer is a stream of events; sent again only if the route is resumable."""


@dataclass(frozen=True, slots=True)
class ServiceShare:
    """A service and its weight among the services of a route."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class RouteSpec:
    """Policy for requests to one host under one path prefix.

    ``timeout`` is the maximum duration of an answer, ``goal`` the time in which it is
    worth its full price, and ``priority`` the rank, 0 being the most urgent.
    ``max_gap`` is the longest pause between two events of a stream that is on time, and
    ``patience`` how long callers wait for the first event before they disconnect.
    """

    name: str
    host: str
    path_prefix: str
    kind: RequestKind
    shares: tuple[ServiceShare, ...]
    timeout: timedelta
    goal: timedelta
    priority: int = 0
    max_attempts: int = 1
    prefix_affinity: bool = False
    resumable: bool = False
    max_gap: timedelta | None = None
    patience: timedelta | None = None
    allows_anonymous: bool = False
    """Whether a request needs no key of a workspace."""

    @property
    def may_retry(self) -> bool:
        """Whether a request that may have run already may be sent again."""
        if self.kind is RequestKind.STREAM:
            return self.resumable
        return self.kind is RequestKind.IDEMPOTENT


@dataclass(frozen=True, slots=True)
class LoadTimes:
    """Time that a target takes to load weights, by where they are stored."""

    from_store: timedelta = DEFAULT_LOAD_TIME
    from_disk: timedelta = DEFAULT_LOAD_TIME
    from_memory: timedelta = DEFAULT_LOAD_TIME


@dataclass(frozen=True, slots=True)
class EngineModel:
    """A model that the targets of a service can load.

    It has ``adapters`` adapters, named ``a1``, ``a2`` and so on.
    """

    name: str
    memory_mb: float
    loads: LoadTimes = LoadTimes()
    adapters: int = 0
    adapter_mb: float = 0.0


@dataclass(frozen=True)
class EngineSpec:
    """Properties common to the model engines of a service.

    ``memory_mb`` and ``adapter_slots`` limit the models and adapters on one target, and
    ``kv_tokens`` is the size of its cache. ``loads_per_second`` limits the loads from
    the weight store over all targets. An event of a stream has ``event_tokens`` tokens,
    one for each step of the engine.
    """

    models: tuple[EngineModel, ...]
    slots: int
    memory_mb: float
    adapter_slots: int
    kv_tokens: int
    loads_per_second: float
    event_tokens: int = 1

    @cached_property
    def by_name(self) -> dict[str, EngineModel]:
        """The models by name."""
        return {model.name: model for model in self.models}


@dataclass(frozen=True, slots=True)
class ServiceSpec:
    """A service, whose targets are interchangeable.

    ``max_connections`` is the limit of one target for all nodes together. ``engine`` is
    set if the targets run models.
    """

    name: str
    health_path: str
    max_connections: int
    engine: EngineSpec | None = None


@dataclass(frozen=True, slots=True)
class RequestLimits:
    """Limits on the size of requests, and on slow or idle callers."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout: timedelta = timedelta(seconds=10)
    idle_timeout: timedelta = timedelta(seconds=60)


@dataclass(frozen=True, slots=True)
class RoutingConfiguration:
    """One version of all routes, services and limits; versions only increase.

    Without ``workspaces``, which differs from an empty tuple, requests need no key.
    """

    version: int
    routes: tuple[RouteSpec, ...]
    services: tuple[ServiceSpec, ...]
    limits: RequestLimits = field(default_factory=RequestLimits)
    workspaces: tuple[WorkspaceSpec, ...] | None = None
