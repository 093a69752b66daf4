"""Shares between nodes which software version began a stream.

A stream may go on only at the version that began it, and its caller may take it up at
any node.  Once a service has several versions, each node sends the records of its
streams to a few keepers.  Nodes ask these for streams that they don't know.
"""

import itertools
import math
import threading
from collections import defaultdict, deque
from collections.abc import Callable
from datetime import timedelta
from functools import singledispatchmethod

from runhatch_coordination import Clock, Membership, Vm
from runhatch_server._waiting import wait_for_event
from runhatch_server.decisions import (
    KEEPER_SLOTS,
    RECORD_RETENTION,
    KeeperChange,
    RecordOutcome,
    StreamKey,
    StreamRecord,
    StreamRecords,
    choose_keepers,
    compare_keepers,
    keeper_slot,
)
from runhatch_server.gateway._stream_inquiry import StreamFinding, StreamInquiry
from runhatch_server.gateway._stream_record_batches import RecordBatches, SendFact
from runhatch_server.observability import log_change
from runhatch_server.peers import (
    Member,
    StreamVersionAnswer,
    StreamVersionQuery,
    StreamVersionRecord,
    StreamVersionsUpdate,
)

UPDATE_INTERVAL = timedelta(seconds=1)
"""Longest time until a change of the keepers or of a service's versions is noticed."""
RESEND_DELAY = timedelta(seconds=5)
"""Time after which records are sent once more.  Connections that have gone silent, and
lose what is sent, are replaced within it."""
QUERY_REPEAT_DELAY = timedelta(milliseconds=100)
"""Time after which keepers that haven't answered are asked once more, over new
connections: the present ones may have gone silent."""
REOPEN_INTERVAL = timedelta(seconds=1)
"""Shortest interval between new connections to one node."""
QUERY_TIMEOUT = timedelta(milliseconds=300)
"""Longest wait for the answers of keepers."""
KEEPER_LINK_RETENTION = timedelta(seconds=5)
"""How long a link to a node is kept after a message to it."""
MAX_RECORDS_PER_HANDOVER = 10_000
"""Maximum number of records sent to a new keeper, the newest first.  They may become
one message of the link, which must stay below the receiver's limit of 1 MiB."""
MILLISECOND = timedelta(milliseconds=1)
StreamVersionMessage = StreamVersionsUpdate | StreamVersionQuery | StreamVersionAnswer
"""Messages between nodes about the versions that began streams."""


