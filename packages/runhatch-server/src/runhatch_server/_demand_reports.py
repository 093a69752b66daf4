"""Sending this node's demand counts to the planners of their pools."""

from collections import Counter, defaultdict
from collections.abc import Callable, Mapping
from datetime import timedelta

from runhatch_coordination import Clock, LeaseRecord
from runhatch_server.configuration import Deployment
from runhatch_server.serving import DemandCounter

SHORTEST_PERIOD = timedelta(seconds=1)
MESSAGES_A_SECOND = 20
"""What a planner takes in; nodes space their counts so as to keep to it."""

Counts = dict[str, int]


class DemandReporter:
    """Collects counts and sends them at a pace that the system's size sets.

    ``on_own`` takes counts for pools planned here, ``send`` those for an address.
    """

    def __init__(
        self,
        demand: DemandCounter,
        clock: Clock,
        own: str,
        on_own: Callable[[Counts], None],
        send: Callable[[str, Counts], None],
    ) -> None:
        self._demand = demand
        self._clock = clock
        self._own = own
        self._on_own = on_own
        self._send = send
        self._counts: Counter[str] = Counter()
        self._sent = timedelta()

    def report(
        self, deployment: Deployment, leases: Mapping[str, LeaseRecord], nodes: int
    ) -> None:
        """Send what has been counted, if it is time."""
        self._counts.update(self._demand.take())
        now = self._clock.elapsed()
        if not self._counts or now - self._sent < demand_period(nodes):
            return
        self._sent = now
        counts = dict(self._counts)
        self._counts.clear()
        self._on_own(counts)
        for address, part in self._by_planner(counts, deployment, leases).items():
            self._send(address, part)

    def _by_planner(
        self,
        counts: Counts,
        deployment: Deployment,
        leases: Mapping[str, LeaseRecord],
    ) -> dict[str, Counts]:
        """Return the counts for each planner elsewhere, by its address."""
        pools = deployment.pool_by_callable
        by_address: defaultdict[str, Counts] = defaultdict(dict)
        for name, count in counts.items():
            record = leases.get(pools.get(name, ""))
            if record is None or not record.address or record.holder == self._own:
                continue
            by_address[record.address][name] = count
        return by_address


def demand_period(nodes: int) -> timedelta:
    """Return how long a node waits between two counts to a planner.

    >>> demand_period(9).total_seconds(), demand_period(390).total_seconds()
    (1.0, 19.5)
    """
    return max(SHORTEST_PERIOD, timedelta(seconds=nodes / MESSAGES_A_SECOND))
