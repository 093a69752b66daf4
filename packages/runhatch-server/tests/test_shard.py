"""Two nodes planning one pool while engines, orders and the table misbehave.

A hypothesis state machine; the engines keep their own account of memory.
"""

from concurrent.futures import ThreadPoolExecutor
from datetime import timedelta

import hypothesis.strategies as st
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule
from server_cases import deployment_document

from runhatch_coordination import Lease, SharedPermits, Unavailable
from runhatch_coordination.testing import (
    FaultyTable,
    ManualClock,
    MemoryTable,
    TableFault,
)
from runhatch_server.configuration import Deployment
from runhatch_server.observability import Metrics
from runhatch_server.placement import LedgerLostError, LedgerStore, ShardPlanner
from runhatch_server.targets import (
    EngineReport,
    LoadedUnit,
    Order,
    OrderKind,
    OrderOutcome,
)

CAPACITY = 100
ORDER_DELAY = 30.0
TTL = timedelta(seconds=6)
NAMES = ("w0", "w1", "w2")
EXECUTOR = ThreadPoolExecutor(1)


class FakeEngine:
    """Holds units, takes orders now, late, twice or never, and tells the truth."""

    def __init__(self, clock, refuses):
        self.clock = clock
        self.refuses = refuses
        self.held = {}
        self.fence = 0
        self.mode = "now"
        self.late = []
        self.most = 0
        self.silent = False

    def give(self, order: Order) -> OrderOutcome:
        if self.silent or self.mode == "lost":
            return OrderOutcome.UNKNOWN
        if self.mode in ("late", "doubled"):
            self.late.append((self.clock.elapsed().total_seconds(), order))
        if self.mode == "late":
            return OrderOutcome.ACCEPTED
        return self.apply(order)

    def apply(self, order: Order) -> OrderOutcome:
        if self.refuses and order.number < self.fence:
            return OrderOutcome.REFUSED_OLD
        self.fence = max(self.fence, order.number)
        if order.kind is OrderKind.UNLOAD:
            bases = {order.unit}
            self.held = {
                unit: held
                for unit, held in self.held.items()
                if unit not in bases and held[1] not in bases
            }
        elif order.unit not in self.held:
            if order.base and order.base not in self.held:
                return OrderOutcome.REFUSED
            self.held[order.unit] = (order.memory_mb, order.base)
            peak = order.loading_peak_mb
            self.most = max(self.most, self.used + peak)
        return OrderOutcome.ACCEPTED

    @property
    def used(self):
        return sum(memory for memory, _ in self.held.values())

    def deliver_late(self, count):
        for _, order in self.late[:count]:
            self.apply(order)
        del self.late[:count]

    def drop_overdue(self):
        """Deliver what must arrive by now; nothing is later than the longest."""
        now = self.clock.elapsed().total_seconds()
        overdue = [entry for entry in self.late if now - entry[0] >= ORDER_DELAY - 0.1]
        self.late = [entry for entry in self.late if entry not in overdue]
        for _, order in overdue:
            self.apply(order)

    def report(self):
        if self.silent:
            return Unavailable("silent")
        units = tuple(LoadedUnit(unit, mb) for unit, (mb, _) in self.held.items())
        return EngineReport("i", self.fence, units, 0, 0)


class ShardMachine(RuleBasedStateMachine):
    """Whatever happens, no engine is ever asked for more than it has."""

    @initialize()
    def start(self):
        self.clock = ManualClock()
        self.memory = MemoryTable()
        self.engines = {
            name: FakeEngine(self.clock, refuses=name != "w0") for name in NAMES
        }
        document = deployment_document()
        # Tight: a target holds two models, and one of them while loading another.
        for model in document["models"]:
            model.update(memory_mb=40, loading_peak_mb=12)
        for target in document["pools"][0]["targets"]:
            ignores = target["name"] == "w0"
            target["fencing"] = "ignores" if ignores else "refuses"
            target["max_order_delay_seconds"] = ORDER_DELAY
        self.document = document
        self.version = 1
        self.demand = {}
        self.configure()
        self.nodes = {name: self.make_node(name) for name in "ab"}

    def configure(self):
        self.deployment = Deployment.model_validate(self.document)

    def make_node(self, name):
        table = FaultyTable(self.memory)
        lease = Lease(table, self.clock, "reader", name, TTL)
        by_url = {
            target.url: self.engines[target.name]
            for target in self.deployment.pools[0].targets
        }
        planner = ShardPlanner(
            "reader",
            LedgerStore(table, "reader", name),
            SharedPermits(table, self.clock, "weights", 4.0, 3),
            self.clock,
            EXECUTOR,
            Metrics(),
            lambda hosting: None,
            by_url.__getitem__,
        )
        return table, lease, planner

    @rule(name=st.sampled_from("ab"), rounds=st.integers(1, 8))
    def work(self, name, rounds):
        _, lease, planner = self.nodes[name]
        for _ in range(rounds):
            self.advance(1.0)
            lease.step()
            epoch = lease.held()
            if epoch is None:
                planner.forget()
                continue
            planner.demand.add({m: c for m, c in self.demand.items()})
            pool = self.deployment.pools[0]
            try:
                planner.step(self.deployment, pool, epoch, frozenset())
            except LedgerLostError:
                pass

    @rule(seconds=st.floats(0.5, 6.0))
    def advance(self, seconds):
        self.clock.advance(timedelta(seconds=seconds))
        for engine in self.engines.values():
            engine.drop_overdue()

    @rule(
        worker=st.sampled_from(NAMES),
        mode=st.sampled_from(["now", "late", "lost", "doubled"]),
    )
    def order_fault(self, worker, mode):
        self.engines[worker].mode = mode

    @rule(worker=st.sampled_from(NAMES), count=st.integers(1, 3))
    def deliver(self, worker, count):
        self.engines[worker].deliver_late(count)

    @rule(worker=st.sampled_from(NAMES), silent=st.booleans())
    def silence(self, worker, silent):
        self.engines[worker].silent = silent

    @rule(
        name=st.sampled_from("ab"),
        fault=st.sampled_from(TableFault),
        count=st.integers(0, 4),
    )
    def table_fault(self, name, fault, count):
        self.nodes[name][0].inject(fault, count)

    @rule(model=st.integers(0, 3))
    def new_version(self, model):
        self.version += 1
        self.document["models"][model]["version"] = str(self.version)
        self.configure()

    @rule(model=st.integers(0, 3), rate=st.integers(0, 60))
    def demand_moves(self, model, rate):
        self.demand[f"m{model}"] = rate

    @rule(name=st.sampled_from("ab"))
    def restart_node(self, name):
        self.nodes[name] = self.make_node(name)

    @invariant()
    def never_overcommitted(self):
        for name, engine in getattr(self, "engines", {}).items():
            assert engine.most <= CAPACITY, name
            assert engine.used <= CAPACITY, name

    def teardown(self):
        """Once all is well again every model is resident."""
        if not hasattr(self, "engines"):
            return
        for engine in self.engines.values():
            engine.mode, engine.silent = "now", False
        for table, _, _ in self.nodes.values():
            table.inject(TableFault.NONE, 0)
        self.demand.clear()
        for _ in range(60):
            self.work("a", 1)
            self.work("b", 1)
        held = {unit for engine in self.engines.values() for unit in engine.held}
        assert {model.unit for model in self.deployment.models} <= held


TestShardMachine = ShardMachine.TestCase
TestShardMachine.settings = settings(
    derandomize=True, max_examples=60, stateful_step_count=40, deadline=None
)
