"""Streams go on at targets with the software version that began them, or not at all."""

from dataclasses import replace

import pytest
from gateway_cases import (
    FakeTargets,
    make_balancer,
    make_directory,
    make_request,
    make_route,
    make_target,
    never_disconnected,
    seconds,
)
from run_cases import (
    PartConnection,
    ScriptedForwarder,
    ScriptedPeers,
    ScriptedVersions,
    make_stream,
)

from runhatch_server.crashes import CrashDetector
from runhatch_server.fleet import TargetState
from runhatch_server.gateway import RetryBounds
from runhatch_server.gateway._answers import StreamAnswer
from runhatch_server.gateway._budget import WindowedRetryBudget
from runhatch_server.gateway._records import RequestRecorder
from runhatch_server.gateway._run import RequestRun
from runhatch_server.gateway._run_parts import RunParts
from runhatch_server.http import AbortedStreamError
from runhatch_server.observability import Metrics
from runhatch_server.refusals import Executed, Reason, Refusal
from runhatch_server.routing import RequestKind
from runhatch_server.targets import AttemptReason, NotSent

EVENTS = (b"id: 1\ndata: a\n\n", b"id: 2\ndata: b\n\n", b"id: 3\ndata: c\n\n")
WHOLE = b"".join(EVENTS)
UNREACHED = NotSent(AttemptReason.CONNECT_FAILED)


def broken_after(*events):
    return make_stream(PartConnection(*events, breaks=True))


def ended_after(*events):
    return make_stream(PartConnection(*events))


class Node:
    """A node with targets of versions ``versions`` by name, and scripted answers.

    ``answers`` are those of targets, ``forwarded`` those of peers.
    """

    def __init__(self, clock, versions, answers, known=(), forwarded=None, **states):
        self.clock = clock
        targets = [
            replace(
                make_target(name, "plain", models=()),
                software_version=version,
                state=states.get(name, TargetState.READY),
            )
            for name, version in versions.items()
        ]
        self.balancer = make_balancer(
            make_directory(clock, *targets), clock, has_connection=lambda target: False
        )
        self.forwarder = ScriptedForwarder(answers)
        self.versions = ScriptedVersions(known)
        metrics = Metrics()
        self.parts = RunParts(
            self.balancer,
            self.forwarder,
            RequestRecorder(metrics, clock),
            CrashDetector(clock, FakeTargets(), metrics, lambda: None),
            clock,
            self.versions,
            None if forwarded is None else ScriptedPeers(clock, forwarded),
        )

    def run(self, is_resumable=True, **request):
        """Return what the caller got and whether it is complete, or the refusal."""
        route = make_route(RequestKind.STREAM, resumable=is_resumable, max_attempts=4)
        made = replace(make_request(self.clock, route, "plain", ""), **request)
        budget = WindowedRetryBudget(RetryBounds(0.0, 50, seconds(10)), self.clock)
        answer = RequestRun(self.parts, made, budget, never_disconnected).answer()
        if isinstance(answer, Refusal):
            return answer
        assert isinstance(answer, StreamAnswer)
        received = b""
        try:
            for piece in answer.events:
                received += piece
        except AbortedStreamError:
            return received, False
        finally:
            answer.events.close()
        return received, True

    @property
    def used_versions(self):
        return [target.software_version for target in self.forwarder.sent_to]


TWO_VERSIONS = {"a": "v1", "b": "v2", "c": "v1", "d": "v2"}


