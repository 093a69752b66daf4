"""What a gateway is told when it starts: who it is, and the bounds it must keep."""

from dataclasses import dataclass
from datetime import timedelta


@dataclass(frozen=True, slots=True)
class Endpoint:
    """An address to listen on or to reach."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@dataclass(frozen=True, slots=True)
class RetryBounds:
    """How many attempts beyond the first all nodes may make together.

    In any ``window`` a service may get ``share`` of its requests and ``reserve``
    attempts on top.
    """

    share: float
    reserve: int
    window: timedelta


@dataclass(frozen=True, slots=True)
class OrderBounds:
    """What must hold for orders to targets.

    Two nodes must not order within ``handover`` of each other.  The rate of the
    weight store holds over any ``load_window``.
    """

    handover: timedelta
    load_window: timedelta


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """The whole of it.

    ``callers`` takes requests, ``readiness`` tells the balancer whether to send
    any, ``peers`` is for other nodes.  ``seeds`` are addresses of some other nodes,
    old ones perhaps.  ``shutdown_grace`` is the time between the request to stop
    and the kill, ``drain`` the time after which a target that says it leaves must get
    no more requests.  On ``broadcast_port`` of the peers' host a node that reads the
    store tells others; 0 if it cannot.
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
