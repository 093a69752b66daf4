"""Orders to targets, and what targets report, as the orderer sees them."""

from dataclasses import dataclass
from datetime import datetime
from typing import Protocol

from runhatch_coordination import Unavailable
from runhatch_server.fleet import HeldModels, StoredCopies, Target
from runhatch_server.targets import OrderKind, OrderOutcome


@dataclass(frozen=True, slots=True)
class TargetOrder:
    """An order to load or unload a model, or one adapter of it.

    It is carried out only if the target has taken ``after_orders`` orders by then,
    so of two orders with the same count one at most takes effect, however late.
    """

    kind: OrderKind
    model: str
    adapter: str
    after_orders: int
    holder: str
    fence: int


@dataclass(frozen=True, slots=True)
class TargetReport:
    """What a target reports; some hundred milliseconds old.

    ``orders`` counts the orders it has taken; ``busy`` tells that one which
    concerns a model is being carried out.  ``coming`` are adapters on their way,
    as pairs of model and adapter.  ``started_at`` is when this life of it began, if
    it tells.
    """

    orders: int
    held: HeldModels
    busy: bool
    coming: frozenset[tuple[str, str]]
    copies: StoredCopies
    running: int
    waiting: int
    started_at: datetime | None = None


class OrderClient(Protocol):
    """Speaks to targets about what they hold."""

    def give(self, target: Target, order: TargetOrder) -> OrderOutcome:
        """Send ``order`` once."""

    def report(self, target: Target) -> TargetReport | Unavailable:
        """Ask ``target`` what it holds."""
