"""Plans one shard under its lease: reads reports, reconciles, plans, sends orders."""

from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping
from concurrent.futures import Executor
from dataclasses import dataclass, replace
from datetime import timedelta

from runhatch_coordination import Clock, Epoch, SharedPermits, Unavailable, require
from runhatch_server._errors import RunhatchError
from runhatch_server.configuration import Deployment, ModelSpec, PoolSpec, TargetSpec
from runhatch_server.observability import Metrics, log_change
from runhatch_server.placement._actions import (
    Action,
    LoadUnit,
    RetireUnit,
    Urgency,
)
from runhatch_server.placement._demand import DemandEstimate
from runhatch_server.placement._ledger import Charge, ChargeState, LedgerRow
from runhatch_server.placement._planner import plan
from runhatch_server.placement._reconcile import (
    Reconciliation,
    TargetSnapshot,
    UnitTimes,
    reconcile,
)
from runhatch_server.placement._state import PoolState, pool_models
from runhatch_server.placement._store import LedgerStore, VersionedRow
from runhatch_server.serving import Hosting
from runhatch_server.targets import EngineClient, EngineReport, Order, OrderKind

SILENCE_TIMEOUT = timedelta(seconds=10)
"""Time without a readable report after which a target's replicas do not count."""

OnHosting = Callable[[Hosting], None]


@dataclass(frozen=True, slots=True)
class TimedReport:
    """One target's report and the time at which it was requested."""

    requested_at: timedelta
    report: EngineReport | Unavailable


