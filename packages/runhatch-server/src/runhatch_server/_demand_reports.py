"""Sends this node's demand counts to the planner of each pool."""

from collections import Counter, defaultdict
from collections.abc import Callable, Mapping
from datetime import timedelta

from runhatch_coordination import Clock, LeaseRecord
from runhatch_server.configuration import Deployment
from runhatch_server.serving import DemandCounter

MIN_REPORT_INTERVAL = timedelta(seconds=1)
MAX_REPORTS_PER_SECOND = 20
"""Load limit of a planner; all nodes together send it at most this many counts."""

Counts = dict[str, int]


class DemandReporter:
    """Collects demand counts and sends them at a rate that depends on the node count.

    ``on_local_counts`` receives all counts of this node; pools planned elsewhere are
    ignored there.  ``send`` sends the counts for one planner to its address.
    """

    def __init__(
        self,
        demand: DemandCounter,
        clock: Clock,
        own_name: str,
        on_local_counts: Callable[[Counts], None],
        send: Callable[[str, Counts], None],
    ) -> None:
        self._demand = demand
        self._clock = clock
        self._own_name = own_name
        self._on_own = on_local_counts
        self._send = send
        self._counts: Counter[str] = Counter()
        self._last_sent_at = timedelta()

    def send_due_reports(
        self, deployment: Deployment, leases: Mapping[str, LeaseRecord], nodes: int
    ) -> None:
        """Send the collected counts if the period since the last report has passed."""
        self._counts.update(self._demand.take_counts())
        now = self._clock.elapsed()
        if not self._counts or now - self._last_sent_at < report_interval(nodes):
            return
        self._last_sent_at = now
        counts = dict(self._counts)
        self._counts.clear()
        self._on_own(counts)
        for address, planner_counts in self._group_by_planner(
            counts, deployment, leases
        ).items():
            self._send(address, planner_counts)

    def _group_by_planner(
        self,
        counts: Counts,
        deployment: Deployment,
        leases: Mapping[str, LeaseRecord],
    ) -> dict[str, Counts]:
        """Return the counts for planners on other nodes, by planner address."""
        pools = deployment.pool_by_callable
        by_address: defaultdict[str, Counts] = defaultdict(dict)
        for name, count in counts.items():
            record = leases.get(pools.get(name, ""))
            if record is None or not record.address or record.holder == self._own_name:
                continue
            by_address[record.address][name] = count
        return by_address


def report_interval(nodes: int) -> timedelta:
    """Return the time between two reports of a node in a system of ``nodes`` nodes.

    >>> report_interval(9).total_seconds(), report_interval(390).total_seconds()
    (1.0, 19.5)
    """
    return max(MIN_REPORT_INTERVAL, timedelta(seconds=nodes / MAX_REPORTS_PER_SECOND))
