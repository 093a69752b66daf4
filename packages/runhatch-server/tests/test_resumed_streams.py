"""Streams of a gateway that break off and are resumed at another target."""

from datetime import timedelta

import pytest
from gateway_cases import (
    do_nothing,
    make_request,
    make_route,
    never_disconnected,
)
from run_cases import PartConnection

from runhatch_server.gateway._forward import OpenedAnswer
from runhatch_server.gateway._messages import AnswerHead
from runhatch_server.gateway._pace import StreamPace
from runhatch_server.gateway._records import RequestRecord, RequestRecorder
from runhatch_server.gateway._relay import StreamRelay
from runhatch_server.http import AbortedStreamError, AnswerLimits
from runhatch_server.observability import Metrics
from runhatch_server.routing import RequestKind

HEAD = AnswerHead(200, "", "id", True, False, False, None, timedelta(seconds=1), ())


class FakeTargetSide:
    """Fake of the forwarder and balancer, which have nothing to return."""

    def recycle_connection(self, opened):
        pass

    def discard_answer(self, opened):
        pass

    def release(self, grant, target_failed):
        pass

    def record_stream_pace(self, grant, gap):
        pass


class ScriptedResumer:
    """Resumes with the next of ``parts``, and records after which events."""

    def __init__(self, parts):
        self._parts = list(parts)
        self.resumed_after = []
        self.first_events = 0
        self.broken_begun = []
        """For each broken attempt, whether its target had sent an event."""

    def resume(self, after):
        self.resumed_after.append(after)
        if not self._parts:
            return None
        return object(), OpenedAnswer(self._parts.pop(0), HEAD)

    def record_begun(self, grant):
        pass

    def record_first_event(self, grant):
        self.first_events += 1

    def record_no_answer(self, grant, reason, has_begun):
        self.broken_begun.append(has_begun)


def relay_parts(clock, first, *others, limits=None):
    """Return what the caller got, whether it is complete, and the resumer."""
    request = make_request(
        clock, make_route(RequestKind.STREAM, resumable=True), "plain", ""
    )
    resumer = ScriptedResumer(others)
    side = FakeTargetSide()
    relay = StreamRelay(
        request,
        object(),
        OpenedAnswer(first, HEAD),
        side,
        side,
        resumer,
        clock,
        never_disconnected,
        do_nothing,
        limits or AnswerLimits(),
    )
    received = b""
    try:
        for piece in relay:
            received += piece
    except AbortedStreamError:
        return received, False, resumer
    return received, True, resumer


EVENTS = (b"id: 1\ndata: a\n\n", b"id: 2\ndata: b\n\n", b"id: 3\ndata: c\n\n")


class TestResumedStream:
    """The caller gets each event once, or an aborted stream."""

    @pytest.mark.parametrize("cut", range(1, len(EVENTS[1])))
    def test_broken_event_is_sent_by_the_next_target_alone(self, clock, cut):
        first = PartConnection(EVENTS[0], EVENTS[1][:cut], breaks=True)

        received, is_complete, resumer = relay_parts(
            clock, first, PartConnection(*EVENTS[1:])
        )

        assert (received, is_complete) == (b"".join(EVENTS), True)
        assert resumer.resumed_after == ["1"]

    @pytest.mark.parametrize(
        ("first_is_framed", "second_is_framed", "is_complete"),
        [
            (True, True, True),
            (True, False, False),
            (False, True, True),
            (False, False, True),
        ],
    )
    def test_framing_of_parts(
        self, clock, first_is_framed, second_is_framed, is_complete
    ):
        """An answer with framing is completed by a part with framing alone."""
        first = PartConnection(EVENTS[0], is_framed=first_is_framed, breaks=True)
        second = PartConnection(*EVENTS[1:], is_framed=second_is_framed)

        received, found, _ = relay_parts(clock, first, second)

        assert (received, found) == (b"".join(EVENTS), is_complete)

    def test_stream_that_broke_after_its_last_event_is_completed(self, clock):
        """The next target has nothing left to send."""
        first = PartConnection(*EVENTS, breaks=True)

        received, is_complete, _ = relay_parts(clock, first, PartConnection())

        assert (received, is_complete) == (b"".join(EVENTS), True)

    def test_id_without_a_space_is_resumed_after(self, clock):
        """The space after the colon is optional."""
        events = [event.replace(b": ", b":") for event in EVENTS]
        first = PartConnection(events[0], breaks=True)

        received, is_complete, resumer = relay_parts(
            clock, first, PartConnection(*events[1:])
        )

        assert resumer.resumed_after == ["1"]
        assert (received, is_complete) == (b"".join(events), True)

    @pytest.mark.parametrize("data", [b"data: x\n\n", b"data:x\n\n"])
    def test_event_without_id_is_not_sent_twice(self, clock, data):
        """The next target would send it again."""
        first = PartConnection(EVENTS[0], data, breaks=True)

        received, is_complete, _ = relay_parts(
            clock, first, PartConnection(data, *EVENTS[1:])
        )

        assert (received, is_complete) == (EVENTS[0] + data, False)

    def test_comment_does_not_prevent_resuming(self, clock):
        """It is no event, and may be sent again."""
        first = PartConnection(EVENTS[0], b": still here\n\n", breaks=True)

        received, is_complete, _ = relay_parts(
            clock, first, PartConnection(*EVENTS[1:])
        )

        assert (received.replace(b": still here\n\n", b""), is_complete) == (
            b"".join(EVENTS),
            True,
        )


