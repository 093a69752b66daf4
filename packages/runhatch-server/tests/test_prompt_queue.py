"""Batches of prompts that one node permits for all nodes at a target."""

import random
from datetime import timedelta

import pytest

from runhatch_server.decisions import PermitState, PromptQueue, PromptRequest
from runhatch_server.decisions._load import LATE_TIER
from runhatch_server.decisions._prompt_queue import (
    MAX_EXPIRED,
    MAX_WAITING,
    MIN_OVERDUE_TIME,
)

PAUSE_LIMIT_MS = 300.0
EVENT_MS = 25.0
GRANTED, QUEUED, DENIED = PermitState


def milliseconds(value):
    return timedelta(milliseconds=value)


START = milliseconds(10_000)


def at(value):
    """Return the time ``value`` milliseconds after the start of a test."""
    return START + milliseconds(value)


def make_prompt(number, work_ms=100.0, tier=1, begin=60_000, late=120_000, node="a"):
    return PromptRequest(
        node,
        number,
        work_ms,
        tier,
        PAUSE_LIMIT_MS,
        EVENT_MS,
        milliseconds(begin),
        milliseconds(late),
    )


class QueueCase:
    """A queue, and the answers that it gave."""

    def __init__(self, known_backlog_ms=0.0):
        self.queue = PromptQueue(known_backlog_ms, START)
        self.answers = []

    def ask(self, *prompts, ms=0):
        for prompt in prompts:
            self.queue.request(prompt, at(ms))
        return self.decide(ms)

    def decide(self, ms):
        answers = self.queue.decide(at(ms))
        self.answers += answers
        return answers

    def release(self, *numbers, ms, node="a"):
        self.queue.release(node, numbers, at(ms))
        return self.decide(ms)

    def numbers(self, state):
        return [each.number for each in self.answers if each.state is state]


def states(answers):
    return {each.number: each.state for each in answers}


class TestBatches:
    """No event of a stream waits for more prompts than its pause limit allows."""

    @pytest.mark.parametrize(
        ("work_ms", "granted"),
        [
            ([100, 100, 100], [1, 2, 3]),
            ([100, 100, 101], [1, 2]),
            ([100, 100, 101, 50], [1, 2]),
            ([299, 2], [1]),
            ([900], [1]),
            ([900, 1], [1]),
            ([1, 900], [1]),
        ],
    )
    def test_work_of_a_batch_stays_within_the_pause_limit(self, work_ms, granted):
        """A longer prompt is sent alone; otherwise it would never be sent."""
        case = QueueCase()
        case.ask(*(make_prompt(i, ms) for i, ms in enumerate(work_ms, start=1)))
        assert case.numbers(GRANTED) == granted
        assert len(case.numbers(QUEUED)) == len(work_ms) - len(granted)

    @pytest.mark.parametrize(
        ("released_at", "decided_at", "is_granted"),
        [
            ([(200, (1,))], 250, False),
            ([(200, (1,)), (210, (2,))], 210, False),
            ([(200, (1,)), (210, (2,))], 234, False),
            ([(200, (1,)), (210, (2,))], 235, True),
            ([(50, (1, 2))], 74, False),
            ([(50, (1, 2))], 75, True),
        ],
    )
    def test_next_batch_begins_one_event_after_the_last_was_released(
        self, released_at, decided_at, is_granted
    ):
        """An event that began in the last batch would otherwise wait for both."""
        case = QueueCase()
        case.ask(make_prompt(1, 140), make_prompt(2, 140), make_prompt(3))
        for ms, numbers in released_at:
            case.release(*numbers, ms=ms)
        case.decide(decided_at)
        assert (3 in case.numbers(GRANTED)) == is_granted

    def test_next_decision_is_due_when_the_next_batch_may_begin(self):
        case = QueueCase()
        assert case.queue.next_decision_in(START) is None
        case.ask(make_prompt(1, 280), make_prompt(2))
        case.release(1, ms=280)
        due = case.queue.next_decision_in(at(280))
        assert due == milliseconds(EVENT_MS)
        assert states(case.decide(280 + EVENT_MS)) == {2: GRANTED}
        assert case.queue.next_decision_in(at(280 + EVENT_MS)) is None

    def test_prompts_of_all_nodes_share_a_batch(self):
        """Two nodes may use the same number for different prompts."""
        case = QueueCase()
        case.ask(make_prompt(1, 200), make_prompt(1, 200, node="b"))
        assert [(each.node, each.state) for each in case.answers] == [
            ("a", GRANTED),
            ("b", QUEUED),
        ]
        case.release(1, ms=200)
        assert states(case.decide(225)) == {1: GRANTED}

    @pytest.mark.parametrize(
        ("known_ms", "is_granted"), [(0, True), (200, True), (201, False)]
    )
    def test_known_backlog_counts_as_the_first_batch(self, known_ms, is_granted):
        """A new owner must not add a batch to the prompts of the last owner."""
        case = QueueCase(known_backlog_ms=known_ms)
        assert (states(case.ask(make_prompt(1, 100)))[1] is GRANTED) == is_granted

    @pytest.mark.parametrize("known_ms", [100, 200, 375, 800])
    def test_known_backlog_ends_when_it_was_read(self, known_ms):
        """No node releases it: a new owner waited for up to twice its length."""
        case = QueueCase(known_backlog_ms=known_ms)
        assert states(case.ask(make_prompt(1, 290))) == {1: QUEUED}
        assert case.decide(known_ms) == []
        assert states(case.decide(known_ms + EVENT_MS)) == {1: GRANTED}


