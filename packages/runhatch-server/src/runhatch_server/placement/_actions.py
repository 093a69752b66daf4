"""What a plan may ask for."""

from dataclasses import dataclass
from enum import IntEnum

from runhatch_server.placement._ledger import Charge, ChargeState


class Urgency(IntEnum):
    """Why a unit is loaded; lower goes first when loads must wait."""

    UNREACHABLE = 0
    NEW_VERSION = 1
    TOO_FEW = 2
    ADAPTER = 3
    VALUE = 4


@dataclass(frozen=True, slots=True)
class LoadUnit:
    """Load a unit on a target; ``base`` is set for adapters."""

    target: str
    unit: str
    memory_mb: int
    peak_mb: int
    urgency: Urgency
    reason: str
    base: str = ""

    def charge(self) -> Charge:
        """Return the charge to write before ordering."""
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
