"""Define the orders to targets and their reports, as the orderer uses them."""

from dataclasses import dataclass
from datetime import datetime
from typing import Protocol

from runhatch_coordination import Unavailable
from runhatch_server.fleet import HeldModels, StoredCopies, Target
from runhatch_server.targets import OrderKind, OrderOutcome


@dataclass(frozen=True, slots=True)
class TargetOrder:
    """An order to load or unload a model, or one adapter of it.

    A target carries it out only if it has accepted exactly ``after_orders`` orders by
    then, so that at most one of two orders with the same count takes effect, however
    late.
    """

    kind: OrderKind
    model: str
    adapter: str
    after_orders: int
    holder: str
    fence: int


@dataclass(frozen=True, slots=True)
class TargetReport:
    """Report of a target, some hundred milliseconds old.

    ``accepted_orders`` counts the orders it has accepted; ``is_busy`` is true while it
    carries out one that concerns a model. ``loading_adapters`` are adapters being
    loaded, as pairs of model and adapter. ``started_at`` is when this incarnation
    started, if reported.
    """

    accepted_orders: int
    held: HeldModels
    is_busy: bool
    loading_adapters: frozenset[tuple[str, str]]
    copies: StoredCopies
    running: int
    waiting: int
    started_at: datetime | None = None


class OrderClient(Protocol):
    """Sends orders to targets and requests their reports."""

    def send_order(self, target: Target, order: TargetOrder) -> OrderOutcome:
        """Send ``order`` to ``target`` once, without retries."""

    def fetch_report(self, target: Target) -> TargetReport | Unavailable:
        """Request a report from ``target``."""
