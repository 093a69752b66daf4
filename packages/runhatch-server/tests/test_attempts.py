"""Retries: which outcomes are tried again, how often, and where."""

import socket

import pytest
from server_cases import make_request

from runhatch_coordination import RetryBudget, SystemClock
from runhatch_server.crashes import CrashWatch
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
    Picture,
    TargetLives,
)
from runhatch_server.serving._attempts import RequestContext
from runhatch_server.targets import (
    AttemptReason,
    NotSent,
    RefusedUnrun,
    UnknownResult,
)

FAILED = NotSent(AttemptReason.CONNECT_FAILED)
BUSY = RefusedUnrun(AttemptReason.TARGET_BUSY)
BROKEN = UnknownResult(AttemptReason.BROKEN)


class ScriptedClient:
    """Returns set outcomes and notes which target was asked."""

    def __init__(self, outcomes):
        self._outcomes = outcomes
        self.urls = []

    def send(self, request, caller_gone):
        self.urls.append(request.url)
        return self._outcomes[(len(self.urls) - 1) % len(self._outcomes)]


@pytest.fixture
def picture(deployment):
    picture = Picture()
    picture.configure(deployment)
    for index in range(3):
        picture.learn(Hosting(f"w{index}", 1, ("m0@1",)))
    return picture


class Lives(TargetLives):
    """Lives of targets; those named in ``dead`` have ended whenever looked at."""

    def __init__(self, *dead):
        super().__init__("n")
        self._dead = dead

    def refuses(self, target):
        return target.partition("#")[0] in self._dead


def make_crashes(clock, lives):
    return CrashWatch(clock, lives, Metrics(), lambda: None)


def attempt(picture, outcomes, requests=1, idempotent=True, crashes=None):
    """Run requests against scripted outcomes; refusals and the client."""
    clock = SystemClock()
    dispatcher = Dispatcher(picture, clock, "d0", 8, 0.5, seed=1)
    client = ScriptedClient(outcomes)
    crashes = crashes or make_crashes(clock, Lives())
    attempter = Attempter(
        dispatcher,
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
    refusals = []
    for index in range(requests):
        request = make_request(f"r{index}")
        if not idempotent:
            object.__setattr__(request, "idempotent", False)
        trace = RequestTrace("r", "m", "c", 3, clock.now())
        log = RequestLog("r", "m", "c")
        context = RequestContext(request, "x", trace, log, lambda: False)
        refusals.append(attempter.open(context))
    return refusals, client


class TestAttempter:
    """Outcomes and what is made of them."""

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
    def test_tries_again_only_what_may_be(
        self, picture, outcome, idempotent, attempts, executed
    ):
        """A request that may have run is repeated only if it is idempotent."""
        refusals, client = attempt(picture, [outcome], idempotent=idempotent)
        assert isinstance(refusals[0], Refusal)
        assert len(client.urls) == attempts
        assert refusals[0].executed is executed

    def test_unknown_stays_unknown(self, picture):
        """A later refusal as not run does not make an earlier attempt unrun."""
        refusals, _ = attempt(picture, [BROKEN, BUSY])
        assert refusals[0].executed is Executed.UNKNOWN

    def test_goes_to_other_targets(self, picture):
        """Each attempt goes to a target that has not failed yet."""
        _, client = attempt(picture, [FAILED])
        assert len(set(client.urls[:3])) == 3

    @pytest.mark.parametrize("outcome", [FAILED, BUSY, BROKEN])
    def test_no_storm_when_everything_fails(self, picture, outcome):
        """With every target failing attempts stay below 1.2 a request."""
        _, client = attempt(picture, [outcome], requests=100)
        assert len(client.urls) < 120


class TestCrashes:
    """A request that ends engines, which start again under their names."""

    def test_it_is_sent_to_two_and_to_no_more(self, picture):
        crashes = make_crashes(SystemClock(), Lives("w0", "w1", "w2"))

        refusals, client = attempt(picture, [BROKEN], requests=6, crashes=crashes)

        assert len(client.urls) == 2
        assert {refusal.reason for refusal in refusals} == {Reason.ENDS_TARGETS}
        assert refusals[0].executed is Executed.UNKNOWN
        assert refusals[-1].executed is Executed.NO

    def test_two_lives_of_one_engine_are_two(self, picture):
        picture.learn(Hosting("w1", 2, ()))
        picture.learn(Hosting("w2", 2, ()))
        crashes = make_crashes(SystemClock(), Lives("w0"))

        _, client = attempt(
            picture, [BROKEN], requests=6, idempotent=False, crashes=crashes
        )

        assert len(client.urls) == 2

    def test_another_node_that_hears_of_it_sends_it_nowhere(self, picture):
        clock = SystemClock()
        first, second = (make_crashes(clock, Lives("w0", "w1", "w2")) for _ in "ab")
        attempt(picture, [BROKEN], crashes=first)
        ends, _ = first.take_news()
        second.told(ends)

        _, client = attempt(picture, [BROKEN], crashes=second)

        assert client.urls == []


class TestLives:
    """One life of a declared target, as told from the next."""

    def test_each_end_begins_another(self):
        lives = TargetLives("n1")
        first = lives.current("w0", "http://127.0.0.1:1")
        lives.ended(first)
        second = lives.current("w0", "http://127.0.0.1:1")
        lives.ended(first)

        assert first != second
        assert lives.current("w0", "http://127.0.0.1:1") == second

    def test_nodes_name_them_apart(self):
        names = {TargetLives(node).current("w0", "http://a:1") for node in ("n1", "n2")}

        assert len(names) == 2

    def test_one_refuses_only_if_nothing_listens(self):
        lives = TargetLives("n1")
        with socket.create_server(("127.0.0.1", 0)) as listener:
            url = f"http://127.0.0.1:{listener.getsockname()[1]}"
            life = lives.current("w0", url)
            assert not lives.refuses(life)

        assert lives.refuses(life)
        assert not lives.refuses("unknown#n1-0")
