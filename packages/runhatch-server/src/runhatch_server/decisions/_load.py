"""Load, speed and health of each target.

All requests to a target come from the gateways, so its load is the sum of what they
have outstanding. Work ahead of a new request is counted in milliseconds of prompt
reading, because an engine reads prompts first and one at a time.
"""

import math
from collections.abc import Iterator
from dataclasses import dataclass, field
from datetime import timedelta

from runhatch_server.decisions._work_time import (
    WorkTime,
    WorkTimeStatement,
    latest_statement,
)

TIER_COUNT = 4
"""Priority tiers: three for requests that are on time, one for late requests."""
LATE_TIER = TIER_COUNT - 1
MIN_REMAINING_SHARE = 0.15
"""Minimum share of a request's prompt reading counted until its first token arrives."""
OLDER_HELD_SHARE = 0.5
"""Share of the requests held on other nodes that are assumed to be older than one held
on this node."""
PEER_LOAD_TTL = timedelta(seconds=2)
"""Age from which a peer's load report is ignored."""
SLOWNESS_GAIN = 0.15
SLOWNESS_HALF_LIFE = timedelta(seconds=3)
"""Half-life of the recorded slowness of a target."""
MIN_SLOWNESS, MAX_SLOWNESS = 0.4, 4.0
"""Bounds of one observation, which unreported requests of other nodes may distort."""
FAULT_GAIN = 0.25
FAULT_HALF_LIFE = timedelta(seconds=3)
"""Half-life of the recorded fault rate of a target."""
SILENT_AFTER = timedelta(milliseconds=900)
SILENT_FACTOR = 4.0
"""A target is silent if a request has waited for both ``SILENT_AFTER`` and
``SILENT_FACTOR`` times its predicted time, and the target sent nothing since."""
BUSY_TIME_CONSTANT = timedelta(seconds=2)
"""Time constant for averaging the share of a target's time that prompts take. Long
enough to smooth bursts of about three requests, short compared with the duration of
an answer."""
INITIAL_STEP_MS = 12.0
"""Initial estimate of the usual time between two tokens of a stream at an engine that
reads no prompts. Steps take 5 to 9 ms, longer with more concurrent requests."""
MIN_STEP_MS, MAX_STEP_MS = 1.0, 100.0
"""Bounds of the estimated step time, against wrong measurements."""
SHORTER_GAIN, LONGER_GAIN = 0.5, 0.05
"""Weights of the newest stream in a target's step time. Prompt reading only lengthens
the steps, so a shorter measurement is more reliable and gets the larger weight."""
MIN_CONNECT_BACKOFF = timedelta(milliseconds=500)
MAX_CONNECT_BACKOFF = timedelta(seconds=1)
"""Bounds of the backoff after a failed connect to a target; it doubles each time.  A
probe ends it, which delays no request, and targets that are back must be used soon."""
MAX_BACKOFF_DOUBLINGS = 1
"""Doublings after which the backoff has reached its maximum."""
PROBE_ALLOWANCE = timedelta(seconds=1)
"""Time after the backoff in which a probe shows whether the target can be reached;
requests try it only if none did."""
MAX_CACHE_FILL_SHARE = 0.95
"""Share of a target's cache to fill; above it the engine preempts running requests."""


@dataclass(slots=True)
class OutstandingRequest:
    """A request sent to or held for a target, with its predicted cost and progress.

    ``work_ms`` is the time to read its prompt, ``tokens`` the cache tokens it uses, and
    ``predicted_ms`` the predicted time to the first byte.
    """

    work_ms: float
    tokens: int
    sent_at: timedelta
    predicted_ms: float
    tier: int = 0
    uncached_tokens: int = 0
    """Prompt tokens that are not cached at the target."""
    queued_ms: float = 0.0
    """Prompt reading that was queued before it when it was sent."""
    work_time_factor: float = 1.0
    """Factor on the usual time of work that its prediction assumed."""
    started: bool = False
    held: bool = False
    """Whether it waits on the gateway until the target has loaded its model."""

    def remaining_ms(self, now: timedelta) -> float:
        """Return the remaining prompt reading in milliseconds."""
        if self.started or self.held:
            return 0.0
        age = _milliseconds(now - self.sent_at)
        done_share = age / max(self.predicted_ms, 1.0)
        return self.work_ms * max(MIN_REMAINING_SHARE, 1.0 - done_share)


