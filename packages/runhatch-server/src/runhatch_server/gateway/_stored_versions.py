"""What the store tells of the software versions that served before this node started.

The rows are watched like other tables, so that a node reads them at its start, and from
other nodes where it can.
"""

import threading
from collections.abc import Callable, Collection

import msgspec

from runhatch_coordination import Entry
from runhatch_server.decisions import VersionRecord


class _Row(msgspec.Struct):
    """The record of one service as stored."""

    versions: list[str]
    era: int
    complete: bool


def decode_version_record(key: str, body: bytes) -> VersionRecord:
    """Decode the record of service ``key``.

    Raises ``ValueError`` if it is unreadable.
    """
    row = msgspec.json.decode(body, type=_Row)
    return VersionRecord(frozenset(row.versions), row.era, row.complete)


def encode_version_record(record: VersionRecord) -> bytes:
    """Return the body of the row of ``record``."""
    row = _Row(sorted(record.versions), record.era, record.is_complete)
    return msgspec.json.encode(row)


class VersionHistory:
    """The records of all services, a :class:`runhatch_coordination.FeedListener`.

    ``find_era`` returns the era of the store in which the table was read, ``None``
    before that.  Queries don't lock, as others hold locks of their own meanwhile.
    """

    def __init__(self, find_era: Callable[[], int | None]) -> None:
        self.find_era = find_era
        self.record_past: Callable[[str, Collection[str]], None] = lambda *past: None
        """Records versions of a service that may have begun streams before."""
        self.on_change: Callable[[], None] = lambda: None
        self._lock = threading.Lock()
        self._records: dict[str, VersionRecord] = {}
        self._carried: dict[str, frozenset[str]] = {}
        """Versions of complete records of an earlier era, by service.  They stay valid
        on this node, which has not lost what the store has."""

    def get(self, service: str) -> VersionRecord | None:
        """Return the record of ``service``, if there is one."""
        return self._records.get(service)

    def carried_versions(self, service: str) -> frozenset[str] | None:
        """Return all versions known from before a restoration, if they are known."""
        return self._carried.get(service)

    def is_complete(self, service: str) -> bool:
        """Return whether all versions of ``service`` are known that may matter."""
        if service in self._carried:
            return True
        record = self._records.get(service)
        return record is not None and record.is_complete_in(self.find_era())

    def is_recorded(self, service: str, version: str) -> bool:
        """Return whether ``version`` of ``service`` is known to be in the store."""
        record = self._records.get(service)
        return record is not None and version in record.versions

    def learn(self, service: str, record: VersionRecord) -> None:
        """Take over a record that this node has just read or written."""
        self._update({service: record})

    # Updates of the table.

    def replace_entries(self, entries: tuple[Entry[VersionRecord], ...]) -> None:
        """Replace all records."""
        listed = {e.key: e.value for e in entries if e.value is not None}
        self._update(listed, removed=frozenset(self._records) - frozenset(listed))

    def apply_entries(self, entries: tuple[Entry[VersionRecord], ...]) -> None:
        """Apply changed records."""
        self._update(
            {e.key: e.value for e in entries if e.value is not None},
            frozenset(e.key for e in entries if e.value is None),
        )

    def handle_restoration(self) -> None:
        """Keep the versions that the copy of the store may lack."""
        with self._lock:
            complete = {
                service: record.versions
                for service, record in self._records.items()
                if record.is_complete_in(self.find_era())
            }
            self._carried = {**complete, **self._carried}

    def handle_outage(self, reason: str) -> None:
        """Do nothing: records stay valid."""

    def handle_recovery(self) -> None:
        """Do nothing: changes follow."""

    def handle_store_return(self) -> None:
        """Do nothing: records don't expire."""

    def _update(
        self,
        changed: dict[str, VersionRecord],
        removed: frozenset[str] = frozenset(),
    ) -> None:
        era = self.find_era()
        with self._lock:
            records = {**self._records, **changed}
            for service in removed:
                records.pop(service, None)
            self._records = records
            self._carried = {
                service: versions
                for service, versions in self._carried.items()
                if service not in records
                or not records[service].is_complete_in(era)
                or not versions <= records[service].versions
            }
        for service, record in changed.items():
            self.record_past(service, record.versions)
        self.on_change()
