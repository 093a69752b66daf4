"""Rate limits that targets name: what is known of them, and who may send a request."""

import random

import pytest
from gateway_cases import seconds
from rate_limit_cases import World, allowed, most_in_window

from runhatch_coordination import Standing
from runhatch_server.decisions import (
    LimitedTarget,
    LimitSeen,
    PermitBucket,
    most_permits,
    share_of_rate,
)
from runhatch_server.gateway._grant import Grant
from runhatch_server.gateway._rate_limits import RateLimits
from runhatch_server.observability import Metrics
from runhatch_server.peers import LimitOfTarget, Member, PermitAnswer, PermitAsked
from runhatch_server.refusals import Reason
from runhatch_server.targets import UnreadableLimit, limit_named

URGENT, USUAL, LATE = 0, 1, 3
TRIAL_RATE = 0.2
"""Requests a second that a target gets that names a lower limit."""
SENT_LATE = seconds(0.4)
"""How much later than it uses its permit a request may be sent on a busy machine."""


def send(world, rng, demand, duration, choose=None, priority=1):
    """Have requests come at random; return when some went to the target."""
    clock, nodes = world.clock, list(world.nodes.values())
    end = clock.elapsed() + duration
    sent = []
    while clock.elapsed() < end:
        clock.advance(seconds(rng.expovariate(demand)))
        world.requests += 1
        node = (choose or rng.choice)(nodes)
        if isinstance(node.acquire(clock, priority), Grant):
            sent.append(clock.elapsed())
    return sent


class TestNamed:
    """Values of what a target names."""

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
                (value, UnreadableLimit(value))
                for value in ("", "-1", "nan", "inf", "1e3", "ten", "1;2", "4,", "٣")
            ],
            ("9" * 60, UnreadableLimit("9" * 40)),
        ],
    )
    def test_value(self, value, named):
        assert limit_named(value) == named


class TestOrder:
    """Answers overtake each other."""

    @pytest.mark.parametrize(
        ("known", "seen", "newer"),
        [
            (None, LimitSeen(None, seconds(5)), False),
            (None, LimitSeen(2.0, seconds(5)), True),
            (LimitSeen(2.0, seconds(5)), LimitSeen(None, seconds(4.9)), False),
            (LimitSeen(2.0, seconds(5)), LimitSeen(None, seconds(5.1)), True),
            (LimitSeen(None, seconds(5)), LimitSeen(2.0, seconds(4.9)), False),
            (LimitSeen(None, seconds(5)), LimitSeen(2.0, seconds(5.1)), True),
            (LimitSeen(2.0, seconds(5)), LimitSeen(3.0, seconds(4.9)), False),
        ],
    )
    def test_supersedes(self, known, seen, newer):
        assert seen.supersedes(known) is newer

    def test_an_answer_sent_for_before_does_not_end_a_limit(self, clock):
        limits = RateLimits(clock, Metrics())
        sent_at = clock.elapsed()
        clock.advance(seconds(1))
        limits.heard("t1", 2.0, sent_at)
        limits.heard("t1", None, sent_at)
        assert limits.known("t1").rate == 2.0

        sent_at = clock.elapsed() + seconds(0.1)
        clock.advance(seconds(1))
        limits.heard("t1", None, sent_at)
        assert limits.known("t1").rate is None

    def test_what_cannot_be_read_changes_nothing(self, clock):
        limits = RateLimits(clock, Metrics())
        limits.heard("t1", 2.0, clock.elapsed())
        clock.advance(seconds(1))
        limits.heard("t1", UnreadableLimit("many"), clock.elapsed())
        assert limits.known("t1").rate == 2.0


