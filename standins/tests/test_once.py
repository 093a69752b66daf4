"""Requests that may run at most once, whatever happens to nodes and store."""

import signal
import threading
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from runhatch_standins._callers import Shape, Wanted, send
from runhatch_standins._cluster import call
from runhatch_standins._history import EventKind, check_history
from runhatch_standins.demo import count_runs

SHAPES = [Shape.BOOKING, Shape.ONCE]


def send_everywhere(cluster, wanted):
    """Send to all nodes at the same moment."""
    urls = [cluster.caller_url(name) for name in cluster.nodes]
    barrier = threading.Barrier(len(urls))

    def one(url):
        barrier.wait()
        return send(url, wanted)

    with ThreadPoolExecutor(len(urls)) as pool:
        return list(pool.map(one, urls))


def assert_promises(cluster, gots):
    violations = check_history([got.event for got in gots], count_runs(cluster))
    assert violations == []


class TestAtMostOnce:
    """One run, one answer, for as many sendings as there are."""

    @pytest.mark.parametrize("shape", SHAPES)
    def test_repeats_at_all_nodes_together(self, cluster, shape):
        """Sent to all nodes at once it runs once, and all get the same answer."""
        gots = []
        for index in range(10):
            name = f"together-{shape.name}-{index}"
            gots += send_everywhere(cluster, Wanted(name, shape, "m3"))
        assert {got.event.kind for got in gots} == {EventKind.ANSWERED}
        assert_promises(cluster, gots)

    @pytest.mark.parametrize("shape", SHAPES)
    @pytest.mark.parametrize(
        "faults",
        [
            {"lose_answer": 0.5},
            {"lose_request": 0.5},
            {"lose_answer": 0.3, "lose_request": 0.3},
            {"slow_seconds": 0.3},
            {"down": True},
        ],
        ids=str,
    )
    def test_store_in_trouble(self, cluster, shape, faults):
        """With the store losing answers, slow or down nothing runs twice."""
        call(cluster.platform.url, "POST", "/faults", faults)
        gots = []
        label = "-".join(f"{k}{v}" for k, v in faults.items())
        for index in range(4):
            wanted = Wanted(f"store-{label}-{shape.name}-{index}", shape, "m4")
            gots += send_everywhere(cluster, wanted)
        call(cluster.platform.url, "POST", "/faults", {})
        for index in range(4):
            wanted = Wanted(f"store-{label}-{shape.name}-{index}", shape, "m4")
            gots += send_everywhere(cluster, wanted)
        assert_promises(cluster, gots)

    def test_service_that_fails_after_running(self, cluster):
        """A call that failed after it ran is told as unknown, and not repeated."""
        call(cluster.booking.url, "POST", "/faults", {"fail_after_run": 1})
        wanted = Wanted("fails-after", Shape.BOOKING, "")
        gots = [send(cluster.caller_url(name), wanted) for name in cluster.nodes]
        assert {got.event.kind for got in gots} == {EventKind.REFUSED_UNKNOWN}
        assert_promises(cluster, gots)

    def test_refused_unrun_is_tried_again(self, cluster):
        """A target's word that it did not run allows another attempt."""
        call(cluster.booking.url, "POST", "/faults", {"refuse": 1})
        got = send(cluster.caller_url("n1"), Wanted("refused", Shape.BOOKING, ""))
        assert got.event.kind is EventKind.ANSWERED
        assert_promises(cluster, [got])

    @pytest.mark.parametrize("shape", SHAPES)
    def test_paused_node(self, cluster, shape):
        """A node stopped in the middle and resumed later runs nothing again."""
        call(cluster.booking.url, "POST", "/faults", {"slow_seconds": 0.5})
        wanted = [
            Wanted(f"paused-{shape.name}-{i}", shape, f"m{i}", 60) for i in range(6)
        ]
        node = cluster.nodes["n2"]
        with ThreadPoolExecutor(6) as pool:
            url = cluster.caller_url("n2")
            first = [pool.submit(send, url, each) for each in wanted]
            time.sleep(0.1)
            node.signal(signal.SIGSTOP)
            try:
                repeats = [
                    send(cluster.caller_url(name), each)
                    for each in wanted
                    for name in ("n1", "n3")
                ]
            finally:
                node.signal(signal.SIGCONT)
            gots = [future.result() for future in first] + repeats
        after = [send(cluster.caller_url("n1"), each) for each in wanted]
        assert_promises(cluster, gots + after)
