"""The pace of targets that have just started or recovered."""

import random
from collections import Counter, deque
from datetime import timedelta

import pytest

from runhatch_server.decisions import Pace, TargetPaces

SLOTS = 64


def seconds(value):
    return timedelta(seconds=value)


def record_all(pace, answers):
    """Record ``answers``, each ``(seconds, is_late)``."""
    for at, is_late in answers:
        pace.record_begun(is_late, seconds(at))


class TestBound:
    """The bound follows the answers that begin."""

    @pytest.mark.parametrize(
        ("answers", "most"),
        [
            ([], 2),
            ([(0.1, False)], 3),
            ([(0.1, False)] * 13, 15),
            ([(0.1, True)], 1),
            ([(0.1, False)] * 7 + [(0.2, True)], 4),
            ([(0.1, False)] * 6 + [(0.2, True), (0.3, False)], 5),
            # Answers that are late together halve the bound once.
            ([(0.1, False)] * 10 + [(0.2, True), (0.3, True), (0.69, True)], 6),
            ([(0.1, False)] * 10 + [(0.2, True), (0.7, True)], 3),
            # An answer in time does not allow an earlier halving.
            ([(0.1, False)] * 10 + [(0.2, True), (0.3, False), (0.4, True)], 7),
        ],
    )
    def test_bound_grows_by_one_and_is_halved(self, answers, most):
        """Otherwise the target is flooded, or stays idle after one late answer."""
        pace = Pace(SLOTS, seconds(0))
        record_all(pace, answers)
        assert pace.most == most
        assert not pace.is_finished

    def test_target_that_is_late_from_the_start_gets_one_prompt_at_a_time(self):
        """A bound of 0 would never see an answer again and never recover."""
        pace = Pace(SLOTS, seconds(0))
        for tenth in range(1, 200):
            pace.record_begun(True, seconds(tenth / 10))
            assert pace.most == 1
            assert not pace.is_finished
        pace.record_begun(False, seconds(19.95))
        assert pace.most == 2

    @pytest.mark.parametrize(
        ("slots", "most", "in_time", "is_finished"),
        [
            (SLOTS, 2, 13, False),
            (SLOTS, 2, 14, True),
            (SLOTS, 15, 0, False),
            (SLOTS, 15, 1, True),
            (SLOTS, 16, 0, True),
            (SLOTS, 40, 0, True),
            (8, 2, 5, False),
            (8, 2, 6, True),
            # Few slots do not end the pace before any answer began.
            (1, 2, 0, False),
            (1, 2, 1, True),
        ],
    )
    def test_pace_ends_at_its_final_bound(self, slots, most, in_time, is_finished):
        """A pace that never ended would limit a target in normal operation."""
        pace = Pace(slots, seconds(0), most)
        record_all(pace, [(0.1, False)] * in_time)
        assert pace.is_finished is is_finished

    @pytest.mark.parametrize(
        ("at", "is_finished"), [(0, False), (19.9, False), (20, True), (60, True)]
    )
    def test_pace_ends_after_20_seconds(self, at, is_finished):
        """A target without requests would keep its bound for good."""
        pace = Pace(SLOTS, seconds(0))
        pace.expire(seconds(at))
        assert pace.is_finished is is_finished

    def test_late_answer_does_not_resume_a_finished_pace(self):
        pace = Pace(SLOTS, seconds(0))
        record_all(pace, [(0.1, False)] * 14 + [(0.2, True)])
        assert pace.is_finished


ALL = {"t1": SLOTS, "t2": SLOTS, "t3": SLOTS}
TWO = {"t1": SLOTS, "t2": SLOTS}


