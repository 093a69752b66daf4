"""Test that requests run at most once under faults of nodes and store."""

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
    """Send ``wanted`` to all nodes simultaneously and return the responses."""
    urls = [cluster.caller_url(name) for name in cluster.nodes]
    barrier = threading.Barrier(len(urls))

    def send_at_barrier(url):
        barrier.wait()
        return send(url, wanted)

    with ThreadPoolExecutor(len(urls)) as pool:
        return list(pool.map(send_at_barrier, urls))


def assert_no_violations(cluster, gots):
    violations = check_history([got.event for got in gots], count_runs(cluster))
    assert violations == []


class TestAtMostOnce:
    """Any number of repeats leads to one run and one answer."""

    @pytest.mark.parametrize("shape", SHAPES)
    def test_simultaneous_repeats_run_once(self, cluster, shape):
        """A request sent to all nodes at once runs once; all return its answer."""
        gots = []
        for index in range(10):
            name = f"together-{shape.name}-{index}"
            gots += send_everywhere(cluster, Wanted(name, shape, "m3"))
        assert {got.event.kind for got in gots} == {EventKind.ANSWERED}
        assert_no_violations(cluster, gots)

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
    def test_store_faults_cause_no_second_run(self, cluster, shape, faults):
        """No request runs twice while the store loses calls, is slow or down."""
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
        assert_no_violations(cluster, gots)

    def test_failure_after_execution_is_not_retried(self, cluster):
        """A call that fails after it ran is reported as unknown and not retried."""
        call(cluster.booking.url, "POST", "/faults", {"fail_after_run": 1})
        wanted = Wanted("fails-after", Shape.BOOKING, "")
        gots = [send(cluster.caller_url(name), wanted) for name in cluster.nodes]
        assert {got.event.kind for got in gots} == {EventKind.REFUSED_UNKNOWN}
        assert_no_violations(cluster, gots)

    def test_refusal_before_execution_is_retried(self, cluster):
        """A target's statement that a request was not executed permits a retry."""
        call(cluster.booking.url, "POST", "/faults", {"refuse": 1})
        got = send(cluster.caller_url("n1"), Wanted("refused", Shape.BOOKING, ""))
        assert got.event.kind is EventKind.ANSWERED
        assert_no_violations(cluster, [got])

    @pytest.mark.parametrize("shape", SHAPES)
    def test_suspended_node_runs_nothing_again(self, cluster, shape):
        """A node suspended during requests does not repeat them when resumed."""
        call(cluster.booking.url, "POST", "/faults", {"slow_seconds": 0.5})
        wanted = [
            Wanted(f"paused-{shape.name}-{i}", shape, f"m{i}", 60) for i in range(6)
        ]
        node = cluster.nodes["n2"]
        with ThreadPoolExecutor(6) as pool:
            url = cluster.caller_url("n2")
            pending = [pool.submit(send, url, request) for request in wanted]
            time.sleep(0.1)
            node.signal(signal.SIGSTOP)
            try:
                repeats = [
                    send(cluster.caller_url(name), request)
                    for request in wanted
                    for name in ("n1", "n3")
                ]
            finally:
                node.signal(signal.SIGCONT)
            gots = [future.result() for future in pending] + repeats
        after = [send(cluster.caller_url("n1"), request) for request in wanted]
        assert_no_violations(cluster, gots + after)