@dataclass(frozen=True, slots=True)
class LoadShare:
    """What one node, or several together, have outstanding at one target.

    ``waiting_ms`` is the remaining prompt reading by tier. ``waiting`` and ``running``
    count the requests before and after their first token, and ``tokens`` is the number
    of cache tokens that they use. ``held_ms`` is the prompt reading of requests held
    until the target has loaded their model. ``busy`` is the share of the target's time
    that recently sent prompts take; it decays continuously, so it is not compared for
    equality.
    """

    waiting_ms: tuple[float, ...] = (0.0,) * TIER_COUNT
    waiting: int = 0
    running: int = 0
    tokens: int = 0
    held_ms: float = 0.0
    busy: float = field(default=0.0, compare=False)
    work_time: WorkTimeStatement | None = field(default=None, compare=False)

    def plus(self, other: "LoadShare") -> "LoadShare":
        """Return the sum of both shares."""
        return self._combined(other, 1)

    def minus(self, other: "LoadShare") -> "LoadShare":
        """Return this share without ``other``, which may be slightly older.

        No value becomes negative.
        """
        return self._combined(other, -1)

    def _combined(self, other: "LoadShare", sign: int) -> "LoadShare":
        pairs = zip(self.waiting_ms, other.waiting_ms, strict=False)
        return LoadShare(
            tuple(max(0.0, ms + sign * other_ms) for ms, other_ms in pairs),
            max(0, self.waiting + sign * other.waiting),
            max(0, self.running + sign * other.running),
            max(0, self.tokens + sign * other.tokens),
            max(0.0, self.held_ms + sign * other.held_ms),
            max(0.0, self.busy + sign * other.busy),
            latest_statement(self.work_time, other.work_time),
        )

    @property
    def is_engine_share(self) -> bool:
        """Whether the target reads prompts or did so recently."""
        return bool(self.tokens or self.held_ms or self.busy)

    def aged(self, age: timedelta, arriving_share: float = 0.0) -> "LoadShare":
        """Return the share after ``age``, less the prompts read in that time.

        ``arriving_share`` is the share of that time taken by newly sent prompts.
        """
        read_ms = _milliseconds(age) * max(0.0, 1.0 - arriving_share)
        return LoadShare(
            tuple(max(0.0, ms - read_ms) for ms in self.waiting_ms),
            self.waiting,
            self.running,
            self.tokens,
            self.held_ms,
            self.busy * _decay(age),
            self.work_time and self.work_time.aged(age),
        )


