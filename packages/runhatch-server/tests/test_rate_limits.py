"""Rate limits that targets declare, and the allocation of permits between nodes."""

import random

import pytest
from gateway_cases import seconds
from rate_limit_cases import Cluster, count_busiest_window, max_requests_in_window

from runhatch_coordination import Standing
from runhatch_server.decisions import (
    BRITTLE_GRACE,
    LimitedTarget,
    ObservedLimit,
    PermitBucket,
    bucket_capacity,
    issued_rate_share,
)
from runhatch_server.gateway._grant import Grant
from runhatch_server.gateway._rate_limits import RateLimits
from runhatch_server.observability import Metrics
from runhatch_server.peers import (
    LimitOfTarget,
    Member,
    PermitAnswer,
    PermitRequest,
    RateLimitsUpdate,
)
from runhatch_server.refusals import Reason
from runhatch_server.targets import InvalidRateLimit, decode_rate_limit

URGENT, USUAL, LATE = 0, 1, 3
TRIAL_RATE = 0.2
"""Requests per second that a target gets if it declares a lower limit."""
SENT_LATE = seconds(0.4)
"""Longest time from the use of a permit to sending the request on a busy machine."""


def send(cluster, rng, demand, duration, choose=None, priority=1):
    """Send requests at random times; return when requests got a grant.

    ``demand`` is in requests per second; ``choose`` picks the node.
    """
    clock, nodes = cluster.clock, list(cluster.nodes.values())
    end = clock.elapsed() + duration
    sent = []
    while clock.elapsed() < end:
        clock.advance(seconds(rng.expovariate(demand)))
        cluster.requests += 1
        node = (choose or rng.choice)(nodes)
        if isinstance(node.acquire(clock, priority), Grant):
            sent.append(clock.elapsed())
    return sent


def run_for(clock, node, duration):
    """Advance ``clock`` while ``node`` reports as often as nodes do."""
    ends_at = clock.elapsed() + seconds(duration)
    while clock.elapsed() < ends_at:
        clock.advance(min(seconds(0.25), ends_at - clock.elapsed()))
        node.exchange.report_rooms()


class TestLimitHeader:
    """Values of the header that declares a limit."""

    @pytest.mark.parametrize(
        ("value", "named"),
        [
            (None, None),
            ("10", 10.0),
            ("0.05", 0.05),
            (".5", 0.5),
            ("2.", 2.0),
            ("0", 0.0),
            (" 3 ", 3.0),
            ("4, 2.5", 2.5),
            ("999999999999", 999999999999.0),
            *[
                (value, InvalidRateLimit(value))
                for value in ("", "-1", "nan", "inf", "1e3", "ten", "1;2", "4,", "٣")
            ],
            ("9" * 60, InvalidRateLimit("9" * 40)),
        ],
    )
    def test_header_value_is_parsed(self, value, named):
        assert decode_rate_limit(value) == named


class TestOutOfOrderAnswers:
    """Answers with limits may arrive out of order."""

    @pytest.mark.parametrize(
        ("known", "seen", "newer"),
        [
            (None, ObservedLimit(None, seconds(5)), False),
            (None, ObservedLimit(2.0, seconds(5)), True),
            (ObservedLimit(2.0, seconds(5)), ObservedLimit(None, seconds(4.9)), False),
            (ObservedLimit(2.0, seconds(5)), ObservedLimit(None, seconds(5.1)), True),
            (ObservedLimit(None, seconds(5)), ObservedLimit(2.0, seconds(4.9)), False),
            (ObservedLimit(None, seconds(5)), ObservedLimit(2.0, seconds(5.1)), True),
            (ObservedLimit(2.0, seconds(5)), ObservedLimit(3.0, seconds(4.9)), False),
        ],
    )
    def test_newer_limit_supersedes_older(self, known, seen, newer):
        assert seen.supersedes(known) is newer

    def test_answer_to_earlier_request_does_not_lift_limit(self, clock):
        limits = RateLimits(clock, Metrics())
        sent_at = clock.elapsed()
        clock.advance(seconds(1))
        limits.apply_answer("t1", 2.0, sent_at)
        limits.apply_answer("t1", None, sent_at)
        assert limits.latest_limit("t1").rate == 2.0

        sent_at = clock.elapsed() + seconds(0.1)
        clock.advance(seconds(1))
        limits.apply_answer("t1", None, sent_at)
        assert limits.latest_limit("t1").rate is None

    def test_unreadable_limit_is_ignored(self, clock):
        limits = RateLimits(clock, Metrics())
        limits.apply_answer("t1", 2.0, clock.elapsed())
        clock.advance(seconds(1))
        limits.apply_answer("t1", InvalidRateLimit("many"), clock.elapsed())
        assert limits.latest_limit("t1").rate == 2.0


