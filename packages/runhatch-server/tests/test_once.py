"""Requests that run at most once: answers that could not be recorded at once."""

import dataclasses

import pytest
from gateway_cases import seconds
from server_cases import make_request

from runhatch_coordination import (
    Claims,
    GroupCommitter,
    Membership,
    SystemClock,
    Taken,
    Vm,
)
from runhatch_coordination.testing import (
    FaultyTable,
    MemoryObjects,
    MemoryTable,
    TableFault,
)
from runhatch_server.observability import Metrics
from runhatch_server.serving._once import OnceGuard
from runhatch_server.serving._stored import AnswerStore, StoredAnswer

ANSWER = StoredAnswer(200, (), b"booked")
CLAIM_WAIT = seconds(0.3)


class Node:
    """One node's guard, with a table that may fail."""

    def __init__(self, name, table):
        clock = SystemClock()
        self.table = FaultyTable(table)
        members = Membership(Vm("n2", "d1", "10.0.0.2:1", 1), clock)
        claims = Claims(self.table, GroupCommitter(self.table), name, clock)
        answers = AnswerStore(MemoryObjects(), 10_000)
        self.guard = OnceGuard(claims, answers, members, Metrics(), clock, CLAIM_WAIT)


@pytest.fixture
def nodes():
    """The node that runs a request, and one that its repeat comes to."""
    table = MemoryTable()
    both = Node("n2", table), Node("n1", table)
    yield both
    for node in both:
        node.guard.close()


def keyed(name="r"):
    return dataclasses.replace(make_request(name), key="k", idempotent=False)


class TestRecording:
    """The answer has gone to its caller; the store did not take it."""

    @pytest.mark.parametrize(
        ("fault", "writes"),
        [
            (TableFault.DOWN, 1),
            (TableFault.DOWN, 2),
            (TableFault.LOSE_REQUEST, 3),
            (TableFault.LOSE_ANSWER, 3),
        ],
    )
    def test_a_repeat_soon_after_gets_it(self, nodes, fault, writes):
        """Tried again after a second only, its repeats were refused meanwhile."""
        runner, other = nodes
        taken = runner.guard.begin(keyed())
        assert isinstance(taken, Taken)

        runner.table.inject(fault, writes)
        runner.guard.finish(taken, ANSWER)

        assert other.guard.begin(keyed()) == ANSWER
