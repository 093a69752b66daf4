"""Checking the orders that targets were given against who may order them."""

from bisect import bisect_right
from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from itertools import pairwise
from typing import Any

RESUMED_SECONDS = 0.3
"""What a sender had begun before it was paused may arrive so long after."""


@dataclass(frozen=True, slots=True)
class GivenOrder:
    """One order as a target got it.

    ``life`` counts how often the target had started again, ``at`` is the arrival
    in seconds of the monotonic clock.
    """

    target: str
    life: int
    at: float
    fence: int
    holder: str


def given_orders(target: str, journal: Mapping[str, Any]) -> list[GivenOrder]:
    """Return the orders that the journal of ``target`` tells, as they came."""
    restarts = journal["restart_times"]
    came = zip(journal["orders"], journal["order_times"], strict=True)
    return [
        GivenOrder(
            target, bisect_right(restarts, at), at, order["fence"], order["holder"]
        )
        for order, at in came
    ]


def check_orders(
    orders: Iterable[GivenOrder],
    resumed: Mapping[str, Sequence[float]],
    between: float,
) -> list[str]:
    """Return a line for each violation.

    ``resumed`` tells when senders ran again after a pause, ``between`` how many
    seconds must lie between the orders of two holders.

    >>> given = [GivenOrder("e", 0, 1.0, 2, "a"), GivenOrder("e", 0, 5.0, 1, "a")]
    >>> check_orders(given, {}, 3.0)
    ['e, life 0: fence 1 of a at 5.000 after 2 of a']
    """
    lives: dict[tuple[str, int], list[GivenOrder]] = defaultdict(list)
    for order in orders:
        if not _is_late(order, resumed):
            lives[order.target, order.life].append(order)
    violations = []
    for (target, life), given in lives.items():
        given.sort(key=lambda order: order.at)
        found = [*_fallen(given), *_shared(given), *_in_turns(given, between)]
        violations += [f"{target}, life {life}: {line}" for line in found]
    return violations


def _is_late(order: GivenOrder, resumed: Mapping[str, Sequence[float]]) -> bool:
    since = resumed.get(order.holder, ())
    return any(at <= order.at <= at + RESUMED_SECONDS for at in since)


def _fallen(given: Sequence[GivenOrder]) -> list[str]:
    return [
        f"fence {later.fence} of {later.holder} at {later.at:.3f} after "
        f"{earlier.fence} of {earlier.holder}"
        for earlier, later in pairwise(given)
        if later.fence < earlier.fence
    ]


def _shared(given: Sequence[GivenOrder]) -> list[str]:
    holders: dict[int, set[str]] = defaultdict(set)
    for order in given:
        holders[order.fence].add(order.holder)
    return [
        f"fence {fence} has holders {', '.join(sorted(names))}"
        for fence, names in holders.items()
        if len(names) > 1
    ]


def _in_turns(given: Sequence[GivenOrder], between: float) -> list[str]:
    return [
        f"{later.holder} orders by {later.fence} at {later.at:.3f}, "
        f"{later.at - earlier.at:.3f} s after {earlier.holder} by {earlier.fence}"
        for earlier, later in pairwise(given)
        if later.holder != earlier.holder and later.at - earlier.at < between
    ]
