"""State of one target under the orderer: what it holds, and the order in progress.

Memory stays safe although reports lag and orders may arrive late. Each order names the
number of orders that the target must have accepted before it, so that of all orders in
flight at most one can take effect. An order is sent only if it fits what the target
holds after all orders known to be accepted, and memory of an unloaded model counts as
free only after a report shows it.
"""

from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum

from runhatch_server.fleet import HeldModels, Target
from runhatch_server.residency._orders import TargetOrder, TargetReport
from runhatch_server.routing import EngineModel, EngineSpec
from runhatch_server.targets import OrderKind, OrderOutcome

REPORT_LAG = timedelta(milliseconds=160)
"""Maximum age of a report; a report on the effect of an order is requested after this
time."""
UNLOAD_TIME = timedelta(milliseconds=300)
"""Usual time until a report shows the memory of an unloaded model as free."""
ADAPTER_TIME = timedelta(milliseconds=70)
"""Time to load an adapter: 6 to 19 ms where the target has a copy, ten times as long
from the store."""
LOAD_POLL = timedelta(milliseconds=250)
"""Interval of report requests for a load that takes longer than expected."""
UNLOAD_POLL = timedelta(milliseconds=400)
"""Interval of report requests while requests of an unloaded model still run."""
UNCERTAIN_POLL = timedelta(milliseconds=600)
"""Interval of report requests while it is unknown whether an order was accepted."""
UNCOUNTED_ORDER_TIME = timedelta(seconds=1)
"""Time after the last answer that accepted an order in which reports may be from before
it.  A report that still counts fewer orders then shows that the answer was not to that
order: answers to orders state no id, and a target may send one twice."""
ADAPTER_MIN_RESIDENCE = timedelta(seconds=1)
"""Minimum time for which an adapter stays loaded: requests that waited for it are still
being sent."""
MODEL_MIN_RESIDENCE = timedelta(seconds=2.5)
"""Minimum time for which a model stays loaded."""


class ControlState(Enum):
    """State that determines what the control of a target waits for."""

    UNKNOWN = "unknown"
    """Waits for a first report."""
    IDLE = "idle"
    """Waits for nothing; an order may be sent."""
    LOADING = "loading"
    UNLOADING = "unloading"
    UNCERTAIN = "doubt"
    """Waits for a report that shows whether the last order was accepted."""


@dataclass(frozen=True, slots=True)
class Intent:
    """A model to load after the models in ``evictions`` have been unloaded."""

    model: str
    evictions: tuple[str, ...]
    reason: str


