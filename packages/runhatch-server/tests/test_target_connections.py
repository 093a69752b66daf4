"""Connections to targets against answers that targets really send, good and bad."""

import http.client
import socket
import threading
import time
from dataclasses import replace

import pytest
from gateway_cases import make_target, seconds

from runhatch_coordination import SystemClock
from runhatch_server.gateway._connections import ConnectionPool, TargetConnection
from runhatch_server.targets import NotSent

HEAD = b"HTTP/1.1 200 OK\r\n"
SHORT = HEAD + b"Content-Length: 2\r\n\r\nok"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"


class RawTarget:
    """Answers each request on a connection with the bytes that the test gives."""

    def __init__(self):
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.port = self._listener.getsockname()[1]
        self.answers = []
        self.accepted = 0
        self.reset = False
        threading.Thread(target=self._serve, daemon=True).start()

    def target(self):
        return replace(make_target(), port=self.port)

    def _serve(self):
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            self.accepted += 1
            threading.Thread(
                target=self._answer, args=(connection,), daemon=True
            ).start()

    def _answer(self, connection):
        with connection:
            while self.answers:
                if not connection.recv(65_536):
                    return
                for part in self.answers.pop(0):
                    if part is None:
                        return
                    connection.sendall(part)
                    time.sleep(0.02)
            time.sleep(0.5)

    def close(self):
        self._listener.close()


@pytest.fixture
def raw():
    target = RawTarget()
    yield target
    target.close()


@pytest.fixture
def pool():
    return ConnectionPool(SystemClock())


def ask(connection):
    connection.send("GET", "/", (("host", "a"),), b"", seconds(1))
    assert connection.wait(seconds(1))
    return connection.read_head(seconds(1))


def read_all(connection):
    body = b""
    while chunk := connection.read_some():
        body += chunk
    return body


class TestReading:
    """Bodies in each framing, whole and broken."""

    @pytest.mark.parametrize(
        ("parts", "body"),
        [
            ([SHORT], b"ok"),
            ([HEAD + b"Content-Length: 4\r\n\r\nab", b"cd"], b"abcd"),
            ([CHUNKED + b"2\r\nab\r\n", b"2\r\ncd\r\n0\r\n\r\n"], b"abcd"),
            ([HEAD + b"\r\nab", b"cd", None], b"abcd"),
        ],
        ids=["at once", "with a length", "chunked", "until the end"],
    )
    def test_whole(self, raw, pool, parts, body):
        raw.answers = [parts]
        connection = pool.take(raw.target(), 4, seconds(1))
        ask(connection)

        assert read_all(connection) == body

    @pytest.mark.parametrize(
        "parts",
        [
            [HEAD + b"Content-Length: 9\r\n\r\nab", None],
            [CHUNKED + b"2\r\nab\r\n", None],
            [CHUNKED + b"5\r\nab", None],
            [CHUNKED + b"zz\r\nab\r\n0\r\n\r\n"],
        ],
        ids=["short", "no last chunk", "within a chunk", "no chunk"],
    )
    def test_broken_never_looks_whole(self, raw, pool, parts):
        raw.answers = [parts]
        connection = pool.take(raw.target(), 4, seconds(1))
        ask(connection)

        with pytest.raises((OSError, http.client.HTTPException, ValueError)):
            read_all(connection)

    def test_the_end_of_a_chunk_alone_is_nothing_to_read(self, raw, pool):
        raw.answers = [[CHUNKED + b"2\r\nab\r\n"]]
        connection = pool.take(raw.target(), 4, seconds(1))
        ask(connection)
        assert connection.read_some() == b"ab"

        assert not connection.wait(seconds(0.05))


class TestKeeping:
    """Which connections are used again."""

    def exchange(self, raw, pool, parts):
        raw.answers = [parts, [SHORT]]
        connection = pool.take(raw.target(), 4, seconds(1))
        ask(connection)
        read_all(connection)
        time.sleep(0.05)
        pool.give_back(connection, seconds(1))
        return connection

    @pytest.mark.parametrize(
        ("parts", "kept"),
        [
            ([SHORT], True),
            ([CHUNKED + b"2\r\nab\r\n0\r\n\r\n"], True),
            ([SHORT + SHORT], False),
            ([SHORT, SHORT], False),
            ([CHUNKED + b"2\r\nab\r\n0\r\n\r\nHTTP"], False),
            ([SHORT, None], False),
            ([HEAD + b"Connection: close\r\nContent-Length: 2\r\n\r\nok"], False),
        ],
        ids=[
            "whole",
            "whole chunked",
            "second answer with the first",
            "second answer later",
            "part of an answer behind",
            "closed",
            "said to close",
        ],
    )
    def test_only_clean_ones(self, raw, pool, parts, kept):
        first = self.exchange(raw, pool, parts)

        second = pool.take(raw.target(), 4, seconds(1))

        assert (second is first) is kept

    def test_not_beyond_their_idle_time(self, raw, pool):
        first = self.exchange(raw, pool, [SHORT])
        first.idle_until = SystemClock().elapsed()

        assert pool.take(raw.target(), 4, seconds(1)) is not first

    def test_no_more_than_allowed_are_open(self, raw, pool):
        target = raw.target()
        taken = [pool.take(target, 2, seconds(1)) for _ in range(3)]

        assert isinstance(taken[2], NotSent)
        pool.discard(taken[0])
        assert isinstance(pool.take(target, 2, seconds(1)), TargetConnection)

    def test_those_to_targets_that_are_gone_are_closed(self, raw, pool):
        self.exchange(raw, pool, [SHORT])

        pool.close_expired(frozenset())

        assert not pool.has_idle("t1")


class TestRefusing:
    """Whether anything listens at the address of a target."""

    def test_one_that_listens_does_not(self, raw, pool):
        assert not pool.refuses(raw.target())

    def test_one_whose_process_has_ended_does(self, pool):
        with socket.create_server(("127.0.0.1", 0)) as listener:
            target = replace(make_target(), port=listener.getsockname()[1])
            assert not pool.refuses(target)

        assert pool.refuses(target)

    def test_a_kept_connection_that_is_open_saves_a_new_one(self, raw, pool):
        raw.answers = [[SHORT]]
        target = raw.target()
        connection = pool.take(target, 1, seconds(1))
        ask(connection)
        connection.read_whole()
        pool.give_back(connection, seconds(5))
        accepted = raw.accepted

        assert not pool.refuses(target)
        assert raw.accepted == accepted
