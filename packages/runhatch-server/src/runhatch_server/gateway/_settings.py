"""Settings of a gateway: its name, its addresses and its bounds."""

from dataclasses import dataclass, field
from datetime import timedelta

from runhatch_server.http import DEFAULT_MAX_UNSENT_BYTES, AnswerLimits


@dataclass(frozen=True, slots=True)
class Endpoint:
    """A host and port to listen on or connect to."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@dataclass(frozen=True, slots=True)
class RetryBounds:
    """Bounds of the retries that all nodes together may make for a service.

    In any ``window`` a service may get ``share`` of its requests plus ``reserve``
    as retries.
    """

    share: float
    reserve: int
    window: timedelta


@dataclass(frozen=True, slots=True)
class OrderBounds:
    """Bounds of the orders to targets.

    Two nodes must not send orders within ``handover`` of each other.  The rate limit
    of the weight store applies to any ``load_window``.
    """

    handover: timedelta
    load_window: timedelta


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """All settings of one gateway.

    ``callers`` is the address for requests, ``readiness`` for the readiness checks of
    the load balancer, ``peers`` for other nodes.  ``seeds`` are addresses of some
    other nodes, and may be outdated.  ``shutdown_grace`` is the time between the
    request to stop and the kill, ``drain`` the time after which a draining target must
    get no more requests.  ``key_removal`` is the time after which no node may serve a
    removed key, ``None`` if only nodes in touch with the store must not.  With
    ``shares_prompt_queues``, one node decides for each target when prompts may be sent,
    because callers compete for the targets.  A node that
    reads the store broadcasts on ``broadcast_port`` of the peers' host, and accepts
    requests forwarded by other nodes on ``forward_port`` of that host; 0 if it cannot.

    Of ``memory_mb``, open requests may hold ``request_memory_share``; callers' and
    peers' connections may take a part of ``max_descriptors``.  ``answer_limits`` apply
    to the answers of targets and peers.  ``max_unsent_bytes`` is how much of a stream
    may wait for its caller until its target has to wait.
    """

    name: str
    failure_domain: str
    region: str
    callers: Endpoint
    readiness: Endpoint
    peers: Endpoint
    metrics: Endpoint | None
    seeds: tuple[Endpoint, ...]
    memory_mb: float
    shutdown_grace: timedelta
    retries: RetryBounds
    orders: OrderBounds
    drain: timedelta = timedelta(seconds=2)
    broadcast_port: int = 0
    forward_port: int = 0
    key_removal: timedelta | None = None
    shares_prompt_queues: bool = False
    request_memory_share: float = 1 / 3
    max_descriptors: int = 4_100
    answer_limits: AnswerLimits = field(default_factory=AnswerLimits)
    max_unsent_bytes: int = DEFAULT_MAX_UNSENT_BYTES
