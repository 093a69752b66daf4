"""Rate limits that targets declare in their answers, as known to one node."""

import threading
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from datetime import timedelta

from runhatch_coordination import Clock
from runhatch_server.decisions import BRITTLE_GRACE, LimitedTarget, ObservedLimit
from runhatch_server.gateway._invalid_values import InvalidValueLog
from runhatch_server.observability import Metrics, log_change
from runhatch_server.targets import InvalidMaxRejections, InvalidRateLimit

PERMIT_REQUEST_TIMEOUT = timedelta(milliseconds=400)
"""Longest wait of a request for a permit, further capped at half of its goal.  The
allocator is a few milliseconds away, but either node may be busy."""
UNANSWERED_RETRY_DELAY = timedelta(milliseconds=500)
"""How long no permits are requested after a permit request without an answer."""

UNLISTED_LIMIT_RETENTION = timedelta(seconds=10)
"""How long the limit of an unlisted target is kept.  Peers publish a limit at once,
while the entry of a new target arrives later."""

LimitCallback = Callable[[str, ObservedLimit], None]
PermitRequester = Callable[[str, int], None]


@dataclass(frozen=True, slots=True)
class PermitUsage:
    """Permits of one node for a brittle target.

    ``permits`` are not used yet, ``confirmed`` is the last grant received from an
    allocator, and ``rejected`` the number of requests that the target rejected.
    """

    permits: int
    confirmed: int
    rejected: int