class TestPermitBucket:
    """Permits of one target."""

    @pytest.mark.parametrize("rate", [0.0, 0.05, 1.0, 10.0])
    def test_burst_after_pause_is_bounded(self, rate):
        bucket = PermitBucket(rate, seconds(0))
        taken = sum(
            bucket.request_permit(URGENT, rate, seconds(1000)) is None
            for _ in range(1000)
        )
        assert taken <= bucket_capacity(rate) <= 5 + rate

    def test_waits_increase_by_one_permit_interval(self):
        bucket = PermitBucket(2.0, seconds(0))
        waits = [bucket.request_permit(URGENT, 2.0, seconds(0)) for _ in range(3)]
        assert waits == [seconds(0.5), seconds(1), seconds(1.5)]

    def test_urgent_request_gets_first_permit(self):
        bucket = PermitBucket(1.0, seconds(0))
        at = seconds(1.2)
        assert bucket.request_permit(LATE, 1.0, at) is not None
        assert bucket.request_permit(USUAL, 1.0, at) is not None
        assert bucket.request_permit(URGENT, 1.0, at) is None

    def test_two_allocators_for_one_second_stay_within_bound(self):
        """Nodes that disagree on which nodes are alive request from two allocators."""
        rate, times = 10.0, []
        first, second = PermitBucket(rate, seconds(0)), PermitBucket(rate, seconds(4))
        for step in range(1000):
            now = seconds(step * 0.01)
            allocators = [first] if step < 400 else [first, second]
            allocators = allocators if step < 500 else [second]
            times += [
                now
                for allocator in allocators
                if allocator.request_permit(URGENT, rate, now) is None
            ]
        assert count_busiest_window(times) <= max_requests_in_window(rate)

    @pytest.mark.parametrize("rate", [0.0, 0.2, 0.5, 1.0, 1.5, 6.0, 10.0, 50.0])
    def test_permits_used_at_expiry_stay_within_bound(self, rate):
        """Worst case: a held burst is used just before it expires and sent late, while
        two allocators grant permits for one second."""
        held = LimitedTarget(ObservedLimit(rate, seconds(0)))
        held.add_permit(seconds(0))
        sent_at = held.permits[0] + SENT_LATE
        first = PermitBucket(max(rate, TRIAL_RATE), seconds(-100))
        second = PermitBucket(max(rate, TRIAL_RATE), sent_at)
        times = []
        for step in range(1200):
            now = seconds(step * 0.01)
            twice = sent_at <= now < sent_at + seconds(1)
            for allocator in (first, second) if twice else (first,):
                while allocator.request_permit(URGENT, rate, now) is None:
                    times.append(max(now, sent_at))
        assert count_busiest_window(times) <= max_requests_in_window(rate)

    @pytest.mark.parametrize(
        ("alive", "lost", "share"),
        [(9, 0, 1.0), (5, 4, 1.0), (4, 5, 4 / 9), (3, 3, 0.5), (1, 8, 1 / 9)],
    )
    def test_rate_is_shared_between_network_partitions(self, alive, lost, share):
        assert issued_rate_share(alive, lost) == share


