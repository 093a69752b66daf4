"""Faults of the platform's table, injected between a user and a real one."""

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
    """What happens to calls while the fault is set."""

    NONE = "none"
    DOWN = "down"
    LOSE_ANSWER = "lose_answer"
    LOSE_REQUEST = "lose_request"
    DELAY = "delay"


class FaultyTable:
    """Passes calls on, but for the ``fault`` set for the next ``count`` writes.

    ``DOWN`` also fails reads; ``LOSE_ANSWER`` applies the write and hides that;
    ``DELAY`` keeps it from the table until :meth:`deliver`.  As on a real way to a
    table, its era is not known before an answer has told it.
    """

    def __init__(self, table: Table) -> None:
        self._table = table
        self._era: int | None = None
        self._delayed: list[Sequence[Write]] = []
        self.fault = TableFault.NONE
        self.count = 0

    @property
    def era(self) -> int | None:
        """How many times the table has come back, by the answers so far."""
        return self._era

    def inject(self, fault: TableFault, count: int = 10**9) -> None:
        """Set ``fault`` for the next ``count`` writes."""
        self.fault = fault
        self.count = count

    def learn_era(self) -> None:
        """Learn the table's era, as from an answer to another user's call."""
        self._era = self._table.era

    def deliver(self) -> None:
        """Have the table get the writes that were delayed."""
        delayed, self._delayed = self._delayed, []
        for writes in delayed:
            self._table.transact(writes)

    def transact(self, writes: Sequence[Write]) -> TransactOutcome:
        """Apply, lose, delay or refuse ``writes``."""
        fault = self.fault if self.count > 0 else TableFault.NONE
        self.count -= 1
        if fault is TableFault.DOWN:
            return Unavailable("injected outage")
        if fault is TableFault.LOSE_REQUEST:
            return Unknown("injected loss of the request")
        if fault is TableFault.DELAY:
            self._delayed.append(writes)
            return Unknown("injected delay of the request")
        before = self._era
        outcome = self._table.transact(writes)
        if fault is TableFault.LOSE_ANSWER:
            return Unknown("injected loss of the answer")
        self.learn_era()
        if before is not None and before != self._era:
            return Unknown("the table came back from an older copy meanwhile")
        return outcome

    def get(self, key: Key) -> GetOutcome:
        """Read one row unless the table is down."""
        if self._down():
            return Unavailable("injected outage")
        self.learn_era()
        return self._table.get(key)

    def query(self, partition: str) -> QueryOutcome:
        """Read a partition unless the table is down."""
        if self._down():
            return Unavailable("injected outage")
        self.learn_era()
        return self._table.query(partition)

    def _down(self) -> bool:
        return self.fault is TableFault.DOWN and self.count > 0
