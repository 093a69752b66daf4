"""Records of the software versions that began streams, bounded in time and number."""

import sys
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum

RECORD_RETENTION = timedelta(minutes=2)
"""Time for which a record is kept after it was made or renewed."""
MAX_RECORDS = 40_000
"""Maximum number of records; beyond it the oldest are dropped."""

StreamKey = tuple[str, str]
"""Service and attempt id of a stream."""


class RecordOutcome(Enum):
    """Effect of adding a record."""

    NEW = "new"
    """Nothing was recorded for the stream."""
    RENEWED = "renewed"
    """The same version had been recorded at least half of the retention earlier."""
    KNOWN = "known"
    """The same version had been recorded more recently."""
    CONFLICTING = "conflicting"
    """Another version had been recorded."""


@dataclass(frozen=True, slots=True)
class StreamRecord:
    """The version that began a stream, ``None`` if two versions claim it.

    ``is_own`` records were made by this node, others received from peers.
    """

    software_version: str | None
    recorded_at: timedelta
    is_own: bool


class StreamRecords:
    """Records by service and attempt id; not thread-safe."""

    def __init__(self, max_count: int = MAX_RECORDS) -> None:
        self._max_count = max_count
        self._records: dict[StreamKey, StreamRecord] = {}
        """Ordered by when they were added, the oldest first."""
        self._counts: Counter[str] = Counter()
        """Number of records by service."""

    def __len__(self) -> int:
        return len(self._records)

    def add(
        self,
        key: StreamKey,
        software_version: str,
        recorded_at: timedelta,
        is_own: bool,
    ) -> RecordOutcome:
        """Record the version that began a stream, or renew its record.

        If two versions claim a stream, neither may go on with it, so its version stays
        unknown.
        """
        known = self._records.get(key)
        outcome = _compare(known, software_version, recorded_at)
        if outcome is RecordOutcome.KNOWN:
            return outcome
        version: str | None = sys.intern(software_version)
        if known is not None:
            self._remove(key)
            is_own |= known.is_own
            recorded_at = max(recorded_at, known.recorded_at)
        if outcome is RecordOutcome.CONFLICTING:
            version = None
        service, attempt_id = sys.intern(key[0]), key[1]
        self._records[service, attempt_id] = StreamRecord(version, recorded_at, is_own)
        self._counts[service] += 1
        if len(self._records) > self._max_count:
            self._remove(next(iter(self._records)))
        return outcome

    def services(self) -> list[str]:
        """Return the services of all records."""
        return list(self._counts)

    def find(self, key: StreamKey, now: timedelta) -> StreamRecord | None:
        """Return the record of a stream unless it has expired."""
        record = self._records.get(key)
        if record is None or now - record.recorded_at >= RECORD_RETENTION:
            return None
        return record

    def live(self, now: timedelta) -> Iterator[tuple[StreamKey, StreamRecord]]:
        """Return the records that have not expired, the newest first."""
        for key, record in reversed(self._records.items()):
            if now - record.recorded_at < RECORD_RETENTION:
                yield key, record

    def remove_expired(self, now: timedelta) -> None:
        """Remove expired records up to the first that is still valid.

        Records behind it are removed when it expires too, which bounds the time spent.
        """
        while self._records:
            key = next(iter(self._records))
            if now - self._records[key].recorded_at < RECORD_RETENTION:
                return
            self._remove(key)

    def _remove(self, key: StreamKey) -> None:
        del self._records[key]
        service = key[0]
        self._counts[service] -= 1
        if not self._counts[service]:
            del self._counts[service]


def _compare(
    known: StreamRecord | None, software_version: str, recorded_at: timedelta
) -> RecordOutcome:
    if known is None or recorded_at - known.recorded_at >= RECORD_RETENTION:
        return RecordOutcome.NEW
    if known.software_version is None:
        return RecordOutcome.KNOWN
    if known.software_version != software_version:
        return RecordOutcome.CONFLICTING
    if recorded_at - known.recorded_at >= RECORD_RETENTION / 2:
        return RecordOutcome.RENEWED
    return RecordOutcome.KNOWN
