"""Watched tables of one gateway, and their exchange with other nodes.

A reader broadcasts the changes that it reads from the store to the nodes of its failure
domain.  It also broadcasts its current versions several times within the time after
which it counts as silent.
"""

import random
import threading
from collections.abc import Callable, Iterable
from datetime import timedelta
from typing import TypeVar

import eliot

from runhatch_coordination import (
    MAX_READER_CALL_WAIT,
    START_GRACE,
    Clock,
    Entry,
    FeedListener,
    Membership,
    Reachability,
    Role,
    SharedTable,
    SharedTableBounds,
    Source,
    StoreVersion,
    TableChanges,
    Vm,
    choose_readers,
    choose_role,
    era_of,
)
from runhatch_server.gateway._counted_feed import CountedFeed
from runhatch_server.gateway._uplink import UplinkUsage
from runhatch_server.gateway._watched_tables import DecodingListener, WatchedTable
from runhatch_server.observability import Metrics, log_change
from runhatch_server.peers import (
    UNKNOWN_VERSION,
    Broadcaster,
    Fact,
    Listener,
    Member,
    TableConfirmation,
    TableStateRequest,
    TableUpdate,
    TableVersion,
    pack_rows,
    unpack_rows,
)

ValueT = TypeVar("ValueT")

COALESCING_WINDOW = timedelta(milliseconds=150)
DRAIN_MARGIN = timedelta(milliseconds=1_300)
MIN_TARGET_COALESCING_WINDOW = timedelta(milliseconds=300)
MAX_TARGET_COALESCING_WINDOW = timedelta(milliseconds=1_500)
"""Changes within these times are read in one call, as each call is billed.  Of the
changes of targets only draining is urgent.  Nodes must know of it ``DRAIN_MARGIN``
before requests to the target must end: enough for the call, for messages in flight, and
for a node whose readers are cut off to be notified by another failure domain."""
SILENCE_TIMEOUT_SHARE = 0.4
"""Share of the drain time after which a reader that sends nothing is not relied on, so
that changes it missed are still read in time."""
HEARTBEATS_PER_SILENCE_TIMEOUT = 2
"""Heartbeats that a reader sends within the silence timeout.  With fewer, a late one
makes the nodes of its domain read the store themselves once; more wake idle nodes more
often."""
MIN_ATTEMPT_INTERVAL = timedelta(milliseconds=20)
IDLE_ATTEMPT_INTERVAL = timedelta(seconds=2)
"""Shortest interval between two checks for missing versions, and the interval while
none is missing; an announcement starts one at once."""
MILLISECOND = timedelta(milliseconds=1)
RECONNECT_INTERVAL = timedelta(seconds=2)
"""Interval between reconnections to a silent reader."""