class TestTargetPaces:
    """Which targets have a pace."""

    @pytest.mark.parametrize(
        ("updates", "paced"),
        [
            # The service starts: all targets are new.
            ([(0, ALL)], set()),
            ([(0, {}), (8, ALL)], set()),
            ([(0, {"t1": SLOTS}), (2, TWO), (4.9, ALL)], set()),
            # A target is late or silent for a moment while the service starts.
            ([(0, ALL), (1, TWO), (2, ALL)], set()),
            # A new incarnation, a target that is back, and all of them.
            ([(0, TWO), (9, ALL)], {"t3"}),
            ([(0, ALL), (9, TWO), (10, ALL)], {"t3"}),
            ([(0, TWO), (9, {"t1": SLOTS, "t4": SLOTS})], {"t4"}),
            ([(0, ALL), (9, {}), (10, ALL)], set(ALL)),
            # The only target is restarted.
            ([(0, {"t1": SLOTS}), (9, {}), (10, {"t2": SLOTS})], {"t2"}),
            # Ended, down and silent targets are forgotten.
            ([(0, TWO), (9, ALL), (10, TWO)], set()),
        ],
    )
    def test_targets_that_start_or_recover_later_are_paced(self, updates, paced):
        """Paced targets at the start of a service would refuse its first requests."""
        paces = TargetPaces()
        for at, serving in updates:
            paces.update_targets(serving, seconds(at))
        now = seconds(updates[-1][0])
        assert paces.bounds(now) == dict.fromkeys(paced, 2)
        assert {name for name in ALL if paces.most(name, now)} == paced & set(ALL)

    def make_paces(self):
        """Return paces where ``t3`` is new at 10 s."""
        paces = TargetPaces()
        paces.update_targets(TWO, seconds(0))
        paces.update_targets(ALL, seconds(10))
        return paces

    @pytest.mark.parametrize(
        ("predicted", "took", "most"),
        [(0.1, 0.05, 3), (0.1, 0.2, 3), (0.1, 0.201, 1), (0.4, 0.7, 3)],
    )
    def test_answer_is_late_after_twice_its_predicted_time(self, predicted, took, most):
        paces = self.make_paces()
        paces.record_begun("t3", seconds(predicted), seconds(took), seconds(11))
        assert paces.most("t3", seconds(11)) == most

    def test_unpaced_targets_are_unaffected_by_late_answers(self):
        paces = self.make_paces()
        paces.record_begun("t1", seconds(0.1), seconds(5), seconds(11))
        assert paces.most("t1", seconds(11)) is None

    @pytest.mark.parametrize(("at", "most"), [(29.9, 2), (30, None)])
    def test_pace_ends_without_answers(self, at, most):
        paces = self.make_paces()
        paces.update_targets(ALL, seconds(at))
        assert paces.most("t3", seconds(at)) == most

    def test_finished_pace_does_not_return(self):
        """Updates name the target as serving for as long as it runs."""
        paces = self.make_paces()
        for _ in range(14):
            paces.record_begun("t3", seconds(0.1), seconds(0.1), seconds(11))
        paces.update_targets(ALL, seconds(12))
        assert paces.bounds(seconds(12)) == {}

    def test_target_that_is_silent_again_starts_again(self):
        paces = self.make_paces()
        for _ in range(5):
            paces.record_begun("t3", seconds(0.1), seconds(0.1), seconds(11))
        assert paces.most("t3", seconds(11)) == 7
        paces.update_targets(TWO, seconds(12))
        paces.update_targets(ALL, seconds(13))
        assert paces.most("t3", seconds(13)) == 2

    @pytest.mark.parametrize(("outstanding", "most"), [(0, 2), (2, 2), (9, 9)])
    def test_new_owner_starts_at_the_outstanding_prompts(self, outstanding, most):
        """A bound of 2 would hold back a target whose pace was almost over."""
        paces = self.make_paces()
        paces.take_over("t3", outstanding, seconds(20))
        assert paces.most("t3", seconds(20)) == most
        assert paces.most("t3", seconds(30)) is None

    @pytest.mark.parametrize(
        ("target", "outstanding"), [("t1", 5), ("t3", 16), ("t9", 5)]
    )
    def test_new_owner_begins_no_pace_that_is_not_needed(self, target, outstanding):
        paces = self.make_paces()
        paces.take_over(target, outstanding, seconds(12))
        assert paces.most(target, seconds(12)) is None


TARGETS = [f"t{number}" for number in range(10)]
RESTARTED, OTHERS = TARGETS[0], TARGETS[1:]
NODES = 40
PROMPT_MS = 75.0
FULL_LOAD = 0.9
"""Share of the time of all targets that prompts take: without the restarted target, the
others have no time to spare."""
SEEN_AFTER_MS = 200.0
"""Time until a node knows of the prompts that others sent."""
COLD_MS = 1_000.0
"""Time for which a restarted target works slower than predicted."""
SCORE_JITTER = 0.2
GOAL_MS = 810.0
"""Time from the request by which an urgent answer must begin."""
RESTARTED_AT_MS = 8_000.0
BACK_MS = 2_000.0
SEEDS = range(10)


