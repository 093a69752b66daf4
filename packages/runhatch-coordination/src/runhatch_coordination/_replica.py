"""A local copy of a watched table, updated from several sources.

The reader of the store and peers offer changes in any order; the copy applies each
once and never returns to an older version. It also computes the changes since a given
version, as far back as it remembers removed rows.
"""

import threading
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum

from runhatch_coordination._feed import Entry, FeedListener
from runhatch_coordination._history import ORIGIN, StoreVersion, era_of

MAX_REMOVED_ROWS = 500
"""Removed rows that are remembered. A node whose version is older receives the whole
table, some 400 bytes a row."""
MAX_UNTRACKED_SPANS = 8
"""Number of remembered replacements by a whole table. More of them occur only if the
store repeatedly drops its history; nodes with older versions then receive the whole
table."""

Rows = tuple[Entry[bytes], ...]


@dataclass(frozen=True, slots=True)
class TableChanges:
    """Rows changed after version ``after`` up to ``version``, all if ``is_whole``.

    ``changed_version`` is the version that readers announce for the newest of them,
    ``ORIGIN`` if there is nothing to announce. The table had no other changes up to the
    store's time ``confirmed_at``, ``None`` if that is not known.
    """

    after: StoreVersion
    version: StoreVersion
    entries: Rows
    is_whole: bool = False
    changed_version: StoreVersion = ORIGIN
    confirmed_at: timedelta | None = None


class OfferOutcome(Enum):
    """The outcome of offering changes to a copy."""

    APPLIED = "taken"
    KNOWN = "known"
    GAP = "gap"
    """Earlier changes are missing in the copy, so these were not applied."""


@dataclass(frozen=True, slots=True)
class _Row:
    """The value of a row and the version up to which it changed to that value."""

    value: bytes
    changed_version: StoreVersion


class TableReplica:
    """The rows of one table at one version; thread-safe.

    ``listener`` is called while the copy is locked, and so in the order of versions.

    .. versionadded:: 0.2
    """

    def __init__(self, listener: FeedListener[bytes]) -> None:
        self._listener = listener
        self._lock = threading.Lock()
        self._rows: dict[str, _Row] = {}
        self._removed_rows: dict[str, StoreVersion] = {}
        self._oldest_tracked_version = ORIGIN
        self._untracked_spans: list[tuple[StoreVersion, StoreVersion]] = []
        """Pairs of versions between which a whole table replaced the rows. Rows that
        were added and removed in between are unknown here, but a node at a version in
        between may store them."""
        self._last_change_version = ORIGIN
        self._version: StoreVersion | None = None

    @property
    def version(self) -> StoreVersion | None:
        """The version of the rows, ``None`` before the first whole table."""
        return self._version

    @property
    def empty_changes(self) -> TableChanges | None:
        """Changes without rows, from the version of the last change to the current one.

        Other nodes learn from them that they miss nothing. ``None`` if no version is
        known.
        """
        with self._lock:
            if self._version is None:
                return None
            return TableChanges(self._last_change_version, self._version, ())

    def offer(self, changes: TableChanges) -> OfferOutcome:
        """Apply ``changes`` unless they are known or earlier ones are missing."""
        with self._lock:
            if self._version is not None and changes.version <= self._version:
                return OfferOutcome.KNOWN
            if changes.is_whole:
                self._replace_rows(changes)
            elif self._version is None or changes.after > self._version:
                return OfferOutcome.GAP
            else:
                self._apply_changes(changes)
            return OfferOutcome.APPLIED

    def changes_since(self, version: StoreVersion | None) -> TableChanges | None:
        """Return the changes since ``version``, ``None`` if no version is known.

        These are the whole table if ``version`` is ``None`` or too old.
        """
        with self._lock:
            if self._version is None:
                return None
            if version is None or not self._tracks_changes_since(version):
                rows = tuple(Entry(key, row.value) for key, row in self._rows.items())
                return TableChanges(ORIGIN, self._version, rows, is_whole=True)
            changed: list[Entry[bytes]] = [
                Entry(key, row.value)
                for key, row in self._rows.items()
                if row.changed_version > version
            ]
            changed += [
                Entry(key, None)
                for key, removed in self._removed_rows.items()
                if removed > version
            ]
            return TableChanges(version, self._version, tuple(changed))

    def _tracks_changes_since(self, version: StoreVersion) -> bool:
        """Return whether all changes since ``version`` are known."""
        is_in_gap = any(
            before < version < after for before, after in self._untracked_spans
        )
        return version >= self._oldest_tracked_version and not is_in_gap

    def _replace_rows(self, changes: TableChanges) -> None:
        """Replace the rows by a whole table and record which of them differ."""
        restored = self._version is not None and (
            era_of(changes.version) > era_of(self._version)
        )
        if restored:
            self._listener.handle_restoration()
        listed = {
            entry.key: entry.value
            for entry in changes.entries
            if entry.value is not None
        }
        for key in set(self._rows) - set(listed):
            self._remove_row(key, changes.version)
        for key, value in listed.items():
            if key not in self._rows or self._rows[key].value != value:
                self._put_row(key, value, changes.version)
        if self._version is None:
            self._oldest_tracked_version = changes.version
        elif restored:
            # Other nodes may store rows of the previous era that are unknown here.
            self._oldest_tracked_version = changes.version
            self._untracked_spans.clear()
        else:
            self._untracked_spans.append((self._version, changes.version))
        if len(self._untracked_spans) > MAX_UNTRACKED_SPANS:
            _, self._oldest_tracked_version = self._untracked_spans.pop(0)
        self._version = self._last_change_version = changes.version
        self._listener.replace_entries(changes.entries)

    def _apply_changes(self, changes: TableChanges) -> None:
        for entry in changes.entries:
            if entry.value is None:
                self._remove_row(entry.key, changes.version)
            else:
                self._put_row(entry.key, entry.value, changes.version)
        self._version = changes.version
        if changes.entries:
            self._last_change_version = changes.version
            self._listener.apply_entries(changes.entries)

    def _put_row(self, key: str, value: bytes, version: StoreVersion) -> None:
        self._removed_rows.pop(key, None)
        self._rows[key] = _Row(value, version)

    def _remove_row(self, key: str, version: StoreVersion) -> None:
        # A row that this copy never had is recorded too: it may have been added and
        # removed between two versions of this copy, and nodes in between may store it.
        self._rows.pop(key, None)
        self._removed_rows.pop(key, None)
        self._removed_rows[key] = version
        if len(self._removed_rows) > MAX_REMOVED_ROWS:
            oldest = next(iter(self._removed_rows))
            self._oldest_tracked_version = max(
                self._oldest_tracked_version, self._removed_rows.pop(oldest)
            )
