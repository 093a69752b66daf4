"""State of one target under the orderer: what it holds, and the order in progress.

Memory stays safe although reports lag and orders may arrive late. Each order names the
number of orders that the target must have accepted before it, so that at most one more
order can take effect at any moment, whichever of those sent it is. An order is sent
only if it fits what the target holds after all orders known to be accepted, and memory
of an unloaded model counts as free only after a report shows it.
"""

from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum

from runhatch_server.fleet import HeldModels, Target
from runhatch_server.residency._orders import TargetOrder, TargetReport
from runhatch_server.routing import EngineModel, EngineSpec
from runhatch_server.targets import OrderKind, OrderOutcome

REPORT_LAG = timedelta(milliseconds=160)
"""Maximum age of a report; the effect of an order is requested after this time."""
UNLOAD_TIME = timedelta(milliseconds=300)
"""Usual time until a report shows the memory of an unloaded model as free."""
ADAPTER_TIME = timedelta(milliseconds=70)
"""Time to load an adapter: 6 to 19 ms where the target has a copy, ten times as long
from the store."""
LOAD_POLL = timedelta(milliseconds=250)
"""Interval of report requests for a load that takes longer than expected."""
UNLOAD_POLL = timedelta(milliseconds=400)
"""Interval of report requests while requests of an unloaded model still run."""
DOUBT_POLL = timedelta(milliseconds=600)
"""Interval of report requests while it is unknown whether an order was accepted."""
ADAPTER_PROTECTED = timedelta(seconds=1)
"""Minimum time for which an adapter stays loaded: requests that waited for it are still
being sent."""
MODEL_PROTECTED = timedelta(seconds=2.5)
"""Minimum time for which a model stays loaded."""


class Step(Enum):
    """State that determines what the control of a target waits for."""

    UNKNOWN = "unknown"
    """Waits for a first report."""
    IDLE = "idle"
    """Waits for nothing; an order may be sent."""
    LOADING = "loading"
    UNLOADING = "unloading"
    DOUBT = "doubt"
    """Waits for a report that shows whether the last order was accepted."""


@dataclass(frozen=True, slots=True)
class Intent:
    """A model to load after the models in ``evict`` have been unloaded."""

    model: str
    evict: tuple[str, ...]
    reason: str


