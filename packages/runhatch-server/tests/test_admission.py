"""Admission of bursts of prompts at targets that produce streams."""

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
    never_disconnected,
    seconds,
)

from runhatch_coordination import SystemClock
from runhatch_server.decisions import (
    LoadShare,
    OutstandingRequest,
    TargetLoad,
    TriedTargets,
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


class BalancerCase:
    """A balancer over targets whose streams may pause for at most ``gaps``."""

    def __init__(self, clock, *names, gaps=MAX_GAP):
        self.clock = clock
        directory = make_directory(clock, *(make_target(name) for name in names))
        self.balancer = make_balancer(directory, clock)
        services = {**SERVICES, "engine": replace(SERVICES["engine"], engine=FAST)}
        self.balancer.configure(services, {} if gaps is None else {"engine": gaps})

    def report_peer_load(self, target, waiting_ms, running=4, busy=0.0):
        share = LoadShare((waiting_ms, 0.0, 0.0, 0.0), 1, running, busy=busy)
        self.balancer.loads.apply_peer("other", {target: share}, whole=False)

    def acquire(self, route=CHAT, tokens=300):
        request = make_request(self.clock, route, tokens=tokens)
        return self.balancer.acquire(request, TriedTargets(), never_disconnected)


class TestStreamPauses:
    """New prompts do not pause streams for longer than their routes allow."""

    def test_prompt_goes_to_the_target_where_no_stream_pauses(self, clock):
        """At ``t1`` the queued prompts would cause a longer pause of streams."""
        case = BalancerCase(clock, "t1", "t2")
        case.report_peer_load("t1", 190.0, running=0)
        case.report_peer_load("t2", 0.0)
        assert case.acquire().target.incarnation == "t2"

    @pytest.mark.parametrize(
        ("waiting_ms", "busy", "route", "is_admitted"),
        [
            (0.0, 0.0, CHAT, True),
            (80.0, 0.0, CHAT, True),
            (400.0, 0.0, CHAT, False),
            (80.0, 0.9, CHAT, False),
            (60.0, 0.0, PATIENT, True),
        ],
    )
    def test_prompt_that_would_delay_streams_is_refused(
        self, clock, waiting_ms, busy, route, is_admitted
    ):
        """The prompt's own answer would be in time, but not the streams it delays."""
        case = BalancerCase(clock, "t1")
        case.report_peer_load("t1", waiting_ms, busy=busy)
        if not is_admitted:
            request = make_request(clock, route, tokens=300)
            delayed = replace(request, received_at=request.received_at - seconds(0.2))
            answer = case.balancer.acquire(delayed, TriedTargets(), never_disconnected)
            assert answer.reason is Reason.TOO_BUSY
            assert answer.prediction.pause_ms > MAX_GAP / milliseconds(1) * 0.85
        else:
            assert isinstance(case.acquire(route), Grant)

    def test_prompt_is_sent_if_no_max_gap_is_declared(self, clock):
        case = BalancerCase(clock, "t1", gaps=None)
        case.report_peer_load("t1", 300.0)
        assert isinstance(case.acquire(), Grant)

    def test_prompt_longer_than_any_pause_is_sent_to_an_empty_queue(self, clock):
        """Otherwise the longest prompts would never be served."""
        case = BalancerCase(clock, "t1")
        case.report_peer_load("t1", 0.0)
        assert isinstance(case.acquire(tokens=6_000), Grant)

    def test_request_waits_for_the_queue_to_shorten(self):
        """A request is sent shortly afterwards instead of being refused."""
        clock = SystemClock()
        case = BalancerCase(clock, "t1")
        case.report_peer_load("t1", 220.0)
        answers = []
        caller = threading.Thread(target=lambda: answers.append(case.acquire()))
        caller.start()
        case.report_peer_load("t1", 20.0)
        caller.join(5)
        assert isinstance(answers[0], Grant)

    def test_smallest_max_gap_of_a_services_routes_applies(self):
        """Streams of all routes to a service share its targets' time."""
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


class TestLearnedRates:
    """Estimates of speed follow the measurements."""

    @pytest.mark.parametrize("ms_per_token", [0.006, 0.025, 0.2])
    def test_base_time_and_time_per_token_are_separated(self, ms_per_token):
        """Both are estimated from first tokens of prompts of different lengths."""
        rates = WorkRates()
        base_ms = 12.0
        for i in range(200):
            unread = (200, 1_500, 600, 3_000)[i % 4]
            took = milliseconds(base_ms + unread * ms_per_token)
            sent = OutstandingRequest(0.0, unread, timedelta(), 0.0, 0, unread)
            rates.record_first_token("m", sent, took)
        assert rates.prompt_ms("m", 1_000) == pytest.approx(1_000 * ms_per_token, 0.2)
        assert rates.base_ms == pytest.approx(base_ms, 0.35)

    def test_unmeasured_model_gets_the_average_speed_of_others(self):
        rates = WorkRates()
        for _ in range(200):
            sent = OutstandingRequest(0.0, 1_000, timedelta(), 0.0, 0, 1_000)
            rates.record_first_token("m", sent, milliseconds(35))
        assert rates.prompt_ms("other", 1_000) < 35

    def test_step_time_follows_streams_without_prompt_reading(self):
        load = TargetLoad()
        for step_ms in (6.0, 40.0, 6.0, 30.0, 6.0, 6.0):
            load.record_step_time(step_ms, timedelta())
        assert 5.5 < load.step_ms < 9.0


class TestStreamPace:
    """Pauses between the events of one stream."""

    def test_longest_pause_and_mean_gap_are_computed(self):
        pace = StreamPace()
        for at in (1.0, 1.1, 1.2, 1.6, 1.7):
            pace.record_piece(seconds(at))
        assert pace.longest_pause == seconds(0.4)
        assert pace.mean_gap == pytest.approx(seconds(0.175), abs=milliseconds(1))

    def test_mean_gap_is_none_after_one_event(self):
        pace = StreamPace()
        pace.record_piece(seconds(1))
        assert pace.mean_gap is None
