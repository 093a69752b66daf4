"""Attempts of one request: which are retried, and what refusals promise callers."""

from dataclasses import replace

import pytest
from gateway_cases import (
    FakeTargets,
    make_balancer,
    make_directory,
    make_request,
    make_route,
    make_target,
    never_disconnected,
    seconds,
)
from run_cases import ScriptedForwarder, ScriptedVersions, make_answer

from runhatch_server.crashes import CrashDetector
from runhatch_server.decisions import ObservedEnd, TriedTargets
from runhatch_server.gateway import RetryBounds
from runhatch_server.gateway._answers import CompleteAnswer
from runhatch_server.gateway._budget import WindowedRetryBudget
from runhatch_server.gateway._records import RequestRecorder
from runhatch_server.gateway._run import RequestRun
from runhatch_server.gateway._run_parts import RunParts
from runhatch_server.observability import Metrics
from runhatch_server.refusals import Executed, Reason, Refusal
from runhatch_server.routing import RequestKind
from runhatch_server.targets import (
    AttemptReason,
    NotSent,
    RefusedNotRun,
    UnknownResult,
)

UNREACHED = NotSent(AttemptReason.CONNECT_FAILED)
BUSY = RefusedNotRun(AttemptReason.TARGET_BUSY)
BACKING_OFF = RefusedNotRun(AttemptReason.TARGET_BUSY, retry_after=seconds(3))
DRAINING = RefusedNotRun(AttemptReason.TARGET_BUSY, draining=True)
BROKEN = UnknownResult(AttemptReason.CONNECTION_BROKEN)
TIMED_OUT = UnknownResult(AttemptReason.TIMED_OUT)
CALLER_GONE = UnknownResult(AttemptReason.CALLER_GONE)


def run(clock, kind, results, reserve=50, count=4, crashes=None, **route):
    targets = [make_target(f"t{i}", "plain", models=()) for i in range(count)]
    directory = make_directory(clock, *targets)
    balancer = make_balancer(directory, clock)
    forwarder = ScriptedForwarder(results)
    metrics = Metrics()
    crashes = crashes or CrashDetector(clock, FakeTargets(), metrics, lambda: None)
    recorder = RequestRecorder(metrics, clock)
    parts = RunParts(balancer, forwarder, recorder, crashes, clock, ScriptedVersions())
    request = make_request(
        clock, make_route(kind, max_attempts=2, **route), "plain", ""
    )
    bounds = RetryBounds(0.0, reserve, seconds(10))
    budget = WindowedRetryBudget(bounds, clock)
    outcome = RequestRun(parts, request, budget, never_disconnected).answer()
    return outcome, forwarder, balancer


IDEMPOTENT = RequestKind.IDEMPOTENT
NON_IDEMPOTENT = RequestKind.NON_IDEMPOTENT


