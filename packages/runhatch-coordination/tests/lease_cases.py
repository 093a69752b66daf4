"""Test helpers: two nodes that contend for one lease."""

from datetime import timedelta

from runhatch_coordination import Key, Lease, LeaseChange, Put
from runhatch_coordination.testing import FaultyTable, ManualClock, MemoryTable

TTL = timedelta(seconds=6)


class SlowTable(FaultyTable):
    """Advances the clock in each call and runs a callback after each write."""

    def __init__(self, table, clock):
        super().__init__(table)
        self._clock = clock
        self.call_duration = timedelta()
        self.after_write = lambda: None

    def get(self, key):
        self._clock.advance(self.call_duration)
        return super().get(key)

    def transact(self, writes):
        self._clock.advance(self.call_duration)
        outcome = super().transact(writes)
        self.after_write()
        return outcome


class Contenders:
    """Two nodes that share a table, each with its own clock and connection."""

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

    def restart(self, name):
        """Restart the node's process, which has not read the table yet."""
        self.tables[name] = FaultyTable(self.memory)
        self.leases[name] = Lease(
            self.tables[name], self.clocks[name], "shard", name, TTL
        )

    def restore(self, *informed):
        """Restore the table from its copy; ``informed`` nodes learn the new era."""
        self.memory.restore_copy()
        for name in informed:
            self.tables[name].update_era()

    def acquire(self, name):
        assert self.step(name) is LeaseChange.ACQUIRED
        return self.leases[name].held_epoch().number

    def holders(self):
        return [name for name in "ab" if self.leases[name].held_epoch() is not None]


def write_guarded(contenders, name, epoch):
    put = Put(Key("data", "row"), name.encode(), 0)
    return contenders.memory.transact([put, epoch.guard])
