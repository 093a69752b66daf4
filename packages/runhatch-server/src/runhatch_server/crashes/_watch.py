"""Finding out that targets end under a request, and holding that request back."""

import threading
from collections.abc import Callable, Iterable
from datetime import timedelta
from enum import Enum
from typing import Protocol

from runhatch_coordination import Clock
from runhatch_server.decisions import EndedUnder, Suspects
from runhatch_server.observability import Metrics, log_change
from runhatch_server.refusals import Executed, Reason, Refusal

PROBE_VALID = timedelta(milliseconds=500)
"""How long one look at a target counts for all requests that were cut off there."""
SECOND_LOOK = timedelta(milliseconds=50)
"""When a target that seemed to live is looked at once more: a process that ends closes
its connections one by one, which takes longer where processors are busy."""
LOOK_EVERY = timedelta(seconds=1)
"""Between two looks at targets that may have ended: those that refuse connections are
known at once, the others by their entries in the store."""
LOOKED_AT_FOR = timedelta(seconds=1.5)
"""How long a target is looked at after it broke off; later its entry decides.  Targets
that break off many answers and live on are not to get a connection for each."""


class Standing(Enum):
    """What is known of an incarnation of a target."""

    WORKS = "works"
    LEAVES = "leaves"
    GONE = "gone"


class Targets(Protocol):
    """Where the watch learns of targets, each named by its incarnation."""

    def standing(self, target: str) -> Standing:
        """Return what is known of ``target`` from elsewhere."""

    def refuses(self, target: str) -> bool:
        """Tell whether nothing listens at its address any more."""

    def ended(self, target: str) -> None:
        """Take in that ``target`` has ended; what starts there is another."""


