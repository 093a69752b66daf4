"""Software versions of the targets that began streams, as this node knows them."""

import threading
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from datetime import timedelta
from typing import Protocol

from runhatch_coordination import Clock
from runhatch_server.decisions import RECORD_RETENTION, find_sole_recent_version
from runhatch_server.fleet import Target

MAX_RESUMPTION_DELAY = timedelta(seconds=10)
"""Longest time from a stream's break to its caller's last attempt to resume it: callers
try a few times, with delays of at most some seconds."""
MAX_OBSERVATION_GAP = timedelta(seconds=5)
"""Longest time between two observations of the targets.  After a longer one this node
was paused, and a version may have come and gone unnoticed."""
MAX_RECORDS = 20_000
"""Maximum number of recorded streams; the oldest records are dropped beyond it."""


class StreamVersionSource(Protocol):
    """Knows which software version began a stream; thread-safe."""

    def record_begun(
        self, attempt_id: str, service: str, software_version: str
    ) -> None:
        """Record that a target began to send events of a stream; may wait for a while.

        ``attempt_id`` is the caller's attempt that got the first event.
        """

    def find_version(self, attempt_id: str, service: str) -> str | None:
        """Return the version that began a stream, ``None`` if it is not known.

        ``attempt_id`` is empty if the caller does not name the attempt.
        """


@dataclass(frozen=True, slots=True)
class BegunStream:
    """The software version that began the stream of a caller's attempt."""

    attempt_id: str
    service: str
    software_version: str
    begun_at: timedelta


