"""Records in the store which software versions serve, before they begin streams."""

import threading
from dataclasses import dataclass, field
from datetime import timedelta

from runhatch_coordination import (
    ABSENT,
    Clock,
    Committed,
    Key,
    Membership,
    Missing,
    Put,
    Row,
    Table,
    Unavailable,
    rank_names,
)
from runhatch_server.decisions import (
    VersionRecord,
    missing_record,
    plan_version_record,
)
from runhatch_server.gateway._stored_versions import (
    StoredVersions,
    decode_version_record,
    encode_version_record,
)
from runhatch_server.gateway._stream_versions import StreamVersions
from runhatch_server.observability import log_change

VERSIONS_TABLE = "stream_versions"
CHECK_INTERVAL = timedelta(milliseconds=500)
"""Interval between checks for versions that have appeared or gone."""
RANK_DELAY = timedelta(seconds=1)
"""Delay by which each further node waits for those before it to write."""
MAX_RANK = 4
"""Rank from which on nodes wait no longer, so that any node writes within seconds."""
RETRY_DELAY = timedelta(seconds=2)
"""Time after a failed call in which no stream waits for a record."""
MAX_ATTEMPTS = 3
"""Attempts to write a record that other nodes change at the same time."""
MIN_READ_INTERVAL = timedelta(milliseconds=100)
"""Shortest interval between reads for streams.  Those that callers resume meanwhile
share one read, so that a node makes at most ten a second and service."""
RANK_SUBJECT = "stream versions"


@dataclass(slots=True, eq=False)
class RecordRead:
    """A read of the record of one service that begins after its request.

    ``is_current`` tells, once it is ``finished``, whether this node has seen all
    versions that the store states.
    """

    finished: threading.Event = field(default_factory=threading.Event)
    is_current: bool = False


