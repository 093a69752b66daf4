"""The software versions of each service as the store states them.

The rows are watched like other tables, so that a node reads them at its start, and from
other nodes where it can.
"""

import threading
from collections.abc import Callable, Mapping
from datetime import timedelta

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


class StoredVersions:
    """The records of all services, a :class:`runhatch_coordination.FeedListener`.

    ``find_era`` returns the era of the store in which the table was read, ``None``
    before that.  ``record_seen`` is called with each version that is new in a record,
    ``on_change`` after each change.  Queries don't lock, as their callers may hold
    locks that ``record_seen`` acquires.
    """

    def __init__(
        self,
        find_era: Callable[[], int | None],
        record_seen: Callable[[str, str, timedelta], None],
        on_change: Callable[[], None],
    ) -> None:
        self.find_era = find_era
        self._record_seen = record_seen
        self._on_change = on_change
        self._lock = threading.Lock()
        self._records: dict[str, VersionRecord] = {}
        self._known_before: dict[str, frozenset[str]] = {}
        """Versions in complete records of an earlier era, by service.  They stay
        complete on this node, which has not lost what the store has."""

    def get(self, service: str) -> VersionRecord | None:
        """Return the record of ``service``, if there is one."""
        return self._records.get(service)

    def known_before_restoration(self, service: str) -> frozenset[str] | None:
        """Return all versions known before a restoration, unless a record has them."""
        return self._known_before.get(service)

    def list_all(self, service: str) -> frozenset[str] | None:
        """Return all versions that may have begun streams in progress.

        ``None`` if the record may lack some of them.
        """
        known_before = self._known_before.get(service)
        record = self._records.get(service)
        if record is None:
            return known_before
        if known_before is None and not record.is_complete_in(self.find_era()):
            return None
        return record.versions | (known_before or frozenset())

    def is_recorded(self, service: str, version: str) -> bool:
        """Return whether ``version`` of ``service`` is known to be in the store."""
        record = self._records.get(service)
        return record is not None and version in record.versions

    def put(self, service: str, record: VersionRecord) -> None:
        """Take over a record that this node has just read or written."""
        self._update({service: record})

    # Updates of the table.

    def replace_entries(self, entries: tuple[Entry[VersionRecord], ...]) -> None:
        """Replace all records."""
        self._update({entry.key: entry.value for entry in entries}, is_whole=True)

    def apply_entries(self, entries: tuple[Entry[VersionRecord], ...]) -> None:
        """Apply changed records."""
        self._update({entry.key: entry.value for entry in entries})

    def handle_restoration(self) -> None:
        """Keep the versions that the copy of the store may lack."""
        era = self.find_era()
        with self._lock:
            complete = {
                service: record.versions
                for service, record in self._records.items()
                if record.is_complete_in(era)
            }
            self._known_before = {**self._known_before, **complete}

    def handle_outage(self, reason: str) -> None:
        """Do nothing: records stay valid."""

    def handle_recovery(self) -> None:
        """Do nothing: changes follow."""

    def handle_store_return(self) -> None:
        """Do nothing: records don't expire."""

    def _update(
        self, changed: Mapping[str, VersionRecord | None], is_whole: bool = False
    ) -> None:
        """Apply ``changed`` records, removed ones if ``None``; all if ``is_whole``."""
        era = self.find_era()
        with self._lock:
            previous = self._records
            merged = changed if is_whole else {**previous, **changed}
            records = {key: each for key, each in merged.items() if each is not None}
            self._records = records
            self._known_before = {
                service: versions
                for service, versions in self._known_before.items()
                if not _has_all(records.get(service), versions, era)
            }
        for service, record in records.items():
            known = previous.get(service)
            for version in record.versions - (known.versions if known else frozenset()):
                self._record_seen(service, version, timedelta())
        self._on_change()


def _has_all(
    record: VersionRecord | None, versions: frozenset[str], era: int | None
) -> bool:
    """Return whether a complete record of ``era`` has all ``versions``."""
    if record is None or not record.is_complete_in(era):
        return False
    return versions <= record.versions
