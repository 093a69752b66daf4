"""Rate limits that targets declare in their answers, as known to one node."""

import threading
from collections.abc import Callable, Iterable
from datetime import timedelta

from runhatch_coordination import Clock
from runhatch_server.decisions import LimitedTarget, LimitSeen
from runhatch_server.observability import Metrics, log_change
from runhatch_server.targets import UnreadableLimit

ASK_PATIENCE = timedelta(milliseconds=400)
"""Longest wait of a request for a permit, further capped at half of its goal.  The
allocator is a few milliseconds away, but either node may be busy."""
UNANSWERED_PAUSE = timedelta(milliseconds=500)
"""How long no permits are requested after a permit request without an answer."""

UNLISTED_KEPT = timedelta(seconds=10)
"""How long the limit of an unlisted target is kept.  Peers publish a limit at once,
while the entry of a new target arrives later."""

OnLimit = Callable[[str, LimitSeen], None]
AskPermit = Callable[[str, int], None]


class RateLimits:
    """The limited targets known to one node; thread-safe.

    A target is limited from the first answer that declares a limit until an answer
    to a later request declares none.
    """

    def __init__(self, clock: Clock, metrics: Metrics) -> None:
        self._clock = clock
        self._metrics = metrics
        self._lock = threading.Lock()
        self._limited: dict[str, LimitedTarget] = {}
        self._lifted: dict[str, LimitSeen] = {}
        self._unreadable: set[str] = set()
        self.on_limit: OnLimit = lambda target, seen: None
        """Called when the known limit of a target changes."""
        self.on_ask: AskPermit = lambda target, tier: None
        """Requests a permit without waiting for it."""

    def heard(
        self, target: str, named: float | UnreadableLimit | None, sent_at: timedelta
    ) -> None:
        """Apply the limit in the answer of ``target`` to a request of ``sent_at``."""
        if isinstance(named, UnreadableLimit):
            self._log_unreadable(target, named)
        elif named is not None:
            self._apply(target, LimitSeen(named, self._clock.elapsed()))
        elif target in self._limited:
            self._apply(target, LimitSeen(None, sent_at))

    def told(self, target: str, seen: LimitSeen) -> None:
        """Apply the limit of ``target`` that a peer reported."""
        self._apply(target, seen, "peer")

    def known(self, target: str) -> LimitSeen | None:
        """Return the latest limit seen of ``target``, ``None`` if there is none."""
        with self._lock:
            limited = self._limited.get(target)
            return self._lifted.get(target) if limited is None else limited.seen

    def all_limits(self) -> dict[str, LimitSeen]:
        """Return the limits in force, by target."""
        with self._lock:
            return {name: limited.seen for name, limited in self._limited.items()}

    def rates(self) -> dict[str, float]:
        """Return the limits in force by target, in requests per second."""
        limits = self.all_limits().items()
        return {name: seen.rate for name, seen in limits if seen.rate is not None}

    def opens_at(self, target: str, tier: int, now: timedelta) -> timedelta:
        """Return when a request of ``tier`` may be sent or may request a permit.

        Returns ``now`` if ``target`` is not limited.
        """
        if target not in self._limited:
            return now
        with self._lock:
            limited = self._limited.get(target)
            return now if limited is None else limited.opens_at(tier, now)

    def take(self, target: str, asked: bool) -> bool:
        """Use a permit; return whether a request may be sent to ``target`` now.

        ``asked`` is whether the request has requested a permit with :meth:`ask`.
        """
        if target not in self._limited:
            return True
        with self._lock:
            limited = self._limited.get(target)
            if limited is None:
                return True
            is_taken = limited.take(self._clock.elapsed(), asked)
            self._count("used", int(is_taken))
            self._count_lapsed(limited)
            return is_taken

    def ask(self, target: str, tier: int) -> None:
        """Request a permit for a request of ``tier``; :meth:`settle` ends the wait."""
        self._add_waiting(target, 1)
        self.on_ask(target, tier)

    def settle(self, targets: Iterable[str]) -> None:
        """Record that a request no longer waits for permits of ``targets``."""
        for target in targets:
            self._add_waiting(target, -1)

    def give_back(self, target: str) -> None:
        """Return the permit of a request of which nothing was sent."""
        with self._lock:
            limited = self._limited.get(target)
            if limited is not None:
                limited.add(self._clock.elapsed())
                self._count("given_back")

    def granted(self, target: str) -> None:
        """Record a permit granted for ``target``."""
        self._count("granted")
        with self._lock:
            limited = self._limited.get(target)
            if limited is not None:
                self._count("late", int(not limited.waiting))
                limited.add(self._clock.elapsed())

    def denied(self, target: str, tier: int, wait: timedelta) -> None:
        """Record a denied permit; ``tier`` may request another after ``wait``."""
        self._count("denied")
        self._close(target, tier, wait)

    def unanswered(self, target: str, tier: int) -> None:
        """Record that a permit request was not answered in time."""
        self._count("unanswered")
        log_change("permit_unanswered", target=target, tier=tier)
        self._close(target, tier, UNANSWERED_PAUSE)

    def forget(self, is_known: Callable[[str], bool]) -> None:
        """Drop expired limits of targets that ``is_known`` rejects."""
        earliest = self._clock.elapsed() - UNLISTED_KEPT
        with self._lock:
            for name, limited in list(self._limited.items()):
                self._count_lapsed(limited)
                if limited.seen.at < earliest and not is_known(name):
                    del self._limited[name]
            for name, seen in list(self._lifted.items()):
                if seen.at < earliest and not is_known(name):
                    del self._lifted[name]
            self._unreadable = {name for name in self._unreadable if is_known(name)}
            self._metrics.limited_targets.set(len(self._limited))

    def _count(self, outcome: str, permits: int = 1) -> None:
        if permits:
            self._metrics.permits.labels(outcome).inc(permits)

    def _count_lapsed(self, limited: LimitedTarget) -> None:
        self._count("lapsed", limited.count_lapsed(self._clock.elapsed()))

    def _add_waiting(self, target: str, change: int) -> None:
        with self._lock:
            limited = self._limited.get(target)
            if limited is not None:
                limited.waiting = max(0, limited.waiting + change)

    def _close(self, target: str, tier: int, wait: timedelta) -> None:
        with self._lock:
            limited = self._limited.get(target)
            if limited is not None:
                limited.close(tier, self._clock.elapsed() + wait)

    def _apply(self, target: str, seen: LimitSeen, source: str = "answer") -> None:
        with self._lock:
            limited = self._limited.get(target)
            known = self._lifted.get(target) if limited is None else limited.seen
            if not seen.supersedes(known):
                return
            if seen.rate is None:
                self._limited.pop(target, None)
                self._lifted[target] = seen
            elif limited is None:
                self._lifted.pop(target, None)
                self._limited[target] = LimitedTarget(seen)
            else:
                limited.seen = seen
        if known is None or known.rate != seen.rate:
            log_change("rate_limit", target=target, rate=seen.rate, source=source)
            self.on_limit(target, seen)

    def _log_unreadable(self, target: str, named: UnreadableLimit) -> None:
        with self._lock:
            if target in self._unreadable:
                return
            self._unreadable.add(target)
        log_change("rate_limit_unreadable", target=target, found=named.found)
