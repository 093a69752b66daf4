"""Permits for a rate limit shared by several nodes, such as that of a weight store.

One row counts the permits granted and lists those in use.  Nodes do not compare wall
clocks: each node spaces permits by its own clock from the moment when it saw the row
change, which is never earlier than the change itself.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from datetime import timedelta

import msgspec

from runhatch_coordination._clock import Clock
from runhatch_coordination._commit import commit
from runhatch_coordination._history import StoreVersion, era_of, store_version
from runhatch_coordination._table import (
    ABSENT,
    Committed,
    Key,
    Missing,
    Put,
    Table,
    Unavailable,
)

PERMIT_PARTITION = "permit"
BURST_WINDOW = timedelta(seconds=1)
"""Period over which unused permits accumulate."""


@dataclass(frozen=True, slots=True)
class PermitRecord:
    """Body of a permit row: the number of permits granted and their current users."""

    given: int
    in_use: tuple[str, ...]


class SharedPermits:
    """Limits permits to ``max_in_use`` in use and ``per_second`` granted over all
    nodes.

    .. versionadded:: 0.1
    """

    def __init__(
        self,
        table: Table,
        clock: Clock,
        name: str,
        per_second: float,
        max_in_use: int,
    ) -> None:
        self._table = table
        self._clock = clock
        self._key = Key(PERMIT_PARTITION, name)
        self._interval = timedelta(seconds=1 / per_second)
        self._max_in_use = max_in_use
        self._granted_version: StoreVersion | None = None
        """Number of permits granted, with the era in which the row was read."""
        self._changed_at = timedelta()

    def acquire(self, users: Sequence[str]) -> frozenset[str]:
        """Acquire permits for ``users``, in order, as far as permits are available.

        Return the users that hold a permit now, including those that already held
        one.  Permits unused for up to ``BURST_WINDOW`` may be acquired together.
        """
        loaded = self._load_record()
        if loaded is None:
            return frozenset()
        version, record = loaded
        held = frozenset(users).intersection(record.in_use)
        waiting = [user for user in users if user not in held]
        granted = tuple(waiting[: self._count_available(record)])
        if not granted:
            return held
        updated = PermitRecord(record.given + len(granted), (*record.in_use, *granted))
        return held.union(granted) if self._store_record(version, updated) else held

    def release(self, users: frozenset[str]) -> bool:
        """Release the permits of ``users``, ignoring users without one.

        Return false if the table was not updated; the permits may still be in use.
        """
        loaded = self._load_record()
        if loaded is None:
            return False
        version, record = loaded
        remaining = tuple(user for user in record.in_use if user not in users)
        if len(remaining) == len(record.in_use):
            return True
        return self._store_record(version, PermitRecord(record.given, remaining))

    def in_use(self) -> tuple[str, ...]:
        """Return the users of permits; empty if the table is unreachable."""
        loaded = self._load_record()
        return () if loaded is None else loaded[1].in_use

    def _count_available(self, record: PermitRecord) -> int:
        """Return the number of permits that may be granted now."""
        accrued = (self._clock.elapsed() - self._changed_at) // self._interval
        burst = max(1, BURST_WINDOW // self._interval)
        return max(0, min(accrued, burst, self._max_in_use - len(record.in_use)))

    def _load_record(self) -> tuple[int, PermitRecord] | None:
        found = self._table.get(self._key)
        if isinstance(found, Unavailable):
            return None
        if isinstance(found, Missing):
            self._record_change(0, ABSENT)
            return ABSENT, PermitRecord(0, ())
        record = msgspec.json.decode(found.body, type=PermitRecord)
        self._record_change(record.given, found.version)
        return found.version, record

    def _record_change(self, count: int, version: int) -> None:
        granted_version = store_version(era_of(StoreVersion(version)), count)
        if granted_version != self._granted_version:
            # A row read for the first time counts as changed just now.
            self._changed_at = self._clock.elapsed() if count else -self._interval
            self._granted_version = granted_version

    def _store_record(self, version: int, record: PermitRecord) -> bool:
        body = msgspec.json.encode(record)
        committed = isinstance(
            commit(self._table, [Put(self._key, body, version)]), Committed
        )
        if committed:
            self._record_change(record.given, version)
        return committed
