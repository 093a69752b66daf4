"""Logs that never hold up whoever writes them."""

import io
import json
import threading
import time

import pytest

from runhatch_server.observability import LogLevel, LogQueue


class StoppedReader(io.StringIO):
    """A pipe that nobody reads until told."""

    def __init__(self):
        super().__init__()
        self.reading = threading.Event()

    def write(self, text):
        self.reading.wait(10)
        return super().write(text)


def lines(stream):
    return [json.loads(line) for line in stream.getvalue().splitlines()]


def message(number, outcome="refused"):
    return {"message_type": "request", "number": number, "outcome": outcome}


class TestLogQueue:
    """One writer, many loggers."""

    def test_lines_are_written_in_order(self):
        stream = io.StringIO()
        queue = LogQueue(stream, LogLevel.REQUEST)
        for number in range(1_000):
            queue(message(number))

        assert queue.flush(5)
        assert [line["number"] for line in lines(stream)] == list(range(1_000))

    def test_a_reader_that_stops_holds_nobody_up(self):
        stream = StoppedReader()
        queue = LogQueue(stream, LogLevel.REQUEST, limit=100)
        begun = time.monotonic()
        for number in range(10_000):
            queue(message(number))
        took = time.monotonic() - begun

        assert took < 5
        assert queue.dropped > 0
        stream.reading.set()
        assert queue.flush(5)

    def test_what_was_left_out_is_told(self):
        stream = StoppedReader()
        queue = LogQueue(stream, LogLevel.REQUEST, limit=10)
        for number in range(100):
            queue(message(number))
        stream.reading.set()
        assert queue.flush(5)
        queue(message(100))
        assert queue.flush(5)

        told = [line for line in lines(stream) if "count" in line]
        written = len(lines(stream)) - len(told)
        assert written + sum(line["count"] for line in told) == 101

    def test_answered_requests_are_left_out_before_failures(self):
        stream = StoppedReader()
        queue = LogQueue(stream, LogLevel.REQUEST, limit=100)
        for number in range(200):
            queue(message(number, "answered"))
        before = queue.dropped
        for number in range(40):
            queue(message(number, "refused"))

        assert queue.dropped == before
        stream.reading.set()
        queue.flush(5)
        refused = [line for line in lines(stream) if line.get("outcome") == "refused"]
        assert len(refused) == 40

    @pytest.mark.parametrize(
        ("level", "shown"),
        [(LogLevel.ERROR, 0), (LogLevel.CHANGE, 1), (LogLevel.REQUEST, 1)],
    )
    def test_levels(self, level, shown):
        stream = io.StringIO()
        queue = LogQueue(stream, level)
        queue({"message_type": "x", "level": "change"})
        queue.flush(2)

        assert len(lines(stream)) == shown
