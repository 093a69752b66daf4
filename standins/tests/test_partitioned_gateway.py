"""Requests at a gateway that cannot connect to targets which its peers reach."""

import http.client
import time
from contextlib import ExitStack

import pytest

from runhatch_standins._cluster import call
from runhatch_standins._gateways import GatewaySystem, wait_until
from runhatch_standins._target_paths import PathFault

SETTLE_SECONDS = 2.5
"""Time in which gateways discover each other and idle connections to targets end."""
REQUESTS = 20
PAUSE_SECONDS = 0.05
LONGEST_REFUSAL_SECONDS = 0.5


@pytest.fixture(scope="module")
def running_system(tmp_path_factory):
    with ExitStack() as stack:
        folder = tmp_path_factory.mktemp("gateways")
        system = GatewaySystem(stack, folder, has_paths=True)
        system.start_gateway("n-cut")
        time.sleep(SETTLE_SECONDS)
        yield system


@pytest.fixture
def system(running_system):
    """Return a system whose gateway ``n-cut`` reaches no target."""
    targets = [*running_system.plain, *running_system.engines]
    running_system.paths.cut("n-cut", PathFault.RESET)
    yield running_system
    running_system.paths.cut("n-cut", PathFault.NONE)
    for target in targets:
        call(target.url, "POST", "/faults", {})


def send(system, path, method="GET", **named):
    """Send requests to the gateway ``n-cut``; return the statuses of the answers."""
    statuses = []
    for _ in range(REQUESTS):
        try:
            response, _ = system.answer(path, method, gate=-1, **named)
            statuses.append(response.status)
        except (OSError, http.client.HTTPException):
            statuses.append(None)
        time.sleep(PAUSE_SECONDS)
    return statuses


@pytest.mark.parametrize(
    ("path", "method", "model"),
    [
        pytest.param("/plain/x", "GET", "", id="idempotent"),
        pytest.param("/once/x", "POST", "", id="non-idempotent"),
        pytest.param("/stream/x", "POST", "m0", id="stream"),
    ],
)
def test_request_is_served_by_a_target_that_only_peers_reach(
    system, path, method, model
):
    """A node without a path to the only replica refused what its peers could serve."""
    assert send(system, path, method, model=model) == [200] * REQUESTS


def test_forwarded_request_runs_once(system):
    names = [f"forwarded-{number}" for number in range(REQUESTS)]
    for name in names:
        assert system.answer("/once/x", "POST", gate=-1, name=name)[0].status == 200

    runs = [run[0] for run in system.runs(system.plain)]
    assert [runs.count(name) for name in names] == [1] * REQUESTS


def test_failed_forwarded_request_is_not_repeated(system):
    """The peer may have sent it to a target, so it is unknown whether it ran."""
    for target in system.plain:
        call(target.url, "POST", "/faults", {"status": 500})

    response, _ = system.answer("/once/x", "POST", gate=-1, name="fails-1")

    assert response.status == 500
    assert [run[0] for run in system.runs(system.plain)].count("fails-1") == 1


def test_forwarded_run_is_cancelled_when_its_caller_disconnects(system):
    connection, response = system.ask(
        "/stream/x", "POST", gate=-1, model="m0", tokens=400, name="left-2"
    )
    response.read(10)
    response.close()
    connection.close()

    def is_cancelled():
        found = [run for run in system.runs(system.engines) if run[0] == "left-2"]
        return len(found) == 1 and found[0][2] == "left"

    assert wait_until(is_cancelled, 2)


def test_targets_that_have_ended_are_refused_soon(tmp_path):
    """Peers do not reach them either, and must not be asked by each request."""
    with ExitStack() as stack:
        system = GatewaySystem(stack, tmp_path)
        system.start_gateway("n3")
        time.sleep(SETTLE_SECONDS)
        for target in system.plain:
            target.kill()
        for gate in range(3):
            started_at = time.monotonic()
            response, _ = system.answer("/once/x", "POST", gate=gate)

            assert response.status == 503
            assert response.headers["Retry-After"]
            assert time.monotonic() - started_at < LONGEST_REFUSAL_SECONDS