class TestAttempts:
    """Number of attempts of a request, by its kind and their results."""

    @pytest.mark.parametrize(
        ("kind", "results", "sent", "status"),
        [
            (IDEMPOTENT, [make_answer()], 1, 200),
            (NON_IDEMPOTENT, [make_answer()], 1, 200),
            (NON_IDEMPOTENT, [UNREACHED, UNREACHED, make_answer()], 3, 200),
            (NON_IDEMPOTENT, [BUSY, make_answer()], 2, 200),
            (IDEMPOTENT, [BROKEN, make_answer()], 2, 200),
            (IDEMPOTENT, [make_answer(500), make_answer()], 2, 200),
            (IDEMPOTENT, [make_answer(500), make_answer(500)], 2, 500),
            (IDEMPOTENT, [make_answer(body=None), make_answer()], 2, 200),
            (NON_IDEMPOTENT, [make_answer(500)], 1, 500),
            (IDEMPOTENT, [make_answer(404)], 1, 404),
        ],
    )
    def test_request_is_answered(self, clock, kind, results, sent, status):
        outcome, forwarder, _ = run(clock, kind, results)

        assert isinstance(outcome, CompleteAnswer)
        assert outcome.status == status
        assert len(forwarder.targets) == sent
        assert len(set(forwarder.targets)) == sent

    @pytest.mark.parametrize(
        ("kind", "results", "sent", "status", "executed"),
        [
            (NON_IDEMPOTENT, [BROKEN], 1, 502, Executed.UNKNOWN),
            (NON_IDEMPOTENT, [make_answer(body=None)], 1, 502, Executed.UNKNOWN),
            (NON_IDEMPOTENT, [BUSY, BROKEN], 2, 502, Executed.UNKNOWN),
            (IDEMPOTENT, [BROKEN, BROKEN], 2, 502, Executed.UNKNOWN),
            (IDEMPOTENT, [BROKEN, BUSY, BUSY, BUSY], 4, 502, Executed.UNKNOWN),
            (NON_IDEMPOTENT, [BUSY] * 3, 3, 503, Executed.NO),
            (NON_IDEMPOTENT, [UNREACHED] * 5, 5, 503, Executed.NO),
            (NON_IDEMPOTENT, [CALLER_GONE], 1, 499, Executed.UNKNOWN),
        ],
    )
    def test_request_is_refused(self, clock, kind, results, sent, status, executed):
        outcome, forwarder, _ = run(clock, kind, results)

        assert isinstance(outcome, Refusal)
        assert (outcome.reason.status, outcome.executed) == (status, executed)
        assert len(forwarder.targets) == sent

    @pytest.mark.parametrize("status", [408, 421, 429, 503])
    def test_status_does_not_promise_unrun_request_after_unknown_result(
        self, clock, status
    ):
        outcome, _, _ = run(clock, IDEMPOTENT, [BROKEN, BUSY, BUSY, BUSY])

        assert outcome.reason.status != status

    def test_request_is_not_retried_without_budget(self, clock):
        outcome, forwarder, _ = run(clock, IDEMPOTENT, [BROKEN], reserve=0)

        assert isinstance(outcome, Refusal)
        assert len(forwarder.targets) == 1

    def test_grants_are_released_after_failures(self, clock):
        _, _, balancer = run(clock, IDEMPOTENT, [BROKEN, make_answer(500)])

        assert balancer.loads.own() == {}

    def test_refusal_of_unrun_request_has_retry_delay(self, clock):
        outcome, _, _ = run(clock, NON_IDEMPOTENT, [BUSY] * 3)

        assert outcome.retry_after > seconds(0)


class TestTargetRequests:
    """Backoff and draining that targets request in their answers."""

    @pytest.mark.parametrize(
        ("result", "count", "sent", "reason"),
        [
            (BUSY, 1, 1, Reason.TARGETS_BUSY),
            (BUSY, 2, 2, Reason.TARGETS_BUSY),
            (BACKING_OFF, 1, 1, Reason.TARGETS_BACK_OFF),
            (BACKING_OFF, 2, 2, Reason.TARGETS_BACK_OFF),
            (DRAINING, 1, 1, Reason.NO_TARGET),
        ],
    )
    def test_target_that_refused_is_not_tried_again(
        self, clock, result, count, sent, reason
    ):
        """The only holder of a model would get the same request three times in 3 ms."""
        outcome, forwarder, _ = run(clock, NON_IDEMPOTENT, [result] * 5, count=count)

        assert len(forwarder.targets) == sent
        assert outcome.reason is reason
        assert outcome.executed is Executed.NO

    def test_retry_delay_covers_backoff_of_target(self, clock):
        outcome, _, _ = run(clock, NON_IDEMPOTENT, [BACKING_OFF], count=1)

        assert seconds(3) <= outcome.retry_after <= seconds(3.75)

    def test_backoff_and_draining_in_answer_are_applied(self, clock):
        answer = make_answer(503)
        answer.head = replace(answer.head, backoff=seconds(3), draining=True)
        _, _, balancer = run(clock, NON_IDEMPOTENT, [answer], count=1)
        refusal = balancer.acquire(
            make_request(clock, service="plain", model=""),
            TriedTargets(),
            never_disconnected,
        )

        assert refusal.reason is Reason.NO_TARGET


