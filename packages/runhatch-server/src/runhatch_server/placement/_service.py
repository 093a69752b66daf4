"""The placement side of one node: leases, planners, and the picture's backstop."""

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
    rank,
)
from runhatch_server.configuration import Deployment, PoolSpec
from runhatch_server.observability import Metrics, log_change
from runhatch_server.placement._shard import (
    LedgerLostError,
    ShardPlanner,
    hosting_of,
)
from runhatch_server.placement._store import LedgerStore
from runhatch_server.serving import Hosting

REPORT_WORKERS = 8
CANDIDATES = 3
"""Nodes that watch a pool's lease; they are replaced when suspected."""
WORKERS_A_SECOND = 8
"""Workers that a planner reads and plans for a second, so that a large pool
costs its holder no more of a core than a small one."""
WEIGHT_STORE = "weight-store"


class PlacementService:
    """Holds the planning leases that fall to this node, and plans under them.

    One task calls :meth:`watch_leases` and another :meth:`plan_pools`, so that
    engines which do not answer cannot make a holder miss its renewal.
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
        self._executor = ThreadPoolExecutor(REPORT_WORKERS, thread_name_prefix="report")
        self._leases: dict[str, Lease] = {}
        self._planners: dict[str, ShardPlanner] = {}
        self._due: dict[str, timedelta] = {}
        self._known: dict[str, LeaseRecord] = {}
        self._known_lock = threading.Lock()
        self._epochs: dict[str, int] = {}
        self._lease_lock = threading.Lock()
        self._stopping = False
        self.leaving: frozenset[str] = frozenset()
        """VMs that the platform's list says are leaving."""

    def watch_leases(self, deployment: Deployment) -> None:
        """Renew or challenge the leases that this node is to watch."""
        with self._lease_lock:
            if self._stopping:
                return
            for pool in deployment.pools:
                self._watch_lease(pool)
            held = sum(lease.held() is not None for lease in self._leases.values())
            self._metrics.shards.set(held)

    def plan_pools(self, deployment: Deployment) -> None:
        """Make one round for each pool whose lease is held and that is due."""
        for pool in deployment.pools:
            self._plan_pool(deployment, pool)

    def refresh(self, deployment: Deployment) -> None:
        """Read the ledgers of pools planned elsewhere, for the picture."""
        for pool in deployment.pools:
            lease = self._leases.get(pool.name)
            if lease is not None and lease.held() is not None:
                continue
            rows = LedgerStore(self._table, pool.name, "").read_all()
            if isinstance(rows, Unavailable):
                return
            for held in rows:
                self._on_hosting(hosting_of(held))

    def demand(self, counts: dict[str, int], deployment: Deployment) -> None:
        """Take in demand counts for the pools planned here."""
        pools = deployment.pool_by_callable
        for name, count in counts.items():
            planner = self._planners.get(pools.get(name, ""))
            if planner is not None:
                planner.demand.add({name: count})

    def leases(self) -> dict[str, LeaseRecord]:
        """Return the newest that is known of each pool's lease."""
        with self._known_lock:
            return dict(self._known)

    def learn_lease(self, pool: str, record: LeaseRecord) -> bool:
        """Take in who holds a pool's lease; returns whether it was news."""
        with self._known_lock:
            known = self._known.get(pool)
            if known is not None and known.epoch >= record.epoch:
                return False
            self._known[pool] = record
            return True

    def planner(self, pool: str) -> ShardPlanner | None:
        """Return the planner of ``pool`` if this node holds its lease."""
        lease = self._leases.get(pool)
        held = lease is not None and lease.held() is not None
        return self._planners.get(pool) if held else None

    def stop(self) -> None:
        """Give up all leases, so that others need not wait for their end."""
        with self._lease_lock:
            self._stopping = True
            for lease in self._leases.values():
                lease.release()
        self._executor.shutdown(wait=False)

    def _watch_lease(self, pool: PoolSpec) -> None:
        lease = self._lease(pool)
        ranked = self._candidates(pool.name)
        own = self._membership.own.name
        if own not in ranked and lease.held() is None:
            return
        change = lease.step(eager=ranked[0] == own)
        if change is not LeaseChange.NONE:
            self._metrics.leases.labels(change.value).inc()
            log_change("lease", pool=pool.name, change=change.value)
        if lease.record is not None and self.learn_lease(pool.name, lease.record):
            self._on_lease(pool.name, lease.record)

    def _plan_pool(self, deployment: Deployment, pool: PoolSpec) -> None:
        lease = self._leases.get(pool.name)
        epoch = None if lease is None else lease.held()
        planner = self._planner(deployment, pool)
        if epoch is None or epoch.number != self._epochs.get(pool.name):
            # Whatever was known belongs to an earlier epoch.
            planner.forget()
            self._epochs[pool.name] = 0 if epoch is None else epoch.number
        if epoch is None:
            return
        now = self._clock.elapsed()
        if now < self._due.get(pool.name, now):
            return
        self._due[pool.name] = now + round_interval(len(pool.targets))
        try:
            planner.step(deployment, pool, epoch, self.leaving)
        except LedgerLostError as lost:
            log_change("round_given_up", pool=pool.name, at=str(lost))

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
                WEIGHT_STORE,
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

        All others hear from peers who holds it; were every node to watch every
        lease, the table's reads would grow with their product.
        """
        names = [vm.name for vm in self._membership.alive()]
        return rank(pool, names)[:CANDIDATES]


def round_interval(workers: int) -> timedelta:
    """Return the least time between two rounds for a pool of ``workers``.

    >>> round_interval(9).total_seconds(), round_interval(64).total_seconds()
    (1.125, 8.0)
    """
    return timedelta(seconds=workers / WORKERS_A_SECOND)
