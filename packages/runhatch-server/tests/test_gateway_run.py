"""Attempts of one request: what is tried again, and what callers are promised."""

from dataclasses import replace

import pytest
from gateway_cases import (
    FakeTargets,
    make_balancer,
    make_directory,
    make_request,
    make_route,
    make_target,
    never_gone,
    seconds,
)

from runhatch_server.crashes import CrashWatch
from runhatch_server.decisions import Tried
from runhatch_server.gateway import RetryBounds
from runhatch_server.gateway._answers import WholeAnswer
from runhatch_server.gateway._budget import WindowBudget
from runhatch_server.gateway._forward import OpenedAnswer
from runhatch_server.gateway._messages import AnswerHead
from runhatch_server.gateway._records import RequestRecorder
from runhatch_server.gateway._run import RequestRun, RunParts
from runhatch_server.observability import Metrics
from runhatch_server.refusals import Executed, Reason, Refusal
from runhatch_server.routing import RequestKind
from runhatch_server.targets import (
    AttemptReason,
    NotSent,
    RefusedUnrun,
    UnknownResult,
)

UNREACHED = NotSent(AttemptReason.CONNECT_FAILED)
BUSY = RefusedUnrun(AttemptReason.TARGET_BUSY)
RESTING = RefusedUnrun(AttemptReason.TARGET_BUSY, retry_after=seconds(3))
LEAVING = RefusedUnrun(AttemptReason.TARGET_BUSY, leaving=True)
BROKEN = UnknownResult(AttemptReason.BROKEN)
TIMED_OUT = UnknownResult(AttemptReason.TIMED_OUT)
GONE = UnknownResult(AttemptReason.CALLER_GONE)


class Body:
    """A connection whose answer is there."""

    def __init__(self, body):
        self._body = body

    def set_timeout(self, timeout):
        pass

    def read_whole(self):
        if self._body is None:
            raise ConnectionResetError
        return self._body


def answer(status=200, body=b"ok"):
    head = AnswerHead(status, "", "id", True, False, False, None, seconds(1), ())
    return OpenedAnswer(Body(body), head)


class ScriptedForwarder:
    """Gives each attempt the next result."""

    def __init__(self, results):
        self._results = list(results)
        self.targets = []

    def send(self, request, grant, until, caller_gone, resume_after=""):
        self.targets.append(grant.target.incarnation)
        return self._results.pop(0)

    def finished(self, opened):
        pass

    def abandon(self, opened):
        pass


def run(clock, kind, results, reserve=50, count=4, **route):
    targets = [make_target(f"t{i}", "plain", models=()) for i in range(count)]
    directory = make_directory(clock, *targets)
    balancer = make_balancer(directory, clock)
    forwarder = ScriptedForwarder(results)
    metrics = Metrics()
    crashes = CrashWatch(clock, FakeTargets(), metrics, lambda: None)
    recorder = RequestRecorder(metrics, clock)
    parts = RunParts(balancer, forwarder, recorder, crashes, clock)
    request = make_request(
        clock, make_route(kind, max_attempts=2, **route), "plain", ""
    )
    bounds = RetryBounds(0.0, reserve, seconds(10))
    budget = WindowBudget(bounds, clock)
    outcome = RequestRun(parts, request, budget, never_gone).answer()
    return outcome, forwarder, balancer


IDEMPOTENT = RequestKind.IDEMPOTENT
ONCE = RequestKind.NON_IDEMPOTENT


