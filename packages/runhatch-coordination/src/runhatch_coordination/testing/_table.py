"""A table in memory with the semantics that the library requires."""

import threading
from collections.abc import Sequence
from dataclasses import dataclass

from runhatch_coordination._history import (
    StoreVersion,
    era_of,
    number_of,
    store_version,
)
from runhatch_coordination._table import (
    ABSENT,
    Check,
    Committed,
    Conflict,
    Delete,
    GetOutcome,
    Key,
    Missing,
    Put,
    QueryOutcome,
    Row,
    TransactOutcome,
    Write,
)


@dataclass(frozen=True, slots=True)
class _StoredRow:
    """A row, and the eras in which it was last written and created."""

    number: int
    body: bytes
    written_era: int
    created_era: int


class MemoryTable:
    """A table with serialisable transactions over a dict.

    A condition holds only for the row that it was formed on, and not for a row with
    the same number that was written after a restoration. The table does not know its
    callers, and so cannot tell which of them counts its writes from ``ABSENT``: a plain
    number holds for any row that was created in the current era.

    >>> table = MemoryTable()
    >>> table.transact([Put(Key("p", "s"), b"x", expected_version=0)])
    Committed()
    >>> table.transact([Put(Key("p", "s"), b"y", expected_version=0)])
    Conflict(failed=(0,))
    """

    def __init__(self) -> None:
        self._rows: dict[Key, _StoredRow] = {}
        self._lock = threading.Lock()
        self.transaction_count = 0
        """Number of transactions received."""
        self.read_count = 0
        """Number of reads received."""
        self.era: int | None = 0
        self._saved_rows: dict[Key, _StoredRow] = {}

    def save_copy(self) -> None:
        """Save a copy of all rows for :meth:`restore_copy`."""
        with self._lock:
            self._saved_rows = dict(self._rows)

    def restore_copy(self) -> None:
        """Replace all rows by the last copy and begin a new era."""
        with self._lock:
            self._rows = dict(self._saved_rows)
            self.era = self._current_era() + 1

    def transact(self, writes: Sequence[Write]) -> TransactOutcome:
        """Apply all ``writes`` or none."""
        with self._lock:
            self.transaction_count += 1
            failed = tuple(
                index
                for index, write in enumerate(writes)
                if not self._condition_holds(write)
            )
            if failed:
                return Conflict(failed)
            for write in writes:
                self._apply(write)
            return Committed()

    def get(self, key: Key) -> GetOutcome:
        """Read one row."""
        with self._lock:
            self.read_count += 1
            return self._row(key) if key in self._rows else Missing()

    def query(self, partition: str) -> QueryOutcome:
        """Read all rows of ``partition``, ordered by sort key."""
        with self._lock:
            self.read_count += 1
            keys = sorted(key for key in self._rows if key.partition == partition)
            return tuple(self._row(key) for key in keys)

    def _current_era(self) -> int:
        return 0 if self.era is None else self.era

    def _row(self, key: Key) -> Row:
        stored = self._rows[key]
        return Row(key, store_version(self._current_era(), stored.number), stored.body)

    def _condition_holds(self, write: Write) -> bool:
        stored = self._rows.get(write.key)
        if stored is None or write.expected_version == ABSENT:
            return stored is None and write.expected_version == ABSENT
        expected = StoreVersion(write.expected_version)
        if number_of(expected) != stored.number:
            return False
        if stored.written_era <= era_of(expected):
            return True
        return era_of(expected) == 0 and stored.created_era == self._current_era()

    def _apply(self, write: Write) -> None:
        match write:
            case Put(key, body, expected_version, _):
                era = self._current_era()
                previous = self._rows.get(key)
                created_era = era if previous is None else previous.created_era
                number = number_of(StoreVersion(expected_version)) + 1
                self._rows[key] = _StoredRow(number, body, era, created_era)
            case Delete(key, _):
                self._rows.pop(key, None)
            case Check():
                pass
