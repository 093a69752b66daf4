"""Guards against links between nodes whose connection stays silent for good.

The sender of such a link gets no error, and all that it sends is lost.
"""

import threading
import time
from collections.abc import Iterator
from datetime import timedelta

import pytest

from runhatch_coordination import Membership, Standing, SystemClock, Vm
from runhatch_server.observability import Metrics
from runhatch_server.peers import MemberExchange, PeerLinks
from runhatch_standins._gateways import wait_until
from runhatch_standins._ports import free_ports
from runhatch_standins._tcp_relay import LinkFault, TcpRelay

HEARTBEAT_INTERVAL = timedelta(seconds=0.1)
SUSPECT_AFTER = timedelta(seconds=1.2)
RECOVERY_SECONDS = 4.0
"""Time in which a node is back after its link went silent."""


class LinkedNode:
    """The membership of a node and its links, reached through a relay."""

    def __init__(self, name: str) -> None:
        (port,) = free_ports(1)
        self.relay = TcpRelay(port)
        self.vm = Vm(name, name, f"127.0.0.1:{self.relay.port}", 1)
        self.membership = Membership(self.vm, SystemClock(), SUSPECT_AFTER)
        self._metrics = Metrics()
        self.exchange = MemberExchange(self.membership, self._metrics, seed=1)
        self._links = PeerLinks(
            f"127.0.0.1:{port}",
            self.exchange.own_member,
            self.exchange.receive,
            self._metrics,
            HEARTBEAT_INTERVAL,
            1_000_000,
            None,
            pytest.fail,
            SystemClock(),
        )
        self.exchange.attach_links(self._links)
        self._stopping = threading.Event()
        self._task = threading.Thread(target=self._run)

    @property
    def has_heartbeats(self) -> bool:
        return bool(self.membership._last_heartbeats)

    @property
    def suspicion_count(self) -> float:
        (counter,) = self._metrics.suspicions.collect()
        return counter.samples[0].value

    def start(self, vms: list[Vm]) -> None:
        self.membership.apply_list(vms, frozenset())
        self._task.start()

    def sees_alive(self, other: "LinkedNode") -> bool:
        return self.membership.standing(other.vm.name) is Standing.ALIVE

    def close(self) -> None:
        self._stopping.set()
        self._task.join()
        self._links.close()
        self.relay.close()

    def _run(self) -> None:
        while not self._stopping.wait(HEARTBEAT_INTERVAL.total_seconds()):
            self.exchange.update_links()
            self.exchange.check_members()


@pytest.fixture
def nodes() -> Iterator[tuple[LinkedNode, LinkedNode]]:
    pair = LinkedNode("n1"), LinkedNode("n2")
    vms = [node.vm for node in pair]
    for node in pair:
        node.start(vms)
    yield pair
    for node in pair:
        node.close()


def test_node_is_alive_again_after_its_link_went_silent(nodes):
    sender, receiver = nodes
    assert wait_until(lambda: receiver.has_heartbeats and sender.has_heartbeats)
    receiver.relay.inject(LinkFault.SILENCE)
    assert wait_until(lambda: receiver.suspicion_count, RECOVERY_SECONDS)

    assert wait_until(lambda: receiver.sees_alive(sender), RECOVERY_SECONDS)

    ended_at = time.monotonic() + 2 * SUSPECT_AFTER.total_seconds()
    while time.monotonic() < ended_at:
        assert receiver.sees_alive(sender)
        assert sender.sees_alive(receiver)
        time.sleep(0.02)
