"""Rate limits announced by targets, enforced over all nodes with permits.

One node issues the permits of a target, one per request, and the others request them.
If each of nine nodes applied a limit of 1/s itself, the target would get nine requests
a second; an even split would let a node send only one in nine seconds, even while the
others have no requests for that target.
"""

from dataclasses import dataclass, field
from datetime import timedelta

from runhatch_server.decisions._load import TIER_COUNT
from runhatch_server.decisions._room import BRITTLE_GRACE

MIN_RATE = 0.2
"""Minimum requests per second sent to a target, even if its limit is lower. Only its
answers show when the limit ends."""
BURST_PERMITS = 3.0
BURST_SECONDS = 0.25
"""Capacity of a bucket: ``BURST_PERMITS`` permits plus those of ``BURST_SECONDS`` at
the rate. With a smaller bucket, permits would be lost whenever a node requests one
late."""
TIER_RESERVES = (0.0, 0.5, 0.5, 1.0)
"""Permits that each tier leaves for more urgent tiers, most urgent tier first."""
MIN_PERMIT_VALIDITY = timedelta(milliseconds=250)
PERMIT_VALIDITY_PERMITS = 1.0
"""Validity of a permit: ``MIN_PERMIT_VALIDITY`` plus the time in which the rate yields
``PERMIT_VALIDITY_PERMITS``. Requests with old permits are sent in addition to those
with newer ones, so the validity must be short."""
MAX_RETRY_DELAY = timedelta(seconds=2)
"""Maximum delay after which a node that was denied a permit requests one again."""
REUSE_WINDOW = timedelta(seconds=2)
"""How long a node may reuse the room that it was granted at a brittle target."""
SECOND = timedelta(seconds=1)


@dataclass(frozen=True, slots=True)
class ObservedLimit:
    """Limits in an answer of a target: of its rate, and of what it rejects.

    ``rate`` is in requests per second, ``None`` if the answer announced none.
    ``max_rejections`` is the most requests that a brittle target rejects in a second
    without ending, ``None`` if it is not brittle, and ``brittle_since`` is when it was
    first known to be brittle. ``at`` is the arrival time of an answer with a limit, and
    the send time of the request otherwise. Answers may arrive out of order, so only a
    request sent after the limit was announced can show that it has ended.
    """

    rate: float | None
    at: timedelta
    max_rejections: int | None = None
    brittle_since: timedelta | None = None

    @property
    def is_in_force(self) -> bool:
        """Whether the answer announced a limit."""
        return self.rate is not None or self.max_rejections is not None

    def equals(self, other: "ObservedLimit | None") -> bool:
        """Return whether both announce the same limits."""
        return (
            other is not None
            and self.rate == other.rate
            and self.max_rejections == other.max_rejections
        )

    def grace_ends_at(self) -> timedelta | None:
        """Return until when requests need no permit, ``None`` if they do at once."""
        if self.rate is not None or self.brittle_since is None:
            return None
        return self.brittle_since + BRITTLE_GRACE

    def is_as_strict_as(self, other: "ObservedLimit") -> bool:
        """Return whether this allows no more than ``other``."""
        return _allows_no_more(self.rate, other.rate) and _allows_no_more(
            self.max_rejections, other.max_rejections
        )

    def supersedes(self, known: "ObservedLimit | None") -> bool:
        """Return whether this replaces the limit in ``known``."""
        if known is None:
            return self.is_in_force
        return self.at > known.at


def _allows_no_more(limit: float | None, other: float | None) -> bool:
    return other is None or (limit is not None and limit <= other)


def bucket_capacity(rate: float) -> float:
    """Return the capacity of a bucket filled at ``rate`` permits per second."""
    return BURST_PERMITS + BURST_SECONDS * rate


@dataclass(slots=True)
class PermitBucket:
    """Token bucket for one target, on the node that issues its permits.

    It starts empty, because the node that issued permits before may just have issued
    some.
    """

    rate: float
    filled_at: timedelta
    level: float = 0.0
    next_retry_at: timedelta = timedelta()
    """Time at which the last denied node is to request a permit again."""

    def request_permit(
        self, tier: int, rate: float, now: timedelta
    ) -> timedelta | None:
        """Take a permit for a request of ``tier`` at the current limit ``rate``.

        Returns ``None`` if a permit was taken, else the delay before requesting one
        again. Successive delays are one permit apart, so that nodes do not all retry
        at once.
        """
        self._refill(max(rate, MIN_RATE), now)
        needed = 1.0 + TIER_RESERVES[tier]
        if self.level >= needed:
            self.level -= 1.0
            return None
        earliest_at = now + SECOND * ((needed - self.level) / self.rate)
        retry_at = max(earliest_at, self.next_retry_at + SECOND / self.rate)
        self.next_retry_at = max(earliest_at, min(retry_at, now + MAX_RETRY_DELAY))
        return self.next_retry_at - now

    def _refill(self, rate: float, now: timedelta) -> None:
        refilled = self.level + self.rate * ((now - self.filled_at) / SECOND)
        self.rate = rate
        self.level = min(refilled, bucket_capacity(rate))
        self.filled_at = now


