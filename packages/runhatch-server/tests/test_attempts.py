"""Retries: which outcomes are tried again, how often, and where."""

import pytest
from server_cases import make_request

from runhatch_coordination import RetryBudget, SystemClock
from runhatch_server.observability import (
    Metrics,
    RequestLog,
    RequestTrace,
)
from runhatch_server.refusals import Executed, Refusal
from runhatch_server.serving import Attempter, Dispatcher, Hosting, Picture
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


def attempt(picture, outcomes, requests=1, idempotent=True):
    """Run requests against scripted outcomes; refusals and the client."""
    clock = SystemClock()
    dispatcher = Dispatcher(picture, clock, "d0", 8, 0.5, seed=1)
    client = ScriptedClient(outcomes)
    budget = RetryBudget()
    attempter = Attempter(
        dispatcher, client, picture, budget, Metrics(), clock, lambda target: None, 1
    )
    refusals = []
    for index in range(requests):
        request = make_request(f"r{index}")
        if not idempotent:
            object.__setattr__(request, "idempotent", False)
        trace = RequestTrace("r", "m", "c", 3, clock.now())
        log = RequestLog("r", "m", "c")
        context = RequestContext(request, trace, log, lambda: False)
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
