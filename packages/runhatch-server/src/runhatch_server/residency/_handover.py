"""When a node that takes the orders of targets over may order each of them.

Two nodes must not order one target within a given time of each other.  A node that
gives the orders up says which targets it has ordered lately, so that its successor
may order all others at once; after one that ends without a word it must wait until
the lease has surely lapsed, and that time on top.
"""

import threading
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field
from datetime import timedelta

HANDOVER_SLACK = timedelta(milliseconds=200)
"""Put on the time between the orders of two nodes: clocks and calls are not exact."""


@dataclass(frozen=True, slots=True)
class Resignation:
    """The last word of the holder of ``epoch``: it gives no further order.

    ``waits`` is how long a successor must wait before it orders a target,
    ``others_wait`` the same for all targets that are not named.
    """

    epoch: int
    waits: Mapping[str, timedelta] = field(default_factory=dict)
    others_wait: timedelta = timedelta()


class OrderTimes:
    """From when on this node may order each target, and when it last did.

    ``between`` is the time that must lie between the orders of two nodes.  Targets
    go by name here: one that has started again is still the same to order.  Safe for
    many threads: rounds, the task that keeps the lease, and calls to targets.
    """

    def __init__(self, between: timedelta) -> None:
        self._lock = threading.Lock()
        self._between = between + HANDOVER_SLACK
        self._from: dict[str, timedelta] = {}
        self._others_from = timedelta()
        self._sent: dict[str, timedelta] = {}
        self._on_way: Counter[tuple[str, int]] = Counter()
        """Orders on their way, by target and fence."""

    def take_over(self, free_since: timedelta) -> None:
        """Begin after a holder that may have ordered anything until then."""
        with self._lock:
            self._from = {}
            self._others_from = free_since + self._between

    def take_over_from(self, resignation: Resignation, heard_at: timedelta) -> None:
        """Begin after a holder that has said what it ordered."""
        with self._lock:
            self._from = {
                target: heard_at + wait for target, wait in resignation.waits.items()
            }
            self._others_from = heard_at + resignation.others_wait

    def may_order_from(self, target: str) -> timedelta:
        """Return the first moment at which ``target`` may be ordered."""
        with self._lock:
            return self._from.get(target, self._others_from)

    def ordered_before(self, fence: int) -> frozenset[str]:
        """Return the targets to which an order of a lower fence is on its way.

        Orders of this node's earlier terms: one of ``fence`` could overtake them.
        """
        with self._lock:
            return frozenset(target for target, of in self._on_way if of < fence)

    def begin(self, target: str, fence: int) -> None:
        """Note that an order to ``target`` is on its way until :meth:`sent`."""
        with self._lock:
            self._on_way[target, fence] += 1

    def sent(self, target: str, fence: int, now: timedelta) -> None:
        """Note that an order to ``target`` is on its way no longer."""
        with self._lock:
            self._sent[target] = now
            self._end(target, fence)

    def unsent(self, target: str, fence: int) -> None:
        """Note that an order to ``target`` was not sent after all."""
        with self._lock:
            self._end(target, fence)

    def _end(self, target: str, fence: int) -> None:
        self._on_way[target, fence] -= 1
        if self._on_way[target, fence] <= 0:
            del self._on_way[target, fence]

    def forget(self, target: str, now: timedelta) -> None:
        """Drop what is kept of a target that is not listed, if it is over.

        One that lives may be listed again within a moment.
        """
        with self._lock:
            if now >= self._from.get(target, self._others_from):
                self._from.pop(target, None)
            if now >= self._sent.get(target, now) + self._between:
                self._sent.pop(target, None)

    def resignation(self, epoch: int, now: timedelta) -> Resignation:
        """Return what a successor must know if no order is sent from now on."""
        with self._lock:
            ends = {**self._from}
            on_way = dict.fromkeys((target for target, _ in self._on_way), now)
            sent = {**self._sent, **on_way}
            others_wait = max(timedelta(), self._others_from - now)
        for target, at in sent.items():
            ends[target] = at + self._between
        waits = {
            target: max(timedelta(), end - now)
            for target, end in ends.items()
            if end > now or others_wait > timedelta()
        }
        return Resignation(epoch, waits, others_wait)
