"""Checks that each target received orders from one lease holder at a time."""

from bisect import bisect_right
from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from itertools import pairwise
from typing import Any

RESUMED_SECONDS = 0.3
"""How long after a sender resumes, or its paths to targets are restored, its orders
from before may arrive: the platform's ``thaw_ms``."""


@dataclass(frozen=True, slots=True)
class GivenOrder:
    """One order as a target received it.

    ``life`` counts the restarts of the target before it; ``at`` is its arrival, in
    seconds of the monotonic clock.
    """

    target: str
    life: int
    at: float
    fence: int
    holder: str


def given_orders(target: str, journal: Mapping[str, Any]) -> list[GivenOrder]:
    """Return the orders in the journal of ``target`` in order of arrival."""
    restarts = journal["restart_times"]
    arrivals = zip(journal["orders"], journal["order_times"], strict=True)
    return [
        GivenOrder(
            target, bisect_right(restarts, at), at, order["fence"], order["holder"]
        )
        for order, at in arrivals
    ]


def check_orders(
    orders: Iterable[GivenOrder],
    resumed: Mapping[str, Sequence[float]],
    between: float,
) -> list[str]:
    """Return a line for each violation.

    ``resumed`` has the times at which senders resumed after a pause, or their paths
    were restored, by holder.  The orders
    of two holders must be at least ``between`` seconds apart.

    >>> given = [GivenOrder("e", 0, 1.0, 2, "a"), GivenOrder("e", 0, 5.0, 1, "a")]
    >>> check_orders(given, {}, 3.0)
    ['e, incarnation 0: fence 1 of a at 5.000 after 2 of a']
    """
    by_incarnation: dict[tuple[str, int], list[GivenOrder]] = defaultdict(list)
    for order in orders:
        if not _was_sent_before_pause(order, resumed):
            by_incarnation[order.target, order.life].append(order)
    violations = []
    for (target, life), received in by_incarnation.items():
        received.sort(key=lambda order: order.at)
        lines = [
            *_decreasing_fences(received),
            *_shared_fences(received),
            *_early_handovers(received, between),
        ]
        violations += [f"{target}, incarnation {life}: {line}" for line in lines]
    return violations


def _was_sent_before_pause(
    order: GivenOrder, resumed: Mapping[str, Sequence[float]]
) -> bool:
    resume_times = resumed.get(order.holder, ())
    return any(at <= order.at <= at + RESUMED_SECONDS for at in resume_times)


def _decreasing_fences(given: Sequence[GivenOrder]) -> list[str]:
    return [
        f"fence {later.fence} of {later.holder} at {later.at:.3f} after "
        f"{earlier.fence} of {earlier.holder}"
        for earlier, later in pairwise(given)
        if later.fence < earlier.fence
    ]


def _shared_fences(given: Sequence[GivenOrder]) -> list[str]:
    holders: dict[int, set[str]] = defaultdict(set)
    for order in given:
        holders[order.fence].add(order.holder)
    return [
        f"fence {fence} has holders {', '.join(sorted(names))}"
        for fence, names in holders.items()
        if len(names) > 1
    ]


def _early_handovers(given: Sequence[GivenOrder], between: float) -> list[str]:
    return [
        f"{later.holder} orders by {later.fence} at {later.at:.3f}, "
        f"{later.at - earlier.at:.3f} s after {earlier.holder} by {earlier.fence}"
        for earlier, later in pairwise(given)
        if later.holder != earlier.holder and later.at - earlier.at < between
    ]
