"""Finds requests that crash their targets, and how long to refuse each of them.

A request that crashes every target that runs it may be retried at any node and take
down one target after another. A crash aborts all requests in progress at the target,
so all of them become suspects; an answer clears a request, and only the culprit is
involved in further crashes.
"""

from collections import OrderedDict, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import timedelta
from hashlib import blake2b

ENDS_THAT_HOLD = 2
"""Number of targets that must have ended under a request before it is held back. Each
crash involves about ten requests in progress, nearly all of them harmless."""
FIRST_HOLD = timedelta(seconds=20)
"""How long a request is held back after two targets ended. Harmless requests are hit
twice too where a few targets share a busy model, so they are soon tried again."""
LONG_HOLD = timedelta(minutes=10)
LONGEST_HOLD = timedelta(hours=2)
"""How long a request is held back after three targets ended, doubled with each further
one up to ``LONGEST_HOLD``. Another trial costs a target and all its requests."""
MOST_DOUBLINGS = 4
"""Number of doublings after which the hold reaches its maximum."""
REMEMBERED = timedelta(minutes=10)
"""How long a suspicion is remembered after the request is no longer held back. Callers
that retry do so within minutes."""
END_FOUND_WITHIN = timedelta(seconds=8)
"""Maximum time between the abort of a request and the detection of its target's end.
Entries of silent targets expire in the store after about four seconds, or later if
the store is slow."""
SOUND_FOR = timedelta(minutes=1)
"""How long an answer clears a request. The same request of many callers may be in
progress at several targets that end at the same time."""
MOST_SUSPECTS = 2_000
MOST_SOUND = 4_000
"""Maximum numbers of remembered requests, which bound a node's memory if targets end
continually."""


@dataclass(frozen=True, slots=True)
class EndedUnder:
    """The incarnation ``target`` ended at ``at`` while it ran a request."""

    fingerprint: str
    target: str
    at: timedelta


@dataclass(slots=True)
class _Suspicion:
    """Targets that ended while they ran one request."""

    ended: dict[str, timedelta] = field(default_factory=dict)
    """Time of the end by incarnation of a target."""

    @property
    def last(self) -> timedelta:
        return max(self.ended.values())

    @property
    def held_until(self) -> timedelta:
        """Time until which the request is held back; past if it is not held back."""
        count = len(self.ended)
        if count < ENDS_THAT_HOLD:
            return self.last
        if count == ENDS_THAT_HOLD:
            return self.last + FIRST_HOLD
        doublings = min(count - ENDS_THAT_HOLD - 1, MOST_DOUBLINGS)
        return self.last + min(LONG_HOLD * (1 << doublings), LONGEST_HOLD)

    @property
    def forgotten_at(self) -> timedelta:
        return self.held_until + REMEMBERED


