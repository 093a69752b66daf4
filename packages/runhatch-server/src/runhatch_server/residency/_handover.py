"""Compute when a new holder of the lease may order each target.

Two nodes must not order one target within a given time of each other. A holder that
resigns names the targets that it has ordered recently, so that its successor may order
all others at once. After a holder that ends without a resignation, the successor must
wait until the lease has surely lapsed, plus that time.
"""

import threading
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field
from datetime import timedelta

MAX_ORDER_DELAY = timedelta(milliseconds=800)
"""Maximum time that an order is in flight."""
HANDOVER_SLACK = timedelta(milliseconds=200)
"""Added to the time between the orders of two nodes, because clocks and calls are not
exact."""


@dataclass(frozen=True, slots=True)
class Resignation:
    """Resignation of the holder of ``epoch``, which sends no further order.

    ``waits`` is how long a successor must wait before it orders a target,
    ``default_wait`` the same for all targets that are not named.
    """

    epoch: int
    waits: Mapping[str, timedelta] = field(default_factory=dict)
    default_wait: timedelta = timedelta()


class OrderTimes:
    """Track when this node may order each target, and when it last did.

    ``min_interval`` is the minimum time between the orders of two nodes. Targets are
    identified by name: a restarted target counts as the same. Thread-safe: used by
    rounds, by the task that renews the lease, and by calls to targets.
    """

    def __init__(self, min_interval: timedelta) -> None:
        self._lock = threading.Lock()
        self._min_interval = min_interval + HANDOVER_SLACK
        self._orderable_from: dict[str, timedelta] = {}
        self._default_orderable_from = timedelta()
        self._last_sent_at: dict[str, timedelta] = {}
        self._unknown_until: timedelta | None = None
        """Time until which a previous process of this node may have sent orders."""
        self._in_flight: Counter[tuple[str, int]] = Counter()
        """Number of orders in flight, by target and fence."""

    def start_after_lapse(self, free_since: timedelta) -> None:
        """Start after another node that may have sent orders until ``free_since``."""
        with self._lock:
            self._orderable_from = {}
            self._default_orderable_from = free_since + self._min_interval

    def start_after_restart(self, free_since: timedelta | None, now: timedelta) -> None:
        """Start after a previous process of this node, which ended before ``now``.

        The orders of that process are unknown, so a resignation treats all targets as
        ordered at ``now``. No other node has sent orders since ``free_since``, which is
        ``None`` if none had sent any before.
        """
        with self._lock:
            self._orderable_from = {}
            self._default_orderable_from = timedelta()
            if free_since is not None:
                self._default_orderable_from = free_since + self._min_interval
            self._unknown_until = now

    def start_after_resignation(
        self, resignation: Resignation, received_at: timedelta
    ) -> None:
        """Start after a holder whose resignation was received at ``received_at``."""
        with self._lock:
            self._orderable_from = {
                target: received_at + wait for target, wait in resignation.waits.items()
            }
            self._default_orderable_from = received_at + resignation.default_wait

    def orderable_from(self, target: str) -> timedelta:
        """Return from when on ``target`` may be ordered."""
        with self._lock:
            return self._orderable_from.get(target, self._default_orderable_from)

    def targets_in_flight_before(self, fence: int) -> frozenset[str]:
        """Return the targets to which an order with a lower fence is in flight.

        These are orders of previous terms of this node, which an order of ``fence``
        could overtake.
        """
        with self._lock:
            return frozenset(
                target for target, order_fence in self._in_flight if order_fence < fence
            )

    def record_sending(self, target: str, fence: int) -> None:
        """Record that an order to ``target`` is in flight until :meth:`record_sent`."""
        with self._lock:
            self._in_flight[target, fence] += 1

    def record_sent(self, target: str, fence: int, now: timedelta) -> None:
        """Record that an order to ``target`` is no longer in flight."""
        with self._lock:
            self._last_sent_at[target] = now
            self._remove_in_flight(target, fence)

    def record_unsent(self, target: str, fence: int) -> None:
        """Record that an order to ``target`` was not sent."""
        with self._lock:
            self._remove_in_flight(target, fence)

    def _remove_in_flight(self, target: str, fence: int) -> None:
        self._in_flight[target, fence] -= 1
        if self._in_flight[target, fence] <= 0:
            del self._in_flight[target, fence]

    def remove_target(self, target: str, now: timedelta) -> None:
        """Remove the times of a target that is not listed, once they have passed.

        A running target may be listed again at any moment.
        """
        with self._lock:
            if now >= self._orderable_from.get(target, self._default_orderable_from):
                self._orderable_from.pop(target, None)
            if now >= self._last_sent_at.get(target, now) + self._min_interval:
                self._last_sent_at.pop(target, None)

    def make_resignation(self, epoch: int, now: timedelta) -> Resignation:
        """Return the waits for a successor if no order is sent after ``now``."""
        with self._lock:
            orderable_from = {**self._orderable_from}
            arrives_at = now + MAX_ORDER_DELAY
            in_flight = dict.fromkeys(
                (target for target, _ in self._in_flight), arrives_at
            )
            sent_at = {**self._last_sent_at, **in_flight}
            default_orderable_from = self._default_orderable_from
            if self._unknown_until is not None:
                default_orderable_from = max(
                    default_orderable_from, self._unknown_until + self._min_interval
                )
            for target, at in sent_at.items():
                previous = self._orderable_from.get(target, default_orderable_from)
                orderable_from[target] = max(previous, at + self._min_interval)
        default_wait = max(timedelta(), default_orderable_from - now)
        waits = {
            target: max(timedelta(), ready_at - now)
            for target, ready_at in orderable_from.items()
            if ready_at > now or default_wait > timedelta()
        }
        return Resignation(epoch, waits, default_wait)
