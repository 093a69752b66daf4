"""Framing of responses: kept connections of callers, and malformed framing."""

import socket
import threading
from datetime import timedelta

import pytest
from truncated_answer_cases import (
    ATTEMPT,
    CALLER_TIMEOUT_SECONDS,
    HEAD_END,
    End,
    Ending,
    Gateway,
    Route,
    Script,
    make_events,
)

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

BODY = b"".join(make_events())
SERVER_THREADS = 4


@pytest.fixture(scope="module")
def gateway():
    gateway = Gateway()
    yield gateway
    gateway.close()


@pytest.fixture
def server():
    limits = ServerLimits(1_000, 10_000)
    server = HttpServer(serve_by_path, "127.0.0.1", 0, SERVER_THREADS, limits)
    server.start()
    yield server
    server.stop_listening()
    server.close_idle_connections()


def serve_by_path(environ, start_response):
    """Serve a body with a length, one in chunks, or part of one without framing."""
    if environ["REQUEST_URI"] == "/framed":
        return send_response("200 OK", (), b"whole", start_response, False)
    start_response("200 OK", [])
    if environ["REQUEST_URI"] == "/chunked":
        return iter([b"whole"])
    omit_framing(environ)
    return iterate_broken_body()


def iterate_broken_body():
    yield b"part"
    raise AbortedStreamError(ATTEMPT)


def send_request(caller, path, version="1.1", method="GET"):
    lines = (
        f"{method} {path} HTTP/{version}",
        "Host: a",
        "Connection: keep-alive",
        "",
        "",
    )
    caller.sendall("\r\n".join(lines).encode())


def read_to_end(caller):
    received = b""
    while newest := caller.recv(65_536):
        received += newest
    return received


class TestKeptConnection:
    """A connection of a caller that has carried a whole response."""

    @pytest.mark.parametrize("version", ["1.1", "1.0"])
    def test_body_without_framing_that_breaks_off_is_reset(self, server, version):
        """That the first body was whole says nothing of the second."""
        with socket.create_connection(("127.0.0.1", server.port)) as caller:
            caller.settimeout(CALLER_TIMEOUT_SECONDS)
            send_request(caller, "/framed", version)
            received = b""
            while not received.endswith(b"whole"):
                received += caller.recv(65_536)
            send_request(caller, "/broken", version)

            with pytest.raises(ConnectionResetError):
                read_to_end(caller)


class TestHead:
    """Responses to ``HEAD``, which have no body whatever their headers say."""

    @pytest.mark.parametrize("path", ["/framed", "/chunked"])
    def test_neither_body_nor_length_is_sent(self, server, path):
        """The caller would read the body as its next response.

        The length of the response to ``GET`` isn't known.
        """
        with socket.create_connection(("127.0.0.1", server.port)) as caller:
            caller.settimeout(CALLER_TIMEOUT_SECONDS)
            send_request(caller, path, method="HEAD")
            head, _, body = read_to_end(caller).partition(HEAD_END)

        assert body == b""
        assert b"content-length" not in head.lower()
        assert b"transfer-encoding" not in head.lower()


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
        assert (outcome.body, outcome.is_framed) == (b"", True)

    @pytest.mark.parametrize("sent", [0, 1, 5])
    def test_body_without_framing_is_marked(self, sent):
        """Only its reader may know whether it is complete."""
        outcome = call_service(b"HTTP/1.1 200 OK" + HEAD_END + b"12345"[:sent])

        assert outcome == Reply(200, b"12345"[:sent], {}, is_framed=False)


def make_answer(framing, body, status_line=b"HTTP/1.1 200 OK"):
    """Return an answer whose framing headers are ``framing``."""
    lines = (status_line, b"X-Id: " + ATTEMPT.encode(), *framing)
    return b"\r\n".join(lines) + HEAD_END + body


def frame_chunk(size, chunk_end=b"\r\n"):
    """Return ``BODY`` as a chunk with a written size, and the last chunk."""
    return size + b"\r\n" + BODY + chunk_end + b"0\r\n\r\n"