class Suspects:
    """Requests suspected of crashing targets, as known to one node."""

    def __init__(self) -> None:
        self._unfinished: defaultdict[str, dict[str, timedelta]] = defaultdict(dict)
        """Requests without a complete answer, with the time of their abort, by
        incarnation of a target that may still be running."""
        self._last_disconnects: dict[str, timedelta] = {}
        """Time of the last disconnect by incarnation, of those in ``_unfinished``."""
        self._suspicions: dict[str, _Suspicion] = {}
        self._cleared_at: OrderedDict[str, timedelta] = OrderedDict()
        self._digest = 0

    @property
    def digest(self) -> int:
        """Hash of all recorded ends, equal on nodes that have recorded the same."""
        return self._digest

    def unfinished_at(self) -> dict[str, timedelta | None]:
        """Return the incarnations that may have ended while they ran requests.

        Each maps to the time of its last disconnect, ``None`` if there was none.
        """
        return {
            target: self._last_disconnects.get(target) for target in self._unfinished
        }

    def unfinished(self, fingerprint: str, target: str, now: timedelta) -> None:
        """Record that a request was abandoned before ``target`` answered completely.

        Its caller disconnected or its deadline passed; the target may still run it.
        """
        self._unfinished[target][fingerprint] = now

    def cut_off(self, fingerprint: str, target: str, now: timedelta) -> None:
        """Record that ``target`` aborted a request and may have ended."""
        self.unfinished(fingerprint, target, now)
        self._last_disconnects[target] = now

    def lives(self, target: str, sent_at: timedelta) -> None:
        """Record that ``target`` answered a request sent at ``sent_at``."""
        requests = self._unfinished.get(target)
        if requests is None:
            return
        for fingerprint in [name for name, at in requests.items() if at <= sent_at]:
            del requests[fingerprint]
        if not requests:
            self._remove_target(target)

    def leaves(self, target: str) -> None:
        """Record that ``target`` shuts down as planned and no request is to blame."""
        self._remove_target(target)

    def ended(self, target: str, now: timedelta) -> list[EndedUnder]:
        """Record that ``target`` has ended; return the ends to send to other nodes."""
        requests = self._remove_target(target)
        return self.told(
            [
                EndedUnder(fingerprint, target, at)
                for fingerprint, at in requests.items()
                if now - at <= END_FOUND_WITHIN
            ],
            now,
        )

    def told(self, ends: Iterable[EndedUnder], now: timedelta) -> list[EndedUnder]:
        """Record ends observed on any node; return those not known before."""
        return [end for end in ends if self._record(end, now)]

    def answered(self, fingerprint: str, now: timedelta) -> bool:
        """Record that a request was answered; return whether it was a suspect."""
        self._cleared_at[fingerprint] = now
        self._cleared_at.move_to_end(fingerprint)
        if len(self._cleared_at) > MOST_SOUND:
            self._cleared_at.popitem(last=False)
        return self._remove_suspect(fingerprint)

    def held_for(self, fingerprint: str, now: timedelta) -> timedelta | None:
        """Return how much longer a request is held back, ``None`` if it may be sent."""
        suspicion = self._suspicions.get(fingerprint)
        if suspicion is None or now >= suspicion.held_until:
            return None
        return suspicion.held_until - now

    def ended_under(self, fingerprint: str) -> tuple[str, ...]:
        """Return the incarnations that ended while they ran a request."""
        suspicion = self._suspicions.get(fingerprint)
        return () if suspicion is None else tuple(suspicion.ended)

    def held(self, now: timedelta) -> list[str]:
        """Return the fingerprints of the requests that are held back."""
        return [name for name in self._suspicions if self.held_for(name, now)]

    def known(self) -> list[EndedUnder]:
        """Return all recorded ends, those of the strongest suspects first."""
        ordered = sorted(
            self._suspicions.items(),
            key=lambda item: (-len(item[1].ended), -item[1].last),
        )
        return [
            EndedUnder(fingerprint, target, at)
            for fingerprint, suspicion in ordered
            for target, at in suspicion.ended.items()
        ]

    def expire(self, now: timedelta) -> None:
        """Remove aborted requests and suspicions that are too old."""
        for target in [*self._unfinished]:
            requests = self._unfinished[target]
            expired = [n for n, at in requests.items() if now - at > END_FOUND_WITHIN]
            for fingerprint in expired:
                del requests[fingerprint]
            if not requests:
                self._remove_target(target)
        obsolete = [n for n, s in self._suspicions.items() if now >= s.forgotten_at]
        for fingerprint in obsolete:
            self._remove_suspect(fingerprint)

    def _remove_target(self, target: str) -> dict[str, timedelta]:
        self._last_disconnects.pop(target, None)
        return self._unfinished.pop(target, {})

    def _record(self, end: EndedUnder, now: timedelta) -> bool:
        cleared_at = self._cleared_at.get(end.fingerprint)
        if cleared_at is not None and now - cleared_at < SOUND_FOR:
            return False
        suspicion = self._suspicions.setdefault(end.fingerprint, _Suspicion())
        if end.target in suspicion.ended:
            return False
        suspicion.ended[end.target] = end.at
        self._digest ^= _hash_end(end.fingerprint, end.target)
        if len(self._suspicions) > MOST_SUSPECTS:
            self._remove_suspect(self._weakest_suspect())
        return True

    def _weakest_suspect(self) -> str:
        def severity(fingerprint: str) -> tuple[int, timedelta]:
            suspicion = self._suspicions[fingerprint]
            return len(suspicion.ended), suspicion.last

        return min(self._suspicions, key=severity)

    def _remove_suspect(self, fingerprint: str) -> bool:
        suspicion = self._suspicions.pop(fingerprint, None)
        if suspicion is None:
            return False
        for target in suspicion.ended:
            self._digest ^= _hash_end(fingerprint, target)
        return True


def _hash_end(fingerprint: str, target: str) -> int:
    """Return the hash of one end; the digest is the XOR of all of them."""
    name = f"{fingerprint} {target}".encode()
    return int.from_bytes(blake2b(name, digest_size=8).digest(), "big")
