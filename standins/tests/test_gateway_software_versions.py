"""Test that real gateways continue a stream at one software version only."""

import http.client
import itertools
from contextlib import ExitStack

import pytest

from runhatch_standins._cluster import call
from runhatch_standins._gateways import GatewaySystem, wait_until

TOKENS = 8
STREAMS = 12
GATES = (0, 1)
BREAK_AT = len(b"id: 1\ndata: attempt-0000\n\n") * 3
"""Length of the first three events."""


class System:
    """Gateways, and four engines of two versions with the same model."""

    def __init__(self, gateways):
        self.gateways = gateways
        self._versions = [(worker, "v1") for worker in gateways.engines]
        for _ in range(2):
            worker = gateways.start_worker("engine", "m1", "v2")
            self._versions.append((worker, "v2"))
            gateways.engines.append(worker)
        self._numbers = itertools.count(1)

    def set_faults(self, **faults):
        for worker in self.gateways.engines:
            call(worker.url, "POST", "/faults", faults)

    def send(self, gate, **headers):
        """Send a resumable request; return its id, its status and its events."""
        name = f"attempt-{next(self._numbers):04}"
        connection, response = self.gateways.ask(
            f"/resumable/{name}", "POST", gate, name, "m1", TOKENS, **headers
        )
        try:
            body = response.read()
        except http.client.IncompleteRead as error:
            body = error.partial
        connection.close()
        return name, response.status, body.count(b"\n\n")

    def find_versions(self, name):
        """Return the versions of the targets at which ``name`` ran, one a run."""
        return [
            version
            for worker, version in self._versions
            for run in self.gateways.runs([worker])
            if run[0] == name
        ]


@pytest.fixture(scope="module")
def shared_system(tmp_path_factory):
    with ExitStack() as stack:
        gateways = GatewaySystem(stack, tmp_path_factory.mktemp("gateways"))
        system = System(gateways)
        used = set()

        def serves_both_versions(gate):
            name, status, _ = system.send(gate)
            used.update((gate, each) for each in system.find_versions(name))
            return status == 200 and {(gate, "v1"), (gate, "v2")} <= used

        for gate in GATES:
            assert wait_until(lambda gate=gate: serves_both_versions(gate))
        yield system


@pytest.fixture
def system(shared_system):
    yield shared_system
    shared_system.set_faults()


def test_stream_that_breaks_off_is_resumed_at_its_version(system, tmp_path):
    system.set_faults(break_at=BREAK_AT, break_once_in=str(tmp_path))
    resumed_count = 0
    for number in range(STREAMS):
        name, status, events = system.send(GATES[number % len(GATES)])
        versions = system.find_versions(name)

        assert len(set(versions)) == 1
        resumed_count += len(versions) == 2
        assert status == 200
        assert events == TOKENS or len(versions) == 1
    assert resumed_count >= 2


@pytest.mark.parametrize("is_same_gateway", [True, False])
def test_stream_that_its_caller_resumes_goes_on_at_its_version(system, is_same_gateway):
    """A gateway that does not know the version refuses the request."""
    first_gate, other_gate = GATES
    second_gate = first_gate if is_same_gateway else other_gate
    for _ in range(STREAMS):
        begun, _, _ = system.send(first_gate)
        name, status, events = system.send(
            second_gate, **{"Last-Event-Id": "3", "Resumes": begun}
        )

        if status == 200:
            assert events == TOKENS - 3
            assert system.find_versions(name) == system.find_versions(begun)
        else:
            assert (status, system.find_versions(name)) == (503, [])
            assert not is_same_gateway
