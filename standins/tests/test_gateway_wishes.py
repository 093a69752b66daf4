"""What targets ask of gateways in their answers: to be left, and to be left alone.

On recorded days a target that said in its answers that it leaves was sent requests
2.3 s later, as its entry in the store, which was slow, still called it ready; and
targets that had asked for 3 s of rest got four requests in that time, three of them
within 3 ms, as one request went to the only holder of its model again and again:
`"attempts": ["i-e:not_run_target_busy", "i-e:not_run_target_busy", ...]`.  Neither
was decoded; beside that, closed targets were sent to wherever no other was open.
"""

import time
from contextlib import ExitStack

import pytest

from runhatch_standins._cluster import call
from runhatch_standins._gateways import GatewaySystem, wait_until

MOST_IN_REST = 2
"""Requests that a resting target may get from one node."""
LEAVE_SECONDS = 2.0
"""By when a node sends nothing more to a target that leaves."""


@pytest.fixture
def system(tmp_path):
    with ExitStack() as stack:
        system = GatewaySystem(stack, tmp_path)
        time.sleep(0.5)
        yield system


def arrivals(target):
    return len(call(target.url, "GET", "/journal")["arrivals"])


def ask_for(system, seconds, path="/plain/x", method="GET", **named):
    """Ask each node in turn for so long; return the statuses and their waits."""
    answers = []
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        gate = len(answers) % len(system.gateways)
        response, _ = system.answer(path, method, gate=gate, **named)
        answers.append((response.status, response.headers.get("Retry-After")))
        time.sleep(0.02)
    return answers


class TestLeaving:
    """A target that says so in its answers."""

    def test_it_is_sent_nothing_more_by_any_node(self, system):
        leaving, stays = system.plain
        call(leaving.url, "POST", "/faults", {"leaving": True})
        # The other would be chosen as long as it answers: connections to it are open.
        call(stays.url, "POST", "/faults", {"status": 500})
        assert wait_until(lambda: system.answer("/plain/x") and arrivals(leaving))
        call(stays.url, "POST", "/faults", {})
        time.sleep(LEAVE_SECONDS)
        before = arrivals(leaving)

        statuses = {status for status, _ in ask_for(system, 2.0)}

        assert arrivals(leaving) == before
        assert statuses == {200}


class TestRest:
    """A target that turns a request away and wants no others for a while."""

    @pytest.mark.parametrize(
        ("path", "method", "model"),
        [
            pytest.param("/plain/x", "GET", "", id="any-target-serves"),
            pytest.param("/stream/x", "POST", "m0", id="one-target-holds-the-model"),
        ],
    )
    def test_it_gets_little_in_that_time(self, system, path, method, model):
        targets = system.engines if model else system.plain
        for target in targets:
            call(target.url, "POST", "/faults", {"rest_seconds": 3})
        ask_for(system, 0.5, path, method, model=model)
        before = [arrivals(target) for target in targets]

        answers = ask_for(system, 2.0, path, method, model=model)

        most = MOST_IN_REST * len(system.gateways)
        assert all(
            arrivals(target) - came <= most
            for target, came in zip(targets, before, strict=True)
        )
        assert all(status == 503 for status, _ in answers)
        assert all(float(wait) > 0 for _, wait in answers)

    def test_it_is_asked_again_afterwards(self, system):
        for target in system.plain:
            call(target.url, "POST", "/faults", {"rest_seconds": 1})
        ask_for(system, 0.3)
        for target in system.plain:
            call(target.url, "POST", "/faults", {})
        time.sleep(1.2)

        assert {status for status, _ in ask_for(system, 0.5)} == {200}
