"""Room of brittle targets, granted over all nodes by one of them.

A brittle target ends if it has to reject more requests within a second than it stated.
One node counts what all nodes have outstanding at it, and grants permits for what fits.
"""

import itertools
from collections import deque
from collections.abc import Collection, Iterator
from dataclasses import dataclass, field
from datetime import timedelta

BRITTLE_GRACE = timedelta(seconds=1)
"""Time after a target states that it is brittle in which no permits are needed.  Nodes
report what they have outstanding in this time."""
WARM_UP = timedelta(milliseconds=600)
"""Time in which a new allocator waits for the reports of all nodes: two intervals
between reports, and the delay of a message."""
REPORT_RETENTION = timedelta(seconds=10)
"""How long the last report of a silent node counts."""
SILENT_AFTER = timedelta(seconds=1)
"""Age of the last report from which a node counts as lost: three were missed."""
GRANT_TIMEOUT = timedelta(seconds=1)
"""Time after which a grant that its node has not confirmed is lost."""
MAX_QUEUE_TIME = timedelta(milliseconds=300)
"""Longest time for which a permit request waits for room."""
REJECTION_WINDOW = timedelta(seconds=1.5)
"""Window in which rejections are counted: the second of the target, and the delay until
its rejections are known."""
GROWTH_PAUSE = timedelta(seconds=4)
"""Time after a rejection in which no more is taken to fit."""
GROWTH_INTERVAL = timedelta(milliseconds=500)
RISK_WINDOW = timedelta(milliseconds=750)
"""Time until it is known whether a granted request was rejected: two messages, one of
them repeated after a loss, and the validity of a permit."""
RETRY_DELAY = timedelta(milliseconds=100)
"""Delay after which a node that was denied a permit requests one again."""
MIN_QUEUE_LENGTH = 4
GRANT_RATE_WINDOW = timedelta(seconds=1)


@dataclass(frozen=True, slots=True)
class RoomReport:
    """What one node has outstanding at a brittle target.

    ``number`` grows with each report of the node.  ``outstanding`` counts requests and
    unused permits.  ``confirmed`` is the number of the last grant that it received.
    ``rejected`` counts the rejections for want of room that it has received.
    """

    number: int
    outstanding: int
    confirmed: int
    rejected: int


@dataclass(frozen=True, slots=True)
class RoomAnswer:
    """The answer to a permit request of ``node``: a grant's number, or a wait."""

    node: str
    tier: int
    grant: int = 0
    wait: timedelta | None = None


@dataclass(slots=True)
class _NodeRoom:
    report: RoomReport
    reported_at: timedelta
    unconfirmed: dict[int, timedelta] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class _Queued:
    tier: int
    order: int
    node: str
    at: timedelta


