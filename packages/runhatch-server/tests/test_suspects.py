"""Which requests are taken for what ends targets.

On a recorded day one request ended eight engines; each had 2 to 18 requests in
progress, all of which were cut off with it.  Holding back all of them would refuse
ten sound ones for one that is not.
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


def end_targets(suspects, fingerprint, count, at=START):
    for number in range(count):
        suspects.told([EndedUnder(fingerprint, f"t{number}", at)], at)


class TestHolding:
    """For how long a request is held back."""

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
    def test_it_grows_with_the_targets_that_ended(self, ended, held):
        suspects = Suspects()
        end_targets(suspects, "x", ended)

        assert suspects.held_for("x", START) == held

    def test_the_same_end_heard_twice_counts_once(self):
        suspects = Suspects()
        end = EndedUnder("x", "t", START)

        assert suspects.told([end, end], START) == [end]
        assert suspects.told([end], START) == []
        assert suspects.held_for("x", START) is None

    def test_it_ends_and_a_further_target_makes_it_longer(self):
        suspects = Suspects()
        end_targets(suspects, "x", 2)
        later = START + FIRST_HOLD

        assert suspects.held_for("x", later) is None
        suspects.told([EndedUnder("x", "t9", later)], later)
        assert suspects.held_for("x", later) == LONG_HOLD

    def test_it_is_forgotten_in_the_end(self):
        suspects = Suspects()
        end_targets(suspects, "x", 2)
        suspects.expire(START + FIRST_HOLD + REMEMBERED)

        assert suspects.ended_under("x") == ()
        assert suspects.digest == 0


class TestEvidence:
    """What counts as an end under a request, and what clears it."""

    def test_all_that_was_cut_off_at_an_ended_target_is_suspect(self):
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
    def test_a_target_that_answers_what_was_sent_later_has_not_ended(
        self, sent_at, ends
    ):
        """What was sent before may have been answered before."""
        suspects = Suspects()
        suspects.cut_off("x", "t", START)
        suspects.lives("t", sent_at)

        assert len(suspects.ended("t", START + seconds(2))) == ends

    def test_an_end_long_after_has_nothing_to_do_with_it(self):
        suspects = Suspects()
        suspects.cut_off("x", "t", START)

        assert suspects.ended("t", START + END_FOUND_WITHIN + seconds(1)) == []

    def test_what_was_cut_off_long_ago_is_dropped(self):
        suspects = Suspects()
        suspects.cut_off("x", "t", START)
        suspects.expire(START + END_FOUND_WITHIN + seconds(1))

        assert suspects.unfinished_at() == {}

    def test_an_answer_clears_a_request(self):
        suspects = Suspects()
        end_targets(suspects, "x", 2)

        assert suspects.answered("x", START)
        assert suspects.held_for("x", START) is None
        assert not suspects.answered("x", START)

    @pytest.mark.parametrize(
        ("age", "held"), [(SOUND_FOR / 2, False), (SOUND_FOR, True)]
    )
    def test_an_answer_speaks_for_a_request_for_a_while(self, age, held):
        """Many callers ask the same, so it is in progress wherever targets end."""
        suspects = Suspects()
        suspects.answered("x", START - age)
        end_targets(suspects, "x", ENDS_THAT_HOLD)

        assert (suspects.held_for("x", START) is not None) == held


class TestMemory:
    """What is kept where targets end all the time."""

    def test_the_gravest_are_kept(self):
        suspects = Suspects()
        end_targets(suspects, "grave", 3)
        for number in range(MOST_SUSPECTS * 2):
            suspects.told([EndedUnder(f"x{number}", "t", START)], START)

        assert suspects.held_for("grave", START)
        assert len(suspects.known()) == MOST_SUSPECTS - 1 + 3

    def test_sound_requests_are_bounded(self):
        suspects = Suspects()
        for number in range(MOST_SOUND + 10):
            suspects.answered(f"x{number}", START)

        assert len(suspects._cleared_at) == MOST_SOUND

    def test_nodes_that_know_the_same_have_the_same_digest(self):
        ends = [EndedUnder(f"x{i % 7}", f"t{i}", START) for i in range(30)]
        first, second = Suspects(), Suspects()
        first.told(ends, START)
        second.told(reversed(ends), START)

        assert first.digest == second.digest != 0
        first.answered("x3", START)
        assert first.digest != second.digest


class TestReplay:
    """The load of the recorded day: what is held back of it, and what it costs."""

    @pytest.mark.parametrize("seed", range(20))
    def test_one_request_ends_few_targets_and_few_sound_ones_are_held(self, seed):
        """Eight targets, ten requests in progress at each, those that were cut off
        come again within a second, and one ends whatever runs it."""
        source = random.Random(seed)
        suspects = Suspects()
        sound_held = ended = 0
        waiting = ["crashing"]
        for step in range(60):
            now = START + seconds(step / 2)
            again = [name for name in waiting if suspects.held_for(name, now) is None]
            sound_held += len(set(waiting) - set(again) - {"crashing"})
            waiting = ["crashing"]
            places = {name: source.randrange(8) for name in again}
            fresh = {f"s{step}-{i}": source.randrange(8) for i in range(40)}
            crashed = places.get("crashing")
            for name, place in {**fresh, **places}.items():
                if place != crashed:
                    suspects.answered(name, now)
                    continue
                suspects.cut_off(name, f"t{step}", now)
                waiting += [name] if name != "crashing" else []
            if crashed is not None:
                ended += 1
                suspects.ended(f"t{step}", now)

        # Two, and one more when it was tried again.
        assert ended <= 3
        assert sound_held <= 4
