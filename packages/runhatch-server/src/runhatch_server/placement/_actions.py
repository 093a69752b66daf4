"""Actions of a plan: loading and retiring units."""

from dataclasses import dataclass
from enum import IntEnum

from runhatch_server.placement._ledger import Charge, ChargeState


class Urgency(IntEnum):
    """Reason for a load; loads with lower values get permits first."""

    UNREACHABLE = 0
    NEW_VERSION = 1
    TOO_FEW = 2
    ADAPTER = 3
    VALUE = 4


@dataclass(frozen=True, slots=True)
class LoadUnit:
    """Load a unit on a target; ``base`` is the base unit of an adapter."""

    target: str
    unit: str
    memory_mb: int
    peak_mb: int
    urgency: Urgency
    reason: str
    base: str = ""

    def new_charge(self) -> Charge:
        """Return the charge to write to the ledger before the order is sent."""
        return Charge(
            self.unit,
            self.memory_mb,
            self.peak_mb,
            ChargeState.LOADING,
            base=self.base,
        )


@dataclass(frozen=True, slots=True)
class RetireUnit:
    """Stop routing to a unit on a target, then unload it."""

    target: str
    unit: str
    reason: str


Action = LoadUnit | RetireUnit