class GatewayTables:
    """All watched tables of a node, a :class:`runhatch_coordination.TablePeers`."""

    def __init__(
        self,
        membership: Membership,
        clock: Clock,
        metrics: Metrics,
        stopping: threading.Event,
        drain: timedelta,
        send: Callable[[str, Fact], None],
        publish: Callable[[Fact], None],
        seeds: Callable[[], Iterable[str]],
    ) -> None:
        self._membership = membership
        self._clock = clock
        self._metrics = metrics
        self._stopping = stopping
        self._silence_timeout = drain * SILENCE_TIMEOUT_SHARE
        self._send = send
        self._publish = publish
        self._seeds = seeds
        self._tables: dict[str, SharedTable] = {}
        self._confirmed_tables: set[str] = set()
        """Names of the tables whose age matters."""
        self._broadcaster: Broadcaster | None = None
        self._listener: Listener | None = None
        self._started_at = clock.elapsed()
        self._role = self._initial_role()
        self._readers: dict[str, Vm] = {}
        self._is_second = False
        self._receiver_count = 0
        self.uplink = UplinkUsage()
        """Bytes that the broadcasts of this node have put on its uplink."""
        self._received_at: dict[str, timedelta] = {}
        self._updated_at: dict[str, timedelta] = {}
        self._renewed_at: dict[str, timedelta] = {}
        self.version_announced = threading.Event()
        """Set when another node announces a new version of a table."""

    @property
    def attempt_interval(self) -> timedelta:
        """The time until the next call of :meth:`check_overdue_tables` is due."""
        tables = self._tables.values()
        due = [table.time_until_attempt() for table in tables]
        due += [table.time_until_doubt() for table in tables]
        pauses = [pause for pause in due if pause is not None]
        return max(MIN_ATTEMPT_INTERVAL, min(pauses, default=IDLE_ATTEMPT_INTERVAL))

    @property
    def heartbeat_interval(self) -> timedelta:
        """The interval between heartbeats of a reader."""
        return self._silence_timeout / HEARTBEATS_PER_SILENCE_TIMEOUT

    @property
    def can_broadcast(self) -> bool:
        """Whether this node can broadcast to other nodes."""
        return self._broadcaster is not None

    @property
    def is_reader(self) -> bool:
        """Whether this node reads the store for its failure domain."""
        return self._role is Role.READER

    @property
    def reader_addresses(self) -> list[str]:
        """Addresses of the other readers of this failure domain."""
        return [vm.address for vm in self._readers.values()]

    @property
    def is_second_reader(self) -> bool:
        """Whether another node of this failure domain is its first reader."""
        return self._is_second

    def add(
        self,
        table: WatchedTable[ValueT],
        listener: FeedListener[ValueT],
        coalesce: timedelta,
    ) -> None:
        """Watch ``table`` and pass its entries to ``listener``."""
        self._tables[table.name] = SharedTable(
            table.name,
            CountedFeed(table.name, table.feed, self._metrics),
            DecodingListener(table, listener),
            self,
            self._clock,
            self._stopping,
            _log_failure,
            SharedTableBounds(coalesce, self._silence_timeout),
        )

    def attach(
        self, broadcaster: Broadcaster | None, listener: Listener | None
    ) -> None:
        """Use ``broadcaster`` and ``listener`` from now on."""
        self._broadcaster = broadcaster
        self._listener = listener

    def start(self) -> None:
        """Start a task for each table."""
        for name, table in self._tables.items():
            threading.Thread(target=table.run, name=name, daemon=True).start()

    def close(self) -> None:
        """Close the broadcaster and the listener."""
        if self._broadcaster is not None:
            self._broadcaster.close()
        if self._listener is not None:
            self._listener.close()

    def update_readers(self) -> None:
        """Listen to the readers of the current membership; update this node's role."""
        own = self._membership.own
        alive = self._membership.alive()
        readers = choose_readers(own.failure_domain, alive)
        self._receiver_count = sum(
            vm.failure_domain == own.failure_domain and vm.name != own.name
            for vm in alive
        )
        self._is_second = bool(readers) and readers[0].name != own.name
        self._readers = {
            vm.name: vm for vm in readers if vm.name != own.name and vm.broadcast_port
        }
        if self._listener is not None:
            self._listener.update_subscriptions(
                frozenset(map(_url, self._readers.values()))
            )
            self._renew_silent_readers(self._listener)
        is_starting = self._clock.elapsed() - self._started_at < START_GRACE
        role = self._initial_role() if is_starting else choose_role(own, alive)
        for table in self._tables.values():
            table.is_backup_reader = self._is_second and role is Role.READER
        if role is not self._role:
            log_change("role", role=role.value, readers=sorted(self._readers))
            self._role = role
            for table in self._tables.values():
                table.wake()

    def broadcast_state(self, extra_facts: list[Fact]) -> None:
        """Broadcast the tables' current versions and ``extra_facts``, if a reader."""
        if not self.is_reader:
            return
        facts: list[Fact] = []
        for name, table in self._tables.items():
            unchanged = table.empty_changes
            if unchanged is not None:
                if table.reaches_store:
                    self._updated_at[name] = self._clock.elapsed()
                facts.append(
                    _make_changes_message(name, unchanged, table.reaches_store)
                )
        self.broadcast(facts + extra_facts)

    def broadcast(self, facts: list[Fact]) -> None:
        """Broadcast ``facts`` to all listeners."""
        if self._broadcaster is not None and facts:
            size = self._broadcaster.publish(facts)
            self.uplink.record(size, self._receiver_count)

    def check_overdue_tables(self) -> None:
        """Request or read announced versions that are overdue on this node.

        Waits for changes that the store may have lost are interrupted.
        """
        for name, table in self._tables.items():
            if table.interrupt_doubtful_wait():
                log_change("store_wait_interrupted", table=name)
            attempt = table.obtain_missing()
            if attempt is not None:
                log_change(
                    "table_behind",
                    table=name,
                    version=table.version,
                    newest=attempt.newest,
                    waited_s=round(attempt.waited.total_seconds(), 3),
                    peer=attempt.peer,
                    reads_store=attempt.reads_store,
                )

    def apply_changes(self, update: TableUpdate, sender: Member) -> None:
        """Apply the changes of a table that a reader, or a node on request, sent."""
        is_from_reader = sender.name in self._readers
        if is_from_reader:
            self._received_at[sender.name] = self._clock.elapsed()
        table = self._tables.get(update.table)
        if table is None:
            return
        self._updated_at[update.table] = self._clock.elapsed()
        try:
            changes = _decode_changes(update)
        except ValueError as error:
            self._metrics.peer_messages.labels("unreadable").inc()
            log_change("news_unreadable", sender=sender.name, why=str(error))
            return
        if is_from_reader:
            table.apply_changes(sender.name, changes, update.reachable)
        else:
            table.apply_answer(changes)

    def record_store_answer(self) -> None:
        """Record that the store has just answered the holder of the orders' lease."""
        for table in self._tables.values():
            table.record_answer_to_other_node()

    def record_version(self, fact: TableVersion, sender: Member) -> bool:
        """Record a version of a table; return whether it is new to this node."""
        table = self._tables.get(fact.table)
        if table is None or not table.record_version(fact.version, sender.address):
            return False
        self.version_announced.set()
        return True

    def era(self, table: str) -> int | None:
        """Return the era in which ``table`` was read, ``None`` if it was not yet."""
        version = self._tables[table].version
        return None if version is None else era_of(version)

    def may_be_behind(self, table: str) -> bool:
        """Return whether ``table`` may have changed without this node's knowledge."""
        return self._tables[table].may_be_behind

    def confirm_within(self, table: str, interval: timedelta | None) -> None:
        """Confirm at least once an ``interval`` that ``table`` has not changed.

        ``None`` means that the age of its state does not matter.
        """
        self._confirmed_tables.discard(table)
        wait = MAX_READER_CALL_WAIT
        if interval is not None:
            self._confirmed_tables.add(table)
            wait = interval
        self._tables[table].max_call_wait = wait

    def confirmed_at(self, table: str) -> timedelta | None:
        """Return the store's time up to which ``table`` is complete, if known."""
        return self._tables[table].confirmed_at

    def confirmations(self) -> list[Fact]:
        """Return up to when the tables are complete whose age matters."""
        facts: list[Fact] = []
        for name in self._confirmed_tables:
            unchanged = self._tables[name].empty_changes
            if unchanged is not None and unchanged.confirmed_at is not None:
                confirmed_ms = unchanged.confirmed_at // MILLISECOND
                facts.append(TableConfirmation(name, unchanged.after, confirmed_ms))
        return facts

    def record_confirmation(self, fact: TableConfirmation) -> None:
        """Record up to when another node's copy of a table is complete."""
        table = self._tables.get(fact.table)
        if table is not None:
            table.record_confirmation(fact.version, fact.confirmed_ms * MILLISECOND)

    def held_versions(self) -> list[Fact]:
        """Return the newest announced versions of tables that this node has."""
        held = {name: table.held_version for name, table in self._tables.items()}
        return [
            TableVersion(name, version)
            for name, version in held.items()
            if version is not None
        ]

    def changes_since(self, versions: dict[str, StoreVersion]) -> list[Fact]:
        """Return the changes of tables since ``versions``."""
        facts: list[Fact] = []
        for name, version in versions.items():
            table = self._tables.get(name)
            if table is None:
                continue
            changes = table.changes_since(
                None if version == UNKNOWN_VERSION else version
            )
            if changes is not None:
                facts.append(_make_changes_message(name, changes, table.reaches_store))
        return facts

    # Implementation of TablePeers.

    def role(self) -> Role:
        """Return the role of this node for watched tables."""
        return self._role

    def request_changes(self, table: str, version: StoreVersion | None) -> bool:
        """Request the changes of a table from a reader, or else from a seed.

        A node that is a seed itself requests none, as the others request theirs
        from it.
        Return whether a request was sent.
        """
        addresses = self.reader_addresses or list(self._seeds())
        if not addresses or self._membership.own.address in addresses:
            return False
        self.request_from(random.choice(addresses), table, version)
        return True

    def request_from(
        self, address: str, table: str, version: StoreVersion | None
    ) -> None:
        """Request the changes of a table since ``version`` from one node.

        Without a known version, the members are requested too.
        """
        versions = {table: UNKNOWN_VERSION if version is None else version}
        self._send(address, TableStateRequest(versions, version is None))

    def publish(self, table: str, changes: TableChanges, reachable: bool) -> None:
        """Broadcast changes that were read to the nodes of this failure domain."""
        self._updated_at[table] = self._clock.elapsed()
        self.broadcast([_make_changes_message(table, changes, reachable)])

    def publish_version(self, table: str, version: StoreVersion) -> None:
        """Publish ``version`` of the table to the nodes of all failure domains."""
        self._publish(TableVersion(table, version))

    def record_source(self, table: str, source: Source) -> None:
        """Log and count a change of the source of a table."""
        age = self._age(table)
        log_change("table_source", table=table, source=source.value, age_s=age)
        self._metrics.table_sources.labels(table, source.value).inc()

    def record_store_contact(
        self,
        table: str,
        reachability: Reachability,
        answered_at: timedelta | None,
    ) -> None:
        """Log whether this node itself reaches the store."""
        age = None if answered_at is None else self._seconds_since(answered_at)
        log_change(
            "store_contact", table=table, store=reachability.value, answer_age_s=age
        )

    def update_metrics(self) -> None:
        """Update the metrics of the age of each table."""
        for name, table in self._tables.items():
            self._metrics.table_age.labels(name).set(self._age(name))
            answered_at = table.answered_at
            if answered_at is not None:
                age = self._seconds_since(answered_at)
                self._metrics.store_answer_age.labels(name).set(age)

    def _age(self, table: str) -> float:
        """Return the seconds since a table was read or received from a reader."""
        return self._seconds_since(self._updated_at.get(table, self._started_at))

    def _seconds_since(self, moment: timedelta) -> float:
        return round((self._clock.elapsed() - moment).total_seconds(), 3)

    def _initial_role(self) -> Role:
        """Return the role of this node while it doesn't know the other nodes yet.

        Seeds read the store; the other nodes request changes from them.
        """
        seeds = set(self._seeds())
        is_seed = not seeds or self._membership.own.address in seeds
        return Role.READER if is_seed else Role.FOLLOWER

    def _renew_silent_readers(self, listener: Listener) -> None:
        """Reconnect to silent readers."""
        now = self._clock.elapsed()
        for name, vm in self._readers.items():
            received_at = self._received_at.get(
                name, self._renewed_at.setdefault(name, now)
            )
            last_try = max(received_at, self._renewed_at[name])
            if now - last_try >= RECONNECT_INTERVAL:
                self._renewed_at[name] = now
                listener.reconnect(_url(vm))


