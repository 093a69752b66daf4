"""Reads one table from the store, and knows whether this node reaches it."""

import threading
from collections.abc import Callable
from datetime import timedelta
from typing import Protocol

from runhatch_coordination._clock import Clock
from runhatch_coordination._feed import Entry, Feed, TableWatcher
from runhatch_coordination._history import ORIGIN, StoreVersion
from runhatch_coordination._replica import TableChanges
from runhatch_coordination._store_contact import Reachability, StoreContact


class ReadListener(Protocol):
    """Receives what a :class:`StoreReader` reads and learns about the store."""

    def apply_read_changes(self, changes: TableChanges) -> None:
        """Apply the whole table or changes of some rows."""

    def handle_contact(
        self, reachability: Reachability, answered_at: timedelta | None
    ) -> None:
        """Handle that the reachability of the store has changed."""

    def handle_answer(self) -> None:
        """Handle that the store answered."""

    def handle_failure(self, reason: str) -> None:
        """Handle that calls to the store have begun to fail."""


class StoreReader:
    """The calls of one node for one table; only one task may call :meth:`read`.

    A call that waits for changes is relied on as far as the contact with the store
    allows (:mod:`runhatch_coordination._store_contact`).
    """

    def __init__(
        self,
        feed: Feed[bytes],
        listener: ReadListener,
        clock: Clock,
        stopping: threading.Event,
        on_failure: Callable[[Exception], None],
        coalescing_pause: timedelta,
    ) -> None:
        self._listener = listener
        self._watcher: TableWatcher[bytes] = TableWatcher(
            feed, _Receiver(self), clock, stopping, on_failure, coalescing_pause
        )
        self._contact = StoreContact(clock)
        self._reported_reachability = Reachability.UNKNOWN
        self._version_before = ORIGIN
        self.retry_event = threading.Event()
        """Set when the store has begun to answer other nodes again."""

    @property
    def version(self) -> StoreVersion:
        """The version last read from the store or taken over from other nodes."""
        return self._watcher.version

    @property
    def version_before(self) -> StoreVersion:
        """The version after which changes were last requested from the store."""
        return self._version_before

    @property
    def changed_version(self) -> StoreVersion:
        """The version of the newest change read."""
        return self._watcher.changed_version

    @property
    def confirmed_at(self) -> timedelta | None:
        """The store's time of the newest answer, ``None`` if not stated."""
        return self._watcher.confirmed_at

    @property
    def answered_at(self) -> timedelta | None:
        """When the store last answered a call of this node, if it ever did."""
        return self._contact.answered_at

    @property
    def is_failing(self) -> bool:
        """Whether the last call failed."""
        return self._watcher.is_failing

    @property
    def needs_listing(self) -> bool:
        """Whether the next call reads the whole table."""
        return self._watcher.needs_listing

    @property
    def reaches_store(self) -> bool:
        """Whether this node reaches the store, by its own calls."""
        return self._contact.reachability is Reachability.REACHED

    @property
    def time_until_doubt(self) -> timedelta | None:
        """When :meth:`interrupt_doubtful_wait` is due, ``None`` without such a wait."""
        return self._contact.time_until_doubt

    def advance_to(self, version: StoreVersion | None) -> None:
        """Continue after ``version``, if any, which another source has delivered."""
        if version is not None:
            self._watcher.advance_to(version)

    def read_once(self, wait: timedelta) -> timedelta:
        """Make a call that the store may hold for ``wait``; return the next pause."""
        self._version_before = self._watcher.version
        return self._watcher.step(wait)

    def read(self, longest_wait: timedelta) -> timedelta:
        """Make a call that waits for changes; return the pause before the next one.

        The store may hold it for ``longest_wait`` while it is known to answer.
        """
        return self.read_once(self._contact.begin_call(longest_wait))

    def record_outcome(self) -> None:
        """Record whether the store answered the last call."""
        if self._watcher.was_interrupted:
            self._contact.record_interruption()
        elif self._watcher.is_failing:
            self._contact.record_failure()
        else:
            self.record_answer()

    def record_end_of_reading(self) -> None:
        """Record that this node no longer calls the store."""
        self._contact.record_end_of_reading()
        self._report_contact()

    def record_answer_to_other_node(self) -> None:
        """Record that the store has just answered another node.

        If it had not done so for a while, this node calls the store again at once: it
        may have lost the call in progress.
        """
        if self._contact.record_answer_to_other_node():
            self._watcher.interrupt_wait()
            self.retry_event.set()

    def interrupt_doubtful_wait(self) -> bool:
        """Interrupt a wait for changes that the store may have lost; return whether.

        Must not be called by the task of :meth:`read`.
        """
        is_doubtful = self._contact.end_doubtful_wait()
        if is_doubtful:
            self._watcher.interrupt_wait()
        return is_doubtful

    def interrupt_wait(self) -> None:
        """Interrupt a wait for changes; a check of the contact ends by itself.

        A node that cannot reach the store would never notice that if each of its
        checks were interrupted.
        """
        if not self._contact.is_checking:
            self._watcher.interrupt_wait()

    def apply_changes(self, changes: TableChanges) -> None:
        """Pass on ``changes``, which show that the store answers."""
        self.record_answer()
        self._listener.apply_read_changes(changes)

    def record_answer(self) -> None:
        """Record that the store answered this node."""
        self._contact.record_answer()
        self._report_contact()
        self._listener.handle_answer()

    def record_failure(self, reason: str) -> None:
        """Record that a call of this node failed."""
        self._contact.record_failure()
        self._report_contact()
        self._listener.handle_failure(reason)

    def _report_contact(self) -> None:
        """Report the reachability of the store, if that has changed."""
        reachability = self._contact.reachability
        if reachability is not self._reported_reachability:
            self._reported_reachability = reachability
            self._listener.handle_contact(reachability, self._contact.answered_at)


class _Receiver:
    """Passes on what a watcher reads to its reader."""

    def __init__(self, reader: StoreReader) -> None:
        self._reader = reader

    def replace_entries(self, entries: tuple[Entry[bytes], ...]) -> None:
        """Pass on the whole table."""
        changes = TableChanges(ORIGIN, self._reader.version, entries, is_whole=True)
        self._reader.apply_changes(changes)

    def apply_entries(self, entries: tuple[Entry[bytes], ...]) -> None:
        """Pass on changes of some rows."""
        reader = self._reader
        changes = TableChanges(reader.version_before, reader.version, entries)
        reader.apply_changes(changes)

    def handle_restoration(self) -> None:
        """Do nothing: the local copy detects a restoration when it is replaced."""

    def handle_outage(self, reason: str) -> None:
        """Record that this node does not reach the store."""
        self._reader.record_failure(reason)

    def handle_recovery(self) -> None:
        """Record that this node reaches the store again."""
        self._reader.record_answer()

    def handle_store_return(self) -> None:
        """Do nothing: only the table knows of answers to other nodes."""