class TestFirstEvent:
    """Crash detection needs to know which targets had begun to answer."""

    @pytest.mark.parametrize(
        ("pieces", "has_begun"),
        [
            ((), False),
            ((b": wait\n\n",), False),
            ((EVENTS[0][:9],), False),
            ((EVENTS[0],), True),
            ((EVENTS[0][:9], EVENTS[0][9:]), True),
            ((EVENTS[0] + EVENTS[1][:3], EVENTS[1][3:]), True),
            ((EVENTS[0] + EVENTS[1][:3],), True),
        ],
    )
    def test_event_with_data_begins_an_answer(self, clock, pieces, has_begun):
        _, _, resumer = relay_parts(clock, PartConnection(*pieces, breaks=True))

        assert resumer.broken_begun == [has_begun]
        assert resumer.first_events == int(has_begun)

    def test_each_target_of_a_resumed_stream_begins_anew(self, clock):
        """The next target may crash before its first event."""
        first = PartConnection(EVENTS[0], breaks=True)
        _, _, resumer = relay_parts(clock, first, PartConnection(breaks=True))

        assert resumer.broken_begun == [True, False]


class EndlessConnection(PartConnection):
    """Fake of a connection that always has data; time passes as it is read."""

    def __init__(self, clock, seconds_per_part, part):
        super().__init__()
        self._clock = clock
        self._pause = timedelta(seconds=seconds_per_part)
        self._part = part
        self.read_bytes = 0

    def read_chunk(self):
        self._clock.advance(self._pause)
        self.read_bytes += len(self._part)
        return self._part


class TestEndlessStream:
    """A target that sends parts of a stream without end, to a caller that reads."""

    TIMEOUT_SECONDS = 5

    def test_stream_that_always_has_data_ends_at_its_deadline(self, clock):
        """Its deadline was looked at only while it had none, so it never ended."""
        connection = EndlessConnection(clock, 0.1, EVENTS[0])
        started_at = clock.elapsed()

        _, is_complete, resumer = relay_parts(clock, connection)

        took = (clock.elapsed() - started_at).total_seconds()
        assert not is_complete
        assert self.TIMEOUT_SECONDS <= took < self.TIMEOUT_SECONDS + 0.5
        assert not resumer.resumed_after

    def test_stream_over_the_limit_is_ended(self, clock):
        limits = AnswerLimits(max_bytes=1_000)
        connection = EndlessConnection(clock, 0, EVENTS[0])

        received, is_complete, _ = relay_parts(clock, connection, limits=limits)

        assert not is_complete
        assert len(received) <= 1_000
        assert connection.read_bytes <= 1_000 + len(EVENTS[0])

    def test_stream_is_read_no_faster_than_allowed(self, clock):
        limits = AnswerLimits(max_stream_rate=1_000)
        connection = EndlessConnection(clock, 0, EVENTS[0])

        relay_parts(clock, connection, limits=limits)

        assert connection.read_bytes <= 1_000 * (self.TIMEOUT_SECONDS + 2)

    @pytest.mark.parametrize("was_slowed", [False, True])
    def test_slowed_streams_are_counted_and_logged(self, clock, lines, was_slowed):
        metrics = Metrics()
        record = RequestRecord(make_request(clock, make_route(RequestKind.STREAM)))
        record.record_stream("answered", StreamPace(), was_slowed)

        RequestRecorder(metrics, clock).record(record)

        counter = 'slowed_streams_total{kind="stream"} 1.0'
        assert (counter in metrics.render_exposition().decode()) is was_slowed
        assert lines[-1]["slowed"] is was_slowed