class TestOrder:
    """Requests wait in the order of their tier and the time left to them."""

    @pytest.mark.parametrize(
        ("waiting", "expected"),
        [
            # (tier, begin within ms)
            ([(2, 9_000), (1, 9_000), (0, 9_000)], [3, 2, 1]),
            ([(1, 9_000), (1, 7_000), (1, 8_000)], [2, 3, 1]),
            ([(1, 5_000), (0, 9_000), (1, 4_000)], [2, 3, 1]),
            ([(1, 9_000), (1, 9_000)], [1, 2]),
            ([(LATE_TIER, 9_000), (2, 9_500)], [2, 1]),
        ],
    )
    def test_most_urgent_prompt_is_granted_next(self, waiting, expected):
        case = QueueCase()
        case.ask(make_prompt(99, 300))
        case.ask(
            *(
                make_prompt(number, 300, tier, begin)
                for number, (tier, begin) in enumerate(waiting, start=1)
            )
        )
        granted = [99]
        ms = 0
        for _ in expected:
            ms += 300
            case.release(granted[-1], ms=ms)
            ms += EVENT_MS
            granted += [each.number for each in case.decide(ms)]
        assert granted[1:] == expected

    def test_smaller_prompt_does_not_overtake_a_more_urgent_one(self):
        """Otherwise short prompts would keep a long one waiting forever."""
        case = QueueCase()
        case.ask(make_prompt(1, 200))
        case.ask(make_prompt(2, 200, tier=0), make_prompt(3, 50, tier=1))
        assert case.numbers(GRANTED) == [1]

    def test_queued_request_is_answered_once(self):
        """A message at each decision would grow with the length of the queue."""
        case = QueueCase()
        case.ask(make_prompt(1, 300), make_prompt(2))
        for ms in (10, 20, 30):
            assert case.decide(ms) == []
        assert case.numbers(QUEUED) == [2]

    def test_number_of_waiting_requests_is_bounded(self):
        """The least urgent is denied, so that memory of the owner is bounded."""
        case = QueueCase()
        case.ask(make_prompt(0, 300))
        case.ask(*(make_prompt(i, 1, tier=1) for i in range(1, MAX_WAITING + 1)))
        assert len(case.numbers(QUEUED)) == MAX_WAITING
        answers = case.ask(make_prompt(1_000, 1, tier=0))
        assert states(answers) == {1_000: QUEUED, MAX_WAITING: DENIED}
        assert len(case.queue) == 1 + MAX_WAITING


class TestLatePrompts:
    """What cannot begin in time is denied at once, not at its deadline."""

    @pytest.mark.parametrize(
        ("begin", "late", "state", "tier"),
        [
            # 300 ms are ahead, and its own work is 300 ms.
            (2_000, 3_000, QUEUED, 1),
            (500, 2_000, QUEUED, LATE_TIER),
            (500, 500, DENIED, LATE_TIER),
            (0, 0, DENIED, LATE_TIER),
        ],
    )
    def test_prompt_that_would_begin_late_moves_behind_or_is_denied(
        self, begin, late, state, tier
    ):
        case = QueueCase()
        case.ask(make_prompt(1, 300))
        (answer,) = case.ask(make_prompt(2, 300, 1, begin, late))
        assert (answer.state, answer.tier) == (state, tier)
        assert (answer.retry_after > timedelta()) == (state is DENIED)

    def test_denial_says_when_the_backlog_has_room(self):
        """A retry before the prompts ahead are read would be denied again."""
        case = QueueCase()
        case.ask(make_prompt(1, 300), make_prompt(2, 300, tier=0))
        (answer,) = case.ask(make_prompt(3, 300, 1, 100, 100))
        assert answer.state is DENIED
        assert answer.backlog_ms == 600
        assert answer.retry_after >= milliseconds(600)

    def test_late_prompt_lets_all_prompts_in_time_go_first(self):
        case = QueueCase()
        case.ask(make_prompt(1, 300))
        case.ask(make_prompt(2, 300, 0, begin=400), make_prompt(3, 300, 2))
        case.release(1, ms=300)
        assert states(case.decide(325)) == {3: GRANTED}

    def test_waiting_prompt_is_denied_as_soon_as_others_make_it_late(self):
        """More urgent prompts arrive while it waits, so it can go elsewhere."""
        case = QueueCase()
        case.ask(make_prompt(1, 300), make_prompt(2, 300, 2, 1_000, 1_000))
        assert case.numbers(QUEUED) == [2]
        answers = case.ask(make_prompt(3, 300, 0), make_prompt(4, 300, 0), ms=10)
        assert states(answers) == {2: DENIED, 3: QUEUED, 4: QUEUED}


