"""Requests at a gateway that cannot connect to targets which its peers reach."""

import http.client
import time
from contextlib import ExitStack

import pytest

from runhatch_standins._cluster import call
from runhatch_standins._gateways import GatewaySystem

SETTLE_SECONDS = 2.5
"""Time in which gateways discover each other and idle connections to targets end."""
REQUESTS = 20
PAUSE_SECONDS = 0.05


@pytest.fixture(scope="module")
def running_system(tmp_path_factory):
    with ExitStack() as stack:
        system = GatewaySystem(stack, tmp_path_factory.mktemp("gateways"))
        system.start_gateway("n-cut", module="runhatch_standins.partitioned_gateway")
        time.sleep(SETTLE_SECONDS)
        yield system


@pytest.fixture
def system(running_system):
    """Return a system whose gateway ``n-cut`` reaches no target."""
    targets = [*running_system.plain, *running_system.engines]
    running_system.cut_off(running_system.gateways[-1], targets)
    yield running_system
    running_system.cut_off(running_system.gateways[-1], [])
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
