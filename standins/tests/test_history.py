"""The history checker catches what it is for: planted violations."""

import pytest

from runhatch_standins import Event, EventKind, check_history

ANSWERED, NO, UNKNOWN, BROKEN = EventKind


def once(kind, answer=""):
    return Event("r", kind, once=True, answer=answer)


class TestCheckHistory:
    """Sound histories pass, each planted fault is named."""

    @pytest.mark.parametrize(
        ("events", "runs"),
        [
            ([once(ANSWERED, "a")], 1),
            ([once(ANSWERED, "a"), once(ANSWERED, "a")], 1),
            ([once(NO), once(ANSWERED, "a")], 1),
            ([once(NO), once(NO)], 0),
            ([once(UNKNOWN)], 0),
            ([once(UNKNOWN), once(BROKEN)], 1),
            ([Event("r", ANSWERED, answer="x", expected="x")], 3),
        ],
    )
    def test_sound(self, events, runs):
        """What the promises allow is no violation."""
        assert check_history(events, {"r": runs}) == []

    @pytest.mark.parametrize(
        ("events", "runs", "words"),
        [
            ([once(ANSWERED, "a")], 2, "ran 2 times"),
            ([once(UNKNOWN), once(NO)], 2, "ran 2 times"),
            ([once(ANSWERED, "a"), once(ANSWERED, "b")], 1, "2 answers"),
            ([once(NO)], 1, "refused as not run, ran 1 times"),
            ([Event("r", NO)], 1, "refused as not run"),
            ([once(ANSWERED, "a")], 0, "nothing ran"),
            ([Event("r", ANSWERED, answer="y", expected="x")], 1, "instead of 'x'"),
            ([Event("r", ANSWERED, answer="x", expected="xx")], 1, "instead of 'xx'"),
        ],
    )
    def test_planted(self, events, runs, words):
        """Each planted fault is found."""
        violations = check_history(events, {"r": runs})
        assert len(violations) == 1
        assert words in violations[0]
