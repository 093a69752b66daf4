"""Exchange of the versions of streams over real links and by many threads."""

import threading
import time
from concurrent.futures import ThreadPoolExecutor
from datetime import timedelta

import pytest

from runhatch_coordination import (
    MemberFact,
    Membership,
    Standing,
    SystemClock,
    Vm,
)
from runhatch_server.gateway._stream_version_exchange import StreamVersionExchange
from runhatch_server.observability import Metrics
from runhatch_server.peers import LinkClosed, PeerLinks, message_from_fact

SERVICE = "engine"
TIMEOUT_SECONDS = 10


class LinkedNode:
    """An exchange with links of its own, which are opened when it sends."""

    def __init__(self, name):
        self._own = Vm(name, f"d-{name}", "", 1)
        self.links = PeerLinks(
            "127.0.0.1:0",
            lambda: message_from_fact(MemberFact(self._own, Standing.ALIVE)),
            self._receive,
            Metrics(),
            timedelta(seconds=0.1),
            1_000_000,
            None,
            pytest.fail,
            SystemClock(),
        )
        address = self.links.address.rpartition("/")[2]
        self._own = self.vm = Vm(name, f"d-{name}", address, 1)
        self.membership = Membership(self.vm, SystemClock())
        self.exchange = StreamVersionExchange(
            self.membership,
            SystemClock(),
            lambda service: True,
            lambda service, software_version, age: None,
            lambda service: True,
            lambda address, fact, *on_sent: self.links.send(address, [fact], *on_sent),
            self.links.reopen,
        )

    def _receive(self, envelope):
        facts = [each for each in envelope.facts if not isinstance(each, LinkClosed)]
        for fact in facts:
            self.exchange.handle_message(fact, envelope.sender)


@pytest.fixture
def nodes():
    nodes = [LinkedNode(f"n{number}") for number in range(4)]
    for node in nodes:
        facts = [MemberFact(other.vm, Standing.ALIVE) for other in nodes]
        node.membership.merge_facts(facts)
    yield nodes
    for node in nodes:
        node.links.close()


def link(nodes):
    """Link all nodes to each other."""
    for node in nodes:
        others = {other.vm.address for other in nodes if other is not node}
        node.links.set_peers(frozenset(others))


def wait_until(is_done):
    """Return whether ``is_done`` returns true before the timeout.

    It is not called again after that: a keeper that answers late on a busy machine
    does not make a version unknown that was known.
    """
    end = time.monotonic() + TIMEOUT_SECONDS
    while time.monotonic() < end:
        if is_done():
            return True
        time.sleep(0.01)
    return False


class TestLinks:
    """Four nodes that are linked, or open a link for each message."""

    @pytest.mark.parametrize("is_linked", [True, False])
    def test_streams_begun_by_many_threads_are_known_to_all_nodes(
        self, nodes, is_linked
    ):
        if is_linked:
            link(nodes)
        attempts = [f"a{number}" for number in range(60)]
        done = threading.Event()

        def send_updates(node):
            while not done.wait(0.02):
                node.exchange.send_updates()

        def begin(attempt_id):
            number = int(attempt_id[1:])
            exchange = nodes[number % len(nodes)].exchange
            exchange.record_begun(attempt_id, SERVICE, f"v{number % 3}")

        def is_known(attempt_id):
            number = int(attempt_id[1:])
            versions = {
                node.exchange.find(attempt_id, SERVICE).software_version
                for node in nodes
            }
            return versions == {f"v{number % 3}"}

        with ThreadPoolExecutor(12) as executor:
            updates = [executor.submit(send_updates, node) for node in nodes]
            try:
                list(executor.map(begin, attempts))
                checks = [lambda each=each: is_known(each) for each in attempts]
                known = list(executor.map(wait_until, checks))
            finally:
                done.set()

        assert all(known)
        assert [update.exception() for update in updates] == [None] * len(nodes)
