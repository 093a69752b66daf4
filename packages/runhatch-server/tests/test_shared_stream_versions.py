"""Versions that began streams, by the records of a node and of its peers."""

import random
import threading
from dataclasses import replace

import pytest
from gateway_cases import make_target, seconds
from stream_version_cases import SERVICE, VersionCluster

from runhatch_server.gateway._shared_stream_versions import (
    RECORD_SEND_TIMEOUT,
    VERSION_RECORD_TIMEOUT,
    SharedStreamVersions,
)
from runhatch_server.gateway._stream_inquiry import StreamFinding
from runhatch_server.gateway._stream_versions import (
    MAX_RESUMPTION_DELAY,
    StreamVersions,
)
from runhatch_server.gateway._version_recorder import RecordRead


class FakeExchange:
    """Answers for peers with the streams that they recorded."""

    def __init__(self, known):
        self.known = known
        self.is_answered = True
        self.may_be_partitioned = False
        self.has_several = False
        self.held = {}
        """Records of ``known`` that this node holds."""
        self.begun = []
        self.sent = None
        """The event that tells that a record was sent, if one is to be."""
        self.asked = []

    def record_begun(self, attempt_id, service, software_version):
        self.begun.append((attempt_id, service, software_version))
        return self.sent

    def find(self, attempt_id, service):
        held = self.held.get((attempt_id, service))
        if held is not None:
            return StreamFinding(held)
        self.asked.append((attempt_id, service))
        version = self.known.get((attempt_id, service))
        return StreamFinding(
            version,
            self.is_answered and version is None,
            self.may_be_partitioned,
            self.has_several,
        )


class FakeRecorder:
    """Records versions in the store, and reads the records."""

    def __init__(self):
        self.recorded = None
        """The event that is set once a version is recorded, if one is to be."""
        self.is_read = True
        """Whether records can be read."""
        self.on_read = lambda: None
        """Called when a record is read."""
        self.reads = 0

    def request(self, service, version):
        return self.recorded

    def request_read(self, service):
        self.reads += 1
        self.on_read()
        read = RecordRead(is_current=self.is_read)
        read.finished.set()
        return read


class Node:
    """A node that sees ``versions`` at targets of the service "s"."""

    def __init__(self, clock, *versions, known=(), is_informed=True):
        targets = [
            replace(make_target(f"t{number}", "s"), software_version=version)
            for number, version in enumerate(versions)
        ]
        self.targets = targets
        self.stored = frozenset()
        self.own = StreamVersions(
            clock, lambda: targets, lambda: is_informed, lambda _: self.stored
        )
        self.recorder = FakeRecorder()
        self.exchange = FakeExchange(dict(known))
        self.waits = []
        self.shared = SharedStreamVersions(
            self.own,
            self.exchange,
            self.recorder,
            lambda *wait: self.waits.append(wait),
        )


PEER_RECORD = {("id-1", "s"): "v1"}


@pytest.mark.parametrize(
    ("versions", "known", "attempt_id", "found"),
    [
        (("v1", "v2"), PEER_RECORD, "id-1", "v1"),
        (("v2",), PEER_RECORD, "id-1", "v1"),
        ((), PEER_RECORD, "id-1", "v1"),
        (("v1", "v2"), {}, "id-1", None),
        (("v1", "v2"), PEER_RECORD, "", None),
        (("v1", "v1"), {}, "id-1", "v1"),
        (("v1", "v1"), {}, "", "v1"),
        (("",), {}, "id-1", ""),
        ((), {}, "id-1", None),
    ],
    ids=[
        "peer knows",
        "peer knows another one than listed",
        "peer knows, nothing listed",
        "nobody knows",
        "attempt not named",
        "only version",
        "only version, attempt not named",
        "only version is empty",
        "nothing listed",
    ],
)
def test_node_that_has_just_started(clock, versions, known, attempt_id, found):
    node = Node(clock, *versions, known=known)

    assert node.shared.find_version(attempt_id, "s") == found


def test_peers_are_not_asked_about_own_streams(clock):
    node = Node(clock, "v1", "v2")
    node.shared.record_begun("id-1", "s", "v2")

    assert node.shared.find_version("id-1", "s") == "v2"
    assert node.exchange.begun == [("id-1", "s", "v2")]
    assert node.exchange.asked == []


