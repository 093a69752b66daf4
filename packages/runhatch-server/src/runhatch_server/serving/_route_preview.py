"""Describes where a request would go, for operators who ask without sending one."""

from dataclasses import dataclass
from datetime import timedelta
from enum import Enum

from runhatch_server.refusals import Reason
from runhatch_server.serving._placement_cache import Host
from runhatch_server.serving._router import SAMPLE_SIZE, Evaluation


class RouteOutcome(Enum):
    """What would happen to the request on its arrival."""

    SENT = "sent"
    WAITS = "waits"
    REFUSED = "refused"


@dataclass(frozen=True, slots=True)
class Verdict:
    """The outcome, and the refusal if the request is not sent.

    For a request that waits, the refusal is the one it gets if no slot becomes free
    within ``max_wait``.
    """

    outcome: RouteOutcome
    reason: Reason | None = None
    retry_after: timedelta | None = None
    max_wait: timedelta | None = None


@dataclass(frozen=True, slots=True)
class HostPreview:
    """A target that serves the route, with the figures that the router compares.

    ``exclusion`` says why it was left out, empty for the chosen target.
    """

    target: str
    failure_domain: str
    outstanding: int
    limit: int
    load: float
    predicted_wait: timedelta
    excess: timedelta
    exclusion: str


@dataclass(frozen=True, slots=True)
class RoutePreview:
    """Where a request would go, and the queued requests that are served before it."""

    verdict: Verdict
    ahead: int
    hosts: tuple[HostPreview, ...]

    @property
    def chosen(self) -> HostPreview | None:
        """The chosen target, ``None`` if the request would not be sent."""
        return next((host for host in self.hosts if not host.exclusion), None)


def explain_exclusion(
    host: Host, evaluation: Evaluation | None, is_draining: bool, backoff: timedelta
) -> str:
    """Return why ``host`` is not chosen, empty if it is.

    ``evaluation`` is ``None`` if no hosts were compared.
    """
    if is_draining:
        return "draining"
    if backoff > timedelta():
        return f"requested a backoff, {backoff.total_seconds():.1f} s remain"
    if evaluation is None:
        return "waiting requests are served first"
    if host not in evaluation.not_ejected:
        return "ejected after failures"
    if host not in evaluation.with_room:
        return "its limit is reached"
    best = evaluation.best
    if best is None or best.host == host:
        return ""
    score = next((s.score for s in evaluation.scored if s.host == host), None)
    if score is None:
        return f"not among the {SAMPLE_SIZE} that were sampled"
    difference = (score - best.score).total_seconds() * 1000
    return f"scores {difference:.1f} ms more than {best.host.target}"
