"""Messages of a gateway to its peers, and its knowledge of the orderer."""

import threading
import time
from unittest.mock import patch

import msgspec
import pytest
from gateway_cases import (
    FakeTargets,
    do_nothing,
    make_balancer,
    make_directory,
    make_request,
    make_target,
    seconds,
)
from msgspec import structs

from runhatch_coordination import LeaseRecord, Membership, Standing, StoreTime, Vm
from runhatch_server.crashes import CrashDetector
from runhatch_server.fleet import HeldModels
from runhatch_server.gateway._demand import DemandCounter
from runhatch_server.gateway._known_orderer import ORDERER_TIMEOUT, UNKNOWN_RENEWAL
from runhatch_server.gateway._peers import DEMAND_RETENTION, GatewayPeers
from runhatch_server.gateway._stream_version_exchange import QUERY_REPEAT_DELAY
from runhatch_server.gateway._tables import GatewayTables
from runhatch_server.observability import Metrics
from runhatch_server.peers import (
    DemandOfModel,
    DemandReport,
    DrainingTargets,
    Envelope,
    Member,
    OrdererNotice,
    StreamVersionAnswer,
    StreamVersionQuery,
    StreamVersionRecord,
    StreamVersionsUpdate,
    TableUpdate,
    TableVersion,
    TargetHoldings,
)
from runhatch_server.peers._links import decode_envelope
from runhatch_server.peers._messages import PROTOCOL_VERSION
from runhatch_server.peers._traffic import ENCODER
from runhatch_server.residency import Holding, Resignation

OWN = Vm("a", "d1", "10.0.0.1:1", 5)
PEER = Member("b", "d1", "10.0.0.2:1", 7, Standing.ALIVE)


class RecordingLinks:
    """Records sent facts with the address or ``all``."""

    def __init__(self):
        self.sent = []

    def set_peers(self, addresses):
        pass

    def publish(self, fact):
        self.sent.append(("all", fact))

    def send(self, address, facts, on_sent=None):
        self.sent += [(address, fact) for fact in facts]

    def reopen(self, address):
        pass


def has_one_version(service):
    return False


def make_peers(
    clock, *targets, on_orderer=do_nothing, has_several_versions=has_one_version
):
    directory = make_directory(clock, *targets)
    balancer = make_balancer(directory, clock)
    links = RecordingLinks()
    membership = Membership(OWN, clock)
    tables = GatewayTables(
        membership,
        clock,
        Metrics(),
        threading.Event(),
        seconds(2),
        lambda address, fact: links.send(address, [fact]),
        links.publish,
        tuple,
    )
    peers = GatewayPeers(
        membership,
        clock,
        Metrics(),
        balancer.loads,
        balancer.limits,
        directory,
        do_nothing,
        on_orderer,
        do_nothing,
        tables,
        CrashDetector(clock, FakeTargets(), Metrics(), do_nothing),
        do_nothing,
        has_several_versions,
        do_nothing,
        lambda service: True,
        do_nothing,
        StoreTime(),
    )
    peers.attach_links(links)
    return peers, links


def make_demand(clock):
    demand = DemandCounter()
    demand.count_miss(make_request(clock))
    return demand