def observe(node, clock):
    """Let the time pass after which the versions seen are conclusive."""
    for _ in range(MAX_RESUMPTION_DELAY // seconds(1) + 1):
        node.own.observe_targets()
        clock.advance(seconds(1))


class TestOutOfStep:
    """A node that does not know yet that it has learned of nothing for a moment.

    It took the only version that it had seen for the only one, without asking.
    """

    @pytest.fixture
    def node(self, clock):
        """Return a node that has seen one version for long."""
        node = Node(clock, "v1")
        observe(node, clock)
        return node

    @pytest.mark.parametrize("attempt_id", ["id-1", ""])
    @pytest.mark.parametrize(
        ("is_answered", "may_be_partitioned", "is_read", "found"),
        [
            (True, False, False, "v1"),
            (True, False, True, "v1"),
            (False, False, False, None),
            (False, False, True, "v1"),
            (True, True, False, None),
            (True, True, True, "v1"),
        ],
        ids=[
            "peers deny the stream, no store",
            "peers deny the stream",
            "no answer of peers, no store",
            "no answer of peers",
            "peers of one side of a partition deny it, no store",
            "peers of one side of a partition deny it",
        ],
    )
    def test_only_version_is_concluded_if_peers_or_the_store_know_no_other(
        self, node, attempt_id, is_answered, may_be_partitioned, is_read, found
    ):
        node.exchange.is_answered = is_answered
        node.exchange.may_be_partitioned = may_be_partitioned
        node.recorder.is_read = is_read

        assert node.shared.find_version(attempt_id, "s") == found
        assert node.exchange.asked == [(attempt_id, "s")]

    def test_store_is_not_read_if_all_peers_answer(self, node):
        """Its calls have a price: none a stream."""
        node.shared.find_version("id-1", "s")
        node.exchange.known = {("id-2", "s"): "v2"}
        node.shared.find_version("id-2", "s")

        assert node.recorder.reads == 0

    @pytest.mark.parametrize(
        ("is_answered", "may_be_partitioned"), [(False, False), (True, True)]
    )
    def test_only_version_is_not_concluded_if_the_store_states_another(
        self, node, is_answered, may_be_partitioned
    ):
        node.exchange.is_answered = is_answered
        node.exchange.may_be_partitioned = may_be_partitioned
        node.recorder.on_read = lambda: node.own.record_seen("s", "v2", seconds(0))

        assert node.shared.find_version("id-1", "s") is None

    def test_record_of_a_peer_goes_before_the_only_version_seen(self, node):
        node.exchange.known = {("id-1", "s"): "v2"}

        assert node.shared.find_version("id-1", "s") == "v2"

    def test_store_is_not_read_if_it_cannot_settle_the_version(self, clock):
        """With several versions, only a record can."""
        node = Node(clock, "v1", "v2")
        observe(node, clock)
        node.exchange.is_answered = False

        assert node.shared.find_version("id-1", "s") is None
        assert node.recorder.reads == 0

    @pytest.mark.parametrize(
        ("is_answered", "may_be_partitioned"),
        [(True, False), (False, False), (True, True)],
    )
    def test_only_version_is_not_concluded_if_a_keeper_has_seen_another(
        self, node, is_answered, may_be_partitioned
    ):
        """The record in the store may not state it yet."""
        node.exchange.is_answered = is_answered
        node.exchange.may_be_partitioned = may_be_partitioned
        node.exchange.has_several = True

        assert node.shared.find_version("id-1", "s") is None

    @pytest.mark.parametrize("attempt_id", ["id-1", ""])
    @pytest.mark.parametrize("may_be_partitioned", [False, True])
    def test_version_that_has_replaced_another_is_not_concluded(
        self, clock, attempt_id, may_be_partitioned
    ):
        """The older one may be back, of which this node has not learned."""
        node = Node(clock, "v1", "v2")
        node.own.extend_stream_age(seconds(60))
        observe(node, clock)
        del node.targets[0]
        observe(node, clock)
        node.exchange.may_be_partitioned = may_be_partitioned

        assert node.shared.find_version(attempt_id, "s") is None

    def test_store_goes_before_keepers_if_the_attempt_is_not_named(self, node):
        """Keepers that deny it are not those of the stream."""
        node.recorder.on_read = lambda: node.own.record_seen("s", "v2", seconds(0))

        assert node.shared.find_version("", "s") is None
        assert node.shared.find_version("id-1", "s") is None


def test_held_record_goes_before_the_only_version_seen(clock):
    """A peer may have learned of a second version first."""
    node = Node(clock, "v1")
    observe(node, clock)
    node.exchange.held = {("id-1", "s"): "v2"}

    assert node.shared.find_version("id-1", "s") == "v2"
    assert node.exchange.asked == []


def test_peers_are_asked_while_streams_of_a_replaced_version_drain(clock):
    node = Node(clock, "v1", "v2", known=PEER_RECORD)
    node.own.extend_stream_age(seconds(60))
    observe(node, clock)
    del node.targets[0]
    observe(node, clock)

    assert node.shared.find_version("id-1", "s") == "v1"


def test_only_version_is_not_assumed_for_the_stream_of_another_service(clock):
    node = Node(clock, "v1")
    node.shared.record_begun("id-1", "other", "v1")

    assert node.shared.find_version("id-1", "s") is None


@pytest.mark.parametrize("attempt_id", ["id-1", ""])
def test_only_version_is_not_assumed_unless_peers_deny_the_stream(clock, attempt_id):
    """Keepers that did not answer, or know of a conflict, may know another version."""
    node = Node(clock, "v2")
    node.exchange.is_answered = False
    node.recorder.is_read = False

    assert node.shared.find_version(attempt_id, "s") is None


@pytest.mark.parametrize("attempt_id", ["id-1", ""])
def test_only_version_is_assumed_in_an_outage_of_the_store(clock, attempt_id):
    """Otherwise no stream would go on in an outage, though no version is new."""
    node = Node(clock, "v1", is_informed=False)

    assert node.shared.find_version(attempt_id, "s") == "v1"


def test_peers_are_asked_by_a_node_that_learns_of_no_targets(clock):
    """Only this node or its failure domain may be cut off from the store."""
    node = Node(clock, "v2", known=PEER_RECORD, is_informed=False)
    observe(node, clock)

    assert node.shared.find_version("id-1", "s") == "v1"
    assert node.exchange.asked == [("id-1", "s")]


@pytest.mark.parametrize("attempt_id", ["id-1", ""])
@pytest.mark.parametrize("stored", [None, frozenset({"v1", "v2"}), frozenset({"v1"})])
def test_only_version_is_not_assumed_if_there_may_have_been_another(
    clock, attempt_id, stored
):
    """All nodes may have ended, and with them the targets of another version."""
    node = Node(clock, "v2")
    node.stored = stored
    observe(node, clock)

    assert node.shared.find_version(attempt_id, "s") is None


@pytest.mark.parametrize("is_informed", [True, False])
@pytest.mark.parametrize(("is_read", "found"), [(True, "v1"), (False, None)])
def test_node_that_may_be_partitioned_alone_concludes_nothing(
    clock, is_informed, is_read, found
):
    """Others may serve another version meanwhile, and nobody can be asked."""
    node = Node(clock, "v1", is_informed=is_informed)
    node.exchange.may_be_partitioned = True
    node.recorder.is_read = is_read

    assert node.shared.find_version("id-1", "s") == found


def test_only_version_is_not_assumed_if_a_keeper_has_seen_another(clock):
    """A node that is cut off from the store may have missed it."""
    node = Node(clock, "v1", is_informed=False)
    node.exchange.has_several = True

    assert node.shared.find_version("id-1", "s") is None


class TestFirstEvent:
    """Recording a stream before its first event is relayed."""

    def test_waits_until_the_version_is_recorded(self, clock):
        node = Node(clock, "v2")
        node.recorder.recorded = threading.Event()
        node.shared.record_begun("id-1", "s", "v2")

        assert node.waits == [(node.recorder.recorded, VERSION_RECORD_TIMEOUT)]

    def test_waits_until_the_record_is_sent(self, clock):
        node = Node(clock, "v1", "v2")
        node.exchange.sent = threading.Event()
        node.shared.record_begun("id-1", "s", "v2")

        assert node.waits == [(node.exchange.sent, RECORD_SEND_TIMEOUT)]

    def test_does_not_wait_if_no_keeper_is_sent_a_record(self, clock):
        node = Node(clock, "v1")
        node.shared.record_begun("id-1", "s", "v1")

        assert node.waits == []

    def test_delay_ends_if_no_record_can_be_sent(self, clock):
        """All keepers may have ended a moment before."""
        cluster = VersionCluster(clock, random.Random(1), 4)
        cluster.are_sendings_reported = False
        node = cluster.nodes["n0"]
        started_at = clock.elapsed()
        self.share(cluster, node).record_begun("id-1", SERVICE, "v1")

        assert clock.elapsed() - started_at == RECORD_SEND_TIMEOUT

    @pytest.mark.parametrize("count", [3, 9, 90])
    def test_stream_is_known_though_its_node_is_killed_at_its_first_event(
        self, clock, count
    ):
        """A record that follows the event is lost with the node."""
        cluster = VersionCluster(clock, random.Random(1), count)
        first, *others = cluster.alive()
        shared = self.share(cluster, first)
        attempts = [f"id-{number}" for number in range(24)]
        for attempt_id in attempts:
            shared.record_begun(attempt_id, SERVICE, "v1")
        cluster.kill(first)
        cluster.play(seconds(0.01))

        found = [others[-1].exchange.find(each, SERVICE) for each in attempts]
        assert [each.software_version for each in found] == ["v1"] * len(attempts)

    def share(self, cluster, node):
        own = StreamVersions(cluster.clock, list, lambda: True, lambda _: frozenset())
        return SharedStreamVersions(own, node.exchange, FakeRecorder(), cluster.wait)
