"""Simulation of a failure domain of many nodes on slow links.

Each call takes the time that its answer takes on the links. Tasks run one at a time,
each until it waits, so that every run has the same order of events.
"""

import heapq
import itertools
import threading
from contextlib import suppress
from datetime import timedelta
from functools import partial

import pytest
from shared_cases import NAME, Store, TableListener

from runhatch_coordination import (
    Changes,
    Listing,
    Role,
    SharedTable,
    SharedTableBounds,
    Vm,
    WaitInterrupted,
    choose_readers,
    choose_role,
    number_of,
)
from runhatch_coordination.testing import ManualClock

MEGABIT_BYTES = 125_000
NODE_BYTES_PER_SECOND = 5 * MEGABIT_BYTES
FAST_BYTES_PER_SECOND = 100 * MEGABIT_BYTES
STORE_BYTES_PER_SECOND = 2_000 * MEGABIT_BYTES
"""Bandwidths of the links, in bytes a second."""
ANSWER_BYTES = 603_000
"""1,890 routes as the store sends them."""
UPDATE_BYTES = 29_000
"""The same routes as nodes send them, compressed."""
HOP_SECONDS = 0.005
POLL_SECONDS = 0.05
"""Interval at which a waiting call of the feed checks for changes."""
NODE_COUNT = 26
SUSPECT_SECONDS = 3.5
"""Silence after which the other nodes choose another reader."""
BOUNDS = SharedTableBounds(timedelta(seconds=0.15), timedelta(seconds=0.8))
SILENCE_JITTER = 0.3


class SimulationEndedError(Exception):
    """Ends a task."""


class Simulation:
    """Runs tasks in the order in which they are due."""

    def __init__(self):
        self.clock = ManualClock()
        self._due_actions = []
        self._numbers = itertools.count()
        self._task_paused = threading.Semaphore(0)
        self._current_task = threading.local()
        self._has_ended = False

    @property
    def now(self):
        return self.clock.elapsed().total_seconds()

    def schedule(self, seconds, action):
        """Run ``action``, which must not wait, after ``seconds``."""
        if not self._has_ended:
            heapq.heappush(
                self._due_actions, (self.now + seconds, next(self._numbers), action)
            )

    def start(self, work):
        """Start a task that runs ``work``, which may sleep."""
        may_run = threading.Semaphore(0)
        threading.Thread(target=self._run, args=(work, may_run), daemon=True).start()
        self._schedule_resume(0.0, may_run)

    def sleep(self, seconds):
        """Pause the current task; raise ``SimulationEndedError`` once it has ended."""
        self._schedule_resume(seconds, self._current_task.may_run)
        self._task_paused.release()
        self._current_task.may_run.acquire()
        if self._has_ended:
            raise SimulationEndedError

    def run_until(self, end):
        """Run all actions that are due by ``end``, in seconds."""
        while self._due_actions and self._due_actions[0][0] <= end:
            due_at, _, action = heapq.heappop(self._due_actions)
            self.clock.advance(timedelta(seconds=max(0.0, due_at - self.now)))
            action()

    def close(self):
        """End all tasks."""
        self._has_ended = True
        for _, _, action in self._due_actions:
            action()

    def _schedule_resume(self, seconds, may_run):
        def resume():
            may_run.release()
            self._task_paused.acquire()

        self.schedule(seconds, resume)

    def _run(self, work, may_run):
        self._current_task.may_run = may_run
        may_run.acquire()
        try:
            with suppress(SimulationEndedError):
                if not self._has_ended:
                    work()
        finally:
            self._task_paused.release()


class Link:
    """A link that transfers one message after the other."""

    def __init__(self, simulation, bytes_per_second):
        self._simulation = simulation
        self._bytes_per_second = bytes_per_second
        self._free_at = 0.0

    def send(self, size):
        """Return the time in seconds at which ``size`` bytes sent now have arrived."""
        self._free_at = (
            max(self._simulation.now, self._free_at) + size / self._bytes_per_second
        )
        return self._free_at


class SlowFeed:
    """The feed of one node, on a link of limited bandwidth."""

    def __init__(self, world, link):
        self._world = world
        self._link = link
        self._is_interrupted = False

    def read(self):
        store = self._world.store
        answer = Listing(store.entries(0), store.version)
        self._wait_for_transfer(answer)
        return answer

    def read_changes(self, after, wait):
        self._is_interrupted = False
        store, simulation = self._world.store, self._world.simulation
        end = simulation.now + wait.total_seconds()
        simulation.sleep(HOP_SECONDS)
        while store.number <= number_of(after) and simulation.now < end:
            if self._is_interrupted:
                return WaitInterrupted()
            simulation.sleep(POLL_SECONDS)
        answer = Changes(store.entries(number_of(after)), store.version)
        self._wait_for_transfer(answer)
        return answer

    def interrupt_wait(self):
        self._is_interrupted = True

    def _wait_for_transfer(self, answer):
        simulation = self._world.simulation
        size = ANSWER_BYTES * len(answer.entries)
        end = max(self._world.store_link.send(size), self._link.send(size))
        simulation.sleep(end - simulation.now)


