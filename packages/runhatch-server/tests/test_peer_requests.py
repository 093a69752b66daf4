"""Requests forwarded to a peer, and what the peer does with them."""

import http.client
import socket
import threading
import time
from dataclasses import replace
from types import SimpleNamespace

import pytest
from gateway_cases import make_route, seconds

from runhatch_coordination import Membership, SystemClock, Vm
from runhatch_server._progress import RequestCounter
from runhatch_server.decisions import GatewayRequest, PeerChoice
from runhatch_server.gateway import AnswerHead, CallerHeaders
from runhatch_server.gateway._answers import CompleteAnswer, StreamAnswer
from runhatch_server.gateway._app import GatewayApp
from runhatch_server.gateway._connections import ConnectionPool
from runhatch_server.gateway._forward import Forwarder, OpenedAnswer
from runhatch_server.gateway._peer_headers import REQUEST_HEADERS, VERSION_HEADER
from runhatch_server.gateway._peer_requests import PeerRequests
from runhatch_server.http import AbortedStreamError, HttpServer, ServerLimits
from runhatch_server.observability import Metrics
from runhatch_server.refusals import Executed, Reason, Refusal
from runhatch_server.routing import (
    RequestKind,
    RequestLimits,
    RouteTable,
    RoutingConfiguration,
    ServiceShare,
)
from runhatch_server.targets import AttemptReason, NotSent, UnknownResult

SHARES = (ServiceShare("engine", 0.5), ServiceShare("other", 0.5))
ROUTE = make_route(RequestKind.NON_IDEMPOTENT, shares=SHARES)
SEALED = (("Attempt", "id"), ("Seal", "t1"), ("Content-Type", "text/plain"))
UNREACHABLE = Refusal(
    Reason.TARGETS_UNREACHABLE, Executed.NO, retry_after=seconds(0.25)
)
VERSIONS = [None, "", "v1.2", " v 1/%2F\u00fc\r\nX: 1"]
SYSTEM_HEADERS = ("time-left", "after")
TOO_BUSY = Refusal(Reason.TOO_BUSY, Executed.NO, retry_after=seconds(1.5))


class Codec:
    """Headers of a platform that names attempts, deadlines and answers' targets."""

    def decode_caller(self, headers):
        time_left = headers.get("time-left")
        return CallerHeaders(
            headers.get("attempt", ""),
            None if time_left is None else seconds(float(time_left)),
            None,
            headers.get("after", ""),
            tuple(
                pair
                for pair in headers.items()
                if pair[0] not in ("time-left", "after")
            ),
        )

    def encode_request(self, request, target, time_left, tier):
        left = str(time_left.total_seconds())
        return (*request.forwarded_headers, ("time-left", left))

    def add_resume_after(self, headers, event):
        return (*headers, ("after", event))

    def decode_answer(self, status, reason, headers, closes_connection):
        return AnswerHead(
            status,
            reason,
            headers.get("attempt", ""),
            "seal" in headers,
            False,
            False,
            None,
            None if closes_connection else seconds(1),
            tuple(
                pair for pair in headers.items() if pair[0] not in ("date", "server")
            ),
        )

    def encode_refusal(self, attempt_id):
        return (("Attempt", attempt_id),)


class ScriptedService:
    """Answers each request with the result of ``respond``, and keeps the requests."""

    def __init__(self):
        self.requests = []
        self.respond = lambda request, is_caller_gone: CompleteAnswer(
            200, "OK", SEALED, b"body"
        )

    def serve(self, request, is_caller_gone):
        self.requests.append(request)
        return self.respond(request, is_caller_gone)


class Peer:
    """A node that accepts forwarded requests for a :class:`ScriptedService`."""

    def __init__(self, name, clock):
        self.service = ScriptedService()
        self.metrics = Metrics()
        app = GatewayApp(
            self.service,
            Codec(),
            RequestCounter(),
            self.metrics,
            clock,
            lambda: False,
            is_for_peers=True,
        )
        app.routes = RouteTable(RoutingConfiguration(1, (ROUTE,), (), RequestLimits()))
        self.server = HttpServer(app, "127.0.0.1", 0, 10, ServerLimits(10_000, 10_000))
        self.server.start()
        self.vm = Vm(name, "d1", "127.0.0.1:1", 1, forward_port=self.server.port)


class Node:
    """A node that forwards requests to the peers in ``peers``."""

    def __init__(self, *peers):
        self.clock = SystemClock()
        self.pool = ConnectionPool(self.clock)
        self.metrics = Metrics()
        membership = Membership(Vm("own", "d1", "127.0.0.1:1", 1), self.clock)
        membership.apply_list([peer.vm for peer in peers], frozenset())
        codec = Codec()
        self.peer_requests = PeerRequests(
            membership,
            self.pool,
            Forwarder(self.pool, codec, self.clock),
            codec,
            self.clock,
            self.metrics,
            PeerChoice("d1", seed=1),
        )
        self.attempts = []

    def make_request(self, age=0.0, time_left=5.0):
        now = self.clock.elapsed()
        return GatewayRequest(
            "id",
            ROUTE,
            "other",
            "POST",
            "/x?q=1",
            (("host", "a.example"), ("attempt", "id")),
            b"content",
            now - seconds(age),
            now + seconds(1),
            now + seconds(time_left),
        )

    def forward(self, request=None, caller_gone=lambda: False, resume_after=""):
        """Forward a request; return the result, ``None`` if no peer can serve it."""
        request = request or self.make_request()
        attempt = self.peer_requests.send(
            request, request.deadline, caller_gone, resume_after, self.attempts.append
        )
        return None if attempt is None else attempt.result


