"""Requests on a node that is stopping: what can end in time is served, no more.

Requests that came late in a stop were sent to targets and cut at the node's exit
without an answer, among them some that may not be repeated.
"""

import socket
from dataclasses import replace

import pytest
from gateway_cases import (
    make_balancer,
    make_directory,
    make_request,
    make_route,
    make_target,
    never_disconnected,
    seconds,
)
from run_cases import make_answer
from test_forwarded_runs import Node
from test_late_copies import Codec, make_attempt, send

from runhatch_coordination import SystemClock
from runhatch_server.decisions import RecentDurations, TriedTargets
from runhatch_server.gateway._answers import CompleteAnswer
from runhatch_server.gateway._connections import ConnectionPool
from runhatch_server.gateway._forward import Forwarder
from runhatch_server.gateway._grant import Grant
from runhatch_server.refusals import Executed, Reason, Refusal
from runhatch_server.routing import RequestKind
from runhatch_server.targets import AttemptReason, UnknownResult

GRACE = seconds(7.5)
KINDS = [RequestKind.IDEMPOTENT, RequestKind.NON_IDEMPOTENT]


class TestRecentDurations:
    """How long the next request may last."""

    @pytest.mark.parametrize(
        ("recorded", "time_left", "longest"),
        [
            ([], 15, 15),
            ([("r", 2)], 15, 2.5),
            ([("r", 2), ("r", 4), ("r", 1)], 15, 5),
            ([("r", 4)], 3, 3),
            ([("other", 2)], 15, 2.5),
            ([("other", 8), ("r", 2)], 15, 2.5),
            ([("r", 8)] + [("r", 2)] * 16, 15, 2.5),
        ],
        ids=[
            "nothing known",
            "one request",
            "longest of several",
            "no longer than its deadline",
            "of other routes",
            "of its own route first",
            "old ones are forgotten",
        ],
    )
    def test_longest_recent_request_of_the_route_counts(
        self, recorded, time_left, longest
    ):
        durations = RecentDurations()
        for route, duration in recorded:
            durations.record(route, seconds(duration))

        assert durations.estimate_longest("r", seconds(time_left)) == seconds(longest)


class TestBalancer:
    """What a stopping node still sends to targets."""

    def make_running(self, clock, kind, duration):
        """Return a balancer, and the route whose requests last ``duration``."""
        route = make_route(kind, timeout=seconds(15), goal=seconds(12), patience=None)
        balancer = make_balancer(
            make_directory(clock, make_target("t1", "plain", models=())), clock
        )
        grant = self.acquire(balancer, clock, route)
        clock.advance(seconds(duration))
        balancer.release(grant, target_failed=False)
        return balancer, route

    def make_stopping(self, clock, kind, duration):
        """Return a balancer that stops, and the route whose requests last so long."""
        balancer, route = self.make_running(clock, kind, duration)
        balancer.close(clock.elapsed() + GRACE)
        return balancer, route

    def acquire(self, balancer, clock, route):
        request = make_request(clock, route, "plain", "")
        return balancer.acquire(request, TriedTargets(), never_disconnected)

    @pytest.mark.parametrize("kind", [*KINDS, RequestKind.STREAM])
    @pytest.mark.parametrize(
        ("duration", "after", "is_served"),
        [
            (0.1, 0, True),
            (4.5, 1, True),
            (4.5, 2.2, False),
            (1, 2.4, True),
            (12, 0, False),
        ],
    )
    def test_request_is_served_if_it_ends_before_the_exit(
        self, clock, kind, duration, after, is_served
    ):
        balancer, route = self.make_stopping(clock, kind, duration)
        clock.advance(seconds(after))

        outcome = self.acquire(balancer, clock, route)

        assert isinstance(outcome, Grant) is is_served
        if not is_served:
            assert outcome == Refusal(
                Reason.STOPPING, Executed.NO, retry_after=seconds(0)
            )

    @pytest.mark.parametrize("kind", KINDS)
    def test_late_short_requests_are_served(self, clock, kind):
        balancer, route = self.make_stopping(clock, kind, 2)
        clock.advance(seconds(4))

        assert isinstance(self.acquire(balancer, clock, route), Grant)

    def test_node_that_does_not_stop_refuses_nothing(self, clock):
        balancer, route = self.make_running(clock, RequestKind.IDEMPOTENT, 12)

        assert isinstance(self.acquire(balancer, clock, route), Grant)


class TestRun:
    """Requests as their callers see them."""

    def test_request_for_peers_is_not_forwarded_if_it_cannot_end(self, clock):
        node = Node(clock, [], [make_answer()])
        node.balancer.close(clock.elapsed() + seconds(0.1))

        refusal = node.run()

        assert refusal.reason is Reason.STOPPING
        assert refusal.executed is Executed.NO
        assert node.peers.sent == 0

    @pytest.mark.parametrize("kind", KINDS)
    def test_request_that_runs_at_the_exit_is_answered_as_unknown(self, clock, kind):
        exits = UnknownResult(AttemptReason.NODE_EXITS)
        node = Node(clock, [exits, make_answer()], [])

        refusal = node.run(kind)

        assert refusal.reason.status == 502
        assert refusal.executed is Executed.UNKNOWN
        assert len(node.forwarder.results) == 1

    def test_request_is_served_until_the_exit(self, clock):
        node = Node(clock, [make_answer()], [])
        node.balancer.close(clock.elapsed() + GRACE)

        assert isinstance(node.run(), CompleteAnswer)


class TestForwarder:
    """Waits for targets that do not answer before the exit."""

    def test_wait_ends_before_the_exit(self):
        clock = SystemClock()
        with socket.create_server(("127.0.0.1", 0)) as silent:
            target = replace(make_target(), port=silent.getsockname()[1])
            forwarder = Forwarder(ConnectionPool(clock), Codec(), clock)
            started_at = clock.elapsed()
            forwarder.waits_until = started_at + seconds(0.3)

            result = send(forwarder, make_attempt(clock), target)

        assert result == UnknownResult(AttemptReason.NODE_EXITS)
        assert clock.elapsed() - started_at < seconds(1)