class RateLimits:
    """The limited targets known to one node; thread-safe.

    A target is limited from the first answer that declares a limit until an answer
    to a later request declares none.
    """

    def __init__(
        self,
        clock: Clock,
        metrics: Metrics,
        start_window: timedelta = timedelta(),
    ) -> None:
        """``start_window``: time in which peers know longer which targets are brittle.

        A node that starts beside others needs permits at once.
        """
        self._clock = clock
        self._start_ends_at = clock.elapsed() + start_window
        self._metrics = metrics
        self._lock = threading.Lock()
        self._limited: dict[str, LimitedTarget] = {}
        self._lifted: dict[str, ObservedLimit] = {}
        self._invalid_values = InvalidValueLog("rate_limit_unreadable")
        self.on_limit: LimitCallback = lambda target, seen: None
        """Called when the known limit of a target changes."""
        self.on_permit_request: PermitRequester = lambda target, tier: None
        """Requests a permit without waiting for it."""
        self.on_room_change: Callable[[str], None] = lambda target: None
        """Called when a request to a brittle target has ended."""
        self.on_reuse: Callable[[], None] = lambda: None
        """Called when a request has left its room to others of this node."""
        self.count_outstanding: Callable[[str], int] = lambda target: 0
        """Returns how many requests of this node a target has."""

    def apply_answer(
        self,
        target: str,
        limit: float | InvalidRateLimit | None,
        sent_at: timedelta,
        max_rejections: int | InvalidMaxRejections | None = None,
    ) -> None:
        """Apply the limits in the answer of ``target`` to a request of ``sent_at``."""
        if isinstance(max_rejections, InvalidMaxRejections):
            self._invalid_values.log(target, max_rejections.value)
            max_rejections = 0
        if isinstance(limit, InvalidRateLimit):
            self._invalid_values.log(target, limit.value)
            if max_rejections is None:
                return
            known = self.latest_limit(target)
            limit = None if known is None else known.rate
        if max_rejections is not None:
            now = self._clock.elapsed()
            is_starting = now < self._start_ends_at
            since = now - BRITTLE_GRACE if is_starting else now
            self._apply(target, ObservedLimit(limit, now, max_rejections, since))
        elif limit is not None:
            self._apply(target, ObservedLimit(limit, self._clock.elapsed()))
        elif target in self._limited:
            self._apply(target, ObservedLimit(None, sent_at))

    def extend_brittleness(self, targets: Iterable[str]) -> None:
        """Take all ``targets``, which are of one service, as brittle if one is.

        A target that has just started has not stated it yet.
        """
        if not self._limited:
            return
        targets = list(targets)
        with self._lock:
            brittle = [
                self._limited[target].observed_limit
                for target in targets
                if target in self._limited
                and self._limited[target].observed_limit.max_rejections is not None
            ]
            unknown = [
                target
                for target in targets
                if target not in self._limited and target not in self._lifted
            ]
        if brittle:
            for target in unknown:
                self._apply(target, replace(brittle[0], rate=None), "service")

    def brittle_targets(self) -> list[str]:
        """Return the brittle targets."""
        if not self._limited:
            return []
        limits = self.all_limits().items()
        return [name for name, seen in limits if seen.max_rejections is not None]

    def record_end(self, target: str, is_rejected: bool = False) -> None:
        """Record that a request to ``target`` has ended.

        ``is_rejected`` is whether the target rejected it for want of room.
        """
        if not self.keeps_waiting(target):
            return
        outstanding = self.count_outstanding(target)
        with self._lock:
            limited = self._limited.get(target)
            if limited is None or limited.observed_limit.max_rejections is None:
                return
            is_reused = limited.record_end(
                outstanding, is_rejected, self._clock.elapsed()
            )
        if is_reused:
            self.on_reuse()
        else:
            self.on_room_change(target)

    def permit_usage(self, target: str, allocator: str) -> PermitUsage:
        """Return the permits of this node as reported to ``allocator``."""
        with self._lock:
            limited = self._limited.get(target)
            if limited is None:
                return PermitUsage(0, 0, 0)
            return PermitUsage(
                limited.count_permits(self._clock.elapsed()),
                limited.confirmed_grants.get(allocator, 0),
                limited.rejected_requests,
            )

    def apply_report(self, target: str, seen: ObservedLimit) -> None:
        """Apply the limit of ``target`` that a peer reported."""
        self._apply(target, seen, "peer")

    def latest_limit(self, target: str) -> ObservedLimit | None:
        """Return the latest limit seen of ``target``, ``None`` if there is none.

        The rate of a lifted limit is ``None``.
        """
        with self._lock:
            limited = self._limited.get(target)
            return (
                self._lifted.get(target) if limited is None else limited.observed_limit
            )

    def all_limits(self) -> dict[str, ObservedLimit]:
        """Return the limits in force, by target."""
        with self._lock:
            return {
                name: limited.observed_limit for name, limited in self._limited.items()
            }

    def rates(self) -> dict[str, float]:
        """Return the limits in force by target, in requests per second."""
        limits = self.all_limits().items()
        return {name: seen.rate for name, seen in limits if seen.rate is not None}

    def available_at(self, target: str, tier: int, now: timedelta) -> timedelta:
        """Return when a request of ``tier`` may be sent or may request a permit.

        Returns ``now`` if ``target`` is not limited.
        """
        if target not in self._limited:
            return now
        with self._lock:
            limited = self._limited.get(target)
            return now if limited is None else limited.opens_at(tier, now)

    def use_permit(self, target: str, has_requested: bool) -> bool:
        """Use a permit; return whether a request may be sent to ``target`` now.

        ``has_requested`` is whether the request has requested a permit with
        :meth:`request_permit`.
        """
        if target not in self._limited:
            return True
        with self._lock:
            limited = self._limited.get(target)
            if limited is None:
                return True
            now = self._clock.elapsed()
            if limited.is_in_grace(now):
                return True
            is_taken = limited.take_permit(now, has_requested)
            self._count("used", int(is_taken))
            self._count_lapsed(limited)
            return is_taken

    def request_permit(self, target: str, tier: int) -> None:
        """Request a permit for ``tier``; :meth:`stop_waiting` ends the wait."""
        self._add_waiting(target, 1)
        self.on_permit_request(target, tier)

    def stop_waiting(self, targets: Iterable[str]) -> None:
        """Record that a request no longer waits for permits of ``targets``."""
        for target in targets:
            self._add_waiting(target, -1)

    def return_permit(self, target: str) -> None:
        """Return the permit of a request of which nothing was sent.

        The room at a brittle target is reused or freed by :meth:`record_end`.
        """
        if self.keeps_waiting(target):
            return
        with self._lock:
            limited = self._limited.get(target)
            if limited is not None:
                limited.add_permit(self._clock.elapsed())
                self._count("given_back")

    def record_granted(self, target: str, allocator: str = "", grant: int = 0) -> None:
        """Record a permit granted for ``target``, numbered if the target is brittle."""
        self._count("granted")
        with self._lock:
            limited = self._limited.get(target)
            is_lost = (
                limited is not None
                and grant > 0
                and not limited.confirm_grant(allocator, grant, self._clock.elapsed())
            )
            if limited is not None:
                limited.answered_at = self._clock.elapsed()
            if limited is not None and not is_lost:
                self._count("late", int(not limited.waiting_requests))
                limited.add_permit(self._clock.elapsed())

    def record_denied(self, target: str, tier: int, wait: timedelta) -> None:
        """Record a denied permit; ``tier`` may request another after ``wait``."""
        self._count("denied")
        with self._lock:
            limited = self._limited.get(target)
            if limited is not None:
                limited.answered_at = self._clock.elapsed()
        self._close(target, tier, wait)

    def keeps_waiting(self, target: str) -> bool:
        """Return whether requests wait on after a denial.

        The permits of a brittle target are granted as room gets free, to any request.
        """
        limited = self._limited.get(target)
        return limited is not None and (
            limited.observed_limit.max_rejections is not None
        )

    def record_unanswered(self, target: str, tier: int) -> None:
        """Record that a permit request was not answered in time.

        The allocator of a brittle target answers only some of many requests.
        """
        if self._answers_brittle(target):
            return
        self._count("unanswered")
        log_change("permit_unanswered", target=target, tier=tier)
        self._close(target, tier, UNANSWERED_RETRY_DELAY)

    def remove_expired(self, is_known: Callable[[str], bool]) -> None:
        """Drop expired limits of targets that ``is_known`` rejects."""
        earliest = self._clock.elapsed() - UNLISTED_LIMIT_RETENTION
        with self._lock:
            for name, limited in list(self._limited.items()):
                self._count_lapsed(limited)
                if limited.observed_limit.at < earliest and not is_known(name):
                    del self._limited[name]
            for name, seen in list(self._lifted.items()):
                if seen.at < earliest and not is_known(name):
                    del self._lifted[name]
            self._metrics.limited_targets.set(len(self._limited))
        self._invalid_values.remove_ended(is_known)

    def _answers_brittle(self, target: str) -> bool:
        """Return whether the allocator of a brittle ``target`` answered lately."""
        with self._lock:
            limited = self._limited.get(target)
            if limited is None or limited.observed_limit.max_rejections is None:
                return False
            if limited.answered_at is None:
                return False
            age = self._clock.elapsed() - limited.answered_at
            return age < PERMIT_REQUEST_TIMEOUT

    def _count(self, outcome: str, permits: int = 1) -> None:
        if permits:
            self._metrics.permit_requests.labels(outcome).inc(permits)

    def _count_lapsed(self, limited: LimitedTarget) -> None:
        self._count("lapsed", limited.take_expired_count(self._clock.elapsed()))

    def _add_waiting(self, target: str, change: int) -> None:
        with self._lock:
            limited = self._limited.get(target)
            if limited is not None:
                limited.waiting_requests = max(0, limited.waiting_requests + change)

    def _close(self, target: str, tier: int, wait: timedelta) -> None:
        with self._lock:
            limited = self._limited.get(target)
            if limited is not None:
                limited.deny_tier(tier, self._clock.elapsed() + wait)

    def _apply(self, target: str, seen: ObservedLimit, source: str = "answer") -> None:
        with self._lock:
            limited = self._limited.get(target)
            known = (
                self._lifted.get(target) if limited is None else limited.observed_limit
            )
            if not seen.supersedes(known):
                return
            seen = _keep_earliest_start(seen, known)
            if not seen.is_in_force:
                self._limited.pop(target, None)
                self._lifted[target] = seen
            elif limited is None:
                self._lifted.pop(target, None)
                self._limited[target] = LimitedTarget(seen)
            else:
                limited.observed_limit = seen
        if not seen.equals(known):
            log_change(
                "rate_limit",
                target=target,
                rate=seen.rate,
                max_rejections=seen.max_rejections,
                source=source,
            )
            self.on_limit(target, seen)


def _keep_earliest_start(
    seen: ObservedLimit, known: ObservedLimit | None
) -> ObservedLimit:
    """Return ``seen``, brittle since the time in ``known`` if that is earlier."""
    if known is None or known.brittle_since is None or seen.brittle_since is None:
        return seen
    return replace(seen, brittle_since=min(seen.brittle_since, known.brittle_since))