class StreamVersions:
    """A :class:`StreamVersionSource` with this node's own records.

    ``list_targets`` returns all known targets.  ``is_informed`` is whether this node
    learns of new targets at present; otherwise a version may serve without its
    knowledge.  ``list_stored`` returns all versions of a service that the store states,
    ``None`` if it may lack some.
    """

    def __init__(
        self,
        clock: Clock,
        list_targets: Callable[[], Iterable[Target]],
        is_informed: Callable[[], bool],
        list_stored: Callable[[str], frozenset[str] | None],
    ) -> None:
        self._clock = clock
        self._list_targets = list_targets
        self._is_informed = is_informed
        self._list_stored = list_stored
        self._lock = threading.Lock()
        self._records: dict[str, BegunStream] = {}
        """By attempt id, in the order of their begin."""
        self._last_seen_at: dict[str, dict[str, timedelta]] = {}
        """When a version was last seen, by service and version."""
        self._observed_since: timedelta | None = None
        self._observed_at: timedelta | None = None
        """Time of the last observation."""
        self._max_stream_age = MAX_RESUMPTION_DELAY

    @property
    def _retention(self) -> timedelta:
        """How long versions are remembered, and have to be observed."""
        return max(self._max_stream_age, RECORD_RETENTION)

    def record_begun(
        self, attempt_id: str, service: str, software_version: str
    ) -> None:
        """Record that a target began to send events of a stream."""
        now = self._clock.elapsed()
        record = BegunStream(attempt_id, service, software_version, now)
        with self._lock:
            self._records.pop(attempt_id, None)
            self._records[attempt_id] = record
            if len(self._records) > MAX_RECORDS:
                del self._records[next(iter(self._records))]
            self._record_seen(service, software_version, now)

    def find_version(self, attempt_id: str, service: str) -> str | None:
        """Return the version that began a stream, ``None`` if it is not known.

        A stream without a record was begun by the only version of its service, if
        there has been one only since the stream broke off.
        """
        self.observe_targets()
        now = self._clock.elapsed()
        with self._lock:
            record = self._records.get(attempt_id)
            if record is not None:
                is_same_service = record.service == service
                return record.software_version if is_same_service else None
            if self._observed_since is None or not self._is_informed():
                return None
            version = find_sole_recent_version(
                self._last_seen_at.get(service, {}),
                self._observed_since,
                now - MAX_RESUMPTION_DELAY,
            )
            if self._has_observed_all(now):
                return version
            # The stream may have broken off before this node observed the targets.
            stored = self._list_stored(service)
            is_only = stored is not None and stored <= {version}
            return version if is_only else None

    def find_unrecorded_version(self, attempt_id: str, service: str) -> str | None:
        """Return the only version ever seen of a service, for a stream without record.

        Only for streams of which no keeper has a record: nodes share their records once
        they see a second version.  In an outage of the store no node learns of targets,
        so this node need not either.

        Return ``None`` if there were or may have been several, or if the stream is of
        another service.
        """
        with self._lock:
            if attempt_id in self._records:
                return None
            return self._find_only_version(service, self._clock.elapsed())

    def can_deny(self, service: str) -> bool:
        """Return whether this node would know of any stream with a record.

        It would if it has observed the targets for as long as streams last.  If all
        nodes have lost their records together, a stream without one was begun by the
        only version, if there was only one.
        """
        now = self._clock.elapsed()
        with self._lock:
            if self._has_observed_all(now):
                return True
            return self._find_only_version(service, now) is not None

    def has_observed_all(self) -> bool:
        """Return whether this node has observed all versions that began streams."""
        with self._lock:
            return self._has_observed_all(self._clock.elapsed())

    def seen_versions(self, service: str) -> frozenset[str]:
        """Return the versions seen for as long as records are kept."""
        with self._lock:
            return frozenset(self._last_seen_at.get(service, {}))

    def is_recorded(self, attempt_id: str) -> bool:
        """Return whether this node relayed the stream of ``attempt_id``."""
        with self._lock:
            return attempt_id in self._records

    def has_several_versions(self, service: str) -> bool:
        """Return whether several versions may have begun streams in progress."""
        return len(self.versions_of(service)) > 1

    def extend_stream_age(self, max_stream_age: timedelta) -> None:
        """Set the longest time from a stream's begin to its last resumption.

        It is never shortened, as streams of earlier routes may be in progress.
        """
        with self._lock:
            self._max_stream_age = max(self._max_stream_age, max_stream_age)

    def versions_of(self, service: str) -> frozenset[str]:
        """Return the versions that may have begun streams in progress."""
        oldest_begin = self._clock.elapsed() - self._max_stream_age
        with self._lock:
            versions = self._last_seen_at.get(service, {})
            recent = {name for name, at in versions.items() if at >= oldest_begin}
        return frozenset(recent) | (self._list_stored(service) or frozenset())

    def records_of(self, service: str) -> list[BegunStream]:
        """Return the records of streams of ``service`` that may be in progress."""
        with self._lock:
            return [each for each in self._records.values() if each.service == service]

    def record_seen(self, service: str, software_version: str, age: timedelta) -> None:
        """Record that a target of ``service`` had ``software_version`` ``age`` ago."""
        with self._lock:
            self._record_seen(service, software_version, self._clock.elapsed() - age)

    def observe_targets(self) -> None:
        """Record the versions of all known targets.

        A target that drains counts too, since it may have begun streams.
        """
        targets = list(self._list_targets())
        now = self._clock.elapsed()
        with self._lock:
            previous, self._observed_at = self._observed_at, now
            was_paused = previous is not None and now - previous > MAX_OBSERVATION_GAP
            is_informed = self._is_informed()
            if was_paused or not is_informed:
                # A version may come and go unnoticed.
                self._observed_since = None
            if is_informed and targets and self._observed_since is None:
                self._observed_since = now
            for target in targets:
                self._record_seen(target.service, target.software_version, now)

    def remove_expired(self) -> None:
        """Remove what concerns no stream in progress any more."""
        oldest_begin = self._clock.elapsed() - self._max_stream_age
        with self._lock:
            expired = [
                name
                for name, record in self._records.items()
                if record.begun_at < oldest_begin
            ]
            for name in expired:
                del self._records[name]
            oldest_record = self._clock.elapsed() - self._retention
            for versions in self._last_seen_at.values():
                gone = [name for name, at in versions.items() if at < oldest_record]
                for name in gone:
                    del versions[name]

    def _has_observed_all(self, now: timedelta) -> bool:
        since = self._observed_since
        return since is not None and now - since >= self._retention

    def _find_only_version(self, service: str, now: timedelta) -> str | None:
        """Return the only version that may have begun streams, if there is one."""
        stored = self._list_stored(service)
        if stored is None and not self._has_observed_all(now):
            return None
        versions = self._last_seen_at.get(service, {}).keys() | (stored or frozenset())
        return next(iter(versions)) if len(versions) == 1 else None

    def _record_seen(self, service: str, version: str, at: timedelta) -> None:
        versions = self._last_seen_at.setdefault(service, {})
        versions[version] = max(versions.get(version, at), at)
