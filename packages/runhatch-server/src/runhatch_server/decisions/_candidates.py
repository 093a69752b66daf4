"""Selects the targets that a request may be sent to.

Leaves out targets that recently refused requests, requested a backoff, or have used up
their rate limit. Without this, a request whose model is on a single refusing target
would be resent to it every few milliseconds.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from datetime import timedelta

from runhatch_server.decisions._load import TargetLoad
from runhatch_server.fleet import Target
from runhatch_server.refusals import Reason

BUSY_AVOIDANCE_DURATION = timedelta(milliseconds=200)
"""How long a target that refused a request for load is avoided if there are others."""


@dataclass(frozen=True, slots=True)
class TriedTargets:
    """Incarnations of targets to which one request was already sent.

    ``failed_targets`` are retried if there is no other target. ``refused_targets`` are
    not, because the cause of the refusal still exists.
    """

    failed_targets: frozenset[str] = frozenset()
    refused_targets: frozenset[str] = frozenset()

    def with_failure(self, target: str) -> "TriedTargets":
        """Return a copy that also lists ``target`` as having failed the request."""
        return replace(self, failed_targets=self.failed_targets | {target})

    def with_refusal(self, target: str) -> "TriedTargets":
        """Return a copy that also lists ``target`` as having refused the request."""
        return replace(self, refused_targets=self.refused_targets | {target})


@dataclass(frozen=True, slots=True)
class NoCandidates:
    """No target accepts the request until ``retry_after`` has passed, for ``reason``.

    ``target`` is the incarnation that accepts requests earliest, empty if not known.
    """

    retry_after: timedelta
    reason: Reason
    target: str = ""


def choose_candidates(
    holders: Iterable[Target],
    tried: TriedTargets,
    load_of: Callable[[str], TargetLoad],
    now: timedelta,
    rate_limit_opens_at: Callable[[str], timedelta],
) -> list[Target] | NoCandidates:
    """Return those of ``holders`` that a request may be sent to.

    Targets that failed the request or refused for load are left out if there are
    others. ``rate_limit_opens_at`` returns when a target's rate limit next admits the
    request.
    """
    loads = [(target, load_of(target.incarnation)) for target in holders]
    available_at = {
        target.incarnation: max(
            load.backoff_until, rate_limit_opens_at(target.incarnation)
        )
        for target, load in loads
    }
    available = [
        target for target, _ in loads if now >= available_at[target.incarnation]
    ]
    eligible = [t for t in available if t.incarnation not in tried.refused_targets]
    if not eligible and available:
        return NoCandidates(BUSY_AVOIDANCE_DURATION, Reason.TARGETS_BUSY)
    if not eligible:
        earliest = min(available_at, key=lambda target: available_at[target])
        is_backing_off = available_at[earliest] == load_of(earliest).backoff_until
        reason = Reason.TARGETS_BACK_OFF if is_backing_off else Reason.TARGETS_LIMITED
        return NoCandidates(available_at[earliest] - now, reason, earliest)
    untried = [
        t for t in eligible if t.incarnation not in tried.failed_targets
    ] or eligible
    avoided = {target.incarnation for target, load in loads if now < load.avoided_until}
    return [t for t in untried if t.incarnation not in avoided] or untried
