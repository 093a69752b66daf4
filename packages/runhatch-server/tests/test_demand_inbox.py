"""Test that demand from peers is queued until the next round, without its lock."""

from gateway_cases import seconds

from runhatch_server.residency import DemandBook, DemandShare, Wanted
from runhatch_server.residency._demand_inbox import (
    MOST_WAITING,
    DemandInbox,
    DemandNews,
)

WANTED = Wanted("engine", "m0", "", 0)


def make_news(at, missed=1, age=0):
    share = DemandShare(WANTED, 1, missed, 100.0)
    return DemandNews("n1", (share,), seconds(at), seconds(age))


def test_queued_demand_is_added_at_its_own_time():
    inbox, book = DemandInbox(), DemandBook()
    inbox.put(make_news(10))
    inbox.put(make_news(12))

    inbox.empty_into(book)

    demand = book.model("engine", "m0", seconds(12))
    assert demand.first_at == seconds(10)
    assert demand.count == 2
    assert len(inbox) == 0


def test_queued_demand_is_added_once():
    inbox, book = DemandInbox(), DemandBook()
    inbox.put(make_news(10))

    inbox.empty_into(book)
    inbox.empty_into(book)

    assert book.model("engine", "m0", seconds(10)).count == 1


def test_full_queue_drops_oldest_messages():
    inbox, book = DemandInbox(), DemandBook()
    for index in range(MOST_WAITING + 3):
        inbox.put(make_news(index / 1000))

    assert (len(inbox), inbox.dropped) == (MOST_WAITING, 3)
    inbox.empty_into(book)
    assert inbox.dropped == 0
    assert book.model("engine", "m0", seconds(9)).first_at == seconds(0.003)
