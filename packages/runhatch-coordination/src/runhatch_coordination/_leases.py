"""Leases with epochs, kept in two rows of the table.

The lease row changes with each renewal; a challenger times it by its own clock
from when it saw the row change.  The epoch row changes only when the holder does,
so a holder's writes carry a cheap condition on it (:attr:`Epoch.guard`).

When the table comes back from an older copy, its rows name an earlier holder, and
epochs are counted again.  Then every holder loses the lease, and fences go on in a new
era.  A row whose fence is of an earlier era than the table says nothing of who held
the lease last: nobody acquires it before the time to live of any holder is over, but
for one whose own right still lasts.
"""

import threading
from datetime import timedelta

import msgspec

from runhatch_coordination._clock import Clock
from runhatch_coordination._commit import commit
from runhatch_coordination._history import era_of_fence, fence_of
from runhatch_coordination._lease_records import (
    Epoch,
    LeaseChange,
    LeaseRecord,
    Takeover,
    Vacancy,
)
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
MILLISECOND = timedelta(milliseconds=1)
ERAS_A_STEP = 3
"""Times that one step starts anew because an answer tells another era."""


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
        """Era of the table that the row was read in, ``None`` if it was not known."""
        self._kept_until = timedelta()
        """Until when this node's right of an earlier era lasts; others wait for it."""
        self._epoch = 0
        self._epoch_version = ABSENT
        self._newest = 0
        """The newest epoch that was heard of."""
        self._valid_until = timedelta()
        self._renew_at = timedelta()
        self._record: LeaseRecord | None = None
        self._version = ABSENT
        self._seen_at: timedelta | None = None
        self._takeover: Takeover | None = None
        self._last_epoch = 0
        """The last epoch by which this process held the lease."""
        self._resigned = 0
        self._observed: tuple[int, int, timedelta] | None = None

    @property
    def record(self) -> LeaseRecord | None:
        """The lease row as last read, for showing who holds it."""
        return self._record

    @property
    def _free_since(self) -> timedelta | None:
        return None if self._takeover is None else self._takeover.free_since

    @property
    def takeover(self) -> Takeover | None:
        """How this node acquired the lease the last time, ``None`` if it never did."""
        return self._takeover

    def left(self) -> timedelta:
        """Return for how long this node holds the lease if it renews no more."""
        with self._lock:
            return self._left()

    def held(self) -> Epoch | None:
        """Return the epoch if the lease is held by this node right now."""
        with self._lock:
            if self._left() == timedelta():
                return None
            guard = Check(self._epoch_key, self._epoch_version)
            return Epoch(self._epoch, guard)

    def _left(self) -> timedelta:
        if self._epoch < max(1, self._newest):
            return timedelta()
        return max(timedelta(), self._valid_until - self._clock.elapsed())

    def observe(self, epoch: int, renewal: int) -> None:
        """Take in from the holder itself that it has renewed the lease.

        A challenger that heard so need not watch the table: it times the holder
        from the newest renewal that it heard of.  A holder of an earlier epoch
        holds the lease no longer.
        """
        with self._lock:
            self._newest = max(self._newest, epoch)
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
        for _ in range(ERAS_A_STEP):
            if self._is_restored():
                self._start_anew()
            change = self._step(eager)
            if not self._is_restored():
                break
        lost = held and self._epoch == 0
        return LeaseChange.LOST if lost else change

    def _is_restored(self) -> bool:
        """Tell whether the table is in another era than what was read of it."""
        return self._table.era != self._era

    def _start_anew(self) -> None:
        """Forget what was read of the table's earlier era."""
        kept_until = self._kept_until
        if self.held() is not None:
            kept_until = self._valid_until
        self._drop()
        self._kept_until = kept_until
        self._era = self._table.era
        self._version = ABSENT

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
        renewal = self._record.renewal + 1
        renewed = self._own_record(self._epoch, renewal, self._free_since)
        outcome = self._write(renewed)
        if isinstance(outcome, Committed):
            self._extend(started)
            return LeaseChange.NONE
        if isinstance(outcome, Unavailable | Unknown):
            return LeaseChange.STORE_DOWN
        return self._recognise()

    def _own_record(
        self, epoch: int, renewal: int, free_since: timedelta | None
    ) -> LeaseRecord:
        free_ms = None
        if free_since is not None:
            free_ms = (self._clock.elapsed() - free_since) // MILLISECOND
        return LeaseRecord(self._holder, epoch, renewal, self._address, free_ms)

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
        if self._era is None or self._is_restored():
            # The answer has told the era only now.
            return LeaseChange.NONE
        version = found.version if isinstance(found, Row) else ABSENT
        if self._seen_at is None or version != self._version:
            self._seen_at = now
            self._version = version
        self._record = None
        if isinstance(found, Row):
            self._record = msgspec.json.decode(found.body, type=LeaseRecord)
            if not self._may_be_of_copy(self._record):
                self._seen_at = self._first_seen(self._record, self._seen_at)
        vacancy = self._vacancy(now)
        if now - self._seen_at < self._patience(vacancy, eager):
            return LeaseChange.NONE
        return self._acquire(vacancy, now)

    def _first_seen(self, record: LeaseRecord, seen_at: timedelta) -> timedelta:
        """Return when this renewal was first heard of, from whichever source."""
        observed = self._observed
        if observed is None or observed[:2] != (record.epoch, record.renewal):
            return seen_at
        return min(seen_at, observed[2])

    def _may_be_of_copy(self, record: LeaseRecord | None) -> bool:
        """Tell whether what another wrote after ``record`` may have been lost."""
        written_in = 0 if record is None else era_of_fence(record.epoch)
        return self._era is not None and written_in < self._era

    def _vacancy(self, now: timedelta) -> Vacancy:
        """Return why the lease is free, or will be if nobody renews it."""
        record = self._record
        if self._may_be_of_copy(record):
            is_kept = now < self._kept_until
            return Vacancy.KEPT if is_kept else Vacancy.RESTORED
        if record is None:
            return Vacancy.NEVER_HELD
        if record.holder == self._holder:
            is_kept = record.epoch == self._last_epoch
            return Vacancy.KEPT if is_kept else Vacancy.OWN
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

    def _free_from(self, vacancy: Vacancy, now: timedelta) -> timedelta | None:
        """Return when the right of any other node had surely ended."""
        seen_at = now if self._seen_at is None else self._seen_at
        match vacancy:
            case Vacancy.NEVER_HELD:
                return None
            case Vacancy.KEPT:
                return self._free_since
            case Vacancy.OWN:
                free_ms = None if self._record is None else self._record.free_ms
                return None if free_ms is None else now - MILLISECOND * free_ms
            case Vacancy.GIVEN_UP:
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
        if self._era is None or self._is_restored():
            return LeaseChange.NONE
        epoch = fence_of(self._era, last + 1)
        if epoch <= self._newest:
            self._seen_at = None
            return LeaseChange.BEHIND
        free_since = self._free_from(vacancy, started)
        taken = self._own_record(epoch, renewal, free_since)
        mark = Put(self._epoch_key, self._holder.encode(), last)
        committed = isinstance(self._write(taken, mark), Committed)
        if not committed or self._is_restored():
            self._seen_at = None
            return LeaseChange.NONE
        with self._lock:
            self._epoch = epoch
            self._epoch_version = last + 1
        self._takeover = Takeover(
            vacancy,
            None if found is None else found.holder,
            0 if found is None else found.epoch,
            free_since,
            self._era,
        )
        self._last_epoch = epoch
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
        self._kept_until = timedelta()
        with self._lock:
            self._epoch = 0
        self._seen_at = None
