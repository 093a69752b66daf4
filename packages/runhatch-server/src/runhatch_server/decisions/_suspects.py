"""Which requests end the targets that run them, and for how long they are held back.

The load that this answers is one request that crashes each target that begins to run
it, and that comes again at any node.  A crash cuts off everything that is in progress
at the target, so each request there falls under suspicion; of these one stays with
the targets that end, and an answer to any of the others clears it.
"""

from collections import OrderedDict, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import timedelta
from hashlib import blake2b

ENDS_THAT_HOLD = 2
"""Targets that must have ended under a request before it is held back.  One ends under
each of the ten or so requests in progress there, nearly all of them sound."""
FIRST_HOLD = timedelta(seconds=20)
"""How long a request is held back under which two targets have ended: sound ones meet
that too where a few targets share a busy model, so they get another trial soon."""
LONG_HOLD = timedelta(minutes=10)
LONGEST_HOLD = timedelta(hours=2)
"""How long from the third target on, doubled with each further one: another trial
costs a target and all that it has in progress."""
MOST_DOUBLINGS = 4
"""Those after which the hold is the longest."""
REMEMBERED = timedelta(minutes=10)
"""How long an ended target is held against a request beyond the time it is held back:
callers that come back at all do so within minutes."""
END_FOUND_WITHIN = timedelta(seconds=8)
"""How long after a request was cut off its target's end may be found out: entries of
silent targets leave the store after some four seconds, later if that is slow."""
SOUND_FOR = timedelta(minutes=1)
"""How long an answer speaks for a request: the same request of many callers may be in
progress at each of several targets that end together."""
MOST_SUSPECTS = 2_000
MOST_SOUND = 4_000
"""Requests remembered: targets that end all the time must not take a node's memory."""


@dataclass(frozen=True, slots=True)
class EndedUnder:
    """An incarnation of a target ended at ``at`` with a request in progress."""

    fingerprint: str
    target: str
    at: timedelta


