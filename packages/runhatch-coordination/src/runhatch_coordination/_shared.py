"""A watched table that a few nodes read and publish to the others.

If each node read the store, calls to it would grow with the number of nodes. Instead
two readers of each failure domain read it and publish each change to the nodes of their
domain, with the version that it follows. :class:`SharedTable` decides for one table on
one node whether to read the store or to wait for updates:

- a reader reads the store, and so does a witness, on which no other node depends;
- a node that receives nothing from its readers reads until it receives updates again;
- a reserve reads while the readers of its domain report that they cannot reach the
  store;
- a node that misses changes requests them from another node, and reads the store if
  none answers;
- a reader waits for changes only while it knows that the store answers, and checks that
  whenever it does not (:mod:`runhatch_coordination._store_contact`);
- a node that learns of a newer version than it has requests it from the nodes that
  announced it, and reads the store, until it has the version; so a reader that is cut
  off without noticing it delays no other node.

The version of a node never decreases, whatever the source of its updates.
"""

import random
import threading
from collections.abc import Callable
from dataclasses import dataclass, replace
from datetime import timedelta

from runhatch_coordination._announcements import Attempt, MissingVersions
from runhatch_coordination._clock import Clock
from runhatch_coordination._feed import (
    MAX_CALL_WAIT,
    MAX_RETRY_PAUSE,
    Feed,
    FeedListener,
)
from runhatch_coordination._history import ORIGIN, StoreVersion
from runhatch_coordination._peers import Role
from runhatch_coordination._reader_reports import ReaderReports, ReaderState
from runhatch_coordination._replica import OfferOutcome, TableChanges, TableReplica
from runhatch_coordination._sources import (
    CONTINUOUS_SOURCES,
    SINGLE_READ_SOURCES,
    Source,
)
from runhatch_coordination._store_activity import StoreActivity
from runhatch_coordination._store_contact import Reachability
from runhatch_coordination._store_reader import StoreReader
from runhatch_coordination._table_peers import TablePeers

START_REQUEST_WINDOW = timedelta(seconds=1.2)
"""How long a starting node requests the table from other nodes before it reads the
store. Nodes that start together would otherwise all read it, two calls a table each."""
REQUEST_TIMEOUT = timedelta(milliseconds=400)
"""How long to wait for an answer before requesting from another node or reading the
store. An answer takes some 5 ms, a whole table of 20 KB 20 ms at 10 Mbit/s."""
START_GRACE = timedelta(seconds=2.5)
"""How long a node that has received the table waits, after its start, for its readers
and before it becomes a reader itself: it first discovers the other nodes."""
MAX_READER_CALL_WAIT = timedelta(seconds=24)
"""How long the store may hold a reader's call while another reader is active, which
publishes a change whose answer is lost. The store allows 30 s. Each wait that ends
without a change costs a call."""
SINGLE_READ_WAIT = timedelta(milliseconds=200)
"""How long the store may hold the call of a node that reads once."""
SILENCE_JITTER = 0.3
"""Maximum share by which a node extends the silence timeout of its readers, so that the
followers of a reader that exits do not all call the store at the same moment."""


@dataclass(frozen=True, slots=True)
class SharedTableBounds:
    """Bounds on the delay of changes.

    Changes within ``coalescing_pause`` are read in one call. A reader from which
    nothing was received for ``silence_timeout`` counts as failed; readers publish
    several times as often.
    """

    coalescing_pause: timedelta
    silence_timeout: timedelta


