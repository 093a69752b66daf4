"""Test draining and back-off that targets request in their answers.

The entry of a target in the store may still be ready seconds after its answers report
draining.  A target that requests back-off must not receive the same request again and
again because it is the only one with the model.
"""

import time
from contextlib import ExitStack

import pytest

from runhatch_standins._cluster import call
from runhatch_standins._gateways import GatewaySystem, wait_until

MAX_DURING_BACKOFF = 2
"""Requests that one node may send to a target during its back-off."""
DRAIN_KNOWN_SECONDS = 2.0
"""Time after which no node may send requests to a draining target."""


@pytest.fixture
def system(tmp_path):
    with ExitStack() as stack:
        system = GatewaySystem(stack, tmp_path)
        time.sleep(0.5)
        yield system


def count_arrivals(target):
    return len(call(target.url, "GET", "/journal")["arrivals"])


def send_requests_for(system, seconds, path="/plain/x", method="GET", **options):
    """Send requests to the nodes in turn; return statuses and Retry-After values."""
    answers = []
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        gate = len(answers) % len(system.gateways)
        response, _ = system.answer(path, method, gate=gate, **options)
        answers.append((response.status, response.headers.get("Retry-After")))
        time.sleep(0.02)
    return answers


class TestDrainingTarget:
    """A target that reports in its answers that it drains."""

    def test_no_node_sends_it_further_requests(self, system):
        draining, serving = system.plain
        call(draining.url, "POST", "/faults", {"leaving": True})
        # The target with open connections is preferred as long as it answers.
        call(serving.url, "POST", "/faults", {"status": 500})
        assert wait_until(
            lambda: system.answer("/plain/x") and count_arrivals(draining)
        )
        call(serving.url, "POST", "/faults", {})
        time.sleep(DRAIN_KNOWN_SECONDS)
        before = count_arrivals(draining)

        statuses = {status for status, _ in send_requests_for(system, 2.0)}

        assert count_arrivals(draining) == before
        assert statuses == {200}


class TestBackoff:
    """A target that refuses a request and asks for back-off."""

    @pytest.mark.parametrize(
        ("path", "method", "model"),
        [
            pytest.param("/plain/x", "GET", "", id="any-target-serves"),
            pytest.param("/stream/x", "POST", "m0", id="one-target-holds-the-model"),
        ],
    )
    def test_few_requests_are_sent_during_backoff(self, system, path, method, model):
        targets = system.engines if model else system.plain
        for target in targets:
            call(target.url, "POST", "/faults", {"rest_seconds": 3})
        send_requests_for(system, 0.5, path, method, model=model)
        before = [count_arrivals(target) for target in targets]

        answers = send_requests_for(system, 2.0, path, method, model=model)

        max_requests = MAX_DURING_BACKOFF * len(system.gateways)
        assert all(
            count_arrivals(target) - count <= max_requests
            for target, count in zip(targets, before, strict=True)
        )
        assert all(status == 503 for status, _ in answers)
        assert all(float(wait) > 0 for _, wait in answers)

    def test_requests_are_sent_again_after_backoff(self, system):
        for target in system.plain:
            call(target.url, "POST", "/faults", {"rest_seconds": 1})
        send_requests_for(system, 0.3)
        for target in system.plain:
            call(target.url, "POST", "/faults", {})
        time.sleep(1.2)

        assert {status for status, _ in send_requests_for(system, 0.5)} == {200}
