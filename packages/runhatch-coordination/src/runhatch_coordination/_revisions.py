"""Numbered revisions of a document: one head, moved by conditional writes.

The head row's entry bears the revision number.  A history row written in the same
transaction names who made the change, and settles a lost answer.
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

HEAD_SORT = "head"
HISTORY_SUFFIX = "/history"


class ObjectStore(Protocol):
    """Immutable blobs by name; calls return ``None`` or ``False`` on failure."""

    def put(self, name: str, body: bytes) -> bool:
        """Store ``body``; true only if it is certainly stored."""

    def get(self, name: str) -> bytes | None:
        """Return the body, or ``None`` if it is missing or the store is down."""


@dataclass(frozen=True, slots=True)
class RevisionEntry:
    """What the history keeps of one revision, published in ``era`` of the table."""

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
        """Where it stands among all, those included that an older copy lacks."""
        return store_version(self.era, self.number)


@dataclass(frozen=True, slots=True)
class Revision:
    """One revision with its body."""

    entry: RevisionEntry
    body: bytes


@dataclass(frozen=True, slots=True)
class Overtaken:
    """Another change came first; ``head`` is the number now in force."""

    head: int


PublishOutcome = Revision | Overtaken | Unavailable | Unknown


class RevisionLog:
    """Reads and writes the revisions kept under ``name``.

    .. versionadded:: 0.1
    """

    def __init__(self, table: Table, objects: ObjectStore, name: str) -> None:
        self._table = table
        self._objects = objects
        self._name = name
        self._head = Key(name, HEAD_SORT)

    def head(self) -> int | Unavailable:
        """Return the newest revision's number, 0 if there is none."""
        found = self.newest()
        if isinstance(found, Missing):
            return ABSENT
        return found if isinstance(found, Unavailable) else found.number

    def newest(self) -> RevisionEntry | Missing | Unavailable:
        """Return the newest revision's entry; one read."""
        return self._entry_at(self._head)

    def publish(
        self, base: int, body: bytes, author: str, at: str, note: str
    ) -> PublishOutcome:
        """Make ``body`` revision ``base + 1``, if ``base`` is still the head.

        The body is stored before the head moves, under a name of its own, so a
        reader who sees the head always finds the body.
        """
        head = self._table.get(self._head)
        if isinstance(head, Unavailable):
            return head
        era = self._table.era
        if era is None:
            return Unavailable("the table's era is not known yet")
        present = ABSENT if isinstance(head, Missing) else _entry_of(head).number
        if present != base:
            return Overtaken(present)
        version = ABSENT if isinstance(head, Missing) else head.version
        operation = uuid.uuid4().hex
        number = base + 1
        body_name = f"{self._name}/{number:08d}-{operation}"
        if not self._objects.put(body_name, body):
            return Unavailable("the object store did not take the body")
        entry = RevisionEntry(
            number, operation, author, at, note, body_name, digest_of(body), era
        )
        encoded = msgspec.json.encode(entry)
        writes = [
            Put(self._history_key(number), encoded, ABSENT),
            Put(self._head, encoded, version),
        ]
        outcome = commit(self._table, writes)
        if isinstance(outcome, Committed):
            return Revision(entry, body)
        if isinstance(outcome, Conflict):
            newest = self.head()
            return newest if isinstance(newest, Unavailable) else Overtaken(newest)
        return outcome

    def entry(self, number: int) -> RevisionEntry | Missing | Unavailable:
        """Return the history entry of ``number``."""
        return self._entry_at(self._history_key(number))

    def read(self, number: int) -> Revision | Missing | Unavailable:
        """Return revision ``number`` with its body."""
        entry = self.entry(number)
        if not isinstance(entry, RevisionEntry):
            return entry
        return self.read_body(entry)

    def read_body(self, entry: RevisionEntry) -> Revision | Unavailable:
        """Return the revision of ``entry`` with its body."""
        body = self._objects.get(entry.body_name)
        if body is None:
            return Unavailable("the object store did not return the body")
        require(digest_of(body) == entry.digest, "a revision's body never changes")
        return Revision(entry, body)

    def history(self) -> tuple[RevisionEntry, ...] | Unavailable:
        """Return all entries, oldest first."""
        rows = self._table.query(self._name + HISTORY_SUFFIX)
        if isinstance(rows, Unavailable):
            return rows
        return tuple(_entry_of(row) for row in rows)

    def _entry_at(self, key: Key) -> RevisionEntry | Missing | Unavailable:
        found = self._table.get(key)
        if isinstance(found, Row):
            return _entry_of(found)
        return found

    def _history_key(self, number: int) -> Key:
        return Key(self._name + HISTORY_SUFFIX, f"{number:08d}")


def _entry_of(row: Row) -> RevisionEntry:
    return msgspec.json.decode(row.body, type=RevisionEntry)


class RevisionFeed:
    """The revision in force on one node; its position only ever rises.

    .. versionadded:: 0.1
    """

    def __init__(self, on_change: Callable[[Revision], None]) -> None:
        self._on_change = on_change
        self._lock = threading.Lock()
        self._current: Revision | None = None

    @property
    def current(self) -> Revision | None:
        """The revision in force, if any is known yet."""
        return self._current

    @property
    def number(self) -> int:
        """The number of the revision in force, 0 before the first."""
        return 0 if self._current is None else self._current.entry.number

    @property
    def position(self) -> StoreVersion:
        """The position of the revision in force, ``ORIGIN`` before the first."""
        return ORIGIN if self._current is None else self._current.entry.position

    def offer(self, revision: Revision) -> bool:
        """Put ``revision`` in force if it is newer; returns whether it was.

        Raises :class:`InvariantError` if two bodies claim the same position.
        """
        if digest_of(revision.body) != revision.entry.digest:
            return False
        with self._lock:
            if revision.entry.position <= self.position:
                same = self._current
                if same is not None and same.entry.position == revision.entry.position:
                    require(
                        same.entry.operation == revision.entry.operation,
                        "one revision number names one body",
                    )
                return False
            self._on_change(revision)
            self._current = revision
            return True


def digest_of(body: bytes) -> str:
    """Return the digest that guards a body, in hex."""
    return hashlib.blake2b(body, digest_size=16).hexdigest()
