"""What a gateway tells its peers, and whom it takes for the orderer."""

import threading

import pytest
from gateway_cases import (
    FakeTargets,
    ignore,
    make_balancer,
    make_directory,
    make_request,
    make_target,
    seconds,
)

from runhatch_coordination import LeaseRecord, Membership, Standing, Vm
from runhatch_server.crashes import CrashWatch
from runhatch_server.fleet import HeldModels
from runhatch_server.gateway._demand import DemandCounter
from runhatch_server.gateway._known_orderer import NO_RENEWAL, ORDERER_SILENT
from runhatch_server.gateway._peers import DEMAND_KEPT, GatewayPeers
from runhatch_server.gateway._tables import GatewayTables
from runhatch_server.observability import Metrics
from runhatch_server.peers import (
    DemandOfModel,
    DrainingTargets,
    Envelope,
    Member,
    ModelDemand,
    OrdererNotice,
    TargetHoldings,
)
from runhatch_server.peers._messages import VERSION
from runhatch_server.residency import Holding, Resignation

OWN = Vm("a", "d1", "10.0.0.1:1", 5)
PEER = Member("b", "d1", "10.0.0.2:1", 7, Standing.ALIVE)


class RecordedLinks:
    """Keeps what is told, and to whom."""

    def __init__(self):
        self.told = []

    def keep(self, addresses):
        pass

    def tell_all(self, fact):
        self.told.append(("all", fact))

    def tell(self, address, facts):
        self.told += [(address, fact) for fact in facts]

    def hold(self, address):
        self.held = address


def make_peers(clock, *targets, on_orderer=ignore):
    directory = make_directory(clock, *targets)
    balancer = make_balancer(directory, clock)
    links = RecordedLinks()
    membership = Membership(OWN, clock)
    tables = GatewayTables(
        membership,
        clock,
        Metrics(),
        threading.Event(),
        seconds(2),
        lambda address, fact: links.tell(address, [fact]),
        links.tell_all,
        tuple,
    )
    peers = GatewayPeers(
        membership,
        clock,
        Metrics(),
        balancer.loads,
        balancer.limits,
        directory,
        ignore,
        on_orderer,
        ignore,
        tables,
        CrashWatch(clock, FakeTargets(), Metrics(), ignore),
    )
    peers.attach(links)
    return peers, links


def make_demand(clock):
    demand = DemandCounter()
    demand.miss(make_request(clock))
    return demand


class TestOrderer:
    """Demand reaches the node that orders the targets."""

    def test_demand_is_kept_until_it_is_known(self, clock):
        peers, links = make_peers(clock)
        demand = make_demand(clock)

        peers.tell_demand(demand)
        assert links.told == []

        peers.learn_orderer(LeaseRecord("b", 3, 0, PEER.address))
        peers.tell_demand(demand)
        (told,) = links.told
        assert told[0] == PEER.address
        assert isinstance(told[1], ModelDemand)
        assert [each.missed for each in told[1].demand] == [1]

    def test_demand_is_not_kept_for_long(self, clock):
        peers, links = make_peers(clock)
        demand = make_demand(clock)
        clock.advance(DEMAND_KEPT)
        peers.tell_demand(demand)

        peers.learn_orderer(LeaseRecord("b", 3, 0, PEER.address))
        peers.tell_demand(demand)

        assert links.told == []

    def test_a_new_one_is_told_what_was_asked_for_lately(self, clock):
        """Else it would take models that are asked for all the time for idle ones."""
        peers, links = make_peers(clock)
        peers.learn_orderer(LeaseRecord("c", 2, 0, "10.0.0.9:1"))
        demand = DemandCounter()
        for _ in range(3):
            demand.note(make_request(clock), 20.0)
            peers.tell_demand(demand)
            clock.advance(seconds(1))
        links.told.clear()

        peers.learn_orderer(LeaseRecord("b", 3, 0, PEER.address))
        peers.tell_demand(demand)
        peers.tell_demand(demand)

        ((address, fact),) = links.told
        assert address == PEER.address
        assert [(each.requests, each.work_ms) for each in fact.demand] == [(3, 60)]
        assert fact.age_ms == 3_000

    @pytest.mark.parametrize(
        ("model", "missed_for"),
        [pytest.param("m5", [10_000], id="missed"), pytest.param("m0", [], id="held")],
    )
    def test_a_new_one_is_told_for_how_long_models_are_missed(
        self, clock, model, missed_for
    ):
        """Else each change of hands puts a model off that waits for its turn."""
        peers, links = make_peers(clock, make_target("t1", models=["m0"]))
        peers.learn_orderer(LeaseRecord("c", 2, 0, "10.0.0.9:1"))
        demand = DemandCounter()
        demand.miss(make_request(clock, model=model))
        peers.tell_demand(demand)
        clock.advance(seconds(10))
        links.told.clear()

        peers.learn_orderer(LeaseRecord("b", 3, 0, PEER.address))
        peers.tell_demand(demand)

        told = [each for _, fact in links.told for each in fact.demand]
        assert [each.missed_for_ms for each in told] == missed_for

    @pytest.mark.parametrize(
        "record",
        [
            None,
            LeaseRecord("", 4, 9, "10.0.0.9:1"),
            LeaseRecord("c", 2, 9, "10.0.0.9:1"),
        ],
        ids=["no lease", "given up", "earlier epoch"],
    )
    def test_what_tells_of_no_newer_holder_is_passed_over(self, clock, record):
        peers, links = make_peers(clock)
        notice = OrdererNotice(3, 1)
        peers.receive(Envelope(VERSION, PEER, True, [notice]))

        peers.learn_orderer(record)

        peers.tell_demand(make_demand(clock))
        assert [address for address, _ in links.told] == [PEER.address]

    @pytest.mark.parametrize(
        "tell",
        [
            lambda peers, fact: peers.receive(Envelope(VERSION, PEER, True, [fact])),
            lambda peers, fact: peers.learn_orderer(
                LeaseRecord("c", fact.epoch, 9, "10.0.0.9:1")
            ),
        ],
        ids=["peer", "store"],
    )
    @pytest.mark.parametrize("fact", [OrdererNotice(3, 1), TargetHoldings(3, [])])
    def test_a_newer_epoch_reaches_the_own_lease(self, clock, tell, fact):
        """Who holds it by an earlier one orders no longer."""
        heard = []
        peers, _ = make_peers(clock, on_orderer=lambda *told: heard.append(told))
        peers.tell_renewal(2, 7)

        tell(peers, fact)

        assert (3, NO_RENEWAL) in heard

    def test_the_resignation_of_an_earlier_one_does_not_silence_it(self, clock):
        peers, _ = make_peers(clock)
        peers.receive(Envelope(VERSION, PEER, True, [OrdererNotice(3, 1)]))

        peers.tell_resigned(Resignation(2))

        assert peers.orderer_is_heard()