LENGTH = b"Content-Length: %d" % len(BODY)
CHUNKED = b"Transfer-Encoding: chunked"
HEX_SIZE = b"%x" % len(BODY)
MALFORMED = {
    "two_lengths": ((b"Content-Length: 12", LENGTH), BODY),
    "listed_lengths": ((b"Content-Length: %d, %d" % (len(BODY), len(BODY)),), BODY),
    "empty_length": ((b"Content-Length:",), BODY),
    "negative_length": ((b"Content-Length: -5",), BODY),
    "signed_length": ((b"Content-Length: +12",), BODY),
    "underscored_length": ((b"Content-Length: 1_2",), BODY),
    "worded_length": ((b"Content-Length: many",), BODY),
    "coding_before_chunked": (
        (b"Transfer-Encoding: gzip, chunked",),
        frame_chunk(HEX_SIZE),
    ),
    "coding_and_chunked": (
        (b"Transfer-Encoding: gzip", CHUNKED),
        frame_chunk(HEX_SIZE),
    ),
    "chunked_and_coding": (
        (CHUNKED, b"Transfer-Encoding: gzip"),
        frame_chunk(HEX_SIZE),
    ),
    "unknown_coding_with_length": ((b"Transfer-Encoding: gzip", LENGTH), BODY),
    "chunk_size_with_prefix": ((CHUNKED,), frame_chunk(b"0x" + HEX_SIZE)),
    "chunk_size_with_sign": ((CHUNKED,), frame_chunk(b"+" + HEX_SIZE)),
    "chunk_size_with_underscore": ((CHUNKED,), frame_chunk(b"0_" + HEX_SIZE)),
    "negative_chunk_size": ((CHUNKED,), frame_chunk(b"-" + HEX_SIZE)),
    "negative_last_chunk": ((CHUNKED,), b"-0\r\n\r\n"),
    "chunk_size_line_without_cr": (
        (CHUNKED,),
        HEX_SIZE + b"\n" + BODY + b"\r\n0\r\n\r\n",
    ),
    "space_after_name": ((b"Content-Length : 12",), BODY[:12]),
    "line_without_colon": ((b"no header", LENGTH), BODY),
    "line_without_name": ((b": 24", LENGTH), BODY),
    "chunk_without_its_end": ((CHUNKED,), frame_chunk(HEX_SIZE, b"xx")),
}
VALID = {
    "message_type": ((LENGTH, b"Content-Type: message/http"), BODY),
    "multipart_type": ((LENGTH, b"Content-Type: multipart/mixed"), BODY),
    "equal_lengths": ((LENGTH, LENGTH), BODY),
    "length_between_spaces": ((b"Content-Length:  %d\t " % len(BODY),), BODY),
    "chunked_over_length": ((CHUNKED, b"Content-Length: 12"), frame_chunk(HEX_SIZE)),
    "upper_case": ((b"Transfer-Encoding: Chunked",), frame_chunk(HEX_SIZE.upper())),
    "extension": ((CHUNKED,), frame_chunk(HEX_SIZE + b" ;a=b")),
    "trailer": (
        (CHUNKED,),
        frame_chunk(HEX_SIZE).replace(b"0\r\n\r\n", b"0\r\nA: b\r\n\r\n"),
    ),
}
MALFORMED_STATUS_LINES = (
    b"HTTP/1.1 000 OK",
    b"HTTP/1.1 099 OK",
    b"HTTP/1.1 600 OK",
    b"HTTP/1.1 999 OK",
    b"HTTP/1.1 +200 OK",
    b"HTTP/1.1 -200 OK",
    b"HTTP/1.1 0200 OK",
    b"HTTP/1.1 2_00 OK",
    b"HTTP/1.1 20 OK",
    b"HTTP/1.1 2000 OK",
    b"HTTP/1.1 200.0 OK",
    b"HTTP/1.1 0xc8 OK",
    b"HTTP/1.1 two OK",
    b"HTTP/1.1 200OK",
    b"HTTP/1.1  200 OK",
    b"HTTP/1.1\t200 OK",
    b"HTTP/1.1 200\tOK",
    b" HTTP/1.1 200 OK",
    b"HTTP/1.1 200 O\x00K",
    b"HTTP/1.1 200 O\rK",
    b"HTTP/1.1 OK",
    b"HTTP/1.1",
    b"HTTP/1.x 200 OK",
    b"HTTP/1.10 200 OK",
    b"HTTP/0.9 200 OK",
    b"HTTP/2 200 OK",
    b"HTTP/2.0 200 OK",
    b"http/1.1 200 OK",
    b"ICY 200 OK",
    b"200 OK",
)
VALID_STATUS_LINES = {
    b"HTTP/1.1 200 OK": 200,
    b"HTTP/1.1 200 ": 200,
    b"HTTP/1.1 200": 200,
    b"HTTP/1.1 200 Everything is fine": 200,
    b"HTTP/1.1 200 Tr\xe8s bien": 200,
    b"HTTP/1.1 299 OK": 299,
    b"HTTP/1.0 200 OK": 200,
    b"HTTP/1.1 404 Not Found": 404,
    b"HTTP/1.1 499 Odd": 499,
}
each_route = pytest.mark.parametrize("route", Route, ids=lambda r: r.value)


