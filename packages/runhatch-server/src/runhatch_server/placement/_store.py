"""Ledger rows in the table, written only under the shard's lease."""

from dataclasses import dataclass

import msgspec

from runhatch_coordination import (
    ABSENT,
    Committed,
    Conflict,
    Epoch,
    Key,
    Put,
    QueryOutcome,
    Row,
    Table,
    TransactOutcome,
    Unavailable,
    Unknown,
    commit,
)
from runhatch_server.placement._ledger import LedgerRow

LEDGER_PREFIX = "ledger/"


@dataclass(frozen=True, slots=True)
class VersionedRow:
    """A ledger row and the version it was read or written at."""

    row: LedgerRow
    version: int

    @property
    def next_order(self) -> int:
        """The fencing number of orders recorded by the next write."""
        return self.version + 1


@dataclass(frozen=True, slots=True)
class _Body:
    row: LedgerRow
    writer: str


class LedgerStore:
    """The ledger of one shard."""

    def __init__(self, table: Table, shard: str, writer: str) -> None:
        self._table = table
        self._partition = LEDGER_PREFIX + shard
        self._writer = writer

    def read_all(self) -> tuple[VersionedRow, ...] | Unavailable:
        """Return all rows of the shard."""
        rows: QueryOutcome = self._table.query(self._partition)
        if isinstance(rows, Unavailable):
            return rows
        return tuple(decode_row(row) for row in rows)

    def write(
        self, row: LedgerRow, version: int, epoch: Epoch
    ) -> VersionedRow | Conflict | Unavailable | Unknown:
        """Replace the row of version ``version`` if the lease is still held.

        Asserts that the charges fit before anything is sent.
        """
        row.check()
        body = msgspec.json.encode(_Body(row, f"{self._writer}:{epoch.number}"))
        put = Put(Key(self._partition, row.target), body, version)
        outcome: TransactOutcome = commit(self._table, [put, epoch.guard])
        if isinstance(outcome, Committed):
            return VersionedRow(row, version + 1)
        return outcome


def decode_row(row: Row) -> VersionedRow:
    """Decode a row of the table."""
    return VersionedRow(msgspec.json.decode(row.body, type=_Body).row, row.version)


def empty_row(target: str, capacity_mb: int) -> VersionedRow:
    """Return the row of a target that has none in the table yet."""
    return VersionedRow(LedgerRow(target, capacity_mb), ABSENT)
