"""Tests of reading cache events: gaps, delays, restarts and unavailable engines."""

import pytest

from runhatch_coordination import SystemClock, Unavailable
from runhatch_server.observability import Metrics
from runhatch_server.serving import CacheEventReader, Dispatcher, PlacementCache
from runhatch_server.serving._cache_event_reader import MAX_EVENTS_PER_READ
from runhatch_server.targets import CacheEvent, CacheEvents

BLOCKS = tuple(f"b{i}" for i in range(4))


class FakeEngine:
    """Publishes the events that a test passes to it."""

    def __init__(self):
        self.published = []
        self.last = -1
        self.is_unavailable = False
        self.reads = 0

    def publish(self, *events, lost=0):
        for block, stored in events:
            self.last += 1
            self.published.append(CacheEvent(self.last, block, stored))
        self.last += lost

    def fetch_cache_events(self, after, limit):
        self.reads += 1
        if self.is_unavailable:
            return Unavailable("silent")
        events = [e for e in self.published if e.sequence > after]
        return CacheEvents(tuple(events[:limit]), self.last)


@pytest.fixture
def engines():
    return {f"http://127.0.0.1:{9000 + i}": FakeEngine() for i in range(3)}


@pytest.fixture
def engine(engines):
    return engines["http://127.0.0.1:9000"]


@pytest.fixture
def dispatcher(deployment):
    picture = PlacementCache()
    picture.set_deployment(deployment)
    dispatcher = Dispatcher(picture, SystemClock(), "d0", 8, 0.5, seed=1)
    dispatcher._prefixes.record_blocks("w0", BLOCKS)
    return dispatcher


@pytest.fixture
def intake(dispatcher, engines):
    intake = CacheEventReader(
        dispatcher, dispatcher._picture, Metrics(), 2, engines.__getitem__
    )
    intake.read_round()
    return intake


class TestCacheIntake:
    """Effect of cache events on the prefix index."""

    @pytest.mark.parametrize(
        ("events", "lost", "matched"),
        [
            ([], 0, 4),
            ([("b2", False)], 0, 2),
            ([("b2", False), ("b2", True)], 0, 4),
            ([("foreign", True)], 0, 4),
            ([], 2, 4),
            ([("b3", False)], 2, 3),
        ],
    )
    def test_events_update_the_prefix_index(
        self, dispatcher, intake, engine, events, lost, matched
    ):
        """Dropped blocks are removed; missing events change nothing."""
        engine.publish(*events, lost=lost)
        intake.read_round()
        assert dispatcher._prefixes.count_matching("w0", BLOCKS) == matched

    def test_blocks_of_other_nodes_are_added_only_if_known(
        self, dispatcher, intake, engine
    ):
        """A block stored by another node's request is added only if known here."""
        dispatcher._prefixes.record_blocks("w1", ("shared",))
        engine.publish(("shared", True), ("never met", True))
        intake.read_round()
        assert dispatcher._prefixes.count_matching("w0", ("shared",)) == 1
        assert not dispatcher._prefixes.is_known("never met")

    def test_restart_removes_the_engine_from_the_index(
        self, dispatcher, intake, engine
    ):
        """Sequence numbers that restart mean that the cache was lost."""
        engine.publish(*[("x", True)] * 10)
        intake.read_round()
        engine.published.clear()
        engine.last = -1
        intake.read_round()
        assert dispatcher.prefix_targets() == []

    def test_unreadable_engine_keeps_its_entries(self, dispatcher, intake, engine):
        """The entries of an engine that cannot be read stay in the index."""
        engine.is_unavailable = True
        intake.read_round()
        assert dispatcher._prefixes.count_matching("w0", BLOCKS) == 4

    def test_reader_far_behind_skips_the_oldest_events(
        self, dispatcher, intake, engine
    ):
        """A reader that cannot keep up continues with the newest events."""
        engine.publish(*[("x", True)] * 10 * MAX_EVENTS_PER_READ)
        intake.read_round()
        assert intake._cursors["w0"] == engine.last - MAX_EVENTS_PER_READ

    def test_round_reads_a_limited_number_of_engines(self, dispatcher, intake, engines):
        """A round reads two of three engines, and the rounds rotate over all."""
        for name in ("w1", "w2"):
            dispatcher._prefixes.record_blocks(name, BLOCKS)
        before = sum(engine.reads for engine in engines.values())
        for _ in range(3):
            intake.read_round()
        assert sum(engine.reads for engine in engines.values()) == before + 6
        assert all(engine.reads >= 2 for engine in engines.values())