class TestFraming:
    """Answers of targets whose framing is malformed, or unusual."""

    @each_route
    @pytest.mark.parametrize("case", MALFORMED)
    def test_malformed_framing_is_never_complete(self, gateway, route, case):
        """Guessing where the body ends could deliver part of it as a whole."""
        answer = make_answer(*MALFORMED[case])

        received = gateway.exchange(Script((answer,), End.FIN), route)

        assert received.ending in (Ending.BROKEN, Ending.REFUSED)

    @each_route
    @pytest.mark.parametrize("case", VALID)
    def test_valid_framing_is_complete(self, gateway, route, case):
        answer = make_answer(*VALID[case])

        received = gateway.exchange(Script((answer,), End.FIN), route)

        assert (received.ending, received.body) == (Ending.COMPLETE, BODY)

    @each_route
    @pytest.mark.parametrize(
        "status", [b"100 Continue", b"102 Processing", b"103 Early Hints"]
    )
    def test_interim_answer_is_not_the_answer(self, gateway, route, status):
        """It may have the headers of the final one; its body is not empty."""
        interim = b"HTTP/1.1 " + status + b"\r\nX-Id: " + ATTEMPT.encode() + HEAD_END
        answer = interim * 2 + make_answer((LENGTH,), BODY)

        received = gateway.exchange(Script((answer,), End.FIN), route)

        assert (received.ending, received.body) == (Ending.COMPLETE, BODY)

    @each_route
    def test_switch_of_protocols_is_no_answer(self, gateway, route):
        """No request asks for one, and what follows is not HTTP."""
        head = b"HTTP/1.1 101 Switching Protocols\r\nX-Id: " + ATTEMPT.encode()

        received = gateway.exchange(Script((head + HEAD_END,), End.FIN), route)

        assert received.ending is Ending.REFUSED


class TestStatusLine:
    """Answers of targets whose status lines are malformed, or unusual."""

    @each_route
    @pytest.mark.parametrize("status_line", MALFORMED_STATUS_LINES)
    def test_malformed_status_line_is_no_answer(self, gateway, route, status_line):
        """The target may have run the request, so that it did not is not claimed."""
        answer = make_answer((LENGTH,), BODY, status_line)

        received = gateway.exchange(Script((answer,), End.FIN), route)

        assert (received.ending, received.status) == (Ending.REFUSED, 502)

    @each_route
    @pytest.mark.parametrize("status_line", MALFORMED_STATUS_LINES)
    def test_malformed_interim_status_line_is_no_answer(
        self, gateway, route, status_line
    ):
        """What follows a malformed line may be anything."""
        interim = b"HTTP/1.1 103 Early Hints" + HEAD_END
        answer = interim + make_answer((LENGTH,), BODY, status_line)

        received = gateway.exchange(Script((answer,), End.FIN), route)

        assert (received.ending, received.status) == (Ending.REFUSED, 502)

    @pytest.mark.parametrize("status_line", MALFORMED_STATUS_LINES)
    def test_malformed_status_line_is_no_reply_of_a_service(self, status_line):
        outcome = call_service(make_answer((LENGTH,), BODY, status_line))

        assert isinstance(outcome, Unknown)

    @pytest.mark.parametrize("status_line", VALID_STATUS_LINES)
    def test_valid_status_line_is_passed_on(self, gateway, status_line):
        answer = make_answer((LENGTH,), BODY, status_line)

        received = gateway.exchange(Script((answer,), End.FIN), Route.PLAIN)

        assert (received.status, received.body) == (
            VALID_STATUS_LINES[status_line],
            BODY,
        )
