"""Answers without end are given up in time, with bounded memory, by each client.

A target that sent such bytes once ended a node, which kept them until it had no memory
left, or occupied a thread for good.
"""

import http.client
import socket
import threading
import time
from dataclasses import replace

import pytest
from gateway_cases import make_target, seconds

from runhatch_coordination import SystemClock, Unknown
from runhatch_server.gateway._connections import TargetConnection
from runhatch_server.http import MAX_BODY_BYTES, HttpClient, Reply
from runhatch_server.targets import OpenAnswer, TargetClient, TargetRequest

TIMEOUT_SECONDS = 0.6
MARGIN_SECONDS = 1.0
"""Time that reading and refusing a whole body may take beyond the timeout."""
MAX_BUFFERED_BYTES = 16 * 1024 * 1024
"""What sockets may buffer of the bytes that were sent."""
OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"
PART = b"x" * 8192
ENDLESS_HEADS = {
    "interim responses": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 500, 0),
    "status line": (b"HTTP/1.1 200 ", PART, 0),
    "header lines": (OK, b"a: b\r\n" * 1000, 0),
    "slow header lines": (OK, b"a: b\r\n", 0.05),
    "no HTTP": (b"", b"\x00\xff" * 4096, 0),
}
ENDLESS_BODIES = {
    "body without length": (OK + b"\r\n", PART, 0),
    "body in chunks": (CHUNKED, b"2000\r\n" + PART + b"\r\n", 0),
    "chunk size line": (CHUNKED, b"0" * 8192, 0),
    "slow chunk size line": (CHUNKED, b"0", 0.05),
    "trailer lines": (CHUNKED + b"0\r\n", b"a: b\r\n" * 1000, 0),
    "slow trailer lines": (CHUNKED + b"0\r\n", b"a: b\r\n", 0.05),
    "slow body": (OK + b"\r\n", b"x", 0.05),
}


class EndlessServer:
    """Sends ``first``, then ``rest`` again and again, ``pause`` seconds apart."""

    def __init__(self, first, rest, pause):
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.port = self._listener.getsockname()[1]
        self.sent_bytes = 0
        self.closed_by_client = threading.Event()
        arguments = (first, rest, pause)
        threading.Thread(target=self._serve, args=arguments, daemon=True).start()

    def close(self):
        self._listener.close()

    def _serve(self, first, rest, pause):
        connection, _ = self._listener.accept()
        with connection:
            try:
                connection.recv(65_536)
                connection.sendall(first)
                while True:
                    connection.sendall(rest)
                    self.sent_bytes += len(rest)
                    time.sleep(pause)
            except OSError:
                self.closed_by_client.set()


def call_service(port):
    """Read a document of a service, as the store's and the targets' clients do."""
    client = HttpClient(f"http://127.0.0.1:{port}", seconds(TIMEOUT_SECONDS))
    assert isinstance(client.send_request("GET", "/"), Unknown)


def call_target(port):
    """Read a whole answer of a target, as the gateway does."""
    target = replace(make_target(), port=port)
    connection = TargetConnection(target, SystemClock())
    connection.connect(seconds(1))
    connection.send("GET", "/", (("host", "a"),), b"", seconds(1))
    try:
        connection.read_head(seconds(TIMEOUT_SECONDS))
        connection.set_timeout(seconds(TIMEOUT_SECONDS))
        body = connection.read_body()
    except (OSError, http.client.HTTPException):
        body = None
    connection.close()
    assert body is None


def call_declared_target(port):
    """Read a whole answer of a declared target."""
    clock = SystemClock()
    deadline = clock.elapsed() + seconds(TIMEOUT_SECONDS)
    url = f"http://127.0.0.1:{port}"
    request = TargetRequest(
        url, "POST", "/", b"", {}, "r1", deadline, requires_id_echo=False
    )
    answer = TargetClient(clock).send(request, lambda: False)
    if isinstance(answer, OpenAnswer):
        with pytest.raises((OSError, http.client.HTTPException)):
            answer.read_answer()
        answer.close()


@pytest.mark.parametrize("name", [*ENDLESS_HEADS, *ENDLESS_BODIES])
@pytest.mark.parametrize("call", [call_service, call_target, call_declared_target])
def test_an_endless_answer_is_given_up(call, name):
    server = EndlessServer(*(ENDLESS_HEADS | ENDLESS_BODIES)[name])
    started_at = time.monotonic()

    call(server.port)

    assert time.monotonic() - started_at < TIMEOUT_SECONDS + MARGIN_SECONDS
    assert server.closed_by_client.wait(MARGIN_SECONDS)
    assert server.sent_bytes < MAX_BODY_BYTES + MAX_BUFFERED_BYTES
    server.close()


@pytest.mark.parametrize(("limit", "is_read"), [(len(PART), True), (8_000, False)])
def test_a_client_reads_no_more_than_its_limit(limit, is_read):
    """Targets that sent reports without end had the orderer keep 16 MB of each."""
    answer = OK + b"Content-Length: %d\r\n\r\n" % len(PART)
    server = EndlessServer(answer, PART, 0)
    url = f"http://127.0.0.1:{server.port}"
    client = HttpClient(url, seconds(TIMEOUT_SECONDS), max_body_bytes=limit)

    reply = client.send_request("GET", "/")

    assert isinstance(reply, Reply if is_read else Unknown)
    server.close()


def test_a_slow_stream_is_read_for_longer_than_the_timeout():
    server = EndlessServer(CHUNKED, b"3\r\nabc\r\n", 0.1)
    connection = TargetConnection(
        replace(make_target(), port=server.port), SystemClock()
    )
    connection.connect(seconds(1))
    connection.send("GET", "/", (("host", "a"),), b"", seconds(1))
    connection.read_head(seconds(1))
    connection.set_timeout(seconds(TIMEOUT_SECONDS / 2))

    started_at = time.monotonic()
    while time.monotonic() - started_at < 2 * TIMEOUT_SECONDS:
        assert connection.wait_readable(seconds(1))
        assert connection.read_chunk() == b"abc"
    connection.close()
    server.close()
