"""A failure domain of many nodes on slow links, on a clock moved by hand.

Each call takes the time that its answer takes on the links.  Tasks run one at a time,
each until it waits, so that a run always goes the same way.
"""

import heapq
import itertools
import threading
from contextlib import suppress
from datetime import timedelta
from functools import partial

import pytest
from shared_cases import NAME, Kept, Store

from runhatch_coordination import (
    Changes,
    Listing,
    Role,
    SharedTable,
    SharedTableBounds,
    Vm,
    WaitEnded,
    choose_readers,
    number_of,
    role_of,
)
from runhatch_coordination.testing import ManualClock

MEGABIT = 125_000
NODE_LINK = 5 * MEGABIT
FAST_LINK = 100 * MEGABIT
STORE_LINK = 2_000 * MEGABIT
ANSWER_BYTES = 603_000
"""1,890 routes as the store tells them."""
TOLD_BYTES = 29_000
"""The same, compressed."""
HOP = 0.005
LOOK = 0.05
"""How often a task that waits looks round."""
NODES = 26
SUSPECTED = 3.5
"""After so much silence nodes choose other readers."""
BOUNDS = SharedTableBounds(timedelta(seconds=0.15), timedelta(seconds=0.8))
JITTER = 0.3


class StageOverError(Exception):
    """Ends a task."""


class Stage:
    """Runs tasks in the order in which they are due."""

    def __init__(self):
        self.clock = ManualClock()
        self._due = []
        self._numbers = itertools.count()
        self._back = threading.Semaphore(0)
        self._here = threading.local()
        self._over = False

    @property
    def now(self):
        return self.clock.elapsed().total_seconds()

    def later(self, seconds, act):
        """Do what never waits."""
        if not self._over:
            heapq.heappush(self._due, (self.now + seconds, next(self._numbers), act))

    def start(self, work):
        """Start a task, which may sleep."""
        go = threading.Semaphore(0)
        threading.Thread(target=self._run, args=(work, go), daemon=True).start()
        self._resume_later(0.0, go)

    def sleep(self, seconds):
        self._resume_later(seconds, self._here.go)
        self._back.release()
        self._here.go.acquire()
        if self._over:
            raise StageOverError

    def play(self, until):
        while self._due and self._due[0][0] <= until:
            at, _, go = heapq.heappop(self._due)
            self.clock.advance(timedelta(seconds=max(0.0, at - self.now)))
            go()

    def close(self):
        """End all tasks."""
        self._over = True
        for _, _, act in self._due:
            act()

    def _resume_later(self, seconds, go):
        def resume():
            go.release()
            self._back.acquire()

        self.later(seconds, resume)

    def _run(self, work, go):
        self._here.go = go
        go.acquire()
        try:
            with suppress(StageOverError):
                if not self._over:
                    work()
        finally:
            self._back.release()


class Link:
    """Passes bytes on one after the other."""

    def __init__(self, stage, pace):
        self._stage = stage
        self._pace = pace
        self._free = 0.0

    def send(self, size):
        """Return when ``size`` bytes that are sent now have passed."""
        self._free = max(self._stage.now, self._free) + size / self._pace
        return self._free


class SlowFeed:
    """The store as one node reaches it."""

    def __init__(self, world, link):
        self._world = world
        self._link = link
        self._hurried = False

    def read(self):
        store = self._world.store
        answer = Listing(store.entries(0), store.version)
        self._arrive(answer)
        return answer

    def changes(self, after, wait):
        self._hurried = False
        store, stage = self._world.store, self._world.stage
        end = stage.now + wait.total_seconds()
        stage.sleep(HOP)
        while store.number <= number_of(after) and stage.now < end:
            if self._hurried:
                return WaitEnded()
            stage.sleep(LOOK)
        answer = Changes(store.entries(number_of(after)), store.version)
        self._arrive(answer)
        return answer

    def hurry(self):
        self._hurried = True

    def _arrive(self, answer):
        stage = self._world.stage
        size = ANSWER_BYTES * len(answer.entries)
        end = max(self._world.store_link.send(size), self._link.send(size))
        stage.sleep(end - stage.now)


class SlowNode:
    """One node, its link, and its two tasks."""

    def __init__(self, world, name, domain, pace):
        self.world = world
        self.vm = Vm(name, domain, name)
        self.frozen_at = None
        self.down = Link(world.stage, pace)
        self.up = Link(world.stage, pace)
        self.took = {}
        self.feed = SlowFeed(world, self.down)
        number = len(world.nodes)
        self.table = SharedTable(
            NAME,
            self.feed,
            Kept(),
            self,
            world.stage.clock,
            threading.Event(),
            pytest.fail,
            BOUNDS,
            JITTER * number / NODES,
        )
        world.stage.start(self._watch)
        world.stage.later(0.01 * number, self._look)

    @property
    def frozen(self):
        return self.frozen_at is not None

    def role(self):
        return role_of(self.vm, self.world.vms())

    def ask(self, table, version):
        return False

    def publish(self, table, changes, reachable):
        if self.frozen:
            return
        for other in self.world.listeners_of(self):
            size = TOLD_BYTES * len(changes.entries)
            at = max(self.up.send(size), other.down.send(size)) + HOP
            stage = self.world.stage
            told = partial(other.told, self.vm.name, changes, reachable)
            stage.later(at - stage.now, told)

    def notice(self, table, version):
        for other in self.world.nodes:
            if other is not self and not self.frozen:
                notice = partial(other.table.noticed, version)
                self.world.stage.later(HOP, notice)

    def note_source(self, table, source):
        pass

    def told(self, name, changes, reachable):
        self.table.told(name, changes, reachable)
        self._note()

    def _note(self):
        for version in range(2, number_of(self.table.version or 0) + 1):
            self.took.setdefault(version, self.world.stage.now)

    def _watch(self):
        while True:
            if self.frozen:
                return
            pause = self.table.step().total_seconds()
            self._note()
            self.world.stage.sleep(min(pause, 0.1))

    def _look(self):
        if self.frozen:
            return
        self.table.check()
        if self.role() is Role.READER and self.table.unchanged is not None:
            self.publish(NAME, self.table.unchanged, self.table.reachable)
        self.world.stage.later(BOUNDS.silent.total_seconds() / 2, self._look)


class SlowWorld:
    """A domain of slow links, another of fast ones, and a store that has a row."""

    def __init__(self):
        self.stage = Stage()
        self.store = Store()
        self.store.write("config", b"2")
        self.store_link = Link(self.stage, STORE_LINK)
        self.nodes = []
        for number in range(NODES):
            self.nodes.append(SlowNode(self, f"a{number}", "a", NODE_LINK))
        for number in range(2):
            self.nodes.append(SlowNode(self, f"b{number}", "b", FAST_LINK))
        self.slow = self.nodes[:NODES]

    def vms(self):
        now = self.stage.now
        return [
            node.vm
            for node in self.nodes
            if node.frozen_at is None or now - node.frozen_at < SUSPECTED
        ]

    def readers(self):
        names = {vm.name for vm in choose_readers("a", self.vms())}
        return [node for node in self.slow if node.vm.name in names]

    def listeners_of(self, teller):
        domain = teller.vm.failure_domain
        if teller.vm not in choose_readers(domain, self.vms()):
            return []
        return [
            node
            for node in self.nodes
            if node.vm.failure_domain == domain
            and node is not teller
            and not node.frozen
        ]

    def freeze_readers(self):
        for node in self.readers():
            node.frozen_at = self.stage.now

    def write(self):
        self.store.write("config", str(self.store.number + 1).encode())
        return self.store.number
