"""Answers without end, or large ones, are bounded together and hold up no others.

Each whole answer was bounded, but not their sum: some ten targets that sent without
end had a node hold more memory than it has.
"""

import socket
import threading
import time
from dataclasses import replace

import pytest
from gateway_cases import make_target, seconds
from test_endless_answers import CHUNKED, OK, PART, EndlessServer

from runhatch_coordination import SystemClock
from runhatch_server.gateway._connections import TargetConnection
from runhatch_server.http import (
    AnswerLimits,
    AnswerMemory,
    AnswerMemoryFullError,
    AnswerTooLongError,
    HttpServer,
    RequestMemory,
    ServerLimits,
    send_response,
)
from runhatch_server.http._memory import Holding
from runhatch_server.observability import Metrics
from runhatch_server.targets import EventSplitter, StreamMeter, _stream

MIB = 1024 * 1024
LIMITS = AnswerLimits(max_bytes=MIB, max_stream_rate=1_000)
MEMORY_BYTES = 5 * MIB
ENDLESS_BODIES = {
    "body without length": (OK + b"\r\n", PART),
    "body in chunks": (CHUNKED, b"2000\r\n" + PART + b"\r\n"),
    "one chunk": (CHUNKED + b"1000000000\r\n", PART),
    "stated length": (OK + b"Content-Length: 100000000000\r\n\r\n", PART),
}


@pytest.fixture
def clock():
    return SystemClock()


@pytest.fixture
def memory(clock):
    return RequestMemory(MEMORY_BYTES, clock)


def hold(memory, size):
    """Have another request hold ``size`` bytes; return what it holds by."""
    holding = Holding(lambda: None)
    memory.update(holding, lambda: size)
    return holding


def read_whole(port, memory, timeout):
    """Read the answer of the target at ``port``; return its body or the error."""
    clock = SystemClock()
    answers = AnswerMemory(LIMITS, memory, clock)
    target = replace(make_target(), port=port)
    connection = TargetConnection(target, clock, answers)
    connection.connect(seconds(1))
    try:
        connection.send("GET", "/", (("host", "a"),), b"", seconds(1))
        connection.read_head(seconds(1))
        connection.set_timeout(seconds(timeout))
        return connection.read_body()
    except (AnswerTooLongError, AnswerMemoryFullError) as error:
        return error
    finally:
        connection.close()


class FiniteServer(EndlessServer):
    """Sends one answer and keeps the connection open."""

    def __init__(self, answer):
        self._answer = answer
        super().__init__(b"", b"", 0)

    def _serve(self, first, rest, pause):
        connection, _ = self._listener.accept()
        connection.recv(65_536)
        connection.sendall(self._answer)
        time.sleep(2)
        connection.close()


