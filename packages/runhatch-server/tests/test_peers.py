"""Peer links and the facts sent over them, with and without TLS keys."""

import queue
import socket
import threading
import time
from datetime import timedelta

import pytest
import trustme

from runhatch_coordination import Standing, SystemClock
from runhatch_coordination.testing import ManualClock
from runhatch_server.observability import Metrics
from runhatch_server.peers import (
    Envelope,
    HostingFact,
    LinkClosed,
    Member,
    PeerLinks,
    RevisionNotice,
    _links,
)
from runhatch_server.peers._link import SEND_TIMEOUT
from runhatch_server.peers._links import CLOSE_TIMEOUT
from runhatch_server.peers._temporary_links import TEMPORARY_LINK_LIFETIME
from runhatch_server.settings import PeerTls


class FactCollector:
    """Collects received facts; :meth:`wait` blocks until there are enough."""

    def __init__(self):
        self.facts = []
        self.failures = []
        """Errors to raise, one for each of the next envelopes with facts."""
        self.senders = set()
        self.links = None
        self._changed = threading.Condition()

    def __call__(self, envelope: Envelope):
        if self.failures and envelope.facts:
            raise self.failures.pop()
        with self._changed:
            self.facts += envelope.facts
            self.senders.add(envelope.sender.name)
            self._changed.notify_all()

    def wait(self, count, seconds=5.0):
        with self._changed:
            return self._changed.wait_for(lambda: len(self.facts) >= count, seconds)


class QueueEmptiedMeanwhile(queue.Queue):
    """A queue that is found full once, and is empty directly afterwards."""

    def __init__(self):
        super().__init__()
        self._is_full = True

    def put_nowait(self, item):
        was_full, self._is_full = self._is_full, False
        if was_full:
            raise queue.Full
        super().put_nowait(item)


def wait_for(holds, seconds=5.0):
    deadline = time.monotonic() + seconds
    while not holds() and time.monotonic() < deadline:
        time.sleep(0.01)
    return holds()


def open_links(name, received, tls=None, interval=0.1, clock=None):
    member = Member(name, "d1", "", 1, Standing.ALIVE)
    return PeerLinks(
        "127.0.0.1:0",
        lambda: member,
        received,
        Metrics(),
        timedelta(seconds=interval),
        1_000_000,
        tls,
        pytest.fail,
        clock or SystemClock(),
    )


def address(links):
    return links.address.rpartition("/")[2]


@pytest.fixture
def pair():
    opened = []

    def make(tls_a=None, tls_b=None, clock_a=None):
        received = FactCollector()
        a = open_links("a", FactCollector(), tls_a, clock=clock_a)
        b = open_links("b", received, tls_b)
        opened.extend([a, b])
        received.links = b
        a.set_peers(frozenset({address(b)}))
        return a, received

    yield make
    for links in opened:
        links.close()


def write_keys(folder, authority):
    folder.mkdir(exist_ok=True)
    certificate = authority.issue_cert("runhatch-peer")
    paths = {n: folder / f"{n}.pem" for n in ("certificate", "key", "authority")}
    certificate.cert_chain_pems[0].write_to_path(paths["certificate"])
    certificate.private_key_pem.write_to_path(paths["key"])
    authority.cert_pem.write_to_path(paths["authority"])
    return PeerTls(
        certificate_file=paths["certificate"],
        key_file=paths["key"],
        authority_file=paths["authority"],
    )


