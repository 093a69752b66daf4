"""A watched table that few nodes read and the others are told.

Were each node to read the store, calls to it would grow with the number of nodes.
So two readers a failure domain do, and tell the nodes of their domain whatever they
read, together with the version that it follows on.  :class:`SharedTable` decides for
one table on one node whether to read or to be told:

- a reader reads, and so does a witness, on whom nobody relies;
- a node that has heard no reader for a while reads by itself until it does;
- one that is told that its readers cannot reach the store reads if it is in reserve;
- one that misses something asks a reader for it, and reads the store if none answers;
- one that hears of a newer version than its readers tell reads once, so that a reader
  that is cut off without noticing it makes nobody late.

What a node has taken in it never takes back, whoever tells it.
"""

import random
import threading
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum
from typing import Protocol

from runhatch_coordination._clock import Clock
from runhatch_coordination._feed import (
    LONGEST_RETRY,
    LONGEST_WAIT,
    Entry,
    Feed,
    FeedListener,
    TableWatcher,
)
from runhatch_coordination._history import ORIGIN, StoreVersion
from runhatch_coordination._peers import Role
from runhatch_coordination._replica import Offer, TableChanges, TableReplica
from runhatch_coordination._sources import READ_ONCE, READING, Source

START_PATIENCE = timedelta(seconds=1.2)
"""How long a node that has just started asks others before it reads the store: nodes
that start together would all read it, two calls a table each."""
ASK_EVERY = timedelta(milliseconds=400)
"""How long an answer is waited for before another node is asked, or the store: one
takes some 5 ms, and a whole table of 20 KB 20 ms at 10 Mbit/s."""
START_GRACE = timedelta(seconds=2.5)
"""How long after its start a node that was told the table waits for its readers, and
before it takes its part in reading: it first learns who else is there."""
LONG_WAIT = timedelta(seconds=24)
"""How long the store is asked to keep a reader's call while another reader is heard,
which tells it of a change if the answer is lost; the store allows 30 s.  Each wait that
ends without a change is a call paid for nothing."""
SHORT_WAIT = timedelta(milliseconds=200)
"""How long the store keeps the call of a node that reads once."""
SILENCE_JITTER = 0.3
"""By up to this share nodes differ in when they take a reader for silent: when it ends,
those that it told do not all call the store at the same moment."""


@dataclass(frozen=True, slots=True)
class SharedTableBounds:
    """How soon changes must be known.

    Changes within ``coalesce`` are read in one call.  A reader that has told nothing
    for ``silent`` is no longer relied on; it tells several times as often.
    """

    coalesce: timedelta
    silent: timedelta


class TablePeers(Protocol):
    """The other nodes, as a shared table sees them."""

    def role(self) -> Role:
        """Return what this node does about watched tables."""

    def ask(self, table: str, version: StoreVersion | None) -> bool:
        """Ask another node what has changed since ``version``, if there is one to ask.

        What it answers is passed to :meth:`SharedTable.told`, if it answers.
        """

    def publish(self, table: str, changes: TableChanges, reachable: bool) -> None:
        """Tell the nodes of this failure domain what was read."""

    def notice(self, table: str, version: StoreVersion) -> None:
        """Tell nodes everywhere that the table has had ``version``."""

    def note_source(self, table: str, source: Source) -> None:
        """Note that this node gets the table from elsewhere now."""


class Tellers(Enum):
    """What is heard of the readers of this node's failure domain."""

    FRESH = "fresh"
    CUT_OFF = "cut off"
    """They are heard and say that they cannot reach the store."""
    SILENT = "silent"


@dataclass(frozen=True, slots=True)
class _Heard:
    at: timedelta
    reachable: bool