class TestOrderer:
    """Demand is sent to the orderer."""

    def test_demand_is_kept_until_orderer_is_known(self, clock):
        peers, links = make_peers(clock)
        demand = make_demand(clock)

        peers.send_demand(demand)
        assert links.sent == []

        peers.record_lease(LeaseRecord("b", 3, 0, PEER.address))
        peers.send_demand(demand)
        (message,) = links.sent
        assert message[0] == PEER.address
        assert isinstance(message[1], DemandReport)
        assert [each.missed_requests for each in message[1].demand] == [1]

    def test_demand_without_orderer_expires(self, clock):
        peers, links = make_peers(clock)
        demand = make_demand(clock)
        clock.advance(DEMAND_RETENTION)
        peers.send_demand(demand)

        peers.record_lease(LeaseRecord("b", 3, 0, PEER.address))
        peers.send_demand(demand)

        assert links.sent == []

    def test_new_orderer_gets_recent_demand(self, clock):
        """Without recent demand, it takes models in constant use for idle ones."""
        peers, links = make_peers(clock)
        peers.record_lease(LeaseRecord("c", 2, 0, "10.0.0.9:1"))
        demand = DemandCounter()
        for _ in range(3):
            demand.count_request(make_request(clock), 20.0)
            peers.send_demand(demand)
            clock.advance(seconds(1))
        links.sent.clear()

        peers.record_lease(LeaseRecord("b", 3, 0, PEER.address))
        peers.send_demand(demand)
        peers.send_demand(demand)

        ((address, fact),) = links.sent
        assert address == PEER.address
        assert [(each.requests, each.work_ms) for each in fact.demand] == [(3, 60)]
        assert fact.age_ms == 3_000

    @pytest.mark.parametrize(
        ("model", "missed_for"),
        [pytest.param("m5", [10_000], id="missed"), pytest.param("m0", [], id="held")],
    )
    def test_new_orderer_gets_time_missed_of_models(self, clock, model, missed_for):
        """Otherwise each change of orderer delays the load of a missed model."""
        peers, links = make_peers(clock, make_target("t1", models=["m0"]))
        peers.record_lease(LeaseRecord("c", 2, 0, "10.0.0.9:1"))
        demand = DemandCounter()
        demand.count_miss(make_request(clock, model=model))
        peers.send_demand(demand)
        clock.advance(seconds(10))
        links.sent.clear()

        peers.record_lease(LeaseRecord("b", 3, 0, PEER.address))
        peers.send_demand(demand)

        sent = [each for _, fact in links.sent for each in fact.demand]
        assert [each.missed_for_ms for each in sent] == missed_for

    @pytest.mark.parametrize(
        "record",
        [
            None,
            LeaseRecord("", 4, 9, "10.0.0.9:1"),
            LeaseRecord("c", 2, 9, "10.0.0.9:1"),
        ],
        ids=["no lease", "released", "earlier epoch"],
    )
    def test_lease_record_without_newer_holder_is_ignored(self, clock, record):
        peers, links = make_peers(clock)
        notice = OrdererNotice(3, 1)
        peers.receive(Envelope(PROTOCOL_VERSION, PEER, True, [notice]))

        peers.record_lease(record)

        peers.send_demand(make_demand(clock))
        assert [address for address, _ in links.sent] == [PEER.address]

    @pytest.mark.parametrize(
        "report",
        [
            lambda peers, fact: peers.receive(
                Envelope(PROTOCOL_VERSION, PEER, True, [fact])
            ),
            lambda peers, fact: peers.record_lease(
                LeaseRecord("c", fact.epoch, 9, "10.0.0.9:1")
            ),
        ],
        ids=["peer", "store"],
    )
    @pytest.mark.parametrize("fact", [OrdererNotice(3, 1), TargetHoldings(3, [])])
    def test_newer_epoch_is_reported_to_own_lease(self, clock, report, fact):
        """The holder of an earlier epoch must stop sending orders."""
        reports = []
        peers, _ = make_peers(
            clock, on_orderer=lambda *arguments: reports.append(arguments)
        )
        peers.publish_renewal(2, 7)

        report(peers, fact)

        assert (3, UNKNOWN_RENEWAL) in reports

    def test_resignation_of_earlier_orderer_is_ignored(self, clock):
        peers, _ = make_peers(clock)
        peers.receive(Envelope(PROTOCOL_VERSION, PEER, True, [OrdererNotice(3, 1)]))

        peers.publish_resignation(Resignation(2))

        assert peers.has_active_orderer()


class TestHoldingsForUnlinkedNodes:
    """The orderer sends holdings to unlinked nodes that missed a held model."""

    def receive_miss(self, peers, adapter="a1"):
        goal_ms = 400
        each = DemandOfModel("engine", "m0", adapter, 0, goal_ms, 1, 1, 10)
        peers.receive(Envelope(PROTOCOL_VERSION, PEER, True, [DemandReport([each])]))

    def holding(self, adapters=("a1",)):
        return Holding("t1", HeldModels({"m0": frozenset(adapters)}), ())

    def sent_directly(self, links):
        return [fact for address, fact in links.sent if address == PEER.address]

    def test_node_is_sent_holders_at_once(self, clock):
        """Otherwise the node would refuse requests for an adapter that is loaded."""
        peers, links = make_peers(clock, make_target("t1", adapters=["a1"]))
        peers.publish_renewal(3, 1)
        self.receive_miss(peers)
        (fact,) = self.sent_directly(links)
        assert fact.epoch == 3
        assert fact.holdings[0].models == {"m0": ["a1"]}

    @pytest.mark.parametrize(("later", "times"), [(0.1, 1), (2.5, 0)])
    def test_node_is_sent_changes_for_a_while(self, clock, later, times):
        peers, links = make_peers(clock, make_target("t1"))
        peers.publish_renewal(3, 1)
        self.receive_miss(peers)
        clock.advance(seconds(later))
        peers.publish_holdings(3, [self.holding()])
        assert len(self.sent_directly(links)) == times

    def test_only_orderer_sends_holders(self, clock):
        """Receivers take the sender of holdings for the orderer."""
        peers, links = make_peers(clock, make_target("t1", adapters=["a1"]))
        self.receive_miss(peers)
        assert self.sent_directly(links) == []

    def test_linked_node_is_not_sent_holders_separately(self, clock):
        peers, links = make_peers(clock, make_target("t1", adapters=["a1"]))
        peers.publish_renewal(3, 1)
        peers.receive(Envelope(PROTOCOL_VERSION, PEER, False, []))
        peers.update_links()
        self.receive_miss(peers)
        assert self.sent_directly(links) == []


