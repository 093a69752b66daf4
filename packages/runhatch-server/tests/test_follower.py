"""Tests for following revisions through the store, notices and peers."""

import pytest

from runhatch_coordination import RevisionFeed, RevisionLog
from runhatch_coordination.testing import ManualClock, MemoryObjectStore, MemoryTable
from runhatch_server.configuration import ConfigurationService, RevisionFollower


class FollowedStore:
    """A revision log and one follower of it, with counts of reads and peer requests."""

    def __init__(self):
        self.reads = 0
        self.peer_requests = 0
        self.callbacks_during_read = []
        outer = self

        class Table(MemoryTable):
            def get(self, key):
                outer.reads += 1
                while outer.callbacks_during_read:
                    outer.callbacks_during_read.pop()()
                return super().get(key)

        self.objects = MemoryObjectStore()
        self.log = RevisionLog(Table(), self.objects, "configuration")
        self.feed = RevisionFeed(lambda _: None)
        service = ConfigurationService(self.log, self.feed, ManualClock())
        self.follower = RevisionFollower(service, self.feed, self.request_from_peer)

    def request_from_peer(self):
        self.peer_requests += 1

    def publish(self):
        """Publish the next revision, reset the read count and return its number."""
        number = self.log.read_head_number() + 1
        self.log.publish(number - 1, b"body %d" % number, "o", "", "")
        self.reads = 0
        return number


@pytest.fixture
def store():
    return FollowedStore()


class TestRevisionFollower:
    """When the store is read and when a request is sent to a peer."""

    def test_change_takes_one_read(self, store):
        """The head row holds everything but the body, so one table read is enough."""
        store.follower.record_position(store.publish())
        assert store.follower.read_requested.is_set()
        store.follower.read_store()
        assert (store.feed.number, store.reads) == (1, 1)

    def test_notice_of_same_revision_during_read_is_ignored(self, store):
        """A notice of the revision that is being read causes no second read."""
        number = store.publish()
        store.callbacks_during_read.append(
            lambda: store.follower.record_position(number)
        )
        store.follower.read_store()
        assert not store.follower.read_requested.is_set()

    def test_notice_of_newer_revision_during_read_causes_read(self, store):
        """A notice of a newer revision during a read causes another read."""
        store.publish()
        store.callbacks_during_read.append(lambda: store.follower.record_position(2))
        store.follower.read_store()
        assert store.follower.read_requested.is_set()

    def test_unavailable_store_requests_from_peer(self, store):
        """While the store is unavailable each catch-up sends a request to a peer."""
        number = store.publish()
        store.objects.is_down = True
        store.follower.record_position(number)
        store.follower.read_store()
        assert not store.follower.read_requested.is_set()
        for _ in range(3):
            store.follower.read_if_behind()
        assert store.peer_requests == 3

    def test_repeated_notice_after_failed_read_causes_no_read(self, store):
        """Peers repeat their notices; each would cause a read of a store that fails."""
        number = store.publish()
        store.objects.is_down = True
        store.follower.record_position(number)
        store.follower.read_store()

        store.follower.record_position(number)
        assert not store.follower.read_requested.is_set()

        store.follower.record_position(number + 1)
        assert store.follower.read_requested.is_set()

    def test_current_node_sends_no_requests(self, store):
        """A node that is up to date neither reads nor sends requests."""
        store.publish()
        store.follower.read_store()
        store.reads = 0
        store.follower.read_if_behind()
        assert (store.reads, store.peer_requests) == (0, 0)
