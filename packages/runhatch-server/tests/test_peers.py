"""Peer links and what travels on them, with and without keys."""

import threading
import time
from datetime import timedelta

import pytest
import trustme

from runhatch_coordination import Standing
from runhatch_server.observability import Metrics
from runhatch_server.peers import (
    Envelope,
    HostingFact,
    LinkClosed,
    Member,
    PeerLinks,
    RevisionNotice,
)
from runhatch_server.settings import PeerTls


class Received:
    """Collects facts, and waits for as many as wanted."""

    def __init__(self):
        self.facts = []
        self.senders = set()
        self.links = None
        self._more = threading.Condition()

    def __call__(self, envelope: Envelope):
        with self._more:
            self.facts += envelope.facts
            self.senders.add(envelope.sender.name)
            self._more.notify_all()

    def wait(self, count, seconds=5.0):
        with self._more:
            return self._more.wait_for(lambda: len(self.facts) >= count, seconds)


def open_links(name, received, tls=None, interval=0.1):
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
    )


def address(links):
    return links.address.rpartition("/")[2]


@pytest.fixture
def pair():
    opened = []

    def make(tls_a=None, tls_b=None):
        received = Received()
        a = open_links("a", Received(), tls_a)
        b = open_links("b", received, tls_b)
        opened.extend([a, b])
        received.links = b
        a.keep(frozenset({address(b)}))
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
    """Facts arrive, in order, under their sender's name."""

    def test_facts_arrive_in_order(self, pair):
        """What is told to all peers arrives whole and in order."""
        a, received = pair()
        facts = [HostingFact(f"w{i}", i, ("m@1",)) for i in range(50)]
        for fact in facts:
            a.tell_all(fact)
        assert received.wait(50)
        assert received.facts == facts
        assert received.senders == {"a"}

    def test_closing_is_told(self, pair):
        """A peer that is linked to no more hears so, and times no silence."""
        a, received = pair()
        a.keep(frozenset())
        assert received.wait(1)
        assert received.facts == [LinkClosed()]

    def test_address_in_use(self, pair):
        """An address that is taken is one clear error."""
        a, received = pair()
        taken = address(a)
        with pytest.raises(OSError, match=f"{taken}.*in use"):
            PeerLinks(
                taken, None, received, Metrics(), timedelta(1), 1000, None, pytest.fail
            )

    def test_a_held_link_carries_only_what_is_told_to_it(self, pair):
        """No heartbeat, nothing that goes to all, and one connection for many facts."""
        a, received = pair()
        target = next(iter(a._links))
        a.keep(frozenset())
        assert received.wait(1)
        a.hold(target)
        link = a._direct_link
        a.tell_all(RevisionNotice(1))
        for number in (7, 8):
            a.tell(target, [RevisionNotice(number)])

        assert received.wait(3)
        assert received.facts == [LinkClosed(), RevisionNotice(7), RevisionNotice(8)]
        assert a._direct_link is link
        a.hold("")
        assert a._direct_link is None

    def test_passing_link(self, pair):
        """A fact for one address needs no kept link."""
        a, received = pair()
        target = next(iter(a._links))
        a.keep(frozenset())
        a.tell(target, [RevisionNotice(7)])
        assert received.wait(2)
        assert RevisionNotice(7) in received.facts

    def test_keys_of_one_authority(self, pair, tmp_path):
        """With keys of one authority the link works."""
        authority = trustme.CA()
        a, received = pair(
            write_keys(tmp_path / "a", authority), write_keys(tmp_path / "b", authority)
        )
        a.tell_all(RevisionNotice(1))
        assert received.wait(1)

    @pytest.mark.parametrize("stranger", ["other authority", "no keys"])
    def test_strangers_are_not_heard(self, pair, tmp_path, stranger):
        """A peer without a key of the authority is not listened to."""
        own = write_keys(tmp_path / "b", trustme.CA())
        other = write_keys(tmp_path / "a", trustme.CA())
        a, received = pair(other if stranger == "other authority" else None, own)
        a.tell_all(RevisionNotice(1))
        time.sleep(1)
        assert received.facts == []

    def test_renewed_keys(self, pair, tmp_path):
        """New keys are in force on both sides without a restart."""
        old, new = trustme.CA(), trustme.CA()
        folders = tmp_path / "a", tmp_path / "b"
        a, received = pair(*(write_keys(folder, old) for folder in folders))
        b = received.links
        a.tell_all(RevisionNotice(1))
        assert received.wait(1)
        write_keys(folders[1], new)
        b.renew_keys()
        a.tell_all(RevisionNotice(2))
        assert not received.wait(2, seconds=1)
        write_keys(folders[0], new)
        a.renew_keys()
        a.tell_all(RevisionNotice(3))
        assert received.wait(2)
        assert received.facts[-1] == RevisionNotice(3)

    @pytest.mark.parametrize("broken", ["certificate", "key", "authority"])
    def test_unusable_keys_change_nothing(self, pair, tmp_path, broken):
        """Half-written or unfitting files leave the keys in force as they are."""
        authority = trustme.CA()
        folders = tmp_path / "a", tmp_path / "b"
        a, received = pair(*(write_keys(folder, authority) for folder in folders))
        other = trustme.CA().issue_cert("runhatch-peer").private_key_pem.bytes()
        bad = other if broken == "key" else b"-----BEGIN"
        (folders[1] / f"{broken}.pem").write_bytes(bad)
        received.links.renew_keys()
        a.tell_all(RevisionNotice(1))
        assert received.wait(1)

    def test_unusable_keys_at_the_start(self, tmp_path):
        """A node whose keys cannot be used says which in one line."""
        keys = write_keys(tmp_path / "a", trustme.CA())
        keys.key_file.write_text("nothing")
        with pytest.raises(OSError, match=r"peering\.tls: found .*key\.pem"):
            open_links("a", Received(), keys)
