"""Build refusals of requests, with the delay after which a caller may retry."""

import random
from datetime import timedelta

from runhatch_server.decisions import GatewayRequest, NoneWilling, Scored
from runhatch_server.refusals import Executed, Prediction, Reason, Refusal
from runhatch_server.residency import HURRIED_GOAL

MISSING_RETRY = timedelta(seconds=1.5)
PATIENT_MISSING_RETRY = timedelta(seconds=3)
"""Retry delay for a model that no target holds; the longer one applies if the route's
goal leaves time for a load.  A load from a target's disk takes two seconds, and
callers wait at most a third of their time."""
SHORTEST_RETRY = timedelta(milliseconds=250)
LONGEST_RETRY = timedelta(seconds=4)
"""Bounds of the retry delay: earlier, little has changed at a target, and callers that
wait longer rarely retry in time."""
RETRY_JITTER = 0.25
"""Largest relative increase of a retry delay, to spread the retries of callers."""


class Refuser:
    """Builds refusals of requests that have not run."""

    def __init__(self, seed: int | None) -> None:
        self._random = random.Random(seed)

    def refuse(
        self,
        reason: Reason,
        helps_after: timedelta = timedelta(),
        best: Scored | None = None,
    ) -> Refusal:
        """Return a refusal with a retry delay of ``helps_after``, within bounds.

        ``best`` is the target with the best prediction, if there was one.
        """
        wait = min(max(helps_after, SHORTEST_RETRY), LONGEST_RETRY)
        wait *= self._jitter_factor()
        judged_by = None
        if best is not None:
            judged_by = Prediction(
                best.target.incarnation,
                best.predicted_ms,
                best.busy,
                best.pause_ms,
            )
        return Refusal(reason, Executed.NO, retry_after=wait, judged_by=judged_by)

    def refuse_unwilling(self, found: NoneWilling) -> Refusal:
        """Return a refusal until a target accepts work again, with no upper bound."""
        wait = max(found.after, SHORTEST_RETRY) * self._jitter_factor()
        return Refusal(found.reason, Executed.NO, retry_after=wait, target=found.target)

    def _jitter_factor(self) -> float:
        return self._random.uniform(1.0, 1.0 + RETRY_JITTER)


def missing_retry(request: GatewayRequest) -> timedelta:
    """Return the retry delay for a request whose model no target holds."""
    if request.route.goal < HURRIED_GOAL:
        return MISSING_RETRY
    return PATIENT_MISSING_RETRY
