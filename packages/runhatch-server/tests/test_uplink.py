"""Bandwidth of the broadcasts of a reader.

Two readers of 30 nodes once filled their uplinks of 5 Mbit/s with the loads and the
holdings of 70 targets. Their calls to the store timed out for as long as that lasted,
and their domain got no new configuration from them.
"""

import threading
from itertools import count

import pytest
from gateway_cases import (
    FakeTargets,
    do_nothing,
    make_balancer,
    make_directory,
    seconds,
)

from runhatch_coordination import (
    MemberFact,
    Membership,
    Standing,
    StoreTime,
    Vm,
    choose_readers,
)
from runhatch_server.crashes import CrashDetector
from runhatch_server.decisions import LoadShare
from runhatch_server.gateway._holdings_relay import BACKUP_DELAY
from runhatch_server.gateway._peers import GatewayPeers
from runhatch_server.gateway._tables import GatewayTables
from runhatch_server.gateway._uplink import (
    MAX_BYTES_PER_SECOND,
    PACKET_OVERHEAD_BYTES,
    BroadcastPacer,
    UplinkUsage,
)
from runhatch_server.observability import Metrics
from runhatch_server.peers import (
    ALL_DOMAINS,
    Envelope,
    HoldingOfTarget,
    Member,
    TargetHoldings,
    TargetLoads,
)
from runhatch_server.peers._messages import PROTOCOL_VERSION
from runhatch_server.peers._traffic import ENCODER

SLOWEST_UPLINK = 625_000
"""Bytes a second of the VMs with the slowest links, 5 Mbit/s."""
VMS = [Vm(f"n{i}", "d1", f"10.0.0.{i}:8786", 5, 8787) for i in range(30)]
FIRST, SECOND = choose_readers("d1", VMS)
ORDERER = Member("o", "d2", "10.0.1.1:8786", 5, Standing.ALIVE)
TARGETS = [f"i-{i:010x}" for i in range(70)]
HOLDINGS_PER_SECOND = 85
LOADED_SECONDS = 4.0


class CountingBroadcaster:
    """Collects broadcast facts, and returns the sizes of their messages."""

    def __init__(self, own):
        vm = own
        self._sender = Member(
            vm.name, vm.failure_domain, vm.address, 5, Standing.ALIVE, 8787
        )
        self.messages = []

    def publish(self, facts):
        self.messages.append(facts)
        envelope = Envelope(PROTOCOL_VERSION, self._sender, False, facts)
        return len(ENCODER.encode(envelope))


class Reader:
    """One reader of a domain of 30 nodes, with the parts that broadcast."""

    def __init__(self, clock, own):
        self.clock = clock
        self.balancer = make_balancer(make_directory(clock), clock)
        membership = Membership(own, clock)
        membership.merge_facts(MemberFact(vm, Standing.ALIVE) for vm in VMS)
        self.broadcaster = CountingBroadcaster(own)
        self.tables = GatewayTables(
            membership,
            clock,
            Metrics(),
            threading.Event(),
            seconds(3),
            do_nothing,
            do_nothing,
            tuple,
        )
        self.tables.attach(self.broadcaster, None)
        self.peers = GatewayPeers(
            membership,
            clock,
            Metrics(),
            self.balancer.loads,
            self.balancer.limits,
            make_directory(clock),
            do_nothing,
            do_nothing,
            do_nothing,
            self.tables,
            CrashDetector(clock, FakeTargets(), Metrics(), do_nothing),
            do_nothing,
            do_nothing,
            do_nothing,
            do_nothing,
            do_nothing,
            StoreTime(),
        )
        self.own, self.sibling = (own, SECOND if own == FIRST else FIRST)
        self.numbers = count(1)
        self.sums_due_at = clock.elapsed()
        clock.advance(seconds(10))
        self.tables.update_readers()
        self.peers.loads.choose_links(VMS)

    @property
    def holdings(self):
        """Relayed holdings of targets, by the message they were in."""
        return [
            [fact for fact in facts if isinstance(fact, TargetHoldings)]
            for facts in self.broadcaster.messages
        ]

    def receive_from_sibling(self, *facts):
        """Receive what the other reader broadcasts."""
        vm = self.sibling
        sender = Member(vm.name, "d1", vm.address, 5, Standing.ALIVE, 8787)
        self.peers.receive(Envelope(PROTOCOL_VERSION, sender, False, [*facts]))

    def receive_holdings(self, *targets, adapter="a11", number=None, epoch=3):
        holdings = [
            HoldingOfTarget(target, {"jehu8116f2": [adapter], "wuje47c323": []}, [])
            for target in targets
        ]
        number = next(self.numbers) if number is None else number
        fact = TargetHoldings(epoch, holdings, number, ORDERER.address)
        self.peers.receive(Envelope(PROTOCOL_VERSION, ORDERER, False, [fact]))
        return fact

    def change_loads(self, step):
        shares = {
            target: LoadShare((step * 40.0, 0.0, 0.0, 0.0), 2, step % 50, 90_000)
            for target in TARGETS
        }
        self.balancer.loads.apply_peer("n5", shares, True)

    def run_busily(self, duration, sibling_sends):
        """Relay holdings and sums while all targets change all the time."""
        start = self.clock.elapsed()
        received = 0
        while (elapsed := self.clock.elapsed() - start) < duration:
            if sibling_sends and self.own == SECOND:
                self.receive_from_sibling(TargetLoads([], False, ALL_DOMAINS))
            while received < HOLDINGS_PER_SECOND * elapsed.total_seconds():
                fact = self.receive_holdings(TARGETS[received % len(TARGETS)])
                received += 1
                if sibling_sends and self.own == FIRST:
                    self.receive_from_sibling(fact)
            if self.clock.elapsed() >= self.sums_due_at:
                self.change_loads(received)
                self.peers.loads.send_sums()
                pause = self.peers.loads.next_sums_pause()
                self.sums_due_at = self.clock.elapsed() + pause
            self.peers.relay.relay()
            self.clock.advance(seconds(0.01))


