"""Connections to targets that send valid and malformed answers."""

import http.client
import math
import socket
import threading
import time
from dataclasses import replace

import pytest
from gateway_cases import make_target, seconds

from runhatch_coordination import SystemClock
from runhatch_server.gateway._connections import ConnectionPool, TargetConnection
from runhatch_server.targets import AttemptReason, NotSent

HEAD = b"HTTP/1.1 200 OK\r\n"
SHORT = HEAD + b"Content-Length: 2\r\n\r\nok"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"


class RawTarget:
    """Sends the given bytes, part by part, in answer to each request on a connection.

    A part ``None`` closes the connection.
    """

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
def raw_target():
    target = RawTarget()
    yield target
    target.close()


@pytest.fixture
def pool():
    return ConnectionPool(SystemClock())


def send_request(connection):
    connection.send("GET", "/", (("host", "a"),), b"", seconds(1))
    assert connection.wait_readable(seconds(1))
    return connection.read_head(seconds(1))


def read_all(connection):
    body = b""
    while chunk := connection.read_chunk():
        body += chunk
    return body


class TestReading:
    """Complete and truncated bodies in each framing."""

    @pytest.mark.parametrize(
        ("parts", "body"),
        [
            ([SHORT], b"ok"),
            ([HEAD + b"Content-Length: 4\r\n\r\nab", b"cd"], b"abcd"),
            ([CHUNKED + b"2\r\nab\r\n", b"2\r\ncd\r\n0\r\n\r\n"], b"abcd"),
            ([HEAD + b"\r\nab", b"cd", None], b"abcd"),
        ],
        ids=["one part", "content length", "chunked", "until close"],
    )
    def test_complete_body_is_read(self, raw_target, pool, parts, body):
        raw_target.answers = [parts]
        connection = pool.acquire(raw_target.target(), 4, seconds(1), "a1")
        send_request(connection)

        assert read_all(connection) == body

    @pytest.mark.parametrize(
        "parts",
        [
            [HEAD + b"Content-Length: 9\r\n\r\nab", None],
            [CHUNKED + b"2\r\nab\r\n", None],
            [CHUNKED + b"5\r\nab", None],
            [CHUNKED + b"zz\r\nab\r\n0\r\n\r\n"],
        ],
        ids=["short", "no last chunk", "within a chunk", "bad chunk size"],
    )
    def test_truncated_body_raises(self, raw_target, pool, parts):
        raw_target.answers = [parts]
        connection = pool.acquire(raw_target.target(), 4, seconds(1), "a1")
        send_request(connection)

        with pytest.raises((OSError, http.client.HTTPException, ValueError)):
            read_all(connection)

    def test_end_of_a_chunk_alone_is_not_readable(self, raw_target, pool):
        raw_target.answers = [[CHUNKED + b"2\r\nab\r\n"]]
        connection = pool.acquire(raw_target.target(), 4, seconds(1), "a1")
        send_request(connection)
        assert connection.read_chunk() == b"ab"

        assert not connection.wait_readable(seconds(0.05))


class TestReuse:
    """Connections that are reused, and those that are not."""

    def complete_exchange(self, raw_target, pool, parts):
        raw_target.answers = [parts, [SHORT]]
        connection = pool.acquire(raw_target.target(), 4, seconds(1), "a1")
        send_request(connection)
        read_all(connection)
        time.sleep(0.05)
        pool.release(connection, seconds(1))
        return connection

    @pytest.mark.parametrize(
        ("parts", "reused"),
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
            "complete",
            "complete chunked",
            "second answer with the first",
            "second answer later",
            "partial answer follows",
            "closed",
            "connection close header",
        ],
    )
    def test_only_clean_connections_are_reused(self, raw_target, pool, parts, reused):
        first = self.complete_exchange(raw_target, pool, parts)

        second = pool.acquire(raw_target.target(), 4, seconds(1), "a2")

        assert (second is first) is reused

    def test_expired_idle_connection_is_not_reused(self, raw_target, pool):
        first = self.complete_exchange(raw_target, pool, [SHORT])
        first.idle_until = SystemClock().elapsed()

        assert pool.acquire(raw_target.target(), 4, seconds(1), "a2") is not first

    def test_open_connections_are_limited(self, raw_target, pool):
        target = raw_target.target()
        taken = [pool.acquire(target, 2, seconds(1), "a1") for _ in range(3)]

        assert isinstance(taken[2], NotSent)
        pool.discard(taken[0])
        assert isinstance(pool.acquire(target, 2, seconds(1), "a1"), TargetConnection)

    @pytest.mark.parametrize("host", ["a..b", "a" * 64, "127.0.0.1\0", "a b", "a\r\nb"])
    def test_target_at_an_impossible_host_uses_up_no_connection(self, pool, host):
        """The entry of another writer may state any text as an address."""
        target = replace(make_target(), host=host)

        outcomes = [pool.acquire(target, 1, seconds(0.3), "a1") for _ in range(2)]

        assert outcomes == [NotSent(AttemptReason.CONNECT_FAILED)] * 2

    def test_connections_to_removed_targets_are_closed(self, raw_target, pool):
        self.complete_exchange(raw_target, pool, [SHORT])

        pool.close_expired(frozenset())

        assert not pool.has_idle("t1")


