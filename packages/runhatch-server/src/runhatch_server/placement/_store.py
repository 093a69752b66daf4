"""Stores ledger rows in the table; writes require the shard's lease."""

from dataclasses import dataclass

import msgspec

from runhatch_coordination import (
    ABSENT,
    Committed,
    Conflict,
    Epoch,
    InvariantError,
    Key,
    Put,
    QueryOutcome,
    Row,
    StoreVersion,
    Table,
    TransactOutcome,
    Unavailable,
    Unknown,
    commit,
    era_of,
    fence_of,
    number_of,
    store_version,
)
from runhatch_server.placement._ledger import LedgerRow

LEDGER_PREFIX = "ledger/"


@dataclass(frozen=True, slots=True)
class VersionedRow:
    """A ledger row with its version and the table's era when read or written.

    When the table is restored from an older copy, versions repeat and rows may be
    missing; therefore the fencing numbers of orders include the era.
    """

    row: LedgerRow
    version: int
    era: int

    @property
    def next_order_number(self) -> int:
        """Fencing number of the orders recorded by the next write."""
        return fence_of(self.era, number_of(StoreVersion(self.version)) + 1)


@dataclass(frozen=True, slots=True)
class _Body:
    row: LedgerRow
    writer: str


class LedgerStore:
    """Reads and writes the ledger of one shard."""

    def __init__(self, table: Table, shard: str, writer: str) -> None:
        self._table = table
        self._partition = LEDGER_PREFIX + shard
        self._writer = writer

    def empty_row(self, target: str, capacity_mb: int) -> VersionedRow:
        """Return an empty row for a target that has none in the table."""
        return VersionedRow(LedgerRow(target, capacity_mb), ABSENT, self._era())

    def read_rows(self) -> tuple[VersionedRow, ...] | Unavailable:
        """Return all rows of the shard, ``Unavailable`` if they cannot be read."""
        rows: QueryOutcome = self._table.query(self._partition)
        if isinstance(rows, Unavailable):
            return rows
        return tuple(decode_row(row) for row in rows)

    def write_row(
        self, row: LedgerRow, previous: VersionedRow, epoch: Epoch
    ) -> VersionedRow | Conflict | Unavailable | Unknown:
        """Replace the row ``previous`` by ``row`` if the lease ``epoch`` is still held.

        Raises ``InvariantError`` before writing if the charges do not fit.  Returns
        ``Unknown`` if the table was restored meanwhile: orders numbered in an earlier
        era must not be sent, even if the row was written.
        """
        row.check_charges()
        body = msgspec.json.encode(_Body(row, f"{self._writer}:{epoch.number}"))
        put = Put(Key(self._partition, row.target), body, previous.version)
        outcome: TransactOutcome = commit(self._table, [put, epoch.guard])
        if not isinstance(outcome, Committed):
            return outcome
        if self._era() != previous.era:
            return Unknown("the table was restored from an older copy during the write")
        count = number_of(StoreVersion(previous.version)) + 1
        return VersionedRow(row, store_version(previous.era, count), previous.era)

    def _era(self) -> int:
        """Return the table's era, known after the first read.

        Raises ``InvariantError`` before that.
        """
        era = self._table.era
        if era is None:
            raise InvariantError(
                "orders cannot be numbered before the table's era is known"
            )
        return era


def decode_row(row: Row) -> VersionedRow:
    """Return the ledger row and version stored in a row of the table."""
    body = msgspec.json.decode(row.body, type=_Body)
    return VersionedRow(body.row, row.version, era_of(StoreVersion(row.version)))
