"""Tracks the load, speed and failures of one target as seen by this node."""

import math
import random
from datetime import timedelta

from runhatch_server.serving._limits import AdaptiveLimit
from runhatch_server.targets import ReportedLoad

FAILURES_TO_EJECT = 3
MIN_EJECTION_TIME = timedelta(seconds=1)
MAX_EJECTION_TIME = timedelta(seconds=30)
MAX_EJECTION_DOUBLINGS = 5
REPORT_HALF_LIFE = timedelta(seconds=1)
SERVICE_GAIN = 0.1
TOLERATED_SLOWDOWN = 4.5
"""Multiple of the usual service time that is not excess; answer lengths vary."""
EXCESS_GAIN = 0.3
EXCESS_HALF_LIFE = timedelta(seconds=3)
"""Decides how soon a slow target is tried again."""


class TargetState:
    """Tracks outstanding requests, limit, load and failures of one target.

    Guarded by the dispatcher's lock.
    """

    def __init__(self, ceiling: int, random_source: random.Random) -> None:
        self._random = random_source
        self._failures = 0
        self._ejections = 0
        self._ejected_until = timedelta()
        self._reported: ReportedLoad | None = None
        self._reported_at = timedelta()
        self._outstanding_at_report = 0
        self._granted_at_sum = timedelta()
        self._usual_sum = timedelta()
        """Sum over the outstanding requests, like ``_granted_at_sum``."""
        self._excess = timedelta()
        self._excess_at = timedelta()
        self.backoff_until = timedelta()
        """End of the backoff that the target requested by Retry-After."""
        self.limit = AdaptiveLimit(ceiling)
        self.outstanding = 0
        self.service_time: timedelta | None = None

    def is_ejected(self, now: timedelta) -> bool:
        """Return whether the target is ejected because of failures.

        After the ejection time a single request may probe it.
        """
        if self._ejections == 0 or self._failures < FAILURES_TO_EJECT:
            return False
        return now < self._ejected_until or self.outstanding > 0

    def has_room(self) -> bool:
        """Return whether the limit allows one more request."""
        return self.outstanding < self.limit.value

    def record_grant(self, now: timedelta, usual_duration: timedelta) -> None:
        """Count a request granted at ``now`` that usually takes ``usual_duration``."""
        self.outstanding += 1
        self._granted_at_sum += now
        self._usual_sum += usual_duration

    def record_return(self, granted_at: timedelta, usual_duration: timedelta) -> None:
        """Count one request less; arguments as in its ``record_grant`` call."""
        self.outstanding -= 1
        self._granted_at_sum -= granted_at
        self._usual_sum -= usual_duration

    def estimate_excess(self, now: timedelta) -> timedelta:
        """Return how much longer than usual requests take at this target.

        Learnt from answers, and from the age of outstanding requests before those
        are answered.  Decays, so that the target is tried again.
        """
        age = (now - self._excess_at) / EXCESS_HALF_LIFE
        learnt_excess = self._excess * math.pow(0.5, age)
        if not self.outstanding or not self._usual_sum:
            return learnt_excess
        mean_age = now - self._granted_at_sum / self.outstanding
        mean_usual = self._usual_sum / self.outstanding
        return max(learnt_excess, mean_age - mean_usual * TOLERATED_SLOWDOWN)

    def estimate_load(self, now: timedelta) -> float:
        """Return the target's requests: this node's, and other nodes' as reported.

        The reported ones decay with the age of the report, so that nodes with the
        same old report do not keep avoiding the same target.
        """
        if self._reported is None:
            return float(self.outstanding)
        total = self._reported.running + self._reported.waiting
        others = max(0, total - self._outstanding_at_report)
        age = (now - self._reported_at) / REPORT_HALF_LIFE
        return self.outstanding + others * math.pow(0.5, age)

    def record_load(self, load: ReportedLoad | None, now: timedelta) -> None:
        """Record a load report, if there is one."""
        if load is not None:
            self._reported = load
            self._reported_at = now
            self._outstanding_at_report = self.outstanding

    def record_success(
        self, duration: timedelta, usual_duration: timedelta | None, now: timedelta
    ) -> None:
        """Record a complete answer, its duration and the usual duration."""
        expected = duration if usual_duration is None else usual_duration
        measured_excess = max(timedelta(), duration - expected * TOLERATED_SLOWDOWN)
        previous = self.estimate_excess(now)
        self._excess = previous + (measured_excess - previous) * EXCESS_GAIN
        self._excess_at = now
        self._failures = 0
        self._ejections = 0
        if self.service_time is None:
            self.service_time = duration
        else:
            self.service_time += (duration - self.service_time) * SERVICE_GAIN

    def record_failure(self, now: timedelta) -> bool:
        """Record a failure; return whether the target is now ejected."""
        self._failures += 1
        if self._failures < FAILURES_TO_EJECT:
            return False
        ejection_time = min(
            MAX_EJECTION_TIME, MIN_EJECTION_TIME * (1 << self._ejections)
        )
        self._ejections = min(self._ejections + 1, MAX_EJECTION_DOUBLINGS)
        self._ejected_until = now + ejection_time * self._random.uniform(0.75, 1.25)
        return True