class Replay:
    """Many nodes send prompts to targets that read them in order of arrival.

    A node sends each prompt to the target where it predicts the earliest answer. It
    knows its own prompts at once and those of other nodes 200 ms late.
    """

    def __init__(self, seed, load, cold_factor, is_paced):
        self.random = random.Random(seed)
        self.prompts_per_ms = load * len(TARGETS) / PROMPT_MS
        self.cold_factor = cold_factor
        self.is_paced = is_paced
        self.paces = TargetPaces()
        self.paces.update_targets(dict.fromkeys(OTHERS, SLOTS), seconds(0))
        self.free_at = dict.fromkeys(TARGETS, 0.0)
        self.unread = {target: deque() for target in TARGETS}
        """Prompts not yet read: (read at, sent at, node, usual ms, predicted ms)."""
        self.answers = []
        """Each (sent ms after the restart, target, ms until it began)."""

    def run(self):
        now, serving = 0.0, OTHERS
        while now < RESTARTED_AT_MS + 2 * BACK_MS:
            now += self.random.expovariate(self.prompts_per_ms)
            self.record_begun(now)
            if serving is OTHERS and now >= RESTARTED_AT_MS:
                serving = TARGETS
                restarted_at = timedelta(milliseconds=now)
                self.paces.update_targets(dict.fromkeys(serving, SLOTS), restarted_at)
            node = self.random.randrange(NODES)
            work_ms = PROMPT_MS * self.random.uniform(0.5, 1.5)
            allowed = [target for target in serving if self.has_room(target, now)]
            best = min(allowed, key=lambda each: self.score(each, node, work_ms, now))
            self.send(best, node, work_ms, now)
        return self.answers

    def record_begun(self, now):
        for target, prompts in self.unread.items():
            while prompts and prompts[0][0] <= now:
                read_at, sent_at, _, _, predicted_ms = prompts.popleft()
                self.record_answer(target, predicted_ms, read_at - sent_at, read_at)

    def record_answer(self, target, predicted_ms, took_ms, read_at):
        times = (predicted_ms, took_ms, read_at)
        self.paces.record_begun(target, *(timedelta(milliseconds=t) for t in times))

    def has_room(self, target, now):
        """Return whether the owner grants one more prompt."""
        most = self.paces.most(target, timedelta(milliseconds=now))
        return not self.is_paced or most is None or len(self.unread[target]) < most

    def score(self, target, node, work_ms, now):
        """Return the time to the first byte as the node sees it, with its jitter."""
        seen_ms = sum(
            usual_ms
            for _, sent_at, sender, usual_ms, _ in self.unread[target]
            if sender == node or sent_at <= now - SEEN_AFTER_MS
        )
        return (seen_ms + work_ms) * self.random.uniform(1, 1 + SCORE_JITTER)

    def send(self, target, node, work_ms, now):
        begin = max(self.free_at[target], now)
        is_cold = target == RESTARTED and begin < RESTARTED_AT_MS + COLD_MS
        read_at = begin + work_ms * (self.cold_factor if is_cold else 1.0)
        self.free_at[target] = read_at
        # The owner knows all prompts, but not that the target is cold.
        predicted_ms = sum(prompt[3] for prompt in self.unread[target]) + work_ms
        self.unread[target].append((read_at, now, node, work_ms, predicted_ms))
        self.answers.append((now - RESTARTED_AT_MS, target, read_at - now))


def replay_answers(load, cold_factor, is_paced):
    """Return the answers of all seeds from the restart on."""
    answers = []
    for seed in SEEDS:
        answers += Replay(seed, load, cold_factor, is_paced).run()
    return [answer for answer in answers if answer[0] >= 0]


def late_shares(answers):
    """Return the shares of late first answers at the restarted and other targets."""
    sent, late = Counter(), Counter()
    for _, target, took_ms in answers:
        sent[target == RESTARTED] += 1
        late[target == RESTARTED] += took_ms > GOAL_MS
    return late[True] / sent[True], late[False] / sent[False]


def relative_share(answers, after_ms, before_ms):
    """Return the restarted target's requests relative to those of other targets."""
    sent = Counter(target for at, target, _ in answers if after_ms <= at < before_ms)
    return sent[RESTARTED] / (sum(sent[each] for each in OTHERS) / len(OTHERS))


@pytest.mark.parametrize("cold_factor", [1.0, 2.5])
class TestRestartUnderFullLoad:
    """A target is restarted while many nodes send as much as all targets can read."""

    @pytest.mark.parametrize("load", [0.85, FULL_LOAD])
    def test_paced_target_is_neither_late_nor_idle(self, load, cold_factor):
        """Its share counts as back if it is within a tenth of the others'."""
        answers = replay_answers(load, cold_factor, is_paced=True)
        late, late_elsewhere = late_shares(answers)
        assert late <= late_elsewhere
        assert relative_share(answers, BACK_MS, 2 * BACK_MS) >= 0.9

    def test_unpaced_target_is_flooded(self, cold_factor):
        """All nodes see it idle until they know of each other's prompts."""
        answers = replay_answers(FULL_LOAD, cold_factor, is_paced=False)
        late, late_elsewhere = late_shares(answers)
        assert relative_share(answers, 0, SEEN_AFTER_MS) > 2
        assert late > late_elsewhere
