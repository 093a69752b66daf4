"""A wrapper of a table that injects faults."""

from collections.abc import Sequence
from enum import Enum

from runhatch_coordination._table import (
    GetOutcome,
    Key,
    QueryOutcome,
    Table,
    TransactOutcome,
    Unavailable,
    Unknown,
    Write,
)


class TableFault(Enum):
    """The effect on calls while the fault is set."""

    NONE = "none"
    DOWN = "down"
    LOSE_ANSWER = "lose_answer"
    LOSE_REQUEST = "lose_request"
    DELAY = "delay"


class FaultyTable:
    """Forwards calls to a table and applies ``fault`` to the next ``count`` writes.

    ``DOWN`` also fails reads; ``LOSE_ANSWER`` applies the write but returns
    ``Unknown``; ``DELAY`` holds it back until :meth:`apply_delayed_writes`. As with a
    remote table, the era is unknown before the first answer.
    """

    def __init__(self, table: Table) -> None:
        self._table = table
        self._era: int | None = None
        self._delayed_writes: list[Sequence[Write]] = []
        self.fault = TableFault.NONE
        self.remaining_faults = 0

    @property
    def era(self) -> int | None:
        """Number of restorations by the answers so far, ``None`` before the first."""
        return self._era

    def inject(self, fault: TableFault, count: int = 10**9) -> None:
        """Set ``fault`` for the next ``count`` writes."""
        self.fault = fault
        self.remaining_faults = count

    def update_era(self) -> None:
        """Update the known era, as an answer to another caller would."""
        self._era = self._table.era

    def apply_delayed_writes(self) -> None:
        """Apply the delayed writes to the table."""
        delayed, self._delayed_writes = self._delayed_writes, []
        for writes in delayed:
            self._table.transact(writes)

    def transact(self, writes: Sequence[Write]) -> TransactOutcome:
        """Apply, lose, delay or refuse ``writes``, by the current fault."""
        fault = self.fault if self.remaining_faults > 0 else TableFault.NONE
        self.remaining_faults -= 1
        if fault is TableFault.DOWN:
            return Unavailable("injected outage")
        if fault is TableFault.LOSE_REQUEST:
            return Unknown("injected loss of the request")
        if fault is TableFault.DELAY:
            self._delayed_writes.append(writes)
            return Unknown("injected delay of the request")
        previous_era = self._era
        outcome = self._table.transact(writes)
        if fault is TableFault.LOSE_ANSWER:
            return Unknown("injected loss of the answer")
        self.update_era()
        if previous_era is not None and previous_era != self._era:
            return Unknown("the table was restored from an older copy during the call")
        return outcome

    def get(self, key: Key) -> GetOutcome:
        """Read one row unless the table is down."""
        if self._is_down():
            return Unavailable("injected outage")
        self.update_era()
        return self._table.get(key)

    def query(self, partition: str) -> QueryOutcome:
        """Read a partition unless the table is down."""
        if self._is_down():
            return Unavailable("injected outage")
        self.update_era()
        return self._table.query(partition)

    def _is_down(self) -> bool:
        return self.fault is TableFault.DOWN and self.remaining_faults > 0
