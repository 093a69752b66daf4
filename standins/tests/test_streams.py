"""Test streamed and unstreamed answers that engines break off."""

from concurrent.futures import ThreadPoolExecutor

import pytest

from runhatch_standins._callers import Shape, Wanted, send
from runhatch_standins._cluster import call
from runhatch_standins._history import EventKind

ROUNDS = 6
STREAMS = 9
"""Streams per round; each of three engines breaks one."""
BUDGET_ANSWERS = 90
"""Answers that add 18 retries to a node's retry budget, a fifth of one each."""


def set_faults(cluster, **faults):
    for engine in cluster.engines:
        call(engine.url, "POST", "/faults", faults)


def send_many(cluster, name, shape, count, tokens=24):
    names = [*cluster.nodes]
    wanted = [Wanted(f"{name}-{i}", shape, f"m{i % 8}", tokens) for i in range(count)]
    urls = [cluster.caller_url(names[i % len(names)]) for i in range(count)]
    with ThreadPoolExecutor(12) as pool:
        return list(pool.map(send, urls, wanted))


def fill_retry_budgets(cluster):
    """Fill the retry budget of each node for all retries that a test may need."""
    answers = BUDGET_ANSWERS * len(cluster.nodes)
    set_faults(cluster)
    gots = send_many(cluster, "paid", Shape.WHOLE, answers, tokens=1)
    assert {got.event.kind for got in gots} == {EventKind.ANSWERED}


def count_remaining_breaks(cluster):
    faults = [call(engine.url, "GET", "/faults") for engine in cluster.engines]
    return sum(fault["break_streams"] for fault in faults)


def fetch_unanswered(cluster):
    """Return the unanswered ones of the last requests of each node."""
    newest = {"order_by": "received", "descending": True, "limit": 40}
    return [
        (node, record)
        for node in cluster.nodes
        for record in cluster.query(node, {"noun": "requests", **newest})
        if record["outcome"] != "answered"
    ]


class TestBrokenAnswers:
    """An answer is complete and correct, or the caller receives an error."""

    @pytest.mark.parametrize("break_after", [0, 1, 7, 23])
    def test_broken_stream_is_resumed(self, cluster, break_after):
        """A stream broken after any number of events is resumed at that event.

        In a round no stream is broken more often than it may be retried.
        """
        fill_retry_budgets(cluster)
        broken = 0
        for number in range(ROUNDS):
            set_faults(cluster, break_streams=1, break_after=break_after)
            name = f"resumed-{break_after}-{number}"
            gots = send_many(cluster, name, Shape.STREAMED, STREAMS)
            kinds = {got.event.kind for got in gots}
            assert kinds == {EventKind.ANSWERED}, fetch_unanswered(cluster)
            assert all(got.event.answer == got.event.expected for got in gots)
            broken += len(cluster.engines) - count_remaining_breaks(cluster)
        assert broken >= 2 * ROUNDS

    @pytest.mark.parametrize("break_after", [0, 1, 7])
    def test_unresumable_stream_is_continued_elsewhere(self, cluster, break_after):
        """A stream that its engine cannot resume is continued or ends in an error."""
        set_faults(
            cluster, break_streams=1, break_after=break_after, forget_broken=True
        )
        name = f"continued-{break_after}"
        gots = send_many(cluster, name, Shape.STREAMED, 24)
        answered = [got for got in gots if got.event.kind is EventKind.ANSWERED]
        assert all(got.event.answer == got.event.expected for got in answered)
        assert len(answered) >= 21
        # The last eight requests of each node are those of this test.
        newest = {"order_by": "received", "descending": True, "limit": 8}
        requests = [
            record
            for node in cluster.nodes
            for record in cluster.query(node, {"noun": "requests", **newest})
        ]
        assert any(
            record["attempts"] > 1 and record["outcome"] == "answered"
            for record in requests
        )

    @pytest.mark.parametrize("shape", [Shape.WHOLE, Shape.STREAMED])
    @pytest.mark.parametrize("fault", ["wrong_ids", "fail"])
    def test_answer_with_wrong_id_or_error_is_retried(self, cluster, shape, fault):
        """An answer that echoes another id, or an error, is not forwarded."""
        set_faults(cluster, **{fault: 1})
        gots = send_many(cluster, f"{fault}-{shape.name}", shape, 24)
        answered = [got for got in gots if got.event.kind is EventKind.ANSWERED]
        assert all(got.event.answer == got.event.expected for got in answered)
        assert len(answered) >= 21
