"""Test that answers claim no more than their targets' framing.

A stream that ends inside an event, or before its first, has been broken off.  One
with neither a length nor chunks may do so by a normal close of its connection.
"""

import socket
import time
from contextlib import ExitStack
from dataclasses import dataclass

import pytest

from runhatch_standins._cluster import call
from runhatch_standins._gateways import (
    GatewaySystem,
    request_headers,
    wait_until,
)

TOKENS = 8
RETRY_PAUSE_SECONDS = 0.8
"""With its share of the retry budget a node may retry about once in this time."""
SECONDS = 10.0
NAME = "attempt-0000"
"""An attempt id of the length of those sent, which gives the lengths of events."""


def write_events(name, first, last):
    return b"".join(
        f"id: {number}\ndata: {name}\n\n".encode() for number in range(first, last + 1)
    )


INCOMPLETE_PLACES = {
    "before the first event": 0,
    "inside the first event": 7,
    "inside an id": len(write_events(NAME, 1, 3)) + 2,
    "inside data": len(write_events(NAME, 1, 4)) - 6,
    "before the blank line": len(write_events(NAME, 1, 4)) - 1,
    "inside the last event": len(write_events(NAME, 1, TOKENS)) - 1,
}
BETWEEN_EVENTS = len(write_events(NAME, 1, 3))

incomplete_places = pytest.mark.parametrize(
    "at", INCOMPLETE_PLACES.values(), ids=INCOMPLETE_PLACES
)
ends = pytest.mark.parametrize("is_reset", [False, True], ids=["closed", "reset"])


@dataclass(frozen=True, slots=True)
class RawAnswer:
    """An answer as it arrived on a caller's socket, until the connection ended."""

    head: bytes
    rest: bytes
    is_reset: bool

    @property
    def status(self):
        return int(self.head.split()[1])

    @property
    def is_chunked(self):
        return b"\r\ntransfer-encoding: chunked" in self.head.lower()

    @property
    def is_framed(self):
        return self.is_chunked or b"\r\ncontent-length:" in self.head.lower()

    @property
    def body(self):
        return self._decode_chunks()[0] if self.is_chunked else self.rest

    @property
    def looks_complete(self):
        if self.is_chunked:
            return self._decode_chunks()[1]
        if self.is_framed:
            fields = self.head.lower().partition(b"\r\ncontent-length:")[2]
            return len(self.rest) == int(fields.split()[0])
        return not self.is_reset

    def _decode_chunks(self):
        """Return the data of the chunks, and whether the last chunk arrived."""
        body, rest = b"", self.rest
        while rest:
            size, _, rest = rest.partition(b"\r\n")
            if int(size, 16) == 0:
                return body, rest == b"\r\n"
            body += rest[: int(size, 16)]
            rest = rest[int(size, 16) + 2 :]
        return body, False


def receive(connection):
    """Return all bytes until the connection ends, and whether it was reset."""
    received = b""
    while True:
        try:
            data = connection.recv(65_536)
        except ConnectionResetError:
            return received, True
        if not data:
            return received, False
        received += data


class System:
    """Gateways, and callers that read answers from their sockets."""

    def __init__(self, gateways):
        self._gateways = gateways
        self._number = 0

    def set_faults(self, **faults):
        for worker in (*self._gateways.engines, *self._gateways.plain):
            call(worker.url, "POST", "/faults", faults)

    def break_off_once(self, folder, unframed, at, is_reset):
        self.set_faults(
            unframed=unframed,
            break_at=at,
            break_by_reset=is_reset,
            break_once_in=str(folder),
        )

    def send(self, prefix, method="POST", model="m1"):
        """Send a request to the gateways in turn; return its id and the answer."""
        self._number += 1
        name = f"attempt-{self._number:04}"
        headers = {**request_headers(name, model, TOKENS), "Connection": "close"}
        lines = [f"{method} {prefix}{name} HTTP/1.1"]
        lines += [f"{field}: {value}" for field, value in headers.items()]
        if method == "POST":
            lines.append("Content-Length: 0")
        gateways = self._gateways.gateways
        address = ("127.0.0.1", gateways[self._number % len(gateways)].front)
        with socket.create_connection(address, SECONDS) as connection:
            connection.sendall("\r\n".join([*lines, "", ""]).encode())
            received, is_reset = receive(connection)
        head, _, rest = received.partition(b"\r\n\r\n")
        return name, RawAnswer(head, rest, is_reset)

    def count_runs(self, name):
        workers = [*self._gateways.engines, *self._gateways.plain]
        return sum(run[0] == name for run in self._gateways.runs(workers))


