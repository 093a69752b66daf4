"""Connections of callers that send without end."""

import socket
import time

import pytest
from gateway_cases import seconds

from runhatch_server.http import HttpServer, ServerLimits

HEADER_TIMEOUT_SECONDS = 0.5
CLEANUP_SECONDS = 0.2
MARGIN_SECONDS = 2.0
"""Time for the interval of the event loop, which is a second while nothing happens."""


@pytest.fixture
def server():
    def answer(environ, start_response):
        start_response("200 OK", [("Content-Length", "2")])
        return [b"ok"]

    limits = ServerLimits(1_000, 1_000, header_timeout=seconds(HEADER_TIMEOUT_SECONDS))
    server = HttpServer(answer, "127.0.0.1", 0, 10, limits)
    server._server.adj.cleanup_interval = CLEANUP_SECONDS
    server.start()
    yield server
    server.stop_listening()


def send_slowly(server, first, part, duration):
    """Send ``part`` each 50 ms; return the answer, ``None`` if it is closed before."""
    with socket.create_connection(("127.0.0.1", server.port), timeout=0.05) as caller:
        caller.sendall(first)
        ends_at = time.monotonic() + duration
        while time.monotonic() < ends_at:
            try:
                answer = caller.recv(1_000)
            except TimeoutError:
                try:
                    caller.sendall(part)
                except OSError:
                    return None
                continue
            except OSError:
                return None
            return answer or None
    pytest.fail(f"not closed after {duration} s")


def test_a_head_that_never_ends_is_given_up(server):
    """Each connection that a caller keeps so is one that others cannot open."""
    duration = HEADER_TIMEOUT_SECONDS + CLEANUP_SECONDS + MARGIN_SECONDS

    assert send_slowly(server, b"GET / HTTP/1.1\r\na: ", b"b", duration) is None


def test_a_slow_body_is_received(server):
    """The time for the head does not limit the body."""
    head = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 30\r\n\r\n"

    answer = send_slowly(server, head, b"x", 30 * 0.05 + MARGIN_SECONDS)

    assert answer.startswith(b"HTTP/1.1 200 OK")
