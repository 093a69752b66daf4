"""Detects targets that end while they run a request, and refuses such requests.

Otherwise a request that crashes its target would crash another one at each retry.
"""

import threading
from collections.abc import Callable, Hashable, Iterable
from datetime import timedelta
from enum import Enum
from typing import Protocol

from runhatch_coordination import Clock
from runhatch_server.crashes._trait_watch import TraitWatch
from runhatch_server.decisions import (
    IncompleteRequest,
    ObservedEnd,
    Suspects,
    is_trait,
)
from runhatch_server.observability import Metrics, log_change
from runhatch_server.refusals import Executed, Reason, Refusal

PROBE_TTL = timedelta(milliseconds=500)
"""How long the result of a probe applies to all requests aborted at the target."""
REPROBE_DELAY = timedelta(milliseconds=50)
"""Delay before a target that still accepted connections is probed again. A process
that ends closes its sockets one by one, which takes longer on a busy VM."""
CHECK_INTERVAL = timedelta(seconds=1)
"""Interval between checks of targets that may have ended. Targets that refuse
connections are detected at once, the others by their entries in the store."""
PROBE_WINDOW = timedelta(seconds=1.5)
"""How long a target is probed after it aborted a request; after that its store entry
shows whether it ended. This avoids a connection for each abort of a target that aborts
many answers but keeps running."""


class TargetStanding(Enum):
    """Known state of an incarnation of a target."""

    RUNNING = "works"
    DRAINING = "leaves"
    REMOVED = "gone"


class TargetMonitor(Protocol):
    """State of targets as needed by :class:`CrashDetector`, by incarnation."""

    def standing(self, target: str) -> TargetStanding:
        """Return the state of ``target`` according to the store."""

    def refuses_connections(self, target: str) -> bool:
        """Return whether the address of ``target`` refuses connections."""

    def record_end(self, target: str, at: timedelta) -> None:
        """Record that ``target`` ended at ``at``; a restart is another incarnation."""