class TestBucket:
    """Permits of one target."""

    @pytest.mark.parametrize("rate", [0.0, 0.05, 1.0, 10.0])
    def test_a_burst_after_a_pause_is_small(self, rate):
        bucket = PermitBucket(rate, seconds(0))
        taken = sum(
            bucket.ask(URGENT, rate, seconds(1000)) is None for _ in range(1000)
        )
        assert taken <= most_permits(rate) <= 5 + rate

    def test_waits_lie_a_permit_apart(self):
        bucket = PermitBucket(2.0, seconds(0))
        waits = [bucket.ask(URGENT, 2.0, seconds(0)) for _ in range(3)]
        assert waits == [seconds(0.5), seconds(1), seconds(1.5)]

    def test_urgent_requests_go_first(self):
        bucket = PermitBucket(1.0, seconds(0))
        at = seconds(1.2)
        assert bucket.ask(LATE, 1.0, at) is not None
        assert bucket.ask(USUAL, 1.0, at) is not None
        assert bucket.ask(URGENT, 1.0, at) is None

    def test_two_allocators_for_a_second_stay_within_the_bound(self):
        """Nodes that disagree on who is alive ask two of them."""
        rate, times = 10.0, []
        first, second = PermitBucket(rate, seconds(0)), PermitBucket(rate, seconds(4))
        for step in range(1000):
            now = seconds(step * 0.01)
            allocators = [first] if step < 400 else [first, second]
            allocators = allocators if step < 500 else [second]
            times += [
                now
                for allocator in allocators
                if allocator.ask(URGENT, rate, now) is None
            ]
        assert most_in_window(times) <= allowed(rate)

    @pytest.mark.parametrize("rate", [0.0, 0.2, 0.5, 1.0, 1.5, 6.0, 10.0, 50.0])
    def test_permits_used_as_late_as_may_be_stay_within_the_bound(self, rate):
        """A burst is kept until it lapses and is sent late, and two allocators give
        out permits for a second from then on."""
        held = LimitedTarget(LimitSeen(rate, seconds(0)))
        held.add(seconds(0))
        sent_at = held.permits[0] + SENT_LATE
        first = PermitBucket(max(rate, TRIAL_RATE), seconds(-100))
        second = PermitBucket(max(rate, TRIAL_RATE), sent_at)
        times = []
        for step in range(1200):
            now = seconds(step * 0.01)
            twice = sent_at <= now < sent_at + seconds(1)
            for allocator in (first, second) if twice else (first,):
                while allocator.ask(URGENT, rate, now) is None:
                    times.append(max(now, sent_at))
        assert most_in_window(times) <= allowed(rate)

    @pytest.mark.parametrize(
        ("alive", "lost", "share"),
        [(9, 0, 1.0), (5, 4, 1.0), (4, 5, 4 / 9), (3, 3, 0.5), (1, 8, 1 / 9)],
    )
    def test_share_of_a_parted_network(self, alive, lost, share):
        assert share_of_rate(alive, lost) == share


class TestReplay:
    """Many nodes before one target that callers want more of than it takes."""

    @pytest.mark.parametrize("count", [9, 91, 195, 390])
    @pytest.mark.parametrize("rate", [0.5, 1.2, 10.0])
    def test_the_limit_is_kept_and_used(self, clock, count, rate):
        world = World(clock, count)
        rng = random.Random(count)
        next(iter(world.nodes.values())).limits.heard("t1", rate, clock.elapsed())
        world.messages = 0
        duration = seconds(max(20, 20 / rate))

        sent = send(world, rng, 4 * rate, duration)

        assert most_in_window(sent) <= allowed(rate)
        assert len(sent) >= 0.8 * rate * duration.total_seconds()
        assert world.messages <= 2 * world.requests

    def test_a_parted_network_stays_within_the_bound(self, clock):
        world = World(clock, 9)
        rate = 4.0
        nodes = list(world.nodes.values())
        nodes[0].limits.heard("t1", rate, clock.elapsed())
        for side in (nodes[:3], nodes[3:]):
            others = [node.vm for node in nodes if node not in side]
            for node in side:
                node.suspect(others)

        sent = send(world, random.Random(1), 4 * rate, seconds(20))

        assert most_in_window(sent) <= allowed(rate)

    def test_urgent_requests_get_the_permits(self, clock):
        world = World(clock, 9)
        next(iter(world.nodes.values())).limits.heard("t1", 2.0, clock.elapsed())
        rng, sent = random.Random(1), {0: 0, 1: 0}
        for _ in range(400):
            priority = rng.choice([0, 1])
            sent[priority] += len(send(world, rng, 8, seconds(0.01), None, priority))
        assert sent[0] > 2 * sent[1]


