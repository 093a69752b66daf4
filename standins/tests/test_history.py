"""Test that the history checker detects violations and accepts valid histories."""

import pytest

from runhatch_standins import Event, EventKind, check_history

ANSWERED, NO, UNKNOWN, BROKEN = EventKind


EVENTS = "id: 1\ndata: r\n\nid: 2\ndata: r\n\n"
FIRST_EVENT = EVENTS[: len(EVENTS) // 2]


def make_stream(answer):
    """Make the outcome of a stream with neither a length nor chunks."""
    return Event("r", ANSWERED, answer=answer, expected=EVENTS, is_framed=False)


def make_event(kind, answer=""):
    return Event("r", kind, once=True, answer=answer)


class TestCheckHistory:
    """Valid histories pass, and each violation is reported."""

    @pytest.mark.parametrize(
        ("events", "runs"),
        [
            ([make_event(ANSWERED, "a")], 1),
            ([make_event(ANSWERED, "a"), make_event(ANSWERED, "a")], 1),
            ([make_event(NO), make_event(ANSWERED, "a")], 1),
            ([make_event(NO), make_event(NO)], 0),
            ([make_event(UNKNOWN)], 0),
            ([make_event(UNKNOWN), make_event(BROKEN)], 1),
            ([Event("r", ANSWERED, answer="x", expected="x")], 3),
            ([make_stream(EVENTS)], 1),
            ([make_stream(FIRST_EVENT)], 1),
        ],
    )
    def test_valid_history_has_no_violations(self, events, runs):
        """Outcomes that the guarantees allow are not reported."""
        assert check_history(events, {"r": runs}) == []

    @pytest.mark.parametrize(
        ("events", "runs", "words"),
        [
            ([make_event(ANSWERED, "a")], 2, "ran 2 times"),
            ([make_event(UNKNOWN), make_event(NO)], 2, "ran 2 times"),
            ([make_event(ANSWERED, "a"), make_event(ANSWERED, "b")], 1, "2 answers"),
            ([make_event(NO)], 1, "refused as not run, ran 1 times"),
            ([Event("r", NO)], 1, "refused as not run"),
            ([make_event(ANSWERED, "a")], 0, "nothing ran"),
            ([Event("r", ANSWERED, answer="y", expected="x")], 1, "instead of 'x'"),
            ([Event("r", ANSWERED, answer="x", expected="xx")], 1, "instead of 'xx'"),
            (
                [Event("r", ANSWERED, answer=FIRST_EVENT, expected=EVENTS)],
                1,
                "instead of 'id: 1",
            ),
            ([make_stream("")], 1, "instead of 'id: 1"),
            ([make_stream(EVENTS[:-1])], 1, "instead of 'id: 1"),
            ([make_stream(FIRST_EVENT[:-4])], 1, "instead of 'id: 1"),
            ([make_stream(FIRST_EVENT + FIRST_EVENT)], 1, "instead of 'id: 1"),
            ([make_stream(EVENTS[len(FIRST_EVENT) :])], 1, "instead of 'id: 1"),
        ],
    )
    def test_violation_is_reported(self, events, runs, words):
        """Each violation is reported once with its description."""
        violations = check_history(events, {"r": runs})
        assert len(violations) == 1
        assert words in violations[0]