@pytest.fixture
def peer():
    return Peer("p1", SystemClock())


def read_body(opened):
    body = b""
    while chunk := opened.connection.read_chunk():
        body += chunk
    return body


def stream_events(events):
    return StreamAnswer(200, "OK", SEALED, EventList(events), is_framed=True)


def close_after_request(listener):
    connection, _ = listener.accept()
    with connection:
        connection.recv(65_536)


class EventList:
    """A stream of ``events``; exceptions in it are raised."""

    def __init__(self, events):
        self._events = iter(events)

    def __iter__(self):
        return self

    def __next__(self):
        event = next(self._events)
        if isinstance(event, Exception):
            raise event
        return event

    def close(self):
        pass


class TestAnswers:
    """Answers of a peer's targets are those that the node relays."""

    def test_answer_is_relayed_unchanged(self, peer):
        opened = Node(peer).forward()

        assert isinstance(opened, OpenedAnswer)
        assert opened.head.status == 200
        assert {("Attempt", "id"), ("Seal", "t1")} <= {
            (name.title(), value) for name, value in opened.head.forwarded
        }
        assert read_body(opened) == b"body"

    def test_events_are_relayed_as_they_arrive(self, peer):
        go_on = threading.Event()

        def events():
            yield b"data: 1\n\n"
            assert go_on.wait(5)
            yield b"data: 2\n\n"

        peer.service.respond = lambda *_: stream_events(events())
        opened = Node(peer).forward()

        assert opened.connection.read_chunk() == b"data: 1\n\n"
        go_on.set()
        assert read_body(opened) == b"data: 2\n\n"

    def test_stream_that_the_peer_breaks_off_is_no_complete_one(self, peer):
        peer.service.respond = lambda *_: stream_events(
            [b"data: 1\n\n", AbortedStreamError("id")]
        )
        opened = Node(peer).forward()

        with pytest.raises((OSError, http.client.HTTPException)):
            read_body(opened)

    @pytest.mark.parametrize("version", VERSIONS)
    def test_version_that_began_a_stream_is_stated_to_the_node_alone(
        self, peer, version
    ):
        headers = (*SEALED, (VERSION_HEADER.title(), "of the target"))
        peer.service.respond = lambda *_: StreamAnswer(
            200, "OK", headers, EventList([b"data: 1\n\n"]), True, version
        )
        node = Node(peer)
        opened = node.forward()

        assert node.attempts[0].grant.software_version == version
        names = {name.lower() for name, _ in opened.head.forwarded}
        assert VERSION_HEADER not in names

    def test_connection_is_reused(self, peer):
        node = Node(peer)
        opened = node.forward()
        read_body(opened)
        node.pool.release(opened.connection, opened.head.idle_timeout)

        other = replace(
            node.make_request(),
            attempt_id="id2",
            forwarded_headers=(("host", "a.example"), ("attempt", "id2")),
        )
        peer.service.respond = lambda request, is_caller_gone: CompleteAnswer(
            200, "OK", (("Attempt", "id2"), *SEALED[1:]), b"body"
        )
        assert node.forward(other).connection is opened.connection


class TestForwardedRequest:
    """What the peer receives."""

    def test_request_keeps_its_times_service_and_content(self, peer):
        node = Node(peer)
        sent = node.make_request(age=0.5, time_left=2)
        node.forward(sent)
        (received,) = peer.service.requests

        assert received.is_forwarded
        assert not received.may_retry
        assert received.service == "other"
        assert (received.method, received.uri) == ("POST", "/x?q=1")
        assert received.body == b"content"
        assert received.attempt_id == "id"
        for name in ("received_at", "deadline"):
            difference = getattr(received, name) - getattr(sent, name)
            assert abs(difference) < seconds(0.1)
        assert abs(received.goal_at - sent.received_at - ROUTE.goal) < seconds(0.1)

    def test_bytes_of_its_body_are_counted_at_both_nodes(self, peer):
        node = Node(peer)
        node.forward()

        for metrics, direction in ((node.metrics, "out"), (peer.metrics, "in")):
            counted = metrics.counter_value(metrics.forwarded_bytes, direction)
            assert counted == len(b"content")

    def test_target_is_sent_no_header_of_peers(self, peer):
        Node(peer).forward()
        (received,) = peer.service.requests

        names = {name for name, _ in received.forwarded_headers}
        assert not names & REQUEST_HEADERS

    def test_stream_is_resumed_after_the_last_event(self, peer):
        Node(peer).forward(resume_after="7")

        assert peer.service.requests[0].last_event_id == "7"

    @pytest.mark.parametrize("version", VERSIONS)
    def test_required_software_version_is_kept(self, peer, version):
        node = Node(peer)
        node.forward(replace(node.make_request(), software_version=version))

        assert peer.service.requests[0].software_version == version

    def test_header_of_a_caller_requires_no_version(self, peer):
        node = Node(peer)
        request = node.make_request()
        headers = (*request.forwarded_headers, (VERSION_HEADER, "v9"))
        node.forward(replace(request, forwarded_headers=headers))

        assert peer.service.requests[0].software_version is None

    def test_request_that_no_peer_forwarded_is_refused(self, peer):
        connection = http.client.HTTPConnection("127.0.0.1", peer.server.port)
        connection.request("POST", "/x", headers={"Host": "a.example", "Attempt": "i"})

        assert connection.getresponse().status == 400
        assert peer.service.requests == []


