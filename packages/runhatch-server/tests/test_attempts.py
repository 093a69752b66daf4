"""Tests of attempts: which outcomes are retried, how often and on which targets."""

import socket
from datetime import timedelta

import pytest
from server_cases import make_request

from runhatch_coordination import RetryBudget, SystemClock
from runhatch_server.crashes import CrashDetector
from runhatch_server.decisions._suspect_traits import MOMENT_DURATION
from runhatch_server.observability import (
    Metrics,
    RequestLog,
    RequestTrace,
)
from runhatch_server.refusals import Executed, Reason, Refusal
from runhatch_server.serving import (
    Attempter,
    Dispatcher,
    Hosting,
    PlacementCache,
    TargetIncarnations,
)
from runhatch_server.serving._attempts import RequestContext
from runhatch_server.targets import (
    AttemptReason,
    NotSent,
    RefusedNotRun,
    UnknownResult,
)

FAILED = NotSent(AttemptReason.CONNECT_FAILED)
BUSY = RefusedNotRun(AttemptReason.TARGET_BUSY)
BROKEN = UnknownResult(AttemptReason.CONNECTION_BROKEN)


class ScriptedClient:
    """Returns scripted outcomes and records the URLs of the requests."""

    def __init__(self, outcomes):
        self._outcomes = outcomes
        self.urls = []

    def send(self, request, caller_gone):
        self.urls.append(request.url)
        return self._outcomes[(len(self.urls) - 1) % len(self._outcomes)]


@pytest.fixture
def picture(deployment):
    picture = PlacementCache()
    picture.set_deployment(deployment)
    for index in range(3):
        picture.apply_hosting(Hosting(f"w{index}", 1, ("m0@1",)))
    return picture


class FakeTargetLives(TargetIncarnations):
    """Reports the targets in ``ended_targets`` as refusing connections."""

    def __init__(self, *ended_targets):
        super().__init__("n")
        self._ended_targets = ended_targets

    def refuses_connections(self, target):
        return target.partition("#")[0] in self._ended_targets


def make_crash_watch(clock, lives):
    return CrashDetector(clock, lives, Metrics(), lambda: None)


def make_attempter(picture, client, crashes, clock):
    return Attempter(
        Dispatcher(picture, clock, "d0", 8, 0.5, seed=1),
        client,
        picture,
        RetryBudget(),
        Metrics(),
        clock,
        lambda target: None,
        crashes,
        crashes._targets,
        1,
    )


def make_context(clock, name, fingerprint="x", idempotent=True, traits=()):
    request = make_request(name)
    if not idempotent:
        object.__setattr__(request, "idempotent", False)
    trace = RequestTrace("r", "m", "c", 3, clock.now())
    log = RequestLog("r", "m", "c")
    return RequestContext(
        request, fingerprint, trace, log, lambda: False, traits=traits
    )


def open_requests(picture, outcomes, requests=1, idempotent=True, crashes=None):
    """Open requests against scripted outcomes; return the refusals and the client."""
    clock = SystemClock()
    client = ScriptedClient(outcomes)
    crashes = crashes or make_crash_watch(clock, FakeTargetLives())
    attempter = make_attempter(picture, client, crashes, clock)
    refusals = []
    for index in range(requests):
        context = make_context(clock, f"r{index}", idempotent=idempotent)
        refusals.append(attempter.open_answer(context))
    return refusals, client


class TestAttempter:
    """Retries by outcome."""

    @pytest.mark.parametrize(
        ("outcome", "idempotent", "attempts", "executed"),
        [
            (FAILED, True, 4, Executed.NO),
            (FAILED, False, 4, Executed.NO),
            (BUSY, True, 4, Executed.NO),
            (BUSY, False, 4, Executed.NO),
            (BROKEN, True, 4, Executed.UNKNOWN),
            (BROKEN, False, 1, Executed.UNKNOWN),
        ],
    )
    def test_retries_only_requests_that_may_be_repeated(
        self, picture, outcome, idempotent, attempts, executed
    ):
        """A request that may have run is repeated only if it is idempotent."""
        refusals, client = open_requests(picture, [outcome], idempotent=idempotent)
        assert isinstance(refusals[0], Refusal)
        assert len(client.urls) == attempts
        assert refusals[0].executed is executed

    def test_possibly_run_request_stays_unknown_after_later_refusal(self, picture):
        """A later refusal does not mean that an earlier attempt did not run."""
        refusals, _ = open_requests(picture, [BROKEN, BUSY])
        assert refusals[0].executed is Executed.UNKNOWN

    def test_each_attempt_uses_another_target(self, picture):
        """The first three attempts go to three different targets."""
        _, client = open_requests(picture, [FAILED])
        assert len(set(client.urls[:3])) == 3

    @pytest.mark.parametrize("outcome", [FAILED, BUSY, BROKEN])
    def test_retry_budget_limits_attempts_when_all_targets_fail(self, picture, outcome):
        """If all targets fail, there are fewer than 1.2 attempts per request."""
        _, client = open_requests(picture, [outcome], requests=100)
        assert len(client.urls) < 120