class TestReleases:
    """Prompts that began or were given up no longer count."""

    def test_waiting_request_that_is_released_is_not_granted(self):
        case = QueueCase()
        case.ask(make_prompt(1, 300), make_prompt(2), make_prompt(3))
        case.release(2, ms=10)
        case.release(1, ms=300)
        assert states(case.decide(325)) == {3: GRANTED}
        assert len(case.queue) == 1

    @pytest.mark.parametrize(("node", "numbers"), [("b", (1,)), ("a", (7,)), ("a", ())])
    def test_release_of_another_prompt_has_no_effect(self, node, numbers):
        case = QueueCase()
        case.ask(make_prompt(1, 300))
        case.release(*numbers, ms=0, node=node)
        assert len(case.queue) == 1
        assert case.queue.backlog_ms(START) == 300

    @pytest.mark.parametrize(
        ("ms", "remaining_ms"), [(0, 200), (50, 150), (100, 100), (195, 30)]
    )
    def test_backlog_falls_with_time_but_not_to_zero(self, ms, remaining_ms):
        """A target slower than expected is not idle before it says so."""
        case = QueueCase()
        case.ask(make_prompt(1, 200))
        assert case.queue.backlog_ms(at(ms)) == pytest.approx(remaining_ms)

    def test_prompts_are_read_in_the_order_of_their_permits(self):
        case = QueueCase()
        case.ask(make_prompt(1, 100), make_prompt(2, 100))
        assert case.queue.backlog_ms(at(50)) == pytest.approx(150)
        case.release(1, ms=120)
        assert case.queue.backlog_ms(at(120)) == pytest.approx(80)

    @pytest.mark.parametrize("work_ms", [20.0, 200.0, 300.0, 1_500.0])
    def test_permit_that_is_never_released_expires(self, work_ms):
        """Its node may have ended; other prompts must not wait for it forever."""
        min_overdue_ms = MIN_OVERDUE_TIME / milliseconds(1)
        expires_ms = work_ms + max(min_overdue_ms, work_ms)
        case = QueueCase()
        case.ask(make_prompt(1, work_ms), make_prompt(2, 300))
        case.decide(expires_ms - 1)
        assert case.numbers(GRANTED) == [1]
        case.decide(expires_ms + 1)
        case.decide(expires_ms + 1 + EVENT_MS)
        assert case.numbers(GRANTED) == [1, 2]


class TestBound:
    """Prompts at a target that has just started or recovered are few."""

    @pytest.mark.parametrize(
        ("most", "known_count", "granted"),
        [
            (None, 0, [1, 2, 3]),
            (1, 0, [1]),
            (2, 0, [1, 2]),
            (3, 0, [1, 2, 3]),
            (3, 2, [1]),
            (2, 2, []),
            (None, 2, [1, 2, 3]),
        ],
    )
    def test_prompts_outstanding_stay_within_the_bound(
        self, most, known_count, granted
    ):
        """They would all fit into one batch."""
        queue = PromptQueue(10.0 * known_count, START, known_count)
        for number in (1, 2, 3):
            queue.request(make_prompt(number, 10), START)
        answers = queue.decide(START, most)
        assert [each.number for each in answers if each.state is GRANTED] == granted
        assert queue.outstanding == known_count + len(granted)

    @pytest.mark.parametrize("has_begun", [True, False])
    def test_released_prompt_makes_room(self, has_begun):
        queue = PromptQueue(0.0, START)
        for number in (1, 2):
            queue.request(make_prompt(number, 10), START)
        queue.decide(START, 1)
        assert queue.decide(at(9), 1) == []
        if has_begun:
            queue.begin("a", [1], at(10))
        else:
            queue.release("a", [1], at(10))
        # The next batch begins one event later.
        assert states(queue.decide(at(10 + EVENT_MS), 1)) == {2: GRANTED}

    def test_begun_prompts_are_returned_with_predicted_and_actual_time(self):
        """The prediction counts the prompts of all nodes ahead at the permit."""
        case = QueueCase()
        case.ask(make_prompt(1, 100), make_prompt(1, 100, node="b"), make_prompt(2, 80))
        begun = case.queue.begin("b", [1], at(250))
        assert [(each.predicted, each.took) for each in begun] == [
            (milliseconds(200), milliseconds(250))
        ]
        assert case.queue.begin("b", [1, 7], at(260)) == []
        assert case.queue.outstanding == 2

    def test_begin_of_an_expired_prompt_still_says_how_late_it_was(self):
        """A target so slow that permits expire would otherwise never seem late."""
        case = QueueCase()
        case.ask(make_prompt(1, 100))
        case.decide(1_000)
        assert case.queue.outstanding == 0
        (begun,) = case.queue.begin("a", [1], at(1_500))
        assert begun.took == milliseconds(1_500)
        assert case.queue.begin("a", [1], at(1_600)) == []

    def test_given_up_prompt_says_nothing_about_the_speed(self):
        case = QueueCase()
        case.ask(make_prompt(1, 100))
        case.decide(1_000)
        case.release(1, ms=1_100)
        assert case.queue.begin("a", [1], at(1_200)) == []

    def test_number_of_remembered_permits_is_bounded(self):
        """Nodes that end would otherwise fill the memory of the owner."""
        case = QueueCase()
        for number in range(3 * MAX_EXPIRED):
            case.ask(make_prompt(number, 10), ms=1_000 * number)
        assert len(case.queue._expired) == MAX_EXPIRED
        assert case.queue.outstanding == 1


