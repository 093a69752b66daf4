"""Detection of requests that crash their targets.

One request may crash several engines in turn, each with 2 to 18 other requests in
progress that are aborted with it. Holding back all of them would refuse about ten
harmless requests for each crashing one.
"""

import random

import pytest
from gateway_cases import seconds

from runhatch_server.decisions import EndedUnder, Suspects
from runhatch_server.decisions._suspects import (
    END_FOUND_WITHIN,
    ENDS_THAT_HOLD,
    FIRST_HOLD,
    LONG_HOLD,
    LONGEST_HOLD,
    MOST_SOUND,
    MOST_SUSPECTS,
    REMEMBERED,
    SOUND_FOR,
)

START = seconds(100)


def record_ends(suspects, fingerprint, count, at=START):
    for number in range(count):
        suspects.told([EndedUnder(fingerprint, f"t{number}", at)], at)


class TestHoldDuration:
    """How long a request is held back."""

    @pytest.mark.parametrize(
        ("ended", "held"),
        [
            (0, None),
            (1, None),
            (2, FIRST_HOLD),
            (3, LONG_HOLD),
            (4, 2 * LONG_HOLD),
            (5, 4 * LONG_HOLD),
            (30, LONGEST_HOLD),
        ],
    )
    def test_grows_with_the_number_of_ended_targets(self, ended, held):
        suspects = Suspects()
        record_ends(suspects, "x", ended)

        assert suspects.held_for("x", START) == held

    def test_duplicate_report_of_an_end_counts_once(self):
        suspects = Suspects()
        end = EndedUnder("x", "t", START)

        assert suspects.told([end, end], START) == [end]
        assert suspects.told([end], START) == []
        assert suspects.held_for("x", START) is None

    def test_hold_expires_and_another_end_extends_it(self):
        suspects = Suspects()
        record_ends(suspects, "x", 2)
        later = START + FIRST_HOLD

        assert suspects.held_for("x", later) is None
        suspects.told([EndedUnder("x", "t9", later)], later)
        assert suspects.held_for("x", later) == LONG_HOLD

    def test_suspicion_expires(self):
        suspects = Suspects()
        record_ends(suspects, "x", 2)
        suspects.expire(START + FIRST_HOLD + REMEMBERED)

        assert suspects.ended_under("x") == ()
        assert suspects.digest == 0


class TestEvidence:
    """What makes a request a suspect, and what clears it."""

    def test_all_requests_aborted_at_an_ended_target_are_suspects(self):
        suspects = Suspects()
        suspects.cut_off("x", "t", START)
        suspects.cut_off("y", "t", START)
        suspects.cut_off("z", "other", START)

        ends = suspects.ended("t", START + seconds(3))

        assert {end.fingerprint for end in ends} == {"x", "y"}
        assert suspects.unfinished_at() == {"other": START}

    @pytest.mark.parametrize(
        ("sent_at", "ends"), [(START, 0), (START + seconds(1), 0), (seconds(99), 1)]
    )
    def test_answer_to_a_later_request_shows_that_the_target_runs(self, sent_at, ends):
        """An answer to a request sent before the abort may itself precede the end."""
        suspects = Suspects()
        suspects.cut_off("x", "t", START)
        suspects.lives("t", sent_at)

        assert len(suspects.ended("t", START + seconds(2))) == ends

    def test_end_long_after_the_abort_is_not_attributed(self):
        suspects = Suspects()
        suspects.cut_off("x", "t", START)

        assert suspects.ended("t", START + END_FOUND_WITHIN + seconds(1)) == []

    def test_old_aborts_expire(self):
        suspects = Suspects()
        suspects.cut_off("x", "t", START)
        suspects.expire(START + END_FOUND_WITHIN + seconds(1))

        assert suspects.unfinished_at() == {}

    def test_answer_clears_a_request(self):
        suspects = Suspects()
        record_ends(suspects, "x", 2)

        assert suspects.answered("x", START)
        assert suspects.held_for("x", START) is None
        assert not suspects.answered("x", START)

    @pytest.mark.parametrize(
        ("age", "held"), [(SOUND_FOR / 2, False), (SOUND_FOR, True)]
    )
    def test_answer_protects_a_request_for_a_limited_time(self, age, held):
        """Many callers may send the same request, which crashes that it did not
        cause then abort often."""
        suspects = Suspects()
        suspects.answered("x", START - age)
        record_ends(suspects, "x", ENDS_THAT_HOLD)

        assert (suspects.held_for("x", START) is not None) == held


class TestMemory:
    """Memory is bounded if targets end continually."""

    def test_strongest_suspects_are_kept(self):
        suspects = Suspects()
        record_ends(suspects, "grave", 3)
        for number in range(MOST_SUSPECTS * 2):
            suspects.told([EndedUnder(f"x{number}", "t", START)], START)

        assert suspects.held_for("grave", START)
        assert len(suspects.known()) == MOST_SUSPECTS - 1 + 3

    def test_number_of_cleared_requests_is_bounded(self):
        suspects = Suspects()
        for number in range(MOST_SOUND + 10):
            suspects.answered(f"x{number}", START)

        assert len(suspects._cleared_at) == MOST_SOUND

    def test_equal_ends_have_equal_digests_in_any_order(self):
        ends = [EndedUnder(f"x{i % 7}", f"t{i}", START) for i in range(30)]
        first, second = Suspects(), Suspects()
        first.told(ends, START)
        second.told(reversed(ends), START)

        assert first.digest == second.digest != 0
        first.answered("x3", START)
        assert first.digest != second.digest


class TestCrashingRequest:
    """Simulation of one crashing request among many harmless ones."""

    @pytest.mark.parametrize("seed", range(20))
    def test_few_targets_end_and_few_harmless_requests_are_held(self, seed):
        """Forty new requests per step on eight targets; aborted ones are retried, and
        one request crashes every target that runs it."""
        random_source = random.Random(seed)
        suspects = Suspects()
        harmless_held = ended = 0
        pending = ["crashing"]
        for step in range(60):
            now = START + seconds(step / 2)
            retried = [name for name in pending if suspects.held_for(name, now) is None]
            harmless_held += len(set(pending) - set(retried) - {"crashing"})
            pending = ["crashing"]
            places = {name: random_source.randrange(8) for name in retried}
            new = {f"s{step}-{i}": random_source.randrange(8) for i in range(40)}
            crashed = places.get("crashing")
            for name, place in {**new, **places}.items():
                if place != crashed:
                    suspects.answered(name, now)
                    continue
                suspects.cut_off(name, f"t{step}", now)
                pending += [name] if name != "crashing" else []
            if crashed is not None:
                ended += 1
                suspects.ended(f"t{step}", now)

        # Two ends until it is held back, and one more at its retry.
        assert ended <= 3
        assert harmless_held <= 4
