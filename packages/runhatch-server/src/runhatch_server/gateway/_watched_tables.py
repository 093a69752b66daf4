"""Watched tables of the store, and the decoding of their rows."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Generic, TypeVar

from runhatch_coordination import Entry, Feed, FeedListener
from runhatch_server.observability import log_change

ValueT = TypeVar("ValueT")


def decode_rows(
    table: str,
    rows: Iterable[Entry[bytes]],
    decode: Callable[[str, bytes], ValueT],
    removes_unreadable: bool,
) -> tuple[Entry[ValueT], ...]:
    """Return the decoded ``rows`` of ``table``.

    A row for which ``decode`` raises ``ValueError``, or that is nested too deeply for
    it, is logged and skipped, so that its previous value stays, or is returned as
    removed if ``removes_unreadable``.
    """
    decoded: list[Entry[ValueT]] = []
    for row in rows:
        if row.value is None:
            decoded.append(Entry(row.key, None))
            continue
        try:
            decoded.append(Entry(row.key, decode(row.key, row.value)))
        except (ValueError, RecursionError) as error:
            log_change("row_unreadable", table=table, key=row.key, why=str(error))
            if removes_unreadable:
                decoded.append(Entry(row.key, None))
    return tuple(decoded)


@dataclass(frozen=True, slots=True)
class WatchedTable(Generic[ValueT]):
    """The feed of a table and the decoder of its rows, see :func:`decode_rows`."""

    name: str
    feed: Feed[bytes]
    decode: Callable[[str, bytes], ValueT]
    removes_unreadable: bool = False

    def decode_entries(self, rows: Iterable[Entry[bytes]]) -> tuple[Entry[ValueT], ...]:
        """Return the decoded ``rows``."""
        return decode_rows(self.name, rows, self.decode, self.removes_unreadable)


class DecodingListener(Generic[ValueT]):
    """Decodes the rows of a table for ``listener``."""

    def __init__(
        self, table: WatchedTable[ValueT], listener: FeedListener[ValueT]
    ) -> None:
        self._table = table
        self._listener = listener

    def replace_entries(self, entries: tuple[Entry[bytes], ...]) -> None:
        """Replace all entries."""
        self._listener.replace_entries(self._table.decode_entries(entries))

    def apply_entries(self, entries: tuple[Entry[bytes], ...]) -> None:
        """Apply changed entries."""
        self._listener.apply_entries(self._table.decode_entries(entries))

    def handle_restoration(self) -> None:
        """Record that the table was restored from a backup; a listing follows."""
        log_change("table_restored", table=self._table.name)
        self._listener.handle_restoration()

    def handle_outage(self, reason: str) -> None:
        """Record that the table cannot be read, so that its entries may be stale."""
        self._listener.handle_outage(reason)

    def handle_recovery(self) -> None:
        """Record that the table can be read again."""
        self._listener.handle_recovery()

    def handle_store_return(self) -> None:
        """Record that entries may have expired in an outage of the store."""
        self._listener.handle_store_return()
