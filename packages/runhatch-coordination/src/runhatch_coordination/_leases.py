"""Leases with epochs, kept in two rows of the table.

The lease row changes with each renewal; a challenger times it by its own clock
from when it saw the row change.  The epoch row changes only when the holder does,
so a holder's writes carry a cheap condition on it (:meth:`Lease.guard`).

When the table comes back from an older copy, its rows name an earlier holder, and
epochs are counted again.  Then every holder loses the lease, fences go on in a new
era, and only the holder of before may acquire the lease at once.
"""

import threading
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum

import msgspec

from runhatch_coordination._clock import Clock
from runhatch_coordination._commit import commit
from runhatch_coordination._history import StoreVersion, fence_of, number_of
from runhatch_coordination._table import (
    ABSENT,
    Check,
    Committed,
    Key,
    Missing,
    Put,
    Row,
    Table,
    Unavailable,
    Unknown,
)

LEASE_PARTITION = "lease"
EPOCH_PARTITION = "epoch"
RENEW_SHARE = 3
"""A holder renews when this fraction (one in N) of the time to live is gone."""
CHALLENGE_FACTOR = 1.2
"""A challenger waits this many times to live; clocks of VMs drift apart by far less
than a tenth."""


@dataclass(frozen=True, slots=True)
class LeaseRecord:
    """Body of a lease row; an empty ``holder`` means that it was given up."""

    holder: str
    epoch: int
    renewal: int
    address: str = ""


@dataclass(frozen=True, slots=True)
class Epoch:
    """Proof of holding: the fence, which only rises, and a condition for writes."""

    number: int
    guard: Check


class Vacancy(Enum):
    """Why a lease was free to be acquired."""

    NEVER_HELD = "never held"
    GIVEN_UP = "given up"
    OWN = "held by this node"
    RESIGNED = "resigned"
    LAPSED = "lapsed"
    RESTORED = "lapsed since the table came back"
    """Nobody knows who held it: the row may be the one of an older copy."""
    KEPT = "held by this node when the table came back"


@dataclass(frozen=True, slots=True)
class Takeover:
    """How a lease was acquired.

    ``holder`` and ``epoch`` stand in the row that was read for it: no holder if it
    was given up, ``None`` if there was no row.  ``free_since`` is when the last
    holder's right had surely ended, on the clock's elapsed time.
    """

    vacancy: Vacancy
    holder: str | None
    epoch: int
    free_since: timedelta
    era: int | None

    @property
    def is_from_another(self) -> bool:
        """Whether another node may have acted under the lease before."""
        return self.vacancy not in (Vacancy.NEVER_HELD, Vacancy.OWN, Vacancy.KEPT)


class LeaseChange(Enum):
    """What one step did to the caller's own standing."""

    NONE = "none"
    ACQUIRED = "acquired"
    LOST = "lost"
    STORE_DOWN = "store_down"


