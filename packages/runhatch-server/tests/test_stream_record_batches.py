"""Batches of the records of begun streams."""

import threading

import pytest

from runhatch_server.gateway._stream_record_batches import (
    MAX_RECORDS_PER_MESSAGE,
    RecordBatches,
)
from runhatch_server.peers import StreamVersionRecord


class Sender:
    """Keeps what it is to send, and reports it as sent when told to."""

    def __init__(self):
        self.sent = []

    def __call__(self, address, update, on_sent=None, /):
        self.sent.append((address, update.records, on_sent))

    def report(self):
        for *_, on_sent in self.sent:
            if on_sent is not None:
                on_sent()


def make_records(count):
    return [StreamVersionRecord(f"a{n}", "engine", "v1", 0) for n in range(count)]


@pytest.mark.parametrize(
    ("count", "sizes"),
    [
        (1, [1]),
        (MAX_RECORDS_PER_MESSAGE, [MAX_RECORDS_PER_MESSAGE]),
        (MAX_RECORDS_PER_MESSAGE + 1, [MAX_RECORDS_PER_MESSAGE, 1]),
    ],
)
def test_records_of_a_keeper_are_sent_in_order(count, sizes):
    batches, sender = RecordBatches(), Sender()
    records = make_records(count)
    for record in records:
        batches.add("n1:1", record)
    batches.send(sender)

    assert [len(sent) for _, sent, _ in sender.sent] == sizes
    assert [each for _, sent, _ in sender.sent for each in sent] == records


def test_only_the_last_message_reports_what_was_sent():
    """Earlier ones don't have all records."""
    batches, sender = RecordBatches(), Sender()
    event = threading.Event()
    for record in make_records(MAX_RECORDS_PER_MESSAGE + 1):
        batches.add("n1:1", record, event)
    batches.send(sender)

    assert [on_sent is None for *_, on_sent in sender.sent] == [True, False]
    assert not event.is_set()
    sender.report()
    assert event.is_set()


def test_records_are_counted_by_keeper():
    batches = RecordBatches()
    for record in make_records(3):
        batches.add("n1:1", record)

    assert batches.addresses == {"n1:1"}
    assert [batches.count(address) for address in ("n1:1", "n2:1")] == [3, 0]
