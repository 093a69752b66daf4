"""Leases with epochs, stored in two rows of the table.

The lease row changes with each renewal.  A challenger measures by its own clock how
long the row has been unchanged.  The epoch row changes only when the holder changes,
so a holder's writes can include a cheap condition on it (:attr:`Epoch.guard`).

A table restored from an older copy names a previous holder and repeats epoch numbers.
Every holder then loses the lease, and fences continue in a new era.  A row whose fence
is from an era before that of the table does not identify the last holder.  No node
acquires such a lease before the time to live of any holder has passed, except a node
whose own lease is still valid.
"""

import threading
from datetime import timedelta

import msgspec

from runhatch_coordination._clock import Clock
from runhatch_coordination._commit import commit
from runhatch_coordination._history import (
    StoreVersion,
    era_of_fence,
    fence_of,
    number_of,
)
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
RENEWALS_PER_TTL = 3
"""Renewals within one time to live: a holder renews after this fraction (1/N) of it."""
CHALLENGE_FACTOR = 1.2
"""Multiple of the time to live that a challenger waits; it exceeds 1 by more than the
drift between the clocks of two VMs, which is far below a tenth."""
MILLISECOND = timedelta(milliseconds=1)
MAX_ATTEMPTS_PER_STEP = 3
"""Maximum number of attempts in one step when answers reveal a new era."""


