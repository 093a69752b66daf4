"""Test that demand from peers is queued until the next round, without its lock."""

from gateway_cases import seconds

from runhatch_server.residency import DemandBook, DemandKey, DemandShare
from runhatch_server.residency._demand_inbox import (
    MAX_QUEUED_MESSAGES,
    DemandInbox,
    DemandMessage,
)

WANTED = DemandKey("engine", "m0", "", 0)


def make_news(at, missed=1, age=0):
    share = DemandShare(WANTED, 1, missed, 100.0)
    return DemandMessage("n1", (share,), seconds(at), seconds(age))


def test_queued_demand_is_added_at_its_own_time():
    inbox, book = DemandInbox(), DemandBook()
    inbox.put(make_news(10))
    inbox.put(make_news(12))

    inbox.drain_into(book)

    demand = book.model_demand("engine", "m0", seconds(12))
    assert demand.first_request_at == seconds(10)
    assert demand.request_count == 2
    assert len(inbox) == 0


def test_queued_demand_is_added_once():
    inbox, book = DemandInbox(), DemandBook()
    inbox.put(make_news(10))

    inbox.drain_into(book)
    inbox.drain_into(book)

    assert book.model_demand("engine", "m0", seconds(10)).request_count == 1


def test_full_queue_drops_oldest_messages():
    inbox, book = DemandInbox(), DemandBook()
    for index in range(MAX_QUEUED_MESSAGES + 3):
        inbox.put(make_news(index / 1000))

    assert (len(inbox), inbox.dropped_messages) == (MAX_QUEUED_MESSAGES, 3)
    inbox.drain_into(book)
    assert inbox.dropped_messages == 0
    assert book.model_demand("engine", "m0", seconds(9)).first_request_at == seconds(
        0.003
    )