class TestAttempts:
    """How often a request is sent, by its kind and what became of it."""

    @pytest.mark.parametrize(
        ("kind", "results", "sent", "status"),
        [
            (IDEMPOTENT, [answer()], 1, 200),
            (ONCE, [answer()], 1, 200),
            (ONCE, [UNREACHED, UNREACHED, answer()], 3, 200),
            (ONCE, [BUSY, answer()], 2, 200),
            (IDEMPOTENT, [BROKEN, answer()], 2, 200),
            (IDEMPOTENT, [answer(500), answer()], 2, 200),
            (IDEMPOTENT, [answer(500), answer(500)], 2, 500),
            (IDEMPOTENT, [answer(body=None), answer()], 2, 200),
            (ONCE, [answer(500)], 1, 500),
            (IDEMPOTENT, [answer(404)], 1, 404),
        ],
    )
    def test_answered(self, clock, kind, results, sent, status):
        outcome, forwarder, _ = run(clock, kind, results)

        assert isinstance(outcome, WholeAnswer)
        assert outcome.status == status
        assert len(forwarder.targets) == sent
        assert len(set(forwarder.targets)) == sent

    @pytest.mark.parametrize(
        ("kind", "results", "sent", "status", "executed"),
        [
            (ONCE, [BROKEN], 1, 502, Executed.UNKNOWN),
            (ONCE, [answer(body=None)], 1, 502, Executed.UNKNOWN),
            (ONCE, [BUSY, BROKEN], 2, 502, Executed.UNKNOWN),
            (IDEMPOTENT, [BROKEN, BROKEN], 2, 502, Executed.UNKNOWN),
            (IDEMPOTENT, [BROKEN, BUSY, BUSY, BUSY], 4, 502, Executed.UNKNOWN),
            (ONCE, [BUSY] * 3, 3, 503, Executed.NO),
            (ONCE, [UNREACHED] * 5, 5, 503, Executed.NO),
            (ONCE, [GONE], 1, 499, Executed.UNKNOWN),
        ],
    )
    def test_refused(self, clock, kind, results, sent, status, executed):
        outcome, forwarder, _ = run(clock, kind, results)

        assert isinstance(outcome, Refusal)
        assert (outcome.reason.status, outcome.executed) == (status, executed)
        assert len(forwarder.targets) == sent

    @pytest.mark.parametrize("status", [408, 421, 429, 503])
    def test_no_status_promises_that_nothing_ran_once_it_may_have(self, clock, status):
        outcome, _, _ = run(clock, IDEMPOTENT, [BROKEN, BUSY, BUSY, BUSY])

        assert outcome.reason.status != status

    def test_without_budget_nothing_is_sent_again(self, clock):
        outcome, forwarder, _ = run(clock, IDEMPOTENT, [BROKEN], reserve=0)

        assert isinstance(outcome, Refusal)
        assert len(forwarder.targets) == 1

    def test_places_are_given_back_whatever_happens(self, clock):
        _, _, balancer = run(clock, IDEMPOTENT, [BROKEN, answer(500)])

        assert balancer.loads.own() == {}

    def test_a_refusal_tells_when_to_come_back_if_nothing_ran(self, clock):
        outcome, _, _ = run(clock, ONCE, [BUSY] * 3)

        assert outcome.retry_after > seconds(0)


class TestWishes:
    """What targets ask for in their answers, and who is left to be asked."""

    @pytest.mark.parametrize(
        ("result", "count", "sent", "reason"),
        [
            (BUSY, 1, 1, Reason.TARGETS_BUSY),
            (BUSY, 2, 2, Reason.TARGETS_BUSY),
            (RESTING, 1, 1, Reason.TARGETS_REST),
            (RESTING, 2, 2, Reason.TARGETS_REST),
            (LEAVING, 1, 1, Reason.NO_TARGET),
        ],
    )
    def test_one_that_turned_it_away_is_not_asked_again(
        self, clock, result, count, sent, reason
    ):
        """The only holder of a model was sent a request three times within 3 ms."""
        outcome, forwarder, _ = run(clock, ONCE, [result] * 5, count=count)

        assert len(forwarder.targets) == sent
        assert outcome.reason is reason
        assert outcome.executed is Executed.NO

    def test_a_caller_is_told_how_long_the_rest_lasts(self, clock):
        outcome, _, _ = run(clock, ONCE, [RESTING], count=1)

        assert seconds(3) <= outcome.retry_after <= seconds(3.75)

    def test_what_an_answer_asks_counts_too(self, clock):
        head = replace(answer(503).head, rest=seconds(3), leaving=True)
        _, _, balancer = run(clock, ONCE, [OpenedAnswer(Body(b""), head)], count=1)
        refusal = balancer.acquire(
            make_request(clock, service="plain", model=""), Tried(), never_gone
        )

        assert refusal.reason is Reason.NO_TARGET
