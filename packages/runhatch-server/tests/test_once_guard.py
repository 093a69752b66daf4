"""Tests of recording answers of keyed requests after failures of the store."""

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
    MemoryObjectStore,
    MemoryTable,
    TableFault,
)
from runhatch_server.observability import Metrics
from runhatch_server.serving._answer_store import AnswerStore, StoredAnswer
from runhatch_server.serving._once_guard import OnceGuard

ANSWER = StoredAnswer(200, (), b"booked")
CLAIM_WAIT = seconds(0.3)


class Node:
    """The guard of one node, with a table that can fail."""

    def __init__(self, name, table):
        clock = SystemClock()
        self.table = FaultyTable(table)
        members = Membership(Vm("n2", "d1", "10.0.0.2:1", 1), clock)
        claims = Claims(self.table, GroupCommitter(self.table), name, clock)
        answers = AnswerStore(MemoryObjectStore(), 10_000)
        self.guard = OnceGuard(claims, answers, members, Metrics(), clock, CLAIM_WAIT)


@pytest.fixture
def nodes():
    """The node that runs a request, and the node that receives its repeat."""
    table = MemoryTable()
    node_pair = Node("n2", table), Node("n1", table)
    yield node_pair
    for node in node_pair:
        node.guard.close()


def make_keyed_request(name="r"):
    return dataclasses.replace(make_request(name), key="k", idempotent=False)


class TestRecording:
    """Answers that were sent to their callers before the store accepted them."""

    @pytest.mark.parametrize(
        ("fault", "writes"),
        [
            (TableFault.DOWN, 1),
            (TableFault.DOWN, 2),
            (TableFault.LOSE_REQUEST, 3),
            (TableFault.LOSE_ANSWER, 3),
        ],
    )
    def test_immediate_repeat_gets_the_recorded_answer(self, nodes, fault, writes):
        """With a pause of a second before the retry, repeats were refused meanwhile."""
        runner, other = nodes
        claim = runner.guard.claim_request(make_keyed_request())
        assert isinstance(claim, Taken)

        runner.table.inject(fault, writes)
        runner.guard.finish_claim(claim, ANSWER)

        assert other.guard.claim_request(make_keyed_request()) == ANSWER
