"""Choice of candidates among targets that refuse requests."""

import pytest
from gateway_cases import make_target, seconds

from runhatch_server.decisions import (
    BUSY_AVOIDANCE_DURATION,
    NoCandidates,
    TargetLoad,
    TriedTargets,
    choose_candidates,
)
from runhatch_server.refusals import Reason

NOW = seconds(100)
BACKING_OFF = Reason.TARGETS_BACK_OFF
TARGETS = {name: make_target(name) for name in ("a", "b", "c")}


def choose_names(holders, failed="", turned_away="", shut=(), rests=(), limited=()):
    """Return the candidates' names, or the refusal.

    ``rests``, ``shut`` and ``limited`` map targets to the end time of each state.
    """
    loads = {
        name: TargetLoad(
            backoff_until=seconds(dict(rests).get(name, 0)),
            avoided_until=seconds(dict(shut).get(name, 0)),
        )
        for name in TARGETS
    }
    tried = TriedTargets(frozenset(failed), frozenset(turned_away))
    candidates = choose_candidates(
        [TARGETS[n] for n in holders],
        tried,
        loads.get,
        NOW,
        lambda name: seconds(dict(limited).get(name, 0)),
    )
    if isinstance(candidates, NoCandidates):
        return candidates
    return "".join(target.name for target in candidates)


class TestCandidates:
    """Which targets are preferred, which are fallbacks, and which are excluded."""

    @pytest.mark.parametrize(
        ("holders", "states", "candidates"),
        [
            ("abc", {}, "abc"),
            ("abc", {"failed": "a"}, "bc"),
            ("a", {"failed": "a"}, "a"),
            ("abc", {"turned_away": "a"}, "bc"),
            ("ab", {"failed": "a", "turned_away": "b"}, "a"),
            ("abc", {"shut": {"a": 101}}, "bc"),
            ("a", {"shut": {"a": 101}}, "a"),
            ("ab", {"shut": {"a": 101}, "failed": "b"}, "a"),
            ("abc", {"rests": {"a": 101}}, "bc"),
            ("abc", {"rests": {"a": 99}}, "abc"),
            ("ab", {"rests": {"a": 101}, "failed": "b"}, "b"),
            ("ab", {"rests": {"a": 101}, "shut": {"b": 101}}, "b"),
            ("ab", {"limited": {"a": 101}}, "b"),
            ("ab", {"limited": {"a": 101}, "shut": {"b": 101}}, "b"),
            ("a", {"limited": {"a": 99}}, "a"),
        ],
    )
    def test_available_targets_are_returned(self, holders, states, candidates):
        assert choose_names(holders, **states) == candidates

    @pytest.mark.parametrize(
        ("holders", "states", "refusal"),
        [
            (
                "a",
                {"turned_away": "a"},
                NoCandidates(BUSY_AVOIDANCE_DURATION, Reason.TARGETS_BUSY),
            ),
            (
                "ab",
                {"turned_away": "ab"},
                NoCandidates(BUSY_AVOIDANCE_DURATION, Reason.TARGETS_BUSY),
            ),
            (
                "ab",
                {"turned_away": "a", "rests": {"b": 109}},
                NoCandidates(BUSY_AVOIDANCE_DURATION, Reason.TARGETS_BUSY),
            ),
            (
                "a",
                {"rests": {"a": 103}},
                NoCandidates(seconds(3), BACKING_OFF, "a"),
            ),
            (
                "ab",
                {"rests": {"a": 160, "b": 104}},
                NoCandidates(seconds(4), BACKING_OFF, "b"),
            ),
            (
                "ab",
                {"limited": {"a": 102, "b": 104}},
                NoCandidates(seconds(2), Reason.TARGETS_LIMITED, "a"),
            ),
            (
                "ab",
                {"limited": {"a": 104}, "rests": {"a": 106, "b": 103}},
                NoCandidates(seconds(3), BACKING_OFF, "b"),
            ),
        ],
    )
    def test_refusal_says_when_and_why_no_target_is_available(
        self, holders, states, refusal
    ):
        assert choose_names(holders, **states) == refusal


class TestBackoffUnderLoad:
    """40 requests a second for a model whose few holders all refuse and ask for 3 s of
    backoff. Each target must not get a request again before its backoff has ended."""

    @pytest.mark.parametrize("holders", ["a", "ab", "abc"])
    def test_each_target_gets_one_request_per_backoff(self, holders):
        loads = {name: TargetLoad() for name in TARGETS}
        arrivals = dict.fromkeys(holders, 0)
        for number in range(110):
            now = NOW + seconds(number * 0.025)
            tried = TriedTargets()
            while True:
                targets = [TARGETS[name] for name in holders]
                candidates = choose_candidates(
                    targets, tried, loads.get, now, lambda name: NOW
                )
                if isinstance(candidates, NoCandidates):
                    assert candidates.reason is BACKING_OFF
                    break
                name = candidates[0].name
                arrivals[name] += 1
                loads[name].backoff_until = now + seconds(3)
                tried = tried.with_refusal(name)

        assert set(arrivals.values()) == {1}