class TestCrashRecord:
    """What an answer says of the target that sent it."""

    @pytest.mark.parametrize("is_framed", [True, False])
    def test_target_is_probed_after_an_answer_without_framing(self, clock, is_framed):
        """Its connection would have ended like this if it had crashed."""
        crashes = CrashDetector(clock, FakeTargets(), Metrics(), lambda: None)

        run(clock, IDEMPOTENT, [make_answer(is_framed=is_framed)], crashes=crashes)

        assert crashes.recheck_requested.is_set() is not is_framed


class TestHeldPrompt:
    """Requests whose prompts have a part under which targets ended."""

    TRAIT = "part:x"

    def run_request(self, clock, results, during_acquire=lambda: None):
        """Run a request with ``TRAIT``; return outcome, crash detector, balancer."""
        target = make_target("t0")
        balancer = make_balancer(make_directory(clock, target), clock)
        acquire = balancer.acquire

        def acquire_late(*arguments):
            during_acquire()
            return acquire(*arguments)

        balancer.acquire = acquire_late
        metrics = Metrics()
        parts = RunParts(
            balancer,
            ScriptedForwarder(results),
            RequestRecorder(metrics, clock),
            self.crashes,
            clock,
            ScriptedVersions(),
        )
        route = make_route(IDEMPOTENT)
        request = replace(make_request(clock, route), traits=(self.TRAIT,))
        budget = WindowedRetryBudget(RetryBounds(0.0, 0, seconds(10)), clock)
        outcome = RequestRun(parts, request, budget, never_disconnected).answer()
        return outcome, parts.forwarder, balancer

    def hold(self, clock):
        for name in ("a", "b"):
            end = ObservedEnd(self.TRAIT, name, clock.elapsed())
            self.crashes.receive_ends([end])
            clock.advance(seconds(1))

    @pytest.fixture(autouse=True)
    def crashes(self, clock):
        self.crashes = CrashDetector(clock, FakeTargets(), Metrics(), lambda: None)

    def test_request_that_waited_meanwhile_is_not_sent(self, clock):
        """It may have waited seconds for a model whose targets just ended."""
        refusal, forwarder, balancer = self.run_request(
            clock, [make_answer()], lambda: self.hold(clock)
        )

        assert refusal.reason is Reason.PROMPT_CRASHES_TARGETS
        assert refusal.executed is Executed.NO
        assert forwarder.targets == []
        assert not balancer.loads.count_own("t0")

    def test_complete_answer_clears_the_part(self, clock):
        self.hold(clock)
        clock.advance(seconds(60))
        answer, _, _ = self.run_request(clock, [make_answer()])

        assert answer.status == 200
        assert self.crashes.check_request("other", (self.TRAIT,), "key") is None
        assert self.crashes.check_request("other", (self.TRAIT,), "key 2") is None

    def test_broken_trial_is_not_repeated(self, clock):
        self.hold(clock)
        clock.advance(seconds(60))
        refusal, forwarder, _ = self.run_request(clock, [BROKEN, make_answer()])

        assert refusal.executed is Executed.UNKNOWN
        assert len(forwarder.targets) == 1

    def test_rejected_trial_is_repeated_with_another_request(self, clock):
        self.hold(clock)
        clock.advance(seconds(60))
        self.run_request(clock, [BUSY])
        answer, _, _ = self.run_request(clock, [make_answer()])

        assert answer.status == 200


class TestBrokenConnection:
    """A target whose connection breaks is probed, so that other requests avoid it."""

    @pytest.mark.parametrize(
        ("result", "is_probed"),
        [
            (BROKEN, True),
            (make_answer(body=None), True),
            (make_answer(), False),
            (UnknownResult(AttemptReason.TIMED_OUT), False),
        ],
    )
    def test_probe_is_requested(self, clock, result, is_probed):
        _, _, balancer = run(clock, NON_IDEMPOTENT, [result])

        assert balancer.paths.failure_recorded.is_set() == is_probed
