"""Guards against a restarted node that its peers don't reach for seconds.

A link to a process that has ended waits longer before each attempt to reconnect.
"""

import threading
import time
from datetime import timedelta

import pytest

from runhatch_coordination import MemberFact, Membership, Standing, SystemClock, Vm
from runhatch_coordination.testing import ManualClock
from runhatch_server.observability import Metrics
from runhatch_server.peers import Envelope, Member, MemberExchange, PeerLinks
from runhatch_server.peers._link import MIN_REOPEN_INTERVAL
from runhatch_server.peers._messages import PROTOCOL_VERSION

HEARTBEAT_INTERVAL = timedelta(seconds=0.1)
CONTACT_SECONDS = 1.0
"""Time within which all peers must reach a restarted node."""


class LinkedNode:
    """The membership of a node, and its links."""

    def __init__(self, name, listen="127.0.0.1:0", incarnation=1):
        self._stopping = threading.Event()
        self.heard_from = set()
        """Names of the nodes whose heartbeats have arrived."""
        self._links = PeerLinks(
            listen,
            lambda: self.exchange.own_member(),
            self._receive,
            Metrics(),
            HEARTBEAT_INTERVAL,
            1_000_000,
            None,
            pytest.fail,
            SystemClock(),
        )
        address = self._links.address.rpartition("/")[2]
        self.vm = Vm(name, f"d-{name}", address, incarnation)
        self.membership = Membership(self.vm, SystemClock())
        self.exchange = MemberExchange(self.membership, Metrics(), seed=1)
        self.exchange.attach_links(self._links)
        self._task = threading.Thread(target=self._run)

    def start(self, seeds):
        self._seeds = seeds
        self._task.start()

    def stop(self):
        self._stopping.set()
        self._task.join()
        self._links.close()

    def _receive(self, envelope):
        if envelope.is_linked:
            self.heard_from.add(envelope.sender.name)
        self.exchange.receive(envelope)

    def _run(self):
        while not self._stopping.wait(HEARTBEAT_INTERVAL.total_seconds()):
            self.exchange.announce_to_seeds(self._seeds)
            self.exchange.update_links()
            self.exchange.check_members()


@pytest.fixture
def nodes():
    nodes = [LinkedNode(name) for name in ("n1", "n2", "n3")]
    facts = [MemberFact(node.vm, Standing.ALIVE) for node in nodes]
    for node in nodes:
        node.membership.merge_facts(facts)
        node.start([other.vm.address for other in nodes])
    yield nodes
    for node in nodes:
        node.stop()


def wait_until(is_done, seconds):
    end = time.monotonic() + seconds
    while not is_done() and time.monotonic() < end:
        time.sleep(0.01)
    return is_done()


@pytest.mark.parametrize("pause", [0.3, 0.8, 1.7, 2.5])
def test_restarted_node_is_reached_by_all_peers(nodes, pause):
    """Also by those that it doesn't know of: their links remain."""
    first, *others = nodes
    names = {other.vm.name for other in others}
    assert wait_until(lambda: all(len(node.heard_from) == 2 for node in nodes), 5)
    first.stop()
    time.sleep(pause)
    nodes[0] = LinkedNode("n1", first.vm.address, incarnation=2)
    nodes[0].start([others[0].vm.address])

    assert wait_until(lambda: nodes[0].heard_from == names, CONTACT_SECONDS)


class ReopenedLinks:
    """Records the addresses whose links are reopened."""

    def __init__(self):
        self.addresses = []

    def reopen(self, address):
        self.addresses.append(address)


def make_member(name, incarnation):
    return Member(name, f"d-{name}", f"{name}:1", incarnation, Standing.ALIVE)


@pytest.mark.parametrize(
    ("sender", "facts", "reopened"),
    [
        (make_member("b", 8), [], ["b:1"]),
        (make_member("b", 7), [], []),
        (make_member("c", 1), [make_member("b", 8)], ["b:1"]),
        (make_member("c", 1), [make_member("b", 7)], []),
        (make_member("c", 1), [make_member("b", 6)], []),
        (make_member("c", 1), [make_member("d", 2)], []),
        (make_member("c", 1), [make_member("a", 5)], []),
    ],
    ids=[
        "heartbeat of a new process",
        "heartbeat of the known process",
        "new process, from a peer",
        "known process, from a peer",
        "earlier process, from a peer",
        "unknown node",
        "own node",
    ],
)
def test_link_is_reopened_for_a_new_process(clock, sender, facts, reopened):
    membership = Membership(Vm("a", "d-a", "a:1", 5), clock)
    exchange = MemberExchange(membership, Metrics(), seed=1)
    links = ReopenedLinks()
    exchange.attach_links(links)
    exchange.receive(Envelope(PROTOCOL_VERSION, make_member("b", 7), True, []))
    exchange.receive(Envelope(PROTOCOL_VERSION, sender, True, facts))

    assert links.addresses == reopened


def test_link_is_not_reopened_again_and_again():
    """Two nodes that contradict each other renew their incarnations without a pause."""
    clock = ManualClock()
    member = make_member("a", 1)
    links = PeerLinks(
        "127.0.0.1:0",
        lambda: member,
        lambda envelope: None,
        Metrics(),
        HEARTBEAT_INTERVAL,
        1_000_000,
        None,
        pytest.fail,
        clock,
    )
    address = links.address.rpartition("/")[2]
    links.set_peers(frozenset({address}))
    first = links._links[address]
    links.reopen(address)
    assert links._links[address] is first

    clock.advance(MIN_REOPEN_INTERVAL)
    links.reopen(address)
    assert links._links[address] is not first
    links.close()
    first.task.join()