class SharedTable:
    """One table on one node; :meth:`run` is the body of one task.

    .. versionadded:: 0.2
    """

    def __init__(
        self,
        name: str,
        feed: Feed[bytes],
        listener: FeedListener[bytes],
        peers: TablePeers,
        clock: Clock,
        stopping: threading.Event,
        on_failure: Callable[[Exception], None],
        bounds: SharedTableBounds,
        jitter: float | None = None,
    ) -> None:
        self.name = name
        self._listener = listener
        self._peers = peers
        self._clock = clock
        self._stopping = stopping
        self._on_failure = on_failure
        self._replica = TableReplica(listener)
        self._reader = StoreReader(
            feed, self, clock, stopping, on_failure, bounds.coalescing_pause
        )
        jitter = random.uniform(0, SILENCE_JITTER) if jitter is None else jitter
        self._reader_reports = ReaderReports(
            clock, bounds.silence_timeout * (1 + jitter)
        )
        self._activity = StoreActivity(clock)
        self._started_at = clock.elapsed()
        self._missing = MissingVersions(clock, bounds.coalescing_pause)
        self._gap_since: timedelta | None = None
        self._confirmed_at: timedelta | None = None
        self._must_read_once = False
        self._must_request_gap = False
        self._source = Source.UPDATES
        self._wake_event = threading.Event()
        self._confirmation_lock = threading.Lock()
        self._reachability_lock = threading.Lock()
        self._notified_reachability = True
        self.max_call_wait = MAX_READER_CALL_WAIT
        """How long the store may hold a call of this node at most. Each call that ends
        confirms that the table has not changed since."""
        self._is_backup_reader = False

    @property
    def is_backup_reader(self) -> bool:
        """Whether another reader of this domain confirms the table while it can."""
        return self._is_backup_reader

    @is_backup_reader.setter
    def is_backup_reader(self, is_backup: bool) -> None:
        was_backup, self._is_backup_reader = self._is_backup_reader, is_backup
        if was_backup and not is_backup:
            self._reader.interrupt_wait()

    @property
    def confirmed_at(self) -> timedelta | None:
        """The store's time up to which the local copy has all changes, if known."""
        return self._confirmed_at

    @property
    def version(self) -> StoreVersion | None:
        """The version of the local copy, ``None`` before it has one."""
        return self._replica.version

    @property
    def answered_at(self) -> timedelta | None:
        """When the store last answered a call of this node, if it ever did."""
        return self._reader.answered_at

    @property
    def reaches_store(self) -> bool:
        """Whether this node itself reaches the store, by its own calls.

        Reports of other nodes do not count: two readers that are both cut off would
        each rely on the report of the other. Before the first answer it does not, as
        other nodes would rely on a store that no node has reached.
        """
        return self._reader.reaches_store

    @property
    def is_behind(self) -> bool:
        """Whether another node announced a newer version than the local copy's."""
        return self._missing.is_behind(self._known_version)

    @property
    def may_be_behind(self) -> bool:
        """Whether the table may have changed without this node's knowledge.

        It is behind, or reaches neither the store nor a reader that reaches it, as far
        as it knows: a node that has just started may have its copy from a node that is
        cut off.
        """
        return self.is_behind or not self._has_contact

    @property
    def held_version(self) -> StoreVersion | None:
        """The newest announced version, ``None`` if there is none or it is missing.

        Nodes announce it repeatedly to those that missed its first announcement.
        """
        newest = self._missing.newest
        return newest if ORIGIN < newest <= self._known_version else None

    @property
    def empty_changes(self) -> TableChanges | None:
        """Changes without rows, by which other nodes learn that they miss nothing.

        ``None`` if no version is known.
        """
        return self._confirm(self._confirmed_at, self._replica.empty_changes)

    @property
    def pause_event(self) -> threading.Event:
        """The event that ends the current pause between two steps.

        Updates wake only a node that waits for them; a node that reads the store
        pauses between two calls, unless the store has begun to answer again.
        """
        waits_for_updates = self._source is Source.UPDATES
        return self._wake_event if waits_for_updates else self._reader.retry_event

    def changes_since(self, version: StoreVersion | None) -> TableChanges | None:
        """Return the changes since ``version``, ``None`` if no version is known."""
        return self._confirm(self._confirmed_at, self._replica.changes_since(version))

    def record_confirmation(
        self, version: StoreVersion, confirmed_at: timedelta
    ) -> None:
        """Record that the table did not change after ``version`` up to a store's time.

        Ignored if the local copy is older.
        """
        if self._known_version < version:
            return
        with self._confirmation_lock:
            known = self._confirmed_at
            if known is None or confirmed_at > known:
                self._confirmed_at = confirmed_at

    def apply_changes(
        self, reader: str, changes: TableChanges | None, reachable: bool
    ) -> None:
        """Apply the changes, if any, that a reader sent and record its reachability."""
        was_active = self._reader_reports.state is ReaderState.ACTIVE
        self._reader_reports.record(reader, reachable)
        if was_active and not reachable and self._is_backup_reader:
            self._reader.interrupt_wait()
        if reachable:
            if not was_active:
                self.record_answer_to_other_node()
            self._notify_reachability("")
        if changes is not None and self._offer(changes) is OfferOutcome.APPLIED:
            self._announce_received(changes)
        if not reachable:
            self._notify_reachability("no reader reaches the store")

    def apply_answer(self, changes: TableChanges) -> None:
        """Apply the changes that another node sent on request.

        The answer implies nothing about the readers of this node's domain. A reader
        publishes it to its domain.
        """
        previous = self._replica.version
        is_applied = self._offer(changes) is OfferOutcome.APPLIED
        if is_applied and self._peers.role() is Role.READER:
            update = self._changes_since(previous, changes)
            if update is not None:
                self._peers.publish(self.name, update, self.reaches_store)

    def record_version(self, version: StoreVersion, announcer: str) -> bool:
        """Record that the node at address ``announcer`` announced ``version``.

        Return whether to announce it further.
        """
        known = self._known_version
        is_new = self._missing.record(version, announcer, known)
        if is_new and version > known:
            self._record_activity()
            if self._reader_reports.state is ReaderState.CUT_OFF:
                self._must_read_once = True
                self._wake_event.set()
        return is_new

    def time_until_attempt(self) -> timedelta | None:
        """Return when :meth:`obtain_missing` is due, ``None`` if nothing is missing."""
        return self._missing.time_until_attempt(self._known_version)

    def obtain_missing(self) -> Attempt | None:
        """Request an announced version that is overdue, or schedule a read for it.

        Return the attempt that was made, if any. Must not be called by the task of
        :meth:`run`, which may be waiting for the store.
        """
        attempt = self._missing.begin_attempt(self._known_version)
        if attempt is None:
            return None
        if attempt.peer:
            self._peers.request_from(attempt.peer, self.name, self._replica.version)
        if attempt.reads_store:
            self._reader.interrupt_wait()
            self._must_read_once = True
            self._wake_event.set()
        return attempt

    def record_answer_to_other_node(self) -> None:
        """Record that the store has just answered another node.

        If it had not done so for a while, this node calls the store again at once: it
        may have lost the call in progress.
        """
        self._record_activity()
        self._reader.record_answer_to_other_node()

    def interrupt_doubtful_wait(self) -> bool:
        """Interrupt a wait for changes that the store may have lost; return whether.

        Must not be called by the task of :meth:`run`.
        """
        return self._reader.interrupt_doubtful_wait()

    def time_until_doubt(self) -> timedelta | None:
        """Return when :meth:`interrupt_doubtful_wait` is due, ``None`` without wait."""
        return self._reader.time_until_doubt

    def wake(self) -> None:
        """Wake the task if it waits for updates."""
        self._wake_event.set()

    def run(self) -> None:
        """Keep the table up to date until stopped; exceptions go to ``on_failure``."""
        while not self._stopping.is_set():
            try:
                pause = self.step()
            except Exception as error:
                self._on_failure(error)
                pause = MAX_RETRY_PAUSE
            self.pause_event.wait(pause.total_seconds())
            self._wake_event.clear()
            self._reader.retry_event.clear()

    def step(self) -> timedelta:
        """Read the store or request changes if needed; return the next pause."""
        self._reader.advance_to(self._replica.version)
        source = self._choose_source()
        if source is not self._source:
            self._source = source
            self._peers.record_source(self.name, source)
        if source is Source.UPDATES:
            return self._pause_for_updates()
        pause = self._read_store(source)
        # A wait that ends without a change advances the version too.
        reader = self._reader
        self._replica.offer(TableChanges(reader.version_before, reader.version, ()))
        reader.record_outcome()
        if reader.confirmed_at is not None:
            self.record_confirmation(reader.version, reader.confirmed_at)
        return pause

    def apply_read_changes(self, changes: TableChanges) -> None:
        """Apply ``changes`` read from the store and publish what was new."""
        previous = self._replica.version
        if self._replica.offer(changes) is not OfferOutcome.APPLIED:
            return
        update = self._changes_since(previous, changes)
        if update is None:
            return
        version = self._reader.changed_version
        if previous is not None and changes.is_whole and _may_remove_rows(update):
            # A listing doesn't state the version of a removal, only its own.
            version = changes.version
        update = replace(
            update, changed_version=version, confirmed_at=self._reader.confirmed_at
        )
        self._peers.publish(self.name, update, self.reaches_store)
        self._announce(version)

    def handle_answer(self) -> None:
        """Handle that the store answered this node."""
        self._record_activity()
        self._notify_reachability("")

    def handle_failure(self, reason: str) -> None:
        """Handle that calls of this node to the store have begun to fail."""
        self._notify_reachability(reason)

    def handle_contact(
        self, reachability: Reachability, answered_at: timedelta | None
    ) -> None:
        """Handle that the reachability of the store for this node has changed."""
        self._peers.record_store_contact(self.name, reachability, answered_at)

    @staticmethod
    def _confirm(
        confirmed_at: timedelta | None, changes: TableChanges | None
    ) -> TableChanges | None:
        """Return ``changes``, which were read after the time ``confirmed_at``."""
        if changes is None:
            return None
        return replace(changes, confirmed_at=confirmed_at)

    @property
    def _has_contact(self) -> bool:
        """Whether this node or a reader of its domain reaches the store."""
        return self.reaches_store or self._reader_reports.state is ReaderState.ACTIVE

    @property
    def _known_version(self) -> StoreVersion:
        return self._replica.version or ORIGIN

    def _offer(self, changes: TableChanges) -> OfferOutcome:
        """Offer changes from another node to the local copy; note a gap before them."""
        if changes.version > self._known_version:
            self._record_activity()
        outcome = self._replica.offer(changes)
        if changes.confirmed_at is not None and outcome is not OfferOutcome.GAP:
            self.record_confirmation(changes.version, changes.confirmed_at)
        if outcome is OfferOutcome.GAP and self._gap_since is None:
            self._gap_since = self._clock.elapsed()
            self._must_request_gap = True
            self._wake_event.set()
        if outcome is OfferOutcome.APPLIED:
            self._gap_since = None
            self._reader.advance_to(self._replica.version)
            self._wake_event.set()
        return outcome

    def _changes_since(
        self, previous: StoreVersion | None, changes: TableChanges
    ) -> TableChanges | None:
        """Return what is new since ``previous`` after ``changes`` were applied.

        ``None`` if no rows changed.
        """
        update = changes if previous is None else self._replica.changes_since(previous)
        return update if update is not None and update.entries else None

    def _announce_received(self, changes: TableChanges) -> None:
        """Announce changes that another reader of this domain read and published.

        Its own announcement may be lost, and this reader no longer reads them itself.
        """
        if changes.changed_version > ORIGIN and self._peers.role() is Role.READER:
            self._announce(changes.changed_version)

    def _announce(self, version: StoreVersion) -> None:
        """Announce ``version`` to all failure domains unless that was done before."""
        if self._missing.record(version, "", self._known_version):
            self._peers.publish_version(self.name, version)

    def _choose_source(self) -> Source:
        """Return whether to read the store now, and why, or to wait for updates."""
        if self._replica.version is None and self._request_initial_table():
            return Source.UPDATES
        role = self._peers.role()
        if role in CONTINUOUS_SOURCES:
            if self._reader.is_failing:
                # Requests a gap, which this reader cannot close by reading.
                self._gap_request_failed()
            return CONTINUOUS_SOURCES[role]
        if self._must_read_once:
            self._must_read_once = False
            return Source.OVERDUE
        if self._gap_request_failed():
            return Source.GAP
        readers = self._reader_reports.state
        if readers is ReaderState.SILENT and not self._is_in_start_grace():
            return Source.NO_READER
        if readers is ReaderState.CUT_OFF and role is Role.RESERVE:
            return Source.READERS_CUT_OFF
        return Source.UPDATES

    def _read_store(self, source: Source) -> timedelta:
        """Make one call to the store; return the pause before the next one."""
        if source not in SINGLE_READ_SOURCES:
            return self._reader.read(self._longest_call_wait(source))
        pause = self._reader.read_once(SINGLE_READ_WAIT)
        if self._reader.needs_listing:
            self._must_read_once = True
        return pause

    def _longest_call_wait(self, source: Source) -> timedelta:
        """Return how long a call may wait while the store is known to answer."""
        is_continuous_reader = source in CONTINUOUS_SOURCES.values()
        if is_continuous_reader and self._reader_reports.state is ReaderState.ACTIVE:
            if self._is_backup_reader:
                return MAX_READER_CALL_WAIT
            return min(MAX_READER_CALL_WAIT, self.max_call_wait)
        return min(MAX_CALL_WAIT, self.max_call_wait)

    def _is_in_start_grace(self) -> bool:
        """Return whether this node has just started and already has the table."""
        age = self._clock.elapsed() - self._started_at
        return self._replica.version is not None and age < START_GRACE

    def _request_initial_table(self) -> bool:
        """Request the table from other nodes; return whether to wait for an answer."""
        if self._clock.elapsed() - self._started_at >= START_REQUEST_WINDOW:
            return False
        return self._peers.request_changes(self.name, None)

    def _gap_request_failed(self) -> bool:
        """Request missing changes from another node; return whether that failed.

        It has failed if there is no such node or its answer did not arrive in time.
        """
        since = self._gap_since
        if since is None:
            return False
        if self._must_request_gap:
            self._must_request_gap = False
            if self._peers.request_changes(self.name, self._replica.version):
                return False
        elif self._clock.elapsed() - since < REQUEST_TIMEOUT:
            return False
        self._gap_since = None
        return True

    def _pause_for_updates(self) -> timedelta:
        """Return how long to wait for updates before the readers count as silent."""
        self._reader.record_end_of_reading()
        if self._replica.version is None or self._gap_since is not None:
            return REQUEST_TIMEOUT
        return max(self._reader_reports.time_until_silent, SINGLE_READ_WAIT)

    def _record_activity(self) -> None:
        """Record that the store answered some node; notify of the end of an outage."""
        if self._activity.record_answer(self._has_contact):
            self._listener.handle_store_return()

    def _notify_reachability(self, reason: str) -> None:
        """Notify the listener if the reachability of the store has changed."""
        with self._reachability_lock:
            reachable = self._has_contact
            if reachable == self._notified_reachability:
                return
            self._notified_reachability = reachable
            if reachable:
                self._listener.handle_recovery()
            else:
                self._activity.record_loss()
                self._listener.handle_outage(reason)


def _may_remove_rows(changes: TableChanges) -> bool:
    """Return whether a copy to which ``changes`` are applied may lose rows."""
    return changes.is_whole or any(entry.value is None for entry in changes.entries)
