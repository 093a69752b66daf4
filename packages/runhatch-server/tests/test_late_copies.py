"""Late second copies of answers, and requests that are sent to a target once more.

A target may send its answer a second time where the next answer is expected.  The id
distinguishes the two only if the connection has not carried it before: a copy of a
rejection that was taken for the answer to the same attempt had requests run twice, or
refused as not run although they ran.
"""

import socket
import threading
from dataclasses import replace

import pytest
from gateway_cases import (
    do_nothing,
    make_request,
    make_route,
    make_target,
    never_disconnected,
    seconds,
)
from truncated_answer_cases import Codec as NamingCodec

from runhatch_coordination import Membership, SystemClock, Vm
from runhatch_server.decisions import PeerChoice
from runhatch_server.gateway._connections import ConnectionPool, TargetConnection
from runhatch_server.gateway._forward import Forwarder, OpenedAnswer
from runhatch_server.gateway._grant import Grant
from runhatch_server.gateway._peer_requests import PeerRequests
from runhatch_server.observability import Metrics
from runhatch_server.refusals import Refusal
from runhatch_server.routing import RequestKind
from runhatch_server.targets import AttemptReason, NotSent, RefusedNotRun, UnknownResult

TIME_LEFT = seconds(5)
REJECTIONS = [421, 429, 503]
KINDS = [RequestKind.NON_IDEMPOTENT, RequestKind.STREAM]


class Codec(NamingCodec):
    """States the attempt in ``X-Id``; ``Not-Run`` marks a rejection."""

    def encode_request(self, request, target, time_left, tier):
        return (("X-Id", request.attempt_id), ("Host", "a.example"))

    def decode_answer(self, status, reason, headers, closes_connection):
        head = super().decode_answer(status, reason, headers, closes_connection)
        forwarded = tuple(headers.items())
        is_authentic = "seal" in headers
        return replace(
            head,
            not_run="not-run" in headers,
            is_authentic=is_authentic,
            forwarded=forwarded,
        )


class CopyingTarget:
    """Rejects the first ``rejection_count`` requests, then runs those that arrive.

    Each rejection is sent again where the next answer on its connection is expected,
    if ``copies``, without the id of its attempt if ``is_nameless``.
    """

    def __init__(self, status=503, rejection_count=1, copies=True, is_nameless=False):
        self.runs = []
        self.connection_count = 0
        self._status = status
        self._rejections_left = rejection_count
        self._copies = copies
        self._is_nameless = is_nameless
        self.extra_headers = b"Not-Run: 1\r\n"
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.port = self._listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def target(self):
        return replace(make_target("t1", "plain"), port=self.port)

    def close(self):
        self._listener.close()

    def _accept(self):
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            self.connection_count += 1
            threading.Thread(
                target=self._serve, args=(connection,), daemon=True
            ).start()

    def _serve(self, connection):
        late_copy = b""
        with connection:
            while request := connection.recv(65_536):
                attempt_id = request.split(b"X-Id: ")[1].split(b"\r\n")[0]
                answer = self._build_answer(attempt_id)
                connection.sendall(late_copy + answer)
                late_copy = answer if self._copies else b""

    def _build_answer(self, attempt_id):
        named = b"X-Id: " + attempt_id + b"\r\n"
        if self._rejections_left:
            self._rejections_left -= 1
            headers = self.extra_headers + (b"" if self._is_nameless else named)
            status = b"%d Rejected" % self._status
        else:
            self.runs.append(attempt_id.decode())
            headers, status = b"Seal: t1\r\n" + named, b"200 OK"
        return b"HTTP/1.1 %b\r\n%bContent-Length: 0\r\n\r\n" % (status, headers)


@pytest.fixture
def clock():
    return SystemClock()


@pytest.fixture
def pool(clock):
    return ConnectionPool(clock)


def make_attempt(clock, kind=RequestKind.NON_IDEMPOTENT, name="a1"):
    request = make_request(clock, make_route(kind), "plain", "", name=name)
    return replace(request, body=b"")


def send(forwarder, request, target, max_connections=4):
    grant = Grant(
        0,
        target,
        request,
        0.0,
        request.received_at,
        0,
        0.0,
        0.0,
        max_connections,
    )
    result = forwarder.send(request, grant, request.deadline, never_disconnected)
    if isinstance(result, OpenedAnswer):
        result.connection.set_timeout(TIME_LEFT)
        result.connection.read_body()
        forwarder.recycle_connection(result)
    return result


