"""One target under the orderer: what it holds, and the order that is on its way.

The clever part is that memory stays safe with a lagging report and late orders.
Each order names how many the target must have taken before; so at any moment one
further order at most can take effect, whichever of those sent that is.  An order
is only sent when it fits what the target holds after all that it is known to have
taken, and unloaded memory counts as free only once a report has shown it.
"""

from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum

from runhatch_server.fleet import HeldModels, Target
from runhatch_server.residency._orders import TargetOrder, TargetReport
from runhatch_server.routing import EngineModel, EngineSpec
from runhatch_server.targets import OrderKind, OrderOutcome

REPORT_LAG = timedelta(milliseconds=160)
"""Age that a report may have; what an order has changed is asked for after it."""
UNLOAD_TIME = timedelta(milliseconds=300)
"""Usual time until an unloaded model's memory is seen to be free."""
ADAPTER_TIME = timedelta(milliseconds=70)
"""Time in which an adapter is loaded: 6 to 19 ms where the target has a copy, ten
times as long from the store."""
LOAD_POLL = timedelta(milliseconds=250)
"""Between two reports of a load that takes longer than expected."""
UNLOAD_POLL = timedelta(milliseconds=400)
"""Between two reports while requests of an unloaded model still run."""
DOUBT_POLL = timedelta(milliseconds=600)
"""Between two reports while it is not known whether an order was taken."""
ADAPTER_PROTECTED = timedelta(seconds=1)
"""An adapter stays so long at least: requests that waited for it are on their way."""
MODEL_PROTECTED = timedelta(seconds=2.5)
"""The same for a model."""


class Step(Enum):
    """What the control of a target waits for."""

    UNKNOWN = "unknown"
    """A first report."""
    IDLE = "idle"
    """Nothing; it may be given an order."""
    LOADING = "loading"
    UNLOADING = "unloading"
    DOUBT = "doubt"
    """A report that tells whether the last order was taken."""


@dataclass(frozen=True, slots=True)
class Intent:
    """A model to be loaded once ``evict`` have been unloaded."""

    model: str
    evict: tuple[str, ...]
    reason: str


