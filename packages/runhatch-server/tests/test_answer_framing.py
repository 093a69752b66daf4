"""Framing of responses: kept connections of callers, and malformed framing."""

import socket

import pytest
from truncated_answer_cases import ATTEMPT, CALLER_TIMEOUT_SECONDS

from runhatch_server.http import (
    AbortedStreamError,
    HttpServer,
    ServerLimits,
    omit_framing,
    send_response,
)

SERVER_THREADS = 4


@pytest.fixture
def server():
    limits = ServerLimits(1_000, 10_000)
    server = HttpServer(serve_framed_or_broken, "127.0.0.1", 0, SERVER_THREADS, limits)
    server.start()
    yield server
    server.stop_listening()
    server.close_idle_connections()


def serve_framed_or_broken(environ, start_response):
    """Serve a framed body, or part of one without framing."""
    if environ["REQUEST_URI"] == "/framed":
        return send_response("200 OK", (), b"whole", start_response, False)
    omit_framing(environ)
    start_response("200 OK", [])
    return iterate_broken_body()


def iterate_broken_body():
    yield b"part"
    raise AbortedStreamError(ATTEMPT)


def send_get(caller, path, version):
    lines = (f"GET {path} HTTP/{version}", "Host: a", "Connection: keep-alive", "", "")
    caller.sendall("\r\n".join(lines).encode())


def read_to_end(caller):
    while caller.recv(65_536):
        continue


class TestKeptConnection:
    """A connection of a caller that has carried a whole response."""

    @pytest.mark.parametrize("version", ["1.1", "1.0"])
    def test_body_without_framing_that_breaks_off_is_reset(self, server, version):
        """That the first body was whole says nothing of the second."""
        with socket.create_connection(("127.0.0.1", server.port)) as caller:
            caller.settimeout(CALLER_TIMEOUT_SECONDS)
            send_get(caller, "/framed", version)
            received = b""
            while not received.endswith(b"whole"):
                received += caller.recv(65_536)
            send_get(caller, "/broken", version)

            with pytest.raises(ConnectionResetError):
                read_to_end(caller)