class SharedTable:
    """One table on one node; :meth:`run` is one task's whole work.

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
        self._watcher: TableWatcher[bytes] = TableWatcher(
            feed, _Intake(self), clock, stopping, on_failure, bounds.coalesce
        )
        jitter = random.uniform(0, SILENCE_JITTER) if jitter is None else jitter
        self._silent = bounds.silent * (1 + jitter)
        self._started = clock.elapsed()
        self._position = ORIGIN
        self._heard: dict[str, _Heard] = {}
        self._newest_noticed = ORIGIN
        self._gap_since: timedelta | None = None
        self._overdue = False
        self._asks = False
        self._source = Source.TOLD
        self._wake = threading.Event()
        self._reach_lock = threading.Lock()
        self._own_reach: bool | None = None
        self._told_reach = True

    @property
    def version(self) -> StoreVersion | None:
        """The version of what is known, ``None`` before anything is."""
        return self._replica.version

    @property
    def position(self) -> StoreVersion:
        """The version after which the store was asked last."""
        return self._position

    @property
    def read_version(self) -> StoreVersion:
        """The version of what was read from the store last."""
        return self._watcher.version

    @property
    def reachable(self) -> bool:
        """Whether this node itself reaches the store, as far as it knows.

        What it hears of others does not count: two readers that are both cut off would
        believe each other.
        """
        return self._own_reach is not False

    @property
    def unchanged(self) -> TableChanges | None:
        """What tells others that nothing is new here, ``None`` if nothing is known."""
        return self._replica.unchanged

    def since(self, version: StoreVersion | None) -> TableChanges | None:
        """Return what has changed since ``version``, ``None`` if nothing is known."""
        return self._replica.since(version)

    def told(self, teller: str, changes: TableChanges | None, reachable: bool) -> None:
        """Take in what a reader tells: what changed, perhaps nothing, and its reach."""
        self._heard[teller] = _Heard(self._clock.elapsed(), reachable)
        if reachable:
            self._pass_on_reach("")
        outcome = Offer.KNOWN if changes is None else self._replica.offer(changes)
        if outcome is Offer.GAP and self._gap_since is None:
            self._gap_since = self._clock.elapsed()
            self._asks = True
            self._wake.set()
        if outcome is Offer.TAKEN:
            self._gap_since = None
            self._seek()
            self._wake.set()
        if not reachable:
            self._pass_on_reach("no reader reaches the store")

    def noticed(self, version: StoreVersion) -> bool:
        """Take in that the table has had ``version``; tell whether that is news."""
        known = self._replica.version
        if version <= max(self._newest_noticed, known or ORIGIN):
            return False
        self._newest_noticed = version
        self._watcher.noticed(version)
        if self._tellers() is Tellers.CUT_OFF:
            self._overdue = True
            self._wake.set()
        return True

    def check(self) -> None:
        """Read once if a change that was noticed elsewhere is overdue here."""
        if self._watcher.check():
            self._overdue = True
            self._wake.set()

    def wake(self) -> None:
        """Have the task look at once at what there is to do."""
        self._wake.set()

    def run(self) -> None:
        """Keep the table up to date until told to stop, whatever a round raises."""
        while not self._stopping.is_set():
            try:
                pause = self.step()
            except Exception as error:
                self._on_failure(error)
                pause = LONGEST_RETRY
            # Only who rests is woken by news; who reads pauses between two calls.
            rests = self._source is Source.TOLD
            ends = self._wake if rests else self._stopping
            ends.wait(pause.total_seconds())
            self._wake.clear()

    def step(self) -> timedelta:
        """Read, or ask if need be; returns how long to pause afterwards."""
        self._seek()
        source = self._choose_source()
        if source is not self._source:
            self._source = source
            self._peers.note_source(self.name, source)
        if source is Source.TOLD:
            return self._rest()
        self._position = self._watcher.version
        pause = self._watcher.step(self._wait_of_call(source))
        if source in READ_ONCE and self._watcher.lists_next:
            self._overdue = True
        # A wait that ended without a change moves the version as well.
        self._replica.offer(TableChanges(self._position, self._watcher.version, ()))
        if not self._watcher.failing:
            self.reached(True, "")
        return pause

    def read(self, changes: TableChanges) -> None:
        """Take in what was read from the store, and tell the others."""
        before = self._replica.version
        if self._replica.offer(changes) is not Offer.TAKEN:
            return
        news = changes if before is None else self._replica.since(before)
        if news is None or not news.entries:
            return
        self._peers.publish(self.name, news, True)
        self._peers.notice(self.name, news.version)

    def reached(self, reachable: bool, reason: str) -> None:
        """Note whether this node itself reaches the store."""
        self._own_reach = reachable
        self._pass_on_reach(reason)

    def _choose_source(self) -> Source:
        """Return whether to read now, and why, or to be told."""
        if self._replica.version is None and self._is_told_first():
            return Source.TOLD
        role = self._peers.role()
        if role in READING:
            return READING[role]
        if self._overdue:
            self._overdue = False
            return Source.OVERDUE
        if self._is_gap_left():
            return Source.GAP
        tellers = self._tellers()
        if tellers is Tellers.SILENT and not self._may_be_told_yet():
            return Source.SILENT
        if tellers is Tellers.CUT_OFF and role is Role.RESERVE:
            return Source.CUT_OFF
        return Source.TOLD

    def _wait_of_call(self, source: Source) -> timedelta:
        """Return how long the store is asked to wait for a change."""
        if source in READ_ONCE:
            return SHORT_WAIT
        is_backed = source in READING.values()
        if is_backed and self._tellers() is Tellers.FRESH:
            return LONG_WAIT
        return LONGEST_WAIT

    def _may_be_told_yet(self) -> bool:
        """Tell whether this node has just started, and knows the table."""
        age = self._clock.elapsed() - self._started
        return self._replica.version is not None and age < START_GRACE

    def _is_told_first(self) -> bool:
        """Ask others for the table; tell whether to wait for their answer."""
        if self._clock.elapsed() - self._started >= START_PATIENCE:
            return False
        return self._peers.ask(self.name, None)

    def _is_gap_left(self) -> bool:
        """Ask for what is missing; tell whether nobody has told it in time."""
        since = self._gap_since
        if since is None:
            return False
        if self._asks:
            self._asks = False
            if self._peers.ask(self.name, self._replica.version):
                return False
        elif self._clock.elapsed() - since < ASK_EVERY:
            return False
        self._gap_since = None
        return True

    def _rest(self) -> timedelta:
        """Return how long to wait for news: until a reader would count as silent."""
        self._own_reach = None
        if self._replica.version is None or self._gap_since is not None:
            return ASK_EVERY
        now = self._clock.elapsed()
        newest = max((heard.at for heard in self._heard.values()), default=now)
        return max(newest + self._silent - now, SHORT_WAIT)

    def _tellers(self) -> Tellers:
        now = self._clock.elapsed()
        heard = [each for each in self._heard.values() if now - each.at < self._silent]
        if any(each.reachable for each in heard):
            return Tellers.FRESH
        return Tellers.CUT_OFF if heard else Tellers.SILENT

    def _seek(self) -> None:
        """Have the store asked only for what comes after what is known."""
        version = self._replica.version
        if version is not None:
            self._watcher.seek(version)

    def _pass_on_reach(self, reason: str) -> None:
        """Tell the listener when the store is lost or regained."""
        with self._reach_lock:
            reachable = bool(self._own_reach) or self._tellers() is Tellers.FRESH
            if reachable == self._told_reach:
                return
            self._told_reach = reachable
            if reachable:
                self._listener.reachable()
            else:
                self._listener.unreachable(reason)


class _Intake:
    """Passes what a watcher reads on to its shared table."""

    def __init__(self, table: SharedTable) -> None:
        self._table = table

    def listed(self, entries: tuple[Entry[bytes], ...]) -> None:
        """Take in the whole table."""
        version = self._table.read_version
        self._table.read(TableChanges(ORIGIN, version, entries, whole=True))

    def changed(self, entries: tuple[Entry[bytes], ...]) -> None:
        """Take in changes of some rows."""
        table = self._table
        table.read(TableChanges(table.position, table.read_version, entries))

    def restored(self) -> None:
        """Pass over: the copy tells so when it takes in the table."""

    def unreachable(self, reason: str) -> None:
        """Note that this node does not reach the store."""
        self._table.reached(False, reason)

    def reachable(self) -> None:
        """Note that this node reaches the store again."""
        self._table.reached(True, "")