class TestResumptionInAnswer:
    """The first target breaks off while the caller's answer is open."""

    @pytest.mark.parametrize("seed", range(8))
    def test_next_target_has_the_version_of_the_first(self, clock, seed):
        node = Node(
            clock, TWO_VERSIONS, [broken_after(EVENTS[0]), ended_after(*EVENTS[1:])]
        )
        for name in list(TWO_VERSIONS)[: seed % 4]:
            # Spreads the first choice over the targets.
            node.balancer.paths.record_failure(name)

        assert node.run() == (WHOLE, True)
        assert len(set(node.used_versions)) == 1

    def test_stream_is_aborted_if_no_other_target_has_its_version(self, clock):
        node = Node(
            clock,
            {"a": "v1", "b": "v2"},
            [broken_after(EVENTS[0]), *(broken_after() for _ in range(3))],
        )

        assert node.run() == (EVENTS[0], False)
        assert len(set(node.used_versions)) == 1

    def test_third_target_has_the_version_too(self, clock):
        node = Node(
            clock,
            TWO_VERSIONS | {"e": "v1", "f": "v2"},
            [
                broken_after(EVENTS[0]),
                broken_after(EVENTS[1]),
                ended_after(EVENTS[2]),
            ],
        )

        assert node.run() == (WHOLE, True)
        assert len(set(node.used_versions)) == 1

    def test_stream_without_an_event_may_begin_at_any_version(self, clock):
        node = Node(
            clock, {"a": "v1", "b": "v2"}, [broken_after(), ended_after(*EVENTS)]
        )

        assert node.run() == (WHOLE, True)
        assert set(node.used_versions) == {"v1", "v2"}
        assert node.versions.begun == [("id", "plain", node.used_versions[-1])]

    def test_comment_does_not_begin_a_stream(self, clock):
        node = Node(
            clock,
            {"a": "v1", "b": "v2"},
            [broken_after(b": wait\n\n"), ended_after(*EVENTS)],
        )

        assert node.run() == (b": wait\n\n" + WHOLE, True)
        assert set(node.used_versions) == {"v1", "v2"}


class TestResumptionByCaller:
    """A caller takes a stream up that broke in an earlier attempt."""

    @pytest.mark.parametrize("version", ["v1", "v2", ""])
    def test_target_has_the_version_that_began_the_stream(self, clock, version):
        node = Node(
            clock,
            TWO_VERSIONS | {"e": "", "f": ""},
            [ended_after(*EVENTS[1:])],
            {"id-1": version},
        )

        received = node.run(last_event_id="1", resumes="id-1")

        assert received == (b"".join(EVENTS[1:]), True)
        assert node.used_versions == [version]

    def test_retry_of_an_unreached_target_keeps_the_version(self, clock):
        node = Node(
            clock, TWO_VERSIONS, [UNREACHED, ended_after(*EVENTS[1:])], {"id-1": "v2"}
        )
        node.run(last_event_id="1", resumes="id-1")

        assert node.used_versions == ["v2", "v2"]

    def test_resumed_stream_that_breaks_goes_on_at_its_version(self, clock):
        node = Node(
            clock,
            TWO_VERSIONS,
            [broken_after(EVENTS[1]), ended_after(EVENTS[2])],
            {"id-1": "v2"},
        )

        received = node.run(last_event_id="1", resumes="id-1")

        assert received == (b"".join(EVENTS[1:]), True)
        assert node.used_versions == ["v2", "v2"]

    @pytest.mark.parametrize("resumes", ["", "id-1"])
    def test_version_is_not_guessed(self, clock, resumes):
        """The refusal lets the caller ask a node that knows the version."""
        node = Node(clock, TWO_VERSIONS, [])

        refusal = node.run(last_event_id="1", resumes=resumes)

        assert refusal.reason is Reason.STREAM_UNKNOWN
        assert refusal.executed is Executed.NO
        assert refusal.retry_after > seconds(0)
        assert node.forwarder.targets == []

    @pytest.mark.parametrize(
        ("versions", "states"),
        [
            ({"a": "v1"}, {}),
            ({"a": "v1", "b": "v2"}, {"b": TargetState.DRAINING}),
        ],
    )
    def test_request_is_refused_at_once_without_a_target_of_the_version(
        self, clock, versions, states
    ):
        node = Node(clock, versions, [], {"id-1": "v2"}, **states)

        refusal = node.run(last_event_id="1", resumes="id-1")

        assert refusal.reason is Reason.NO_TARGET
        assert refusal.executed is Executed.NO
        assert node.forwarder.targets == []

    @pytest.mark.parametrize(
        ("is_resumable", "last_event_id", "resumes"),
        [(True, "", ""), (True, "", "id-1"), (False, "1", "id-1")],
    )
    def test_other_requests_may_use_any_version(
        self, clock, is_resumable, last_event_id, resumes
    ):
        node = Node(clock, {"a": "v1"}, [ended_after(*EVENTS)], {"id-1": "v2"})

        received = node.run(is_resumable, last_event_id=last_event_id, resumes=resumes)

        assert received == (WHOLE, True)
        assert node.versions.asked == []


