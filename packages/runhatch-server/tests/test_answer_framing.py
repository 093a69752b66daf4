"""Framing of responses: kept connections of callers, and malformed framing."""

import socket
import threading
from datetime import timedelta

import pytest
from truncated_answer_cases import ATTEMPT, CALLER_TIMEOUT_SECONDS, HEAD_END

from runhatch_coordination import Unknown
from runhatch_server.http import (
    AbortedStreamError,
    HttpClient,
    HttpServer,
    Reply,
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


class RawService:
    """Answers each connection's request with ``answer``, then closes it."""

    def __init__(self, answer):
        self._answer = answer
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.url = f"http://127.0.0.1:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._serve, daemon=True).start()

    def close(self):
        self._listener.close()

    def _serve(self):
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            with connection:
                connection.recv(65_536)
                connection.sendall(self._answer)


def call_service(answer):
    service = RawService(answer)
    try:
        return HttpClient(service.url, timedelta(seconds=1)).send_request("GET", "/x")
    finally:
        service.close()


class TestHttpClient:
    """Responses of services such as the store, whose connection is closed early."""

    @pytest.mark.parametrize("sent", range(5))
    def test_truncated_body_is_no_reply(self, sent):
        head = b"HTTP/1.1 200 OK\r\nContent-Length: 5" + HEAD_END

        outcome = call_service(head + b"12345"[:sent])

        assert isinstance(outcome, Unknown)

    @pytest.mark.parametrize(
        "answer",
        [
            b"HTTP/1.1 200 OK\r\nContent-Length: 0" + HEAD_END,
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked" + HEAD_END + b"0\r\n\r\n",
            b"HTTP/1.1 204 No Content" + HEAD_END,
        ],
        ids=["length", "chunked", "no_content"],
    )
    def test_empty_body_is_a_reply(self, answer):
        outcome = call_service(answer)

        assert isinstance(outcome, Reply)
        assert outcome.body == b""