class Lease:
    """One lease as seen by one node; a single thread calls :meth:`step`.

    :meth:`held_epoch` may be called from any thread.  Nodes that pass ``eager``
    challenge a free lease at once, others after one time to live, so that the preferred
    node acquires it without contention.

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
        """Era of the table in which the row was read, ``None`` if unknown."""
        self._previous_valid_until = timedelta()
        """Expiry of this node's lease from the previous era; other nodes await it."""
        self._epoch = 0
        self._epoch_version = ABSENT
        self._newest_epoch = 0
        """Newest epoch reported by any holder."""
        self._valid_until = timedelta()
        self._renew_at = timedelta()
        self._record: LeaseRecord | None = None
        self._version = ABSENT
        self._unchanged_since: timedelta | None = None
        self._takeover: Takeover | None = None
        self._last_renewal = -1
        """Number of the last attempt to write the row; makes each body unique."""
        self._last_held_epoch = 0
        """Epoch in which this process last held the lease, 0 if it never did."""
        self._resigned_epoch = 0
        self._last_observed: tuple[int, int, timedelta] | None = None

    @property
    def record(self) -> LeaseRecord | None:
        """The lease row as last read or written; ``None`` if there was no row."""
        return self._record

    @property
    def takeover(self) -> Takeover | None:
        """How this process last acquired the lease, ``None`` if it never did."""
        return self._takeover

    @property
    def _free_since(self) -> timedelta | None:
        return None if self._takeover is None else self._takeover.free_since

    def remaining_validity(self) -> timedelta:
        """Return the time until this node's lease expires unless it is renewed."""
        with self._lock:
            return self._remaining()

    def held_epoch(self) -> Epoch | None:
        """Return the current epoch if this node holds the lease, otherwise ``None``."""
        with self._lock:
            if self._remaining() == timedelta():
                return None
            guard = Check(self._epoch_key, self._epoch_version)
            return Epoch(self._epoch, guard)

    def _remaining(self) -> timedelta:
        if self._epoch < max(1, self._newest_epoch):
            return timedelta()
        return max(timedelta(), self._valid_until - self._clock.elapsed())

    def observe_renewal(self, epoch: int, renewal: int) -> None:
        """Record a renewal of the lease that its holder reported.

        A challenger that receives such reports need not poll the table: it measures
        the lease's age from the newest reported renewal.  If the epoch
        is newer than that of this node's lease, this node no longer holds the lease.
        """
        with self._lock:
            self._newest_epoch = max(self._newest_epoch, epoch)
        last_observed = self._last_observed
        if last_observed is None or last_observed[:2] < (epoch, renewal):
            self._last_observed = (epoch, renewal, self._clock.elapsed())

    def observe_resignation(self, epoch: int) -> None:
        """Record the report of the holder of ``epoch`` that it no longer acts."""
        self._resigned_epoch = max(self._resigned_epoch, epoch)

    def step(self, eager: bool = True) -> LeaseChange:
        """Renew or acquire the lease if that is due, and return what changed."""
        was_held = self._epoch != 0
        change = LeaseChange.NONE
        for _ in range(MAX_ATTEMPTS_PER_STEP):
            if self._has_era_changed():
                self._reset_for_new_era()
            change = self._step(eager)
            if not self._has_era_changed():
                break
        is_lost = was_held and self._epoch == 0
        return LeaseChange.LOST if is_lost else change

    def _has_era_changed(self) -> bool:
        """Return whether the table's era differs from that of the rows read."""
        return self._table.era != self._era

    def _reset_for_new_era(self) -> None:
        """Discard what was read in the table's previous era."""
        valid_until = self._previous_valid_until
        if self.held_epoch() is not None:
            valid_until = self._valid_until
        self._clear_hold()
        self._previous_valid_until = valid_until
        self._record = None
        self._era = self._table.era
        self._version = ABSENT

    def _step(self, eager: bool) -> LeaseChange:
        if self._epoch and self.held_epoch() is None:
            self._clear_hold()
            return LeaseChange.LOST
        if self._epoch:
            return self._renew()
        return self._challenge(eager)

    def abandon(self) -> None:
        """Stop holding the lease without writing to the table."""
        self._clear_hold()

    def release(self) -> None:
        """Release the lease in the table, so that another node can acquire it."""
        if self.held_epoch() is not None and self._record is not None:
            released = LeaseRecord("", self._epoch, self._next_renewal())
            self._write_record(released)
        self._clear_hold()

    def _renew(self) -> LeaseChange:
        started = self._clock.elapsed()
        if started < self._renew_at or self._record is None:
            return LeaseChange.NONE
        renewed = self._make_record(self._epoch, self._free_since)
        outcome = self._write_record(renewed)
        if isinstance(outcome, Committed):
            self._extend_validity(started)
            return LeaseChange.NONE
        if isinstance(outcome, Unavailable | Unknown):
            return LeaseChange.STORE_DOWN
        return self._resolve_conflict()

    def _next_renewal(self) -> int:
        if self._record is not None:
            self._last_renewal = max(self._last_renewal, self._record.renewal)
        self._last_renewal += 1
        return self._last_renewal

    def _make_record(self, epoch: int, free_since: timedelta | None) -> LeaseRecord:
        free_ms = None
        if free_since is not None:
            free_ms = (self._clock.elapsed() - free_since) // MILLISECOND
        return LeaseRecord(
            self._holder, epoch, self._next_renewal(), self._address, free_ms
        )

    def _resolve_conflict(self) -> LeaseChange:
        """Keep the lease if the row is this node's own renewal with a lost answer."""
        found = self._table.get(self._lease_key)
        if isinstance(found, Unavailable):
            return LeaseChange.STORE_DOWN
        if isinstance(found, Row):
            record = msgspec.json.decode(found.body, type=LeaseRecord)
            if record.holder == self._holder and record.epoch == self._epoch:
                self._version = found.version
                self._record = record
                return LeaseChange.NONE
        self._clear_hold()
        return LeaseChange.LOST

    def _challenge(self, eager: bool) -> LeaseChange:
        found = self._table.get(self._lease_key)
        now = self._clock.elapsed()
        if isinstance(found, Unavailable):
            return LeaseChange.STORE_DOWN
        if self._era is None or self._has_era_changed():
            # The answer revealed the era only now; the next attempt uses it.
            return LeaseChange.NONE
        version = found.version if isinstance(found, Row) else ABSENT
        if self._unchanged_since is None or version != self._version:
            self._unchanged_since = now
            self._version = version
        self._record = None
        if isinstance(found, Row):
            self._record = msgspec.json.decode(found.body, type=LeaseRecord)
            if not self._may_predate_restore(self._record):
                self._unchanged_since = self._find_first_observation(
                    self._record, self._unchanged_since
                )
        vacancy = self._determine_vacancy(now)
        if now - self._unchanged_since < self._required_wait(vacancy, eager):
            return LeaseChange.NONE
        return self._acquire(vacancy, now)

    def _find_first_observation(
        self, record: LeaseRecord, seen_at: timedelta
    ) -> timedelta:
        """Return when this renewal was first observed, in the table or in a report."""
        observed = self._last_observed
        if observed is None or observed[:2] != (record.epoch, record.renewal):
            return seen_at
        return min(seen_at, observed[2])

    def _may_predate_restore(self, record: LeaseRecord | None) -> bool:
        """Return whether a restore may have lost writes made after ``record``."""
        record_era = 0 if record is None else era_of_fence(record.epoch)
        return self._era is not None and record_era < self._era

    def _determine_vacancy(self, now: timedelta) -> Vacancy:
        """Return why the lease is free, or will be unless it is renewed."""
        record = self._record
        if self._may_predate_restore(record):
            was_held_here = now < self._previous_valid_until
            return Vacancy.OWN_PROCESS if was_held_here else Vacancy.RESTORED
        if record is None:
            return Vacancy.NEVER_HELD
        if record.holder == self._holder:
            was_held_here = record.epoch == self._last_held_epoch
            return (
                Vacancy.OWN_PROCESS if was_held_here else Vacancy.OWN_PREVIOUS_PROCESS
            )
        if record.epoch <= self._resigned_epoch:
            return Vacancy.RESIGNED
        return Vacancy.LAPSED if record.holder else Vacancy.RELEASED

    def _required_wait(self, vacancy: Vacancy, eager: bool) -> timedelta:
        """Return how long the row must be unchanged before this node acquires."""
        match vacancy:
            case Vacancy.OWN_PROCESS | Vacancy.OWN_PREVIOUS_PROCESS | Vacancy.RESIGNED:
                return timedelta()
            case Vacancy.NEVER_HELD | Vacancy.RELEASED:
                return timedelta() if eager else self._ttl
        return self._ttl * CHALLENGE_FACTOR

    def _compute_free_since(self, vacancy: Vacancy, now: timedelta) -> timedelta | None:
        """Return when the lease had certainly expired on every other node."""
        unchanged_since = (
            now if self._unchanged_since is None else self._unchanged_since
        )
        match vacancy:
            case Vacancy.NEVER_HELD:
                return None
            case Vacancy.OWN_PROCESS:
                return self._free_since
            case Vacancy.OWN_PREVIOUS_PROCESS:
                free_ms = None if self._record is None else self._record.free_ms
                return None if free_ms is None else now - MILLISECOND * free_ms
            case Vacancy.RELEASED:
                return unchanged_since
            case Vacancy.RESIGNED:
                return now
        return min(now, unchanged_since + self._ttl)

    def _acquire(self, vacancy: Vacancy, started: timedelta) -> LeaseChange:
        epoch_row = self._table.get(self._epoch_key)
        if isinstance(epoch_row, Unavailable):
            return LeaseChange.STORE_DOWN
        epoch_version = ABSENT if isinstance(epoch_row, Missing) else epoch_row.version
        found = self._record
        if self._era is None or self._has_era_changed():
            return LeaseChange.NONE
        epoch = fence_of(self._era, number_of(StoreVersion(epoch_version)) + 1)
        if epoch <= self._newest_epoch:
            self._unchanged_since = None
            return LeaseChange.TABLE_BEHIND
        free_since = self._compute_free_since(vacancy, started)
        acquired = self._make_record(epoch, free_since)
        epoch_put = Put(self._epoch_key, self._holder.encode(), epoch_version)
        committed = isinstance(self._write_record(acquired, epoch_put), Committed)
        if not committed or self._has_era_changed():
            self._unchanged_since = None
            return LeaseChange.NONE
        with self._lock:
            self._epoch = epoch
            self._epoch_version = epoch_version + 1
        self._takeover = Takeover(
            vacancy,
            None if found is None else found.holder,
            0 if found is None else found.epoch,
            free_since,
            self._era,
        )
        self._last_held_epoch = epoch
        self._extend_validity(started)
        return LeaseChange.ACQUIRED

    def _write_record(self, record: LeaseRecord, *other_puts: Put) -> object:
        body = msgspec.json.encode(record)
        writes = [Put(self._lease_key, body, self._version), *other_puts]
        outcome = commit(self._table, writes)
        if isinstance(outcome, Committed):
            self._version += 1
            self._record = record
        return outcome

    def _extend_validity(self, started: timedelta) -> None:
        with self._lock:
            self._valid_until = started + self._ttl
            self._renew_at = started + self._ttl / RENEWALS_PER_TTL

    def _clear_hold(self) -> None:
        self._previous_valid_until = timedelta()
        with self._lock:
            self._epoch = 0
        self._unchanged_since = None