class StreamVersionExchange:
    """Exchanges the records of one node with their keepers; thread-safe.

    ``has_several_versions`` returns whether targets of several software versions may
    have begun streams of a service that are still in progress.  ``record_seen`` records
    that one had begun a stream of a service a time ago.  ``can_deny`` returns whether
    this node would have the record of any stream of a service.
    """

    def __init__(
        self,
        membership: Membership,
        clock: Clock,
        has_several_versions: Callable[[str], bool],
        record_seen: Callable[[str, str, timedelta], None],
        can_deny: Callable[[str], bool],
        send: SendFact,
        reopen: Callable[[str], None],
        wait: Callable[[threading.Event, timedelta], None] = wait_for_event,
    ) -> None:
        self._membership = membership
        self._clock = clock
        self._has_several_versions = has_several_versions
        self._record_seen = record_seen
        self._can_deny = can_deny
        self._send = send
        self._reopen = reopen
        self._wait = wait
        self._lock = threading.Lock()
        self._records = StreamRecords()
        self._unsent: dict[str, dict[str, threading.Event | None]] = defaultdict(dict)
        """Attempt ids by service whose records no keeper was sent, oldest first, with
        the events to set once one was sent it, if a caller waits for that."""
        self._alive: list[Vm] = []
        self._keepers: list[list[Vm]] = []
        """Keepers by slot among ``_alive``; empty while nothing is shared."""
        self._resends: deque[tuple[timedelta, StreamKey]] = deque()
        """Records to send once more, with the time at which they are due."""
        self._used_at: dict[str, timedelta] = {}
        """When a message was last sent to each address."""
        self._reopened_at: dict[str, timedelta] = {}
        """When the link to each address was last reopened."""
        self._numbers = itertools.count(1)
        self._inquiries: dict[int, StreamInquiry] = {}
        self.update_wanted = threading.Event()
        """Set when there are records to send."""

    def record_begun(
        self, attempt_id: str, service: str, software_version: str
    ) -> threading.Event | None:
        """Record that a target of ``software_version`` began a stream.

        Repeated for a stream that is still in progress, this extends the time for which
        it is recorded.

        Return an event that is set once a keeper was sent the record of a new stream,
        ``None`` if no keeper will be sent one now.
        """
        # Called without the lock: see ``send_updates``.
        is_shared = self._has_several_versions(service)
        key, sent = (service, attempt_id), None
        with self._lock:
            outcome = self._add(key, software_version, self._clock.elapsed(), True)
            if outcome is RecordOutcome.KNOWN:
                return None
            if is_shared and outcome is RecordOutcome.NEW:
                sent = threading.Event()
            self._unsent[service][attempt_id] = sent
        if is_shared:
            self.update_wanted.set()
        return sent

    def find(self, attempt_id: str, service: str) -> StreamFinding:
        """Return what this node or the keepers know of a stream.

        Blocks for at most ``QUERY_TIMEOUT`` if this node has no record of the stream.
        """
        with self._lock:
            held = self._records.find((service, attempt_id), self._clock.elapsed())
        if held is not None:
            return StreamFinding(held.software_version)
        keepers = choose_keepers(keeper_slot(attempt_id), self._membership.alive())
        own = self._membership.own.name
        asked = {vm.name: vm.address for vm in keepers if vm.name != own}
        if not asked:
            return StreamFinding(is_denied=True, may_be_partitioned=True)
        return self._ask(attempt_id, service, asked)

    def send_updates(self) -> None:
        """Send new records to their keepers, and earlier ones to new keepers."""
        now = self._clock.elapsed()
        with self._lock:
            self._records.remove_expired(now)
            services = self._records.services()
        # Called without the lock: its owner may hold another one while it records.
        shared = set(filter(self._has_several_versions, services))
        batches = RecordBatches()
        with self._lock:
            if shared:
                batches = self._take_batches(shared, now)
            else:
                self._keepers = []
                self._resends.clear()
            self._drop_unsent(now)
            self._used_at.update(dict.fromkeys(batches.addresses, now))
        batches.send(self._send)

    def choose_links(self, alive: list[Vm]) -> list[Vm]:
        """Return the nodes to link to for streams: those sent to lately."""
        now = self._clock.elapsed()
        with self._lock:
            self._used_at = _drop_before(now - KEEPER_LINK_RETENTION, self._used_at)
            self._reopened_at = _drop_before(now - REOPEN_INTERVAL, self._reopened_at)
            return [vm for vm in alive if vm.address in self._used_at]

    @singledispatchmethod
    def handle_message(self, fact: StreamVersionMessage, sender: Member) -> None:
        """Apply a message of a peer about the versions that began streams."""
        raise NotImplementedError(type(fact))

    @handle_message.register
    def _apply_update(self, fact: StreamVersionsUpdate, sender: Member) -> None:
        now = self._clock.elapsed()
        # Called without the lock: see ``send_updates``.
        for record in fact.records:
            age = record.age_ms * MILLISECOND
            self._record_seen(record.service, record.software_version, age)
        with self._lock:
            if not self._keepers:
                # Without them, a change before the next update would go unnoticed.
                self._update_keepers()
            for record in fact.records:
                age = record.age_ms * MILLISECOND
                if age < RECORD_RETENTION:
                    key = record.service, record.attempt_id
                    self._add(key, record.software_version, now - age, False)

    @handle_message.register
    def _answer_query(self, fact: StreamVersionQuery, sender: Member) -> None:
        now = self._clock.elapsed()
        with self._lock:
            record = self._records.find((fact.service, fact.attempt_id), now)
            self._used_at[sender.address] = now
        if fact.is_repeated:
            self._reopen_link(sender.address)
        version = None if record is None else record.software_version
        # A keeper that has just started may lack the record.
        can_deny = record is None and self._can_deny(fact.service)
        answer = StreamVersionAnswer(
            fact.number,
            version,
            is_conflicting=version is None and not can_deny,
            has_several=self._has_several_versions(fact.service),
        )
        self._send(sender.address, answer)

    @handle_message.register
    def _apply_answer(self, fact: StreamVersionAnswer, sender: Member) -> None:
        with self._lock:
            inquiry = self._inquiries.get(fact.number)
            if inquiry is not None:
                inquiry.record_answer(sender.name, fact)

    def _add(
        self, key: StreamKey, version: str, recorded_at: timedelta, is_own: bool
    ) -> RecordOutcome:
        outcome = self._records.add(key, version, recorded_at, is_own)
        if outcome is RecordOutcome.CONFLICTING:
            service, attempt_id = key
            log_change("stream_version_conflict", service=service, attempt=attempt_id)
        return outcome

    def _ask(
        self, attempt_id: str, service: str, asked: dict[str, str]
    ) -> StreamFinding:
        """Ask the nodes ``asked``, addresses by name, for a version."""
        number, inquiry = next(self._numbers), StreamInquiry(asked)
        with self._lock:
            self._inquiries[number] = inquiry
        try:
            self._send_queries(StreamVersionQuery(number, attempt_id, service), asked)
            self._wait(inquiry.decided, QUERY_REPEAT_DELAY)
            if not inquiry.decided.is_set():
                self._repeat_query(number, attempt_id, service, asked)
                self._wait(inquiry.decided, QUERY_TIMEOUT - QUERY_REPEAT_DELAY)
        finally:
            with self._lock:
                del self._inquiries[number]
        if inquiry.software_version is None:
            log_change(
                "stream_version_unknown",
                service=service,
                attempt=attempt_id,
                asked=sorted(asked),
                unanswered=sorted(inquiry.unanswered),
            )
        # Suspected nodes may run on at the other side of a partition.
        return inquiry.finding(may_be_partitioned=bool(self._membership.suspects()))

    def _send_queries(self, query: StreamVersionQuery, asked: dict[str, str]) -> None:
        for address in asked.values():
            self._send(address, query)

    def _repeat_query(
        self, number: int, attempt_id: str, service: str, asked: dict[str, str]
    ) -> None:
        """Ask the nodes that haven't answered once more, over new connections."""
        with self._lock:
            unanswered = {
                name: asked[name] for name in self._inquiries[number].unanswered
            }
        query = StreamVersionQuery(number, attempt_id, service, is_repeated=True)
        for address in unanswered.values():
            self._reopen_link(address)
            self._send(address, query)

    def _take_batches(self, shared: set[str], now: timedelta) -> RecordBatches:
        """Return the records to send of ``shared`` services, by address."""
        batches = RecordBatches()
        change = self._update_keepers()
        if change.new_keepers:
            self._add_handovers(batches, change, shared, now)
        # Due at full seconds, so that one message carries the records of a second.
        due = timedelta(seconds=math.ceil((now + RESEND_DELAY).total_seconds()))
        while self._resends and self._resends[0][0] <= now:
            self._add_record(batches, self._resends.popleft()[1], now)
        for service in shared & self._unsent.keys():
            for attempt_id, sent in self._unsent.pop(service).items():
                key = service, attempt_id
                self._add_record(batches, key, now, sent)
                self._resends.append((due, key))
        return batches

    def _add_record(
        self,
        batches: RecordBatches,
        key: StreamKey,
        now: timedelta,
        sent: threading.Event | None = None,
    ) -> None:
        """Add the record of a stream for its keepers to ``batches``.

        ``sent`` is set once one of them was sent it, or if there is nothing to send.
        """
        message = _make_message(key, self._records.find(key, now), now)
        keepers = self._keepers[keeper_slot(key[1])]
        others = [vm for vm in keepers if vm.name != self._membership.own.name]
        if message is not None:
            for vm in others:
                batches.add(vm.address, message, sent)
        if sent is not None and (message is None or not others):
            sent.set()

    def _update_keepers(self) -> KeeperChange:
        """Choose the keepers again if other nodes are alive, and return the change."""
        alive = self._membership.alive()
        if self._keepers and alive == self._alive:
            return KeeperChange()
        previous, self._alive = self._keepers, alive
        self._keepers = [choose_keepers(slot, alive) for slot in range(KEEPER_SLOTS)]
        if not previous:
            return KeeperChange()
        return compare_keepers(previous, self._keepers, self._membership.own)

    def _add_handovers(
        self,
        batches: RecordBatches,
        change: KeeperChange,
        shared: set[str],
        now: timedelta,
    ) -> None:
        """Add the records for nodes that have become keepers to ``batches``."""
        for key, record in self._records.live(now):
            service, attempt_id = key
            slot = keeper_slot(attempt_id)
            is_handed_over = record.is_own or slot in change.led_slots
            is_unsent = attempt_id in self._unsent.get(service, ())
            message = _make_message(key, record, now)
            if not is_handed_over or is_unsent or service not in shared or not message:
                continue
            for vm in change.new_keepers.get(slot, ()):
                if batches.count(vm.address) < MAX_RECORDS_PER_HANDOVER:
                    batches.add(vm.address, message)

    def _reopen_link(self, address: str) -> None:
        """Replace the connection to ``address``, unless that was just done."""
        now = self._clock.elapsed()
        with self._lock:
            at = self._reopened_at.get(address)
            if at is not None and now - at < REOPEN_INTERVAL:
                return
            self._reopened_at[address] = now
        self._reopen(address)

    def _drop_unsent(self, now: timedelta) -> None:
        """Forget unsent records that have expired, up to the first still valid."""
        for service, attempts in list(self._unsent.items()):
            while attempts:
                attempt_id = next(iter(attempts))
                if self._records.find((service, attempt_id), now) is not None:
                    break
                del attempts[attempt_id]
            if not attempts:
                del self._unsent[service]


def _make_message(
    key: StreamKey, record: StreamRecord | None, now: timedelta
) -> StreamVersionRecord | None:
    """Return the message for a record, ``None`` if it has no version to share."""
    if record is None or record.software_version is None:
        return None
    service, attempt_id = key
    age_ms = round((now - record.recorded_at) / MILLISECOND)
    return StreamVersionRecord(attempt_id, service, record.software_version, age_ms)


def _drop_before(start: timedelta, times: dict[str, timedelta]) -> dict[str, timedelta]:
    return {address: at for address, at in times.items() if at > start}
