"""The transactional table as the library sees it: rows, writes, outcomes.

A row's version starts at 1 and grows by one with each write; 0 means that the
row does not exist.  All writes of a transaction are conditional on versions.

A version that was read bears the era of the table (:func:`store_version`), so that a
condition of before a step back does not hold on a row that was written since, and
versions read later are higher.  Who counts on from the version that it created a row
at has a plain count, in whatever era.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from datetime import datetime
from typing import Protocol

ABSENT = 0
"""The version of a row that does not exist."""


@dataclass(frozen=True, slots=True, order=True)
class Key:
    """Where a row lives: all rows of one partition are read together."""

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
    """Write ``body`` if the row still has version ``expect``.

    After ``expires`` the table may drop the row by itself, at leisure.
    """

    key: Key
    body: bytes
    expect: int
    expires: datetime | None = None


@dataclass(frozen=True, slots=True)
class Delete:
    """Delete the row if it still has version ``expect``."""

    key: Key
    expect: int


@dataclass(frozen=True, slots=True)
class Check:
    """Write nothing, but fail the transaction unless the version matches."""

    key: Key
    expect: int


Write = Put | Delete | Check


@dataclass(frozen=True, slots=True)
class Committed:
    """The transaction took effect."""


@dataclass(frozen=True, slots=True)
class Conflict:
    """Nothing was written; ``failed`` are the positions whose condition failed."""

    failed: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class Unavailable:
    """The store did not act on the call; nothing was written."""

    reason: str


@dataclass(frozen=True, slots=True)
class Unknown:
    """The answer was lost: the transaction may or may not have taken effect."""

    reason: str


@dataclass(frozen=True, slots=True)
class Missing:
    """The row that was asked for does not exist."""


TransactOutcome = Committed | Conflict | Unavailable | Unknown
GetOutcome = Row | Missing | Unavailable
QueryOutcome = tuple[Row, ...] | Unavailable


class Table(Protocol):
    """A table with conditional transactions and consistent reads.

    .. versionadded:: 0.1
    """

    @property
    def era(self) -> int | None:
        """How many times it has come back from an older copy, ``None`` if not known.

        What was written after that copy, and acknowledged, is gone then.
        """

    def transact(self, writes: Sequence[Write]) -> TransactOutcome:
        """Apply all ``writes`` or none."""

    def get(self, key: Key) -> GetOutcome:
        """Read one row."""

    def query(self, partition: str) -> QueryOutcome:
        """Read all rows of ``partition``, ordered by sort key."""
