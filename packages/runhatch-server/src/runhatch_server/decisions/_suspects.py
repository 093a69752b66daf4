"""Finds requests that crash their targets, and how long to refuse each of them.

A request that crashes every target that runs it may be retried at any node and take
down one target after another. A crash aborts all requests in progress at the target, so
all of them become suspects. An answer clears a request, so that in the end only the one
that crashes targets remains a suspect.
"""

from collections import OrderedDict, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import timedelta

from runhatch_server.decisions._digests import hash_end

MIN_ENDS_TO_HOLD = 2
"""Number of targets that must have ended under a request before it is held back. Each
crash involves about ten requests in progress, nearly all of them harmless."""
INITIAL_HOLD_DURATION = timedelta(seconds=20)
"""How long a request is held back after two targets ended. Where a few targets share a
busy model, harmless requests may be in progress at two crashes too, so they are soon
tried again."""
REPEATED_HOLD_DURATION = timedelta(minutes=10)
MAX_HOLD_DURATION = timedelta(hours=2)
"""How long a request is held back after three targets ended, doubled with each further
one up to ``MAX_HOLD_DURATION``. Another trial costs a target and all its requests."""
MAX_HOLD_DOUBLINGS = 4
"""Number of doublings after which the hold reaches its maximum."""
SUSPICION_RETENTION = timedelta(minutes=10)
"""How long a suspicion is remembered after the request is no longer held back. Callers
that retry do so within minutes."""
END_DETECTION_WINDOW = timedelta(seconds=8)
"""Maximum time between the abort of a request and the detection of its target's end.
Entries of silent targets expire in the store after about four seconds, or later if
the store is slow."""
CLEARANCE_DURATION = timedelta(minutes=1)
"""How long an answer clears a request. The same request of many callers may be in
progress at several targets that end at the same time."""
MAX_SUSPECTS = 2_000
MAX_CLEARED_REQUESTS = 4_000
"""Maximum numbers of remembered requests, which bound a node's memory if targets end
continually."""


@dataclass(frozen=True, slots=True)
class ObservedEnd:
    """The incarnation ``target`` ended at ``at`` while it ran a request.

    ``fingerprint`` identifies the request, or is one of its traits if the target had
    not begun to answer it.
    """

    fingerprint: str
    target: str
    at: timedelta


@dataclass(slots=True)
class _Suspicion:
    """Targets that ended while they ran one request."""

    ended_at: dict[str, timedelta] = field(default_factory=dict)
    """Time of the end by incarnation of a target."""

    @property
    def last_end_at(self) -> timedelta:
        return max(self.ended_at.values())

    @property
    def held_until(self) -> timedelta:
        """Time until which the request is held back; past if it is not held back."""
        count = len(self.ended_at)
        if count < MIN_ENDS_TO_HOLD:
            return self.last_end_at
        if count == MIN_ENDS_TO_HOLD:
            return self.last_end_at + INITIAL_HOLD_DURATION
        doublings = min(count - MIN_ENDS_TO_HOLD - 1, MAX_HOLD_DOUBLINGS)
        return self.last_end_at + min(
            REPEATED_HOLD_DURATION * (1 << doublings), MAX_HOLD_DURATION
        )

    @property
    def expires_at(self) -> timedelta:
        return self.held_until + SUSPICION_RETENTION


@dataclass(frozen=True, slots=True)
class IncompleteRequest:
    """A request without a complete answer from one target, and the time of its abort.

    ``unbegun_traits`` are its traits if the target had not begun to answer it.
    """

    fingerprint: str
    at: timedelta
    unbegun_traits: tuple[str, ...] = ()


