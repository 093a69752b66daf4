"""Versions of a table that other nodes announced and this node lacks.

A node learns the number of a new version from any node, but is sent its rows only by
the readers of its failure domain.  While it lacks an announced version, it requests it
from one announcer after another, and also reads the store, until it has the version.
"""

import random
import threading
from collections import deque
from dataclasses import dataclass
from datetime import timedelta

from runhatch_coordination._clock import Clock
from runhatch_coordination._history import ORIGIN, StoreVersion

OVERDUE_MARGIN = timedelta(milliseconds=200)
"""Time added to the coalescing pause before a version counts as overdue."""
REQUEST_INTERVAL = timedelta(milliseconds=400)
"""Interval between requests for a version.  An announcer may lack it too, as versions
are announced further before they have arrived."""
MIN_READ_DELAY = timedelta(milliseconds=900)
"""Minimum time between an announcement and a read of the store for it."""
READ_INTERVAL = timedelta(seconds=1)
"""Interval between reads of the store for a version."""
MAX_PENDING = 16
"""Announcements whose times are kept; later ones count from the last of these."""
LONG_AGO = timedelta(days=-1)


@dataclass(frozen=True, slots=True)
class Attempt:
    """An attempt to obtain the announced version ``newest``.

    ``peer`` is the address to request it from, empty if no request is due.  The
    oldest version that is missing was announced ``waited`` ago.
    """

    newest: StoreVersion
    waited: timedelta
    peer: str
    reads_store: bool


class MissingVersions:
    """Schedules the attempts to obtain announced versions; thread-safe.

    Methods take the version of the local copy as ``known``.

    .. versionadded:: 0.2
    """

    def __init__(
        self,
        clock: Clock,
        coalescing_pause: timedelta,
        rng: random.Random | None = None,
    ) -> None:
        self._clock = clock
        self._random = rng or random.Random()
        self._request_delay = coalescing_pause + OVERDUE_MARGIN
        self._read_delay = max(MIN_READ_DELAY, self._request_delay + REQUEST_INTERVAL)
        self._lock = threading.Lock()
        self._newest = ORIGIN
        self._pending: deque[tuple[StoreVersion, timedelta]] = deque()
        self._announcers: list[str] = []
        self._candidates: list[str] = []
        """Announcers that no request was sent to since all were asked."""
        self._requested_at = LONG_AGO
        self._read_at = LONG_AGO

    @property
    def newest(self) -> StoreVersion:
        """The newest announced version, ``ORIGIN`` before the first."""
        return self._newest

    def is_behind(self, known: StoreVersion) -> bool:
        """Return whether a version newer than ``known`` was announced."""
        return self._newest > known

    def record(
        self, version: StoreVersion, announcer: str, known: StoreVersion
    ) -> bool:
        """Record that the node at ``announcer`` announced ``version``.

        ``announcer`` is empty if this node itself read the version from the store.
        Return whether no version as new was announced before. The node then announces
        it further, even if it already has the rows: other nodes may learn of the
        version from this one only.
        """
        with self._lock:
            if version < self._newest:
                return False
            is_new = version > self._newest
            if is_new:
                self._newest = version
                self._announcers.clear()
                self._candidates.clear()
                if version > known:
                    self._add_pending(version)
            if announcer and announcer not in self._announcers:
                self._announcers.append(announcer)
                self._candidates.append(announcer)
            return is_new

    def time_until_attempt(self, known: StoreVersion) -> timedelta | None:
        """Return the time until the next attempt is due, ``None`` if none will be."""
        with self._lock:
            since = self._missing_since(known)
            if since is None:
                return None
            return min(self._next_request_at(since), self._next_read_at(since)) - (
                self._clock.elapsed()
            )

    def begin_attempt(self, known: StoreVersion) -> Attempt | None:
        """Return the attempt to make now, ``None`` if none is due."""
        with self._lock:
            since = self._missing_since(known)
            if since is None:
                return None
            now = self._clock.elapsed()
            sends_request = now >= self._next_request_at(since)
            reads_store = now >= self._next_read_at(since)
            if not sends_request and not reads_store:
                return None
            if sends_request:
                self._requested_at = now
            if reads_store:
                self._read_at = now
            peer = self._choose_announcer() if sends_request else ""
            return Attempt(self._newest, now - since, peer, reads_store)

    def _add_pending(self, version: StoreVersion) -> None:
        now = self._clock.elapsed()
        if len(self._pending) == MAX_PENDING:
            _, now = self._pending.pop()
        self._pending.append((version, now))

    def _missing_since(self, known: StoreVersion) -> timedelta | None:
        """Return when the oldest version that is missing was announced, if any is."""
        while self._pending and self._pending[0][0] <= known:
            self._pending.popleft()
        return self._pending[0][1] if self._pending else None

    def _next_request_at(self, since: timedelta) -> timedelta:
        return max(since + self._request_delay, self._requested_at + REQUEST_INTERVAL)

    def _next_read_at(self, since: timedelta) -> timedelta:
        return max(since + self._read_delay, self._read_at + READ_INTERVAL)

    def _choose_announcer(self) -> str:
        """Return an announcer of the newest version, each once before any again.

        Return an empty string if only this node has announced it.
        """
        if not self._candidates:
            self._candidates = list(self._announcers)
        if not self._candidates:
            return ""
        index = self._random.randrange(len(self._candidates))
        return self._candidates.pop(index)
