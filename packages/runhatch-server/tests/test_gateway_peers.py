"""What a gateway tells its peers, and whom it takes for the orderer."""

import pytest
from gateway_cases import make_directory, make_request, never_gone

from runhatch_coordination import LeaseRecord, Membership, Standing, Vm
from runhatch_server.gateway._balancer import Balancer
from runhatch_server.gateway._demand import DemandCounter
from runhatch_server.gateway._peers import DEMAND_KEPT, ORDERER_SILENT, GatewayPeers
from runhatch_server.observability import Metrics
from runhatch_server.peers import Envelope, Member, ModelDemand, OrdererNotice
from runhatch_server.peers._messages import VERSION

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


def ignore(*arguments):
    pass


def make_peers(clock):
    directory = make_directory(clock)
    balancer = Balancer(directory, clock, "d1", ignore, never_gone, ignore)
    peers = GatewayPeers(
        Membership(OWN, clock),
        clock,
        Metrics(),
        balancer,
        directory,
        *[ignore] * 4,
    )
    links = RecordedLinks()
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


class TestRenewals:
    """Peers hear of each renewal of the orders' lease once."""

    def test_each_is_told_once(self, clock):
        peers, links = make_peers(clock)

        for renewal in (4, 4, 5):
            peers.tell_renewal(3, renewal)

        assert links.told == [
            ("all", OrdererNotice(3, 4)),
            ("all", OrdererNotice(3, 5)),
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