class Suspects:
    """Requests suspected of crashing targets, as known to one node."""

    def __init__(self) -> None:
        self._incomplete_requests: defaultdict[str, dict[str, IncompleteRequest]] = (
            defaultdict(dict)
        )
        """Requests without a complete answer by fingerprint, by incarnation of a target
        that may still be running."""
        self._last_disconnects: dict[str, timedelta] = {}
        """Time of the last disconnect of each target in ``_incomplete_requests``."""
        self._suspicions: dict[str, _Suspicion] = {}
        self._cleared_at: OrderedDict[str, timedelta] = OrderedDict()
        self._digest = 0

    @property
    def digest(self) -> int:
        """Hash of all recorded ends, equal on nodes that have recorded the same."""
        return self._digest

    def possibly_ended_targets(self) -> dict[str, timedelta | None]:
        """Return the incarnations that may have ended while they ran requests.

        Each maps to the time of its last disconnect, ``None`` if there was none.
        """
        return {
            target: self._last_disconnects.get(target)
            for target in self._incomplete_requests
        }

    def incomplete_requests(self, target: str) -> list[IncompleteRequest]:
        """Return the requests without a complete answer from ``target``."""
        return [*self._incomplete_requests.get(target, {}).values()]

    def record_abandoned(
        self,
        fingerprint: str,
        target: str,
        now: timedelta,
        unbegun_traits: tuple[str, ...] = (),
    ) -> None:
        """Record that a request was abandoned before ``target`` answered completely.

        Its caller disconnected or its deadline passed; the target may still run it.
        """
        requests = self._incomplete_requests[target]
        previous = requests.get(fingerprint)
        if previous is not None:
            # One of several equal requests that had not begun is enough to suspect it.
            unbegun_traits = unbegun_traits or previous.unbegun_traits
        requests[fingerprint] = IncompleteRequest(fingerprint, now, unbegun_traits)

    def record_abort(
        self,
        fingerprint: str,
        target: str,
        now: timedelta,
        unbegun_traits: tuple[str, ...] = (),
    ) -> None:
        """Record that ``target`` aborted a request and may have ended."""
        self.record_abandoned(fingerprint, target, now, unbegun_traits)
        self._last_disconnects[target] = now

    def record_running(self, target: str, sent_at: timedelta) -> None:
        """Record that ``target`` answered a request sent at ``sent_at``."""
        requests = self._incomplete_requests.get(target)
        if requests is None:
            return
        for fingerprint in [n for n, each in requests.items() if each.at <= sent_at]:
            del requests[fingerprint]
        if not requests:
            self._remove_target(target)

    def record_shutdown(self, target: str) -> None:
        """Record that ``target`` shuts down as planned and no request is to blame."""
        self._remove_target(target)

    def record_end(self, target: str, now: timedelta) -> list[ObservedEnd]:
        """Record that ``target`` has ended; return the ends to send to other nodes."""
        requests = self._remove_target(target)
        return self.record_ends(
            [
                ObservedEnd(fingerprint, target, request.at)
                for fingerprint, request in requests.items()
                if now - request.at <= END_DETECTION_WINDOW
            ],
            now,
        )

    def record_ends(
        self, ends: Iterable[ObservedEnd], now: timedelta
    ) -> list[ObservedEnd]:
        """Record ends observed on any node; return those not known before."""
        return [end for end in ends if self._record_if_new(end, now)]

    def count_ends(self, end: ObservedEnd) -> int:
        """Return how many targets ended during the request of ``end``, 0 if cleared."""
        suspicion = self._suspicions.get(end.fingerprint)
        is_recorded = suspicion is not None and end.target in suspicion.ended_at
        return len(suspicion.ended_at) if suspicion is not None and is_recorded else 0

    def record_answer(self, fingerprint: str, now: timedelta) -> bool:
        """Record that a request was answered; return whether it was a suspect."""
        self._cleared_at[fingerprint] = now
        self._cleared_at.move_to_end(fingerprint)
        if len(self._cleared_at) > MAX_CLEARED_REQUESTS:
            self._cleared_at.popitem(last=False)
        return self._remove_suspect(fingerprint)

    def remaining_hold(self, fingerprint: str, now: timedelta) -> timedelta | None:
        """Return how much longer a request is held back, ``None`` if it may be sent."""
        suspicion = self._suspicions.get(fingerprint)
        if suspicion is None or now >= suspicion.held_until:
            return None
        return suspicion.held_until - now

    def ended_targets(self, fingerprint: str) -> tuple[str, ...]:
        """Return the incarnations that ended while they ran a request."""
        suspicion = self._suspicions.get(fingerprint)
        return () if suspicion is None else tuple(suspicion.ended_at)

    def held_requests(self, now: timedelta) -> list[str]:
        """Return the fingerprints of the requests that are held back."""
        return [name for name in self._suspicions if self.remaining_hold(name, now)]

    def known_ends(self) -> list[ObservedEnd]:
        """Return all recorded ends, those of the strongest suspects first."""
        ordered = sorted(
            self._suspicions.items(),
            key=lambda item: (-len(item[1].ended_at), -item[1].last_end_at),
        )
        return [
            ObservedEnd(fingerprint, target, at)
            for fingerprint, suspicion in ordered
            for target, at in suspicion.ended_at.items()
        ]

    def remove_expired(self, now: timedelta) -> None:
        """Remove aborted requests and suspicions that are too old."""
        for target in [*self._incomplete_requests]:
            requests = self._incomplete_requests[target]
            expired = [
                name
                for name, request in requests.items()
                if now - request.at > END_DETECTION_WINDOW
            ]
            for fingerprint in expired:
                del requests[fingerprint]
            if not requests:
                self._remove_target(target)
        obsolete = [n for n, s in self._suspicions.items() if now >= s.expires_at]
        for fingerprint in obsolete:
            self._remove_suspect(fingerprint)

    def _remove_target(self, target: str) -> dict[str, IncompleteRequest]:
        self._last_disconnects.pop(target, None)
        return self._incomplete_requests.pop(target, {})

    def _record_if_new(self, end: ObservedEnd, now: timedelta) -> bool:
        cleared_at = self._cleared_at.get(end.fingerprint)
        if cleared_at is not None and now - cleared_at < CLEARANCE_DURATION:
            return False
        suspicion = self._suspicions.setdefault(end.fingerprint, _Suspicion())
        if end.target in suspicion.ended_at:
            return False
        suspicion.ended_at[end.target] = end.at
        self._digest ^= hash_end(end.fingerprint, end.target)
        if len(self._suspicions) > MAX_SUSPECTS:
            self._remove_suspect(self._weakest_suspect())
        return True

    def _weakest_suspect(self) -> str:
        def severity(fingerprint: str) -> tuple[int, timedelta]:
            suspicion = self._suspicions[fingerprint]
            return len(suspicion.ended_at), suspicion.last_end_at

        return min(self._suspicions, key=severity)

    def _remove_suspect(self, fingerprint: str) -> bool:
        suspicion = self._suspicions.pop(fingerprint, None)
        if suspicion is None:
            return False
        for target in suspicion.ended_at:
            self._digest ^= hash_end(fingerprint, target)
        return True