def target_coalescing_window(drain: timedelta) -> timedelta:
    """Return the time within which changes of targets are read in one call.

    >>> target_coalescing_window(timedelta(seconds=2)).total_seconds()
    0.7
    """
    available = min(drain - DRAIN_MARGIN, MAX_TARGET_COALESCING_WINDOW)
    return max(MIN_TARGET_COALESCING_WINDOW, available)


def _url(vm: Vm) -> str:
    host = vm.address.rpartition(":")[0]
    return f"tcp://{host}:{vm.broadcast_port}"


def _make_changes_message(
    name: str, changes: TableChanges, reachable: bool
) -> TableUpdate:
    rows = [(entry.key, entry.value) for entry in changes.entries]
    return TableUpdate(
        name,
        changes.after,
        changes.version,
        reachable,
        changes.is_whole,
        pack_rows(rows) if rows else b"",
        changes.changed_version,
        None if changes.confirmed_at is None else changes.confirmed_at // MILLISECOND,
    )


def _decode_changes(update: TableUpdate) -> TableChanges:
    """Decode ``update``; raise ``ValueError`` if its rows cannot be read."""
    rows = unpack_rows(update.rows) if update.rows else []
    entries = tuple(Entry(key, value) for key, value in rows)
    confirmed_ms = update.confirmed_ms
    return TableChanges(
        update.after,
        update.version,
        entries,
        update.whole,
        update.changed,
        None if confirmed_ms is None else confirmed_ms * MILLISECOND,
    )


def _log_failure(error: Exception) -> None:
    eliot.write_traceback()
