"""Connections of callers that send too much, too slowly or too many requests."""

import http.client
import json
import socket
import time
from contextlib import contextmanager

import pytest
from gateway_cases import seconds

from runhatch_server.http import HttpServer, RequestMemory, ServerLimits
from runhatch_server.http._parser import PostponedParser
from runhatch_server.observability import Metrics

MAX_BODY = 100_000
LARGE_BODY = 8_000_000
"""More than the buffers of a connection hold."""
MAX_HEADER = 4_000
MEMORY = 40_000_000
BODY_TIMEOUT_SECONDS = 0.5
MIN_BODY_PROGRESS_BYTES = 1_000
WAIT_SECONDS = 20.0
PIPELINED = 50
CONNECTIONS = 12
"""Maximum of one server, which counts its listener and the trigger of its thread."""


class App:
    """Echoes the length of each body, and records the paths that it was asked for."""

    def __init__(self):
        self.paths = []

    def __call__(self, environ, start_response):
        body = environ["wsgi.input"].read()
        self.paths.append(environ["PATH_INFO"])
        answer = f"{environ['PATH_INFO']} {len(body)}".encode()
        start_response("200 OK", [("Content-Length", str(len(answer)))])
        return [answer]


@pytest.fixture
def app():
    return App()


@pytest.fixture
def metrics():
    return Metrics()


@pytest.fixture
def memory():
    return RequestMemory(MEMORY)


@pytest.fixture
def start_server(app, memory, metrics):
    servers = []

    def start(max_body=MAX_BODY):
        limits = ServerLimits(
            max_body,
            MAX_HEADER,
            header_timeout=seconds(30),
            body_timeout=seconds(BODY_TIMEOUT_SECONDS),
            min_body_progress_bytes=MIN_BODY_PROGRESS_BYTES,
        )
        server = HttpServer(
            app,
            "127.0.0.1",
            0,
            10,
            limits,
            CONNECTIONS,
            memory,
            metrics=metrics,
        )
        server.start()
        servers.append(server)
        return server

    yield start
    for server in servers:
        server.stop_listening()
        server.close_idle_connections()


@pytest.fixture
def server(start_server):
    return start_server()


@contextmanager
def connect(server, *sent):
    with socket.create_connection(("127.0.0.1", server.port), WAIT_SECONDS) as caller:
        for part in sent:
            caller.sendall(part)
        yield caller


def post(path, *headers):
    lines = (f"POST {path} HTTP/1.1", "Host: a", *headers, "", "")
    return "\r\n".join(lines).encode()


def read_response(caller, method="POST"):
    response = http.client.HTTPResponse(caller, method=method)
    response.begin()
    return response, response.read()


def receive_until(caller, end):
    """Return what ``caller`` receives up to ``end``."""
    received = b""
    while not received.endswith(end):
        newest = caller.recv(1_000)
        assert newest, received
        received += newest
    return received


def wait_until(holds):
    deadline = time.monotonic() + WAIT_SECONDS
    while not holds():
        assert time.monotonic() < deadline
        time.sleep(0.01)