@pytest.fixture(scope="module")
def shared_system(tmp_path_factory):
    with ExitStack() as stack:
        gateways = GatewaySystem(stack, tmp_path_factory.mktemp("gateways"))
        system = System(gateways)
        for _ in gateways.gateways:
            assert wait_until(lambda: system.send("/resumable/")[1].status == 200)
        yield system


@pytest.fixture
def system(shared_system):
    yield shared_system
    shared_system.set_faults()


class TestFramedStreams:
    """Targets that answer in chunks."""

    @ends
    @pytest.mark.parametrize(
        "at",
        [*INCOMPLETE_PLACES.values(), BETWEEN_EVENTS],
        ids=[*INCOMPLETE_PLACES, "between events"],
    )
    def test_broken_off_stream_never_looks_complete(self, system, at, is_reset):
        system.set_faults(break_at=at, break_by_reset=is_reset)

        name, answer = system.send("/stream/")

        assert answer.status != 200 or not answer.looks_complete
        assert system.count_runs(name) == 1

    def test_whole_stream_looks_complete(self, system):
        name, answer = system.send("/stream/")

        assert answer.looks_complete
        assert answer.body == write_events(name, 1, TOKENS)


class TestUnframedStreams:
    """Targets whose streams have neither a length nor chunks."""

    @ends
    @incomplete_places
    def test_stream_broken_off_inside_an_event_is_reset(self, system, at, is_reset):
        system.set_faults(unframed=True, break_at=at, break_by_reset=is_reset)

        name, answer = system.send("/stream/")

        assert answer.status != 200 or not answer.looks_complete
        assert system.count_runs(name) == 1

    def test_stream_reset_between_events_is_reset(self, system):
        system.set_faults(unframed=True, break_at=BETWEEN_EVENTS, break_by_reset=True)

        _, answer = system.send("/stream/")

        assert not answer.looks_complete

    def test_stream_closed_between_events_stays_unframed(self, system):
        """Nothing distinguishes its end from that of a whole stream."""
        system.set_faults(unframed=True, break_at=BETWEEN_EVENTS)

        name, answer = system.send("/stream/")

        assert answer.body == write_events(name, 1, 3)
        assert not answer.is_framed
        assert not answer.is_reset

    def test_whole_stream_stays_unframed(self, system):
        system.set_faults(unframed=True)

        name, answer = system.send("/stream/")

        assert answer.status == 200
        assert answer.body == write_events(name, 1, TOKENS)
        assert not answer.is_framed
        assert not answer.is_reset


class TestUnframedPlainAnswers:
    """Targets whose plain answers have neither a length nor chunks."""

    @pytest.mark.parametrize(
        ("prefix", "method"), [("/plain/", "GET"), ("/once/", "POST")]
    )
    def test_plain_answer_stays_unframed(self, system, prefix, method):
        system.set_faults(unframed=True)

        name, answer = system.send(prefix, method, model="")

        assert answer.status == 200
        assert answer.body == f"{prefix}{name} {name}".encode()
        assert not answer.is_framed
        assert not answer.is_reset

    def test_framed_answer_stays_framed(self, system):
        name, answer = system.send("/plain/", "GET", model="")

        assert answer.looks_complete
        assert answer.is_framed
        assert answer.body == f"/plain/{name} {name}".encode()


def receive_resumed(system):
    """Receive a whole stream that is broken off once; return its attempt id."""
    name, answer = system.send("/resumable/")
    assert answer.body == write_events(name, 1, TOKENS)
    assert answer.looks_complete
    return name


class TestResumableStreams:
    """Streams that gateways resume at another target."""

    @pytest.fixture(autouse=True)
    def wait_for_retry_budget(self):
        yield
        time.sleep(RETRY_PAUSE_SECONDS)

    @ends
    @pytest.mark.parametrize("unframed", [False, True], ids=["framed", "unframed"])
    @incomplete_places
    def test_stream_broken_off_is_resumed(
        self, system, tmp_path, at, unframed, is_reset
    ):
        system.break_off_once(tmp_path, unframed, at, is_reset)

        name = receive_resumed(system)

        assert system.count_runs(name) == 2

    @pytest.mark.parametrize(
        ("unframed", "is_reset"),
        [(False, False), (False, True), (True, True)],
        ids=["framed-closed", "framed-reset", "unframed-reset"],
    )
    def test_stream_broken_off_between_events_is_resumed(
        self, system, tmp_path, unframed, is_reset
    ):
        system.break_off_once(tmp_path, unframed, BETWEEN_EVENTS, is_reset)

        receive_resumed(system)

    def test_unframed_stream_closed_between_events_stays_unframed(self, system):
        system.set_faults(unframed=True, break_at=BETWEEN_EVENTS)

        name, answer = system.send("/resumable/")

        assert answer.body == write_events(name, 1, 3)
        assert not answer.is_framed
        assert not answer.is_reset
