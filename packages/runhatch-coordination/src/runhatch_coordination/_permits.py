"""Permits for a rate that several nodes share, such as a weight store's.

One row counts the permits given out and names those in use.  Nobody compares wall
clocks: a node spaces permits by its own clock from when it saw the row change,
which is never earlier than the change itself.
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
BURST = timedelta(seconds=1)
"""How long unused permits are kept for later."""


@dataclass(frozen=True, slots=True)
class PermitRecord:
    """Body of a permit row: who uses a permit now, and for what."""

    given: int
    in_use: tuple[str, ...]


class SharedPermits:
    """At most ``at_once`` permits in use and ``per_second`` given out.

    .. versionadded:: 0.1
    """

    def __init__(
        self,
        table: Table,
        clock: Clock,
        name: str,
        per_second: float,
        at_once: int,
    ) -> None:
        self._table = table
        self._clock = clock
        self._key = Key(PERMIT_PARTITION, name)
        self._interval = timedelta(seconds=1 / per_second)
        self._at_once = at_once
        self._given: StoreVersion | None = None
        """Permits given out, in the era in which the row was read."""
        self._seen_at = timedelta()

    def acquire(self, users: Sequence[str]) -> frozenset[str]:
        """Take permits for ``users``, the first ones first, as far as they go.

        Returns those who have one now.  Asking again for a permit in use succeeds
        and changes nothing.  What was not taken for up to a second may be taken
        at once.
        """
        loaded = self._load()
        if loaded is None:
            return frozenset()
        version, record = loaded
        held = frozenset(users).intersection(record.in_use)
        fresh = [user for user in users if user not in held]
        granted = tuple(fresh[: self._open_now(record)])
        if not granted:
            return held
        taken = PermitRecord(record.given + len(granted), (*record.in_use, *granted))
        return held.union(granted) if self._store(version, taken) else held

    def release(self, users: frozenset[str]) -> bool:
        """Give back the permits of ``users``; those not in use are passed over."""
        loaded = self._load()
        if loaded is None:
            return False
        version, record = loaded
        kept = tuple(user for user in record.in_use if user not in users)
        if len(kept) == len(record.in_use):
            return True
        return self._store(version, PermitRecord(record.given, kept))

    def in_use(self) -> tuple[str, ...]:
        """Return the users of permits, empty if the table is unreachable."""
        loaded = self._load()
        return () if loaded is None else loaded[1].in_use

    def _open_now(self, record: PermitRecord) -> int:
        """Return how many permits may be given out at this moment."""
        spared = (self._clock.elapsed() - self._seen_at) // self._interval
        burst = max(1, BURST // self._interval)
        return max(0, min(spared, burst, self._at_once - len(record.in_use)))

    def _load(self) -> tuple[int, PermitRecord] | None:
        found = self._table.get(self._key)
        if isinstance(found, Unavailable):
            return None
        if isinstance(found, Missing):
            self._observe(0, ABSENT)
            return ABSENT, PermitRecord(0, ())
        record = msgspec.json.decode(found.body, type=PermitRecord)
        self._observe(record.given, found.version)
        return found.version, record

    def _observe(self, given: int, version: int) -> None:
        position = store_version(era_of(StoreVersion(version)), given)
        if position != self._given:
            # The first sight of the row counts as a change just made.
            self._seen_at = self._clock.elapsed() if given else -self._interval
            self._given = position

    def _store(self, version: int, record: PermitRecord) -> bool:
        body = msgspec.json.encode(record)
        done = isinstance(
            commit(self._table, [Put(self._key, body, version)]), Committed
        )
        if done:
            self._observe(record.given, version)
        return done