class CrashWatch:
    """What ended targets say of the requests that they had; safe for many threads.

    A connection that breaks is no end: a target may break off one answer and give a
    hundred others.  It has ended if nothing listens there any more, or if its entry
    leaves the store soon after.
    """

    def __init__(
        self,
        clock: Clock,
        targets: Targets,
        metrics: Metrics,
        on_news: Callable[[], None],
    ) -> None:
        self._clock = clock
        self._targets = targets
        self._metrics = metrics
        self._on_news = on_news
        self._lock = threading.Lock()
        self._suspects = Suspects()
        self._news: list[EndedUnder] = []
        self._cleared: list[str] = []
        self._probes: dict[str, _Probe] = {}
        self.doubts = threading.Event()
        """Set when a target that broke off is to be looked at once more."""

    def judge(self, fingerprint: str) -> Refusal | None:
        """Return a refusal if a request is not to be sent to any target.

        It says ``executed: no``, which holds for this attempt only.
        """
        now = self._clock.elapsed()
        with self._lock:
            left = self._suspects.held_for(fingerprint, now)
        if left is None:
            return None
        detail = "targets that ran this request have ended, so it is not sent again"
        # No time to come back: a repeat is not wanted soon.
        return Refusal(Reason.ENDS_TARGETS, Executed.NO, detail)

    def cut_off(self, fingerprint: str, target: str) -> None:
        """Take in that ``target`` broke off a request."""
        # One that leaves goes as planned, with whatever it still has.
        if self._targets.standing(target) is not Standing.WORKS:
            return
        now = self._clock.elapsed()
        with self._lock:
            self._suspects.cut_off(fingerprint, target, now)
        if self._listens_no_more(target):
            self._ended(target, "connections are refused")
        else:
            self.doubts.set()

    def unfinished(self, fingerprint: str, target: str) -> None:
        """Take in that a caller left, or its time was over, before the answer.

        ``target`` may go on with the request and end of it.
        """
        if self._targets.standing(target) is not Standing.WORKS:
            return
        now = self._clock.elapsed()
        with self._lock:
            self._suspects.unfinished(fingerprint, target, now)

    def answered(
        self, fingerprint: str, target: str, sent_at: timedelta, sound: bool = True
    ) -> None:
        """Take in a whole answer to a request that was sent to ``target`` then.

        ``sound`` if the target did not fail the request.
        """
        with self._lock:
            self._suspects.lives(target, sent_at)
            if not sound:
                return
            if not self._suspects.answered(fingerprint, self._clock.elapsed()):
                return
            self._cleared.append(fingerprint)
        log_change("request_cleared", fingerprint=fingerprint, source="own")
        self._on_news()

    def look_again(self) -> None:
        """Do as :meth:`settle`, a moment after a target broke off."""
        self._clock.sleep(SECOND_LOOK)
        self.settle()

    def settle(self) -> None:
        """Look again at targets that may have ended, and forget what is old."""
        now = self._clock.elapsed()
        with self._lock:
            unfinished = self._suspects.unfinished_at()
        for target, broke_at in unfinished.items():
            standing = self._targets.standing(target)
            if standing is Standing.GONE:
                self._ended(target, "its entry is gone")
            elif standing is Standing.LEAVES:
                with self._lock:
                    self._suspects.leaves(target)
            elif broke_at is None or now - broke_at >= LOOKED_AT_FOR:
                continue
            elif self._listens_no_more(target):
                self._ended(target, "connections are refused")
        with self._lock:
            self._suspects.expire(now)
            self._metrics.suspects.set(len(self._suspects.held(now)))
            for name in [n for n, p in self._probes.items() if p.is_old(now)]:
                del self._probes[name]

    # Between nodes.

    @property
    def digest(self) -> int:
        """Alike on nodes that know of the same ends."""
        with self._lock:
            return self._suspects.digest

    def take_news(self) -> tuple[list[EndedUnder], list[str]]:
        """Return the ends, and the requests cleared, that others are not told yet."""
        with self._lock:
            news, self._news = self._news, []
            cleared, self._cleared = self._cleared, []
        return news, cleared

    def known(self) -> list[EndedUnder]:
        """Return all ends that are remembered, the gravest first."""
        with self._lock:
            return self._suspects.known()

    def told(self, ends: Iterable[EndedUnder]) -> None:
        """Take in what another node knows; what is news here is told on."""
        self._take(ends, "peer")

    def told_cleared(self, fingerprints: Iterable[str]) -> None:
        """Take in that requests were answered elsewhere."""
        now = self._clock.elapsed()
        with self._lock:
            news = [name for name in fingerprints if self._suspects.answered(name, now)]
            self._cleared += news
        for name in news:
            log_change("request_cleared", fingerprint=name, source="peer")
        if news:
            self._on_news()

    # Inside.

    def _ended(self, target: str, why: str) -> None:
        now = self._clock.elapsed()
        with self._lock:
            ends = self._suspects.ended(target, now)
            self._news += ends
            probe = self._probes.setdefault(target, _Probe())
            is_known, probe.ended = probe.ended, True
        self._targets.ended(target)
        if not ends:
            return
        if not is_known:
            self._metrics.ended_targets.inc()
        log_change(
            "target_ended",
            target=target,
            why=why,
            requests=sorted(end.fingerprint for end in ends),
        )
        self._log_held(ends, "own")
        self._on_news()

    def _take(self, ends: Iterable[EndedUnder], source: str) -> None:
        with self._lock:
            news = self._suspects.told(ends, self._clock.elapsed())
            self._news += news
        if news:
            self._log_held(news, source)
            self._on_news()

    def _log_held(self, ends: Iterable[EndedUnder], source: str) -> None:
        """Tell which requests are held back from now on, or for longer."""
        for fingerprint in sorted({end.fingerprint for end in ends}):
            with self._lock:
                left = self._suspects.held_for(fingerprint, self._clock.elapsed())
                targets = self._suspects.ended_under(fingerprint)
            if left is not None:
                log_change(
                    "request_held",
                    fingerprint=fingerprint,
                    targets=list(targets),
                    for_s=round(left.total_seconds(), 1),
                    source=source,
                )

    def _listens_no_more(self, target: str) -> bool:
        """Look at ``target``, once for all requests that were just cut off there."""
        with self._lock:
            probe = self._probes.setdefault(target, _Probe())
        with probe.lock:
            now = self._clock.elapsed()
            if probe.is_due(now):
                probe.is_second = not probe.is_old(now)
                probe.refused = self._targets.refuses(target)
                probe.at = self._clock.elapsed()
            return probe.refused


class _Probe:
    """The newest look at one target; its lock is held while looking."""

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.at = timedelta(days=-1)
        self.refused = False
        self.is_second = False
        """Whether it was the second look within the time that one is valid."""
        self.ended = False
        """Whether the target was counted as ended."""

    def is_old(self, now: timedelta) -> bool:
        return now - self.at >= PROBE_VALID

    def is_due(self, now: timedelta) -> bool:
        """Tell whether to look anew: twice within the time that a look is valid."""
        again = not self.is_second and now - self.at >= SECOND_LOOK
        return self.is_old(now) or again