class TestLeaseRenewals:
    """Each renewal of the orders' lease is published once."""

    def test_renewal_is_published_once(self, clock):
        peers, links = make_peers(clock)

        for renewal in (4, 4, 5):
            peers.publish_renewal(3, renewal)

        assert links.sent == [
            ("all", OrdererNotice(3, 4, OWN.address)),
            ("all", OrdererNotice(3, 5, OWN.address)),
        ]

    def test_repeated_notice_is_not_a_renewal(self, clock):
        peers, _ = make_peers(clock)
        peers.receive(Envelope(PROTOCOL_VERSION, PEER, True, [OrdererNotice(3, 1)]))
        assert peers.has_active_orderer()

        clock.advance(ORDERER_TIMEOUT)
        peers.receive(Envelope(PROTOCOL_VERSION, PEER, True, [OrdererNotice(3, 1)]))

        assert not peers.has_active_orderer()

    @pytest.mark.parametrize("renewals", [(4,), (4, 4), (4, 5)])
    def test_each_renewal_shows_that_the_store_answers(self, clock, renewals):
        """Readers rely on long waits only while the store is known to answer."""
        peers, _ = make_peers(clock)
        own_peers, _ = make_peers(clock)

        with patch.object(GatewayTables, "record_store_answer") as record:
            for renewal in renewals:
                notice = OrdererNotice(3, renewal)
                peers.receive(Envelope(PROTOCOL_VERSION, PEER, True, [notice]))
                own_peers.publish_renewal(3, renewal)

        assert record.call_count == 2 * len(set(renewals))


class TestNewMembers:
    """Detection of new members."""

    def test_first_message_of_member_sets_event(self, clock):
        peers, _ = make_peers(clock)

        peers.receive(Envelope(PROTOCOL_VERSION, PEER, False, []))

        assert peers.member_changed.is_set()

    def test_message_of_known_member_does_not_set_event(self, clock):
        peers, _ = make_peers(clock)
        peers.receive(Envelope(PROTOCOL_VERSION, PEER, False, []))
        peers.member_changed.clear()

        peers.receive(Envelope(PROTOCOL_VERSION, PEER, True, []))

        assert not peers.member_changed.is_set()

    def test_message_of_draining_member_does_not_set_event(self, clock):
        """Two draining nodes would answer each other's messages without a pause.

        The event starts a round of membership, which sends messages to all peers.
        """
        peers, _ = make_peers(clock)
        draining = structs.replace(PEER, standing=Standing.DRAINING)
        peers.receive(Envelope(PROTOCOL_VERSION, draining, True, []))
        peers.member_changed.clear()

        peers.receive(Envelope(PROTOCOL_VERSION, PEER, True, []))
        peers.receive(Envelope(PROTOCOL_VERSION, draining, True, []))

        assert not peers.member_changed.is_set()

    @pytest.mark.parametrize("earlier_messages", [0, 1])
    def test_first_message_of_draining_member_sets_event(self, clock, earlier_messages):
        peers, _ = make_peers(clock)
        for _ in range(earlier_messages):
            peers.receive(Envelope(PROTOCOL_VERSION, PEER, True, []))
        peers.member_changed.clear()
        draining = structs.replace(PEER, standing=Standing.DRAINING)

        peers.receive(Envelope(PROTOCOL_VERSION, draining, True, []))

        assert peers.member_changed.is_set()

    def test_message_of_suspected_member_sets_event(self, clock):
        peers, _ = make_peers(clock)
        other = Member("c", "d1", "10.0.0.3:1", 7, Standing.ALIVE)
        suspected = structs.replace(PEER, standing=Standing.SUSPECT)
        peers.receive(Envelope(PROTOCOL_VERSION, other, True, [suspected]))
        peers.member_changed.clear()

        peers.receive(Envelope(PROTOCOL_VERSION, PEER, True, []))

        assert peers.member_changed.is_set()


class TestDrainingTargets:
    """A notice of a draining target is forwarded only if it is new."""

    def test_notice_is_forwarded_once(self, clock):
        peers, links = make_peers(clock, make_target("t1"))
        fact = DrainingTargets(("t1",))
        for _ in range(2):
            peers.receive(Envelope(PROTOCOL_VERSION, PEER, True, [fact]))

        forwarded = [
            fact for _, fact in links.sent if isinstance(fact, DrainingTargets)
        ]
        assert forwarded == [DrainingTargets(("t1",))]
        assert not peers._directory.ready_targets("engine")


