"""Test nodes killed or suspended at each step from claim to recorded answer."""

import signal
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from runhatch_standins._callers import Shape, Wanted, send
from runhatch_standins._cluster import Sizes, call, start_cluster
from runhatch_standins._history import EventKind, check_history
from runhatch_standins.demo import count_runs

NODE = "n2"
OTHERS = ("n1", "n3")
TABLE_STEPS = [
    (call, when) for call in ("open", "done") for when in ("before", "after")
]
TARGET_STEPS = [("book", "before"), ("book", "after")]
OBJECT_STEPS = [("answer", when) for when in ("before", "after")]
CASES = [(Shape.BOOKING, *step) for step in TABLE_STEPS + TARGET_STEPS]
CASES += [(Shape.ONCE, *step) for step in TABLE_STEPS + OBJECT_STEPS]
INLINE_BYTES = 200
"""Answers of bookings are smaller; those of models are larger, thus objects."""
RECORDED = {("done", "after")}
"""Steps after which the answer is recorded even if the node is killed."""


@pytest.fixture(scope="module")
def cluster():
    """Start nodes with a short wait for answers to requests claimed by others."""
    serving = {
        "drain_lag_seconds": 0.1,
        "claim_wait_seconds": 0.3,
        "inline_answer_bytes": INLINE_BYTES,
    }
    cluster = start_cluster(Sizes(models=2, adapters=0), {"serving": serving})
    try:
        cluster.apply(cluster.deployment(), "steps")
        assert all(cluster.wait_resident(name, 40) for name in cluster.nodes)
        yield cluster
    finally:
        cluster.close()


class HeldRequest:
    """A request to ``NODE`` that a stand-in holds at one step."""

    def __init__(self, cluster, shape, step):
        kind, when = step
        self.wanted = Wanted(f"{shape.name}-{kind}-{when}-{time.time()}", shape, "m1")
        self._cluster = cluster
        self._holding_process = cluster.booking if kind == "book" else cluster.platform
        faults = {"hold": {"call": kind, "when": when}}
        call(self._holding_process.url, "POST", "/faults", faults)
        self._pool = ThreadPoolExecutor(1)
        self._pending = self._pool.submit(send, cluster.caller_url(NODE), self.wanted)
        deadline = time.monotonic() + 10
        while not call(self._holding_process.url, "GET", "/stats")["held"]:
            assert time.monotonic() < deadline
            time.sleep(0.005)

    def release(self):
        call(self._holding_process.url, "POST", "/faults", {})

    def send_to_others(self):
        return [send(self._cluster.caller_url(n), self.wanted) for n in OTHERS]

    def first_response(self):
        got = self._pending.result()
        self._pool.shutdown()
        return got


def assert_no_violations(cluster, gots):
    assert check_history([got.event for got in gots], count_runs(cluster)) == []


class TestAtEachStep:
    """A request runs at most once, at whichever step its node is interrupted."""

    @pytest.mark.parametrize(("shape", "kind", "when"), CASES)
    def test_killed(self, cluster, shape, kind, when):
        """The request of a killed node does not run again at another node."""
        held = HeldRequest(cluster, shape, (kind, when))
        cluster.nodes[NODE].kill()
        held.release()
        gots = [held.first_response(), *held.send_to_others()]
        cluster.start_node(NODE)
        assert cluster.wait_resident(NODE, 20)
        gots.append(send(cluster.caller_url(NODE), held.wanted))
        assert_no_violations(cluster, gots)
        if (kind, when) in RECORDED:
            assert gots[-1].event.kind is EventKind.ANSWERED

    @pytest.mark.parametrize(("shape", "kind", "when"), CASES)
    def test_stopped_and_resumed(self, cluster, shape, kind, when):
        """A resumed node answers its caller, and repeats receive that answer."""
        held = HeldRequest(cluster, shape, (kind, when))
        cluster.nodes[NODE].signal(signal.SIGSTOP)
        try:
            held.release()
            gots = held.send_to_others()
        finally:
            cluster.nodes[NODE].signal(signal.SIGCONT)
        gots.append(held.first_response())
        gots += held.send_to_others()
        assert_no_violations(cluster, gots)
        assert {got.event.kind for got in gots[-2:]} == {EventKind.ANSWERED}
