"""Cache events: late, with gaps, from engines that restart or are silent."""

import pytest

from runhatch_coordination import SystemClock, Unavailable
from runhatch_server.observability import Metrics
from runhatch_server.serving import CacheIntake, Dispatcher, Picture
from runhatch_server.serving._cache_intake import EVENTS_A_READ
from runhatch_server.targets import CacheEvent, CacheEvents

BLOCKS = tuple(f"b{i}" for i in range(4))


class Engine:
    """Publishes what the test says."""

    def __init__(self):
        self.published = []
        self.last = -1
        self.silent = False
        self.reads = 0

    def publish(self, *events, lost=0):
        for block, stored in events:
            self.last += 1
            self.published.append(CacheEvent(self.last, block, stored))
        self.last += lost

    def cache_events(self, after, limit):
        self.reads += 1
        if self.silent:
            return Unavailable("silent")
        events = [e for e in self.published if e.sequence > after]
        return CacheEvents(tuple(events[:limit]), self.last)


@pytest.fixture
def engines():
    return {f"http://127.0.0.1:{9000 + i}": Engine() for i in range(3)}


@pytest.fixture
def engine(engines):
    return engines["http://127.0.0.1:9000"]


@pytest.fixture
def dispatcher(deployment):
    picture = Picture()
    picture.configure(deployment)
    dispatcher = Dispatcher(picture, SystemClock(), "d0", 8, 0.5, seed=1)
    dispatcher._prefixes.stored("w0", BLOCKS)
    return dispatcher


@pytest.fixture
def intake(dispatcher, engines):
    intake = CacheIntake(
        dispatcher, dispatcher._picture, Metrics(), 2, engines.__getitem__
    )
    intake.read_round()
    return intake


class TestCacheIntake:
    """What beliefs become of events."""

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
    def test_beliefs_follow(self, dispatcher, intake, engine, events, lost, matched):
        """Drops are believed; what is missing changes nothing."""
        engine.publish(*events, lost=lost)
        intake.read_round()
        assert dispatcher._prefixes.matched("w0", BLOCKS) == matched

    def test_others_blocks_only_if_met(self, dispatcher, intake, engine):
        """What others stored is learnt only where this node has met the block."""
        dispatcher._prefixes.stored("w1", ("shared",))
        engine.publish(("shared", True), ("never met", True))
        intake.read_round()
        assert dispatcher._prefixes.matched("w0", ("shared",)) == 1
        assert not dispatcher._prefixes.is_known("never met")

    def test_restart_empties_the_cache(self, dispatcher, intake, engine):
        """Numbers that begin anew mean that nothing is cached any more."""
        engine.publish(*[("x", True)] * 10)
        intake.read_round()
        engine.published.clear()
        engine.last = -1
        intake.read_round()
        assert dispatcher.prefix_targets() == []

    def test_silence_changes_nothing(self, dispatcher, intake, engine):
        """An engine that cannot be read is believed as before."""
        engine.silent = True
        intake.read_round()
        assert dispatcher._prefixes.matched("w0", BLOCKS) == 4

    def test_far_behind_skips(self, dispatcher, intake, engine):
        """A reader that cannot keep up goes on from the newest events."""
        engine.publish(*[("x", True)] * 10 * EVENTS_A_READ)
        intake.read_round()
        assert intake._cursors["w0"] == engine.last - EVENTS_A_READ

    def test_turns(self, dispatcher, intake, engines):
        """However many engines there are, a round reads no more than its share."""
        for name in ("w1", "w2"):
            dispatcher._prefixes.stored(name, BLOCKS)
        before = sum(engine.reads for engine in engines.values())
        for _ in range(3):
            intake.read_round()
        assert sum(engine.reads for engine in engines.values()) == before + 6
        assert all(engine.reads >= 2 for engine in engines.values())