class TestStreamVersions:
    """Messages about the versions that began streams reach their exchange."""

    ATTEMPT = "9c41d07be2a35f68"

    def receive(self, peers, *facts, version=PROTOCOL_VERSION):
        peers.receive(Envelope(version, PEER, True, [*facts]))

    def test_record_of_this_node_is_sent_to_peers(self, clock):
        peers, links = make_peers(clock, has_several_versions=lambda service: True)
        self.receive(peers)

        peers.stream_versions.record_begun(self.ATTEMPT, "engine", "v1")
        peers.stream_versions.send_updates()

        record = StreamVersionRecord(self.ATTEMPT, "engine", "v1")
        assert links.sent == [(PEER.address, StreamVersionsUpdate([record]))]
        assert [vm.name for vm in peers.additional_peers()] == [PEER.name]

    @pytest.mark.parametrize(
        ("protocol_version", "answer"),
        [(PROTOCOL_VERSION, "v1"), (PROTOCOL_VERSION - 1, None)],
    )
    def test_question_of_a_peer_is_answered(self, clock, protocol_version, answer):
        """Nodes of another protocol version are not heard."""
        peers, links = make_peers(clock)
        record = StreamVersionRecord(self.ATTEMPT, "engine", "v1")
        self.receive(peers, StreamVersionsUpdate([record]), version=protocol_version)

        self.receive(peers, StreamVersionQuery(4, self.ATTEMPT, "engine"))

        assert links.sent == [(PEER.address, StreamVersionAnswer(4, answer))]

    def test_answer_of_a_peer_ends_the_wait(self, clock):
        peers, links = make_peers(clock)
        self.receive(peers)

        def answer(address, facts, on_sent=None):
            (query,) = facts
            self.receive(peers, StreamVersionAnswer(query.number, "v1"))

        links.send = answer
        started_at = time.monotonic()

        assert (
            peers.stream_versions.find(self.ATTEMPT, "engine").software_version == "v1"
        )
        assert time.monotonic() - started_at < QUERY_REPEAT_DELAY.total_seconds()

    def test_node_that_lacks_the_messages_ignores_them(self):
        """Nodes of two versions run beside each other while they are replaced."""
        previous_facts = OrdererNotice | DrainingTargets

        class PreviousEnvelope(msgspec.Struct, array_like=True):
            version: int
            sender: Member
            is_linked: bool
            facts: list[previous_facts]

        decoder = msgspec.msgpack.Decoder(PreviousEnvelope)
        fact = StreamVersionQuery(4, self.ATTEMPT, "engine")
        message = ENCODER.encode(Envelope(PROTOCOL_VERSION, PEER, True, [fact]))
        metrics = Metrics()

        with patch("runhatch_server.peers._links.DECODER", decoder):
            assert decode_envelope(message, metrics) is None
        assert metrics.counter_value(metrics.peer_messages, "unreadable") == 1


class FakeTable:
    """Records what is passed to a watched table."""

    def __init__(self):
        self.updates = []
        self.answers = []
        self.announcers = []
        self.held_version = None

    def apply_changes(self, reader, changes, reachable):
        self.updates.append(reader)

    def apply_answer(self, changes):
        self.answers.append(changes.version)

    def record_version(self, version, announcer):
        self.announcers.append(announcer)
        return len(self.announcers) == 1


class TestTables:
    """Updates of readers, answers on request and announcements of versions."""

    def make(self, clock):
        peers, links = make_peers(clock)
        table = peers._tables._tables["op"] = FakeTable()
        return peers, links, table

    def receive(self, peers, fact):
        peers.receive(Envelope(PROTOCOL_VERSION, PEER, True, [fact]))

    @pytest.mark.parametrize(
        ("is_reader", "updates", "answers"), [(True, ["b"], []), (False, [], [6])]
    )
    def test_only_updates_of_readers_are_reports_of_readers(
        self, clock, is_reader, updates, answers
    ):
        """A node would take an answer on request for a sign of an active reader."""
        peers, _, table = self.make(clock)
        if is_reader:
            peers._tables._readers = {PEER.name: Vm("b", "d1", PEER.address)}

        self.receive(peers, TableUpdate("op", 5, 6, True))

        assert (table.updates, table.answers) == (updates, answers)

    def test_announcement_is_forwarded_once_and_its_sender_recorded(self, clock):
        peers, links, table = self.make(clock)
        fact = TableVersion("op", 6)
        for _ in range(2):
            self.receive(peers, fact)

        assert links.sent == [("all", fact)]
        assert table.announcers == [PEER.address] * 2
        assert peers._tables.version_announced.is_set()

    @pytest.mark.parametrize("version", [None, 6])
    def test_version_that_the_node_has_is_published(self, clock, version):
        peers, links, table = self.make(clock)
        table.held_version = version

        peers.publish_held_versions()

        assert links.sent == ([("all", TableVersion("op", 6))] if version else [])
