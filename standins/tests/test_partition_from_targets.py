"""Test gateways that can't reach any target, but their peers, callers and the store.

Every path to the targets fails there, so requests have to take another way.
"""

import http.client
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack

import pytest

from runhatch_standins._gateways import GatewaySystem, request_headers, wait_until
from runhatch_standins._target_paths import PathFault

GATEWAYS = 4
DISCOVERY_SECONDS = 4.0
TOKENS = 8
TIMEOUT_SECONDS = 3.0
TRY_INTERVAL_SECONDS = 0.25
"""Interval between the tries of one caller."""
CALLERS = 3
"""Callers of each kind of request at each gateway."""
BEFORE_SECONDS = 1.0
CONTACT_SECONDS = 3.0
"""Time after the start of a cut from which on tries must be served."""
WINDOW_SECONDS = 3.0
MIN_SERVED_SHARE = 2 / 3


@pytest.fixture(scope="module")
def system(tmp_path_factory):
    with ExitStack() as stack:
        folder = tmp_path_factory.mktemp("gateways")
        system = GatewaySystem(stack, folder, has_paths=True)
        while len(system.gateways) < GATEWAYS:
            system.start_gateway(f"n{len(system.gateways) + 1}")
        time.sleep(DISCOVERY_SECONDS)
        yield system


@pytest.fixture(autouse=True)
def heal_paths(system):
    yield
    for gate in system.gateways:
        system.paths.cut(gate.name, PathFault.NONE)
    for gate in system.gateways:
        assert wait_until(lambda gate=gate: all(try_both(gate, "healed")))


def try_request(gate, path, name, model=""):
    """Send a first try on a new connection; return whether it was served."""
    connection = http.client.HTTPConnection("127.0.0.1", gate.front, timeout=3)
    try:
        headers = request_headers(name, model, TOKENS)
        headers["X-Runhatch-Deadline-Ms"] = str(int(TIMEOUT_SECONDS * 1000))
        connection.request("POST" if model else "GET", path, headers=headers)
        response = connection.getresponse()
        body = response.read()
    except (OSError, http.client.HTTPException):
        return False
    finally:
        connection.close()
    if response.status != 200:
        return False
    return body.count(b"data: ") == TOKENS if model else body.endswith(name.encode())


def try_both(gate, name):
    return (
        try_request(gate, f"/plain/{name}", f"p-{name}"),
        try_request(gate, f"/stream/{name}", f"s-{name}", "m1"),
    )


class Callers:
    """Callers that try both kinds of requests at all gateways until stopped."""

    def __init__(self, gateways):
        self._stop = threading.Event()
        self._pool = ThreadPoolExecutor(2 * CALLERS * len(gateways))
        self.tries = []
        """Gateway, start in seconds of the monotonic clock, and whether served."""
        for gate in gateways:
            for number in range(2 * CALLERS):
                self._pool.submit(self._run, gate, number)

    def _run(self, gate, number):
        path, model = ("/plain/", "") if number % 2 else ("/stream/", "m1")
        while not self._stop.is_set():
            begins = time.monotonic()
            name = f"{gate.name}-{number}-{time.monotonic_ns()}"
            served = try_request(gate, path + name, name, model)
            self.tries.append((gate.name, begins, served))
            self._stop.wait(begins + TRY_INTERVAL_SECONDS - time.monotonic())

    def stop(self):
        self._stop.set()
        self._pool.shutdown()


@pytest.mark.parametrize("cut_count", [1, GATEWAYS - 1], ids=["one cut", "most cut"])
@pytest.mark.parametrize(
    "fault",
    [PathFault.RESET, PathFault.HANG, PathFault.NEW_REFUSED],
    ids=lambda fault: fault.name.lower(),
)
def test_first_tries_at_cut_gateways_are_served(system, fault, cut_count):
    """Both the cut gateways and the others serve most tries."""
    callers = Callers(system.gateways)
    time.sleep(BEFORE_SECONDS)
    for gate in system.gateways[:cut_count]:
        system.paths.cut(gate.name, fault)
    begins = time.monotonic() + CONTACT_SECONDS
    time.sleep(CONTACT_SECONDS + WINDOW_SECONDS)
    ends = time.monotonic()
    callers.stop()

    shares = {}
    for gate in system.gateways:
        served = [
            was_served
            for name, at, was_served in callers.tries
            if name == gate.name and begins <= at < ends
        ]
        shares[gate.name] = sum(served) / len(served)
    assert min(shares.values()) >= MIN_SERVED_SHARE, shares
