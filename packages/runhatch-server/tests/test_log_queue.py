"""The log queue never blocks the threads that log."""

import io
import json
import threading
import time

import pytest

from runhatch_server.observability import LogLevel, LogQueue


class BlockedStream(io.StringIO):
    """A stream whose writes block until ``reading`` is set."""

    def __init__(self):
        super().__init__()
        self.reading = threading.Event()

    def write(self, text):
        self.reading.wait(10)
        return super().write(text)


def read_lines(stream):
    return [json.loads(line) for line in stream.getvalue().splitlines()]


def make_message(number, outcome="refused"):
    return {"message_type": "request", "number": number, "outcome": outcome}


class TestLogQueue:
    """Messages queued by many threads and written by one."""

    def test_lines_are_written_in_order(self):
        """1,000 queued lines are written completely and in order."""
        stream = io.StringIO()
        queue = LogQueue(stream, LogLevel.REQUEST)
        for number in range(1_000):
            queue(make_message(number))

        assert queue.flush(5)
        assert [line["number"] for line in read_lines(stream)] == list(range(1_000))

    def test_blocked_stream_does_not_block_callers(self):
        """While the log reader is stalled, logging returns and drops lines."""
        stream = BlockedStream()
        queue = LogQueue(stream, LogLevel.REQUEST, limit=100)
        started = time.monotonic()
        for number in range(10_000):
            queue(make_message(number))
        took = time.monotonic() - started

        assert took < 5
        assert queue.dropped > 0
        stream.reading.set()
        assert queue.flush(5)

    def test_dropped_lines_are_counted_in_log(self):
        """Written lines and the logged counts of dropped ones add up to all lines."""
        stream = BlockedStream()
        queue = LogQueue(stream, LogLevel.REQUEST, limit=10)
        for number in range(100):
            queue(make_message(number))
        stream.reading.set()
        assert queue.flush(5)
        queue(make_message(100))
        assert queue.flush(5)

        counts = [line for line in read_lines(stream) if "count" in line]
        written = len(read_lines(stream)) - len(counts)
        assert written + sum(line["count"] for line in counts) == 101

    def test_answered_requests_are_dropped_before_failures(self):
        """Lines of answered requests never use the queue space of refused ones."""
        stream = BlockedStream()
        queue = LogQueue(stream, LogLevel.REQUEST, limit=100)
        for number in range(200):
            queue(make_message(number, "answered"))
        before = queue.dropped
        for number in range(40):
            queue(make_message(number, "refused"))

        assert queue.dropped == before
        stream.reading.set()
        queue.flush(5)
        refused = [
            line for line in read_lines(stream) if line.get("outcome") == "refused"
        ]
        assert len(refused) == 40

    @pytest.mark.parametrize(
        ("level", "expected"),
        [(LogLevel.ERROR, 0), (LogLevel.CHANGE, 1), (LogLevel.REQUEST, 1)],
    )
    def test_level_filters_messages(self, level, expected):
        """A change is logged at the level of changes and above."""
        stream = io.StringIO()
        queue = LogQueue(stream, level)
        queue({"message_type": "x", "level": "change"})
        queue.flush(2)

        assert len(read_lines(stream)) == expected