class RoomGate:
    """Grants the room of one brittle target; guarded by the lock of its owner.

    ``numbers`` yields the numbers of grants, which grow as long as the process runs.
    """

    def __init__(self, slots: int, now: timedelta, numbers: Iterator[int]) -> None:
        self._slots = max(1, slots)
        self._fitting = self._slots
        self._began_at = now
        self._numbers = numbers
        self._orders = itertools.count()
        self._nodes: dict[str, _NodeRoom] = {}
        self._queue: list[_Queued] = []
        self._rejected_at: deque[timedelta] = deque()
        self._risked_at: deque[timedelta] = deque()
        self._grows_at = now + GROWTH_INTERVAL
        self._granted_at: deque[timedelta] = deque()

    @property
    def fitting(self) -> int:
        """The number of outstanding requests that are taken to fit."""
        return self._fitting

    def count_outstanding(self, now: timedelta) -> int:
        """Return what all nodes have outstanding, with grants on their way."""
        for name, room in list(self._nodes.items()):
            room.unconfirmed = {
                number: at
                for number, at in room.unconfirmed.items()
                if now - at < GRANT_TIMEOUT
            }
            if now - room.reported_at >= REPORT_RETENTION and not room.unconfirmed:
                del self._nodes[name]
        return sum(
            room.report.outstanding + len(room.unconfirmed)
            for room in self._nodes.values()
        )

    def apply_report(self, node: str, report: RoomReport, now: timedelta) -> None:
        """Apply what ``node`` reports, unless a later report was applied."""
        room = self._nodes.get(node)
        if room is None:
            self._nodes[node] = _NodeRoom(report, now)
            return
        known = room.report
        if report.number <= known.number:
            return
        room.report, room.reported_at = report, now
        room.unconfirmed = {
            number: at
            for number, at in room.unconfirmed.items()
            if number > report.confirmed
        }
        if known.number == 0:
            # The node was granted room before its first report: there is no earlier
            # count to compare with.
            return
        # The count begins again on a node that learned anew of the target.
        is_continued = report.rejected >= known.rejected
        rejected = report.rejected - (known.rejected if is_continued else 0)
        if rejected:
            self._record_rejected(rejected, now)

    def request(self, node: str, tier: int, now: timedelta) -> None:
        """Queue a permit request; :meth:`answer_requests` answers it."""
        self._queue.append(_Queued(tier, next(self._orders), node, now))

    def answer_requests(
        self, max_rejections: int, alive: Collection[str], lost: int, now: timedelta
    ) -> list[RoomAnswer]:
        """Grant what fits, and deny what waits too long.

        The target accepts ``max_rejections`` within a second. ``alive`` are the nodes
        whose reports are expected; ``lost`` others may still use the target.
        """
        answers = self._deny_late(now)
        self._queue.sort(key=lambda queued: (queued.tier, queued.order))
        outstanding = self.count_outstanding(now)
        most = self._find_room(alive, lost, now)
        while self._queue and self._may_grant(
            outstanding, max_rejections, alive, most, now
        ):
            queued = self._queue.pop(0)
            room = self._nodes.setdefault(
                queued.node, _NodeRoom(RoomReport(0, 0, 0, 0), now)
            )
            number = next(self._numbers)
            room.unconfirmed[number] = now
            self._granted_at.append(now)
            outstanding += 1
            answers.append(RoomAnswer(queued.node, queued.tier, number))
        if self._queue:
            self._grow(outstanding, max_rejections, most, now)
        return answers + self._deny_excess(now)

    def _find_room(self, alive: Collection[str], lost: int, now: timedelta) -> int:
        """Return how many outstanding requests to grant room to.

        It leaves their part to nodes that this node does not hear. Parts of a
        partitioned network do not know what the others send; only the part with most
        nodes grants room that is too small to be shared.
        """
        if not alive:
            return self._fitting
        silent = sum(
            name not in self._nodes
            or now - self._nodes[name].reported_at >= SILENT_AFTER
            for name in alive
        )
        heard = len(alive) - silent
        least = 1 if heard > silent + lost else 0
        return max(least, self._fitting * heard // (len(alive) + lost))

    def _may_grant(
        self,
        outstanding: int,
        max_rejections: int,
        alive: Collection[str],
        most: int,
        now: timedelta,
    ) -> bool:
        is_warm = now - self._began_at >= WARM_UP or all(
            name in self._nodes and self._nodes[name].report.number for name in alive
        )
        if not is_warm or outstanding >= most:
            return False
        rejected = _count_recent(self._rejected_at, now)
        if rejected and rejected >= max_rejections // 2:
            return False
        if outstanding < min(self._slots, self._fitting):
            return True
        risked = _count_recent(self._risked_at, now, RISK_WINDOW)
        if rejected + risked >= max_waiting(max_rejections):
            return False
        self._risked_at.append(now)
        return True

    def _grow(
        self, outstanding: int, max_rejections: int, most: int, now: timedelta
    ) -> None:
        """Take one more request to fit if requests wait for want of room.

        What is beyond the slots of the target may be rejected all at once.
        """
        is_full = 0 < most <= outstanding
        if is_full and now >= self._grows_at:
            limit = self._slots + max_waiting(max_rejections)
            self._fitting = min(self._fitting + 1, limit)
            self._grows_at = now + GROWTH_INTERVAL

    def _record_rejected(self, count: int, now: timedelta) -> None:
        self._rejected_at.extend([now] * count)
        found = self.count_outstanding(now) + count
        # The target lets fewer requests wait, but still runs as many.
        least = self._slots if found > self._slots else 1
        self._fitting = max(least, min(self._fitting, found) - 1)
        self._grows_at = now + GROWTH_PAUSE

    def _deny_late(self, now: timedelta) -> list[RoomAnswer]:
        """Deny the requests that have waited for too long."""
        return self._keep([now - queued.at < MAX_QUEUE_TIME for queued in self._queue])

    def _deny_excess(self, now: timedelta) -> list[RoomAnswer]:
        """Deny the requests that would wait for too long.

        One request of each node is kept: a node whose requests are all denied could not
        reuse the room that it frees.
        """
        rate = _count_recent(self._granted_at, now, GRANT_RATE_WINDOW)
        in_time = int(rate * (MAX_QUEUE_TIME / GRANT_RATE_WINDOW))
        max_queued = max(MIN_QUEUE_LENGTH, self._slots, in_time)
        is_kept = []
        nodes: set[str] = set()
        for place, queued in enumerate(self._queue):
            is_kept.append(place < max_queued or queued.node not in nodes)
            nodes.add(queued.node)
        return self._keep(is_kept)

    def _keep(self, is_kept: list[bool]) -> list[RoomAnswer]:
        """Deny the queued requests for which ``is_kept`` is false."""
        pairs = list(zip(self._queue, is_kept, strict=True))
        self._queue = [queued for queued, kept in pairs if kept]
        return [
            RoomAnswer(queued.node, queued.tier, wait=RETRY_DELAY)
            for queued, kept in pairs
            if not kept
        ]


def max_waiting(max_rejections: int) -> int:
    """Return the most requests to let wait at a target, and to risk to be rejected.

    Those that wait and those that were just granted may both be rejected within a
    second.

    >>> [max_waiting(rejections) for rejections in (0, 1, 3, 10)]
    [0, 0, 1, 4]
    """
    return max(0, (max_rejections - 1) // 2)


def _count_recent(
    times: deque[timedelta], now: timedelta, window: timedelta = REJECTION_WINDOW
) -> int:
    while times and now - times[0] >= window:
        times.popleft()
    return len(times)