@dataclass(slots=True)
class _Suspicion:
    """The ends that are held against one request."""

    ended: dict[str, timedelta] = field(default_factory=dict)
    """By incarnation of a target: when it ended."""

    @property
    def last(self) -> timedelta:
        return max(self.ended.values())

    @property
    def held_until(self) -> timedelta:
        """When it may be tried again; in the past if it is not held back."""
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
    """What one node knows of requests and the targets that ended under them."""

    def __init__(self) -> None:
        self._unfinished: defaultdict[str, dict[str, timedelta]] = defaultdict(dict)
        """By incarnation: requests that got no whole answer there, and when; it may
        live on."""
        self._doubted: dict[str, timedelta] = {}
        """When an incarnation broke a connection last, of those in ``_unfinished``."""
        self._suspicions: dict[str, _Suspicion] = {}
        self._sound: OrderedDict[str, timedelta] = OrderedDict()
        self._digest = 0

    @property
    def digest(self) -> int:
        """Alike on two nodes that know the same."""
        return self._digest

    def unfinished_at(self) -> dict[str, timedelta | None]:
        """Return the incarnations that may have ended under requests.

        Each with when it broke a connection last, ``None`` if it broke none.
        """
        return {target: self._doubted.get(target) for target in self._unfinished}

    def unfinished(self, fingerprint: str, target: str, now: timedelta) -> None:
        """Take in that a request got no whole answer at ``target`` until now.

        Its caller left or its time was over; it may have gone on there.
        """
        self._unfinished[target][fingerprint] = now

    def cut_off(self, fingerprint: str, target: str, now: timedelta) -> None:
        """Take in that ``target`` broke off a request, and may have ended."""
        self.unfinished(fingerprint, target, now)
        self._doubted[target] = now

    def lives(self, target: str, sent_at: timedelta) -> None:
        """Take in that ``target`` answered a request that was sent to it then."""
        requests = self._unfinished.get(target)
        if requests is None:
            return
        for fingerprint in [name for name, at in requests.items() if at <= sent_at]:
            del requests[fingerprint]
        if not requests:
            self._drop(target)

    def leaves(self, target: str) -> None:
        """Take in that ``target`` ends as planned; no request is to blame for it."""
        self._drop(target)

    def ended(self, target: str, now: timedelta) -> list[EndedUnder]:
        """Take in that ``target`` has ended; returns what other nodes are to know."""
        requests = self._drop(target)
        return self.told(
            [
                EndedUnder(fingerprint, target, at)
                for fingerprint, at in requests.items()
                if now - at <= END_FOUND_WITHIN
            ],
            now,
        )

    def told(self, ends: Iterable[EndedUnder], now: timedelta) -> list[EndedUnder]:
        """Take in what was seen here or elsewhere; returns what is news."""
        return [end for end in ends if self._take(end, now)]

    def answered(self, fingerprint: str, now: timedelta) -> bool:
        """Take in that a request was answered; tell whether it was under suspicion."""
        self._sound[fingerprint] = now
        self._sound.move_to_end(fingerprint)
        if len(self._sound) > MOST_SOUND:
            self._sound.popitem(last=False)
        return self._forget(fingerprint)

    def held_for(self, fingerprint: str, now: timedelta) -> timedelta | None:
        """Return how long a request is still held back, ``None`` if it may be sent."""
        suspicion = self._suspicions.get(fingerprint)
        if suspicion is None or now >= suspicion.held_until:
            return None
        return suspicion.held_until - now

    def ended_under(self, fingerprint: str) -> tuple[str, ...]:
        """Return the incarnations that ended under a request."""
        suspicion = self._suspicions.get(fingerprint)
        return () if suspicion is None else tuple(suspicion.ended)

    def held(self, now: timedelta) -> list[str]:
        """Return the requests that are held back."""
        return [name for name in self._suspicions if self.held_for(name, now)]

    def known(self) -> list[EndedUnder]:
        """Return all that is remembered, the gravest first."""
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
        """Drop what is too old to tell anything."""
        for target in [*self._unfinished]:
            requests = self._unfinished[target]
            old = [n for n, at in requests.items() if now - at > END_FOUND_WITHIN]
            for name in old:
                del requests[name]
            if not requests:
                self._drop(target)
        over = [n for n, s in self._suspicions.items() if now >= s.forgotten_at]
        for fingerprint in over:
            self._forget(fingerprint)

    def _drop(self, target: str) -> dict[str, timedelta]:
        self._doubted.pop(target, None)
        return self._unfinished.pop(target, {})

    def _take(self, end: EndedUnder, now: timedelta) -> bool:
        sound_at = self._sound.get(end.fingerprint)
        if sound_at is not None and now - sound_at < SOUND_FOR:
            return False
        suspicion = self._suspicions.setdefault(end.fingerprint, _Suspicion())
        if end.target in suspicion.ended:
            return False
        suspicion.ended[end.target] = end.at
        self._digest ^= _code(end.fingerprint, end.target)
        if len(self._suspicions) > MOST_SUSPECTS:
            self._forget(self._least_suspect())
        return True

    def _least_suspect(self) -> str:
        def gravity(fingerprint: str) -> tuple[int, timedelta]:
            suspicion = self._suspicions[fingerprint]
            return len(suspicion.ended), suspicion.last

        return min(self._suspicions, key=gravity)

    def _forget(self, fingerprint: str) -> bool:
        suspicion = self._suspicions.pop(fingerprint, None)
        if suspicion is None:
            return False
        for target in suspicion.ended:
            self._digest ^= _code(fingerprint, target)
        return True


def _code(fingerprint: str, target: str) -> int:
    """Return a number for one end; the digest combines those of all by XOR."""
    name = f"{fingerprint} {target}".encode()
    return int.from_bytes(blake2b(name, digest_size=8).digest(), "big")