@dataclass(slots=True)
class TargetControl:
    """State of one life of one target; used by the orderer's loop alone."""

    target: Target
    step: Step = Step.UNKNOWN
    orders: int = 0
    held: dict[str, set[str]] = field(default_factory=dict)
    coming: dict[tuple[str, str], timedelta] = field(default_factory=dict)
    """When adapters that were ordered will be there."""
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
    """When the last node's orders are long enough ago for new ones."""
    changed: bool = True
    """Whether others are to be told anew what it holds."""

    @property
    def is_free(self) -> bool:
        """Whether nothing is under way that an order would meet.

        While a model is loaded or unloaded a target refuses orders for adapters too.
        """
        return self.step is Step.IDLE and not self.calling

    def is_free_at(self, now: timedelta) -> bool:
        """Tell whether an order may be sent at ``now``."""
        return self.is_free and now >= self.order_from

    def holds(self, model: str, adapter: str = "") -> bool:
        """Tell whether it holds ``model`` with ``adapter``, and keeps it."""
        adapters = self.held.get(model)
        if adapters is None or model in self.removing:
            return False
        return not adapter or adapter in adapters

    def view(self) -> HeldModels:
        """Return what requests may be sent for."""
        return HeldModels(
            {
                model: frozenset(a for a in adapters if (model, a) not in self.coming)
                for model, adapters in self.held.items()
                if model not in self.removing
            }
        )

    def used_mb(self, engine: EngineSpec) -> float:
        """Return the memory of the models there, those being loaded included."""
        names = {*self.held, self.loading} - {""}
        known = engine.by_name
        return sum(known[name].memory_mb for name in names if name in known)

    def adapter_count(self) -> int:
        """Return how many adapters it holds."""
        return sum(len(adapters) for adapters in self.held.values())

    def free_at(self, engine: EngineSpec, now: timedelta) -> timedelta:
        """Return when the next order for a model may be sent, as far as is known."""
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
        """Return how long a load of ``model`` takes here."""
        if model.name in self.copies_in_memory:
            return model.loads.from_memory
        if model.name in self.copies_on_disk:
            return model.loads.from_disk
        return model.loads.from_store

    def loads_from_store(self, model: str) -> bool:
        """Tell whether a load of ``model`` draws on the weight store."""
        return model not in self.copies_in_memory and model not in self.copies_on_disk

    @property
    def loading_because(self) -> str:
        """Why a model is being loaded, or about to be; empty if none is."""
        return self.loading_reason if self.intent is None else self.intent.reason

    @property
    def is_loading_from_store(self) -> bool:
        """Whether a load from the weight store is under way or about to begin."""
        coming = self.loading if self.intent is None else self.intent.model
        return bool(coming) and self.loads_from_store(coming)

    def protected(self, model: str, adapter: str, now: timedelta) -> bool:
        """Tell whether something was loaded too lately to be dropped."""
        at = self.since.get((model, adapter))
        shortest = ADAPTER_PROTECTED if adapter else MODEL_PROTECTED
        return at is not None and now - at < shortest

    def arrive(self, now: timedelta) -> None:
        """Take adapters for loaded whose time has passed."""
        for name in [name for name, at in self.coming.items() if now >= at]:
            del self.coming[name]
            self.changed = True

    def met(self, target: Target) -> None:
        """Take in the target's newest entry."""
        self.target = target
        # Entries tell of copies what reports tell too, and later.
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
        """Take in what became of ``order``."""
        self.calling = False
        match outcome:
            case OrderOutcome.ACCEPTED | OrderOutcome.ALREADY:
                self.orders += 1
                if outcome is OrderOutcome.ALREADY and not order.adapter:
                    # Nothing was counted, or something: a report tells.
                    self._doubt(now)
                    return
                self._taken(order, load_time, now)
            case OrderOutcome.NOT_SENT:
                self._doubt(now)
            case OrderOutcome.GONE:
                self._doubt(now + DOUBT_POLL)
            case _:
                self._doubt(now)

    def reported(self, report: TargetReport, now: timedelta) -> None:
        """Take in a report; one older than what is known changes nothing."""
        self.calling = False
        if self._is_of_other_life(report):
            self._ended(now)
            return
        if report.orders < self.orders and self.step is not Step.DOUBT:
            self.ask_at = now + REPORT_LAG
            return
        self.copies_in_memory = report.copies.in_memory
        self.copies_on_disk = report.copies.on_disk
        if report.busy:
            self._still_busy(now)
            return
        self.orders = report.orders
        self._settle(report, now)

    def _is_of_other_life(self, report: TargetReport) -> bool:
        known = self.target.started_at
        return None not in (known, report.started_at) and known != report.started_at

    def _ended(self, now: timedelta) -> None:
        """Take in that the target has started again, and holds nothing of before.

        Its new life is ordered once its entry tells of it.
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
        """Take in that a report could not be had."""
        self.calling = False
        self.ask_at = now + DOUBT_POLL

    def _taken(self, order: TargetOrder, load_time: timedelta, now: timedelta) -> None:
        self.changed = True
        if order.adapter:
            self._adapter_taken(order, now)
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

    def _adapter_taken(self, order: TargetOrder, now: timedelta) -> None:
        adapters = self.held.setdefault(order.model, set())
        if order.kind is OrderKind.LOAD:
            adapters.add(order.adapter)
            self.coming[order.model, order.adapter] = now + ADAPTER_TIME
            self.since[order.model, order.adapter] = now
        else:
            adapters.discard(order.adapter)
            self.coming.pop((order.model, order.adapter), None)

    def _doubt(self, now: timedelta) -> None:
        self.step = Step.DOUBT
        self.ask_at = now + REPORT_LAG

    def _still_busy(self, now: timedelta) -> None:
        match self.step:
            case Step.LOADING:
                self.ask_at = now + LOAD_POLL
            case Step.UNLOADING:
                self.ask_at = now + UNLOAD_POLL
            case _:
                self.ask_at = now + DOUBT_POLL

    def _settle(self, report: TargetReport, now: timedelta) -> None:
        """Take ``report`` for what holds; nothing is under way there."""
        before = self.view()
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
        if self.view() != before:
            self.changed = True
