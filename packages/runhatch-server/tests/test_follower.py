"""Following revisions by the store, by notices and by peers."""

import pytest

from runhatch_coordination import RevisionFeed, RevisionLog
from runhatch_coordination.testing import ManualClock, MemoryObjects, MemoryTable
from runhatch_server.configuration import ConfigurationService, RevisionFollower


class Store:
    """A log, one node that follows it, and how often it asked."""

    def __init__(self):
        self.reads = 0
        self.asked = 0
        self.during_read = []
        store = self

        class Table(MemoryTable):
            def get(self, key):
                store.reads += 1
                while store.during_read:
                    store.during_read.pop()()
                return super().get(key)

        self.objects = MemoryObjects()
        self.log = RevisionLog(Table(), self.objects, "configuration")
        self.feed = RevisionFeed(lambda _: None)
        service = ConfigurationService(self.log, self.feed, ManualClock())
        self.follower = RevisionFollower(service, self.feed, self.ask)

    def ask(self):
        self.asked += 1

    def publish(self):
        """Publish the next revision, and count reads from here on."""
        number = self.log.head() + 1
        self.log.publish(number - 1, b"body %d" % number, "o", "", "")
        self.reads = 0
        return number


@pytest.fixture
def store():
    return Store()


class TestRevisionFollower:
    """What is read when, and who is asked."""

    def test_a_change_is_one_read(self, store):
        """The head's row tells all but the body."""
        store.follower.notice(store.publish())
        assert store.follower.wake.is_set()
        store.follower.poll()
        assert (store.feed.number, store.reads) == (1, 1)

    def test_late_notices_of_the_same_set_off_nothing(self, store):
        """Peers that tell of what has just been read cause no second read."""
        number = store.publish()
        store.during_read.append(lambda: store.follower.notice(number))
        store.follower.poll()
        assert not store.follower.wake.is_set()

    def test_news_during_a_read_is_not_missed(self, store):
        """A notice of more, come while reading, sets off the next read."""
        store.publish()
        store.during_read.append(lambda: store.follower.notice(2))
        store.follower.poll()
        assert store.follower.wake.is_set()

    def test_store_out_of_reach(self, store):
        """What the store does not give is asked of a peer, again and again."""
        number = store.publish()
        store.objects.down = True
        store.follower.notice(number)
        store.follower.poll()
        assert not store.follower.wake.is_set()
        for _ in range(3):
            store.follower.catch_up()
        assert store.asked == 3

    def test_nothing_lacking_asks_nobody(self, store):
        """A node that is up to date neither reads nor asks."""
        store.publish()
        store.follower.poll()
        store.reads = 0
        store.follower.catch_up()
        assert (store.reads, store.asked) == (0, 0)
