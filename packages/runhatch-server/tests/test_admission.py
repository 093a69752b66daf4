"""Prompts in clumps at targets that make streams: who is sent, who waits."""

import threading
from dataclasses import replace
from datetime import timedelta

import pytest
from gateway_cases import (
    ENGINE,
    SERVICES,
    make_balancer,
    make_directory,
    make_request,
    make_route,
    make_target,
    never_gone,
    seconds,
)

from runhatch_coordination import SystemClock
from runhatch_server.decisions import (
    LoadShare,
    Outstanding,
    TargetLoad,
    Tried,
    WorkRates,
)
from runhatch_server.gateway._grant import Grant
from runhatch_server.gateway._pace import StreamPace
from runhatch_server.refusals import Reason
from runhatch_server.routing import RouteTable, RoutingConfiguration, ServiceShare

MAX_GAP = timedelta(milliseconds=250)
EVENT_TOKENS = 6
FAST = replace(ENGINE, event_tokens=EVENT_TOKENS)
CHAT = make_route(goal=seconds(0.4), timeout=seconds(12), priority=0)
PATIENT = make_route(goal=seconds(5), timeout=seconds(20), priority=1)


def milliseconds(value):
    return timedelta(milliseconds=value)


class Bench:
    """A balancer over targets whose streams may pause for ``MAX_GAP``."""

    def __init__(self, clock, *names, gaps=MAX_GAP):
        self.clock = clock
        directory = make_directory(clock, *(make_target(name) for name in names))
        self.balancer = make_balancer(directory, clock)
        services = {**SERVICES, "engine": replace(SERVICES["engine"], engine=FAST)}
        self.balancer.configure(services, {} if gaps is None else {"engine": gaps})

    def peer(self, target, waiting_ms, running=4, busy=0.0):
        share = LoadShare((waiting_ms, 0.0, 0.0, 0.0), 1, running, busy=busy)
        self.balancer.loads.of_peer("other", {target: share}, whole=False)

    def ask(self, route=CHAT, tokens=300):
        request = make_request(self.clock, route, tokens=tokens)
        return self.balancer.acquire(request, Tried(), never_gone)


class TestPauses:
    """Streams in progress are not parted beyond what their routes allow."""

    def test_a_clump_goes_to_the_target_where_nobody_pauses(self, clock):
        """The other begins later, but its streams stay in time."""
        bench = Bench(clock, "t1", "t2")
        bench.peer("t1", 190.0, running=0)
        bench.peer("t2", 0.0)
        assert bench.ask().target.incarnation == "t2"

    @pytest.mark.parametrize(
        ("waiting_ms", "busy", "route", "taken"),
        [
            (0.0, 0.0, CHAT, True),
            (80.0, 0.0, CHAT, True),
            (400.0, 0.0, CHAT, False),
            (80.0, 0.9, CHAT, False),
            (60.0, 0.0, PATIENT, True),
        ],
    )
    def test_one_prompt_too_many_is_refused(
        self, clock, waiting_ms, busy, route, taken
    ):
        """Its answer would be in time, those of twenty others would not."""
        bench = Bench(clock, "t1")
        bench.peer("t1", waiting_ms, busy=busy)
        if not taken:
            request = make_request(clock, route, tokens=300)
            old = replace(request, received=request.received - seconds(0.2))
            answer = bench.balancer.acquire(old, Tried(), never_gone)
            assert answer.reason is Reason.TOO_BUSY
            assert answer.judged_by.pause_ms > MAX_GAP / milliseconds(1) * 0.85
        else:
            assert isinstance(bench.ask(route), Grant)

    def test_without_a_declared_pause_it_is_sent(self, clock):
        bench = Bench(clock, "t1", gaps=None)
        bench.peer("t1", 300.0)
        assert isinstance(bench.ask(), Grant)

    def test_a_prompt_longer_than_any_pause_goes_to_an_empty_queue(self, clock):
        """Otherwise the largest requests would never be served."""
        bench = Bench(clock, "t1")
        bench.peer("t1", 0.0)
        assert isinstance(bench.ask(tokens=6_000), Grant)

    def test_a_short_wait_lets_the_queue_shorten(self):
        """A request is sent a moment later instead of being refused."""
        clock = SystemClock()
        bench = Bench(clock, "t1")
        bench.peer("t1", 220.0)
        answers = []
        asking = threading.Thread(target=lambda: answers.append(bench.ask()))
        asking.start()
        bench.peer("t1", 20.0)
        asking.join(5)
        assert isinstance(answers[0], Grant)

    def test_the_shortest_pause_of_a_services_routes_counts(self):
        """Streams of all routes share their targets' time."""
        routes = [
            make_route(max_gap=gap, path_prefix=f"/{i}/", shares=(share,))
            for i, (gap, share) in enumerate(
                [
                    (seconds(0.4), ServiceShare("engine", 1)),
                    (seconds(0.25), ServiceShare("engine", 1)),
                    (None, ServiceShare("plain", 1)),
                ]
            )
        ]
        table = RouteTable(RoutingConfiguration(1, tuple(routes), ()))
        assert table.max_gaps == {"engine": seconds(0.25)}


class TestLearning:
    """What is believed of targets follows what is seen."""

    @pytest.mark.parametrize("ms_per_token", [0.006, 0.025, 0.2])
    def test_speeds_and_base_are_told_apart(self, ms_per_token):
        """After some forty first tokens both are known within a fifth."""
        rates = WorkRates()
        base_ms = 12.0
        for i in range(200):
            unread = (200, 1_500, 600, 3_000)[i % 4]
            took = milliseconds(base_ms + unread * ms_per_token)
            sent = Outstanding(0.0, unread, timedelta(), 0.0, 0, unread)
            rates.first_token("m", sent, took)
        assert rates.prompt_ms("m", 1_000) == pytest.approx(1_000 * ms_per_token, 0.2)
        assert rates.base_ms == pytest.approx(base_ms, 0.35)

    def test_a_model_not_seen_yet_is_taken_for_one_like_the_others(self):
        rates = WorkRates()
        for _ in range(200):
            sent = Outstanding(0.0, 1_000, timedelta(), 0.0, 0, 1_000)
            rates.first_token("m", sent, milliseconds(35))
        assert rates.prompt_ms("other", 1_000) < 35

    def test_steps_follow_streams_between_which_nothing_was_read(self):
        load = TargetLoad()
        for step_ms in (6.0, 40.0, 6.0, 30.0, 6.0, 6.0):
            load.stepped(step_ms)
        assert 5.5 < load.step_ms < 9.0


class TestStreamPace:
    """Times of the events of one stream."""

    def test_the_longest_pause_and_the_mean_are_told(self):
        pace = StreamPace()
        for at in (1.0, 1.1, 1.2, 1.6, 1.7):
            pace.piece(seconds(at))
        assert pace.longest_pause == seconds(0.4)
        assert pace.mean_gap == pytest.approx(seconds(0.175), abs=milliseconds(1))

    def test_few_events_tell_no_mean(self):
        pace = StreamPace()
        pace.piece(seconds(1))
        assert pace.mean_gap is None
