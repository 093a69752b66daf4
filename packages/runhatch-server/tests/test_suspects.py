"""Detection of requests that crash their targets.

One request may crash several engines in turn, each with 2 to 18 other requests in
progress that are aborted with it. Holding back all of them would refuse about ten
harmless requests for each crashing one.
"""

import random

import pytest
from gateway_cases import seconds

from runhatch_server.decisions import ObservedEnd, Suspects
from runhatch_server.decisions._suspects import (
    CLEARANCE_DURATION,
    END_DETECTION_WINDOW,
    INITIAL_HOLD_DURATION,
    MAX_CLEARED_REQUESTS,
    MAX_HOLD_DURATION,
    MAX_SUSPECTS,
    MIN_ENDS_TO_HOLD,
    REPEATED_HOLD_DURATION,
    SUSPICION_RETENTION,
)

START = seconds(100)


def record_ends(suspects, fingerprint, count, at=START):
    for number in range(count):
        suspects.record_ends([ObservedEnd(fingerprint, f"t{number}", at)], at)


class TestHoldDuration:
    """How long a request is held back."""

    @pytest.mark.parametrize(
        ("ended", "held"),
        [
            (0, None),
            (1, None),
            (2, INITIAL_HOLD_DURATION),
            (3, REPEATED_HOLD_DURATION),
            (4, 2 * REPEATED_HOLD_DURATION),
            (5, 4 * REPEATED_HOLD_DURATION),
            (30, MAX_HOLD_DURATION),
        ],
    )
    def test_grows_with_the_number_of_ended_targets(self, ended, held):
        suspects = Suspects()
        record_ends(suspects, "x", ended)

        assert suspects.remaining_hold("x", START) == held

    def test_duplicate_report_of_an_end_counts_once(self):
        suspects = Suspects()
        end = ObservedEnd("x", "t", START)

        assert suspects.record_ends([end, end], START) == [end]
        assert suspects.record_ends([end], START) == []
        assert suspects.remaining_hold("x", START) is None

    def test_hold_expires_and_another_end_extends_it(self):
        suspects = Suspects()
        record_ends(suspects, "x", 2)
        later = START + INITIAL_HOLD_DURATION

        assert suspects.remaining_hold("x", later) is None
        suspects.record_ends([ObservedEnd("x", "t9", later)], later)
        assert suspects.remaining_hold("x", later) == REPEATED_HOLD_DURATION

    def test_suspicion_expires(self):
        suspects = Suspects()
        record_ends(suspects, "x", 2)
        suspects.remove_expired(START + INITIAL_HOLD_DURATION + SUSPICION_RETENTION)

        assert suspects.ended_targets("x") == ()
        assert suspects.digest == 0


class TestEvidence:
    """What makes a request a suspect, and what clears it."""

    def test_all_requests_aborted_at_an_ended_target_are_suspects(self):
        suspects = Suspects()
        suspects.record_abort("x", "t", START)
        suspects.record_abort("y", "t", START)
        suspects.record_abort("z", "other", START)

        ends = suspects.record_end("t", START + seconds(3))

        assert {end.fingerprint for end in ends} == {"x", "y"}
        assert suspects.possibly_ended_targets() == {"other": START}

    @pytest.mark.parametrize(
        ("sent_at", "ends"), [(START, 0), (START + seconds(1), 0), (seconds(99), 1)]
    )
    def test_answer_to_a_later_request_shows_that_the_target_runs(self, sent_at, ends):
        """An answer to a request sent before the abort may itself precede the end."""
        suspects = Suspects()
        suspects.record_abort("x", "t", START)
        suspects.record_running("t", sent_at)

        assert len(suspects.record_end("t", START + seconds(2))) == ends

    def test_end_long_after_the_abort_is_not_attributed(self):
        suspects = Suspects()
        suspects.record_abort("x", "t", START)

        assert suspects.record_end("t", START + END_DETECTION_WINDOW + seconds(1)) == []

    def test_old_aborts_expire(self):
        suspects = Suspects()
        suspects.record_abort("x", "t", START)
        suspects.remove_expired(START + END_DETECTION_WINDOW + seconds(1))

        assert suspects.possibly_ended_targets() == {}

    def test_answer_clears_a_request(self):
        suspects = Suspects()
        record_ends(suspects, "x", 2)

        assert suspects.record_answer("x", START)
        assert suspects.remaining_hold("x", START) is None
        assert not suspects.record_answer("x", START)

    @pytest.mark.parametrize(
        ("age", "held"), [(CLEARANCE_DURATION / 2, False), (CLEARANCE_DURATION, True)]
    )
    def test_answer_protects_a_request_for_a_limited_time(self, age, held):
        """Many callers may send the same request, which crashes that it did not
        cause then abort often."""
        suspects = Suspects()
        suspects.record_answer("x", START - age)
        record_ends(suspects, "x", MIN_ENDS_TO_HOLD)

        assert (suspects.remaining_hold("x", START) is not None) == held


class TestMemory:
    """Memory is bounded if targets end continually."""

    def test_strongest_suspects_are_kept(self):
        suspects = Suspects()
        record_ends(suspects, "grave", 3)
        for number in range(MAX_SUSPECTS * 2):
            suspects.record_ends([ObservedEnd(f"x{number}", "t", START)], START)

        assert suspects.remaining_hold("grave", START)
        assert len(suspects.known_ends()) == MAX_SUSPECTS - 1 + 3

    def test_number_of_cleared_requests_is_bounded(self):
        suspects = Suspects()
        for number in range(MAX_CLEARED_REQUESTS + 10):
            suspects.record_answer(f"x{number}", START)

        assert len(suspects._cleared_at) == MAX_CLEARED_REQUESTS

    def test_equal_ends_have_equal_digests_in_any_order(self):
        ends = [ObservedEnd(f"x{i % 7}", f"t{i}", START) for i in range(30)]
        first, second = Suspects(), Suspects()
        first.record_ends(ends, START)
        second.record_ends(reversed(ends), START)

        assert first.digest == second.digest != 0
        first.record_answer("x3", START)
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
            retried = [
                name for name in pending if suspects.remaining_hold(name, now) is None
            ]
            harmless_held += len(set(pending) - set(retried) - {"crashing"})
            pending = ["crashing"]
            places = {name: random_source.randrange(8) for name in retried}
            new = {f"s{step}-{i}": random_source.randrange(8) for i in range(40)}
            crashed = places.get("crashing")
            for name, place in {**new, **places}.items():
                if place != crashed:
                    suspects.record_answer(name, now)
                    continue
                suspects.record_abort(name, f"t{step}", now)
                pending += [name] if name != "crashing" else []
            if crashed is not None:
                ended += 1
                suspects.record_end(f"t{step}", now)

        # Two ends until it is held back, and one more at its retry.
        assert ended <= 3
        assert harmless_held <= 4
