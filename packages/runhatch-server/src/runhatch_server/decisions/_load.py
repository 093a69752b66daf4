"""How busy each target is: own requests, what peers tell, and how fast it works.

All requests to a target come from the gateways, so what they have outstanding
together is its load.  The work ahead of a new request is counted in milliseconds of
prompt reading, which is what an engine does first and one after another.
"""

import math
from collections.abc import Iterator
from dataclasses import dataclass, field
from datetime import timedelta

TIERS = 4
"""Ranks by which targets take requests: three of requests in time, one of late ones."""
LATE_TIER = TIERS - 1
LEAST_REMAINING = 0.15
"""Share of a request's reading that is counted until its first token is seen."""
OLDER_SHARE = 0.5
"""Share of the requests held on other nodes that go before one held here."""
PEER_LOAD_VALID = timedelta(seconds=2)
"""Age at which what a peer told of its load is no longer counted."""
SLOWNESS_GAIN = 0.15
SLOWNESS_HALF_LIFE = timedelta(seconds=3)
"""How soon a target that was slower than predicted is believed in again."""
LEAST_SLOWNESS, MOST_SLOWNESS = 0.4, 4.0
"""Bounds of one observation: others may have been sent there unseen."""
FAULT_GAIN = 0.25
FAULT_HALF_LIFE = timedelta(seconds=3)
"""How soon a target that failed is tried again."""
SILENT_AFTER = timedelta(milliseconds=900)
SILENT_FACTOR = 4.0
"""A target is silent if its oldest request has waited so long and so many times
longer than predicted, and nothing was heard from it meanwhile."""
BUSY_TIME = timedelta(seconds=2)
"""Over which the share of a target's time that prompts take is averaged: long enough
for clumps of some three requests to pass, short beside the answers in progress."""
STEP_MS = 12.0
"""Time between two tokens of a stream at an engine that reads no prompts, before any
was measured: steps of 5 to 9 ms, longer the more runs share them."""
LEAST_STEP_MS, MOST_STEP_MS = 1.0, 100.0
"""Bounds of what is believed of a step, against measurements gone wrong."""
SHORTER_GAIN, LONGER_GAIN = 0.5, 0.05
"""Weights of the newest stream in a target's time for a step.  Streams between whose
events prompts were read are longer, so a shorter one tells more."""
STREAM_TOKENS_AT_ONCE = 0.95
"""Share of a target's cache that is filled on purpose; beyond it runs are preempted."""


@dataclass(slots=True)
class Outstanding:
    """A request at a target: what it was expected to cost, and how far it is."""

    work_ms: float
    tokens: int
    sent_at: timedelta
    predicted_ms: float
    tier: int = 0
    unread: int = 0
    """Tokens of its prompt that the target must read."""
    ahead_ms: float = 0.0
    """Prompt reading that was ahead of it when it was sent."""
    started: bool = False
    held: bool = False
    """Whether it waits on its node for the target to load its model."""

    def remaining_ms(self, now: timedelta) -> float:
        """Return the prompt reading that is still ahead."""
        if self.started or self.held:
            return 0.0
        age = _milliseconds(now - self.sent_at)
        done = age / max(self.predicted_ms, 1.0)
        return self.work_ms * max(LEAST_REMAINING, 1.0 - done)


@dataclass(frozen=True, slots=True)
class LoadShare:
    """What one node has outstanding at one target.

    ``waiting_ms`` is prompt reading not yet done, by tier; ``waiting`` and
    ``running`` are requests before and after their first token, ``tokens`` what
    they occupy.  ``held_ms`` is prompt reading of requests that wait for their
    model to be loaded there.  ``busy`` is the share of the target's time that the
    prompts sent of late take; it fades, so that a change of it alone is no news.
    """

    waiting_ms: tuple[float, ...] = (0.0,) * TIERS
    waiting: int = 0
    running: int = 0
    tokens: int = 0
    held_ms: float = 0.0
    busy: float = field(default=0.0, compare=False)

    def plus(self, other: "LoadShare") -> "LoadShare":
        """Return what both have there together."""
        return self._combined(other, 1)

    def minus(self, other: "LoadShare") -> "LoadShare":
        """Return what is left without ``other``, which may be somewhat older."""
        return self._combined(other, -1)

    def _combined(self, other: "LoadShare", sign: int) -> "LoadShare":
        pairs = zip(self.waiting_ms, other.waiting_ms, strict=False)
        return LoadShare(
            tuple(max(0.0, ms + sign * of_other) for ms, of_other in pairs),
            max(0, self.waiting + sign * other.waiting),
            max(0, self.running + sign * other.running),
            max(0, self.tokens + sign * other.tokens),
            max(0.0, self.held_ms + sign * other.held_ms),
            max(0.0, self.busy + sign * other.busy),
        )

    @property
    def is_of_engine(self) -> bool:
        """Whether it is of a target that reads prompts, now or a moment ago."""
        return bool(self.tokens or self.held_ms or self.busy)

    def aged(self, age: timedelta, coming: float = 0.0) -> "LoadShare":
        """Return what is left of it after ``age``: prompts are read meanwhile.

        ``coming`` is the share of that time for which others have come.
        """
        read_ms = _milliseconds(age) * max(0.0, 1.0 - coming)
        return LoadShare(
            tuple(max(0.0, ms - read_ms) for ms in self.waiting_ms),
            self.waiting,
            self.running,
            self.tokens,
            self.held_ms,
            self.busy * _faded(age),
        )