class TestBodyLimit:
    """The limit applies to the content of a body, not to its framing."""

    @pytest.mark.parametrize("chunk", [1, 2, 33, MAX_BODY])
    def test_largest_body_is_served_in_chunks(self, server, chunk):
        whole = b"%x\r\n%s\r\n" % (chunk, b"x" * chunk)
        rest = MAX_BODY % chunk
        last = b"%x\r\n%s\r\n" % (rest, b"x" * rest) if rest else b""
        head = post("/a", "Transfer-Encoding: chunked")

        wire = whole * (MAX_BODY // chunk) + last + b"0\r\n\r\n"
        with connect(server, head, wire) as caller:
            response, body = read_response(caller)

        assert (response.status, body) == (200, b"/a %d" % MAX_BODY)

    @pytest.mark.parametrize(
        ("head", "body"),
        [
            (post("/a", f"Content-Length: {LARGE_BODY + 1}"), bytes(LARGE_BODY + 1)),
            (
                post("/a", "Transfer-Encoding: chunked"),
                b"%x\r\n%s\r\n0\r\n\r\n" % (2 * LARGE_BODY, bytes(2 * LARGE_BODY)),
            ),
        ],
    )
    def test_refusal_reaches_a_caller_that_sends_all_first(
        self, start_server, head, body
    ):
        """A reset would end its sending, or discard what it has not read yet."""
        with connect(start_server(LARGE_BODY), head, body) as caller:
            response, content = read_response(caller)

        assert response.status == 413
        assert json.loads(content)["reason"] == "body_too_large"
        assert response.headers["Connection"] == "close"

    def test_caller_that_expects_to_continue_is_refused(self, server):
        length = f"Content-Length: {MAX_BODY + 1}"
        head = post("/a", length, "Expect: 100-continue")

        with connect(server, head) as caller:
            assert caller.recv(12) == b"HTTP/1.1 413"

    def test_rest_of_a_refused_body_is_no_request(self, server, app):
        """The caller may hide a request in a body."""
        hidden = b"GET /hidden HTTP/1.1\r\nHost: a\r\n\r\n"
        head = post("/a", f"Content-Length: {MAX_BODY + 1}")

        with connect(server, head + hidden * 20) as caller:
            response, _ = read_response(caller)
            caller.sendall(hidden * 20)
            assert caller.recv(1_000) == b""

        assert response.status == 413
        assert app.paths == []


class TestSlowBodies:
    """A body that stops arriving is given up."""

    def test_stopped_body_is_refused_as_not_run(self, server, app):
        head = post("/a", "Content-Length: 100")

        with connect(server, head, b"x" * 99) as caller:
            response, content = read_response(caller)

        assert response.status == 408
        assert json.loads(content)["executed"] == "no"
        assert app.paths == []

    def test_few_bytes_are_no_progress(self, server):
        head = post("/a", f"Content-Length: {MAX_BODY}")

        with connect(server, head) as caller:
            caller.settimeout(0.05)
            for _ in range(int(WAIT_SECONDS / 0.05)):
                try:
                    caller.sendall(b"x")
                    assert caller.recv(12).endswith(b"408")
                    break
                except TimeoutError:
                    continue
            else:
                pytest.fail("was not refused")

    def test_body_that_goes_on_is_served(self, server):
        size = 6 * MIN_BODY_PROGRESS_BYTES
        head = post("/a", f"Content-Length: {size}")

        with connect(server, head) as caller:
            for _ in range(6):
                time.sleep(BODY_TIMEOUT_SECONDS / 2)
                caller.sendall(bytes(MIN_BODY_PROGRESS_BYTES))
            response, body = read_response(caller)

        assert (response.status, body) == (200, b"/a %d" % size)

    def test_earlier_body_does_not_count_for_a_later_one(self, server):
        """The later one has fewer bytes, but they arrive."""
        size = 6 * MIN_BODY_PROGRESS_BYTES
        whole = post("/a", f"Content-Length: {MAX_BODY}") + bytes(MAX_BODY)
        head = post("/b", f"Content-Length: {size}")

        with connect(server, whole[:-1], whole[-1:] + head) as caller:
            for _ in range(6):
                time.sleep(BODY_TIMEOUT_SECONDS / 2)
                caller.sendall(bytes(MIN_BODY_PROGRESS_BYTES))
            received = receive_until(caller, b"/b %d" % size)

        assert b"/a %d" % MAX_BODY in received

    def test_body_may_wait_for_an_earlier_answer(self, server, app):
        serve = App.__call__

        def serve_slowly(environ, start_response):
            if environ["PATH_INFO"] == "/slow":
                time.sleep(5 * BODY_TIMEOUT_SECONDS)
            return serve(app, environ, start_response)

        server._server.application = serve_slowly
        slow = post("/slow", "Content-Length: 0")
        head = post("/b", "Content-Length: 3", "Expect: 100-continue")
        with connect(server, slow + head) as caller:
            receive_until(caller, b"100 Continue\r\n\r\n")
            caller.sendall(b"abc")
            receive_until(caller, b"/b 3")


class TestMemory:
    """Requests on all servers share the memory."""

    def test_request_is_refused_as_not_run_before_its_body(self, server, memory, app):
        memory.limit = MAX_BODY
        head = post("/a", f"Content-Length: {MAX_BODY}")

        with connect(server, head) as caller:
            response, content = read_response(caller)

        assert response.status == 503
        assert response.headers["Retry-After"] == "1"
        assert json.loads(content)["executed"] == "no"
        assert app.paths == []

    def test_stalled_bodies_of_another_server_give_way(self, start_server, memory):
        servers = [start_server(), start_server()]
        memory.limit = 3 * MAX_BODY
        stalled = post("/a", f"Content-Length: {MAX_BODY}") + bytes(MAX_BODY - 1)
        whole = post("/b", f"Content-Length: {MAX_BODY}") + bytes(MAX_BODY)

        with connect(servers[0], stalled) as caller:
            wait_until(lambda: memory.held > MAX_BODY)
            # Until the body counts as stalled, there is no room for another one.
            statuses = []
            while 200 not in statuses:
                with connect(servers[1], whole) as other:
                    statuses.append(read_response(other)[0].status)
                assert statuses[-1] in (200, 503)
            response, _ = read_response(caller)

        assert response.status in (408, 503)
        wait_until(lambda: memory.held == 0)

    @pytest.mark.parametrize(
        "sent",
        [
            (post("/a", f"Content-Length: {MAX_BODY}"), bytes(MAX_BODY)),
            (post("/a", f"Content-Length: {MAX_BODY}"), bytes(MAX_BODY - 1)),
            (post("/a", f"Content-Length: {MAX_BODY + 1}"),),
            (post("/a", "Transfer-Encoding: chunked"), b"ffff\r\n" + bytes(0xFFFF)),
            (post("/a", "Transfer-Encoding: chunked"), b"x\r\n"),
            (post("/a", *(f"h{number}:" for number in range(300))),),
        ],
    )
    def test_nothing_is_held_once_the_connection_is_closed(self, server, memory, sent):
        with connect(server, *sent):
            time.sleep(0.05)

        wait_until(lambda: memory.held == 0)


class TestPipelinedRequests:
    """Requests that follow others on their connection."""

    def test_all_are_served_in_order(self, server):
        wire = b"".join(
            post(f"/{number}", "Content-Length: 3") + b"abc"
            for number in range(PIPELINED)
        )
        expected = [b"/%d 3" % number for number in range(PIPELINED)]

        with connect(server, wire) as caller:
            reader = caller.makefile("rb")
            bodies = []
            while len(bodies) < PIPELINED:
                while (line := reader.readline()) != b"\r\n":
                    if line.lower().startswith(b"content-length"):
                        length = int(line.split()[1])
                bodies.append(reader.read(length))

        assert bodies == expected

    def test_only_a_few_are_parsed_ahead(self, server, app):
        """Small requests take much more memory once they are parsed."""
        wire = post("/a", "Content-Length: 0") * PIPELINED
        parsed = []
        serve = App.__call__

        def count_parsed(environ, start_response):
            channel = next(iter(server._server.active_channels.values()))
            parsed.append((len(channel.requests), type(channel.request)))
            return serve(app, environ, start_response)

        server._server.application = count_parsed
        with connect(server, wire) as caller:
            read_response(caller)
            wait_until(lambda: len(app.paths) == PIPELINED)

        assert max(count for count, _ in parsed) <= 2
        assert parsed[0] == (2, PostponedParser)


class TestFullServer:
    """A server with as many connections as it may have accepts further ones."""

    def fill(self, server, stack, sent=b""):
        for _ in range(CONNECTIONS):
            stack.append(
                socket.create_connection(("127.0.0.1", server.port), WAIT_SECONDS)
            )
            stack[-1].sendall(sent)

    @pytest.mark.parametrize(
        "sent", [b"", b"GET / HTTP/1.1\r\n", post("/a", "Content-Length: 9") + b"x"]
    )
    def test_connection_without_a_request_makes_room(self, server, metrics, sent):
        callers = []
        self.fill(server, callers, sent)
        with connect(server, post("/new", "Content-Length: 0")) as caller:
            response, body = read_response(caller)
        for other in callers:
            other.close()

        assert (response.status, body) == (200, b"/new 0")
        closed = metrics.counter_value(metrics.closed_connections, "makes_room")
        assert closed > 0
