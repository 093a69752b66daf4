"""The memory ledger: one row a target, changed only by the planner's lease holder.

A charge is written before its order is sent and dropped only when the load can no
longer happen.  A row's version, in the table's era, is the fencing number of the orders
it records, so numbers rise for each target whoever plans.
"""

from collections.abc import Iterable
from dataclasses import dataclass, replace
from enum import Enum

from runhatch_coordination import require


class ChargeState(Enum):
    """How far a charge has come."""

    LOADING = "loading"
    SERVING = "serving"
    UNLOADING = "unloading"


NOT_ORDERED = 0
"""Order number of a charge whose order was not sent yet."""


@dataclass(frozen=True, slots=True)
class Charge:
    """Memory set aside on a target for one unit, in MB.

    ``peak_mb`` is needed beside ``memory_mb`` while loading.  ``base`` is the unit
    an adapter belongs to, empty for models.
    """

    unit: str
    memory_mb: int
    peak_mb: int
    state: ChargeState
    order: int = NOT_ORDERED
    base: str = ""

    @property
    def held_mb(self) -> int:
        """What the charge counts for now.

        The peak stays charged until the unit was seen loaded, also while an
        unload overtakes the load.
        """
        return self.memory_mb + self.peak_mb

    def serving(self) -> "Charge":
        """Return the charge once the unit is confirmed loaded."""
        return replace(self, state=ChargeState.SERVING, peak_mb=0)

    def unloading(self) -> "Charge":
        """Return the charge once the unit is to go; nothing is ordered yet."""
        return replace(self, state=ChargeState.UNLOADING, order=NOT_ORDERED)

    def lost(self, peak_mb: int) -> "Charge":
        """Return the charge of a unit that its engine lost, to be loaded again."""
        return replace(
            self, state=ChargeState.LOADING, order=NOT_ORDERED, peak_mb=peak_mb
        )


@dataclass(frozen=True, slots=True)
class LedgerRow:
    """All charges on one target; ``capacity_mb`` is never exceeded."""

    target: str
    capacity_mb: int
    charges: tuple[Charge, ...] = ()

    @property
    def used_mb(self) -> int:
        """The sum of the charges."""
        return sum(charge.held_mb for charge in self.charges)

    @property
    def free_mb(self) -> int:
        """What may still be charged."""
        return self.capacity_mb - self.used_mb

    def find(self, unit: str) -> Charge | None:
        """Return the charge of ``unit``, if there is one."""
        return next((c for c in self.charges if c.unit == unit), None)

    def units(self, *states: ChargeState) -> tuple[str, ...]:
        """Return the units whose charges are in one of ``states``."""
        return tuple(c.unit for c in self.charges if c.state in states)

    def with_charge(self, charge: Charge) -> "LedgerRow":
        """Return the row with ``charge`` added, or put in its unit's place.

        Raises :class:`~runhatch_coordination.InvariantError` if it exceeds the
        capacity.
        """
        others = tuple(c for c in self.charges if c.unit != charge.unit)
        changed = replace(self, charges=(*others, charge))
        changed.check()
        return changed

    def without(self, units: Iterable[str]) -> "LedgerRow":
        """Return the row without the charges of ``units``."""
        gone = frozenset(units)
        kept = tuple(c for c in self.charges if c.unit not in gone)
        return replace(self, charges=kept)

    def check(self) -> None:
        """Raise unless the charges fit; called on every row written."""
        require(
            self.used_mb <= self.capacity_mb,
            f"memory of {self.target} is never overcommitted",
        )
        units = [charge.unit for charge in self.charges]
        require(len(units) == len(set(units)), "a unit is charged once on a target")