class TestReplayedLoad:
    """An engine that reads chunks of prompts between the tokens of its streams."""

    STEP_MS = 8.87
    EVENT_TOKENS = 3
    TOKENS_PER_MS = 19.1
    CHUNK_TOKENS = 4_096
    MAX_GAP_MS = 400.0

    def make_arrivals(self, seed):
        """Return arrivals at two nodes: (ms, node, number, tokens)."""
        generator = random.Random(seed)
        arrivals = []
        for node in ("a", "b"):
            ms = 0.0
            for number in range(300):
                ms += generator.expovariate(1 / 200.0)
                tokens = generator.randint(300, 2_600)
                arrivals.append((ms, node, number, tokens))
        return sorted(arrivals)

    def longest_event_ms(self, seed, with_queue):
        """Return the longest time of an event, and how many prompts were read."""
        event_ms = self.STEP_MS * self.EVENT_TOKENS
        queue = PromptQueue(0.0, START)
        arrivals = self.make_arrivals(seed)
        tokens_of = {(node, number): tokens for _, node, number, tokens in arrivals}
        pending: dict[tuple[str, int], int] = {}
        steps: list[float] = []
        now, read_count = 0.0, 0

        def send_granted(ms):
            for answer in queue.decide(at(ms)):
                if answer.state is GRANTED:
                    key = (answer.node, answer.number)
                    pending[key] = tokens_of[key]

        while arrivals or pending or len(queue):
            while arrivals and arrivals[0][0] <= now:
                ms, node, number, tokens = arrivals.pop(0)
                if not with_queue:
                    pending[node, number] = tokens
                    continue
                work_ms = tokens / self.TOKENS_PER_MS
                pause_limit_ms = self.MAX_GAP_MS - event_ms
                within = milliseconds(8_000)
                prompt = PromptRequest(
                    node, number, work_ms, 1, pause_limit_ms, event_ms, within, within
                )
                queue.request(prompt, at(ms))
                send_granted(ms)
            if with_queue:
                send_granted(now)
            room, began = self.CHUNK_TOKENS, []
            for key, tokens in list(pending.items()):
                chunk = min(room, tokens)
                room -= chunk
                pending[key] -= chunk
                if not pending[key]:
                    del pending[key]
                    began.append(key)
            step_ms = self.STEP_MS + (self.CHUNK_TOKENS - room) / self.TOKENS_PER_MS
            now += step_ms
            steps.append(step_ms)
            read_count += len(began)
            for node, number in began:
                queue.release(node, [number], at(now))
        events = zip(*(steps[i:] for i in range(self.EVENT_TOKENS)), strict=False)
        return max(sum(event) for event in events), read_count

    @pytest.mark.parametrize("seed", range(5))
    def test_no_event_waits_longer_than_the_pause_limit(self, seed):
        """Prompts of two nodes meet, and neither node knows of the other's."""
        without, _ = self.longest_event_ms(seed, with_queue=False)
        longest, read_count = self.longest_event_ms(seed, with_queue=True)
        assert without > self.MAX_GAP_MS
        assert longest <= self.MAX_GAP_MS + 1e-6
        # A queue that denies most prompts would keep the limit as well.
        assert read_count >= 0.95 * 600
