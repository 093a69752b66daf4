"""Nouns of the operators' query language, and the records of each noun."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from enum import Enum

from runhatch_coordination import Membership, RevisionFeed, Table, Unavailable
from runhatch_server.configuration import Deployment
from runhatch_server.observability import Metrics, TraceLog
from runhatch_server.placement import LedgerStore, PlacementService
from runhatch_server.refusals import Reason
from runhatch_server.serving import Dispatcher, PlacementCache, Route, RouteKind


class Noun(Enum):
    """A kind of record that can be queried."""

    MODELS = "models"
    ADAPTERS = "adapters"
    TARGETS = "targets"
    NODES = "nodes"
    LEASES = "leases"
    ORDERS = "orders"
    REQUESTS = "requests"
    REFUSALS = "refusals"
    CONFIGURATION = "configuration"


@dataclass(frozen=True, slots=True)
class ModelRecord:
    """A configured model with the targets this node routes it to."""

    name: str
    version: str
    pool: str
    memory_mb: int
    priority: int
    replicas: int
    targets: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class AdapterRecord:
    """A configured adapter with the targets this node routes it to."""

    name: str
    version: str
    base: str
    memory_mb: int
    replicas: int
    targets: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class TargetRecord:
    """A target with the outstanding requests and the limit of this node."""

    name: str
    pool: str
    failure_domain: str
    memory_mb: int
    fencing: str
    drained: bool
    outstanding: int
    limit: int
    units: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class NodeRecord:
    """A node with its membership status as seen by this node."""

    name: str
    failure_domain: str
    address: str
    standing: str


@dataclass(frozen=True, slots=True)
class LeaseRow:
    """A planning lease as last read by this node."""

    pool: str
    holder: str
    epoch: int
    renewal: int


@dataclass(frozen=True, slots=True)
class OrderRecord:
    """A charge in the ledger with the order recorded for it."""

    pool: str
    target: str
    unit: str
    state: str
    held_mb: int
    order: int


@dataclass(frozen=True, slots=True)
class RequestRecord:
    """A recent request of this node."""

    id: str
    route: str
    caller: str
    priority: int
    received: str
    took_ms: float
    attempts: int
    target: str
    outcome: str
    status: int


@dataclass(frozen=True, slots=True)
class RefusalRecord:
    """Number of requests that this node refused for a reason."""

    reason: str
    status: int
    count: int


@dataclass(frozen=True, slots=True)
class ConfigurationRecord:
    """The configuration revision in force on this node."""

    revision: int
    author: str
    at: str
    note: str


Record = (
    ModelRecord
    | AdapterRecord
    | TargetRecord
    | NodeRecord
    | LeaseRow
    | OrderRecord
    | RequestRecord
    | RefusalRecord
    | ConfigurationRecord
)


class Inventory:
    """Collects the records of each noun on this node."""

    def __init__(
        self,
        picture: PlacementCache,
        dispatcher: Dispatcher,
        placement: PlacementService,
        membership: Membership,
        feed: RevisionFeed,
        traces: TraceLog,
        metrics: Metrics,
        table: Table,
    ) -> None:
        self._picture = picture
        self._dispatcher = dispatcher
        self._placement = placement
        self._membership = membership
        self._feed = feed
        self._traces = traces
        self._metrics = metrics
        self._table = table
        self._readers: dict[Noun, Callable[[], Sequence[Record]]] = {
            Noun.MODELS: self._models,
            Noun.ADAPTERS: self._adapters,
            Noun.TARGETS: self._targets,
            Noun.NODES: self._nodes,
            Noun.LEASES: self._leases,
            Noun.ORDERS: self._orders,
            Noun.REQUESTS: self._requests,
            Noun.REFUSALS: self._refusals,
            Noun.CONFIGURATION: self._configuration,
        }

    def records(self, noun: Noun) -> Sequence[Record]:
        """Return all records of ``noun``."""
        return self._readers[noun]()

    @property
    def _deployment(self) -> Deployment:
        return self._picture.deployment

    def _targets_of(self, name: str) -> tuple[str, ...]:
        hosts = self._picture.hosts(Route(RouteKind.MODEL, name))
        return tuple(sorted(host.target for host in hosts))

    def _models(self) -> Sequence[Record]:
        records = []
        for model in self._deployment.models:
            targets = self._targets_of(model.name)
            records.append(
                ModelRecord(
                    model.name,
                    model.version,
                    model.pool,
                    model.memory_mb,
                    model.priority,
                    len(targets),
                    targets,
                )
            )
        return records

    def _adapters(self) -> Sequence[Record]:
        records = []
        for adapter in self._deployment.adapters:
            targets = self._targets_of(adapter.name)
            records.append(
                AdapterRecord(
                    adapter.name,
                    adapter.version,
                    adapter.base,
                    adapter.memory_mb,
                    len(targets),
                    targets,
                )
            )
        return records

    def _targets(self) -> Sequence[Record]:
        loads = self._dispatcher.target_loads()
        units = {hosting.target: hosting.units for hosting in self._picture.hostings()}
        drained = self._deployment.drained_targets
        records = []
        for pool in self._deployment.pools:
            for target in pool.targets:
                outstanding, limit = loads.get(target.name, (0, target.concurrency))
                records.append(
                    TargetRecord(
                        target.name,
                        pool.name,
                        target.failure_domain,
                        target.memory_mb,
                        target.fencing.value,
                        target.name in drained,
                        outstanding,
                        limit,
                        units.get(target.name, ()),
                    )
                )
        return records

    def _nodes(self) -> Sequence[Record]:
        return [
            NodeRecord(
                fact.vm.name,
                fact.vm.failure_domain,
                fact.vm.address,
                fact.standing.value,
            )
            for fact in self._membership.facts()
        ]

    def _leases(self) -> Sequence[Record]:
        return [
            LeaseRow(pool, record.holder, record.epoch, record.renewal)
            for pool, record in self._placement.lease_records().items()
        ]

    def _orders(self) -> Sequence[Record]:
        records = []
        for pool in self._deployment.pools:
            rows = LedgerStore(self._table, pool.name, "").read_rows()
            if isinstance(rows, Unavailable):
                continue
            records += [
                OrderRecord(
                    pool.name,
                    versioned.row.target,
                    charge.unit,
                    charge.state.value,
                    charge.reserved_mb,
                    charge.order,
                )
                for versioned in rows
                for charge in versioned.row.charges
            ]
        return records

    def _requests(self) -> Sequence[Record]:
        return [
            RequestRecord(
                trace.request_id,
                trace.route,
                trace.caller,
                trace.priority,
                trace.received_at.isoformat(timespec="milliseconds"),
                round(trace.duration.total_seconds() * 1000, 1),
                len(trace.attempts),
                trace.attempts[-1].target if trace.attempts else "",
                trace.outcome,
                trace.status,
            )
            for trace in self._traces.all()
        ]

    def _refusals(self) -> Sequence[Record]:
        return [
            RefusalRecord(
                reason.code,
                reason.status,
                int(self._metrics.counter_value(self._metrics.refusals, reason.code)),
            )
            for reason in Reason
        ]

    def _configuration(self) -> Sequence[Record]:
        current = self._feed.current
        if current is None:
            return []
        entry = current.entry
        return [ConfigurationRecord(entry.number, entry.author, entry.at, entry.note)]
