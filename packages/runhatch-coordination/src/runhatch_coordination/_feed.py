"""Watching a table of the store: a listing first, then each change in order.

:class:`TableWatcher` keeps a listener up to date through outages. It reads the whole
table again when the store no longer has the history, and never delivers an older
version after a newer one, unless the store was restored from an older copy.
"""

import threading
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from typing import Generic, Protocol, TypeVar

from runhatch_coordination._clock import Clock
from runhatch_coordination._history import ORIGIN, StoreVersion, era_of
from runhatch_coordination._table import Unavailable

ValueT = TypeVar("ValueT")
ValueT_co = TypeVar("ValueT_co", covariant=True)
ValueT_contra = TypeVar("ValueT_contra", contravariant=True)

LONGEST_WAIT = timedelta(seconds=8)
"""How long the store may hold a call that waits for a change. A wait that ends without
a change costs a call; one whose answer is lost delays the reader by this duration,
unless a notice arrives earlier."""
OVERDUE = timedelta(milliseconds=900)
"""Minimum time that a reader waits for a change after a notice of it from another node.
The timeout also exceeds the coalescing pause, so that the pause does not trigger it."""
OVERDUE_SLACK = timedelta(milliseconds=200)
"""Time added to the coalescing pause before a change counts as overdue."""
COALESCE = timedelta(milliseconds=150)
"""Pause between a change and the next call. Changes come in bursts and each call is
paid for; readers receive a change at most this much later."""
FIRST_RETRY = timedelta(milliseconds=200)
LONGEST_RETRY = timedelta(seconds=1)
"""Longest pause between failing calls, so that calls resume within a second after an
outage."""


@dataclass(frozen=True, slots=True)
class Entry(Generic[ValueT_co]):
    """One row of a watched table; ``value`` is ``None`` if the row was removed."""

    key: str
    value: ValueT_co | None


@dataclass(frozen=True, slots=True)
class Listing(Generic[ValueT_co]):
    """The whole table as of ``version``."""

    entries: tuple[Entry[ValueT_co], ...]
    version: StoreVersion


@dataclass(frozen=True, slots=True)
class Changes(Generic[ValueT_co]):
    """The rows changed up to ``version``, oldest change first; may be empty."""

    entries: tuple[Entry[ValueT_co], ...]
    version: StoreVersion


@dataclass(frozen=True, slots=True)
class HistoryLost:
    """The store no longer has the requested changes."""


@dataclass(frozen=True, slots=True)
class WaitEnded:
    """The caller interrupted the wait; the store may be reachable or not."""


class Feed(Protocol[ValueT_co]):
    """One table of a store whose changes can be read."""

    def read(self) -> Listing[ValueT_co] | Unavailable:
        """Return the whole table."""

    def changes(
        self, after: StoreVersion, wait: timedelta
    ) -> Changes[ValueT_co] | HistoryLost | WaitEnded | Unavailable:
        """Return the changes after version ``after``.

        If there are none, wait up to ``wait`` for the first.
        """

    def hurry(self) -> None:
        """Interrupt a call that waits for changes; the caller repeats it.

        A call whose answer is already arriving is not interrupted.
        """


class FeedListener(Protocol[ValueT_contra]):
    """Receives the contents of a watched table, from one thread and in order."""

    def listed(self, entries: tuple[Entry[ValueT_contra], ...]) -> None:
        """Replace the contents of the table by ``entries``."""

    def changed(self, entries: tuple[Entry[ValueT_contra], ...]) -> None:
        """Apply the changed and removed rows in ``entries``."""

    def restored(self) -> None:
        """Handle the restoration of the table from an older copy.

        Rows written after that copy are lost. A call of :meth:`listed` follows.
        """

    def unreachable(self, reason: str) -> None:
        """Handle the loss of the table; its known contents may become stale."""

    def reachable(self) -> None:
        """Handle that the table can be read again."""


