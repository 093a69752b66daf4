"""Test what a resignation contains while orders are in flight."""

import threading

import pytest
from gateway_cases import make_target, seconds

from runhatch_coordination import Check, Epoch, Key
from runhatch_server.observability import Metrics
from runhatch_server.residency import OrderTimes, TargetControl
from runhatch_server.residency._calls import TargetCalls
from runhatch_server.residency._handover import HANDOVER_SLACK, MAX_ORDER_DELAY
from runhatch_server.residency._sending import OrderSender
from runhatch_server.targets import OrderKind, OrderOutcome

EPOCH = Epoch(3, Check(Key("epoch", "orders"), 3))
ANSWER_WAIT = 5.0
"""Seconds for which a test waits for a worker, due within some milliseconds."""


class RecordingClient:
    """Accepts and records every order."""

    def __init__(self):
        self.given = []
        self.outcome = OrderOutcome.ACCEPTED

    def send_order(self, target, order):
        self.given.append(order)
        return self.outcome


def make_sender(clock, client, times, ended, held_epoch):
    return OrderSender(
        client,
        TargetCalls(ended.set),
        times,
        clock,
        Metrics(),
        "n1",
        held_epoch,
        lambda control, model: seconds(2),
    )


@pytest.mark.parametrize(
    ("held", "given"), [(EPOCH, 1), (None, 0)], ids=["held", "lapsed"]
)
def test_order_counts_as_in_flight_before_lease_is_checked(clock, held, given):
    """A resignation just before the check of the lease must name the target."""
    times, client, ended = OrderTimes(seconds(3)), RecordingClient(), threading.Event()
    resignations = []

    def held_epoch():
        resignations.append(times.make_resignation(3, clock.elapsed()))
        return held

    sender = make_sender(clock, client, times, ended, held_epoch)

    sender.send(TargetControl(make_target("t1")), OrderKind.LOAD, "m1", "", EPOCH)

    assert ended.wait(ANSWER_WAIT)
    assert [list(resignation.waits) for resignation in resignations] == [["t1"]]
    assert len(client.given) == given
    assert bool(times.make_resignation(3, clock.elapsed()).waits) is bool(given)


@pytest.mark.parametrize(
    ("outcome", "delay"),
    [(OrderOutcome.ACCEPTED, seconds(0)), (OrderOutcome.UNKNOWN, MAX_ORDER_DELAY)],
)
def test_order_without_answer_may_still_arrive(clock, outcome, delay):
    """A target that accepts connections late reads it after its sender's timeout."""
    times, client, ended = OrderTimes(seconds(3)), RecordingClient(), threading.Event()
    client.outcome = outcome
    sender = make_sender(clock, client, times, ended, lambda: EPOCH)

    sender.send(TargetControl(make_target("t1")), OrderKind.LOAD, "m1", "", EPOCH)

    assert ended.wait(ANSWER_WAIT)
    wait = times.make_resignation(3, clock.elapsed()).waits["t1"]
    assert wait == seconds(3) + HANDOVER_SLACK + delay
