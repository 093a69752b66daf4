"""A table in memory with the semantics the library relies on."""

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
class _Stored:
    """A row, and the eras in which it was written last and created."""

    count: int
    body: bytes
    written: int
    created: int


class MemoryTable:
    """Serialisable transactions over a dict.

    A condition holds if the row that it was formed on is still there, so not for
    a row of the same count that was written after a step back.  It knows no users,
    and so cannot tell who counts on from ``ABSENT``: a plain count holds for a row
    that was created in the present era.

    >>> table = MemoryTable()
    >>> table.transact([Put(Key("p", "s"), b"x", expect=0)])
    Committed()
    >>> table.transact([Put(Key("p", "s"), b"y", expect=0)])
    Conflict(failed=(0,))
    """

    def __init__(self) -> None:
        self._rows: dict[Key, _Stored] = {}
        self._lock = threading.Lock()
        self.writes = 0
        """Transactions received."""
        self.reads = 0
        """Reads received."""
        self.era: int | None = 0
        self._copy: dict[Key, _Stored] = {}

    def copy(self) -> None:
        """Take a copy of all rows."""
        with self._lock:
            self._copy = dict(self._rows)

    def restore(self) -> None:
        """Come back from the last copy."""
        with self._lock:
            self._rows = dict(self._copy)
            self.era = self._present() + 1

    def transact(self, writes: Sequence[Write]) -> TransactOutcome:
        """Apply all writes or none."""
        with self._lock:
            self.writes += 1
            failed = tuple(
                index for index, write in enumerate(writes) if not self._holds(write)
            )
            if failed:
                return Conflict(failed)
            for write in writes:
                self._apply(write)
            return Committed()

    def get(self, key: Key) -> GetOutcome:
        """Read one row."""
        with self._lock:
            self.reads += 1
            return self._row(key) if key in self._rows else Missing()

    def query(self, partition: str) -> QueryOutcome:
        """Read a partition, ordered."""
        with self._lock:
            self.reads += 1
            keys = sorted(key for key in self._rows if key.partition == partition)
            return tuple(self._row(key) for key in keys)

    def _present(self) -> int:
        return 0 if self.era is None else self.era

    def _row(self, key: Key) -> Row:
        stored = self._rows[key]
        return Row(key, store_version(self._present(), stored.count), stored.body)

    def _holds(self, write: Write) -> bool:
        stored = self._rows.get(write.key)
        if stored is None or write.expect == ABSENT:
            return stored is None and write.expect == ABSENT
        expected = StoreVersion(write.expect)
        if number_of(expected) != stored.count:
            return False
        if stored.written <= era_of(expected):
            return True
        return era_of(expected) == 0 and stored.created == self._present()

    def _apply(self, write: Write) -> None:
        match write:
            case Put(key, body, expect, _):
                era = self._present()
                before = self._rows.get(key)
                created = era if before is None else before.created
                count = number_of(StoreVersion(expect)) + 1
                self._rows[key] = _Stored(count, body, era, created)
            case Delete(key, _):
                self._rows.pop(key, None)
            case Check():
                pass