class TableWatcher(Generic[ValueT]):
    """Keeps one listener up to date; :meth:`run` is the body of one task.

    .. versionadded:: 0.2
    """

    def __init__(
        self,
        feed: Feed[ValueT],
        listener: FeedListener[ValueT],
        clock: Clock,
        stopping: threading.Event,
        on_failure: Callable[[Exception], None],
        coalesce: timedelta = COALESCE,
    ) -> None:
        self._coalesce_pause = coalesce
        self._overdue_after = max(OVERDUE, coalesce + OVERDUE_SLACK)
        self._feed = feed
        self._listener = listener
        self._clock = clock
        self._stopping = stopping
        self._on_failure = on_failure
        self._version: StoreVersion | None = None
        self._delivered_version = ORIGIN
        self._consecutive_failures = 0
        self._pending_notice: tuple[StoreVersion, timedelta] | None = None

    @property
    def version(self) -> StoreVersion:
        """The newest version delivered to the listener."""
        return self._delivered_version

    @property
    def failing(self) -> bool:
        """Whether the last call failed."""
        return self._consecutive_failures > 0

    @property
    def lists_next(self) -> bool:
        """Whether the next call reads the whole table."""
        return self._version is None

    def seek(self, version: StoreVersion) -> None:
        """Continue after ``version``, which another source has delivered."""
        if version > self._delivered_version:
            self._version = version
            self._delivered_version = version

    def noticed(self, version: StoreVersion) -> None:
        """Record a notice from another node that the table has reached ``version``."""
        if version > self._delivered_version and self._pending_notice is None:
            self._pending_notice = (version, self._clock.elapsed())

    def check(self) -> bool:
        """Interrupt the wait if a change that another node announced is overdue.

        Returns whether it was.
        """
        notice = self._pending_notice
        if notice is None:
            return False
        version, noticed_at = notice
        if version <= self._delivered_version:
            self._pending_notice = None
        elif self._clock.elapsed() - noticed_at >= self._overdue_after:
            self._pending_notice = None
            self._feed.hurry()
            return True
        return False

    def run(self) -> None:
        """Watch the table until stopped; exceptions go to ``on_failure``."""
        while not self._stopping.is_set():
            try:
                pause = self.step()
            except Exception as error:
                self._on_failure(error)
                pause = LONGEST_RETRY
            self._stopping.wait(pause.total_seconds())

    def step(self, wait: timedelta = LONGEST_WAIT) -> timedelta:
        """Make one call to the store and return the pause before the next one.

        The store holds the call for up to ``wait`` if nothing has changed.
        """
        if self._version is None:
            return self._read_whole_table()
        outcome = self._feed.changes(self._version, wait)
        if isinstance(outcome, WaitEnded):
            return timedelta()
        if isinstance(outcome, Unavailable):
            return self._record_failure(outcome)
        self._record_success()
        if isinstance(outcome, HistoryLost):
            self._version = None
            return timedelta()
        if era_of(outcome.version) != era_of(self._version):
            # The restored store reuses numbers, so changes in between are unknown.
            self._version = None
            return timedelta()
        self._version = max(self._version, outcome.version)
        self._delivered_version = self._version
        if not outcome.entries:
            return timedelta()
        self._listener.changed(outcome.entries)
        return self._coalesce_pause

    def _read_whole_table(self) -> timedelta:
        outcome = self._feed.read()
        if isinstance(outcome, Unavailable):
            return self._record_failure(outcome)
        self._record_success()
        if outcome.version < self._delivered_version:
            # A late answer: delivering it would undo changes already delivered.
            return FIRST_RETRY
        self._version = outcome.version
        self._delivered_version = outcome.version
        self._listener.listed(outcome.entries)
        return timedelta()

    def _record_failure(self, outcome: Unavailable) -> timedelta:
        if not self._consecutive_failures:
            self._listener.unreachable(outcome.reason)
        pause = min(
            LONGEST_RETRY, FIRST_RETRY * (1 << min(self._consecutive_failures, 4))
        )
        self._consecutive_failures += 1
        return pause

    def _record_success(self) -> None:
        if self._consecutive_failures:
            self._consecutive_failures = 0
            self._listener.reachable()