class VersionRecorder:
    """Reads and writes the records of this node's services; thread-safe.

    Calls to the store are made when a version appears or has gone, by one node, by each
    node that begins a stream of the version before it knows the record, and by each
    that resumes streams without a record of their own.
    """

    def __init__(
        self,
        table: Table,
        stored: StoredVersions,
        observed: StreamVersions,
        membership: Membership,
        clock: Clock,
    ) -> None:
        self._table = table
        self._stored = stored
        self._observed = observed
        self._membership = membership
        self._clock = clock
        self._lock = threading.Lock()
        self._waiting: dict[tuple[str, str], threading.Event] = {}
        """Events by service and version whose record streams wait for."""
        self._reads: dict[str, RecordRead] = {}
        """Reads that are to begin, by service."""
        self._next_read_at = timedelta()
        """When the next reads may begin."""
        self._read_retry_at = timedelta()
        self._pending_since: dict[str, timedelta] = {}
        """Since when the record of a service needs a change."""
        self._retry_at = timedelta()
        self.services: frozenset[str] = frozenset()
        """Services whose streams may be resumed."""
        self.update_wanted = threading.Event()
        """Set when a stream waits for a record."""
        self.read_wanted = threading.Event()
        """Set when a stream waits for a read."""

    @property
    def read_pause(self) -> timedelta:
        """How long to pause before the next reads."""
        with self._lock:
            if not self._reads:
                return CHECK_INTERVAL
        return max(timedelta(), self._next_read_at - self._clock.elapsed())

    def request(self, service: str, version: str) -> threading.Event | None:
        """Request a record of ``version``, which begins a stream of ``service``.

        Return an event that is set once it is recorded or can't be, ``None`` if there
        is nothing to wait for.
        """
        if service not in self.services or self._stored.is_recorded(service, version):
            return None
        if self._clock.elapsed() < self._retry_at:
            return None
        with self._lock:
            recorded = self._waiting.setdefault((service, version), threading.Event())
        self.update_wanted.set()
        # It may have been recorded before the event was added.
        self.release_recorded()
        return recorded

    def request_read(self, service: str) -> RecordRead | None:
        """Request that the record of ``service`` is read from the store now.

        Its copy at this node may lack a version that has appeared.  Return ``None`` if
        the record is not kept, or for a while after a read that failed.
        """
        if service not in self.services or self._clock.elapsed() < self._read_retry_at:
            return None
        with self._lock:
            read = self._reads.get(service)
            if read is not None:
                return read
            read = self._reads[service] = RecordRead()
        self.read_wanted.set()
        return read

    def release_recorded(self) -> None:
        """Let the streams go on whose versions have been recorded."""
        with self._lock:
            for key in [*self._waiting]:
                if self._stored.is_recorded(*key):
                    self._waiting.pop(key).set()

    def update(self) -> None:
        """Write the records that are due."""
        era = self._stored.find_era()
        if era is None or self._clock.elapsed() < self._retry_at:
            self._release_all()
            return
        for service in sorted(self.services):
            if not self._is_due(service, era):
                continue
            failure = self._write(service, era)
            if failure:
                log_change("version_record_failed", service=service, why=failure)
                self._retry_at = self._clock.elapsed() + RETRY_DELAY
                self._release_all()
                return

    def read_requested(self) -> None:
        """Read the records that streams wait for."""
        now = self._clock.elapsed()
        if now < self._next_read_at:
            return
        with self._lock:
            services = [*self._reads]
        if services:
            self._next_read_at = now + MIN_READ_INTERVAL
        for service in services:
            with self._lock:
                read = self._reads.pop(service)
            failure = self._read(service, read)
            read.finished.set()
            if failure:
                log_change("version_record_unread", service=service, why=failure)
                self._read_retry_at = self._clock.elapsed() + RETRY_DELAY
                self._cancel_reads()
                return

    def _read(self, service: str, read: RecordRead) -> str:
        """Read the record of ``service``; return why that failed, empty if it didn't.

        Its versions are recorded as seen.  The copy of the record stays, as the feed of
        the table may have brought a later one meanwhile.
        """
        row = self._table.get(Key(VERSIONS_TABLE, service))
        if isinstance(row, Unavailable):
            return row.reason
        # The era that the answer stated; the feed may not have noticed a restoration.
        era = self._table.era
        if era is None:
            return "the era of the store is not known"
        record = _decode(service, row, era)
        copy = self._stored.get(service)
        for version in record.versions - (copy.versions if copy else frozenset()):
            self._observed.record_seen(service, version, timedelta())
        read.is_current = record.is_complete_in(era)
        return ""

    def _is_due(self, service: str, era: int) -> bool:
        known = self._stored.get(service) or missing_record(era)
        if self._plan(service, known, era) == known:
            self._pending_since.pop(service, None)
            return False
        now = self._clock.elapsed()
        since = self._pending_since.setdefault(service, now)
        if self._awaited_versions(service):
            return True
        return now - since >= RANK_DELAY * min(self._find_rank(), MAX_RANK)

    def _plan(self, service: str, known: VersionRecord, era: int) -> VersionRecord:
        """Return the record that should be in the store in place of ``known``."""
        known_before = self._stored.known_before_restoration(service)
        needed = self._observed.seen_versions(service) | self._awaited_versions(service)
        needed |= known_before or frozenset()
        if not needed:
            return known
        has_observed = self._observed.has_observed_all()
        copy = self._stored.get(service)
        removable: frozenset[str] = frozenset()
        if has_observed and copy is not None:
            # ``known`` may have versions that others have just added.
            removable = copy.versions - needed
        knows_all = has_observed or known_before is not None
        return plan_version_record(known, needed, removable, era, knows_all)

    def _write(self, service: str, era: int) -> str:
        """Bring the record in the store up to date.

        Return why that failed, empty if it didn't.
        """
        key = Key(VERSIONS_TABLE, service)
        for _ in range(MAX_ATTEMPTS):
            row = self._table.get(key)
            if isinstance(row, Unavailable):
                return row.reason
            known = _decode(service, row, era)
            desired = self._plan(service, known, era)
            if desired == known:
                self._stored.put(service, desired)
                return ""
            expected = ABSENT if isinstance(row, Missing) else row.version
            put = Put(key, encode_version_record(desired), expected)
            outcome = self._table.transact([put])
            if isinstance(outcome, Unavailable):
                return outcome.reason
            if isinstance(outcome, Committed):
                _log_recorded(service, desired)
                self._stored.put(service, desired)
                return ""
        return "other nodes changed it"

    def _awaited_versions(self, service: str) -> frozenset[str]:
        """Return the versions of ``service`` whose record streams wait for."""
        with self._lock:
            return frozenset(key[1] for key in self._waiting if key[0] == service)

    def _find_rank(self) -> int:
        own = self._membership.own.name
        names = {own, *(vm.name for vm in self._membership.alive())}
        return rank_names(RANK_SUBJECT, names).index(own)

    def _cancel_reads(self) -> None:
        """Let all streams go on that wait for a read."""
        with self._lock:
            reads = [*self._reads.values()]
            self._reads.clear()
        for read in reads:
            read.finished.set()

    def _release_all(self) -> None:
        """Let all streams go on that wait for a record."""
        with self._lock:
            released = dict(self._waiting)
            self._waiting.clear()
        for (service, version), event in released.items():
            log_change("version_unrecorded", service=service, software_version=version)
            event.set()


def _decode(service: str, row: Row | Missing, era: int) -> VersionRecord:
    """Return the record in ``row``; one that can't be read may lack any version."""
    if isinstance(row, Missing):
        return missing_record(era)
    try:
        return decode_version_record(service, row.body)
    except ValueError as error:
        log_change("row_unreadable", table=VERSIONS_TABLE, key=service, why=str(error))
        return VersionRecord(frozenset(), era, is_complete=False)


def _log_recorded(service: str, record: VersionRecord) -> None:
    log_change(
        "version_recorded",
        service=service,
        software_versions=sorted(record.versions),
        is_complete=record.is_complete,
    )