@dataclass(slots=True)
class TargetLoad:
    """One target's load and health; guarded by the balancer's lock."""

    own: dict[int, Outstanding] = field(default_factory=dict)
    peers: dict[str, tuple[LoadShare, timedelta]] = field(default_factory=dict)
    """What single nodes told, by name."""
    domains: dict[str, tuple[LoadShare, timedelta]] = field(default_factory=dict)
    """What the nodes of other failure domains have there, as their readers told; under
    no name what all other nodes have."""
    slowness: float = 1.0
    slowness_at: timedelta = timedelta()
    faults: float = 0.0
    faults_at: timedelta = timedelta()
    heard_at: timedelta = timedelta()
    shut_until: timedelta = timedelta()
    shut_times: int = 0
    rests_until: timedelta = timedelta()
    """Until when it wants nothing from this node, by its own word."""
    step_ms: float = STEP_MS
    """Time between two tokens while no prompts are read, as seen."""
    sent_busy: float = 0.0
    sent_busy_at: timedelta = timedelta()

    def sent(self, work_ms: float, now: timedelta) -> None:
        """Take in that a prompt was sent that takes ``work_ms`` to read."""
        added = work_ms / _milliseconds(BUSY_TIME)
        self.sent_busy = self._own_busy(now) + added
        self.sent_busy_at = now

    def _own_busy(self, now: timedelta) -> float:
        return self.sent_busy * _faded(now - self.sent_busy_at)

    def share(self, now: timedelta) -> LoadShare:
        """Return what this node has there."""
        held = [o for o in self.own.values() if o.held]
        sent = [o for o in self.own.values() if not o.held]
        waiting = [o for o in sent if not o.started]
        waiting_ms = [0.0] * TIERS
        for outstanding in waiting:
            waiting_ms[outstanding.tier] += outstanding.remaining_ms(now)
        return LoadShare(
            tuple(waiting_ms),
            len(waiting),
            len(sent) - len(waiting),
            sum(o.tokens for o in sent),
            sum(o.work_ms for o in held),
            self._own_busy(now),
        )

    def held_ahead_ms(self, since: timedelta, now: timedelta) -> float:
        """Return the prompt reading of held requests that go before one held since.

        Of those on other nodes half are taken to be older.
        """
        own = sum(o.work_ms for o in self.own.values() if o.held and o.sent_at < since)
        told = [*_fresh(self.peers, now), *_fresh(self.domains, now)]
        return own + sum(share.held_ms for share, _ in told) * OLDER_SHARE

    def total(self, now: timedelta) -> LoadShare:
        """Return what all nodes have there, as far as it is known.

        What domains told is older, and prompts of theirs have come since.
        """
        total = self.gathered(now)
        for share, age in _fresh(self.domains, now):
            total = total.plus(share.aged(age, share.busy))
        return total

    def gathered(self, now: timedelta) -> LoadShare:
        """Return what this node has there, and those that told it themselves."""
        total = self.share(now)
        for share, age in _fresh(self.peers, now):
            total = total.plus(share.aged(age))
        return total

    def factor(self, now: timedelta) -> float:
        """Return how many times longer than predicted requests take here of late."""
        age = (now - self.slowness_at) / SLOWNESS_HALF_LIFE
        return float(1.0 + (self.slowness - 1.0) * 0.5**age)

    def began(self, predicted_ms: float, took: timedelta, now: timedelta) -> None:
        """Take in how long the first byte took, as against the prediction."""
        seen = _milliseconds(took) / max(predicted_ms, 1.0)
        seen = min(max(seen, LEAST_SLOWNESS), MOST_SLOWNESS)
        known = self.factor(now)
        self.slowness = known + (seen - known) * SLOWNESS_GAIN
        self.slowness_at = now

    def stepped(self, step_ms: float) -> None:
        """Take in the mean time between two tokens of a stream that has ended."""
        seen = min(max(step_ms, LEAST_STEP_MS), MOST_STEP_MS)
        gain = SHORTER_GAIN if seen < self.step_ms else LONGER_GAIN
        self.step_ms += (seen - self.step_ms) * gain

    def fault_rate(self, now: timedelta) -> float:
        """Return the share of recent requests that the target failed; fades."""
        age = (now - self.faults_at) / FAULT_HALF_LIFE
        return float(self.faults * 0.5**age)

    def noted(self, faulty: bool, now: timedelta) -> None:
        """Take in how a request ended."""
        rate = self.fault_rate(now)
        self.faults = rate + ((1.0 if faulty else 0.0) - rate) * FAULT_GAIN
        self.faults_at = now

    def is_silent(self, now: timedelta) -> bool:
        """Tell whether requests wait there far too long without a word."""
        for outstanding in self.own.values():
            if outstanding.started or outstanding.held:
                continue
            if self.heard_at > outstanding.sent_at:
                continue
            patience = max(
                SILENT_AFTER,
                timedelta(milliseconds=outstanding.predicted_ms) * SILENT_FACTOR,
            )
            if now - outstanding.sent_at > patience:
                return True
        return False


def _fresh(
    told: dict[str, tuple[LoadShare, timedelta]], now: timedelta
) -> Iterator[tuple[LoadShare, timedelta]]:
    """Yield what others told lately, each with its age."""
    for share, at in told.values():
        if now - at < PEER_LOAD_VALID:
            yield share, now - at


def _faded(age: timedelta) -> float:
    """Return what is left of an average over ``BUSY_TIME`` after ``age``."""
    return math.exp(-(age / BUSY_TIME))


def _milliseconds(duration: timedelta) -> float:
    return duration / timedelta(milliseconds=1)
