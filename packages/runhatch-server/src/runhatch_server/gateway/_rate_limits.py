"""Rate limits that targets name in their answers, as one node knows and keeps them."""

import threading
from collections.abc import Callable, Iterable
from datetime import timedelta

from runhatch_coordination import Clock
from runhatch_server.decisions import LimitedTarget, LimitSeen
from runhatch_server.observability import Metrics, log_change
from runhatch_server.targets import UnreadableLimit

ASK_PATIENCE = timedelta(milliseconds=400)
"""How long a request waits for a permit, at the most half of its goal: the node that
gives them out is some milliseconds away, but either may be busy."""
UNANSWERED_PAUSE = timedelta(milliseconds=500)
"""How long no permits are asked for after a question that was not answered."""

UNLISTED_KEPT = timedelta(seconds=10)
"""How long the limit of a target that is not listed is kept: peers tell of one at once,
and a new target's entry comes later."""

OnLimit = Callable[[str, LimitSeen], None]
AskPermit = Callable[[str, int], None]


class RateLimits:
    """The limited targets of one node; safe for many threads.

    A target is limited from the first answer that names a limit until one to a later
    request names none.
    """

    def __init__(self, clock: Clock, metrics: Metrics) -> None:
        self._clock = clock
        self._metrics = metrics
        self._lock = threading.Lock()
        self._limited: dict[str, LimitedTarget] = {}
        self._ended: dict[str, LimitSeen] = {}
        self._unreadable: set[str] = set()
        self.on_limit: OnLimit = lambda target, seen: None
        """Is told what is news."""
        self.on_ask: AskPermit = lambda target, tier: None
        """Asks for a permit, without waiting for it."""

    def heard(
        self, target: str, named: float | UnreadableLimit | None, sent_at: timedelta
    ) -> None:
        """Take in what an answer of ``target`` to a request sent then named."""
        if isinstance(named, UnreadableLimit):
            self._log_unreadable(target, named)
        elif named is not None:
            self._learn(target, LimitSeen(named, self._clock.elapsed()))
        elif target in self._limited:
            self._learn(target, LimitSeen(None, sent_at))

    def told(self, target: str, seen: LimitSeen) -> None:
        """Take in what a peer says of the limit of ``target``."""
        self._learn(target, seen, "peer")

    def known(self, target: str) -> LimitSeen | None:
        """Return what was seen last of the limit of ``target``, ``None`` if nothing."""
        with self._lock:
            limited = self._limited.get(target)
            return self._ended.get(target) if limited is None else limited.seen

    def all_limits(self) -> dict[str, LimitSeen]:
        """Return the limits in force, by target."""
        with self._lock:
            return {name: limited.seen for name, limited in self._limited.items()}

    def rates(self) -> dict[str, float]:
        """Return the limits in force, in requests a second, by target."""
        limits = self.all_limits().items()
        return {name: seen.rate for name, seen in limits if seen.rate is not None}

    def opens_at(self, target: str, tier: int, now: timedelta) -> timedelta:
        """Return when a request of ``tier`` may be sent there, or a permit asked for.

        That is ``now`` if the target is not limited.
        """
        if target not in self._limited:
            return now
        with self._lock:
            limited = self._limited.get(target)
            return now if limited is None else limited.opens_at(tier, now)

    def take(self, target: str, asked: bool) -> bool:
        """Use a permit; tell whether a request may be sent to ``target`` now.

        ``asked`` tells that a permit was asked for, see :meth:`ask`.
        """
        if target not in self._limited:
            return True
        with self._lock:
            limited = self._limited.get(target)
            if limited is None:
                return True
            taken = limited.take(self._clock.elapsed(), asked)
            self._count("used", int(taken))
            self._count_lapsed(limited)
            return taken

    def ask(self, target: str, tier: int) -> None:
        """Ask for a permit for a request of ``tier``; see :meth:`settle`."""
        self._count_waiting(target, 1)
        self.on_ask(target, tier)

    def settle(self, targets: Iterable[str]) -> None:
        """Take in that a request waits no longer for the permits that it asked for."""
        for target in targets:
            self._count_waiting(target, -1)

    def give_back(self, target: str) -> None:
        """Take back the permit of a request of which nothing was sent."""
        with self._lock:
            limited = self._limited.get(target)
            if limited is not None:
                limited.add(self._clock.elapsed())
                self._count("given_back")

    def granted(self, target: str) -> None:
        """Take in a permit for ``target``."""
        self._count("granted")
        with self._lock:
            limited = self._limited.get(target)
            if limited is not None:
                self._count("late", int(not limited.waiting))
                limited.add(self._clock.elapsed())

    def denied(self, target: str, tier: int, wait: timedelta) -> None:
        """Take in that there is no permit for ``tier``; ask again after ``wait``."""
        self._count("denied")
        self._close(target, tier, wait)

    def unanswered(self, target: str, tier: int) -> None:
        """Take in that nobody answered a question for a permit."""
        self._count("unanswered")
        log_change("permit_unanswered", target=target, tier=tier)
        self._close(target, tier, UNANSWERED_PAUSE)

    def forget(self, is_known: Callable[[str], bool]) -> None:
        """Drop what is kept of targets that are no more, or not listed in time."""
        earliest = self._clock.elapsed() - UNLISTED_KEPT
        with self._lock:
            for name, limited in list(self._limited.items()):
                self._count_lapsed(limited)
                if limited.seen.at < earliest and not is_known(name):
                    del self._limited[name]
            for name, seen in list(self._ended.items()):
                if seen.at < earliest and not is_known(name):
                    del self._ended[name]
            self._unreadable = {name for name in self._unreadable if is_known(name)}
            self._metrics.limited_targets.set(len(self._limited))

    def _count(self, outcome: str, permits: int = 1) -> None:
        if permits:
            self._metrics.permits.labels(outcome).inc(permits)

    def _count_lapsed(self, limited: LimitedTarget) -> None:
        self._count("lapsed", limited.count_lapsed(self._clock.elapsed()))

    def _count_waiting(self, target: str, change: int) -> None:
        with self._lock:
            limited = self._limited.get(target)
            if limited is not None:
                limited.waiting = max(0, limited.waiting + change)

    def _close(self, target: str, tier: int, wait: timedelta) -> None:
        with self._lock:
            limited = self._limited.get(target)
            if limited is not None:
                limited.close(tier, self._clock.elapsed() + wait)

    def _learn(self, target: str, seen: LimitSeen, source: str = "answer") -> None:
        with self._lock:
            limited = self._limited.get(target)
            known = self._ended.get(target) if limited is None else limited.seen
            if not seen.supersedes(known):
                return
            if seen.rate is None:
                self._limited.pop(target, None)
                self._ended[target] = seen
            elif limited is None:
                self._ended.pop(target, None)
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