@dataclass(slots=True)
class TargetControl:
    """State of one incarnation of one target; used only by the orderer's loop."""

    target: Target
    state: ControlState = ControlState.UNKNOWN
    accepted_orders: int = 0
    held: dict[str, set[str]] = field(default_factory=dict)
    adapters_ready_at: dict[tuple[str, str], timedelta] = field(default_factory=dict)
    """When each adapter that was ordered is expected to be loaded."""
    unloading: set[str] = field(default_factory=set)
    loading_model: str = ""
    loading_reason: str = ""
    load_ready_at: timedelta = timedelta()
    report_due_at: timedelta = timedelta()
    is_calling: bool = False
    intent: Intent | None = None
    loaded_at: dict[tuple[str, str], timedelta] = field(default_factory=dict)
    copies_in_memory: frozenset[str] = frozenset()
    copies_on_disk: frozenset[str] = frozenset()
    orderable_from: timedelta = timedelta()
    """From when on orders may be sent after those of the previous orderer."""
    last_accepted_at: timedelta | None = None
    """When an answer last accepted an order that no report has counted yet."""
    needs_publishing: bool = True
    """Whether the peers must be notified of what the target holds."""

    @property
    def is_free(self) -> bool:
        """Whether no call, load or unload is in progress.

        A target refuses adapter orders too while it loads or unloads a model.
        """
        return self.state is ControlState.IDLE and not self.is_calling

    def is_free_at(self, now: timedelta) -> bool:
        """Return whether an order may be sent at ``now``."""
        return self.is_free and now >= self.orderable_from

    def holds(self, model: str, adapter: str = "") -> bool:
        """Return whether ``model`` with ``adapter`` is held and not being removed."""
        adapters = self.held.get(model)
        if adapters is None or model in self.unloading:
            return False
        return not adapter or adapter in adapters

    def held_models(self) -> HeldModels:
        """Return the models and adapters that requests may use."""
        return HeldModels(
            {
                model: frozenset(
                    a for a in adapters if (model, a) not in self.adapters_ready_at
                )
                for model, adapters in self.held.items()
                if model not in self.unloading
            }
        )

    def used_mb(self, engine: EngineSpec) -> float:
        """Return the memory of the models held or being loaded, in MB."""
        names = {*self.held, self.loading_model} - {""}
        specs = engine.by_name
        return sum(specs[name].memory_mb for name in names if name in specs)

    def adapter_count(self) -> int:
        """Return the number of adapters held."""
        return sum(len(adapters) for adapters in self.held.values())

    def free_at(self, engine: EngineSpec, now: timedelta) -> timedelta:
        """Return when the next model order is expected to be possible."""
        if self.state is ControlState.LOADING:
            return max(now, self.load_ready_at) + REPORT_LAG
        if self.intent is not None:
            model = engine.by_name.get(self.intent.model)
            duration = timedelta() if model is None else self.load_time(model)
            return now + UNLOAD_TIME + duration + REPORT_LAG
        if self.is_free:
            return max(now, self.orderable_from)
        return max(now, self.report_due_at, self.orderable_from) + REPORT_LAG

    def load_time(self, model: EngineModel) -> timedelta:
        """Return how long the target takes to load ``model``."""
        if model.name in self.copies_in_memory:
            return model.loads.from_memory
        if model.name in self.copies_on_disk:
            return model.loads.from_disk
        return model.loads.from_store

    def loads_from_store(self, model: str) -> bool:
        """Return whether a load of ``model`` reads from the weight store."""
        return model not in self.copies_in_memory and model not in self.copies_on_disk

    def next_load_time(self, model: EngineModel) -> timedelta:
        """Return how long a load of ``model`` will take that starts at ``free_at``."""
        if self.next_load_reads_store(model.name):
            return model.loads.from_store
        return self.load_time(model)

    def next_load_reads_store(self, model: str) -> bool:
        """Return whether a load that starts at ``free_at`` may read the weight store.

        A load from the store replaces a copy on disk, and targets do not report which.
        """
        if self.loads_from_store(model):
            return True
        return self.is_loading_from_store and model not in self.copies_in_memory

    @property
    def pending_load_reason(self) -> str:
        """Reason of the load in progress or about to start; empty if there is none."""
        return self.loading_reason if self.intent is None else self.intent.reason

    @property
    def is_loading_from_store(self) -> bool:
        """Whether a load from the weight store is in progress or about to start."""
        model = self.loading_model if self.intent is None else self.intent.model
        return bool(model) and self.loads_from_store(model)

    def is_protected(self, model: str, adapter: str, now: timedelta) -> bool:
        """Return whether the model or adapter was loaded too recently to be evicted."""
        loaded_at = self.loaded_at.get((model, adapter))
        protected_for = ADAPTER_MIN_RESIDENCE if adapter else MODEL_MIN_RESIDENCE
        return loaded_at is not None and now - loaded_at < protected_for

    def mark_adapters_loaded(self, now: timedelta) -> None:
        """Mark adapters as loaded whose expected time has passed."""
        for name in [name for name, at in self.adapters_ready_at.items() if now >= at]:
            del self.adapters_ready_at[name]
            self.needs_publishing = True

    def update_target(self, target: Target) -> None:
        """Record the newest directory entry of the target."""
        self.target = target
        # Entries list the same copies as reports, but later.
        if self.state is ControlState.UNKNOWN:
            self.copies_in_memory = target.copies.in_memory
            self.copies_on_disk = target.copies.on_disk

    def record_outcome(
        self,
        order: TargetOrder,
        outcome: OrderOutcome,
        load_time: timedelta,
        now: timedelta,
    ) -> None:
        """Record the outcome of ``order``."""
        self.is_calling = False
        match outcome:
            case OrderOutcome.ACCEPTED | OrderOutcome.ALREADY_DONE:
                self.accepted_orders += 1
                self.last_accepted_at = now
                if outcome is OrderOutcome.ALREADY_DONE and not order.adapter:
                    # The target may or may not have counted the order; a report shows
                    # which.
                    self._await_report(now)
                    return
                self._apply_accepted(order, load_time, now)
            case OrderOutcome.NOT_SENT:
                self._await_report(now)
            case OrderOutcome.TARGET_REPLACED:
                self._await_report(now + UNCERTAIN_POLL)
            case _:
                self._await_report(now)

    def apply_report(self, report: TargetReport, now: timedelta) -> None:
        """Apply ``report``, unless it is older than the recorded state."""
        self.is_calling = False
        if self._is_of_other_incarnation(report):
            self._record_restart(now)
            return
        if report.accepted_orders < self.accepted_orders and not self._may_count_fewer(
            now
        ):
            self.report_due_at = now + REPORT_LAG
            return
        self.copies_in_memory = report.copies.in_memory
        self.copies_on_disk = report.copies.on_disk
        if report.is_busy:
            self._schedule_busy_poll(now)
            return
        self.accepted_orders = report.accepted_orders
        self.last_accepted_at = None
        self._apply_settled_report(report, now)

    def _may_count_fewer(self, now: timedelta) -> bool:
        """Return whether a report with fewer orders than recorded is no older one."""
        if self.state is ControlState.UNCERTAIN:
            return True
        accepted_at = self.last_accepted_at
        return accepted_at is not None and now - accepted_at >= UNCOUNTED_ORDER_TIME

    def _is_of_other_incarnation(self, report: TargetReport) -> bool:
        started_at = self.target.started_at
        return (
            None not in (started_at, report.started_at)
            and started_at != report.started_at
        )

    def _record_restart(self, now: timedelta) -> None:
        """Record that the target has restarted and lost all models.

        Its new incarnation receives orders once the directory lists it.
        """
        self.held = {}
        self.adapters_ready_at.clear()
        self.unloading.clear()
        self.loading_model = ""
        self.loading_reason = ""
        self.intent = None
        self.needs_publishing = True
        self.state = ControlState.UNCERTAIN
        self.report_due_at = now + UNCERTAIN_POLL

    def record_no_report(self, now: timedelta) -> None:
        """Record that a request for a report failed."""
        self.is_calling = False
        self.report_due_at = now + UNCERTAIN_POLL

    def _apply_accepted(
        self, order: TargetOrder, load_time: timedelta, now: timedelta
    ) -> None:
        self.needs_publishing = True
        if order.adapter:
            self._apply_accepted_adapter(order, now)
            return
        if order.kind is OrderKind.LOAD:
            self.state = ControlState.LOADING
            self.loading_model = order.model
            self.load_ready_at = now + load_time
            self.report_due_at = self.load_ready_at + REPORT_LAG
            self.loading_reason = self.pending_load_reason
            self.intent = None
            return
        self.state = ControlState.UNLOADING
        self.unloading.add(order.model)
        self.report_due_at = now + REPORT_LAG

    def _apply_accepted_adapter(self, order: TargetOrder, now: timedelta) -> None:
        adapters = self.held.setdefault(order.model, set())
        if order.kind is OrderKind.LOAD:
            adapters.add(order.adapter)
            self.adapters_ready_at[order.model, order.adapter] = now + ADAPTER_TIME
            self.loaded_at[order.model, order.adapter] = now
        else:
            adapters.discard(order.adapter)
            self.adapters_ready_at.pop((order.model, order.adapter), None)

    def _await_report(self, now: timedelta) -> None:
        self.state = ControlState.UNCERTAIN
        self.report_due_at = now + REPORT_LAG

    def _schedule_busy_poll(self, now: timedelta) -> None:
        match self.state:
            case ControlState.LOADING:
                self.report_due_at = now + LOAD_POLL
            case ControlState.UNLOADING:
                self.report_due_at = now + UNLOAD_POLL
            case _:
                self.report_due_at = now + UNCERTAIN_POLL

    def _apply_settled_report(self, report: TargetReport, now: timedelta) -> None:
        """Replace the state by ``report``, which shows no order in progress."""
        previous = self.held_models()
        held = {
            model: set(adapters)
            for model, adapters in report.held.adapters_by_model.items()
        }
        for model, adapter in report.loading_adapters:
            held.setdefault(model, set()).add(adapter)
        for model in held.keys() - self.held.keys():
            self.loaded_at[model, ""] = now
        self.held = held
        self.adapters_ready_at = {
            name: at
            for name, at in self.adapters_ready_at.items()
            if name[0] in self.held
        }
        self.unloading.clear()
        self.loading_model = ""
        self.loading_reason = ""
        self.state = ControlState.IDLE
        if self.held_models() != previous:
            self.needs_publishing = True