class TestRecords:
    """What a run records for later attempts of the caller."""

    @pytest.mark.parametrize(
        ("request_fields", "recorded"),
        [
            ({}, ["id"]),
            ({"resumes": "id-1"}, ["id"]),
            ({"last_event_id": "1", "resumes": "id-1"}, ["id-1", "id"]),
        ],
    )
    def test_stream_is_recorded_once_under_its_attempts(
        self, clock, request_fields, recorded
    ):
        node = Node(clock, {"a": "v1"}, [ended_after(*EVENTS)], {"id-1": "v1"})
        node.run(**request_fields)

        assert node.versions.begun == [(name, "plain", "v1") for name in recorded]

    def test_stream_of_another_route_is_not_recorded(self, clock):
        node = Node(clock, {"a": "v1"}, [ended_after(*EVENTS)])
        node.run(is_resumable=False)

        assert node.versions.begun == []

    def test_stream_is_recorded_before_its_first_event_is_sent(self, clock):
        node = Node(clock, {"a": "v1"}, [ended_after(*EVENTS)])
        route = make_route(RequestKind.STREAM, resumable=True)
        request = make_request(clock, route, "plain", "")
        budget = WindowedRetryBudget(RetryBounds(0.0, 50, seconds(10)), clock)
        RequestRun(node.parts, request, budget, never_disconnected).answer()

        assert node.versions.begun == [("id", "plain", "v1")]


class TestHop:
    """This node reaches no target, and peers serve its requests."""

    def test_peer_resumes_at_the_version_that_a_peer_stated(self, clock):
        node = Node(
            clock,
            {"a": "v1", "b": "v2"},
            [UNREACHED, UNREACHED],
            forwarded=[
                (broken_after(EVENTS[0]), "v2"),
                (ended_after(*EVENTS[1:]), "v2"),
            ],
        )

        assert node.run() == (WHOLE, True)
        requests = node.parts.peers.requests
        assert [request.software_version for request in requests] == [None, "v2"]
        assert node.versions.begun == [("id", "plain", "v2")]

    @pytest.mark.parametrize(
        ("known", "received"),
        [({}, (EVENTS[0], False)), ({"id": "v1"}, (WHOLE, True))],
    )
    def test_stream_of_a_version_not_stated_goes_on_if_it_is_found(
        self, clock, known, received
    ):
        """Peers that run an earlier release state none."""
        node = Node(
            clock,
            {"a": "v1"},
            [UNREACHED],
            known,
            forwarded=[broken_after(EVENTS[0]), ended_after(*EVENTS[1:])],
        )

        assert node.run() == received
        assert node.versions.begun == []

    def test_peer_requires_the_version_that_the_first_node_states(self, clock):
        node = Node(clock, TWO_VERSIONS, [ended_after(*EVENTS[1:])])

        received = node.run(
            is_forwarded=True, last_event_id="1", resumes="id-1", software_version="v2"
        )

        assert received == (b"".join(EVENTS[1:]), True)
        assert node.used_versions == ["v2"]
        assert node.versions.asked == []
