"""Checks of the soak with prompts that crash targets."""

import pytest

from runhatch_standins._prompt_load import (
    ALLOWED_LATE,
    CONTACT_SECONDS,
    CRASHES_TO_KNOW,
    MIN_COUNTED,
    PromptTry,
    Spell,
    check_spell,
)

KNOWN_AT = CRASHES_TO_KNOW - 1 + CONTACT_SECONDS
"""Time from which gateways must know the part, if targets crash each second from 0."""
CALM = [PromptTry(0.0, True, True)] * MIN_COUNTED


def make_spell(crashes=CRASHES_TO_KNOW, reached_at=(), served=(True,) * MIN_COUNTED):
    """Return a spell with crashes each second, and sound requests at its end."""
    return Spell(
        "x",
        60.0,
        [float(number) for number in range(crashes)],
        [PromptTry(at, True, False) for at in reached_at],
        [PromptTry(50.0, True, is_served) for is_served in served],
    )


class TestCheck:
    """Which spells have violations."""

    @pytest.mark.parametrize(
        ("crashes", "reached_at", "is_allowed"),
        [
            (CRASHES_TO_KNOW, [KNOWN_AT + 1] * ALLOWED_LATE, True),
            (CRASHES_TO_KNOW, [KNOWN_AT + 1] * (ALLOWED_LATE + 1), False),
            (CRASHES_TO_KNOW + 9, [KNOWN_AT + 1] * (ALLOWED_LATE + 1), False),
            (CRASHES_TO_KNOW, [KNOWN_AT - 1] * 99, True),
            (CRASHES_TO_KNOW - 1, [KNOWN_AT + 1] * 99, True),
            (0, [KNOWN_AT + 1] * 99, True),
        ],
    )
    def test_requests_that_crash_targets(self, crashes, reached_at, is_allowed):
        violations = check_spell(make_spell(crashes, reached_at), CALM)

        assert (violations == []) == is_allowed

    @pytest.mark.parametrize(
        ("served", "is_allowed"),
        [
            ([True, False] * MIN_COUNTED, True),
            ([True, False, False] * MIN_COUNTED, False),
            ([False] * (MIN_COUNTED - 1), True),
        ],
    )
    def test_sound_requests(self, served, is_allowed):
        violations = check_spell(make_spell(served=served), CALM)

        assert (violations == []) == is_allowed