class Lease:
    """One lease as seen by one node; a single task calls :meth:`step`.

    ``held`` may be read from any thread.  ``eager`` nodes challenge a free lease
    at once, others after one time to live, so that the preferred node wins
    without a race.

    .. versionadded:: 0.1
    """

    def __init__(
        self,
        table: Table,
        clock: Clock,
        name: str,
        holder: str,
        ttl: timedelta,
        address: str = "",
    ) -> None:
        self._table = table
        self._clock = clock
        self._holder = holder
        self._address = address
        self._ttl = ttl
        self._lease_key = Key(LEASE_PARTITION, name)
        self._epoch_key = Key(EPOCH_PARTITION, name)
        self._lock = threading.Lock()
        self._era = table.era
        self._held_before = False
        """Whether this node held the lease when the table came back."""
        self._doubts_row = False
        """Whether the row may still be the one of an older copy."""
        self._epoch = 0
        self._epoch_version = ABSENT
        self._valid_until = timedelta()
        self._renew_at = timedelta()
        self._record: LeaseRecord | None = None
        self._version = ABSENT
        self._seen_at: timedelta | None = None
        self._takeover: Takeover | None = None
        self._resigned = 0
        self._observed: tuple[int, int, timedelta] | None = None

    @property
    def record(self) -> LeaseRecord | None:
        """The lease row as last read, for showing who holds it."""
        return self._record

    @property
    def takeover(self) -> Takeover | None:
        """How this node acquired the lease the last time, ``None`` if it never did."""
        return self._takeover

    def left(self) -> timedelta:
        """Return for how long this node holds the lease if it renews no more."""
        with self._lock:
            if self._epoch == 0:
                return timedelta()
            return max(timedelta(), self._valid_until - self._clock.elapsed())

    def held(self) -> Epoch | None:
        """Return the epoch if the lease is held by this node right now."""
        with self._lock:
            if self._epoch == 0 or self._clock.elapsed() >= self._valid_until:
                return None
            guard = Check(self._epoch_key, self._epoch_version)
            return Epoch(self._epoch, guard)

    def observe(self, epoch: int, renewal: int) -> None:
        """Take in from the holder itself that it has renewed the lease.

        A challenger that heard so need not watch the table: it times the holder
        from the newest renewal that it heard of.
        """
        known = self._observed
        if known is None or known[:2] < (epoch, renewal):
            self._observed = (epoch, renewal, self._clock.elapsed())

    def observe_resigned(self, epoch: int) -> None:
        """Take in from the holder of ``epoch`` itself that it acts no longer."""
        self._resigned = max(self._resigned, epoch)

    def step(self, eager: bool = True) -> LeaseChange:
        """Renew, acquire or watch, whichever is due."""
        held = self._epoch != 0
        change = LeaseChange.NONE
        if not self._is_restored():
            change = self._step(eager)
        if not self._is_restored():
            return change
        self._start_anew()
        change = self._step(eager)
        lost = held and change is not LeaseChange.ACQUIRED
        return LeaseChange.LOST if lost else change

    def _is_restored(self) -> bool:
        """Tell whether the table came back from an older copy since it was read."""
        if self._era is None:
            self._era = self._table.era
        return self._table.era != self._era

    def _start_anew(self) -> None:
        """Forget what was read of the table's earlier era."""
        self._held_before = self.held() is not None
        self._doubts_row = True
        self._era = self._table.era
        self._version = ABSENT
        self._drop()

    def _step(self, eager: bool) -> LeaseChange:
        if self._epoch and self.held() is None:
            self._drop()
            return LeaseChange.LOST
        if self._epoch:
            return self._renew()
        return self._challenge(eager)

    def abandon(self) -> None:
        """Hold the lease no longer, without a word to the table."""
        self._drop()

    def release(self) -> None:
        """Give the lease up at once, so that another node need not wait."""
        if self.held() is not None and self._record is not None:
            freed = LeaseRecord("", self._epoch, self._record.renewal + 1)
            self._write(freed)
        self._drop()

    def _renew(self) -> LeaseChange:
        started = self._clock.elapsed()
        if started < self._renew_at or self._record is None:
            return LeaseChange.NONE
        renewed = LeaseRecord(
            self._holder, self._epoch, self._record.renewal + 1, self._address
        )
        outcome = self._write(renewed)
        if isinstance(outcome, Committed):
            self._extend(started)
            return LeaseChange.NONE
        if isinstance(outcome, Unavailable | Unknown):
            return LeaseChange.STORE_DOWN
        return self._recognise()

    def _recognise(self) -> LeaseChange:
        """Keep the lease if the newer row is an own renewal whose answer was lost."""
        found = self._table.get(self._lease_key)
        if isinstance(found, Unavailable):
            return LeaseChange.STORE_DOWN
        if isinstance(found, Row):
            record = msgspec.json.decode(found.body, type=LeaseRecord)
            if record.holder == self._holder and record.epoch == self._epoch:
                self._version = found.version
                self._record = record
                return LeaseChange.NONE
        self._drop()
        return LeaseChange.LOST

    def _challenge(self, eager: bool) -> LeaseChange:
        found = self._table.get(self._lease_key)
        now = self._clock.elapsed()
        if isinstance(found, Unavailable):
            return LeaseChange.STORE_DOWN
        version = found.version if isinstance(found, Row) else ABSENT
        if self._seen_at is None:
            self._seen_at = now
            self._version = version
        elif version != self._version:
            self._seen_at = now
            self._version = version
            self._held_before = self._doubts_row = False
        self._record = None
        if isinstance(found, Row):
            self._record = msgspec.json.decode(found.body, type=LeaseRecord)
            if not self._doubts_row:
                self._seen_at = self._first_seen(self._record, self._seen_at)
        vacancy = self._vacancy()
        if now - self._seen_at < self._patience(vacancy, eager):
            return LeaseChange.NONE
        return self._acquire(vacancy, now)

    def _first_seen(self, record: LeaseRecord, seen_at: timedelta) -> timedelta:
        """Return when this renewal was first heard of, from whichever source."""
        observed = self._observed
        if observed is None or observed[:2] != (record.epoch, record.renewal):
            return seen_at
        return min(seen_at, observed[2])

    def _vacancy(self) -> Vacancy:
        """Return why the lease is free, or will be if nobody renews it."""
        record = self._record
        if self._held_before:
            return Vacancy.KEPT
        if self._doubts_row:
            return Vacancy.RESTORED
        if record is None:
            return Vacancy.NEVER_HELD
        if record.holder == self._holder:
            return Vacancy.OWN
        if record.epoch <= self._resigned:
            return Vacancy.RESIGNED
        return Vacancy.LAPSED if record.holder else Vacancy.GIVEN_UP

    def _patience(self, vacancy: Vacancy, eager: bool) -> timedelta:
        """Return how long the row must have stood unchanged."""
        match vacancy:
            case Vacancy.KEPT | Vacancy.OWN | Vacancy.RESIGNED:
                return timedelta()
            case Vacancy.NEVER_HELD | Vacancy.GIVEN_UP:
                return timedelta() if eager else self._ttl
        return self._ttl * CHALLENGE_FACTOR

    def _free_from(self, vacancy: Vacancy, now: timedelta) -> timedelta:
        """Return when the holder of the row as last read had surely stopped."""
        seen_at = now if self._seen_at is None else self._seen_at
        match vacancy:
            case Vacancy.NEVER_HELD | Vacancy.GIVEN_UP:
                return seen_at
            case Vacancy.RESIGNED:
                return now
        return min(now, seen_at + self._ttl)

    def _acquire(self, vacancy: Vacancy, started: timedelta) -> LeaseChange:
        epoch_row = self._table.get(self._epoch_key)
        if isinstance(epoch_row, Unavailable):
            return LeaseChange.STORE_DOWN
        last = ABSENT if isinstance(epoch_row, Missing) else epoch_row.version
        found = self._record
        renewal = 0 if found is None else found.renewal + 1
        epoch = fence_of(self._era or 0, number_of(StoreVersion(last)) + 1)
        taken = LeaseRecord(self._holder, epoch, renewal, self._address)
        mark = Put(self._epoch_key, self._holder.encode(), last)
        committed = isinstance(self._write(taken, mark), Committed)
        if not committed or self._is_restored():
            self._seen_at = None
            return LeaseChange.NONE
        with self._lock:
            self._epoch = epoch
            self._epoch_version = last + 1
        self._held_before = self._doubts_row = False
        self._takeover = Takeover(
            vacancy,
            None if found is None else found.holder,
            0 if found is None else found.epoch,
            self._free_from(vacancy, started),
            self._era,
        )
        self._extend(started)
        return LeaseChange.ACQUIRED

    def _write(self, record: LeaseRecord, *more: Put) -> object:
        body = msgspec.json.encode(record)
        writes = [Put(self._lease_key, body, self._version), *more]
        outcome = commit(self._table, writes)
        if isinstance(outcome, Committed):
            self._version += 1
            self._record = record
        return outcome

    def _extend(self, started: timedelta) -> None:
        with self._lock:
            self._valid_until = started + self._ttl
            self._renew_at = started + self._ttl / RENEW_SHARE

    def _drop(self) -> None:
        with self._lock:
            self._epoch = 0
        self._seen_at = None
