"""Planning one shard while holding its lease: report, reconcile, plan, order."""

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
    Reconciled,
    TargetView,
    UnitTimes,
    reconcile,
)
from runhatch_server.placement._state import PoolState, pool_models
from runhatch_server.placement._store import LedgerStore, VersionedRow
from runhatch_server.serving import Hosting
from runhatch_server.targets import EngineClient, EngineReport, Order, OrderKind

SILENT_AFTER = timedelta(seconds=10)
"""A target whose report cannot be read for so long is planned around."""

OnHosting = Callable[[Hosting], None]


@dataclass(frozen=True, slots=True)
class Reading:
    """One target's report, and when its reading began."""

    started: timedelta
    report: EngineReport | Unavailable


class ShardPlanner:
    """The planner of one pool on the node that holds its lease.

    Everything it knows beyond the table is rebuilt after a takeover.
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
        engine: Callable[[str], EngineClient] = EngineClient,
    ) -> None:
        self._pool = pool
        self._store = store
        self._permits = permits
        self._clock = clock
        self._executor = executor
        self._metrics = metrics
        self._on_hosting = on_hosting
        self._engine = engine
        self._engines: dict[str, EngineClient] = {}
        self._rows: dict[str, VersionedRow] | None = None
        self._times: dict[str, dict[str, UnitTimes]] = defaultdict(dict)
        self._heard: dict[str, timedelta] = {}
        self._urgency: dict[str, Urgency] = {}
        self._permitted: set[tuple[str, str]] = set()
        self._state: PoolState | None = None
        self.demand = DemandEstimate()

    @property
    def state(self) -> PoolState | None:
        """What the last plan was made from."""
        return self._state

    def rows(self) -> Mapping[str, LedgerRow]:
        """Return the ledger as this holder last wrote or read it."""
        return {name: held.row for name, held in (self._rows or {}).items()}

    def forget(self) -> None:
        """Drop all that was known; called when the lease is lost."""
        self._rows = None
        self._times.clear()
        self._heard.clear()
        self._permitted.clear()

    def step(
        self,
        deployment: Deployment,
        pool: PoolSpec,
        epoch: Epoch,
        leaving: frozenset[str],
    ) -> None:
        """Make one round under the lease ``epoch``."""
        if self._rows is None and not self._take_over(pool):
            return
        self._meet_new_targets(pool)
        readings = self._read_reports(pool)
        wanted: list[tuple[str, Charge]] = []
        for target in pool.targets:
            result = self._reconcile(target, readings[target.name], epoch)
            if result is not None:
                wanted += [(target.name, charge) for charge in result.permits_wanted]
        self._ask_for_permits(wanted)
        self.demand.tick(self._clock.elapsed())
        self._state = self._pool_state(deployment, pool, readings, leaving)
        for action in plan(self._state):
            self._carry_out(action, epoch)

    def _take_over(self, pool: PoolSpec) -> bool:
        rows = self._store.read_all()
        if isinstance(rows, Unavailable):
            return False
        self._rows = {held.row.target: held for held in rows}
        for held in rows:
            self._tell(held)
            for charge in held.row.charges:
                self._restart_times(held.row.target, charge.unit)
        self._return_stale_permits(pool)
        return True

    def _return_stale_permits(self, pool: PoolSpec) -> None:
        """Give back permits of loads that the last holder saw to their end."""
        loading = {
            self._permit_user(name, unit)
            for name, row in self.rows().items()
            for unit in row.units(ChargeState.LOADING)
        }
        prefix = f"{pool.name}/"
        stale = {
            user
            for user in self._permits.in_use()
            if user.startswith(prefix) and user not in loading
        }
        if stale:
            self._permits.release(frozenset(stale))

    def _meet_new_targets(self, pool: PoolSpec) -> None:
        rows = self._held_rows()
        for target in pool.targets:
            held = rows.get(target.name)
            if held is None:
                empty = self._store.empty_row(target.name, target.memory_mb)
                rows[target.name] = empty
            elif held.row.used_mb <= target.memory_mb:
                # Written with the row's next change.
                resized = replace(held.row, capacity_mb=target.memory_mb)
                rows[target.name] = replace(held, row=resized)

    def _read_reports(self, pool: PoolSpec) -> dict[str, Reading]:
        names = [target.name for target in pool.targets]
        readings = self._executor.map(self._read_report, pool.targets)
        return dict(zip(names, readings, strict=True))

    def _read_report(self, target: TargetSpec) -> Reading:
        started = self._clock.elapsed()
        return Reading(started, self._client(target).report())

    def _client(self, target: TargetSpec) -> EngineClient:
        key = f"{target.name} {target.url}"
        if key not in self._engines:
            self._engines[key] = self._engine(target.url)
        return self._engines[key]

    def _reconcile(
        self, target: TargetSpec, reading: Reading, epoch: Epoch
    ) -> Reconciled | None:
        held = self._held_rows()[target.name]
        now = self._clock.elapsed()
        self._heard.setdefault(target.name, now)
        if isinstance(reading.report, Unavailable):
            return None
        self._heard[target.name] = now
        view = TargetView(target, reading.report, reading.started, now)
        permitted = frozenset(
            unit for name, unit in self._permitted if name == target.name
        )
        result = reconcile(
            held.row, view, self._times[target.name], held.next_order, permitted
        )
        for loaded in result.unaccounted:
            log_change("unaccounted", target=target.name, unit=loaded.unit)
        if result.row != held.row:
            self._write(result.row, epoch)
        self._send(target, result.orders)
        self._return_permits(target.name, result)
        return result

    def _return_permits(self, target: str, result: Reconciled) -> None:
        done = {(target, unit) for unit in result.permits_done}
        if not done:
            return
        users = frozenset(self._permit_user(*pair) for pair in done)
        if self._permits.release(users):
            self._permitted -= done

    def _ask_for_permits(self, wanted: list[tuple[str, Charge]]) -> None:
        """Ask for all loads that wait, the most urgent first."""
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
            timing = self._times[target.name][order.unit]
            timing.sent = True
            outcome = self._client(target).give(order)
            # Taken after sending: the order cannot have left later than this.
            timing.last_order = self._clock.elapsed()
            self._metrics.orders.labels(order.kind.value, outcome.value).inc()
            log_change(
                "order",
                target=target.name,
                kind=order.kind.value,
                unit=order.unit,
                number=order.number,
                outcome=outcome.value,
            )

    def _carry_out(self, action: Action, epoch: Epoch) -> None:
        held = self._held_rows()[action.target]
        if isinstance(action, LoadUnit):
            self._urgency[action.unit] = action.urgency
            row = held.row.with_charge(action.charge())
        else:
            charge = held.row.find(action.unit)
            if charge is None:
                return
            self._require_another(action)
            row = held.row.with_charge(charge.unloading())
        self._write(row, epoch)
        kind = OrderKind.LOAD if isinstance(action, LoadUnit) else OrderKind.UNLOAD
        log_change(
            "placement",
            target=action.target,
            kind=kind.value,
            unit=action.unit,
            reason=action.reason,
        )

    def _require_another(self, action: RetireUnit) -> None:
        """Assert that a declared model keeps a serving replica."""
        state = self._state
        models = () if state is None else state.models
        declared = {model.unit for model in models}
        if action.unit not in declared:
            return
        others = [
            name
            for name, row in self.rows().items()
            if name != action.target
            and (charge := row.find(action.unit)) is not None
            and charge.state is ChargeState.SERVING
        ]
        require(bool(others), f"the last replica of {action.unit} is never retired")

    def _write(self, row: LedgerRow, epoch: Epoch) -> None:
        """Write ``row``; raises :class:`LedgerLostError` unless it is certain."""
        rows = self._held_rows()
        before = rows[row.target]
        written = self._store.write(row, before, epoch)
        if not isinstance(written, VersionedRow):
            # Whatever happened, the table knows better: read it all again.
            log_change("ledger_write_failed", target=row.target, why=str(written))
            self._rows = None
            raise LedgerLostError(row.target)
        rows[row.target] = written
        self._note_changes(before.row, row)
        self._tell(written)

    def _note_changes(self, before: LedgerRow, after: LedgerRow) -> None:
        times = self._times[after.target]
        for charge in after.charges:
            known = before.find(charge.unit)
            if known is None or known.state is not charge.state:
                self._restart_times(after.target, charge.unit)
        for unit in set(times) - {charge.unit for charge in after.charges}:
            del times[unit]

    def _restart_times(self, target: str, unit: str) -> None:
        now = self._clock.elapsed()
        self._times[target][unit] = UnitTimes(now, now)

    def _tell(self, held: VersionedRow) -> None:
        self._on_hosting(hosting_of(held))

    def _held_rows(self) -> dict[str, VersionedRow]:
        if self._rows is None:
            raise LedgerLostError(self._pool)
        return self._rows

    def _pool_state(
        self,
        deployment: Deployment,
        pool: PoolSpec,
        readings: Mapping[str, Reading],
        leaving: frozenset[str],
    ) -> PoolState:
        now = self._clock.elapsed()
        silent = frozenset(
            name for name, heard in self._heard.items() if now - heard >= SILENT_AFTER
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
            self._work(deployment, models),
            frozenset(closed),
            silent,
            frozenset(unread),
            {
                (name, unit): now - timing.since
                for name, units in self._times.items()
                for unit, timing in units.items()
            },
            frozenset((pin.model, pin.target) for pin in deployment.pins),
            frozenset((ban.model, ban.target) for ban in deployment.bans),
        )

    def _work(
        self, deployment: Deployment, models: Iterable[ModelSpec]
    ) -> dict[str, float]:
        work: dict[str, float] = {}
        for model in models:
            names = [model.name, *(a.name for a in deployment.adapters_of(model.name))]
            rate = sum(self.demand.rate(name) for name in names)
            work[model.name] = rate * model.service_seconds
        return work


class LedgerLostError(RunhatchError):
    """A write failed or the ledger is not loaded; the round is given up."""


def hosting_of(held: VersionedRow) -> Hosting:
    """Return what a ledger row tells the serving side.

    An adapter counts only while its base serves.
    """
    serving = held.row.units(ChargeState.SERVING)
    units = tuple(
        charge.unit
        for charge in held.row.charges
        if charge.state is ChargeState.SERVING
        and (not charge.base or charge.base in serving)
    )
    return Hosting(held.row.target, held.version, units)