class TestWholeAnswers:
    """Answers that are read to their ends before they are passed on."""

    @pytest.mark.parametrize("name", ENDLESS_BODIES)
    def test_endless_answers_are_bounded_together(self, memory, name):
        servers = [EndlessServer(*ENDLESS_BODIES[name], 0) for _ in range(12)]
        results, peaks = [], [0]

        def read(server):
            results.append(read_whole(server.port, memory, 3))

        threads = [threading.Thread(target=read, args=(each,)) for each in servers]
        for thread in threads:
            thread.start()
        while any(thread.is_alive() for thread in threads):
            peaks.append(memory.held)
            time.sleep(0.001)

        assert [type(result) for result in results] == [AnswerTooLongError] * 12
        assert max(peaks) <= MEMORY_BYTES
        assert memory.held == 0
        for server in servers:
            server.close()

    def test_stated_length_over_the_limit_is_refused_at_once(self, memory):
        head = OK + b"Content-Length: %d\r\n\r\n" % (MIB + 1)
        server = FiniteServer(head)

        assert isinstance(read_whole(server.port, memory, 3), AnswerTooLongError)
        server.close()

    @pytest.mark.parametrize(
        "framing", ["length", "chunks"], ids=["by length", "in chunks"]
    )
    def test_largest_answer_is_read_on_a_node_that_holds_nothing_else(
        self, memory, framing
    ):
        body = b"b" * MIB
        answer = OK + b"Content-Length: %d\r\n\r\n" % MIB + body
        if framing == "chunks":
            answer = CHUNKED + b"%x\r\n" % MIB + body + b"\r\n0\r\n\r\n"
        server = FiniteServer(answer)

        assert read_whole(server.port, memory, 3) == body
        server.close()

    def test_answer_waits_for_room(self, memory):
        body = b"b" * (MIB // 2)
        server = FiniteServer(OK + b"Content-Length: %d\r\n\r\n" % len(body) + body)
        other = hold(memory, MEMORY_BYTES)
        timer = threading.Timer(0.3, lambda: memory.update(other, lambda: 0))
        timer.start()

        started_at = time.monotonic()
        assert read_whole(server.port, memory, 3) == body
        assert time.monotonic() - started_at >= 0.25
        server.close()

    def test_answer_without_room_until_its_deadline_is_given_up(self, memory):
        body = b"b" * (MIB // 2)
        server = FiniteServer(OK + b"Content-Length: %d\r\n\r\n" % len(body) + body)
        hold(memory, MEMORY_BYTES)

        result = read_whole(server.port, memory, 0.3)

        assert isinstance(result, AnswerMemoryFullError)
        server.close()

    @pytest.mark.parametrize(
        "answer",
        [
            OK + b"Content-Length: 800\r\n\r\n" + b"b" * 800,
            CHUNKED + b"320\r\n" + b"b" * 800 + b"\r\n0\r\n\r\n",
        ],
        ids=["by length", "in chunks"],
    )
    def test_ordinary_answer_needs_no_room(self, memory, answer):
        hold(memory, MEMORY_BYTES)
        server = FiniteServer(answer)

        assert read_whole(server.port, memory, 1) == b"b" * 800
        server.close()


class TestStreamMeter:
    """Limits on single streams."""

    def test_stream_over_the_limit_is_too_long(self):
        meter = StreamMeter(LIMITS)
        meter.record(MIB, seconds(0))

        with pytest.raises(AnswerTooLongError):
            meter.record(1, seconds(1))

    @pytest.mark.parametrize(
        ("sizes", "pause"),
        [([800], 0), ([1_000], 0), ([600, 600], 0.2), ([3_000], 2)],
    )
    def test_stream_faster_than_its_rate_waits(self, sizes, pause):
        meter = StreamMeter(LIMITS)

        pauses = [meter.record(size, seconds(5)) for size in sizes]

        assert pauses[-1] == seconds(pause)

    @pytest.mark.parametrize(
        ("size", "is_slowed"), [(200_000, False), (MIB, True)], ids=["long", "endless"]
    )
    def test_default_rate_slows_only_streams_that_would_not_end(self, size, is_slowed):
        """At a higher rate, some streams without end took all processor time."""
        pause = StreamMeter(AnswerLimits()).record(size, seconds(5))

        assert (pause >= seconds(2)) is is_slowed

    def test_stream_within_its_rate_does_not_wait(self):
        meter = StreamMeter(LIMITS)

        pauses = [meter.record(100, seconds(0.1 * step)) for step in range(100)]

        assert not any(pauses)


class TestEventSplitter:
    """Events that do not end."""

    @pytest.mark.parametrize("cut", range(1, 12))
    @pytest.mark.parametrize("line_end", [b"\n", b"\r\n", b"\r"])
    def test_events_are_found_wherever_they_are_cut(self, cut, line_end):
        events = [b"data: a" + 2 * line_end, b"data: bc" + 2 * line_end]
        received = b"".join(events)
        splitter = EventSplitter()

        parts = [received[at : at + cut] for at in range(0, len(received), cut)]

        assert [event for part in parts for event in splitter.feed(part)] == events

    def test_event_without_end_is_searched_once(self, monkeypatch):
        """Searching all of it for each part kept other requests waiting."""
        pattern = CountingPattern(_stream.EVENT_END)
        monkeypatch.setattr(_stream, "EVENT_END", pattern)
        splitter = EventSplitter()

        for _ in range(100):
            assert list(splitter.feed(b"x" * 1_000)) == []

        assert pattern.searched_bytes <= 100 * (1_000 + _stream.MAX_EVENT_END_BYTES)


class CountingPattern:
    """Counts the bytes that a pattern searches."""

    def __init__(self, pattern):
        self._pattern = pattern
        self.searched_bytes = 0

    def finditer(self, received, start=0):
        self.searched_bytes += len(received) - start
        return self._pattern.finditer(received, start)


class TestUnreadStreams:
    """Streams whose callers read slowly or not at all."""

    MAX_UNSENT_BYTES = 65_536
    SOCKET_BUFFER_BYTES = 4 * MIB
    """What the sockets of the kernel may hold."""

    @pytest.fixture
    def sent(self):
        return []

    @pytest.fixture
    def ended(self):
        return threading.Event()

    @pytest.fixture
    def metrics(self):
        return Metrics()

    @pytest.fixture
    def server(self, sent, ended, metrics, memory):
        def app(environ, start_response):
            start_response("200 OK", [])

            def stream():
                try:
                    while True:
                        sent.append(len(PART))
                        yield PART
                finally:
                    ended.set()

            return stream()

        limits = ServerLimits(
            1_000,
            10_000,
            idle_timeout=seconds(1),
            max_unsent_bytes=self.MAX_UNSENT_BYTES,
        )
        server = HttpServer(
            app, "127.0.0.1", 0, 4, limits, memory=memory, metrics=metrics
        )
        server.start()
        yield server
        server.stop_listening()

    def test_stream_waits_for_its_caller_that_is_closed_if_it_reads_nothing(
        self, server, sent, ended, metrics, memory
    ):
        with socket.create_connection(("127.0.0.1", server.port)) as caller:
            caller.sendall(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
            time.sleep(0.5)

            assert memory.held <= 4 * self.MAX_UNSENT_BYTES
            assert sum(sent) < self.SOCKET_BUFFER_BYTES + 4 * self.MAX_UNSENT_BYTES
            assert ended.wait(6)
        exposition = metrics.render_exposition().decode()
        assert 'closed_connections_total{reason="not_reading"} 1.0' in exposition

    def test_stream_goes_on_while_its_caller_reads(self, server, ended):
        with socket.create_connection(("127.0.0.1", server.port)) as caller:
            caller.sendall(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
            until = time.monotonic() + 3
            received = 0
            while time.monotonic() < until:
                received += len(caller.recv(262_144))
                time.sleep(0.02)

            assert not ended.is_set()
            assert received > 8 * self.MAX_UNSENT_BYTES


class TestLargeAnswers:
    """Large complete answers to callers."""

    @pytest.mark.parametrize("size", [0, 65_536, 65_537, 3 * MIB])
    def test_body_arrives_whole_and_the_connection_stays_usable(self, size):
        body = bytes(range(256)) * (size // 256) + b"z" * (size % 256)

        def app(environ, start_response):
            return send_response("200 OK", (), body, start_response, False)

        limits = ServerLimits(1_000, 10_000)
        server = HttpServer(app, "127.0.0.1", 0, 4, limits)
        server.start()
        with socket.create_connection(("127.0.0.1", server.port)) as caller:
            caller.settimeout(5)
            for _ in range(2):
                caller.sendall(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
                assert read_body(caller) == body
        server.stop_listening()


def read_body(caller):
    """Return the body of the next answer, which states its length."""
    stream = caller.makefile("rb")
    length = 0
    assert b"200" in stream.readline()
    while (line := stream.readline().strip()) != b"":
        name, _, value = line.partition(b":")
        if name.lower() == b"content-length":
            length = int(value)
    return stream.read(length)
