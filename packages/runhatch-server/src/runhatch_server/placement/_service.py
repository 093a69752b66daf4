"""Placement on one node: leases of pools, their planners, and ledger reads."""

import threading
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from datetime import timedelta

from runhatch_coordination import (
    Clock,
    Lease,
    LeaseChange,
    LeaseRecord,
    Membership,
    SharedPermits,
    Table,
    Unavailable,
    rank_names,
)
from runhatch_server.configuration import Deployment, PoolSpec
from runhatch_server.observability import Metrics, log_change
from runhatch_server.placement._shard import (
    LedgerLostError,
    ShardPlanner,
    hosting_from_row,
)
from runhatch_server.placement._store import LedgerStore
from runhatch_server.serving import Hosting

REPORT_THREADS = 8
CANDIDATES_PER_LEASE = 3
"""Number of nodes that watch a pool's lease; suspected ones are replaced."""
TARGETS_PER_SECOND = 8
"""Targets per second that a planner reads and plans for.

A large pool thus uses no larger share of a core than a small one.
"""
WEIGHT_STORE_PERMITS = "weight-store"


class PlacementService:
    """Acquires planning leases for this node and plans the pools it holds.

    One task calls :meth:`watch_leases` and another :meth:`plan_pools`, so that
    unresponsive engines cannot delay the renewal of a lease.
    """

    def __init__(
        self,
        table: Table,
        clock: Clock,
        membership: Membership,
        metrics: Metrics,
        on_hosting: Callable[[Hosting], None],
        on_lease: Callable[[str, LeaseRecord], None],
        lease_ttl: timedelta,
    ) -> None:
        self._table = table
        self._clock = clock
        self._membership = membership
        self._metrics = metrics
        self._on_hosting = on_hosting
        self._on_lease = on_lease
        self._lease_ttl = lease_ttl
        self._executor = ThreadPoolExecutor(REPORT_THREADS, thread_name_prefix="report")
        self._leases: dict[str, Lease] = {}
        self._planners: dict[str, ShardPlanner] = {}
        self._next_rounds: dict[str, timedelta] = {}
        self._lease_records: dict[str, LeaseRecord] = {}
        self._records_lock = threading.Lock()
        self._epochs: dict[str, int] = {}
        self._lease_lock = threading.Lock()
        self._stopping = False
        self.draining_vms: frozenset[str] = frozenset()
        """VMs that the platform lists as draining."""

    def watch_leases(self, deployment: Deployment) -> None:
        """Renew or try to acquire the leases that this node watches."""
        with self._lease_lock:
            if self._stopping:
                return
            for pool in deployment.pools:
                self._watch_lease(pool)
            held = sum(
                lease.held_epoch() is not None for lease in self._leases.values()
            )
            self._metrics.planning_leases.set(held)

    def plan_pools(self, deployment: Deployment) -> None:
        """Run a planning round for each pool that is due and whose lease is held."""
        for pool in deployment.pools:
            self._plan_pool(deployment, pool)

    def refresh_hostings(self, deployment: Deployment) -> None:
        """Read the ledgers of pools planned by other nodes and pass their hostings on.

        This makes up for lost notifications between nodes.
        """
        for pool in deployment.pools:
            lease = self._leases.get(pool.name)
            if lease is not None and lease.held_epoch() is not None:
                continue
            rows = LedgerStore(self._table, pool.name, "").read_rows()
            if isinstance(rows, Unavailable):
                return
            for row in rows:
                self._on_hosting(hosting_from_row(row))

    def add_demand(self, counts: dict[str, int], deployment: Deployment) -> None:
        """Add request counts, by model or adapter, for the pools planned here."""
        pools = deployment.pool_by_callable
        for name, count in counts.items():
            planner = self._planners.get(pools.get(name, ""))
            if planner is not None:
                planner.demand_estimate.add_counts({name: count})

    def lease_records(self) -> dict[str, LeaseRecord]:
        """Return the newest known record of each pool's lease."""
        with self._records_lock:
            return dict(self._lease_records)

    def record_lease(self, pool: str, record: LeaseRecord) -> bool:
        """Record the holder of a pool's lease; return whether its epoch is newer."""
        with self._records_lock:
            previous = self._lease_records.get(pool)
            if previous is not None and previous.epoch >= record.epoch:
                return False
            self._lease_records[pool] = record
            return True

    def planner(self, pool: str) -> ShardPlanner | None:
        """Return the planner of ``pool`` if this node holds its lease."""
        lease = self._leases.get(pool)
        held = lease is not None and lease.held_epoch() is not None
        return self._planners.get(pool) if held else None

    def stop(self) -> None:
        """Release all leases, so that other nodes need not wait for their expiry."""
        with self._lease_lock:
            self._stopping = True
            for lease in self._leases.values():
                lease.release()
        self._executor.shutdown(wait=False)

    def _watch_lease(self, pool: PoolSpec) -> None:
        """Renew or try to acquire a pool's lease if this node is a candidate."""
        lease = self._lease(pool)
        ranked = self._candidates(pool.name)
        own = self._membership.own.name
        if own not in ranked and lease.held_epoch() is None:
            return
        change = lease.step(eager=ranked[0] == own)
        if change is not LeaseChange.NONE:
            self._metrics.leases.labels(change.value).inc()
            log_change("lease", pool=pool.name, change=change.value)
        if lease.record is not None and self.record_lease(pool.name, lease.record):
            self._on_lease(pool.name, lease.record)

    def _plan_pool(self, deployment: Deployment, pool: PoolSpec) -> None:
        """Run a planning round for ``pool`` if it is due and its lease is held."""
        lease = self._leases.get(pool.name)
        epoch = None if lease is None else lease.held_epoch()
        planner = self._planner(deployment, pool)
        if epoch is None or epoch.number != self._epochs.get(pool.name):
            # The planner's state is from an earlier epoch.
            planner.reset()
            self._epochs[pool.name] = 0 if epoch is None else epoch.number
        if epoch is None:
            return
        now = self._clock.elapsed()
        if now < self._next_rounds.get(pool.name, now):
            return
        self._next_rounds[pool.name] = now + min_round_interval(len(pool.targets))
        try:
            planner.run_round(deployment, pool, epoch, self.draining_vms)
        except LedgerLostError as error:
            log_change("round_given_up", pool=pool.name, at=str(error))

    def _lease(self, pool: PoolSpec) -> Lease:
        lease = self._leases.get(pool.name)
        if lease is None:
            own = self._membership.own
            lease = Lease(
                self._table,
                self._clock,
                f"plan/{pool.name}",
                own.name,
                self._lease_ttl,
                own.address,
            )
            self._leases[pool.name] = lease
        return lease

    def _planner(self, deployment: Deployment, pool: PoolSpec) -> ShardPlanner:
        planner = self._planners.get(pool.name)
        if planner is None:
            limits = deployment.weight_store
            permits = SharedPermits(
                self._table,
                self._clock,
                WEIGHT_STORE_PERMITS,
                limits.loads_per_second,
                limits.at_once,
            )
            planner = ShardPlanner(
                pool.name,
                LedgerStore(self._table, pool.name, self._membership.own.name),
                permits,
                self._clock,
                self._executor,
                self._metrics,
                self._on_hosting,
            )
            self._planners[pool.name] = planner
        return planner

    def _candidates(self, pool: str) -> list[str]:
        """Return the nodes that watch the pool's lease, the preferred one first.

        All others learn the holder from their peers.  If every node watched every
        lease, reads of the table would grow with nodes times pools.
        """
        names = [vm.name for vm in self._membership.alive()]
        return rank_names(pool, names)[:CANDIDATES_PER_LEASE]


def min_round_interval(target_count: int) -> timedelta:
    """Return the minimum time between two rounds for a pool of ``target_count``
    targets.

    >>> min_round_interval(9).total_seconds(), min_round_interval(64).total_seconds()
    (1.125, 8.0)
    """
    return timedelta(seconds=target_count / TARGETS_PER_SECOND)