class TestRefusedConnections:
    """Detection of addresses at which no process listens."""

    def test_listening_target_does_not_refuse(self, raw_target, pool):
        assert not pool.refuses_connections_of(raw_target.target())

    def test_target_whose_process_ended_refuses(self, pool):
        with socket.create_server(("127.0.0.1", 0)) as listener:
            target = replace(make_target(), port=listener.getsockname()[1])
            assert not pool.refuses_connections_of(target)

        assert pool.refuses_connections_of(target)

    def test_open_idle_connection_avoids_a_new_one(self, raw_target, pool):
        raw_target.answers = [[SHORT]]
        target = raw_target.target()
        connection = pool.acquire(target, 1, seconds(1), "a1")
        send_request(connection)
        connection.read_body()
        pool.release(connection, seconds(5))
        accepted = raw_target.accepted

        assert not pool.refuses_connections_of(target)
        assert raw_target.accepted == accepted


class TestSilentTargets:
    """Connections on which no packet arrives."""

    PROBE_INTERVAL = 1
    MAX_SILENCE_OF_A_SOUND_TARGET = 1.5
    MAX_CLOSE_TIME = 3
    """Time after the last packet until which a dead connection must be closed."""

    @pytest.fixture
    def connection(self, raw_target, pool):
        return pool.acquire(raw_target.target(), 4, seconds(1), "a1")

    def read_option(self, connection, option):
        return connection._socket.getsockopt(socket.IPPROTO_TCP, option)

    def test_probes_are_sent_each_second(self, connection):
        sock = connection._socket
        assert sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
        for option in (socket.TCP_KEEPIDLE, socket.TCP_KEEPINTVL):
            assert self.read_option(connection, option) == self.PROBE_INTERVAL

    def test_close_time_separates_dead_from_briefly_silent_targets(self, connection):
        """The kernel closes a connection only when a probe is due.

        A target may fall silent just before it would have answered a probe.
        """
        timeout = self.read_option(connection, socket.TCP_USER_TIMEOUT) / 1_000
        close_time = math.ceil(timeout / self.PROBE_INTERVAL) * self.PROBE_INTERVAL

        assert timeout >= self.MAX_SILENCE_OF_A_SOUND_TARGET + self.PROBE_INTERVAL
        assert 0 < close_time <= self.MAX_CLOSE_TIME

    def test_closed_by_the_kernel_is_a_reset_and_no_timeout(self, pool):
        """A target that stops reading leaves the sender in the state of a dead one."""
        with socket.socket() as listener:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
            listener.bind(("127.0.0.1", 0))
            listener.listen()
            target = replace(make_target(), port=listener.getsockname()[1])
            connection = pool.acquire(target, 1, seconds(1), "a1")
            started_at = time.monotonic()

            with pytest.raises(ConnectionResetError):
                connection.send("POST", "/", (), bytes(16_000_000), seconds(6))

        # The sender notices the expiry when its next zero-window probe is due.
        assert time.monotonic() - started_at < 2 * self.MAX_CLOSE_TIME - 0.5

    def test_timeout_of_a_read_is_no_reset(self, raw_target, pool):
        # The target ends connections that it accepts without an answer to send.
        raw_target.answers = [[HEAD + b"Content-Length: 2\r\n\r\n", b""]]
        connection = pool.acquire(raw_target.target(), 4, seconds(1), "a1")
        send_request(connection)
        connection.set_timeout(seconds(0.05))

        with pytest.raises(TimeoutError):
            connection.read_chunk()