class SlowNode:
    """One node with its link; it watches the table and publishes as a reader."""

    def __init__(self, world, name, domain, bytes_per_second):
        self.world = world
        self.vm = Vm(name, domain, name)
        self.frozen_at = None
        self.downlink = Link(world.simulation, bytes_per_second)
        self.uplink = Link(world.simulation, bytes_per_second)
        self.received_at = {}
        self.feed = SlowFeed(world, self.downlink)
        number = len(world.nodes)
        self.table = SharedTable(
            NAME,
            self.feed,
            TableListener(),
            self,
            world.simulation.clock,
            threading.Event(),
            pytest.fail,
            BOUNDS,
            SILENCE_JITTER * number / NODE_COUNT,
        )
        world.simulation.start(self._watch)
        world.simulation.schedule(0.01 * number, self._check_and_publish)

    @property
    def is_frozen(self):
        return self.frozen_at is not None

    def role(self):
        return choose_role(self.vm, self.world.vms())

    def request_changes(self, table, version):
        return False

    def request_from(self, address, table, version):
        peer = next(node for node in self.world.nodes if node.vm.address == address)
        self.world.simulation.schedule(
            HOP_SECONDS, partial(peer.answer_request, self, version)
        )

    def answer_request(self, requester, version):
        changes = self.table.changes_since(version)
        if changes is not None and not self.is_frozen:
            self._send_changes(requester, changes, requester.receive_answer)

    def publish(self, table, changes, reachable):
        if self.is_frozen:
            return
        for other in self.world.followers_of(self):
            receive = partial(other.receive, self.vm.name, reachable=reachable)
            self._send_changes(other, changes, receive)

    def _send_changes(self, other, changes, receive):
        size = UPDATE_BYTES * len(changes.entries)
        arrives_at = (
            max(self.uplink.send(size), other.downlink.send(size)) + HOP_SECONDS
        )
        simulation = self.world.simulation
        simulation.schedule(arrives_at - simulation.now, partial(receive, changes))

    def publish_version(self, table, version):
        for other in self.world.nodes:
            if other is not self and not self.is_frozen:
                deliver = partial(other.table.record_version, version, self.vm.address)
                self.world.simulation.schedule(HOP_SECONDS, deliver)

    def record_source(self, table, source):
        pass

    def record_store_contact(self, table, reachability, answered_at):
        pass

    def receive(self, reader, changes, reachable):
        self.table.apply_changes(reader, changes, reachable)
        self._record_versions()

    def receive_answer(self, changes):
        self.table.apply_answer(changes)
        self._record_versions()

    def _record_versions(self):
        for version in range(2, number_of(self.table.version or 0) + 1):
            self.received_at.setdefault(version, self.world.simulation.now)

    def _watch(self):
        while True:
            if self.is_frozen:
                return
            pause = self.table.step().total_seconds()
            self._record_versions()
            self.world.simulation.sleep(min(pause, 0.1))

    def _check_and_publish(self):
        if self.is_frozen:
            return
        self.table.obtain_missing()
        if self.role() is Role.READER and self.table.empty_changes is not None:
            self.publish(NAME, self.table.empty_changes, self.table.reaches_store)
        self.world.simulation.schedule(
            BOUNDS.silence_timeout.total_seconds() / 2, self._check_and_publish
        )


class SlowWorld:
    """A failure domain with slow links, one with fast links, and a store with a row.

    ``free_share`` is the share of the slow links that callers do not use.
    """

    def __init__(self, free_share=1.0):
        self.simulation = Simulation()
        self.store = Store()
        self.store.write("config", b"2")
        self.store_link = Link(self.simulation, STORE_BYTES_PER_SECOND)
        self.nodes = []
        for number in range(NODE_COUNT):
            free = NODE_BYTES_PER_SECOND * free_share
            self.nodes.append(SlowNode(self, f"a{number}", "a", free))
        for number in range(2):
            self.nodes.append(SlowNode(self, f"b{number}", "b", FAST_BYTES_PER_SECOND))
        self.slow_nodes = self.nodes[:NODE_COUNT]

    def vms(self):
        now = self.simulation.now
        return [
            node.vm
            for node in self.nodes
            if node.frozen_at is None or now - node.frozen_at < SUSPECT_SECONDS
        ]

    def readers(self):
        names = {vm.name for vm in choose_readers("a", self.vms())}
        return [node for node in self.slow_nodes if node.vm.name in names]

    def followers_of(self, reader):
        domain = reader.vm.failure_domain
        if reader.vm not in choose_readers(domain, self.vms()):
            return []
        return [
            node
            for node in self.nodes
            if node.vm.failure_domain == domain
            and node is not reader
            and not node.is_frozen
        ]

    def freeze_readers(self):
        for node in self.readers():
            node.frozen_at = self.simulation.now

    def write(self):
        self.store.write("config", str(self.store.number + 1).encode())
        return self.store.number
