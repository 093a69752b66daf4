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

MAX_CALL_WAIT = timedelta(seconds=8)
"""How long the store may hold a call that waits for a change. A wait that ends without
a change costs a call; one whose answer is lost delays the reader by this duration,
unless a notice arrives earlier."""
COALESCING_PAUSE = timedelta(milliseconds=150)
"""Pause between a change and the next call. Changes come in bursts and each call is
billed; readers receive a change at most this much later."""
MIN_RETRY_PAUSE = timedelta(milliseconds=200)
MAX_RETRY_PAUSE = timedelta(seconds=1)
"""Longest time from a failing call to the next one, unless the call lasts longer, so
that calls resume within about a second after an outage."""


@dataclass(frozen=True, slots=True)
class Entry(Generic[ValueT_co]):
    """One row of a watched table; ``value`` is ``None`` if the row was removed."""

    key: str
    value: ValueT_co | None


@dataclass(frozen=True, slots=True)
class Listing(Generic[ValueT_co]):
    """The whole table as of ``version``; its newest row has ``changed_version``.

    ``changed_version`` is ``ORIGIN`` if it is unknown. ``answered_at`` is a time of the
    store's clock at which this was the newest state, ``None`` if it was not stated.
    """

    entries: tuple[Entry[ValueT_co], ...]
    version: StoreVersion
    changed_version: StoreVersion = ORIGIN
    answered_at: timedelta | None = None


@dataclass(frozen=True, slots=True)
class Changes(Generic[ValueT_co]):
    """The rows changed up to ``version``, oldest change first; may be empty.

    The last of them changed in ``changed_version``, ``ORIGIN`` if it is unknown.
    ``answered_at`` is a time of the store's clock at which there were no others,
    ``None`` if it was not stated.
    """

    entries: tuple[Entry[ValueT_co], ...]
    version: StoreVersion
    changed_version: StoreVersion = ORIGIN
    answered_at: timedelta | None = None


@dataclass(frozen=True, slots=True)
class HistoryLost:
    """The store no longer has the requested changes."""


@dataclass(frozen=True, slots=True)
class WaitInterrupted:
    """The caller interrupted the wait; the store may be reachable or not."""


class Feed(Protocol[ValueT_co]):
    """One table of a store whose changes can be read."""

    def read(self) -> Listing[ValueT_co] | Unavailable:
        """Return the whole table."""

    def read_changes(
        self, after: StoreVersion, wait: timedelta
    ) -> Changes[ValueT_co] | HistoryLost | WaitInterrupted | Unavailable:
        """Return the changes after version ``after``.

        If there are none, wait up to ``wait`` for the first.
        """

    def interrupt_wait(self) -> None:
        """Interrupt a call that waits for changes; the caller repeats it.

        A call whose answer is already arriving is not interrupted.
        """


