"""Build refusals of requests, with the delay after which a caller may retry."""

import random
from datetime import timedelta

from runhatch_server.decisions import GatewayRequest, NoCandidates, ScoredTarget
from runhatch_server.refusals import Executed, Prediction, Reason, Refusal
from runhatch_server.residency import HURRIED_GOAL

MISSING_MODEL_RETRY_DELAY = timedelta(seconds=1.5)
LONG_GOAL_MISSING_MODEL_RETRY_DELAY = timedelta(seconds=3)
"""Retry delay for a model that no target holds; the longer one applies if the route's
goal leaves time for a load.  A load from a target's disk takes two seconds, and
callers wait for a retry at most a third of the time that they have."""
MISSING_VERSION_RETRY_DELAY = timedelta(seconds=2)
"""Retry delay for a stream whose software version no target has: one may come back by a
restart, which takes longer than the shortest delay."""
MIN_RETRY_DELAY = timedelta(milliseconds=250)
MAX_RETRY_DELAY = timedelta(seconds=4)
"""Bounds of the retry delay: earlier, little has changed at a target, and callers that
wait longer rarely retry in time."""
MAX_RETRY_JITTER = 0.25
"""Largest relative increase of a retry delay, to spread the retries of callers."""


class RefusalBuilder:
    """Builds refusals of requests that have not run."""

    def __init__(self, seed: int | None) -> None:
        self._random = random.Random(seed)

    def refuse(
        self,
        reason: Reason,
        retry_delay: timedelta = timedelta(),
        best: ScoredTarget | None = None,
    ) -> Refusal:
        """Return a refusal with a retry delay of ``retry_delay``, within bounds.

        ``best`` is the target with the best prediction, if there was one.
        """
        wait = min(max(retry_delay, MIN_RETRY_DELAY), MAX_RETRY_DELAY)
        wait *= self._jitter_factor()
        judged_by = None
        if best is not None:
            judged_by = Prediction(
                best.target.incarnation,
                best.predicted_ms,
                best.busy,
                best.pause_ms,
                best.work_time_factor,
            )
        return Refusal(reason, Executed.NO, retry_after=wait, prediction=judged_by)

    def refuse_unwilling(self, found: NoCandidates) -> Refusal:
        """Return a refusal until a target accepts work again, with no upper bound."""
        wait = max(found.retry_after, MIN_RETRY_DELAY) * self._jitter_factor()
        return Refusal(found.reason, Executed.NO, retry_after=wait, target=found.target)

    def _jitter_factor(self) -> float:
        return self._random.uniform(1.0, 1.0 + MAX_RETRY_JITTER)


def missing_model_retry_delay(request: GatewayRequest) -> timedelta:
    """Return the retry delay for a request whose model no target holds."""
    if request.route.goal < HURRIED_GOAL:
        return MISSING_MODEL_RETRY_DELAY
    return LONG_GOAL_MISSING_MODEL_RETRY_DELAY


def missing_target_retry_delay(request: GatewayRequest) -> timedelta:
    """Return the retry delay for a request that no target may serve."""
    if request.software_version is None:
        return timedelta()
    return MISSING_VERSION_RETRY_DELAY
