"""Ledger rows in the table, written only under the shard's lease."""

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
    """A ledger row, the version it was read or written at, and the table's era then.

    Versions are counted again when the table comes back from an older copy, and
    rows may be missing in it; so the era is part of what orders are fenced by.
    """

    row: LedgerRow
    version: int
    era: int

    @property
    def next_order(self) -> int:
        """The fencing number of orders recorded by the next write."""
        return fence_of(self.era, number_of(StoreVersion(self.version)) + 1)


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

    def empty_row(self, target: str, capacity_mb: int) -> VersionedRow:
        """Return the row of a target that has none in the table as it was read."""
        return VersionedRow(LedgerRow(target, capacity_mb), ABSENT, self._era())

    def read_all(self) -> tuple[VersionedRow, ...] | Unavailable:
        """Return all rows of the shard."""
        rows: QueryOutcome = self._table.query(self._partition)
        if isinstance(rows, Unavailable):
            return rows
        return tuple(decode_row(row) for row in rows)

    def write(
        self, row: LedgerRow, before: VersionedRow, epoch: Epoch
    ) -> VersionedRow | Conflict | Unavailable | Unknown:
        """Replace the row ``before`` if the lease is still held.

        Asserts that the charges fit before anything is sent.  What was numbered in
        an earlier era is not to be ordered, even if it was written in this one.
        """
        row.check()
        body = msgspec.json.encode(_Body(row, f"{self._writer}:{epoch.number}"))
        put = Put(Key(self._partition, row.target), body, before.version)
        outcome: TransactOutcome = commit(self._table, [put, epoch.guard])
        if not isinstance(outcome, Committed):
            return outcome
        if self._era() != before.era:
            return Unknown("the table came back from an older copy meanwhile")
        count = number_of(StoreVersion(before.version)) + 1
        return VersionedRow(row, store_version(before.era, count), before.era)

    def _era(self) -> int:
        """Return the table's era, which reading it has told."""
        era = self._table.era
        if era is None:
            raise InvariantError("no order is numbered before the era is known")
        return era


def decode_row(row: Row) -> VersionedRow:
    """Decode a row of the table."""
    body = msgspec.json.decode(row.body, type=_Body)
    return VersionedRow(body.row, row.version, era_of(StoreVersion(row.version)))
