"""Messages of a node with declared targets to its peers."""

import pytest
from gateway_cases import FakeTargets, do_nothing

from runhatch_coordination import (
    Membership,
    Revision,
    RevisionEntry,
    RevisionFeed,
    Vm,
    digest_of,
)
from runhatch_server._peer_service import PeerService
from runhatch_server.crashes import CrashDetector
from runhatch_server.observability import Metrics
from runhatch_server.peers import RevisionNotice


class RecordingLinks:
    """Records the facts published to all peers."""

    def __init__(self):
        self.published = []

    def publish(self, fact):
        self.published.append(fact)


@pytest.mark.parametrize("number", [None, 4])
def test_revision_in_force_is_published_with_heartbeats(clock, number):
    """A notice sent while a link is not open yet is lost.

    A node that cannot read the store then never learned that there is a revision to
    request from a peer.
    """
    feed = RevisionFeed(do_nothing)
    links = RecordingLinks()
    peers = PeerService(
        Membership(Vm("n1", "d1", "a1"), clock),
        feed,
        None,
        Metrics(),
        *[do_nothing] * 6,
        CrashDetector(clock, FakeTargets(), Metrics(), do_nothing),
        clock,
    )
    peers.attach_links(links)
    if number is not None:
        entry = RevisionEntry(number, "o1", "", "", "", "b", digest_of(b"body"))
        feed.offer(Revision(entry, b"body"))

    for _ in range(2):
        peers.publish_held_revision()

    expected = [] if number is None else [RevisionNotice(number)] * 2
    assert links.published == expected
