"""How long work takes at a target, relative to what is usual for its service.

Targets of one service can differ lastingly in speed, and each can be slowed for a
fraction of a second by other work on its host. A factor of 1.0 means the usual time,
2.0 twice that. Targets state the factor in their answers, and nodes pass it on.
"""

from collections import deque
from dataclasses import dataclass, field
from datetime import timedelta
from statistics import median_low

USUAL_FACTOR = 1.0
MAX_KEPT_STATEMENTS = 9
"""Number of statements of which the median is the lasting factor."""
MIN_STATEMENT_INTERVAL = timedelta(milliseconds=300)
"""Statements closer together count once: disturbances last about 0.6 s, and two of nine
statements made during one do not change the median."""
DISTURBANCE_HALF_LIFE = timedelta(milliseconds=300)
"""Half-life of the difference between the latest and the lasting factor."""
STATEMENT_TTL = timedelta(seconds=60)
"""Age from which all statements are ignored: other work on the host may have ended for
good."""


@dataclass(frozen=True, slots=True)
class WorkTimeStatement:
    """The factor that a target stated ``age`` ago, as nodes pass it on."""

    factor: float
    age: timedelta

    def aged(self, age: timedelta) -> "WorkTimeStatement":
        """Return the statement after a further ``age``."""
        return WorkTimeStatement(self.factor, self.age + age)


def latest_statement(
    first: WorkTimeStatement | None, second: WorkTimeStatement | None
) -> WorkTimeStatement | None:
    """Return the later statement, ``None`` if there is none."""
    if first is None or second is None:
        return first or second
    return min(first, second, key=lambda statement: statement.age)


@dataclass(slots=True)
class WorkTime:
    """What one target stated about its speed to this node and others."""

    _factors: deque[float] = field(
        default_factory=lambda: deque(maxlen=MAX_KEPT_STATEMENTS)
    )
    _counted_at: timedelta = timedelta(days=-1)
    """Time of the last statement in ``_factors``."""
    _lasting: float = USUAL_FACTOR
    _latest: float = USUAL_FACTOR
    _stated_at: timedelta | None = None
    _received: float = USUAL_FACTOR
    _received_at: timedelta | None = None

    def record_received(self, factor: float, now: timedelta) -> None:
        """Record a statement in an answer of the target to this node."""
        self._received, self._received_at = factor, now
        self.record(WorkTimeStatement(factor, timedelta()), now)

    def record(self, statement: WorkTimeStatement, now: timedelta) -> None:
        """Record a statement, unless a later one is known."""
        stated_at = now - statement.age
        if self._stated_at is not None and stated_at <= self._stated_at:
            return
        self._latest, self._stated_at = statement.factor, stated_at
        if stated_at - self._counted_at >= MIN_STATEMENT_INTERVAL:
            self._factors.append(statement.factor)
            self._counted_at = stated_at
            self._lasting = median_low(self._factors)

    def latest(self, now: timedelta) -> WorkTimeStatement | None:
        """Return the latest statement, ``None`` without a recent one."""
        return _recent_statement(self._latest, self._stated_at, now)

    def received(self, now: timedelta) -> WorkTimeStatement | None:
        """Return the latest statement to this node, ``None`` without a recent one.

        Only these are passed on. The ages of others lack the time that their messages
        took, and if nodes passed them back and forth, they would become ever younger.
        """
        return _recent_statement(self._received, self._received_at, now)

    def lasting_factor(self, now: timedelta) -> float:
        """Return the factor without brief disturbances, 1.0 if it is unknown."""
        return USUAL_FACTOR if self.latest(now) is None else self._lasting

    def current_factor(self, now: timedelta) -> float:
        """Return the factor expected for work sent now, 1.0 if it is unknown."""
        latest = self.latest(now)
        if latest is None:
            return USUAL_FACTOR
        weight = 0.5 ** (latest.age / DISTURBANCE_HALF_LIFE)
        return float(self._lasting + (latest.factor - self._lasting) * weight)


def _recent_statement(
    factor: float, stated_at: timedelta | None, now: timedelta
) -> WorkTimeStatement | None:
    if stated_at is None or now - stated_at >= STATEMENT_TTL:
        return None
    return WorkTimeStatement(factor, now - stated_at)