class TestPeerLinks:
    """Delivery of facts, use of links, and TLS keys."""

    def test_facts_arrive_in_order(self, pair):
        """Facts sent to all peers arrive completely and in order."""
        a, received = pair()
        facts = [HostingFact(f"w{i}", i, ("m@1",)) for i in range(50)]
        for fact in facts:
            a.publish(fact)
        assert received.wait(50)
        assert received.facts == facts
        assert received.senders == {"a"}

    def test_closed_link_is_announced(self, pair):
        """A closed link is announced; otherwise the peer would suspect the silence."""
        a, received = pair()
        a.set_peers(frozenset())
        assert received.wait(1)
        assert received.facts == [LinkClosed()]

    @pytest.mark.parametrize("is_linked", [True, False])
    def test_closing_waits_until_queues_are_sent(self, pair, is_linked, monkeypatch):
        """Otherwise a node that stops would exit before its peers hear of it."""
        monkeypatch.setattr(_links, "CLOSE_TIMEOUT", timedelta(seconds=10))
        a, received = pair()
        target = next(iter(a._links))
        if not is_linked:
            a.set_peers(frozenset())
        a.send(target, [RevisionNotice(7)])
        link = a._links.get(target) or a._temporary._links[target]
        a.close()

        assert not link.task.is_alive()
        assert not a._receiver.is_alive()
        assert wait_for(lambda: RevisionNotice(7) in received.facts)

    def test_closing_does_not_wait_for_a_peer_that_is_gone(self, pair):
        a, received = pair()
        target = next(iter(a._links))
        received.links.close()
        a.send(target, [RevisionNotice(7)])
        started_at = time.monotonic()
        a.close()

        took = timedelta(seconds=time.monotonic() - started_at)
        assert took < CLOSE_TIMEOUT + timedelta(seconds=0.2)

    def test_address_in_use(self, pair):
        """An address in use raises an ``OSError`` that names it."""
        a, received = pair()
        used_address = address(a)
        with pytest.raises(OSError, match=f"{used_address}.*in use"):
            PeerLinks(
                used_address,
                None,
                received,
                Metrics(),
                timedelta(1),
                1000,
                None,
                pytest.fail,
                SystemClock(),
            )

    def test_temporary_link_sends_only_facts_addressed_to_it(self, pair):
        """A temporary link sends no heartbeats or facts to all, and stays open."""
        a, received = pair()
        target = next(iter(a._links))
        a.set_peers(frozenset())
        assert received.wait(1)
        a.send(target, [RevisionNotice(7)])
        link = a._temporary._links[target]
        assert received.wait(2)
        a.publish(RevisionNotice(1))
        a.send(target, [RevisionNotice(8)])

        assert received.wait(3)
        assert received.facts == [LinkClosed(), RevisionNotice(7), RevisionNotice(8)]
        assert a._temporary._links[target] is link
        for kind in ("linked", "temporary"):
            assert a._metrics.counter_value(a._metrics.peer_links, kind) == 1
        a.close()
        assert a._temporary.addresses == frozenset()

    def test_temporary_link_is_renewed(self, pair):
        """Its connection may be silent for good, and it carries no heartbeats."""
        clock = ManualClock()
        a, received = pair(clock_a=clock)
        target = next(iter(a._links))
        a.set_peers(frozenset())
        a.send(target, [RevisionNotice(7)])
        first_link = a._temporary._links[target]
        clock.advance(TEMPORARY_LINK_LIFETIME - timedelta(milliseconds=1))
        a.send(target, [RevisionNotice(8)])
        assert a._temporary._links[target] is first_link

        clock.advance(timedelta(milliseconds=1))
        a.send(target, [RevisionNotice(9)])
        assert a._temporary._links[target] is not first_link

        assert received.wait(4)
        numbers = {7, 8, 9}
        assert {RevisionNotice(each) for each in numbers} < set(received.facts)

    def test_fact_to_unlinked_address(self, pair):
        """A fact can be sent to an address without a link."""
        a, received = pair()
        target = next(iter(a._links))
        a.set_peers(frozenset())
        a.send(target, [RevisionNotice(7)])
        assert received.wait(2)
        assert RevisionNotice(7) in received.facts

    @pytest.mark.parametrize("is_linked", [True, False])
    def test_sent_facts_are_reported(self, pair, is_linked):
        a, received = pair()
        target = next(iter(a._links))
        if not is_linked:
            a.set_peers(frozenset())
        sent = threading.Event()
        a.send(target, [RevisionNotice(7)], sent.set)

        assert sent.wait(2)
        assert wait_for(lambda: RevisionNotice(7) in received.facts)

    @pytest.mark.parametrize("is_linked", [True, False])
    def test_facts_that_no_connection_takes_are_not_reported(self, pair, is_linked):
        a, received = pair()
        target = next(iter(a._links))
        a.set_peers(frozenset())
        received.links.close()
        assert wait_for(lambda: self.is_refused(target))
        if is_linked:
            a.set_peers(frozenset({target}))
        sent = threading.Event()
        a.send(target, [RevisionNotice(7)], sent.set)

        assert not sent.wait((SEND_TIMEOUT * 2).total_seconds())

    def is_refused(self, target):
        host, _, port = target.rpartition(":")
        with socket.socket() as client:
            return client.connect_ex((host, int(port))) != 0

    def test_facts_are_received_after_an_error(self, pair):
        """Without the receiving task a node would hear no other one any more."""
        a, received = pair()
        received.failures.append(ValueError("fact"))
        a.publish(RevisionNotice(1))
        assert wait_for(lambda: not received.failures)
        a.publish(RevisionNotice(2))

        assert received.wait(1)
        assert received.facts == [RevisionNotice(2)]

    def test_link_ends_while_its_full_queue_is_emptied(self, pair):
        a, _ = pair()
        (link,) = a._links.values()
        facts, link._facts = link._facts, QueueEmptiedMeanwhile()

        link.close()

        assert link._facts.get_nowait() is None
        facts.put(None)

    def test_keys_of_one_authority(self, pair, tmp_path):
        """Nodes with keys of the same authority exchange facts."""
        authority = trustme.CA()
        a, received = pair(
            write_keys(tmp_path / "a", authority), write_keys(tmp_path / "b", authority)
        )
        a.publish(RevisionNotice(1))
        assert received.wait(1)

    @pytest.mark.parametrize("sender_keys", ["other authority", "no keys"])
    def test_facts_without_trusted_keys_are_rejected(self, pair, tmp_path, sender_keys):
        """Facts from a peer without keys of the same authority are not received."""
        own = write_keys(tmp_path / "b", trustme.CA())
        other = write_keys(tmp_path / "a", trustme.CA())
        a, received = pair(other if sender_keys == "other authority" else None, own)
        a.publish(RevisionNotice(1))
        time.sleep(1)
        assert received.facts == []

    def test_renewed_keys_take_effect_without_restart(self, pair, tmp_path):
        """Renewed keys are used in both directions without a restart."""
        old, new = trustme.CA(), trustme.CA()
        folders = tmp_path / "a", tmp_path / "b"
        a, received = pair(*(write_keys(folder, old) for folder in folders))
        b = received.links
        a.publish(RevisionNotice(1))
        assert received.wait(1)
        write_keys(folders[1], new)
        b.renew_keys()
        a.publish(RevisionNotice(2))
        assert not received.wait(2, seconds=1)
        write_keys(folders[0], new)
        a.renew_keys()
        a.publish(RevisionNotice(3))
        assert received.wait(2)
        assert received.facts[-1] == RevisionNotice(3)

    @pytest.mark.parametrize("broken", ["certificate", "key", "authority"])
    def test_unusable_keys_leave_current_keys_in_use(self, pair, tmp_path, broken):
        """Incomplete or mismatching key files leave the current keys in use."""
        authority = trustme.CA()
        folders = tmp_path / "a", tmp_path / "b"
        a, received = pair(*(write_keys(folder, authority) for folder in folders))
        other_key = trustme.CA().issue_cert("runhatch-peer").private_key_pem.bytes()
        content = other_key if broken == "key" else b"-----BEGIN"
        (folders[1] / f"{broken}.pem").write_bytes(content)
        received.links.renew_keys()
        a.publish(RevisionNotice(1))
        assert received.wait(1)

    def test_unusable_keys_prevent_start(self, tmp_path):
        """Unusable keys at start raise an ``OSError`` that names the file."""
        keys = write_keys(tmp_path / "a", trustme.CA())
        keys.key_file.write_text("nothing")
        with pytest.raises(OSError, match=r"peering\.tls: found .*key\.pem"):
            open_links("a", FactCollector(), keys)
