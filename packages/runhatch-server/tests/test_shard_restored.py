"""Planning one pool by a table that comes back from an older copy."""

from concurrent.futures import ThreadPoolExecutor
from datetime import timedelta

import pytest
from server_cases import deployment_document

from runhatch_coordination import Lease, SharedPermits, Unknown
from runhatch_coordination.testing import FaultyTable, ManualClock, MemoryTable
from runhatch_server.configuration import Deployment
from runhatch_server.observability import Metrics
from runhatch_server.placement import LedgerLostError, LedgerStore, ShardPlanner
from runhatch_server.serving import Picture
from runhatch_server.targets import EngineReport, LoadedUnit, OrderKind, OrderOutcome

TTL = timedelta(seconds=6)
SECOND = timedelta(seconds=1)
ROUNDS = 30
"""Enough to take a lease over, and to load and unload."""


class Engine:
    """Takes every order at once, and remembers their numbers."""

    def __init__(self):
        self.numbers = []
        self.held = {}

    def give(self, order):
        self.numbers.append(order.number)
        if order.kind is OrderKind.UNLOAD:
            self.held.pop(order.unit, None)
        else:
            self.held[order.unit] = order.memory_mb
        return OrderOutcome.ACCEPTED

    def report(self):
        units = tuple(LoadedUnit(unit, mb) for unit, mb in self.held.items())
        return EngineReport("i", max(self.numbers, default=0), units, 0, 0)


class Pool:
    """One pool, its engines, and the node that plans it."""

    def __init__(self):
        self.memory = MemoryTable()
        self.clock = ManualClock()
        self.document = deployment_document()
        for model in self.document["models"]:
            model.update(memory_mb=40, loading_peak_mb=12)
        self.version = 1
        self.deployment = Deployment.model_validate(self.document)
        pool = self.deployment.pools[0]
        self.engines = {target.url: Engine() for target in pool.targets}
        self.picture = Picture()
        self.picture.configure(self.deployment)
        self.start("a")

    def start(self, name):
        """The node of ``name`` plans from now on, and the one before does not."""
        self.table = FaultyTable(self.memory)
        self.lease = Lease(self.table, self.clock, "reader", name, TTL)
        self.planner = ShardPlanner(
            "reader",
            LedgerStore(self.table, "reader", name),
            SharedPermits(self.table, self.clock, "weights", 4.0, 3),
            self.clock,
            ThreadPoolExecutor(1),
            Metrics(),
            self.picture.learn,
            self.engines.__getitem__,
        )
        self.epoch = 0

    def plan(self, rounds=ROUNDS):
        for _ in range(rounds):
            self.clock.advance(SECOND)
            self.lease.step()
            epoch = self.lease.held()
            if epoch is None or epoch.number != self.epoch:
                self.planner.forget()
                self.epoch = 0 if epoch is None else epoch.number
            if epoch is not None:
                self.plan_once(epoch)

    def plan_once(self, epoch):
        pool = self.deployment.pools[0]
        try:
            self.planner.step(self.deployment, pool, epoch, frozenset())
        except LedgerLostError:
            pass

    def change(self):
        """Declare another version of every model, so that targets get orders."""
        self.version += 1
        for model in self.document["models"]:
            model["version"] = str(self.version)
        self.deployment = Deployment.model_validate(self.document)
        self.picture.configure(self.deployment)

    def ordered(self):
        return {url: list(engine.numbers) for url, engine in self.engines.items()}


@pytest.fixture
def pool():
    return Pool()


class TestRestored:
    """Orders are numbered by rows that go back with the table."""

    @pytest.mark.parametrize("planner", ["a", "b"])
    @pytest.mark.parametrize("rounds", [0, 4, ROUNDS])
    def test_numbers_of_orders_go_on_rising(self, pool, rounds, planner):
        """Rows of the copy are of any age, and may be missing."""
        pool.plan(rounds)
        pool.memory.copy()
        pool.plan()
        pool.change()
        pool.plan()
        before = pool.ordered()
        assert all(before.values())
        pool.memory.restore()
        if planner != "a":
            pool.start(planner)
        pool.plan()
        pool.change()
        pool.plan()

        for url, numbers in pool.ordered().items():
            later = numbers[len(before[url]) :]
            assert later, url
            assert min(later) > max(before[url]), url

    def test_what_was_numbered_before_is_not_ordered_after(self, pool):
        """The row was written in the next era, under a condition that held there."""
        pool.plan()
        store = LedgerStore(pool.table, "reader", "a")
        held = store.read_all()[0]
        pool.memory.copy()
        pool.memory.restore()

        written = store.write(held.row, held, pool.lease.held())

        assert isinstance(written, Unknown)
        assert store.read_all()[0].next_order > held.next_order

    def test_what_is_served_is_told_though_rows_are_counted_again(self, pool):
        pool.memory.copy()
        for _ in range(2):
            pool.plan()
            pool.change()
        pool.plan()
        pool.memory.restore()
        pool.change()
        pool.plan(2 * ROUNDS)

        told = {
            hosting.target: set(hosting.units) for hosting in pool.picture.hostings()
        }
        targets = pool.deployment.pools[0].targets
        assert told == {t.name: set(pool.engines[t.url].held) for t in targets}
