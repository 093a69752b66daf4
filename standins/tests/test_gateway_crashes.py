"""Requests that end the targets that run them, repeated by their callers.

On a recorded day one request ended eight engines within 16 seconds.  Its caller
repeated it at whichever node it reached, and each node sent it on as if it were new:
the models of those engines were gone with them, and for 14 seconds over a tenth of
the commonest requests were not served.  Nothing was kept of an attempt beyond the
attempt: of nine targets here nine ended, and no line of a node named two of them.
Now the nodes tell each other which targets
ended under which request, `"requests": [...]` of `target_ended`, and what stands in
two of these lines is held back, `request_held`.
"""

import http.client
import time
from contextlib import ExitStack

import pytest

from runhatch_standins._cluster import call
from runhatch_standins._gateways import GatewaySystem

MOST_ENDED = 3
"""Targets that one request may end before all nodes know it."""
TARGETS = 9
REPEATS = 40
PAUSE_SECONDS = 0.1


@pytest.fixture
def system(tmp_path):
    with ExitStack() as stack:
        system = GatewaySystem(stack, tmp_path)
        system.start_gateway("n3")
        while len(system.plain) < TARGETS:
            system.plain.append(system.start_worker("plain"))
        for target in system.plain:
            call(target.url, "POST", "/faults", {"ends_on": "crashing"})
        time.sleep(1)
        yield system


def ended(system):
    return sum(target.process.poll() is not None for target in system.plain)


def ask_everywhere(system, path, method, times):
    """Ask the nodes in turn, as a caller does that repeats at once."""
    statuses = []
    for number in range(times):
        gate = number % len(system.gateways)
        try:
            statuses.append(system.answer(path, method, gate=gate)[0].status)
        except (OSError, http.client.HTTPException):
            statuses.append(None)
        time.sleep(PAUSE_SECONDS)
    return statuses


class TestRepeated:
    """What a request that crashes its targets may cost, whichever node it reaches."""

    @pytest.mark.parametrize(
        ("path", "method"),
        [
            pytest.param("/plain/crashing", "GET", id="may-be-repeated"),
            pytest.param("/once/crashing", "POST", id="runs-once"),
        ],
    )
    def test_it_ends_few_targets(self, system, path, method):
        ask_everywhere(system, path, method, REPEATS)

        assert ended(system) <= MOST_ENDED

    def test_what_else_is_asked_for_is_served(self, system):
        ask_everywhere(system, "/once/crashing", "POST", 6)

        assert set(ask_everywhere(system, "/plain/sound", "GET", 6)) == {200}