@pytest.mark.parametrize(
    ("own", "sibling_sends"),
    [(FIRST, True), (SECOND, True), (FIRST, False), (SECOND, False)],
    ids=["first", "second", "first alone", "second alone"],
)
def test_busy_reader_does_not_fill_its_uplink(clock, own, sibling_sends):
    reader = Reader(clock, own)
    duration = seconds(LOADED_SECONDS)
    reader.run_busily(duration, sibling_sends)

    used = reader.tables.uplink.total_bytes / LOADED_SECONDS
    assert 0 < used < SLOWEST_UPLINK
    if sibling_sends:
        # Half remains for callers while both readers share the work.
        assert used < SLOWEST_UPLINK / 2 * 1.1


class TestHoldingsRelay:
    """One reader of a domain relays the orderer's reports of holdings."""

    @pytest.mark.parametrize(
        ("own", "delay"),
        [
            pytest.param(FIRST, BACKUP_DELAY, id="first"),
            pytest.param(SECOND, seconds(0), id="second"),
            pytest.param(VMS[0], None, id="follower"),
        ],
    )
    def test_first_reader_relays_what_the_second_does_not(self, clock, own, delay):
        """The second one may be frozen, or its link from the orderer silent."""
        assert VMS[0] not in (FIRST, SECOND)
        reader = Reader(clock, own)
        received_at = clock.elapsed()
        reader.receive_holdings("t1")

        while not any(reader.holdings) and clock.elapsed() - received_at < seconds(1):
            reader.peers.relay.relay()
            clock.advance(seconds(0.01))

        assert any(reader.holdings) is (delay is not None)
        if delay is not None:
            assert seconds(0) <= clock.elapsed() - received_at - delay <= seconds(0.1)

    @pytest.mark.parametrize(
        ("received", "relayed"),
        [
            pytest.param([], ["t1"], id="nothing"),
            pytest.param([5], [], id="same"),
            pytest.param([6], [], id="newer"),
            pytest.param([4], ["t1"], id="older"),
        ],
    )
    def test_first_reader_discards_what_it_received(self, clock, received, relayed):
        reader = Reader(clock, FIRST)
        reader.receive_holdings("t1", number=5)
        for number in received:
            holding = HoldingOfTarget("t1", {}, [])
            fact = TargetHoldings(3, [holding], number, ORDERER.address)
            reader.receive_from_sibling(fact)

        for _ in range(2):
            reader.peers.relay.relay()

        found = [f.holdings[0].target for facts in reader.holdings for f in facts]
        assert found == relayed

    def test_reports_of_a_short_time_are_relayed_together(self, clock):
        reader = Reader(clock, SECOND)
        for target in ("t1", "t2", "t1"):
            reader.receive_holdings(target)
        reader.peers.relay.relay()
        reader.peers.relay.relay()

        (facts,) = reader.holdings
        assert [(fact.number, fact.holdings[0].target) for fact in facts] == [
            (2, "t2"),
            (3, "t1"),
        ]
        assert {fact.orderer for fact in facts} == {ORDERER.address}

    @pytest.mark.parametrize(
        ("orders", "relayed"),
        [
            pytest.param([(3, 5), (3, 6)], (3, 6), id="newer number"),
            pytest.param([(3, 6), (3, 5)], (3, 6), id="older number"),
            pytest.param([(3, 6), (4, 1)], (4, 1), id="newer epoch"),
            pytest.param([(3, 6), (3, 0)], (3, 6), id="no number"),
        ],
    )
    def test_newest_report_of_a_target_is_relayed(self, clock, orders, relayed):
        reader = Reader(clock, SECOND)
        for epoch, number in orders:
            reader.receive_holdings("t1", epoch=epoch, number=number)
        reader.peers.relay.relay()

        ((fact,),) = reader.holdings
        assert (fact.epoch, fact.number) == relayed


class TestBroadcastPacer:
    """Pauses by the bandwidth that all broadcasts of a node take."""

    @pytest.mark.parametrize(
        ("size", "receivers", "pause"),
        [(0, 0, 0.1), (1_000, 10, 0.1), (2_000, 30, 0.198), (9_000, 60, 0.3)],
    )
    def test_pause_is_as_long_as_the_broadcasts_take(self, size, receivers, pause):
        usage = UplinkUsage()
        pacer = BroadcastPacer(usage, seconds(0.1), seconds(0.3))
        usage.record(size, receivers)

        assert pacer.next_pause().total_seconds() == pytest.approx(pause, abs=0.001)
        assert pacer.next_pause() == seconds(0.1)

    def test_headers_of_packets_count(self):
        usage = UplinkUsage()
        usage.record(1, MAX_BYTES_PER_SECOND)

        assert usage.total_bytes == (1 + PACKET_OVERHEAD_BYTES) * MAX_BYTES_PER_SECOND
