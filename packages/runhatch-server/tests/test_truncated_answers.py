"""Answers of targets cut at each byte, as a caller gets them through a gateway.

A target process that exits closes its connections with FIN or reset, at any byte.  A
caller that gets a truncated answer with a proper end takes it as complete.
"""

from concurrent.futures import ThreadPoolExecutor

import pytest
from truncated_answer_cases import (
    LINE_ENDS,
    End,
    Ending,
    Framing,
    Gateway,
    Route,
    Script,
    frame_body,
    make_events,
    make_head,
)

from runhatch_server.targets import EventSplitter

CONCURRENT_EXCHANGES = 8
STREAM_ROUTES = [Route.STREAM, Route.RESUMABLE]
ABORTED = frozenset({Ending.BROKEN, Ending.REFUSED})
each_framing = pytest.mark.parametrize("framing", Framing, ids=lambda f: f.value)
each_route = pytest.mark.parametrize("route", Route, ids=lambda r: r.value)
each_stream_route = pytest.mark.parametrize(
    "route", STREAM_ROUTES, ids=lambda r: r.value
)
each_line_end = pytest.mark.parametrize("line_end", LINE_ENDS)
each_end = pytest.mark.parametrize("end", [End.FIN, End.RESET], ids=lambda e: e.value)


@pytest.fixture(scope="module")
def gateway():
    gateway = Gateway()
    yield gateway
    gateway.close()


def list_event_ends(events):
    return {len(b"".join(events[: count + 1])) for count in range(len(events))}


def expected_endings(framing, end, route, events, body_sent, is_whole, version="1.1"):
    """Return the allowed endings; ``body_sent`` is ``None`` for a truncated head."""
    if body_sent is None:
        return ABORTED
    if framing is not Framing.NEITHER:
        # A caller that sent HTTP/1.0 knows no chunks.
        whole = {Ending.COMPLETE, *([Ending.UNTIL_CLOSE] if version == "1.0" else [])}
        return whole if is_whole else ABORTED
    if end is not End.FIN:
        return ABORTED
    if route is Route.PLAIN or len(body_sent) in list_event_ends(events):
        return {Ending.UNTIL_CLOSE}
    return ABORTED


def describe_fault(received, allowed, whole_body, body_sent):
    """Return what is wrong with what a caller got; empty if nothing is."""
    if received.ending not in allowed:
        return f"{received.ending.value} {received.body!r}"
    if received.ending is Ending.COMPLETE and received.body != whole_body:
        return f"complete with {received.body!r}"
    if received.ending is Ending.UNTIL_CLOSE and received.body != body_sent:
        return f"until_close with {received.body!r}"
    if received.ending is Ending.BROKEN and not whole_body.startswith(received.body):
        return f"broken with {received.body!r}"
    return ""


def find_faults(gateway, framing, end, route, positions, version="1.1", **changes):
    """Return the faults by the position at which the target's answer is cut."""
    events = changes.pop("events", make_events())
    body = b"".join(events)
    head = make_head(framing, len(body))
    answer = head + frame_body(framing, events)

    def find_fault(position):
        body_sent = answer[len(head) : position] if position >= len(head) else None
        is_whole = position == len(answer)
        allowed = expected_endings(
            framing, end, route, events, body_sent, is_whole, version
        )
        script = Script((answer[:position],), end)
        received = gateway.exchange(script, route, version, **changes)
        # The last chunk is no part of the body.
        sent = body if is_whole else body_sent
        return describe_fault(received, allowed, body, sent)

    chosen = positions(framing, len(head), len(answer))
    with ThreadPoolExecutor(CONCURRENT_EXCHANGES) as pool:
        faults = zip(chosen, pool.map(find_fault, chosen), strict=True)
        return {
            f"{position} after {answer[:position][-12:]!r}": fault
            for position, fault in faults
            if fault
        }


def assert_no_faults(faults):
    """Fail with all positions; pytest abbreviates a compared dictionary."""
    lines = [f"{position}: {fault}" for position, fault in faults.items()]
    assert not lines, "\n".join(lines)


def head_positions(framing, head, answer):
    """Return the positions in the head that no head without framing has, or all."""
    if framing is Framing.NEITHER:
        return range(1, head)
    return range(len(make_head(Framing.NEITHER, 0)) - 2, head)


def body_positions(framing, head, answer):
    return range(head, answer + 1)


def truncated_body_positions(framing, head, answer):
    return range(head, answer)


def few_positions(framing, head, answer):
    """Return positions at the head's end, in and between events, and near the end."""
    chunk_line = len(frame_body(framing, [b"x"]).partition(b"x")[0])
    first_end = head + chunk_line + len(make_events()[0])
    last = [answer - 1] if framing is not Framing.NEITHER else []
    return [head, head + chunk_line + 3, first_end - 1, first_end, answer - 3, *last]


