"""Planning of one pool when the table is restored from an older copy."""

from concurrent.futures import ThreadPoolExecutor
from datetime import timedelta

import pytest
from server_cases import deployment_document

from runhatch_coordination import Lease, SharedPermits, Unknown
from runhatch_coordination.testing import FaultyTable, ManualClock, MemoryTable
from runhatch_server.configuration import Deployment
from runhatch_server.observability import Metrics
from runhatch_server.placement import LedgerLostError, LedgerStore, ShardPlanner
from runhatch_server.serving import PlacementCache
from runhatch_server.targets import EngineReport, LoadedUnit, OrderKind, OrderOutcome

TTL = timedelta(seconds=6)
SECOND = timedelta(seconds=1)
ROUNDS = 30
"""Planning rounds that suffice to take over a lease, load and unload."""


class FakeEngine:
    """Applies every order at once and records its number."""

    def __init__(self):
        self.order_numbers = []
        self.loaded = {}

    def send_order(self, order):
        self.order_numbers.append(order.number)
        if order.kind is OrderKind.UNLOAD:
            self.loaded.pop(order.unit, None)
        else:
            self.loaded[order.unit] = order.memory_mb
        return OrderOutcome.ACCEPTED

    def fetch_report(self):
        units = tuple(LoadedUnit(unit, mb) for unit, mb in self.loaded.items())
        return EngineReport("i", max(self.order_numbers, default=0), units, 0, 0)


class Pool:
    """A pool, its engines and the node that plans it."""

    def __init__(self):
        self.memory = MemoryTable()
        self.clock = ManualClock()
        self.document = deployment_document()
        for model in self.document["models"]:
            model.update(memory_mb=40, loading_peak_mb=12)
        self.version = 1
        self.deployment = Deployment.model_validate(self.document)
        pool = self.deployment.pools[0]
        self.engines = {target.url: FakeEngine() for target in pool.targets}
        self.picture = PlacementCache()
        self.picture.set_deployment(self.deployment)
        self.start_node("a")

    def start_node(self, name):
        """Plan by the node ``name`` from now on, instead of the previous one."""
        self.table = FaultyTable(self.memory)
        self.lease = Lease(self.table, self.clock, "reader", name, TTL)
        self.planner = ShardPlanner(
            "reader",
            LedgerStore(self.table, "reader", name),
            SharedPermits(self.table, self.clock, "weights", 4.0, 3),
            self.clock,
            ThreadPoolExecutor(1),
            Metrics(),
            self.picture.apply_hosting,
            self.engines.__getitem__,
        )
        self.epoch = 0

    def run_rounds(self, rounds=ROUNDS):
        for _ in range(rounds):
            self.clock.advance(SECOND)
            self.lease.step()
            epoch = self.lease.held_epoch()
            if epoch is None or epoch.number != self.epoch:
                self.planner.reset()
                self.epoch = 0 if epoch is None else epoch.number
            if epoch is not None:
                self.run_round(epoch)

    def run_round(self, epoch):
        pool = self.deployment.pools[0]
        try:
            self.planner.run_round(self.deployment, pool, epoch, frozenset())
        except LedgerLostError:
            pass

    def declare_new_versions(self):
        """Declare a new version of every model, so that targets get orders."""
        self.version += 1
        for model in self.document["models"]:
            model["version"] = str(self.version)
        self.deployment = Deployment.model_validate(self.document)
        self.picture.set_deployment(self.deployment)

    def order_numbers(self):
        return {url: list(engine.order_numbers) for url, engine in self.engines.items()}


@pytest.fixture
def pool():
    return Pool()


class TestRestored:
    """Order numbers come from row versions, which a restored table repeats."""

    @pytest.mark.parametrize("planner", ["a", "b"])
    @pytest.mark.parametrize("rounds", [0, 4, ROUNDS])
    def test_order_numbers_rise_after_a_restore(self, pool, rounds, planner):
        """Orders after a restore have higher numbers than all before it.

        Otherwise engines would refuse them.  The copy may lack rows or be of any age.
        """
        pool.run_rounds(rounds)
        pool.memory.save_copy()
        pool.run_rounds()
        pool.declare_new_versions()
        pool.run_rounds()
        numbers_before = pool.order_numbers()
        assert all(numbers_before.values())
        pool.memory.restore_copy()
        if planner != "a":
            pool.start_node(planner)
        pool.run_rounds()
        pool.declare_new_versions()
        pool.run_rounds()

        for url, numbers in pool.order_numbers().items():
            numbers_after = numbers[len(numbers_before[url]) :]
            assert numbers_after, url
            assert min(numbers_after) > max(numbers_before[url]), url

    def test_order_numbered_before_a_restore_is_not_sent(self, pool):
        """A write that spans a restore returns ``Unknown``, though its condition held.

        Its order number belongs to the earlier era and is too low in the new one.
        """
        pool.run_rounds()
        store = LedgerStore(pool.table, "reader", "a")
        stored = store.read_rows()[0]
        pool.memory.save_copy()
        pool.memory.restore_copy()

        written = store.write_row(stored.row, stored, pool.lease.held_epoch())

        assert isinstance(written, Unknown)
        assert store.read_rows()[0].next_order_number > stored.next_order_number

    def test_hostings_are_published_after_a_restore(self, pool):
        """Hostings stay current although the versions of rows repeat."""
        pool.memory.save_copy()
        for _ in range(2):
            pool.run_rounds()
            pool.declare_new_versions()
        pool.run_rounds()
        pool.memory.restore_copy()
        pool.declare_new_versions()
        pool.run_rounds(2 * ROUNDS)

        published = {
            hosting.target: set(hosting.units) for hosting in pool.picture.hostings()
        }
        targets = pool.deployment.pools[0].targets
        assert published == {t.name: set(pool.engines[t.url].loaded) for t in targets}