class ShardPlanner:
    """Plans one pool on the node that holds its lease.

    State beyond that in the table is rebuilt after a takeover.
    """

    def __init__(
        self,
        pool: str,
        store: LedgerStore,
        permits: SharedPermits,
        clock: Clock,
        executor: Executor,
        metrics: Metrics,
        on_hosting: OnHosting,
        client_factory: Callable[[str], EngineClient] = EngineClient,
    ) -> None:
        self._pool = pool
        self._store = store
        self._permits = permits
        self._clock = clock
        self._executor = executor
        self._metrics = metrics
        self._on_hosting = on_hosting
        self._client_factory = client_factory
        self._clients: dict[str, EngineClient] = {}
        self._rows: dict[str, VersionedRow] | None = None
        self._times: dict[str, dict[str, UnitTimes]] = defaultdict(dict)
        self._last_reports: dict[str, timedelta] = {}
        self._urgency: dict[str, Urgency] = {}
        self._permitted: set[tuple[str, str]] = set()
        self._state: PoolState | None = None
        self.demand_estimate = DemandEstimate()

    @property
    def state(self) -> PoolState | None:
        """The input of the last plan, ``None`` before the first."""
        return self._state

    def rows(self) -> Mapping[str, LedgerRow]:
        """Return the ledger rows as last written or read by this node, by target."""
        return {name: stored.row for name, stored in (self._rows or {}).items()}

    def reset(self) -> None:
        """Discard the state of the current epoch; called when the lease is lost."""
        self._rows = None
        self._times.clear()
        self._last_reports.clear()
        self._permitted.clear()

    def run_round(
        self,
        deployment: Deployment,
        pool: PoolSpec,
        epoch: Epoch,
        draining_vms: frozenset[str],
    ) -> None:
        """Run one planning round under the lease ``epoch``.

        ``leaving`` are the names of draining VMs.  Raises :class:`LedgerLostError` if
        a write of the ledger is not confirmed.
        """
        if self._rows is None and not self._take_over(pool):
            return
        self._update_targets(pool)
        readings = self._read_reports(pool)
        wanted: list[tuple[str, Charge]] = []
        for target in pool.targets:
            result = self._reconcile(target, readings[target.name], epoch)
            if result is not None:
                wanted += [
                    (target.name, charge) for charge in result.loads_awaiting_permit
                ]
        self._acquire_permits(wanted)
        self.demand_estimate.update_rates(self._clock.elapsed())
        self._state = self._pool_state(deployment, pool, readings, draining_vms)
        for action in plan(self._state):
            self._record_action(action, epoch)

    def _take_over(self, pool: PoolSpec) -> bool:
        """Read the ledger after a takeover; return false if it is unavailable."""
        rows = self._store.read_rows()
        if isinstance(rows, Unavailable):
            return False
        self._rows = {stored.row.target: stored for stored in rows}
        for stored in rows:
            self._publish_hosting(stored)
            for charge in stored.row.charges:
                self._restart_times(stored.row.target, charge.unit)
        self._return_stale_permits(pool)
        return True

    def _return_stale_permits(self, pool: PoolSpec) -> None:
        """Release permits of loads that ended under the previous lease holder."""
        loading = {
            self._permit_user(name, unit)
            for name, row in self.rows().items()
            for unit in row.units_in_states(ChargeState.LOADING)
        }
        prefix = f"{pool.name}/"
        stale = {
            user
            for user in self._permits.in_use()
            if user.startswith(prefix) and user not in loading
        }
        if stale:
            self._permits.release(frozenset(stale))

    def _update_targets(self, pool: PoolSpec) -> None:
        """Add rows of new targets and apply changed memory capacities."""
        rows = self._loaded_rows()
        for target in pool.targets:
            stored = rows.get(target.name)
            if stored is None:
                empty = self._store.empty_row(target.name, target.memory_mb)
                rows[target.name] = empty
            elif stored.row.used_mb <= target.memory_mb:
                # Stored in the table with the row's next change.
                resized = replace(stored.row, capacity_mb=target.memory_mb)
                rows[target.name] = replace(stored, row=resized)

    def _read_reports(self, pool: PoolSpec) -> dict[str, TimedReport]:
        names = [target.name for target in pool.targets]
        readings = self._executor.map(self._read_report, pool.targets)
        return dict(zip(names, readings, strict=True))

    def _read_report(self, target: TargetSpec) -> TimedReport:
        started = self._clock.elapsed()
        return TimedReport(started, self._client(target).fetch_report())

    def _client(self, target: TargetSpec) -> EngineClient:
        key = f"{target.name} {target.url}"
        if key not in self._clients:
            self._clients[key] = self._client_factory(target.url)
        return self._clients[key]

    def _reconcile(
        self, target: TargetSpec, reading: TimedReport, epoch: Epoch
    ) -> Reconciliation | None:
        """Update a target's row and send orders, as its report requires.

        Return ``None`` if the report is unavailable.
        """
        stored = self._loaded_rows()[target.name]
        now = self._clock.elapsed()
        self._last_reports.setdefault(target.name, now)
        if isinstance(reading.report, Unavailable):
            return None
        self._last_reports[target.name] = now
        view = TargetSnapshot(target, reading.report, reading.requested_at, now)
        permitted = frozenset(
            unit for name, unit in self._permitted if name == target.name
        )
        result = reconcile(
            stored.row,
            view,
            self._times[target.name],
            stored.next_order_number,
            permitted,
        )
        for loaded in result.unaccounted_units:
            log_change("unaccounted", target=target.name, unit=loaded.unit)
        if result.row != stored.row:
            self._write(result.row, epoch)
        self._send(target, result.orders)
        self._return_permits(target.name, result)
        return result

    def _return_permits(self, target: str, result: Reconciliation) -> None:
        """Release the permits of loads that have ended."""
        finished = {(target, unit) for unit in result.finished_loads}
        if not finished:
            return
        users = frozenset(self._permit_user(*pair) for pair in finished)
        if self._permits.release(users):
            self._permitted -= finished

    def _acquire_permits(self, wanted: list[tuple[str, Charge]]) -> None:
        """Request permits for all waiting loads, the most urgent first."""
        if not wanted:
            return
        wanted.sort(
            key=lambda load: self._urgency.get(load[1].unit, Urgency.UNREACHABLE)
        )
        users = {
            self._permit_user(target, charge.unit): (target, charge.unit)
            for target, charge in wanted
        }
        for user in self._permits.acquire(list(users)):
            self._permitted.add(users[user])

    def _permit_user(self, target: str, unit: str) -> str:
        return f"{self._pool}/{target}/{unit}"

    def _send(self, target: TargetSpec, orders: list[Order]) -> None:
        for order in orders:
            unit_times = self._times[target.name][order.unit]
            unit_times.is_order_sent = True
            outcome = self._client(target).send_order(order)
            # Read after sending, so that the order was not sent later than this.
            unit_times.last_order_at = self._clock.elapsed()
            self._metrics.orders.labels(order.kind.value, outcome.value).inc()
            log_change(
                "order",
                target=target.name,
                kind=order.kind.value,
                unit=order.unit,
                number=order.number,
                outcome=outcome.value,
            )

    def _record_action(self, action: Action, epoch: Epoch) -> None:
        """Write the charge of ``action`` to the ledger; a later round orders it."""
        stored = self._loaded_rows()[action.target]
        if isinstance(action, LoadUnit):
            self._urgency[action.unit] = action.urgency
            row = stored.row.with_charge(action.new_charge())
        else:
            charge = stored.row.find_charge(action.unit)
            if charge is None:
                return
            self._require_other_replica(action)
            row = stored.row.with_charge(charge.as_unloading())
        self._write(row, epoch)
        kind = OrderKind.LOAD if isinstance(action, LoadUnit) else OrderKind.UNLOAD
        log_change(
            "placement",
            target=action.target,
            kind=kind.value,
            unit=action.unit,
            reason=action.reason,
        )

    def _require_other_replica(self, action: RetireUnit) -> None:
        """Assert that another replica of a declared model serves."""
        state = self._state
        models = () if state is None else state.models
        declared = {model.unit_name for model in models}
        if action.unit not in declared:
            return
        others = [
            name
            for name, row in self.rows().items()
            if name != action.target
            and (charge := row.find_charge(action.unit)) is not None
            and charge.state is ChargeState.SERVING
        ]
        require(bool(others), f"the last replica of {action.unit} is never retired")

    def _write(self, row: LedgerRow, epoch: Epoch) -> None:
        """Write ``row``.

        Raises :class:`LedgerLostError` unless the write is confirmed.
        """
        rows = self._loaded_rows()
        before = rows[row.target]
        written = self._store.write_row(row, before, epoch)
        if not isinstance(written, VersionedRow):
            # The row may or may not be written, so the ledger is read again.
            log_change("ledger_write_failed", target=row.target, why=str(written))
            self._rows = None
            raise LedgerLostError(row.target)
        rows[row.target] = written
        self._update_times(before.row, row)
        self._publish_hosting(written)

    def _update_times(self, before: LedgerRow, after: LedgerRow) -> None:
        """Restart the times of changed charges and drop those of removed ones."""
        times = self._times[after.target]
        for charge in after.charges:
            previous = before.find_charge(charge.unit)
            if previous is None or previous.state is not charge.state:
                self._restart_times(after.target, charge.unit)
        for unit in set(times) - {charge.unit for charge in after.charges}:
            del times[unit]

    def _restart_times(self, target: str, unit: str) -> None:
        now = self._clock.elapsed()
        self._times[target][unit] = UnitTimes(now, now)

    def _publish_hosting(self, stored: VersionedRow) -> None:
        self._on_hosting(hosting_from_row(stored))

    def _loaded_rows(self) -> dict[str, VersionedRow]:
        if self._rows is None:
            raise LedgerLostError(self._pool)
        return self._rows

    def _pool_state(
        self,
        deployment: Deployment,
        pool: PoolSpec,
        readings: Mapping[str, TimedReport],
        leaving: frozenset[str],
    ) -> PoolState:
        now = self._clock.elapsed()
        silent = frozenset(
            name
            for name, reported in self._last_reports.items()
            if now - reported >= SILENCE_TIMEOUT
        )
        draining = {
            name
            for name, reading in readings.items()
            if isinstance(reading.report, EngineReport) and reading.report.draining
        }
        unread = {
            name
            for name, reading in readings.items()
            if isinstance(reading.report, Unavailable)
        }
        closed = silent | draining
        closed |= {t.name for t in pool.targets if t.vm and t.vm in leaving}
        closed |= set(deployment.drained_targets)
        declared = {target.name for target in pool.targets}
        models = pool_models(deployment, pool)
        names = {model.name for model in models}
        return PoolState(
            pool,
            models,
            tuple(a for a in deployment.adapters if a.base in names),
            deployment.policy,
            {name: row for name, row in self.rows().items() if name in declared},
            self._expected_work(deployment, models),
            frozenset(closed),
            silent,
            frozenset(unread),
            {
                (name, unit): now - unit_times.state_changed_at
                for name, units in self._times.items()
                for unit, unit_times in units.items()
            },
            frozenset((pin.model, pin.target) for pin in deployment.pins),
            frozenset((ban.model, ban.target) for ban in deployment.bans),
        )

    def _expected_work(
        self, deployment: Deployment, models: Iterable[ModelSpec]
    ) -> dict[str, float]:
        """Return the expected concurrent requests of each model."""
        work: dict[str, float] = {}
        for model in models:
            names = [model.name, *(a.name for a in deployment.adapters_of(model.name))]
            rate = sum(self.demand_estimate.rate(name) for name in names)
            work[model.name] = rate * model.service_seconds
        return work


class LedgerLostError(RunhatchError):
    """A write is unconfirmed or the ledger is not loaded; the round is aborted."""


def hosting_from_row(stored: VersionedRow) -> Hosting:
    """Return the units that the target of a ledger row serves, for routing.

    An adapter is included only while its base serves.
    """
    serving = stored.row.units_in_states(ChargeState.SERVING)
    units = tuple(
        charge.unit
        for charge in stored.row.charges
        if charge.state is ChargeState.SERVING
        and (not charge.base or charge.base in serving)
    )
    return Hosting(stored.row.target, stored.version, units)