class TestMissers:
    """Nodes that are not linked to the orderer, and miss what a target holds."""

    def missed(self, peers, adapter="a1"):
        goal_ms = 400
        each = DemandOfModel("engine", "m0", adapter, 0, goal_ms, 1, 1, 10)
        peers.receive(Envelope(VERSION, PEER, True, [ModelDemand([each])]))

    def held(self, adapters=("a1",)):
        return Holding("t1", HeldModels({"m0": frozenset(adapters)}), ())

    def directly(self, links):
        return [fact for address, fact in links.told if address == PEER.address]

    def test_are_told_at_once_what_is_there(self, clock):
        """An adapter loaded for others is not refused for want of a word."""
        peers, links = make_peers(clock, make_target("t1", adapters=["a1"]))
        peers.tell_renewal(3, 1)
        self.missed(peers)
        (told,) = self.directly(links)
        assert told.epoch == 3
        assert told.holdings[0].models == {"m0": ["a1"]}

    @pytest.mark.parametrize(("later", "times"), [(0.1, 1), (2.5, 0)])
    def test_are_told_for_a_while_what_changes(self, clock, later, times):
        peers, links = make_peers(clock, make_target("t1"))
        peers.tell_renewal(3, 1)
        self.missed(peers)
        clock.advance(seconds(later))
        peers.tell_holdings(3, [self.held()])
        assert len(self.directly(links)) == times

    def test_are_left_to_the_orderer(self, clock):
        """Another node's word would make it be taken for the orderer."""
        peers, links = make_peers(clock, make_target("t1", adapters=["a1"]))
        self.missed(peers)
        assert self.directly(links) == []

    def test_linked_ones_hear_it_with_all_others(self, clock):
        peers, links = make_peers(clock, make_target("t1", adapters=["a1"]))
        peers.tell_renewal(3, 1)
        peers.receive(Envelope(VERSION, PEER, False, []))
        peers.keep_links()
        self.missed(peers)
        assert self.directly(links) == []


class TestRenewals:
    """Peers hear of each renewal of the orders' lease once."""

    def test_each_is_told_once(self, clock):
        peers, links = make_peers(clock)

        for renewal in (4, 4, 5):
            peers.tell_renewal(3, renewal)

        assert links.told == [
            ("all", OrdererNotice(3, 4, OWN.address)),
            ("all", OrdererNotice(3, 5, OWN.address)),
        ]

    def test_a_holder_that_cannot_renew_is_not_heard(self, clock):
        peers, _ = make_peers(clock)
        peers.receive(Envelope(VERSION, PEER, True, [OrdererNotice(3, 1)]))
        assert peers.orderer_is_heard()

        clock.advance(ORDERER_SILENT)
        peers.receive(Envelope(VERSION, PEER, True, [OrdererNotice(3, 1)]))

        assert not peers.orderer_is_heard()


class TestMembers:
    """Members that are new."""

    def test_a_member_heard_for_the_first_time_is_noticed(self, clock):
        peers, _ = make_peers(clock)

        peers.receive(Envelope(VERSION, PEER, False, []))

        assert peers.met_member.is_set()

    def test_one_that_is_known_is_not(self, clock):
        peers, _ = make_peers(clock)
        peers.receive(Envelope(VERSION, PEER, False, []))
        peers.met_member.clear()

        peers.receive(Envelope(VERSION, PEER, True, []))

        assert not peers.met_member.is_set()


class TestLeavingTargets:
    """What a node hears of targets that leave goes on while it is news."""

    def test_it_is_told_on_once(self, clock):
        peers, links = make_peers(clock, make_target("t1"))
        fact = DrainingTargets(("t1",))
        for _ in range(2):
            peers.receive(Envelope(VERSION, PEER, True, [fact]))

        told = [fact for _, fact in links.told if isinstance(fact, DrainingTargets)]
        assert told == [DrainingTargets(("t1",))]
        assert not peers._directory.ready("engine")
