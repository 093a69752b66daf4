"""Links to nodes that are sent to now and then.

Guards against a connection and a task for each message.
"""

from datetime import timedelta

import pytest

from runhatch_server.peers import RevisionNotice
from runhatch_server.peers._link import MIN_REOPEN_INTERVAL
from runhatch_server.peers._temporary_links import (
    MAX_TEMPORARY_LINKS,
    TEMPORARY_LINK_LIFETIME,
    TemporaryLinks,
)

ADDRESS = "b:1"
FACTS = [RevisionNotice(1)]
MILLISECOND = timedelta(milliseconds=1)


class FakeLink:
    """A link that records what it is to send."""

    def __init__(self, clock, address, on_idle):
        self.address = address
        self.on_idle = on_idle
        self.queued = []
        self.has_failed = False
        self.is_closed = False
        self._clock = clock
        self._opened_at = clock.elapsed()

    @property
    def age(self):
        return self._clock.elapsed() - self._opened_at

    @property
    def is_new(self):
        return self.age < MIN_REOPEN_INTERVAL

    def put_all(self, facts, on_sent):
        assert not self.is_closed
        self.queued.append((facts, on_sent))

    def close(self):
        self.is_closed = True


class Sender:
    """Sends over temporary links, and keeps all that were opened."""

    def __init__(self, clock):
        self.clock = clock
        self.opened = []
        self.links = TemporaryLinks(self._open, clock)

    def send(self, address=ADDRESS):
        self.links.send(address, FACTS, None)

    def _open(self, address, on_idle):
        self.opened.append(FakeLink(self.clock, address, on_idle))
        return self.opened[-1]


@pytest.fixture
def sender(clock):
    return Sender(clock)


def fail(sender):
    sender.opened[0].has_failed = True


def report_idle(sender):
    link = sender.opened[0]
    link.on_idle(link)


def advance(duration):
    return lambda sender: sender.clock.advance(duration)


def reopen_after(duration):
    def reopen(sender):
        sender.clock.advance(duration)
        sender.links.reopen(ADDRESS)

    return reopen


@pytest.mark.parametrize(
    ("happen", "is_reused"),
    [
        (advance(timedelta()), True),
        (advance(TEMPORARY_LINK_LIFETIME - MILLISECOND), True),
        (advance(TEMPORARY_LINK_LIFETIME), False),
        (fail, False),
        (report_idle, False),
        (reopen_after(MIN_REOPEN_INTERVAL), False),
        (reopen_after(MIN_REOPEN_INTERVAL - MILLISECOND), True),
        (lambda sender: sender.links.reopen("c:1"), True),
        (lambda sender: sender.links.close(), False),
    ],
    ids=[
        "at once",
        "within its lifetime",
        "after its lifetime",
        "failed",
        "idle",
        "reopened",
        "reopened when new",
        "another one reopened",
        "closed",
    ],
)
def test_link_is_reused(sender, happen, is_reused):
    sender.send()
    happen(sender)
    sender.send()

    first, *others = sender.opened
    assert first.is_closed is not is_reused
    assert len(others) == (0 if is_reused else 1)
    assert [link.queued for link in others] == [[(FACTS, None)]] * len(others)
    assert first.queued == [(FACTS, None)] * (2 if is_reused else 1)


def test_link_that_was_replaced_may_become_idle(sender):
    sender.send()
    fail(sender)
    sender.send()
    report_idle(sender)

    assert not sender.opened[1].is_closed
    assert sender.links.addresses == {ADDRESS}


def test_oldest_links_are_closed_beyond_the_maximum(sender):
    count = MAX_TEMPORARY_LINKS + 2
    for number in range(count):
        sender.send(f"n{number}:1")

    assert [link.is_closed for link in sender.opened] == [True] * 2 + [False] * (
        count - 2
    )
    assert len(sender.links.addresses) == MAX_TEMPORARY_LINKS