@dataclass(slots=True)
class TargetControl:
    """State of one incarnation of one target; used only by the orderer's loop."""

    target: Target
    step: Step = Step.UNKNOWN
    orders: int = 0
    held: dict[str, set[str]] = field(default_factory=dict)
    coming: dict[tuple[str, str], timedelta] = field(default_factory=dict)
    """When each adapter that was ordered is expected to be loaded."""
    removing: set[str] = field(default_factory=set)
    loading: str = ""
    loading_reason: str = ""
    ready_at: timedelta = timedelta()
    ask_at: timedelta = timedelta()
    calling: bool = False
    intent: Intent | None = None
    since: dict[tuple[str, str], timedelta] = field(default_factory=dict)
    copies_in_memory: frozenset[str] = frozenset()
    copies_on_disk: frozenset[str] = frozenset()
    order_from: timedelta = timedelta()
    """From when on orders may be sent after those of the previous orderer."""
    changed: bool = True
    """Whether the peers must be notified of what the target holds."""

    @property
    def is_free(self) -> bool:
        """Whether no call, load or unload is in progress.

        A target refuses adapter orders too while it loads or unloads a model.
        """
        return self.step is Step.IDLE and not self.calling

    def is_free_at(self, now: timedelta) -> bool:
        """Return whether an order may be sent at ``now``."""
        return self.is_free and now >= self.order_from

    def holds(self, model: str, adapter: str = "") -> bool:
        """Return whether ``model`` with ``adapter`` is held and not being removed."""
        adapters = self.held.get(model)
        if adapters is None or model in self.removing:
            return False
        return not adapter or adapter in adapters

    def view(self) -> HeldModels:
        """Return the models and adapters that requests may use."""
        return HeldModels(
            {
                model: frozenset(a for a in adapters if (model, a) not in self.coming)
                for model, adapters in self.held.items()
                if model not in self.removing
            }
        )

    def used_mb(self, engine: EngineSpec) -> float:
        """Return the memory of the models held or being loaded, in MB."""
        names = {*self.held, self.loading} - {""}
        known = engine.by_name
        return sum(known[name].memory_mb for name in names if name in known)

    def adapter_count(self) -> int:
        """Return the number of adapters held."""
        return sum(len(adapters) for adapters in self.held.values())

    def free_at(self, engine: EngineSpec, now: timedelta) -> timedelta:
        """Return when the next model order is expected to be possible."""
        if self.step is Step.LOADING:
            return max(now, self.ready_at) + REPORT_LAG
        if self.intent is not None:
            model = engine.by_name.get(self.intent.model)
            took = timedelta() if model is None else self.load_time(model)
            return now + UNLOAD_TIME + took + REPORT_LAG
        if self.is_free:
            return max(now, self.order_from)
        return max(now, self.ask_at, self.order_from) + REPORT_LAG

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

    @property
    def loading_because(self) -> str:
        """Reason of the load in progress or about to start; empty if there is none."""
        return self.loading_reason if self.intent is None else self.intent.reason

    @property
    def is_loading_from_store(self) -> bool:
        """Whether a load from the weight store is in progress or about to start."""
        model = self.loading if self.intent is None else self.intent.model
        return bool(model) and self.loads_from_store(model)

    def protected(self, model: str, adapter: str, now: timedelta) -> bool:
        """Return whether the model or adapter was loaded too recently to be evicted."""
        loaded_at = self.since.get((model, adapter))
        protected_for = ADAPTER_PROTECTED if adapter else MODEL_PROTECTED
        return loaded_at is not None and now - loaded_at < protected_for

    def arrive(self, now: timedelta) -> None:
        """Mark adapters as loaded whose expected time has passed."""
        for name in [name for name, at in self.coming.items() if now >= at]:
            del self.coming[name]
            self.changed = True

    def met(self, target: Target) -> None:
        """Record the newest directory entry of the target."""
        self.target = target
        # Entries list the same copies as reports, but later.
        if self.step is Step.UNKNOWN:
            self.copies_in_memory = target.copies.in_memory
            self.copies_on_disk = target.copies.on_disk

    def ordered(
        self,
        order: TargetOrder,
        outcome: OrderOutcome,
        load_time: timedelta,
        now: timedelta,
    ) -> None:
        """Record the outcome of ``order``."""
        self.calling = False
        match outcome:
            case OrderOutcome.ACCEPTED | OrderOutcome.ALREADY:
                self.orders += 1
                if outcome is OrderOutcome.ALREADY and not order.adapter:
                    # The target may or may not have counted the order; a report shows
                    # which.
                    self._await_report(now)
                    return
                self._apply_accepted(order, load_time, now)
            case OrderOutcome.NOT_SENT:
                self._await_report(now)
            case OrderOutcome.GONE:
                self._await_report(now + DOUBT_POLL)
            case _:
                self._await_report(now)

    def reported(self, report: TargetReport, now: timedelta) -> None:
        """Apply ``report``, unless it is older than the recorded state."""
        self.calling = False
        if self._is_of_other_incarnation(report):
            self._record_restart(now)
            return
        if report.orders < self.orders and self.step is not Step.DOUBT:
            self.ask_at = now + REPORT_LAG
            return
        self.copies_in_memory = report.copies.in_memory
        self.copies_on_disk = report.copies.on_disk
        if report.busy:
            self._schedule_busy_poll(now)
            return
        self.orders = report.orders
        self._apply_settled_report(report, now)

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
        self.coming.clear()
        self.removing.clear()
        self.loading = ""
        self.loading_reason = ""
        self.intent = None
        self.changed = True
        self.step = Step.DOUBT
        self.ask_at = now + DOUBT_POLL

    def unanswered(self, now: timedelta) -> None:
        """Record that a request for a report failed."""
        self.calling = False
        self.ask_at = now + DOUBT_POLL

    def _apply_accepted(
        self, order: TargetOrder, load_time: timedelta, now: timedelta
    ) -> None:
        self.changed = True
        if order.adapter:
            self._apply_accepted_adapter(order, now)
            return
        if order.kind is OrderKind.LOAD:
            self.step = Step.LOADING
            self.loading = order.model
            self.ready_at = now + load_time
            self.ask_at = self.ready_at + REPORT_LAG
            self.loading_reason = self.loading_because
            self.intent = None
            return
        self.step = Step.UNLOADING
        self.removing.add(order.model)
        self.ask_at = now + REPORT_LAG

    def _apply_accepted_adapter(self, order: TargetOrder, now: timedelta) -> None:
        adapters = self.held.setdefault(order.model, set())
        if order.kind is OrderKind.LOAD:
            adapters.add(order.adapter)
            self.coming[order.model, order.adapter] = now + ADAPTER_TIME
            self.since[order.model, order.adapter] = now
        else:
            adapters.discard(order.adapter)
            self.coming.pop((order.model, order.adapter), None)

    def _await_report(self, now: timedelta) -> None:
        self.step = Step.DOUBT
        self.ask_at = now + REPORT_LAG

    def _schedule_busy_poll(self, now: timedelta) -> None:
        match self.step:
            case Step.LOADING:
                self.ask_at = now + LOAD_POLL
            case Step.UNLOADING:
                self.ask_at = now + UNLOAD_POLL
            case _:
                self.ask_at = now + DOUBT_POLL

    def _apply_settled_report(self, report: TargetReport, now: timedelta) -> None:
        """Replace the state by ``report``, which shows no order in progress."""
        previous = self.view()
        held = {
            model: set(adapters)
            for model, adapters in report.held.adapters_by_model.items()
        }
        for model, adapter in report.coming:
            held.setdefault(model, set()).add(adapter)
        for model in held.keys() - self.held.keys():
            self.since[model, ""] = now
        self.held = held
        self.coming = {
            name: at for name, at in self.coming.items() if name[0] in self.held
        }
        self.removing.clear()
        self.loading = ""
        self.loading_reason = ""
        self.step = Step.IDLE
        if self.view() != previous:
            self.changed = True
