"""Records of begun streams that a node sends to their keepers."""

import threading
from collections import defaultdict
from collections.abc import KeysView
from dataclasses import dataclass, field
from typing import Protocol

from runhatch_server.peers import (
    Fact,
    OnSent,
    StreamVersionRecord,
    StreamVersionsUpdate,
)

MAX_RECORDS_PER_MESSAGE = 500


class SendFact(Protocol):
    """Sends a fact to an address, and calls ``on_sent``, if any, once it is sent."""

    def __call__(
        self, address: str, fact: Fact, on_sent: OnSent | None = None, /
    ) -> None: ...


@dataclass(slots=True)
class RecordBatch:
    """Records to send to one keeper, and the events to set once they are sent."""

    records: list[StreamVersionRecord] = field(default_factory=list)
    sent: list[threading.Event] = field(default_factory=list)

    def report_sent(self) -> None:
        """Set the events."""
        for event in self.sent:
            event.set()


class RecordBatches:
    """Records to send, by the address of the keeper."""

    def __init__(self) -> None:
        self._batches: defaultdict[str, RecordBatch] = defaultdict(RecordBatch)

    @property
    def addresses(self) -> KeysView[str]:
        """The addresses of the keepers."""
        return self._batches.keys()

    def count(self, address: str) -> int:
        """Return the number of records for ``address``."""
        return len(self._batches[address].records) if address in self._batches else 0

    def add(
        self,
        address: str,
        record: StreamVersionRecord,
        sent: threading.Event | None = None,
    ) -> None:
        """Add ``record`` for ``address``; ``sent`` is set once it was sent there."""
        batch = self._batches[address]
        batch.records.append(record)
        if sent is not None:
            batch.sent.append(sent)

    def send(self, send_fact: SendFact) -> None:
        """Send all records."""
        for address, batch in self._batches.items():
            *others, last = _make_updates(batch.records)
            for update in others:
                send_fact(address, update)
            # A link sends in order, so the last message is sent after the others.
            send_fact(address, last, batch.report_sent)


def _make_updates(records: list[StreamVersionRecord]) -> list[StreamVersionsUpdate]:
    starts = range(0, len(records), MAX_RECORDS_PER_MESSAGE)
    return [
        StreamVersionsUpdate(records[start : start + MAX_RECORDS_PER_MESSAGE])
        for start in starts
    ]
