"""What peers tell of demand waits for the next round, and for no lock of it."""

from gateway_cases import seconds

from runhatch_server.residency import DemandBook, DemandShare, Wanted
from runhatch_server.residency._demand_inbox import (
    MOST_WAITING,
    DemandInbox,
    DemandNews,
)

WANTED = Wanted("engine", "m0", "", 0)


def news(at, missed=1, age=0):
    share = DemandShare(WANTED, 1, missed, 100.0)
    return DemandNews("n1", (share,), seconds(at), seconds(age))


def test_what_waits_is_taken_in_as_of_when_it_was_told():
    inbox, book = DemandInbox(), DemandBook()
    inbox.put(news(10))
    inbox.put(news(12))

    inbox.empty_into(book)

    demand = book.model("engine", "m0", seconds(12))
    assert demand.first_at == seconds(10)
    assert demand.count == 2
    assert len(inbox) == 0


def test_it_is_taken_in_once():
    inbox, book = DemandInbox(), DemandBook()
    inbox.put(news(10))

    inbox.empty_into(book)
    inbox.empty_into(book)

    assert book.model("engine", "m0", seconds(10)).count == 1


def test_the_oldest_give_way_where_no_rounds_are_made():
    inbox, book = DemandInbox(), DemandBook()
    for index in range(MOST_WAITING + 3):
        inbox.put(news(index / 1000))

    assert (len(inbox), inbox.dropped) == (MOST_WAITING, 3)
    inbox.empty_into(book)
    assert inbox.dropped == 0
    assert book.model("engine", "m0", seconds(9)).first_at == seconds(0.003)