def silent_positions(framing, head, answer):
    return [head // 2, *few_positions(framing, head, answer)]


class TestCuts:
    """Answers that are cut at each byte."""

    @each_framing
    @each_route
    @each_end
    def test_truncated_head_is_no_answer(self, gateway, framing, end, route):
        """An end in the head looks like the end of a shorter head."""
        assert_no_faults(find_faults(gateway, framing, end, route, head_positions))

    @each_framing
    @each_route
    def test_body_ended_by_fin(self, gateway, framing, route):
        """Only a whole framed body is complete; one without framing stays so."""
        assert_no_faults(find_faults(gateway, framing, End.FIN, route, body_positions))

    @each_framing
    @each_route
    def test_body_ended_by_reset(self, gateway, framing, route):
        """A reset is no end of a body, with or without framing."""
        assert_no_faults(
            find_faults(gateway, framing, End.RESET, route, truncated_body_positions)
        )

    @each_framing
    @each_stream_route
    @each_end
    def test_http10_caller_gets_a_reset(self, gateway, framing, end, route):
        """Such a caller knows no chunks, so that a FIN ends a complete answer."""
        assert_no_faults(
            find_faults(gateway, framing, end, route, few_positions, "1.0")
        )

    @each_framing
    @each_stream_route
    def test_http10_caller_gets_whole_answer(self, gateway, framing, route):
        """A FIN ends it, as the caller can't be sent chunks."""
        assert_no_faults(
            find_faults(
                gateway, framing, End.FIN, route, lambda *sizes: [sizes[-1]], "1.0"
            )
        )

    def test_silence_until_the_deadline(self, gateway):
        """A target that stops sending has not ended its answer."""
        cases = [(framing, route) for framing in Framing for route in Route]

        def find_silence_faults(case):
            framing, route = case
            return find_faults(
                gateway, framing, End.SILENCE, route, silent_positions, timeout=0.5
            )

        with ThreadPoolExecutor(len(cases)) as pool:
            found = dict(zip(cases, pool.map(find_silence_faults, cases), strict=True))
        assert_no_faults({case: faults for case, faults in found.items() if faults})

    @each_stream_route
    def test_stream_that_breaks_before_it_began_is_refused(self, gateway, route):
        """The caller learns by a problem document that the request may have run."""
        script = Script((make_head(Framing.LENGTH, 9),), End.RESET)

        received = gateway.exchange(script, route)

        assert received.ending is Ending.REFUSED
        assert received.content_type == "application/problem+json"


class TestEvents:
    """Streams whose lines end with LF, CRLF or CR."""

    @each_framing
    @each_stream_route
    @each_line_end
    def test_events_are_delivered_as_they_arrive(
        self, gateway, framing, route, line_end
    ):
        """An event that is held back until the next one is late."""
        events = make_events(line_end)
        body = b"".join(events)
        answer = make_head(framing, len(body)) + frame_body(framing, events)
        first_end = answer.index(events[0]) + len(events[0])
        script = Script((answer[:first_end], answer[first_end:]), End.FIN)

        def open_gate(received):
            if received.startswith(events[0]):
                script.gate.set()

        received = gateway.exchange(script, route, on_body=open_gate)

        assert script.waits == [True]
        is_framed = framing is not Framing.NEITHER
        expected = Ending.COMPLETE if is_framed else Ending.UNTIL_CLOSE
        assert (received.ending, received.body) == (expected, body)

    @each_stream_route
    @each_line_end
    def test_cut_without_framing(self, gateway, route, line_end):
        """A target that closes inside an event has broken the stream off."""
        assert_no_faults(
            find_faults(
                gateway,
                Framing.NEITHER,
                End.FIN,
                route,
                body_positions,
                events=make_events(line_end),
            )
        )

    @pytest.mark.parametrize(
        "framing", [Framing.LENGTH, Framing.CHUNKED], ids=lambda f: f.value
    )
    @each_stream_route
    @each_line_end
    def test_framed_stream_that_ends_inside_an_event(
        self, gateway, framing, route, line_end
    ):
        """The body has its proper end, but its last event has not."""
        events = make_events(line_end)
        whole = b"".join(events)

        def find_fault(length):
            body = whole[:length]
            answer = make_head(framing, length) + frame_body(framing, [body])
            received = gateway.exchange(Script((answer,), End.FIN), route)
            ends_whole = length in list_event_ends(events)
            allowed = expected_endings(
                framing, End.FIN, route, events, body, ends_whole
            )
            return describe_fault(received, allowed, body, body)

        lengths = range(1, len(whole) + 1)
        with ThreadPoolExecutor(CONCURRENT_EXCHANGES) as pool:
            faults = dict(zip(lengths, pool.map(find_fault, lengths), strict=True))
        assert_no_faults(
            {
                f"{length} after {whole[:length][-8:]!r}": fault
                for length, fault in faults.items()
                if fault
            }
        )


class TestEventSplitter:
    """Events whose lines end with LF, CRLF or CR, in any two pieces."""

    @each_line_end
    def test_whole_events_are_split(self, line_end):
        events = make_events(line_end)
        body = b"".join(events)
        faults = {}
        for position in range(len(body) + 1):
            splitter = EventSplitter()
            found = [*splitter.feed(body[:position]), *splitter.feed(body[position:])]
            if (*found, splitter.incomplete_event) != (*events, b""):
                faults[position] = (found, splitter.incomplete_event)
        assert not faults

    @each_line_end
    def test_event_is_found_with_its_last_byte(self, line_end):
        """Not earlier, and not with the first byte of the next event."""
        events = make_events(line_end)
        splitter = EventSplitter()
        body = b"".join(events)
        found_at = [
            position + 1
            for position in range(len(body))
            for _ in splitter.feed(body[position : position + 1])
        ]

        assert found_at == sorted(list_event_ends(events))