@dataclass(slots=True)
class LimitedTarget:
    """The rate limit of one target as known to a node, and the node's permits."""

    observed_limit: ObservedLimit
    permits: list[timedelta] = field(default_factory=list)
    """Expiry time of each permit."""
    denied_until: list[timedelta] = field(
        default_factory=lambda: [timedelta(days=-1)] * TIER_COUNT
    )
    """Time from which permits may be requested again, by tier."""
    waiting_requests: int = 0
    """Number of requests that wait for a permit that they requested."""
    confirmed_grants: dict[str, int] = field(default_factory=dict)
    """Number of the last grant of room received, by allocator."""
    reusable_until: list[timedelta] = field(default_factory=list)
    """End of the time in which this node may reuse a grant of room, by grant."""
    rejected_requests: int = 0
    """Number of requests that the target rejected for want of room."""
    answered_at: timedelta | None = None
    """When a permit was last granted or denied."""
    expired_permits: int = 0
    """Expired permits not yet returned by :meth:`take_expired_count`."""

    def opens_at(self, tier: int, now: timedelta) -> timedelta:
        """Return when a request of ``tier`` may be sent, or request a permit."""
        if self.is_in_grace(now):
            return now
        return now if self._has_permit(now) else self.denied_until[tier]

    def take_permit(self, now: timedelta, has_requested: bool) -> bool:
        """Use a permit and return whether there was one for this request.

        A request for which no permit was requested (``has_requested`` is false) takes
        only permits beyond those that other requests wait for.
        """
        if not self._has_permit(now):
            return False
        if not has_requested and len(self.permits) <= self.waiting_requests:
            return False
        self.permits.pop(0)
        return True

    def add_permit(self, now: timedelta) -> None:
        """Add a permit received at ``now``."""
        validity = MIN_PERMIT_VALIDITY
        if self.observed_limit.rate is not None:
            rate = max(self.observed_limit.rate, MIN_RATE)
            validity += SECOND * (PERMIT_VALIDITY_PERMITS / rate)
        self.permits.append(now + validity)

    def record_end(self, outstanding: int, is_rejected: bool, now: timedelta) -> bool:
        """Record that a request ended, and reuse its room if other requests need it.

        Return whether it is reused.  ``outstanding`` requests of this node remain.
        Reuse saves the delay of a new grant; its time is limited so that room gets to
        other nodes.
        """
        if is_rejected:
            self.rejected_requests += 1
            self.reusable_until.clear()
            return False
        self.reusable_until = [until for until in self.reusable_until if now < until]
        permits = self.count_permits(now)
        is_needed = self.waiting_requests > permits
        if not is_needed or outstanding + permits >= len(self.reusable_until):
            return False
        self.add_permit(now)
        return True

    def confirm_grant(self, allocator: str, number: int, now: timedelta) -> bool:
        """Record a grant of room; return whether it is newer than all others.

        An older one is lost, as later reports of this node have told the allocator.
        """
        if number <= self.confirmed_grants.get(allocator, 0):
            return False
        self.confirmed_grants[allocator] = number
        self.reusable_until.append(now + REUSE_WINDOW)
        return True

    def count_permits(self, now: timedelta) -> int:
        """Return the number of valid permits."""
        self._has_permit(now)
        return len(self.permits)

    def deny_tier(self, tier: int, until: timedelta) -> None:
        """Record that ``tier`` and less urgent tiers get no permit before ``until``."""
        for denied_tier in range(tier, TIER_COUNT):
            self.denied_until[denied_tier] = max(self.denied_until[denied_tier], until)

    def take_expired_count(self, now: timedelta) -> int:
        """Return how many permits expired since the previous call."""
        self._has_permit(now)
        expired, self.expired_permits = self.expired_permits, 0
        return expired

    def is_in_grace(self, now: timedelta) -> bool:
        """Return whether requests need no permit yet."""
        ends_at = self.observed_limit.grace_ends_at()
        return ends_at is not None and now < ends_at

    def _has_permit(self, now: timedelta) -> bool:
        count = len(self.permits)
        self.permits = [expiry for expiry in self.permits if expiry > now]
        self.expired_permits += count - len(self.permits)
        return bool(self.permits)


def issued_rate_share(alive: int, lost: int) -> float:
    """Return the share of a rate limit that the issuing node issues.

    It sees ``alive`` nodes; ``lost`` nodes were seen before but not recently. In a
    network partition, the issuing node of the majority issues the whole limit, any
    other a proportional part of at most one half.

    >>> issued_rate_share(5, 4), issued_rate_share(3, 6)
    (1.0, 0.3333333333333333)
    """
    return 1.0 if alive > lost else alive / (alive + lost)
