"""What operators declare for requests that are passed through: routes, services.

Sizes of memory are in megabytes, of messages in bytes, of prompts in tokens.
"""

from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum
from functools import cached_property

LOAD_GUESS = timedelta(seconds=10)
"""How long a load of weights takes where nothing is declared."""


class RequestKind(Enum):
    """What may be done with a request whose outcome is not known."""

    IDEMPOTENT = "idempotent"
    """It may be sent again."""
    NON_IDEMPOTENT = "non_idempotent"
    """It must not run twice."""
    STREAM = "stream"
    """Answered by events; sent again only where the route may be resumed."""


@dataclass(frozen=True, slots=True)
class ServiceShare:
    """A service and the weight with which a route sends requests to it."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class RouteSpec:
    """Requests of one host below one path, and how they are to be treated.

    ``timeout`` is the longest that an answer may take, ``goal`` the time in which
    it is worth its full price, ``priority`` the rank, 0 first.  ``max_gap`` is the
    longest pause between two events of a stream that is still on time, ``patience``
    how long callers wait for the first one before they leave.
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

    @property
    def may_repeat(self) -> bool:
        """Whether a request may be sent again after it may have run."""
        if self.kind is RequestKind.STREAM:
            return self.resumable
        return self.kind is RequestKind.IDEMPOTENT


@dataclass(frozen=True, slots=True)
class LoadTimes:
    """How long a target takes to load weights, by where it finds them."""

    from_store: timedelta = LOAD_GUESS
    from_disk: timedelta = LOAD_GUESS
    from_memory: timedelta = LOAD_GUESS


@dataclass(frozen=True, slots=True)
class EngineModel:
    """A model that the targets of a service can load.

    Its adapters are called ``a1``, ``a2`` and so on, ``adapters`` in number.
    """

    name: str
    memory_mb: float
    loads: LoadTimes = LoadTimes()
    adapters: int = 0
    adapter_mb: float = 0.0


@dataclass(frozen=True)
class EngineSpec:
    """What the model engines of a service have in common.

    ``memory_mb`` and ``adapter_slots`` bound what one target holds,
    ``kv_tokens`` is its cache.  ``loads_per_second`` bounds the loads from the
    weight store over all targets.  An event of a stream holds ``event_tokens``
    tokens, so many steps of the engine.
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
    """A service: targets that answer alike.

    ``max_connections`` is what one target takes from all nodes together;
    ``engine`` is set where the targets run models.
    """

    name: str
    health_path: str
    max_connections: int
    engine: EngineSpec | None = None


@dataclass(frozen=True, slots=True)
class RequestLimits:
    """What a caller may send, and how long it may take or stay idle."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout: timedelta = timedelta(seconds=10)
    idle_timeout: timedelta = timedelta(seconds=60)


@dataclass(frozen=True, slots=True)
class RoutingConfiguration:
    """One version of everything declared; versions only rise."""

    version: int
    routes: tuple[RouteSpec, ...]
    services: tuple[ServiceSpec, ...]
    limits: RequestLimits = field(default_factory=RequestLimits)
