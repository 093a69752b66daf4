"""Events of streams that are kept are bounded together, as other answers are.

Each stream's events were kept as objects of their own, up to 16 MB of them: a target
that sent small events without end had a node hold 200 MB for each of its streams.
"""

import tracemalloc
from dataclasses import dataclass, field
from types import SimpleNamespace

import pytest
from gateway_cases import seconds
from server_cases import make_request

from runhatch_coordination import SystemClock
from runhatch_server.http import AbortedStreamError, AnswerLimits, RequestMemory
from runhatch_server.http._memory import Holding
from runhatch_server.observability import Metrics, RequestLog
from runhatch_server.serving._kept_events import UNACCOUNTED_BYTES, KeptEvents
from runhatch_server.serving._relay import StreamRelay
from runhatch_server.targets import AttemptReason

MIB = 1024 * 1024
MEMORY_BYTES = 8 * MIB
EVENT = b"data:a\n\n"
END = b"data: [DONE]\n\n"
PART = EVENT * 8_192


@pytest.fixture
def memory():
    return RequestMemory(MEMORY_BYTES)


@dataclass
class FakeAnswer:
    """Sends ``parts`` parts of small events, then the last one and the end."""

    parts: int
    closed: bool = False

    def set_timeout(self, seconds):
        pass

    def read_chunk(self):
        if self.parts < 0:
            return b""
        self.parts -= 1
        return END if self.parts < 0 else PART

    def close(self):
        self.closed = True


@dataclass
class FakeAttempter:
    """Keeps the reasons for which attempts were abandoned."""

    abandoned: list = field(default_factory=list)

    def record_begun(self, context):
        pass

    def record_completed(self, opened, context):
        opened.answer.close()

    def record_abandoned(self, context, grant, outcome):
        self.abandoned.append(outcome.reason)


class RelayCase:
    """One stream, the events that are kept of it, and what is recorded."""

    def __init__(self, memory, parts, must_keep=False, limits=None):
        self.answer = FakeAnswer(parts)
        self.attempter = FakeAttempter()
        self.metrics = Metrics()
        self.events = KeptEvents(memory)
        request = make_request(seconds=60)
        context = SimpleNamespace(
            request=request,
            is_caller_gone=lambda: False,
            attempts=1,
            log=RequestLog("r", "a", "c", enabled=False),
        )
        opened = SimpleNamespace(
            answer=self.answer,
            grant=SimpleNamespace(host=SimpleNamespace(url="http://127.0.0.1:1")),
        )
        self.relay = StreamRelay(
            context,
            opened,
            self.attempter,
            None,
            SimpleNamespace(cancel=lambda url, attempt: None),
            self.metrics,
            SystemClock(),
            seconds(1),
            limits or AnswerLimits(max_stream_rate=1 << 40),
            self.events,
            must_keep_events=must_keep,
        )

    def count_relayed(self):
        """Relay the whole stream; return how many events the caller receives."""
        return sum(1 for _ in self.relay.relay_events())

    def counter(self, line):
        return line in self.metrics.render_exposition().decode()


class TestKeptEvents:
    """The events of one stream."""

    @pytest.mark.parametrize("count", [0, 1, 3, 40_000])
    def test_events_are_returned_as_they_were(self, memory, count):
        kept = KeptEvents(memory)
        events = [b"id: %d\ndata: a\n\n" % number for number in range(count)]

        assert all(kept.append(event) for event in events)

        assert list(kept) == events
        assert kept.content == b"".join(events)

    def test_ordinary_stream_needs_no_room(self, memory):
        memory.update(Holding(lambda: None), lambda: MEMORY_BYTES)
        kept = KeptEvents(memory)

        assert kept.append(b"a" * UNACCOUNTED_BYTES)
        assert kept.is_whole

    def test_events_without_room_are_dropped_and_their_room_returned(self, memory):
        kept = KeptEvents(memory)
        assert kept.append(b"a" * MIB)
        assert memory.held > MIB
        other = Holding(lambda: None)
        memory.update(other, lambda: MEMORY_BYTES - memory.held)

        assert not kept.append(b"a" * MIB)
        assert not kept.append(b"a")

        assert not kept.is_whole
        assert kept.content == b""
        assert memory.held == other.size

    def test_close_returns_the_room(self, memory):
        kept = KeptEvents(memory)
        kept.append(b"a" * MIB)

        kept.close()

        assert memory.held == 0

    def test_events_of_many_streams_are_bounded_together(self, memory):
        streams = [KeptEvents(memory) for _ in range(12)]

        for _ in range(2 * MIB // len(PART)):
            for kept in streams:
                kept.append(PART)

        assert sum(len(kept.content) for kept in streams) <= MEMORY_BYTES
        assert any(kept.is_whole for kept in streams)


class TestRelayedStreams:
    """Streams through nodes with our own interface."""

    def test_small_events_hold_little_more_than_their_size(self, memory):
        case = RelayCase(memory, parts=3 * MIB // len(PART))
        tracemalloc.start()
        try:
            relayed = case.count_relayed()
            _, peak = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()

        assert relayed == 3 * MIB // len(EVENT)
        assert peak < 8 * MIB
        assert case.relay.is_complete
        assert case.events.content == EVENT * relayed + END

    def test_stream_goes_on_if_its_events_find_no_room(self, memory):
        memory.update(Holding(lambda: None), lambda: MEMORY_BYTES)
        case = RelayCase(memory, parts=4)

        assert case.count_relayed() == 4 * 8_192

        assert case.relay.is_complete
        assert case.counter("runhatch_unkept_streams_total 1.0")

    def test_stream_ends_if_it_must_be_recorded_without_room(self, memory):
        memory.update(Holding(lambda: None), lambda: MEMORY_BYTES)
        case = RelayCase(memory, parts=4, must_keep=True)

        received = []
        with pytest.raises(AbortedStreamError):
            received.extend(case.relay.relay_events())

        assert case.attempter.abandoned == [AttemptReason.MEMORY_FULL]
        assert case.answer.closed
        assert not case.relay.is_complete

    def test_stream_that_is_too_long_is_recorded_as_such(self, memory):
        limits = AnswerLimits(max_bytes=2 * len(PART), max_stream_rate=1 << 40)
        case = RelayCase(memory, parts=4, limits=limits)

        with pytest.raises(AbortedStreamError):
            case.count_relayed()

        assert case.attempter.abandoned == [AttemptReason.ANSWER_TOO_LONG]

    def test_slowed_stream_is_counted_once(self, memory):
        limits = AnswerLimits(max_stream_rate=6 * len(PART))
        case = RelayCase(memory, parts=8, limits=limits)

        case.count_relayed()

        assert case.counter('runhatch_slowed_streams_total{kind="model"} 1.0')
