"""Records in the store which software versions serve, before they begin streams."""

import threading
from datetime import timedelta

from runhatch_coordination import (
    ABSENT,
    Clock,
    Committed,
    Key,
    Membership,
    Missing,
    Put,
    Table,
    Unavailable,
    rank_names,
)
from runhatch_server.decisions import VersionRecord, plan_version_record
from runhatch_server.gateway._stream_versions import StreamVersions
from runhatch_server.gateway._version_history import (
    VersionHistory,
    decode_version_record,
    encode_version_record,
)
from runhatch_server.observability import log_change

VERSIONS_TABLE = "stream_versions"
CHECK_INTERVAL = timedelta(milliseconds=500)
"""Longest time until a new version is recorded that has begun no stream yet."""
RANK_DELAY = timedelta(seconds=1)
"""Delay of each further node that writes if those before it have not."""
MAX_RANK = 4
RETRY_DELAY = timedelta(seconds=2)
"""Time after a failed call in which no stream waits for a record."""
MAX_ATTEMPTS = 3
"""Attempts to write a record that others change at the same time."""
RANK_SUBJECT = "stream versions"


class VersionRecorder:
    """Writes the records of this node's services; thread-safe.

    Calls to the store are made when a version appears or has gone, by one node, and by
    each node that begins a stream of the version before it knows the record.
    """

    def __init__(
        self,
        table: Table,
        history: VersionHistory,
        versions: StreamVersions,
        membership: Membership,
        clock: Clock,
    ) -> None:
        self._table = table
        self._history = history
        self._versions = versions
        self._membership = membership
        self._clock = clock
        self._lock = threading.Lock()
        self._waiting: dict[tuple[str, str], threading.Event] = {}
        """Events by service and version whose record streams wait for."""
        self._pending_since: dict[str, timedelta] = {}
        self._retry_at = timedelta()
        self.services: frozenset[str] = frozenset()
        """Services whose streams may be resumed."""
        self.update_wanted = threading.Event()
        """Set when a stream waits for a record."""
        history.on_change = self._release_recorded

    def request(self, service: str, version: str) -> threading.Event | None:
        """Request a record of ``version``, which begins a stream of ``service``.

        Return an event that is set once it is recorded or can't be, ``None`` if there
        is nothing to wait for.
        """
        if service not in self.services or self._history.is_recorded(service, version):
            return None
        if self._clock.elapsed() < self._retry_at:
            return None
        with self._lock:
            recorded = self._waiting.setdefault((service, version), threading.Event())
        self.update_wanted.set()
        self._release_recorded()
        return recorded

    def update(self) -> None:
        """Write the records that are due."""
        era = self._history.find_era()
        if era is None or self._clock.elapsed() < self._retry_at:
            self._release_all()
            return
        self._versions.observe_targets()
        rank = self._find_rank()
        for service in sorted(self.services):
            if self._is_due(service, era, rank) and not self._write(
                service, era, is_first=rank == 0
            ):
                self._retry_at = self._clock.elapsed() + RETRY_DELAY
                self._release_all()
                return

    def _is_due(self, service: str, era: int, rank: int) -> bool:
        known = self._history.get(service)
        desired = self._plan(service, known, era, is_first=rank == 0)
        if desired is None or desired == known:
            self._pending_since.pop(service, None)
            return False
        now = self._clock.elapsed()
        since = self._pending_since.setdefault(service, now)
        with self._lock:
            is_awaited = any(key[0] == service for key in self._waiting)
        return is_awaited or now - since >= RANK_DELAY * min(rank, MAX_RANK)

    def _plan(
        self, service: str, known: VersionRecord | None, era: int, is_first: bool
    ) -> VersionRecord | None:
        """Return the record that should be in the store, ``None`` if there is none."""
        carried = self._history.carried_versions(service)
        needed = self._versions.seen_versions(service) | (carried or frozenset())
        with self._lock:
            needed |= {key[1] for key in self._waiting if key[0] == service}
        if not needed:
            return None
        has_observed = self._versions.has_observed_all()
        removable: frozenset[str] = frozenset()
        copy = self._history.get(service)
        if is_first and has_observed and copy is not None:
            # Others may have added versions that this node has not seen, or no longer.
            known_here = needed | self._versions.remembered_versions(service)
            removable = copy.versions - known_here
        knows_all = has_observed or carried is not None
        return plan_version_record(known, needed, removable, era, knows_all)

    def _write(self, service: str, era: int, is_first: bool) -> bool:
        """Bring the record in the store up to date; return whether it was possible."""
        key = Key(VERSIONS_TABLE, service)
        for _ in range(MAX_ATTEMPTS):
            row = self._table.get(key)
            if isinstance(row, Unavailable):
                log_change("version_record_failed", service=service, why=row.reason)
                return False
            expected = ABSENT if isinstance(row, Missing) else row.version
            known = None if isinstance(row, Missing) else _decode(service, row.body)
            desired = self._plan(service, known, era, is_first)
            if desired is None:
                return True
            if desired == known:
                self._history.learn(service, desired)
                return True
            put = Put(key, encode_version_record(desired), expected)
            outcome = self._table.transact([put])
            if isinstance(outcome, Committed):
                log_change(
                    "version_recorded",
                    service=service,
                    software_versions=sorted(desired.versions),
                    is_complete=desired.is_complete,
                )
                self._history.learn(service, desired)
                return True
            if isinstance(outcome, Unavailable):
                log_change("version_record_failed", service=service, why=outcome.reason)
                return False
        log_change("version_record_failed", service=service, why="contended")
        return False

    def _find_rank(self) -> int:
        names = [vm.name for vm in self._membership.alive()]
        own = self._membership.own.name
        ranked = rank_names(RANK_SUBJECT, {own, *names})
        return ranked.index(own)

    def _release_recorded(self) -> None:
        with self._lock:
            for key in [*self._waiting]:
                if self._history.is_recorded(*key):
                    self._waiting.pop(key).set()

    def _release_all(self) -> None:
        """Let all streams go on that wait for a record."""
        with self._lock:
            for service, version in self._waiting:
                log_change(
                    "version_unrecorded", service=service, software_version=version
                )
            for event in self._waiting.values():
                event.set()
            self._waiting.clear()


def _decode(service: str, body: bytes) -> VersionRecord:
    """Decode a record; one that can't be read may lack any version."""
    try:
        return decode_version_record(service, body)
    except ValueError:
        return VersionRecord(frozenset(), 0, is_complete=False)
