"""The memory ledger: one row per target, changed only by the planner's lease holder.

A charge is written before its order is sent, and removed only when no order can load
the unit any more; so memory in use is never planned for another unit.  The fencing
number of an order is the version of the row that records it, within the table's era.
The numbers of each target's orders therefore rise, also across planners.
"""

from collections.abc import Iterable
from dataclasses import dataclass, replace
from enum import Enum

from runhatch_coordination import require


class ChargeState(Enum):
    """Stage of a unit's life cycle on a target."""

    LOADING = "loading"
    SERVING = "serving"
    UNLOADING = "unloading"


NOT_ORDERED = 0
"""Order number of a charge whose order has not been numbered yet."""


@dataclass(frozen=True, slots=True)
class Charge:
    """Memory reserved on a target for one unit, in MB.

    ``peak_mb`` is the additional memory needed during loading.  ``base`` is the base
    unit of an adapter, empty for models.
    """

    unit: str
    memory_mb: int
    peak_mb: int
    state: ChargeState
    order: int = NOT_ORDERED
    base: str = ""

    @property
    def reserved_mb(self) -> int:
        """Memory that the charge currently reserves.

        The peak stays reserved until a report shows the unit loaded, also if it is
        unloaded before that, because the load may still be running.
        """
        return self.memory_mb + self.peak_mb

    def as_serving(self) -> "Charge":
        """Return the charge of the unit after a report shows it loaded."""
        return replace(self, state=ChargeState.SERVING, peak_mb=0)

    def as_unloading(self) -> "Charge":
        """Return the charge of the unit to be unloaded, without an order yet."""
        return replace(self, state=ChargeState.UNLOADING, order=NOT_ORDERED)

    def as_reloading(self, peak_mb: int) -> "Charge":
        """Return the charge for reloading a unit that its engine no longer holds."""
        return replace(
            self, state=ChargeState.LOADING, order=NOT_ORDERED, peak_mb=peak_mb
        )


@dataclass(frozen=True, slots=True)
class LedgerRow:
    """All charges on one target; their sum never exceeds ``capacity_mb``."""

    target: str
    capacity_mb: int
    charges: tuple[Charge, ...] = ()

    @property
    def used_mb(self) -> int:
        """Memory reserved by all charges."""
        return sum(charge.reserved_mb for charge in self.charges)

    @property
    def free_mb(self) -> int:
        """Memory not reserved by any charge."""
        return self.capacity_mb - self.used_mb

    def find_charge(self, unit: str) -> Charge | None:
        """Return the charge of ``unit``, ``None`` if it has none."""
        return next((c for c in self.charges if c.unit == unit), None)

    def units_in_states(self, *states: ChargeState) -> tuple[str, ...]:
        """Return the units whose charges are in one of ``states``."""
        return tuple(c.unit for c in self.charges if c.state in states)

    def with_charge(self, charge: Charge) -> "LedgerRow":
        """Return the row with ``charge`` added, or replacing that of the same unit.

        Raises :class:`~runhatch_coordination.InvariantError` if the
        charges exceed the capacity.
        """
        others = tuple(c for c in self.charges if c.unit != charge.unit)
        changed = replace(self, charges=(*others, charge))
        changed.check_charges()
        return changed

    def without_units(self, units: Iterable[str]) -> "LedgerRow":
        """Return the row without the charges of ``units``."""
        removed = frozenset(units)
        remaining = tuple(c for c in self.charges if c.unit not in removed)
        return replace(self, charges=remaining)

    def check_charges(self) -> None:
        """Raise ``InvariantError`` unless charges fit and their units are unique."""
        require(
            self.used_mb <= self.capacity_mb,
            f"memory of {self.target} is never overcommitted",
        )
        units = [charge.unit for charge in self.charges]
        require(
            len(units) == len(set(units)),
            "each unit has at most one charge on a target",
        )