class TestOverload:
    """Many nodes in front of one target whose callers exceed its limit."""

    @pytest.mark.parametrize("count", [9, 91, 195, 390])
    @pytest.mark.parametrize("rate", [0.5, 1.2, 10.0])
    def test_limit_is_respected_and_used(self, clock, count, rate):
        cluster = Cluster(clock, count)
        rng = random.Random(count)
        next(iter(cluster.nodes.values())).limits.apply_answer(
            "t1", rate, clock.elapsed()
        )
        cluster.messages = 0
        duration = seconds(max(20, 20 / rate))

        sent = send(cluster, rng, 4 * rate, duration)

        assert count_busiest_window(sent) <= max_requests_in_window(rate)
        assert len(sent) >= 0.8 * rate * duration.total_seconds()
        assert cluster.messages <= 2 * cluster.requests

    def test_partitioned_network_stays_within_bound(self, clock):
        cluster = Cluster(clock, 9)
        rate = 4.0
        nodes = list(cluster.nodes.values())
        nodes[0].limits.apply_answer("t1", rate, clock.elapsed())
        for side in (nodes[:3], nodes[3:]):
            others = [node.vm for node in nodes if node not in side]
            for node in side:
                node.suspect(others)

        sent = send(cluster, random.Random(1), 4 * rate, seconds(20))

        assert count_busiest_window(sent) <= max_requests_in_window(rate)

    def test_urgent_requests_get_most_permits(self, clock):
        cluster = Cluster(clock, 9)
        next(iter(cluster.nodes.values())).limits.apply_answer(
            "t1", 2.0, clock.elapsed()
        )
        rng, sent = random.Random(1), {0: 0, 1: 0}
        for _ in range(400):
            priority = rng.choice([0, 1])
            sent[priority] += len(send(cluster, rng, 8, seconds(0.01), None, priority))
        assert sent[0] > 2 * sent[1]


