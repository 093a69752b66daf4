"""Test gateways under callers that break the limits.

Neither a time nor a share of served requests is checked, so that the tests do not
depend on the speed of the machine.
"""

import http.client
from contextlib import ExitStack, suppress
from functools import partial
from itertools import cycle
from urllib.request import urlopen

import pytest

from runhatch_standins._cluster import Sizes, start_cluster
from runhatch_standins._crowds import (
    MEGABYTE,
    announce,
    number_wires,
    open_crowd,
    request_head,
    send_chunks,
    send_many_headers,
    send_part_of_head,
    send_pipelined,
    send_whole,
    stop_short,
    watch_usage,
)
from runhatch_standins._gateways import GatewaySystem, wait_until

MEMORY_MB = 120
"""Memory of a gateway, of which it uses some 45 MB before the first request."""
FD_LIMIT = 400
BODY_BYTES = 1_000_000
HEADER_BYTES = 16_384
SMALL_HEADERS = 1_900
ANSWER_SECONDS = 60.0
NODE_REQUEST_MEMORY = 50_331_648
"""Memory for requests of a node with our own interface."""

CROWDS = {
    "whole bodies at once": (150, partial(send_whole, size=BODY_BYTES)),
    "bodies that stop short": (150, partial(stop_short, size=BODY_BYTES)),
    "the same in pieces": (150, partial(stop_short, size=BODY_BYTES, piece=30_000)),
    "half as long, twice as many": (300, partial(stop_short, size=BODY_BYTES // 2)),
    "large chunks that stop short": (
        150,
        partial(send_chunks, size=950_000, chunk=60_000, ends=False),
    ),
    "small chunks that stop short": (
        150,
        partial(send_chunks, size=900_000, chunk=64, ends=False),
    ),
    "chunks of a byte that stop short": (
        60,
        partial(send_chunks, size=100_000, chunk=1, ends=False),
    ),
    "far over the limit in chunks": (
        150,
        partial(send_chunks, size=20_000_000, chunk=60_000, ends=False),
    ),
    "far over the limit, announced": (
        150,
        partial(announce, announced=100_000_000, size=2_000_000),
    ),
    "many small headers": (300, partial(send_many_headers, count=SMALL_HEADERS)),
    "pipelined requests": (20, partial(send_pipelined, count=400)),
    "more connections than descriptors": (500, send_part_of_head),
}


@pytest.fixture(scope="module")
def system(tmp_path_factory):
    with ExitStack() as stack:
        system = GatewaySystem(stack, tmp_path_factory.mktemp("gateways"))
        system.limits = {
            "max_body_bytes": BODY_BYTES,
            "max_header_bytes": HEADER_BYTES,
        }
        system.memory_mb = MEMORY_MB
        system.fd_limit = FD_LIMIT
        system.configure()
        yield system


@pytest.fixture
def gate(system, request):
    gate = system.start_gateway(f"n-{abs(hash(request.node.name)) % 10**6}")
    yield gate
    system.gateways.remove(gate)
    gate.process.kill()


def is_answered(gate, size=0):
    """Return whether an ordinary request with a body of ``size`` bytes is answered."""
    connection = http.client.HTTPConnection("127.0.0.1", gate.front, timeout=10)
    try:
        # The head is the crowd's own, so that nothing distinguishes the request.
        connection.connect()
        head = request_head("ordinary", f"Content-Length: {size}")
        connection.sock.sendall(head + bytes(size))
        response = http.client.HTTPResponse(connection.sock)
        response.begin()
        return response.status == http.client.OK and bool(response.read())
    except (OSError, http.client.HTTPException):
        return False
    finally:
        connection.close()


def check_survived(gate, usage):
    """Check that the process lives, and stayed within its memory and descriptors."""
    assert gate.process.process.poll() is None
    assert usage.megabytes <= MEMORY_MB
    assert usage.descriptors <= FD_LIMIT


class TestCrowds:
    """A gateway that is sent more than it can hold lives and serves ordinary callers.

    A request with another attempt id is ordinary if it has few bytes.
    """

    @pytest.mark.parametrize("crowd", CROWDS)
    def test_crowd_of_callers(self, gate, crowd):
        count, make_wire = CROWDS[crowd]

        with watch_usage(gate.process.process.pid) as usage:
            wires = number_wires(count, make_wire)
            with open_crowd(cycle([gate.front]), wires):
                assert wait_until(lambda: is_answered(gate), ANSWER_SECONDS)
            assert wait_until(lambda: is_answered(gate, BODY_BYTES), ANSWER_SECONDS)

        check_survived(gate, usage)

    def test_crowd_at_two_listeners(self, gate):
        """What is held counts together, on whichever listener it arrived."""
        wires = number_wires(150, partial(stop_short, size=BODY_BYTES))

        with watch_usage(gate.process.process.pid) as usage:
            with open_crowd(cycle([gate.front, gate.forward]), wires):
                assert wait_until(lambda: is_answered(gate), ANSWER_SECONDS)
            assert wait_until(lambda: is_answered(gate, BODY_BYTES), ANSWER_SECONDS)

        check_survived(gate, usage)

    def test_crowds_of_all_kinds_at_once(self, gate):
        wires = [
            wire
            for name in ("bodies that stop short", "large chunks that stop short")
            for wire in number_wires(75, CROWDS[name][1])
        ]
        wires += number_wires(20, CROWDS["chunks of a byte that stop short"][1])
        wires += number_wires(60, CROWDS["many small headers"][1])

        with watch_usage(gate.process.process.pid) as usage:
            with open_crowd(cycle([gate.front]), wires):
                assert wait_until(lambda: is_answered(gate), ANSWER_SECONDS)
            assert wait_until(lambda: is_answered(gate, BODY_BYTES), ANSWER_SECONDS)

        check_survived(gate, usage)

    def test_crowds_that_come_again(self, gate):
        """What closed connections held is free again."""
        with watch_usage(gate.process.process.pid) as usage:
            for _ in range(3):
                wires = number_wires(150, partial(stop_short, size=BODY_BYTES))
                with open_crowd(cycle([gate.front]), wires):
                    pass
            assert wait_until(lambda: is_answered(gate, BODY_BYTES), ANSWER_SECONDS)

        check_survived(gate, usage)


class TestOwnInterface:
    """Crowds at the listeners of a node with our own interface."""

    @pytest.fixture
    def cluster(self):
        sizes = Sizes(nodes=1, engines=1, models=1, adapters=0)
        settings = {"serving": {"request_memory_bytes": NODE_REQUEST_MEMORY}}
        cluster = start_cluster(sizes, settings)
        yield cluster
        cluster.close()

    @pytest.mark.parametrize(
        ("listener", "count", "size"),
        [("callers", 200, BODY_BYTES), ("operators", 60, 4 * BODY_BYTES)],
    )
    def test_crowd_of_callers(self, cluster, listener, count, size):
        node = cluster.nodes["n1"].process
        wires = number_wires(count, partial(stop_short, size=size))

        def is_node_answered():
            urls = (cluster.caller_url("n1"), cluster.operator_url("n1"))
            with suppress(OSError):
                answers = [urlopen(f"{url}/healthz", timeout=10) for url in urls]
                return {answer.status for answer in answers} == {200}
            return False

        with watch_usage(node.pid) as usage:
            assert wait_until(lambda: usage.megabytes > 0 and is_node_answered())
            at_rest = usage.megabytes
            port = cluster.settings["n1"][listener]["port"]
            with open_crowd(cycle([port]), wires):
                assert wait_until(is_node_answered, ANSWER_SECONDS)
            assert wait_until(is_node_answered, ANSWER_SECONDS)

        assert node.poll() is None
        assert usage.megabytes <= at_rest + 2 * NODE_REQUEST_MEMORY / MEGABYTE


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