class FeedListener(Protocol[ValueT_contra]):
    """Receives the contents of a watched table, from one thread and in order."""

    def replace_entries(self, entries: tuple[Entry[ValueT_contra], ...]) -> None:
        """Replace the contents of the table by ``entries``."""

    def apply_entries(self, entries: tuple[Entry[ValueT_contra], ...]) -> None:
        """Apply the changed and removed rows in ``entries``."""

    def handle_restoration(self) -> None:
        """Handle the restoration of the table from an older copy.

        Rows written after that copy are lost. A call of :meth:`replace_entries`
        follows.
        """

    def handle_outage(self, reason: str) -> None:
        """Handle the loss of the table; its known contents may become stale."""

    def handle_recovery(self) -> None:
        """Handle that the table can be read again."""

    def handle_store_return(self) -> None:
        """Handle that the store answers again after an outage that no node escaped.

        Rows that expired because their writers could not renew them are written again
        within seconds.  Called before any change that was read afterwards.
        """


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
        coalescing_pause: timedelta = COALESCING_PAUSE,
    ) -> None:
        self._coalesce_pause = coalescing_pause
        self._feed = feed
        self._listener = listener
        self._clock = clock
        self._stopping = stopping
        self._on_failure = on_failure
        self._version: StoreVersion | None = None
        self._delivered_version = ORIGIN
        self._changed_version = ORIGIN
        self._consecutive_failures = 0
        self._confirmed_at: timedelta | None = None
        self._was_interrupted = False

    @property
    def confirmed_at(self) -> timedelta | None:
        """The store's time of the newest answer delivered, ``None`` if not stated."""
        return self._confirmed_at

    @property
    def changed_version(self) -> StoreVersion:
        """The version of the newest change delivered to the listener.

        All readers of a change state the same one, whenever they read it.
        """
        return self._changed_version

    @property
    def version(self) -> StoreVersion:
        """The newest version delivered to the listener."""
        return self._delivered_version

    @property
    def is_failing(self) -> bool:
        """Whether the last call failed."""
        return self._consecutive_failures > 0

    @property
    def was_interrupted(self) -> bool:
        """Whether the last call was interrupted, so that its outcome is not known."""
        return self._was_interrupted

    @property
    def needs_listing(self) -> bool:
        """Whether the next call reads the whole table."""
        return self._version is None

    def advance_to(self, version: StoreVersion) -> None:
        """Continue after ``version``, which another source has delivered."""
        if version > self._delivered_version:
            self._version = version
            self._delivered_version = version

    def interrupt_wait(self) -> None:
        """Interrupt a call that waits for changes, whose answer may have been lost."""
        self._feed.interrupt_wait()

    def run(self) -> None:
        """Watch the table until stopped; exceptions go to ``on_failure``."""
        while not self._stopping.is_set():
            try:
                pause = self.step()
            except Exception as error:
                self._on_failure(error)
                pause = MAX_RETRY_PAUSE
            self._stopping.wait(pause.total_seconds())

    def step(self, wait: timedelta = MAX_CALL_WAIT) -> timedelta:
        """Make one call to the store and return the pause before the next one.

        The store holds the call for up to ``wait`` if nothing has changed.
        """
        self._was_interrupted = False
        began_at = self._clock.elapsed()
        if self._version is None:
            return self._read_whole_table(began_at)
        outcome = self._feed.read_changes(self._version, wait)
        if isinstance(outcome, WaitInterrupted):
            self._was_interrupted = True
            return timedelta()
        if isinstance(outcome, Unavailable):
            return self._record_failure(outcome, began_at)
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
        self._confirmed_at = outcome.answered_at
        if not outcome.entries:
            return timedelta()
        self._changed_version = outcome.changed_version or outcome.version
        self._listener.apply_entries(outcome.entries)
        return self._coalesce_pause

    def _read_whole_table(self, began_at: timedelta) -> timedelta:
        outcome = self._feed.read()
        if isinstance(outcome, Unavailable):
            return self._record_failure(outcome, began_at)
        self._record_success()
        if outcome.version < self._delivered_version:
            # A late answer: delivering it would undo changes already delivered.
            return MIN_RETRY_PAUSE
        self._version = outcome.version
        self._delivered_version = outcome.version
        self._confirmed_at = outcome.answered_at
        self._changed_version = outcome.changed_version or outcome.version
        self._listener.replace_entries(outcome.entries)
        return timedelta()

    def _record_failure(self, outcome: Unavailable, began_at: timedelta) -> timedelta:
        if not self._consecutive_failures:
            self._listener.handle_outage(outcome.reason)
        pause = min(
            MAX_RETRY_PAUSE, MIN_RETRY_PAUSE * (1 << min(self._consecutive_failures, 4))
        )
        self._consecutive_failures += 1
        return max(MIN_RETRY_PAUSE, pause - (self._clock.elapsed() - began_at))

    def _record_success(self) -> None:
        if self._consecutive_failures:
            self._consecutive_failures = 0
            self._listener.handle_recovery()