class TestCrashingRequest:
    """Requests that crash engines, which restart under the same names."""

    def test_request_is_sent_to_two_targets_at_most(self, picture):
        """After two targets have crashed, the request is refused."""
        crashes = make_crash_watch(SystemClock(), FakeTargetLives("w0", "w1", "w2"))

        refusals, client = open_requests(picture, [BROKEN], requests=6, crashes=crashes)

        assert len(client.urls) == 2
        assert {refusal.reason for refusal in refusals} == {Reason.CRASHES_TARGETS}
        assert refusals[0].executed is Executed.UNKNOWN
        assert refusals[-1].executed is Executed.NO

    def test_incarnations_of_one_target_count_separately(self, picture):
        """Two crashes of one restarting target count like those of two targets."""
        picture.apply_hosting(Hosting("w1", 2, ()))
        picture.apply_hosting(Hosting("w2", 2, ()))
        crashes = make_crash_watch(SystemClock(), FakeTargetLives("w0"))

        _, client = open_requests(
            picture, [BROKEN], requests=6, idempotent=False, crashes=crashes
        )

        assert len(client.urls) == 2

    def test_node_informed_by_another_does_not_send_the_request(self, picture):
        """A node refuses a request that crashed targets of another node."""
        clock = SystemClock()
        first, second = (
            make_crash_watch(clock, FakeTargetLives("w0", "w1", "w2")) for _ in "ab"
        )
        open_requests(picture, [BROKEN], crashes=first)
        ends, _ = first.take_updates()
        second.receive_ends(ends)

        _, client = open_requests(picture, [BROKEN], crashes=second)

        assert client.urls == []


class TestCrashingPrompt:
    """Different requests whose prompts begin alike, and which crash engines."""

    TRAITS = ("block:a", "block:b")
    TARGETS = ("w0", "w1", "w2")

    def open_in_turn(self, picture, crashes, count):
        """Open ``count`` requests at different moments.

        Return the refusals and the client.
        """
        clock = SystemClock()
        client = ScriptedClient([BROKEN])
        attempter = make_attempter(picture, client, crashes, clock)
        refusals = []
        for index in range(count):
            context = make_context(clock, f"r{index}", f"x{index}", False, self.TRAITS)
            refusals.append(attempter.open_answer(context))
            clock.sleep(MOMENT_DURATION)
        return refusals, client

    def test_two_targets_end_at_most(self, picture):
        crashes = make_crash_watch(SystemClock(), FakeTargetLives(*self.TARGETS))

        refusals, client = self.open_in_turn(picture, crashes, 5)

        assert len(client.urls) == 2
        assert [refusal.reason for refusal in refusals[2:]] == [
            Reason.PROMPT_CRASHES_TARGETS
        ] * 3

    def test_begun_answer_clears_the_prompt(self, picture):
        crashes = make_crash_watch(SystemClock(), FakeTargetLives(*self.TARGETS))
        self.open_in_turn(picture, crashes, 1)
        crashes.traits.record_begun(self.TRAITS)
        _, client = self.open_in_turn(picture, crashes, 1)

        assert len(client.urls) == 1
        assert crashes.check_request("x", self.TRAITS) is None


class TestTargetLives:
    """Ids of the incarnations of a declared target."""

    def test_each_end_starts_a_new_incarnation(self):
        """A repeated report of the same end does not change the id again."""
        lives = TargetIncarnations("n1")
        first = lives.current_id("w0", "http://127.0.0.1:1")
        lives.record_end(first, timedelta())
        second = lives.current_id("w0", "http://127.0.0.1:1")
        lives.record_end(first, timedelta())

        assert first != second
        assert lives.current_id("w0", "http://127.0.0.1:1") == second

    def test_ids_of_different_nodes_differ(self):
        """Two nodes that observe the same end must not produce the same id."""
        ids = {
            TargetIncarnations(node).current_id("w0", "http://a:1")
            for node in ("n1", "n2")
        }

        assert len(ids) == 2

    def test_refuses_only_if_no_process_listens(self):
        """An unknown target does not count as refusing connections."""
        lives = TargetIncarnations("n1")
        with socket.create_server(("127.0.0.1", 0)) as listener:
            url = f"http://127.0.0.1:{listener.getsockname()[1]}"
            incarnation = lives.current_id("w0", url)
            assert not lives.refuses_connections(incarnation)

        assert lives.refuses_connections(incarnation)
        assert not lives.refuses_connections("unknown#n1-0")