class TestRequestsSentOnceMore:
    """The same attempt at the same target, after it was rejected there."""

    @pytest.mark.parametrize("kind", KINDS)
    @pytest.mark.parametrize("is_nameless", [False, True])
    @pytest.mark.parametrize("status", REJECTIONS)
    @pytest.mark.parametrize("max_connections", [1, 4])
    def test_copy_of_a_rejection_is_not_the_answer_to_a_request_that_ran(
        self, clock, pool, status, is_nameless, kind, max_connections
    ):
        target = CopyingTarget(status, is_nameless=is_nameless)
        forwarder = Forwarder(pool, Codec(), clock)
        request = make_attempt(clock, kind)

        outcomes = [
            send(forwarder, request, target.target(), max_connections) for _ in range(2)
        ]

        assert isinstance(outcomes[0], RefusedNotRun)
        assert isinstance(outcomes[1], OpenedAnswer)
        assert target.runs == ["a1"]
        target.close()

    @pytest.mark.parametrize("is_nameless", [False, True])
    @pytest.mark.parametrize("status", REJECTIONS)
    def test_true_rejections_are_answered_as_not_run(
        self, clock, pool, status, is_nameless
    ):
        target = CopyingTarget(status, 3, copies=False, is_nameless=is_nameless)
        forwarder = Forwarder(pool, Codec(), clock)
        request = make_attempt(clock)

        outcomes = [send(forwarder, request, target.target()) for _ in range(3)]

        assert all(isinstance(outcome, RefusedNotRun) for outcome in outcomes)
        assert target.runs == []
        target.close()

    def test_copy_is_not_the_answer_to_another_attempt(self, clock, pool):
        target = CopyingTarget()
        forwarder = Forwarder(pool, Codec(), clock)

        send(forwarder, make_attempt(clock), target.target())
        outcome = send(forwarder, make_attempt(clock, name="a2"), target.target())

        assert outcome == UnknownResult(AttemptReason.WRONG_ANSWER)
        target.close()

    def test_other_attempts_reuse_the_connections(self, clock, pool):
        """New connections have a price: only the repeated attempt needs another one."""
        target = CopyingTarget(copies=False)
        forwarder = Forwarder(pool, Codec(), clock)
        names = ["a1", "a1", "a2", "a3", "a2", "a4"]

        for name in names:
            send(forwarder, make_attempt(clock, name=name), target.target())

        assert target.connection_count == 2
        target.close()


class TestPool:
    """Which idle connection an attempt gets."""

    @pytest.fixture
    def target(self):
        target = CopyingTarget()
        yield target
        target.close()

    def release_used(self, pool, target, *attempts):
        """Return the only connection, which has carried ``attempts``."""
        for attempt in attempts:
            connection = pool.acquire(target.target(), 1, TIME_LEFT, attempt)
            assert isinstance(connection, TargetConnection)
            pool.release(connection, TIME_LEFT)
        return connection

    @pytest.mark.parametrize(
        ("attempt", "is_reused"), [("a1", False), ("a2", False), ("a3", True)]
    )
    def test_connection_carries_an_attempt_once(self, pool, target, attempt, is_reused):
        first = self.release_used(pool, target, "a1", "a2")

        second = pool.acquire(target.target(), 2, TIME_LEFT, attempt)

        assert (second is first) is is_reused

    def test_repeated_attempt_takes_the_place_of_an_idle_connection(self, pool, target):
        first = self.release_used(pool, target, "a1")

        second = pool.acquire(target.target(), 1, TIME_LEFT, "a1")

        assert isinstance(second, TargetConnection)
        assert second is not first

    def test_repeated_attempt_does_not_exceed_the_limit(self, pool, target):
        pool.acquire(target.target(), 1, TIME_LEFT, "a1")

        second = pool.acquire(target.target(), 1, TIME_LEFT, "a1")

        assert second == NotSent(AttemptReason.TARGET_BUSY)

    def test_attempts_are_forgotten_when_their_requests_have_ended(self, clock):
        connection = TargetConnection(make_target(), clock)
        now = clock.elapsed()
        connection.record_attempt("ended", now)
        connection.record_attempt("a1", now + TIME_LEFT)

        connection.record_attempt("a2", now + TIME_LEFT)

        names = ("ended", "a1", "a2")
        assert [connection.has_carried(name) for name in names] == [False, True, True]


class TestPeers:
    """Requests that are forwarded to the same peer once more."""

    @pytest.fixture
    def peer(self):
        peer = CopyingTarget()
        peer.extra_headers = (
            b"Gateway-Refusal: too_busy\r\nGateway-Refusal-Executed: no\r\n"
        )
        yield peer
        peer.close()

    def forward(self, clock, pool, peer, *requests):
        """Return the results of forwarding ``requests`` to ``peer``."""
        membership = Membership(Vm("n1", "d1", "127.0.0.1:1", 1), clock)
        vm = Vm("p1", "d1", "127.0.0.1:1", 1, forward_port=peer.port)
        membership.apply_list([vm], frozenset())
        codec = Codec()
        forwarder = Forwarder(pool, codec, clock)
        peers = PeerRequests(
            membership, pool, forwarder, codec, clock, Metrics(), PeerChoice("d1")
        )
        return [
            peers.send(
                request, request.deadline, never_disconnected, "", do_nothing
            ).result
            for request in requests
        ]

    @pytest.mark.parametrize("kind", KINDS)
    def test_copy_of_a_refusal_is_not_the_answer_to_a_request_that_ran(
        self, clock, pool, peer, kind
    ):
        request = make_attempt(clock, kind)

        results = self.forward(clock, pool, peer, request, request)

        assert isinstance(results[0], Refusal)
        assert isinstance(results[1], OpenedAnswer)
        assert peer.runs == ["a1"]

    def test_copy_of_a_refusal_does_not_refuse_another_attempt(self, clock, pool, peer):
        requests = [make_attempt(clock, name=name) for name in ("a1", "a2")]

        results = self.forward(clock, pool, peer, *requests)

        assert results[1] == UnknownResult(AttemptReason.WRONG_ANSWER)
