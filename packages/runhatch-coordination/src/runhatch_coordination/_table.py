"""The interface of the transactional table: rows, writes and outcomes.

The version of a row starts at 1 and grows by one with each write; 0 means that the
row does not exist. All writes of a transaction are conditional on versions.

A version read from the table includes the era of the table (:func:`store_version`).
So a condition formed before a restoration from an older copy does not hold for a row
written after it, and versions read later are higher. A caller that creates a row and
counts its own writes from there uses plain numbers, whatever the era.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from datetime import datetime
from typing import Protocol

ABSENT = 0
"""The version of a row that does not exist."""


@dataclass(frozen=True, slots=True, order=True)
class Key:
    """The key of a row; all rows of one partition are read together."""

    partition: str
    sort: str


@dataclass(frozen=True, slots=True)
class Row:
    """One row as read; ``body`` is opaque to the table."""

    key: Key
    version: int
    body: bytes


@dataclass(frozen=True, slots=True)
class Put:
    """Write ``body`` if the row still has version ``expected_version``.

    The table may delete the row at any time after ``expires_at``.
    """

    key: Key
    body: bytes
    expected_version: int
    expires_at: datetime | None = None


@dataclass(frozen=True, slots=True)
class Delete:
    """Delete the row if it still has version ``expected_version``."""

    key: Key
    expected_version: int


@dataclass(frozen=True, slots=True)
class Check:
    """Write nothing, but fail the transaction unless the version matches."""

    key: Key
    expected_version: int


Write = Put | Delete | Check


@dataclass(frozen=True, slots=True)
class Committed:
    """The transaction took effect."""


@dataclass(frozen=True, slots=True)
class Conflict:
    """Nothing was written; the conditions of the writes at ``failed`` did not hold."""

    failed: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class Unavailable:
    """The store did not execute the call; nothing was written."""

    reason: str


@dataclass(frozen=True, slots=True)
class Unknown:
    """The answer was lost: the transaction may or may not have taken effect."""

    reason: str


@dataclass(frozen=True, slots=True)
class Missing:
    """The requested row does not exist."""


TransactOutcome = Committed | Conflict | Unavailable | Unknown
GetOutcome = Row | Missing | Unavailable
QueryOutcome = tuple[Row, ...] | Unavailable


class Table(Protocol):
    """A table with conditional transactions and consistent reads.

    .. versionadded:: 0.1
    """

    @property
    def era(self) -> int | None:
        """Number of restorations from an older copy, ``None`` if not known.

        Each of them loses the acknowledged writes made after the copy.
        """

    def transact(self, writes: Sequence[Write]) -> TransactOutcome:
        """Apply all ``writes`` or none."""

    def get(self, key: Key) -> GetOutcome:
        """Read one row."""

    def query(self, partition: str) -> QueryOutcome:
        """Read all rows of ``partition``, ordered by sort key."""
