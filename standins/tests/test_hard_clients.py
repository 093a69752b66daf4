"""Test gateways under callers that break the limits.

Neither a time nor a share of served requests is checked, so that the tests do not
depend on the speed of the machine.
"""

from contextlib import ExitStack
from functools import partial

import pytest

from runhatch_standins._crowds import (
    announce,
    number_wires,
    open_crowd,
    send_chunks,
    send_whole,
)
from runhatch_standins._gateways import GatewaySystem, wait_until

BODY_BYTES = 1_000_000
HEADER_BYTES = 16_384
ANSWER_SECONDS = 60.0


@pytest.fixture(scope="module")
def system(tmp_path_factory):
    with ExitStack() as stack:
        system = GatewaySystem(stack, tmp_path_factory.mktemp("gateways"))
        system.limits = {
            "max_body_bytes": BODY_BYTES,
            "max_header_bytes": HEADER_BYTES,
        }
        system.configure()
        yield system


@pytest.fixture
def gate(system, request):
    gate = system.start_gateway(f"n-{abs(hash(request.node.name)) % 10**6}")
    yield gate
    system.gateways.remove(gate)
    gate.process.kill()


class TestRefusals:
    """Refusals of requests that are too large reach callers that go on sending."""

    @pytest.mark.parametrize(
        "make_wire",
        [
            partial(send_chunks, size=20_000_000, chunk=60_000),
            partial(announce, announced=20_000_000, size=20_000_000),
        ],
    )
    def test_too_large_a_body_is_refused_readably(self, gate, make_wire):
        with open_crowd([gate.front], number_wires(1, make_wire)) as crowd:
            assert crowd.statuses == [413]


class TestLegalBodies:
    """A body within the limits is served however it is cut."""

    @pytest.mark.parametrize(
        ("size", "chunk"),
        [
            (BODY_BYTES, None),
            (BODY_BYTES, BODY_BYTES),
            (BODY_BYTES, 16_384),
            (BODY_BYTES, 100),
            (BODY_BYTES, 7),
            (BODY_BYTES, 1),
        ],
    )
    def test_body_is_served(self, gate, size, chunk):
        make_wire = (
            partial(send_whole, size=size)
            if chunk is None
            else partial(send_chunks, size=size, chunk=chunk)
        )
        wires = number_wires(1, make_wire)

        with open_crowd([gate.front], wires, ANSWER_SECONDS) as crowd:
            assert wait_until(lambda: crowd.settle() or crowd.statuses, ANSWER_SECONDS)
            assert crowd.statuses == [200]
