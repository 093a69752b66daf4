"""What this node has learnt of one target from its own requests."""

import math
import random
from datetime import timedelta

from runhatch_server.serving._limits import AdaptiveLimit
from runhatch_server.targets import ReportedLoad

FAILURES_TO_EJECT = 3
FIRST_EJECTION = timedelta(seconds=1)
LONGEST_EJECTION = timedelta(seconds=30)
MOST_DOUBLINGS = 5
REPORT_HALF_LIFE = timedelta(seconds=1)
SERVICE_GAIN = 0.1
TOLERATED = 4.5
"""Times the usual service time that nothing is made of; lengths of answers vary."""
EXCESS_GAIN = 0.3
EXCESS_HALF_LIFE = timedelta(seconds=3)
"""How soon a slow target is tried again."""


class TargetState:
    """Outstanding requests, limit, load and failures of one target.

    Guarded by the dispatcher's lock.
    """

    def __init__(self, ceiling: int, random_source: random.Random) -> None:
        self._random = random_source
        self._failures = 0
        self._ejections = 0
        self._ejected_until = timedelta()
        self._reported: ReportedLoad | None = None
        self._reported_at = timedelta()
        self._own_at_report = 0
        self._granted_at = timedelta()
        self._usual = timedelta()
        """Usual times of what is outstanding, added up; so are ``_granted_at``."""
        self._excess = timedelta()
        self._excess_at = timedelta()
        self.rests_until = timedelta()
        """Until when the target wants nothing from this node, by its own word."""
        self.limit = AdaptiveLimit(ceiling)
        self.outstanding = 0
        self.service_time: timedelta | None = None

    def is_ejected(self, now: timedelta) -> bool:
        """Tell whether the target is set aside for failures.

        Once the time is over one request is let through to try it.
        """
        if self._ejections == 0 or self._failures < FAILURES_TO_EJECT:
            return False
        return now < self._ejected_until or self.outstanding > 0

    def has_room(self) -> bool:
        """Tell whether the limit allows one more request."""
        return self.outstanding < self.limit.value

    def granted(self, now: timedelta, usual: timedelta) -> None:
        """Count one more request there, which usually takes ``usual``."""
        self.outstanding += 1
        self._granted_at += now
        self._usual += usual

    def returned(self, granted_at: timedelta, usual: timedelta) -> None:
        """Count one less; both arguments are those it was granted with."""
        self.outstanding -= 1
        self._granted_at -= granted_at
        self._usual -= usual

    def excess(self, now: timedelta) -> timedelta:
        """Return how much longer than usual a request takes here.

        Learnt from answers, and before they come from the age of what is
        outstanding.  Fades, so that the target is tried again.
        """
        age = (now - self._excess_at) / EXCESS_HALF_LIFE
        answered = self._excess * math.pow(0.5, age)
        if not self.outstanding or not self._usual:
            return answered
        mean_age = now - self._granted_at / self.outstanding
        mean_usual = self._usual / self.outstanding
        return max(answered, mean_age - mean_usual * TOLERATED)

    def load(self, now: timedelta) -> float:
        """Return the requests there: own ones, and others' as last reported.

        Others' fade with the report's age, so that nodes which read the same
        old report do not keep avoiding the same target.
        """
        if self._reported is None:
            return float(self.outstanding)
        total = self._reported.running + self._reported.waiting
        others = max(0, total - self._own_at_report)
        age = (now - self._reported_at) / REPORT_HALF_LIFE
        return self.outstanding + others * math.pow(0.5, age)

    def reported(self, load: ReportedLoad | None, now: timedelta) -> None:
        """Take in a load report."""
        if load is not None:
            self._reported = load
            self._reported_at = now
            self._own_at_report = self.outstanding

    def succeeded(
        self, took: timedelta, usual: timedelta | None, now: timedelta
    ) -> None:
        """Take in a complete answer, how long it took and how long is usual."""
        expected = took if usual is None else usual
        beyond = max(timedelta(), took - expected * TOLERATED)
        known = self.excess(now)
        self._excess = known + (beyond - known) * EXCESS_GAIN
        self._excess_at = now
        self._failures = 0
        self._ejections = 0
        if self.service_time is None:
            self.service_time = took
        else:
            self.service_time += (took - self.service_time) * SERVICE_GAIN

    def failed(self, now: timedelta) -> bool:
        """Take in a failure; returns whether the target is now set aside."""
        self._failures += 1
        if self._failures < FAILURES_TO_EJECT:
            return False
        pause = min(LONGEST_EJECTION, FIRST_EJECTION * (1 << self._ejections))
        self._ejections = min(self._ejections + 1, MOST_DOUBLINGS)
        self._ejected_until = now + pause * self._random.uniform(0.75, 1.25)
        return True