class TestExchange:
    """Limits and permits between nodes."""

    def test_all_know_at_once(self, clock):
        world = World(clock, 9)
        world.nodes["n0"].limits.heard("t1", 1.0, clock.elapsed())
        assert {node.limits.known("t1").rate for node in world.nodes.values()} == {1.0}

        clock.advance(seconds(1))
        world.nodes["n5"].limits.heard("t1", None, clock.elapsed())
        assert {node.limits.known("t1").rate for node in world.nodes.values()} == {None}

    def test_a_node_that_starts_is_told(self, clock):
        world = World(clock, 3)
        world.nodes["n0"].limits.heard("t1", 1.0, clock.elapsed())
        (told,) = world.nodes["n1"].exchange.state()
        assert [(limit.target, limit.rate) for limit in told.limits] == [("t1", 1.0)]

    def test_a_allocator_that_did_not_hear_of_the_limit_learns_it(self, clock):
        world = World(clock, 3)
        allocator = world.allocator()
        allocator.silent = True
        other = next(n for n in world.nodes.values() if n is not allocator)
        other.limits.heard("t1", 1.0, clock.elapsed())
        allocator.silent = False
        other.exchange.ask("t1", URGENT)
        assert allocator.limits.known("t1").rate == 1.0

    def test_a_node_that_takes_another_for_the_allocator_gives_none(self, clock):
        world = World(clock, 3)
        allocator = world.allocator()
        other = next(n for n in world.nodes.values() if n is not allocator)
        other.limits.heard("t1", 100.0, clock.elapsed())
        clock.advance(seconds(10))
        told = []
        other.exchange._send = lambda address, fact: told.append(fact)

        asked = PermitAsked(URGENT, LimitOfTarget("t1", 100.0, 0))
        other.exchange.take_in(asked, Member("x", "d", "x", 1, Standing.ALIVE))

        assert told == [PermitAnswer("t1", URGENT, 200)]

    def test_a_wait_below_a_millisecond_is_told_as_one(self, clock):
        """Told as none it was over at once, and the question looked unanswered."""
        world = World(clock, 3)
        allocator = world.allocator()
        allocator.limits.heard("t1", 100.0, clock.elapsed())
        told = []
        allocator.exchange._send = lambda address, fact: told.append(fact)
        sender = Member("x", "d", "x", 1, Standing.ALIVE)
        asked = PermitAsked(URGENT, LimitOfTarget("t1", 100.0, 0))
        allocator.exchange.take_in(asked, sender)
        clock.advance(seconds(0.0098))

        allocator.exchange.take_in(asked, sender)

        assert all(fact.wait_ms >= 1 for fact in told)

    def test_without_permits_a_request_is_refused_at_once(self, clock):
        world = World(clock, 9)
        world.nodes["n0"].limits.heard("t1", 0.5, clock.elapsed())

        refusal = world.nodes["n3"].acquire(clock)

        assert refusal.reason is Reason.TARGETS_LIMITED
        assert seconds(2) <= refusal.retry_after <= seconds(4)
        assert refusal.target == "t1"

    def test_a_request_that_was_not_sent_gives_its_permit_back(self, clock):
        limits = RateLimits(clock, Metrics())
        limits.heard("t1", 1.0, clock.elapsed())
        limits.granted("t1")
        assert limits.take("t1", asked=False)
        assert not limits.take("t1", asked=False)
        limits.give_back("t1")
        assert limits.take("t1", asked=False)

    def test_the_limit_of_a_target_that_is_not_listed_yet_is_kept(self, clock):
        limits = RateLimits(clock, Metrics())
        limits.told("t1", LimitSeen(1.0, clock.elapsed()))
        limits.forget(lambda target: False)
        assert limits.rates() == {"t1": 1.0}

        clock.advance(seconds(20))
        limits.forget(lambda target: False)
        assert limits.rates() == {}

    @pytest.mark.parametrize(
        ("rate", "valid"), [(0.0, 5.25), (0.5, 2.25), (1.0, 1.25), (10.0, 0.35)]
    )
    def test_a_permit_lapses(self, clock, rate, valid):
        limits = RateLimits(clock, Metrics())
        limits.heard("t1", rate, clock.elapsed())
        limits.granted("t1")
        limits.granted("t1")
        clock.advance(seconds(valid - 0.01))
        assert limits.take("t1", asked=True)
        clock.advance(seconds(0.02))
        assert not limits.take("t1", asked=True)
