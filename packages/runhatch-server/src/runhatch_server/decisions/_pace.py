"""How many prompts a target may have outstanding just after it started or recovered.

Every node sees such a target idle. If all nodes sent to it at once, its first answers
would be late; if they avoided it, it would stay idle. The owner of the target therefore
bounds the prompts outstanding over all nodes, and raises the bound as answers begin in
time.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from datetime import timedelta

MIN_START_BOUND = 2
"""Smallest initial bound: one prompt is read while the next is on its way."""
FINAL_BOUND = 16
"""Bound at which the pace ends. So many prompts take longer than the goals of urgent
requests; predictions keep longer queues away."""
MAX_PACE_DURATION = timedelta(seconds=20)
"""Time after which the pace ends in any case. A target that is still late then is slow,
which predictions take into account."""
HALVING_INTERVAL = timedelta(milliseconds=500)
"""Minimum time between two halvings. Answers that were late behind the same prompts
count once."""
LATE_FACTOR = 2.0
"""Multiple of the predicted time after which an answer begins late."""
SERVICE_START_DURATION = timedelta(seconds=5)
"""Time after the first target of a service became known during which targets count as
present from the start. Nodes learn of the targets one by one."""


class Pace:
    """Bound on the prompts outstanding at one target over all nodes.

    ``most`` starts at the given value, grows by one with each answer that begins in
    time, and is halved by a late one. The bound is no longer needed when it reaches 16,
    or ``slots`` if the target runs fewer requests at once, or 20 s after ``now``.
    """

    def __init__(self, slots: int, now: timedelta, most: int = MIN_START_BOUND) -> None:
        # At least one answer must begin in time, however few slots there are.
        self._final = min(FINAL_BOUND, max(slots, MIN_START_BOUND + 1))
        self._most = max(most, 1)
        self._expires_at = now + MAX_PACE_DURATION
        self._halved_at: timedelta | None = None
        self._is_expired = False

    @property
    def most(self) -> int:
        """The number of prompts that may be outstanding at a time, at least 1."""
        return self._most

    @property
    def is_finished(self) -> bool:
        """Whether the bound is no longer needed, as of the last recorded time."""
        return self._is_expired or self._most >= self._final

    def expire(self, now: timedelta) -> None:
        """Finish the pace if its time is over, also if no answer has begun."""
        self._is_expired = self._is_expired or now >= self._expires_at

    def record_begun(self, late: bool, now: timedelta) -> None:
        """Record that an answer began, ``late`` or in time."""
        self.expire(now)
        if self.is_finished:
            return
        if not late:
            self._most += 1
        elif self._halved_at is None or now - self._halved_at >= HALVING_INTERVAL:
            self._most = max(self._most // 2, 1)
            self._halved_at = now


@dataclass(frozen=True, slots=True)
class _PacedTarget:
    """The pace of a target, and what a new one for it is made from."""

    slots: int
    recovered_at: timedelta
    pace: Pace


@dataclass(slots=True)
class TargetPaces:
    """Paces of the targets of one service, by incarnation.

    Every node keeps one for all targets, so that it can become the owner of any of
    them. Targets that become known in the first 5 s after the first one are not
    paced: they carry the load together from the start. Callers guard it by a lock.
    """

    _started_at: timedelta | None = None
    """Time at which the first target became known."""
    _serving: frozenset[str] = frozenset()
    _paced: dict[str, _PacedTarget] = field(default_factory=dict)

    def update_targets(self, serving: Mapping[str, int], now: timedelta) -> None:
        """Begin a pace for each target that started or recovered.

        ``serving`` has the slots of each target that is neither down nor silent. A
        target that is missing has ended, is down or is silent, and loses its pace; it
        begins a new one if it is back.
        """
        if self._started_at is None and serving:
            self._started_at = now
        for incarnation in self._paced.keys() - serving.keys():
            del self._paced[incarnation]
        if not self._is_starting(now):
            for incarnation in serving.keys() - self._serving:
                slots = serving[incarnation]
                pace = Pace(slots, now)
                self._paced[incarnation] = _PacedTarget(slots, now, pace)
        self._serving = frozenset(serving)

    def take_over(self, incarnation: str, outstanding: int, now: timedelta) -> None:
        """Continue a pace as the new owner, who has seen none of its answers.

        ``outstanding`` is the number of prompts known to be outstanding at the target.
        The time of the pace still counts from the target's recovery.
        """
        if self.most(incarnation, now) is None:
            return
        paced = self._paced[incarnation]
        most = max(outstanding, MIN_START_BOUND)
        pace = Pace(paced.slots, paced.recovered_at, most)
        self._paced[incarnation] = _PacedTarget(paced.slots, paced.recovered_at, pace)

    def most(self, incarnation: str, now: timedelta) -> int | None:
        """Return the bound on outstanding prompts, ``None`` if none applies."""
        paced = self._paced.get(incarnation)
        if paced is None:
            return None
        paced.pace.expire(now)
        if paced.pace.is_finished:
            del self._paced[incarnation]
            return None
        return paced.pace.most

    def bounds(self, now: timedelta) -> dict[str, int]:
        """Return the bound of each target that has one."""
        bounds = {name: self.most(name, now) for name in list(self._paced)}
        return {name: most for name, most in bounds.items() if most is not None}

    def record_begun(
        self, incarnation: str, predicted: timedelta, took: timedelta, now: timedelta
    ) -> None:
        """Record that an answer began ``took`` after its prompt was sent."""
        paced = self._paced.get(incarnation)
        if paced is not None:
            paced.pace.record_begun(took > predicted * LATE_FACTOR, now)

    def _is_starting(self, now: timedelta) -> bool:
        """Return whether targets still count as present from the start."""
        started_at = self._started_at
        return started_at is None or now - started_at < SERVICE_START_DURATION
