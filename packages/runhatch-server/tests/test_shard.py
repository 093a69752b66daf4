"""Two nodes plan one pool under faults of engines, orders and the table.

A hypothesis state machine; the fake engines count their memory independently.
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
    """Applies orders at once, late, twice or never; its reports are correct."""

    def __init__(self, clock, refuses):
        self.clock = clock
        self.refuses = refuses
        self.loaded = {}
        self.fence = 0
        self.mode = "now"
        self.delayed_orders = []
        self.peak_used_mb = 0
        self.silent = False

    def send_order(self, order: Order) -> OrderOutcome:
        if self.silent or self.mode == "lost":
            return OrderOutcome.UNKNOWN
        if self.mode in ("late", "doubled"):
            self.delayed_orders.append((self.clock.elapsed().total_seconds(), order))
        if self.mode == "late":
            return OrderOutcome.ACCEPTED
        return self.apply(order)

    def apply(self, order: Order) -> OrderOutcome:
        if self.refuses and order.number < self.fence:
            return OrderOutcome.REFUSED_STALE
        self.fence = max(self.fence, order.number)
        if order.kind is OrderKind.UNLOAD:
            removed = {order.unit}
            self.loaded = {
                unit: entry
                for unit, entry in self.loaded.items()
                if unit not in removed and entry[1] not in removed
            }
        elif order.unit not in self.loaded:
            if order.base and order.base not in self.loaded:
                return OrderOutcome.REFUSED
            self.loaded[order.unit] = (order.memory_mb, order.base)
            peak = order.loading_peak_mb
            self.peak_used_mb = max(self.peak_used_mb, self.used_mb + peak)
        return OrderOutcome.ACCEPTED

    @property
    def used_mb(self):
        return sum(memory for memory, _ in self.loaded.values())

    def apply_delayed(self, count):
        for _, order in self.delayed_orders[:count]:
            self.apply(order)
        del self.delayed_orders[:count]

    def apply_overdue(self):
        """Apply delayed orders that have reached the maximum order delay."""
        now = self.clock.elapsed().total_seconds()
        overdue = [
            entry
            for entry in self.delayed_orders
            if now - entry[0] >= ORDER_DELAY - 0.1
        ]
        self.delayed_orders = [
            entry for entry in self.delayed_orders if entry not in overdue
        ]
        for _, order in overdue:
            self.apply(order)

    def fetch_report(self):
        if self.silent:
            return Unavailable("silent")
        units = tuple(LoadedUnit(unit, mb) for unit, (mb, _) in self.loaded.items())
        return EngineReport("i", self.fence, units, 0, 0)


class ShardMachine(RuleBasedStateMachine):
    """No engine ever needs more memory than it has, whatever faults occur."""

    @initialize()
    def start(self):
        self.clock = ManualClock()
        self.memory = MemoryTable()
        self.engines = {
            name: FakeEngine(self.clock, refuses=name != "w0") for name in NAMES
        }
        document = deployment_document()
        # A target fits two loaded models, or one while another is being loaded.
        for model in document["models"]:
            model.update(memory_mb=40, loading_peak_mb=12)
        for target in document["pools"][0]["targets"]:
            ignores = target["name"] == "w0"
            target["fencing"] = "ignores" if ignores else "refuses"
            target["max_order_delay_seconds"] = ORDER_DELAY
        self.document = document
        self.version = 1
        self.demand = {}
        self.update_deployment()
        self.nodes = {name: self.make_node(name) for name in "ab"}

    def update_deployment(self):
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
    def run_rounds(self, name, rounds):
        _, lease, planner = self.nodes[name]
        for _ in range(rounds):
            self.advance_clock(1.0)
            lease.step()
            epoch = lease.held_epoch()
            if epoch is None:
                planner.reset()
                continue
            planner.demand_estimate.add_counts({m: c for m, c in self.demand.items()})
            pool = self.deployment.pools[0]
            try:
                planner.run_round(self.deployment, pool, epoch, frozenset())
            except LedgerLostError:
                pass

    @rule(seconds=st.floats(0.5, 6.0))
    def advance_clock(self, seconds):
        self.clock.advance(timedelta(seconds=seconds))
        for engine in self.engines.values():
            engine.apply_overdue()

    @rule(
        target_name=st.sampled_from(NAMES),
        mode=st.sampled_from(["now", "late", "lost", "doubled"]),
    )
    def set_order_mode(self, target_name, mode):
        self.engines[target_name].mode = mode

    @rule(target_name=st.sampled_from(NAMES), count=st.integers(1, 3))
    def deliver_delayed_orders(self, target_name, count):
        self.engines[target_name].apply_delayed(count)

    @rule(target_name=st.sampled_from(NAMES), silent=st.booleans())
    def set_silence(self, target_name, silent):
        self.engines[target_name].silent = silent

    @rule(
        name=st.sampled_from("ab"),
        fault=st.sampled_from(TableFault),
        count=st.integers(0, 4),
    )
    def inject_table_fault(self, name, fault, count):
        self.nodes[name][0].inject(fault, count)

    @rule(model=st.integers(0, 3))
    def declare_new_version(self, model):
        self.version += 1
        self.document["models"][model]["version"] = str(self.version)
        self.update_deployment()

    @rule(model=st.integers(0, 3), rate=st.integers(0, 60))
    def set_demand(self, model, rate):
        self.demand[f"m{model}"] = rate

    @rule(name=st.sampled_from("ab"))
    def restart_node(self, name):
        self.nodes[name] = self.make_node(name)

    @invariant()
    def memory_is_never_overcommitted(self):
        for name, engine in getattr(self, "engines", {}).items():
            assert engine.peak_used_mb <= CAPACITY, name
            assert engine.used_mb <= CAPACITY, name

    def teardown(self):
        """Assert that every model is resident some time after all faults end."""
        if not hasattr(self, "engines"):
            return
        for engine in self.engines.values():
            engine.mode, engine.silent = "now", False
        for table, _, _ in self.nodes.values():
            table.inject(TableFault.NONE, 0)
        self.demand.clear()
        for _ in range(60):
            self.run_rounds("a", 1)
            self.run_rounds("b", 1)
        resident = {unit for engine in self.engines.values() for unit in engine.loaded}
        assert {model.unit_name for model in self.deployment.models} <= resident


TestShardMachine = ShardMachine.TestCase
TestShardMachine.settings = settings(
    derandomize=True, max_examples=60, stateful_step_count=40, deadline=None
)