@dataclass(slots=True)
class TargetLoad:
    """One target's load and health; guarded by the balancer's lock."""

    own_requests: dict[int, OutstandingRequest] = field(default_factory=dict)
    peer_shares: dict[str, tuple[LoadShare, timedelta]] = field(default_factory=dict)
    """Reports of single nodes, each with its time, by node name."""
    domain_shares: dict[str, tuple[LoadShare, timedelta]] = field(default_factory=dict)
    """Sums over the nodes of other failure domains, each with its time, by domain. The
    sum over all other nodes has an empty key."""
    slowness: float = 1.0
    slowness_at: timedelta = timedelta()
    faults: float = 0.0
    faults_at: timedelta = timedelta()
    last_received_at: timedelta = timedelta()
    avoided_until: timedelta = timedelta()
    avoidance_count: int = 0
    """Number of connects that failed since the last answer."""
    next_connect_at: timedelta = timedelta()
    """End of the backoff after a failed connect."""
    reached_at: timedelta = timedelta(days=-1)
    """Time at which the target last accepted the connection of a probe."""
    backoff_until: timedelta = timedelta()
    """End of the backoff that the target requested from this node."""
    step_ms: float = INITIAL_STEP_MS
    """Measured time between two tokens while no prompts are read, divided by the
    target's work time factor."""
    work_time: WorkTime = field(default_factory=WorkTime)
    sent_busy: float = 0.0
    sent_busy_at: timedelta = timedelta()

    def record_sent(self, work_ms: float, now: timedelta) -> None:
        """Record that a prompt was sent that takes ``work_ms`` to read."""
        added = work_ms / _milliseconds(BUSY_TIME_CONSTANT)
        self.sent_busy = self._own_busy(now) + added
        self.sent_busy_at = now

    def _own_busy(self, now: timedelta) -> float:
        return self.sent_busy * _decay(now - self.sent_busy_at)

    def own_share(self, now: timedelta) -> LoadShare:
        """Return what this node has outstanding at the target."""
        held = [o for o in self.own_requests.values() if o.held]
        sent = [o for o in self.own_requests.values() if not o.held]
        waiting = [o for o in sent if not o.started]
        waiting_ms = [0.0] * TIER_COUNT
        for outstanding in waiting:
            waiting_ms[outstanding.tier] += outstanding.remaining_ms(now)
        return LoadShare(
            tuple(waiting_ms),
            len(waiting),
            len(sent) - len(waiting),
            sum(o.tokens for o in sent),
            sum(o.work_ms for o in held),
            self._own_busy(now),
            self.work_time.received(now),
        )

    def held_ahead_ms(self, since: timedelta, now: timedelta) -> float:
        """Return the prompt reading of requests held before ``since``, in milliseconds.

        The reading held on other nodes is estimated as the share ``OLDER_HELD_SHARE``
        of what they hold.
        """
        own = sum(
            o.work_ms
            for o in self.own_requests.values()
            if o.held and o.sent_at < since
        )
        remote = [
            *_valid_reports(self.peer_shares, now),
            *_valid_reports(self.domain_shares, now),
        ]
        return own + sum(share.held_ms for share, _ in remote) * OLDER_HELD_SHARE

    def total(self, now: timedelta) -> LoadShare:
        """Return what all nodes are known to have outstanding at the target.

        Sums over domains are older than reports of single nodes, so the prompts that
        were sent since then are estimated from the busy share.
        """
        total = self.direct_total(now)
        for share, age in _valid_reports(self.domain_shares, now):
            total = total.plus(share.aged(age, share.busy))
        return total

    def direct_total(self, now: timedelta) -> LoadShare:
        """Return what this node and its directly reporting peers have outstanding."""
        total = self.own_share(now)
        for share, age in _valid_reports(self.peer_shares, now):
            total = total.plus(share.aged(age))
        return total

    def slowness_factor(self, now: timedelta) -> float:
        """Return the recent ratio of actual to predicted time to the first byte."""
        age = (now - self.slowness_at) / SLOWNESS_HALF_LIFE
        return float(1.0 + (self.slowness - 1.0) * 0.5**age)

    def record_first_byte(
        self, predicted_ms: float, took: timedelta, now: timedelta
    ) -> None:
        """Record that the first byte arrived after ``took``, to correct predictions."""
        observed = _milliseconds(took) / max(predicted_ms, 1.0)
        observed = min(max(observed, MIN_SLOWNESS), MAX_SLOWNESS)
        previous = self.slowness_factor(now)
        self.slowness = previous + (observed - previous) * SLOWNESS_GAIN
        self.slowness_at = now

    def record_step_time(self, step_ms: float, now: timedelta) -> None:
        """Record the mean time between two tokens of a finished stream."""
        usual_ms = step_ms / self.work_time.lasting_factor(now)
        observed = min(max(usual_ms, MIN_STEP_MS), MAX_STEP_MS)
        gain = SHORTER_GAIN if observed < self.step_ms else LONGER_GAIN
        self.step_ms += (observed - self.step_ms) * gain

    def fault_rate(self, now: timedelta) -> float:
        """Return the decayed share of recent requests that the target failed."""
        age = (now - self.faults_at) / FAULT_HALF_LIFE
        return float(self.faults * 0.5**age)

    def record_outcome(self, faulty: bool, now: timedelta) -> None:
        """Record whether the target failed a request."""
        rate = self.fault_rate(now)
        self.faults = rate + ((1.0 if faulty else 0.0) - rate) * FAULT_GAIN
        self.faults_at = now

    def record_connect_failure(self, now: timedelta) -> None:
        """Record a failed connect, which starts a backoff."""
        doublings = min(self.avoidance_count, MAX_BACKOFF_DOUBLINGS)
        pause = min(MAX_CONNECT_BACKOFF, MIN_CONNECT_BACKOFF * (1 << doublings))
        self.avoidance_count += 1
        self.next_connect_at = now + pause
        self.avoided_until = max(
            self.avoided_until, self.next_connect_at + PROBE_ALLOWANCE
        )

    def record_connected(self) -> None:
        """Record that the target was reached, which ends the backoff."""
        if self.avoidance_count:
            self.avoidance_count = 0
            self.avoided_until = timedelta()

    def lacks_path(self, now: timedelta) -> bool:
        """Return whether no connection to the target can be made at present."""
        if not self.avoidance_count:
            return False
        return now < self.next_connect_at + PROBE_ALLOWANCE

    def is_silent(self, now: timedelta) -> bool:
        """Return whether a request has waited too long and the target sent nothing."""
        for outstanding in self.own_requests.values():
            if outstanding.started or outstanding.held:
                continue
            if self.last_received_at > outstanding.sent_at:
                continue
            silence_limit = max(
                SILENT_AFTER,
                timedelta(milliseconds=outstanding.predicted_ms) * SILENT_FACTOR,
            )
            if now - outstanding.sent_at > silence_limit:
                return True
        return False


def _valid_reports(
    reports: dict[str, tuple[LoadShare, timedelta]], now: timedelta
) -> Iterator[tuple[LoadShare, timedelta]]:
    """Yield the reports that are still valid, each with its age."""
    for share, at in reports.values():
        if now - at < PEER_LOAD_TTL:
            yield share, now - at


def _decay(age: timedelta) -> float:
    """Return the decay over ``age`` of an average over ``BUSY_TIME_CONSTANT``."""
    return math.exp(-(age / BUSY_TIME_CONSTANT))


def _milliseconds(duration: timedelta) -> float:
    return duration / timedelta(milliseconds=1)
