"""Tables watched for changes: a listing first, then each change in order.

:class:`TableWatcher` keeps a listener up to date through outages: it lists the
table anew when the store no longer has the history, and never goes back behind
a version that it has passed on, unless the store itself came back from an older copy.
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
"""How long the store is asked to keep a call waiting for a change.  Each end of a
wait without one is a call paid for nothing; a wait whose answer was lost makes the
reader so much later, if nothing tells it sooner."""
OVERDUE = timedelta(milliseconds=900)
"""How long after hearing of a change elsewhere a reader waits for it itself, at least;
one that reads changes together waits longer than that takes."""
OVERDUE_SLACK = timedelta(milliseconds=200)
COALESCE = timedelta(milliseconds=150)
"""Pause between a change and the next call.  Changes come in bursts, and each
call that brings one of them alone is paid; readers are this much later at most."""
FIRST_RETRY = timedelta(milliseconds=200)
LONGEST_RETRY = timedelta(seconds=1)
"""Pauses between calls that fail: short enough to be back within the second."""


@dataclass(frozen=True, slots=True)
class Entry(Generic[ValueT_co]):
    """One row of a watched table; ``value`` is ``None`` once it is removed."""

    key: str
    value: ValueT_co | None


@dataclass(frozen=True, slots=True)
class Listing(Generic[ValueT_co]):
    """The whole table as of ``version``."""

    entries: tuple[Entry[ValueT_co], ...]
    version: StoreVersion


@dataclass(frozen=True, slots=True)
class Changes(Generic[ValueT_co]):
    """What changed up to ``version``, oldest first; may be empty."""

    entries: tuple[Entry[ValueT_co], ...]
    version: StoreVersion


@dataclass(frozen=True, slots=True)
class HistoryLost:
    """The store has dropped changes that were asked for."""


@dataclass(frozen=True, slots=True)
class WaitEnded:
    """The wait was ended on this side; it says nothing of the store."""


class Feed(Protocol[ValueT_co]):
    """One table of a store that tells its changes."""

    def read(self) -> Listing[ValueT_co] | Unavailable:
        """Return the whole table."""

    def changes(
        self, after: StoreVersion, wait: timedelta
    ) -> Changes[ValueT_co] | HistoryLost | WaitEnded | Unavailable:
        """Return what changed after version ``after``, waiting for a first change."""

    def hurry(self) -> None:
        """Have a call that waits for changes end at once; it will be made again.

        One whose answer is arriving goes on.
        """


class FeedListener(Protocol[ValueT_contra]):
    """Is told what a watched table holds; called by one thread, in order."""

    def listed(self, entries: tuple[Entry[ValueT_contra], ...]) -> None:
        """Replace all that was known."""

    def changed(self, entries: tuple[Entry[ValueT_contra], ...]) -> None:
        """Take in changes."""

    def restored(self) -> None:
        """The table came back from an older copy, and is listed next.

        What was written since is gone until it is written again.
        """

    def unreachable(self, reason: str) -> None:
        """The table cannot be read since now; what is known may grow old."""

    def reachable(self) -> None:
        """The table can be read again."""


class TableWatcher(Generic[ValueT]):
    """Keeps one listener up to date; :meth:`run` is one task's whole work.

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
        self._coalesce = coalesce
        self._overdue = max(OVERDUE, coalesce + OVERDUE_SLACK)
        self._feed = feed
        self._listener = listener
        self._clock = clock
        self._stopping = stopping
        self._on_failure = on_failure
        self._version: StoreVersion | None = None
        self._passed = ORIGIN
        self._failures = 0
        self._noticed: tuple[StoreVersion, timedelta] | None = None

    @property
    def version(self) -> StoreVersion:
        """The newest version passed on."""
        return self._passed

    @property
    def failing(self) -> bool:
        """Whether the last call failed."""
        return self._failures > 0

    @property
    def lists_next(self) -> bool:
        """Whether the next call reads the whole table."""
        return self._version is None

    def seek(self, version: StoreVersion) -> None:
        """Go on after ``version``, which the listener was told by somebody else."""
        if version > self._passed:
            self._version = version
            self._passed = version

    def noticed(self, version: StoreVersion) -> None:
        """Take in from elsewhere that the table has had ``version``."""
        if version > self._passed and self._noticed is None:
            self._noticed = (version, self._clock.elapsed())

    def check(self) -> bool:
        """Hurry, and say so, if a change that was noticed elsewhere is overdue here."""
        noticed = self._noticed
        if noticed is None:
            return False
        version, at = noticed
        if version <= self._passed:
            self._noticed = None
        elif self._clock.elapsed() - at >= self._overdue:
            self._noticed = None
            self._feed.hurry()
            return True
        return False

    def run(self) -> None:
        """Watch until told to stop, whatever a round raises."""
        while not self._stopping.is_set():
            try:
                pause = self.step()
            except Exception as error:
                self._on_failure(error)
                pause = LONGEST_RETRY
            self._stopping.wait(pause.total_seconds())

    def step(self, wait: timedelta = LONGEST_WAIT) -> timedelta:
        """Make one call; returns how long to pause before the next.

        The store is asked to keep it for ``wait`` if nothing has changed.
        """
        if self._version is None:
            return self._list()
        outcome = self._feed.changes(self._version, wait)
        if isinstance(outcome, WaitEnded):
            return timedelta()
        if isinstance(outcome, Unavailable):
            return self._failed(outcome)
        self._succeeded()
        if isinstance(outcome, HistoryLost):
            self._version = None
            return timedelta()
        if era_of(outcome.version) != era_of(self._version):
            # Versions were given out again: what lies between is not known.
            self._version = None
            return timedelta()
        self._version = max(self._version, outcome.version)
        self._passed = self._version
        if not outcome.entries:
            return timedelta()
        self._listener.changed(outcome.entries)
        return self._coalesce

    def _list(self) -> timedelta:
        outcome = self._feed.read()
        if isinstance(outcome, Unavailable):
            return self._failed(outcome)
        self._succeeded()
        if outcome.version < self._passed:
            # An old answer; taking it would undo changes already passed on.
            return FIRST_RETRY
        self._version = outcome.version
        self._passed = outcome.version
        self._listener.listed(outcome.entries)
        return timedelta()

    def _failed(self, outcome: Unavailable) -> timedelta:
        if not self._failures:
            self._listener.unreachable(outcome.reason)
        pause = min(LONGEST_RETRY, FIRST_RETRY * (1 << min(self._failures, 4)))
        self._failures += 1
        return pause

    def _succeeded(self) -> None:
        if self._failures:
            self._failures = 0
            self._listener.reachable()
