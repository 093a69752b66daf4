"""Validated requests of callers, and their routes."""

from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum

import msgspec

from runhatch_server.decisions import compute_fingerprint, make_block_traits


class RouteKind(Enum):
    """Whether a route leads to a model engine or to a plain service."""

    MODEL = "model"
    SERVICE = "service"


@dataclass(frozen=True, slots=True, order=True)
class Route:
    """The declared model, adapter or plain service that a request is for."""

    kind: RouteKind
    name: str

    def __str__(self) -> str:
        return f"{self.kind.value}:{self.name}"


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """One validated request; times are elapsed times of the node's clock.

    ``key`` is set for requests that may run at most once.  ``document`` is the
    decoded body of a model request, ``body`` the bytes of a plain one.
    """

    request_id: str
    caller: str
    route: Route
    method: str
    path: str
    priority: int
    received_at: timedelta
    deadline: timedelta
    idempotent: bool
    key: str | None
    body: bytes
    document: dict[str, object] = field(default_factory=dict)
    stream: bool = False
    content_type: str = "application/json"
    unrun_statuses: frozenset[int] = frozenset({429})
    prefix_blocks: tuple[str, ...] = ()

    @property
    def fingerprint(self) -> str:
        """Equal for all repeats of the request, see :func:`compute_fingerprint`."""
        content = msgspec.json.encode(self.document) if self.is_model else self.body
        return compute_fingerprint(self.method, str(self.route), self.path, content)

    @property
    def traits(self) -> tuple[str, ...]:
        """What its prompt may have in common with those of other requests.

        See :func:`make_block_traits`.
        """
        return make_block_traits(self.prefix_blocks)

    @property
    def is_model(self) -> bool:
        """Whether the request goes to a model engine."""
        return self.route.kind is RouteKind.MODEL
