"""When a node relies on a wait for changes, and when it calls the store at once."""

from datetime import timedelta

import pytest

from runhatch_coordination import Reachability
from runhatch_coordination._store_contact import (
    ANSWER_TIMEOUT,
    CHECK_WAIT,
    UNCONFIRMED_WAIT,
    StoreContact,
)
from runhatch_coordination.testing import ManualClock

LONG_WAIT = timedelta(seconds=24)
SHORT_WAIT = timedelta(seconds=0.5)
TICK = timedelta(milliseconds=1)


def make_contact(*events):
    """Return a contact for which ``events``, names of methods, were called."""
    clock = ManualClock()
    contact = StoreContact(clock)
    for event in events:
        getattr(contact, event)()
    return contact, clock


@pytest.mark.parametrize(
    ("events", "reachability", "wait"),
    [
        pytest.param([], Reachability.UNKNOWN, CHECK_WAIT, id="no call yet"),
        pytest.param(
            ["record_answer_to_other_node"],
            Reachability.UNKNOWN,
            CHECK_WAIT,
            id="told only",
        ),
        pytest.param(
            ["record_answer"], Reachability.REACHED, UNCONFIRMED_WAIT, id="answered"
        ),
        pytest.param(
            ["record_answer_to_other_node", "record_answer"],
            Reachability.REACHED,
            LONG_WAIT,
            id="answered, as others are",
        ),
        pytest.param(
            ["record_answer", "record_failure"],
            Reachability.UNREACHED,
            CHECK_WAIT,
            id="failed",
        ),
        pytest.param(
            ["record_answer", "record_interruption"],
            Reachability.REACHED,
            CHECK_WAIT,
            id="interrupted",
        ),
        pytest.param(
            ["record_failure", "record_interruption"],
            Reachability.UNREACHED,
            CHECK_WAIT,
            id="interrupted after a failure",
        ),
        pytest.param(
            ["record_answer", "record_end_of_reading"],
            Reachability.UNKNOWN,
            CHECK_WAIT,
            id="no longer reading",
        ),
    ],
)
def test_a_node_waits_only_after_an_answer(events, reachability, wait):
    contact, _ = make_contact(*events)

    assert contact.reachability is reachability
    assert contact.begin_call(LONG_WAIT) == wait


def test_a_short_wait_is_not_extended():
    contact, _ = make_contact("record_answer")

    assert contact.begin_call(SHORT_WAIT) == SHORT_WAIT


class TestWait:
    """A long wait in progress."""

    def begin_wait(self):
        contact, clock = make_contact("record_answer_to_other_node", "record_answer")
        contact.begin_call(LONG_WAIT)
        return contact, clock

    def test_it_is_relied_on_while_others_are_answered(self):
        contact, clock = self.begin_wait()
        for _ in range(20):
            clock.advance(ANSWER_TIMEOUT - TICK)
            assert not contact.end_doubtful_wait()
            assert not contact.record_answer_to_other_node()

    def test_it_is_ended_once_if_no_other_is_answered(self):
        contact, clock = self.begin_wait()
        assert contact.time_until_doubt == ANSWER_TIMEOUT
        clock.advance(ANSWER_TIMEOUT)

        assert contact.end_doubtful_wait()
        assert not contact.end_doubtful_wait()
        assert contact.time_until_doubt is None

    @pytest.mark.parametrize("longest_wait", [LONG_WAIT, SHORT_WAIT])
    def test_it_is_ended_when_others_are_answered_again(self, longest_wait):
        contact, clock = make_contact("record_answer_to_other_node", "record_answer")
        clock.advance(ANSWER_TIMEOUT)
        contact.begin_call(longest_wait)

        assert contact.record_answer_to_other_node()

    def test_it_goes_on_when_the_first_answer_to_others_is_known(self):
        contact, _ = make_contact("record_answer")
        contact.begin_call(LONG_WAIT)

        assert not contact.record_answer_to_other_node()

    @pytest.mark.parametrize(
        "event", ["record_answer", "record_failure", "record_interruption"]
    )
    def test_it_ends_with_the_call(self, event):
        contact, clock = self.begin_wait()
        getattr(contact, event)()
        clock.advance(ANSWER_TIMEOUT)

        assert not contact.end_doubtful_wait()


@pytest.mark.parametrize(
    ("silence", "calls_at_once"), [(ANSWER_TIMEOUT, True), (TICK, False)]
)
def test_a_node_that_fails_calls_again_when_others_are_answered_again(
    silence, calls_at_once
):
    """Only once: else a node that is cut off would call with each renewal."""
    contact, clock = make_contact("record_answer_to_other_node", "record_failure")
    clock.advance(silence)

    assert contact.record_answer_to_other_node() is calls_at_once
    assert not contact.record_answer_to_other_node()