class TestRefusals:
    """Refusals of peers, and which of them lead to another peer."""

    def test_refusal_for_load_is_final(self):
        peers = [Peer(f"p{i}", SystemClock()) for i in range(2)]
        for peer in peers:
            peer.service.respond = lambda *_: TOO_BUSY
        node = Node(*peers)

        assert node.forward().reason is Reason.TOO_BUSY
        assert len(node.attempts) == 1

    def test_refusal_is_returned_with_what_it_promises(self, peer):
        peer.service.respond = lambda *_: TOO_BUSY
        refusal = Node(peer).forward()

        assert refusal.reason is Reason.TOO_BUSY
        assert refusal.executed is Executed.NO
        assert refusal.retry_after == seconds(1.5)

    def test_unknown_result_at_the_peer_stays_unknown(self, peer):
        peer.service.respond = lambda *_: Refusal(
            Reason.TARGETS_FAILED, Executed.UNKNOWN
        )
        refusal = Node(peer).forward()

        assert refusal.executed is Executed.UNKNOWN

    @pytest.mark.parametrize(
        "reason",
        [
            Reason.TARGETS_UNREACHABLE,
            Reason.STOPPING,
            Reason.CONFIGURATION_BEHIND,
            Reason.STREAM_UNKNOWN,
        ],
    )
    def test_another_peer_is_asked_if_the_first_cannot_serve(self, reason):
        peers = [Peer(f"p{i}", SystemClock()) for i in range(2)]
        first = []

        def respond(request, is_caller_gone):
            if not first:
                first.append(request)
                return Refusal(reason, Executed.NO)
            return CompleteAnswer(200, "OK", SEALED, b"body")

        for peer in peers:
            peer.service.respond = respond
        node = Node(*peers)

        assert isinstance(node.forward(), OpenedAnswer)
        assert len(node.attempts) == 2

    def test_few_peers_are_asked_for_a_target_that_has_ended(self):
        peers = [Peer(f"p{i}", SystemClock()) for i in range(5)]
        for peer in peers:
            peer.service.respond = lambda *_: UNREACHABLE
        node = Node(*peers)

        assert node.forward() is None
        assert node.forward() is None
        assert sum(len(peer.service.requests) for peer in peers) == 3

    def test_peer_that_refuses_connections_is_passed_over(self, peer):
        lost = Peer("p0", SystemClock())
        lost.server.stop_listening()
        time.sleep(0.1)
        node = Node(lost, peer)
        for _ in range(5):
            read_body(node.forward())

        lost_attempts = [a for a in node.attempts if isinstance(a.result, NotSent)]
        assert len(lost_attempts) <= 1
        assert len(peer.service.requests) == 5


class TestBrokenHop:
    """Results of a request whose connection to the peer ends."""

    def test_result_is_unknown_and_no_other_peer_is_asked(self, peer):
        """The peer may have sent it to a target, which must not run it twice."""
        with socket.create_server(("127.0.0.1", 0)) as listener:
            threading.Thread(target=close_after_request, args=(listener,)).start()
            broken = SimpleNamespace(
                vm=replace(peer.vm, name="p0", forward_port=listener.getsockname()[1])
            )
            # The first try stays in the failure domain of the broken peer.
            peer.vm = replace(peer.vm, failure_domain="d2")
            node = Node(broken, peer)

            assert node.forward() == UnknownResult(AttemptReason.CONNECTION_BROKEN)
        assert peer.service.requests == []
        # The broken peer is avoided from now on.
        assert isinstance(node.forward(), OpenedAnswer)

    def test_disconnect_of_the_caller_reaches_the_peer(self, peer):
        """Work for a caller that has gone must stop within half a second."""
        stopped = threading.Event()

        def respond(request, is_caller_gone):
            while not is_caller_gone():
                time.sleep(0.02)
            stopped.set()
            return Refusal(Reason.CALLER_GONE, Executed.UNKNOWN)

        peer.service.respond = respond
        result = Node(peer).forward(caller_gone=lambda: True)

        assert result == UnknownResult(AttemptReason.CALLER_GONE)
        assert stopped.wait(0.5)