class CrashDetector:
    """Detects ended targets and refuses requests that ended several; thread-safe.

    A broken connection alone does not count: a target may abort one answer and complete
    a hundred others. A target has ended if its address refuses connections, or if its
    entry is removed from the store soon afterwards.
    """

    def __init__(
        self,
        clock: Clock,
        targets: TargetMonitor,
        metrics: Metrics,
        on_update: Callable[[], None],
        owns_trials_of: Callable[[str], bool] = lambda trait: True,
    ) -> None:
        """``owns_trials_of`` returns whether this node is the one that sends the trials
        of a held trait."""
        self._clock = clock
        self._targets = targets
        self._metrics = metrics
        self._notify_updates = on_update
        self._lock = threading.Lock()
        self._suspects = Suspects()
        self.traits = TraitWatch(clock, metrics, owns_trials_of, on_update)
        """The traits of prompts that crash targets."""
        self._new_ends: list[ObservedEnd] = []
        self._new_cleared: list[str] = []
        self._probes: dict[str, _Probe] = {}
        self.recheck_requested = threading.Event()
        """Set when a target that aborted a request is to be probed again."""

    def check_request(
        self,
        fingerprint: str,
        traits: tuple[str, ...] = (),
        key: Hashable = None,
    ) -> Refusal | None:
        """Return a refusal if a request must not be sent, else ``None``.

        The refusal states ``executed: no``, which applies to this attempt only.
        ``key`` identifies the request on this node, as it may be sent as a trial.
        """
        now = self._clock.elapsed()
        with self._lock:
            remaining = self._suspects.remaining_hold(fingerprint, now)
        if remaining is None:
            return self.traits.check(traits, key)
        detail = "targets that ran this request have ended, so it is not sent again"
        # No retry time is given, because an early retry is not wanted.
        return Refusal(Reason.CRASHES_TARGETS, Executed.NO, detail)

    def record_abort(
        self,
        fingerprint: str,
        target: str,
        unbegun_traits: tuple[str, ...] = (),
    ) -> None:
        """Record that ``target`` aborted a request, and probe whether it has ended.

        ``unbegun_traits`` are the traits of a request that it had not begun to answer.
        """
        # A draining target ends as planned, with the requests it still has.
        if self._targets.standing(target) is not TargetStanding.RUNNING:
            return
        now = self._clock.elapsed()
        with self._lock:
            self._suspects.record_abort(fingerprint, target, now, unbegun_traits)
        if self._refuses_connections(target):
            self._record_ended(target, "connections are refused")
        else:
            self.recheck_requested.set()

    def record_abandoned(
        self,
        fingerprint: str,
        target: str,
        unbegun_traits: tuple[str, ...] = (),
    ) -> None:
        """Record that the caller disconnected or the deadline passed before the answer.

        ``target`` may still run the request and crash because of it.
        """
        if self._targets.standing(target) is not TargetStanding.RUNNING:
            return
        now = self._clock.elapsed()
        with self._lock:
            self._suspects.record_abandoned(fingerprint, target, now, unbegun_traits)

    def record_answer(
        self, fingerprint: str, target: str, sent_at: timedelta, succeeded: bool = True
    ) -> None:
        """Record a complete answer to a request sent to ``target`` at ``sent_at``.

        ``succeeded`` is false if the target failed the request.
        """
        with self._lock:
            self._suspects.record_running(target, sent_at)
            if not succeeded:
                return
            if not self._suspects.record_answer(fingerprint, self._clock.elapsed()):
                return
            self._new_cleared.append(fingerprint)
        log_change("request_cleared", fingerprint=fingerprint, source="own")
        self._notify_updates()

    def record_unframed_answer(
        self, fingerprint: str, target: str, sent_at: timedelta
    ) -> None:
        """Record an answer whose body ended with its connection.

        It would have ended like this too if ``target`` had crashed, so it clears no
        request, and ``target`` is probed soon.
        """
        with self._lock:
            self._suspects.record_running(target, sent_at)
        if self._targets.standing(target) is not TargetStanding.RUNNING:
            return
        with self._lock:
            self._suspects.record_abort(fingerprint, target, self._clock.elapsed())
        self.recheck_requested.set()

    def recheck_targets(self) -> None:
        """Wait ``REPROBE_DELAY`` after an abort, then call :meth:`check_targets`."""
        self._clock.sleep(REPROBE_DELAY)
        self.check_targets()

    def check_targets(self) -> None:
        """Check targets that may have ended, and expire old records."""
        now = self._clock.elapsed()
        with self._lock:
            possibly_ended = self._suspects.possibly_ended_targets()
        for target, disconnected_at in possibly_ended.items():
            standing = self._targets.standing(target)
            if standing is TargetStanding.REMOVED:
                self._record_ended(target, "its store entry was removed")
            elif standing is TargetStanding.DRAINING:
                with self._lock:
                    self._suspects.record_shutdown(target)
            elif disconnected_at is None or now - disconnected_at >= PROBE_WINDOW:
                continue
            elif self._refuses_connections(target):
                self._record_ended(target, "connections are refused")
        self.traits.remove_expired()
        with self._lock:
            self._suspects.remove_expired(now)
            self._metrics.requests_held_back.set(len(self._suspects.held_requests(now)))
            for name in [n for n, p in self._probes.items() if p.is_old(now)]:
                del self._probes[name]

    # Exchange with other nodes.

    @property
    def digest(self) -> int:
        """Hash of all recorded ends, equal on nodes that have recorded the same."""
        with self._lock:
            digest = self._suspects.digest
        return digest ^ self.traits.digest

    def take_updates(self) -> tuple[list[ObservedEnd], list[str]]:
        """Return and clear the ends and cleared requests not yet sent to peers."""
        with self._lock:
            ends, self._new_ends = self._new_ends, []
            cleared, self._new_cleared = self._new_cleared, []
        return ends, cleared

    def known_ends(self) -> list[ObservedEnd]:
        """Return all recorded ends, those of the strongest suspects first."""
        with self._lock:
            ends = self._suspects.known_ends()
        return [*self.traits.known_ends(), *ends]

    def rank_ends(self, ends: Iterable[ObservedEnd]) -> list[ObservedEnd]:
        """Return those of ``ends`` that still count, the strongest suspects first."""
        counted = [(self._count_ends(end), end) for end in ends]
        counted.sort(key=lambda item: -item[0])
        return [end for count, end in counted if count]

    def receive_ended_target(self, target: str, at: timedelta) -> None:
        """Record that ``target`` ended, as another node found."""
        self._targets.record_end(target, at)
        self.traits.record_target_end(target, at)

    def receive_ends(self, ends: Iterable[ObservedEnd]) -> None:
        """Record ends received from a peer, and queue new ones for other peers."""
        self._record_peer_ends(ends, "peer")

    def receive_cleared(self, fingerprints: Iterable[str]) -> None:
        """Record that requests were answered on other nodes."""
        now = self._clock.elapsed()
        with self._lock:
            cleared = [
                name for name in fingerprints if self._suspects.record_answer(name, now)
            ]
            self._new_cleared += cleared
        for name in cleared:
            log_change("request_cleared", fingerprint=name, source="peer")
        if cleared:
            self._notify_updates()

    # Implementation.

    def _record_ended(self, target: str, why: str) -> None:
        now = self._clock.elapsed()
        with self._lock:
            requests = self._suspects.incomplete_requests(target)
            ends = self._suspects.record_end(target, now)
        self.traits.record_target_end(target, now)
        trait_ends = self.traits.record_ends(_ends_of_traits(target, requests), "own")
        with self._lock:
            self._new_ends += [*ends, *trait_ends]
            probe = self._probes.setdefault(target, _Probe())
            was_ended, probe.ended = probe.ended, True
        self._targets.record_end(target, now)
        if not ends and not trait_ends:
            return
        if not was_ended:
            self._metrics.ended_targets.inc()
        log_change(
            "target_ended",
            target=target,
            why=why,
            requests=sorted(end.fingerprint for end in ends),
            unbegun=sorted(e.fingerprint for e in requests if e.unbegun_traits),
            traits=sorted(end.fingerprint for end in trait_ends),
        )
        self._log_held(ends, "own")
        self._notify_updates()

    def _record_peer_ends(self, ends: Iterable[ObservedEnd], source: str) -> None:
        ends = [*ends]
        trait_ends = self.traits.record_ends(
            [end for end in ends if is_trait(end.fingerprint)], source
        )
        with self._lock:
            request_ends = self._suspects.record_ends(
                [end for end in ends if not is_trait(end.fingerprint)],
                self._clock.elapsed(),
            )
            self._new_ends += [*request_ends, *trait_ends]
        for target, at in {end.target: end.at for end in ends}.items():
            self._targets.record_end(target, at)
        self._log_held(request_ends, source)
        if request_ends or trait_ends:
            self._notify_updates()

    def _count_ends(self, end: ObservedEnd) -> int:
        if is_trait(end.fingerprint):
            return self.traits.count_ends(end)
        with self._lock:
            return self._suspects.count_ends(end)

    def _log_held(self, ends: Iterable[ObservedEnd], source: str) -> None:
        """Log the requests that are now held back, or for longer than before."""
        for fingerprint in sorted({end.fingerprint for end in ends}):
            with self._lock:
                remaining = self._suspects.remaining_hold(
                    fingerprint, self._clock.elapsed()
                )
                targets = self._suspects.ended_targets(fingerprint)
            if remaining is not None:
                log_change(
                    "request_held",
                    fingerprint=fingerprint,
                    targets=list(targets),
                    for_s=round(remaining.total_seconds(), 1),
                    source=source,
                )

    def _refuses_connections(self, target: str) -> bool:
        """Probe ``target`` once for all requests that were just aborted there."""
        with self._lock:
            probe = self._probes.setdefault(target, _Probe())
        with probe.lock:
            now = self._clock.elapsed()
            if probe.is_due(now):
                probe.is_second = not probe.is_old(now)
                probe.refused = self._targets.refuses_connections(target)
                probe.at = self._clock.elapsed()
            return probe.refused


def _ends_of_traits(
    target: str, requests: Iterable[IncompleteRequest]
) -> list[ObservedEnd]:
    """Return the ends of ``target`` under the traits of requests not begun there."""
    times = {trait: each.at for each in requests for trait in each.unbegun_traits}
    return [ObservedEnd(trait, target, at) for trait, at in times.items()]


class _Probe:
    """The latest probe of one target; its lock is held during a probe."""

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.at = timedelta(days=-1)
        self.refused = False
        self.is_second = False
        """Whether the latest probe was the second one within ``PROBE_TTL``."""
        self.ended = False
        """Whether the target was already counted as ended."""

    def is_old(self, now: timedelta) -> bool:
        return now - self.at >= PROBE_TTL

    def is_due(self, now: timedelta) -> bool:
        """Return whether to probe again, at most twice within ``PROBE_TTL``."""
        may_repeat = not self.is_second and now - self.at >= REPROBE_DELAY
        return self.is_old(now) or may_repeat