class TestPermitExchange:
    """Exchange of limits and permits between nodes."""

    def test_limit_is_published_to_all_nodes(self, clock):
        cluster = Cluster(clock, 9)
        cluster.nodes["n0"].limits.apply_answer("t1", 1.0, clock.elapsed())
        assert {
            node.limits.latest_limit("t1").rate for node in cluster.nodes.values()
        } == {1.0}

        clock.advance(seconds(1))
        cluster.nodes["n5"].limits.apply_answer("t1", None, clock.elapsed())
        assert {
            node.limits.latest_limit("t1").rate for node in cluster.nodes.values()
        } == {None}

    @pytest.mark.parametrize("is_recorded_first", [True, False])
    @pytest.mark.parametrize(
        ("paused_for", "read_after", "rate"),
        [
            (3.0, 0.0, 5.0),
            (1.2, 0.9, 5.0),
            (3.0, 1.5, None),
            (0.5, 0.1, None),
        ],
        ids=["paused", "end of backlog", "after backlog", "not paused"],
    )
    def test_limit_is_not_lifted_by_an_older_message(
        self, clock, paused_for, read_after, rate, is_recorded_first
    ):
        """A message that arrived while the node was paused is read after it."""
        node = Cluster(clock, 3).nodes["n0"]
        sent_facts = []
        node.exchange._publish = sent_facts.append
        node.exchange.report_rooms()
        clock.advance(seconds(paused_for))
        node.limits.apply_answer("t1", 5.0, clock.elapsed())
        clock.advance(seconds(0.01))
        if is_recorded_first:
            node.exchange.report_rooms()
        run_for(clock, node, read_after)

        lifted = RateLimitsUpdate([LimitOfTarget("t1", None, 0)])
        node.exchange.handle_message(lifted, Member("n1", "d", "n1", 1, Standing.ALIVE))

        assert node.limits.latest_limit("t1").rate == rate
        published = [fact.limits[0].rate for fact in sent_facts]
        assert published == ([5.0, None] if rate is None else [5.0])

    @pytest.mark.parametrize(
        ("known", "older", "is_applied"),
        [
            ((5.0, None), (1000.0, None), False),
            ((5.0, 2), (None, 2), False),
            ((None, 2), (1000.0, None), False),
            ((5.0, 2), (5.0, 7), False),
            ((5.0, 7), (4.0, 2), True),
            ((5.0, None), (5.0, 2), True),
        ],
        ids=str,
    )
    def test_limit_is_not_raised_by_an_older_message(
        self, clock, known, older, is_applied
    ):
        node = Cluster(clock, 3).nodes["n0"]
        node.exchange.report_rooms()
        clock.advance(seconds(3))
        node.limits.apply_answer("t1", known[0], clock.elapsed(), known[1])
        clock.advance(seconds(0.1))

        limit = LimitOfTarget("t1", older[0], 0, older[1])
        node.exchange.handle_message(
            RateLimitsUpdate([limit]), Member("n1", "d", "n1", 1, Standing.ALIVE)
        )

        latest = node.limits.latest_limit("t1")
        expected = older if is_applied else known
        assert (latest.rate, latest.max_rejections) == expected

    def test_messages_of_two_pauses_are_older_than_the_first(self, clock):
        node = Cluster(clock, 3).nodes["n0"]
        node.exchange.report_rooms()
        clock.advance(seconds(5))
        run_for(clock, node, 0.2)
        node.limits.apply_answer("t1", 5.0, clock.elapsed())
        run_for(clock, node, 0.1)
        clock.advance(seconds(1.2))

        lifted = RateLimitsUpdate([LimitOfTarget("t1", None, 0)])
        node.exchange.handle_message(lifted, Member("n1", "d", "n1", 1, Standing.ALIVE))

        assert node.limits.latest_limit("t1").rate == 5.0

    def test_limit_stated_in_an_older_message_counts(self, clock):
        """Requests beyond a limit do harm; a needless limit ends with an answer."""
        node = Cluster(clock, 3).nodes["n0"]
        node.limits.apply_answer("t1", 1.0, clock.elapsed())
        node.exchange.report_rooms()
        clock.advance(seconds(1))
        node.limits.apply_answer("t1", None, clock.elapsed())
        clock.advance(seconds(2))

        stated = RateLimitsUpdate([LimitOfTarget("t1", 5.0, 0)])
        node.exchange.handle_message(stated, Member("n1", "d", "n1", 1, Standing.ALIVE))

        assert node.limits.latest_limit("t1").rate == 5.0

    def test_limits_are_part_of_state_for_new_node(self, clock):
        cluster = Cluster(clock, 3)
        cluster.nodes["n0"].limits.apply_answer("t1", 1.0, clock.elapsed())
        (fact,) = cluster.nodes["n1"].exchange.limit_facts()
        assert [(limit.target, limit.rate) for limit in fact.limits] == [("t1", 1.0)]

    def test_allocator_learns_limit_from_permit_request(self, clock):
        cluster = Cluster(clock, 3)
        allocator = cluster.allocator()
        allocator.silent = True
        other = next(n for n in cluster.nodes.values() if n is not allocator)
        other.limits.apply_answer("t1", 1.0, clock.elapsed())
        allocator.silent = False
        other.exchange.request_permit("t1", URGENT)
        assert allocator.limits.latest_limit("t1").rate == 1.0

    def test_node_that_is_not_allocator_grants_no_permit(self, clock):
        cluster = Cluster(clock, 3)
        allocator = cluster.allocator()
        other = next(n for n in cluster.nodes.values() if n is not allocator)
        other.limits.apply_answer("t1", 100.0, clock.elapsed())
        clock.advance(seconds(10))
        sent_facts = []
        other.exchange._send = lambda address, fact: sent_facts.append(fact)

        asked = PermitRequest(URGENT, LimitOfTarget("t1", 100.0, 0))
        other.exchange.handle_message(asked, Member("x", "d", "x", 1, Standing.ALIVE))

        assert sent_facts == [PermitAnswer("t1", URGENT, 200)]

    def test_wait_below_one_millisecond_is_rounded_up(self, clock):
        """A wait sent as 0 ms ends at once, and the permit request looks unanswered."""
        cluster = Cluster(clock, 3)
        allocator = cluster.allocator()
        allocator.limits.apply_answer("t1", 100.0, clock.elapsed())
        sent_facts = []
        allocator.exchange._send = lambda address, fact: sent_facts.append(fact)
        sender = Member("x", "d", "x", 1, Standing.ALIVE)
        asked = PermitRequest(URGENT, LimitOfTarget("t1", 100.0, 0))
        allocator.exchange.handle_message(asked, sender)
        clock.advance(seconds(0.0098))

        allocator.exchange.handle_message(asked, sender)

        assert all(fact.wait_ms >= 1 for fact in sent_facts)

    def test_request_without_permit_is_refused_at_once(self, clock):
        cluster = Cluster(clock, 9)
        cluster.nodes["n0"].limits.apply_answer("t1", 0.5, clock.elapsed())

        refusal = cluster.nodes["n3"].acquire(clock)

        assert refusal.reason is Reason.TARGETS_LIMITED
        assert seconds(2) <= refusal.retry_after <= seconds(4)
        assert refusal.target == "t1"

    def test_permit_of_unsent_request_is_returned(self, clock):
        limits = RateLimits(clock, Metrics())
        limits.apply_answer("t1", 1.0, clock.elapsed())
        limits.record_granted("t1")
        assert limits.use_permit("t1", has_requested=False)
        assert not limits.use_permit("t1", has_requested=False)
        limits.return_permit("t1")
        assert limits.use_permit("t1", has_requested=False)

    @pytest.mark.parametrize(("age", "needs_permit"), [(0.0, True), (3.0, False)])
    def test_node_that_starts_beside_others_needs_a_permit_at_once(
        self, clock, age, needs_permit
    ):
        """Its peers have learned earlier that the target is brittle."""
        limits = RateLimits(clock, Metrics(), start_window=seconds(3))
        clock.advance(seconds(age))
        limits.apply_answer("t", None, clock.elapsed(), max_rejections=5)

        assert limits.use_permit("t", has_requested=True) == (not needs_permit)

    def test_unsent_request_in_grace_returns_no_permit(self, clock):
        limits = RateLimits(clock, Metrics())
        limits.apply_answer("t1", None, clock.elapsed(), 3)
        clock.advance(BRITTLE_GRACE - seconds(0.1))
        assert limits.use_permit("t1", has_requested=False)
        limits.return_permit("t1")
        clock.advance(seconds(0.1))
        assert not limits.use_permit("t1", has_requested=False)

    def test_room_of_unsent_request_is_reused_once(self, clock):
        limits = RateLimits(clock, Metrics())
        limits.apply_answer("t1", None, clock.elapsed(), 3)
        clock.advance(BRITTLE_GRACE)
        for number in (1, 2):
            limits.record_granted("t1", "n0", number)
            assert limits.use_permit("t1", has_requested=True)
        limits.record_end("t1")
        for _ in range(3):
            limits.request_permit("t1", 1)

        limits.return_permit("t1")
        limits.record_end("t1")

        assert limits.use_permit("t1", has_requested=True)
        assert not limits.use_permit("t1", has_requested=True)

    def test_limit_of_unlisted_target_is_kept_for_a_while(self, clock):
        limits = RateLimits(clock, Metrics())
        limits.apply_report("t1", ObservedLimit(1.0, clock.elapsed()))
        limits.remove_expired(lambda target: False)
        assert limits.rates() == {"t1": 1.0}

        clock.advance(seconds(20))
        limits.remove_expired(lambda target: False)
        assert limits.rates() == {}

    @pytest.mark.parametrize(
        ("rate", "valid"), [(0.0, 5.25), (0.5, 2.25), (1.0, 1.25), (10.0, 0.35)]
    )
    def test_permit_expires(self, clock, rate, valid):
        limits = RateLimits(clock, Metrics())
        limits.apply_answer("t1", rate, clock.elapsed())
        limits.record_granted("t1")
        limits.record_granted("t1")
        clock.advance(seconds(valid - 0.01))
        assert limits.use_permit("t1", has_requested=True)
        clock.advance(seconds(0.02))
        assert not limits.use_permit("t1", has_requested=True)
