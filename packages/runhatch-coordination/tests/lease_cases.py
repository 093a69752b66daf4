"""Two nodes that contend for one lease, for tests."""

from datetime import timedelta

from runhatch_coordination import Key, Lease, LeaseChange, Put
from runhatch_coordination.testing import FaultyTable, ManualClock, MemoryTable

TTL = timedelta(seconds=6)


class Contest:
    """Two nodes, each with its own clock and its own way to one table."""

    def __init__(self):
        self.memory = MemoryTable()
        self.tables = {name: FaultyTable(self.memory) for name in "ab"}
        self.clocks = {name: ManualClock() for name in "ab"}
        self.leases = {
            name: Lease(self.tables[name], self.clocks[name], "shard", name, TTL)
            for name in "ab"
        }

    def advance(self, seconds, names="ab"):
        for name in names:
            self.clocks[name].advance(timedelta(seconds=seconds))

    def step(self, name):
        return self.leases[name].step()

    def start(self, name):
        """Start the node's process anew: it has asked nothing of the table yet."""
        self.tables[name] = FaultyTable(self.memory)
        self.leases[name] = Lease(
            self.tables[name], self.clocks[name], "shard", name, TTL
        )

    def restore(self, *told):
        """The table comes back from its copy, and ``told`` nodes know that at once."""
        self.memory.restore()
        for name in told:
            self.tables[name].learn_era()

    def acquire(self, name):
        assert self.step(name) is LeaseChange.ACQUIRED
        return self.leases[name].held().number

    def holders(self):
        return [name for name in "ab" if self.leases[name].held() is not None]


def guarded_write(contest, name, epoch):
    put = Put(Key("data", "row"), name.encode(), 0)
    return contest.memory.transact([put, epoch.guard])
