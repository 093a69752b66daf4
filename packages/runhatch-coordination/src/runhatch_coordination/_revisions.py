"""Numbered revisions of a document, whose head is advanced by conditional writes.

The entry in the head row contains the number of the newest revision. A history row
written in the same transaction records the author, and shows after a lost answer
whether the transaction was committed.
"""

import hashlib
import threading
import uuid
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

import msgspec

from runhatch_coordination._commit import commit
from runhatch_coordination._errors import require
from runhatch_coordination._history import ORIGIN, StoreVersion, store_version
from runhatch_coordination._table import (
    ABSENT,
    Committed,
    Conflict,
    Key,
    Missing,
    Put,
    Row,
    Table,
    Unavailable,
    Unknown,
)

HEAD_SORT_KEY = "head"
HISTORY_SUFFIX = "/history"


class ObjectStore(Protocol):
    """A store of immutable objects; calls return ``None`` or ``False`` on failure."""

    def put(self, name: str, body: bytes) -> bool:
        """Store ``body``; return true only if it is certainly stored."""

    def get(self, name: str) -> bytes | None:
        """Return the body, ``None`` if it is missing or the store is unavailable."""


@dataclass(frozen=True, slots=True)
class RevisionEntry:
    """The history entry of one revision, published in ``era`` of the table."""

    number: int
    operation: str
    author: str
    at: str
    note: str
    body_name: str
    digest: str
    era: int = 0

    @property
    def position(self) -> StoreVersion:
        """The position among revisions of all eras, also those lost by a restore."""
        return store_version(self.era, self.number)


@dataclass(frozen=True, slots=True)
class Revision:
    """A revision with its body."""

    entry: RevisionEntry
    body: bytes


@dataclass(frozen=True, slots=True)
class StaleBaseRevision:
    """Another revision was published first; ``head`` is the newest number."""

    head: int


PublishOutcome = Revision | StaleBaseRevision | Unavailable | Unknown


class RevisionLog:
    """Reads and publishes the revisions of the document ``name``.

    .. versionadded:: 0.1
    """

    def __init__(self, table: Table, objects: ObjectStore, name: str) -> None:
        self._table = table
        self._objects = objects
        self._name = name
        self._head_key = Key(name, HEAD_SORT_KEY)

    def read_head_number(self) -> int | Unavailable:
        """Return the number of the newest revision, 0 if there is none."""
        found = self.read_newest_entry()
        if isinstance(found, Missing):
            return ABSENT
        return found if isinstance(found, Unavailable) else found.number

    def read_newest_entry(self) -> RevisionEntry | Missing | Unavailable:
        """Return the entry of the newest revision, with one read of the table."""
        return self._read_entry(self._head_key)

    def publish(
        self, base: int, body: bytes, author: str, at: str, note: str
    ) -> PublishOutcome:
        """Publish ``body`` as revision ``base + 1`` if ``base`` is still the head.

        The body is stored under a unique name before the head advances, so a reader
        of the head always finds the body.
        """
        head = self._table.get(self._head_key)
        if isinstance(head, Unavailable):
            return head
        era = self._table.era
        if era is None:
            return Unavailable("the table's era is not known yet")
        head_number = (
            ABSENT if isinstance(head, Missing) else _decode_entry(head).number
        )
        if head_number != base:
            return StaleBaseRevision(head_number)
        version = ABSENT if isinstance(head, Missing) else head.version
        operation = uuid.uuid4().hex
        number = base + 1
        body_name = f"{self._name}/{number:08d}-{operation}"
        if not self._objects.put(body_name, body):
            return Unavailable(
                "the object store did not store the body of the revision"
            )
        entry = RevisionEntry(
            number, operation, author, at, note, body_name, digest_of(body), era
        )
        encoded = msgspec.json.encode(entry)
        writes = [
            Put(self._history_key(number), encoded, ABSENT),
            Put(self._head_key, encoded, version),
        ]
        outcome = commit(self._table, writes)
        if isinstance(outcome, Committed):
            return Revision(entry, body)
        if isinstance(outcome, Conflict):
            newest = self.read_head_number()
            return (
                newest if isinstance(newest, Unavailable) else StaleBaseRevision(newest)
            )
        return outcome

    def read_entry(self, number: int) -> RevisionEntry | Missing | Unavailable:
        """Return the history entry of ``number``."""
        return self._read_entry(self._history_key(number))

    def read_revision(self, number: int) -> Revision | Missing | Unavailable:
        """Return revision ``number`` with its body."""
        entry = self.read_entry(number)
        if not isinstance(entry, RevisionEntry):
            return entry
        return self.read_body(entry)

    def read_body(self, entry: RevisionEntry) -> Revision | Unavailable:
        """Return the revision of ``entry`` with its body."""
        body = self._objects.get(entry.body_name)
        if body is None:
            return Unavailable(
                "the object store did not return the body of the revision"
            )
        require(
            digest_of(body) == entry.digest,
            "the body of a revision must match the digest of its entry",
        )
        return Revision(entry, body)

    def read_history(self) -> tuple[RevisionEntry, ...] | Unavailable:
        """Return all entries, oldest first."""
        rows = self._table.query(self._name + HISTORY_SUFFIX)
        if isinstance(rows, Unavailable):
            return rows
        return tuple(_decode_entry(row) for row in rows)

    def _read_entry(self, key: Key) -> RevisionEntry | Missing | Unavailable:
        found = self._table.get(key)
        if isinstance(found, Row):
            return _decode_entry(found)
        return found

    def _history_key(self, number: int) -> Key:
        return Key(self._name + HISTORY_SUFFIX, f"{number:08d}")


def _decode_entry(row: Row) -> RevisionEntry:
    return msgspec.json.decode(row.body, type=RevisionEntry)


class RevisionFeed:
    """The current revision on one node; its position only increases.

    .. versionadded:: 0.1
    """

    def __init__(self, on_change: Callable[[Revision], None]) -> None:
        self._on_change = on_change
        self._lock = threading.Lock()
        self._current: Revision | None = None

    @property
    def current(self) -> Revision | None:
        """The current revision, ``None`` before the first."""
        return self._current

    @property
    def number(self) -> int:
        """The number of the current revision, 0 before the first."""
        return 0 if self._current is None else self._current.entry.number

    @property
    def position(self) -> StoreVersion:
        """The position of the current revision, ``ORIGIN`` before the first."""
        return ORIGIN if self._current is None else self._current.entry.position

    def offer(self, revision: Revision) -> bool:
        """Make ``revision`` current if it is newer; return whether it was.

        A revision whose body does not match its digest is ignored.

        Raises :class:`InvariantError` if two operations published the same position.
        """
        if digest_of(revision.body) != revision.entry.digest:
            return False
        with self._lock:
            if revision.entry.position <= self.position:
                known = self._current
                if (
                    known is not None
                    and known.entry.position == revision.entry.position
                ):
                    require(
                        known.entry.operation == revision.entry.operation,
                        "a revision number must belong to only one operation",
                    )
                return False
            self._on_change(revision)
            self._current = revision
            return True


def digest_of(body: bytes) -> str:
    """Return the hexadecimal digest that a body is verified with."""
    return hashlib.blake2b(body, digest_size=16).hexdigest()
