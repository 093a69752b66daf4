"""Shared tables on several nodes with lost links, restarts and lost updates."""

import threading
from datetime import timedelta

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from shared_cases import BOUNDS, NAME, Store, StoreFeed, TableListener

from runhatch_coordination import (
    Role,
    SharedTable,
    Vm,
    choose_readers,
    choose_role,
)
from runhatch_coordination._shared import START_GRACE
from runhatch_coordination.testing import ManualClock

HEARTBEAT_INTERVAL = timedelta(seconds=1)


class Node:
    """One node of a simulated system: its table and its faults."""

    def __init__(self, world, name, domain):
        self.world = world
        self.vm = Vm(name, domain, name)
        self.start()

    def start(self):
        self.is_frozen = False
        self.is_disconnected = False
        """Whether announcements to and from the node are lost."""
        self.listener = TableListener()
        self.feed = StoreFeed(self.world.store)
        self.started_at = self.world.clock.elapsed()
        self.due_at = self.heartbeat_at = self.started_at
        self.last_version = 0
        self.table = SharedTable(
            NAME,
            self.feed,
            self.listener,
            self,
            self.world.clock,
            threading.Event(),
            pytest.fail,
            BOUNDS,
            0.1,
        )

    def role(self):
        # Nodes discover each other within some seconds.
        if self.world.clock.elapsed() - self.started_at < START_GRACE:
            return Role.FOLLOWER
        return choose_role(self.vm, self.world.vms())

    def request_changes(self, table, version):
        for reader in self.world.readers_of(self):
            changes = reader.table.changes_since(version)
            if not reader.is_frozen and changes is not None:
                self.table.apply_answer(changes)
                break
        return True

    def request_from(self, address, table, version):
        peer = next(node for node in self.world.nodes if node.vm.address == address)
        changes = peer.table.changes_since(version)
        if not peer.is_frozen and changes is not None:
            self.table.apply_answer(changes)

    def publish(self, table, changes, reachable):
        for other in self.world.followers_of(self):
            other.table.apply_changes(self.vm.name, changes, reachable)

    def publish_version(self, table, version):
        for other in self.world.nodes:
            is_connected = not (self.is_disconnected or other.is_disconnected)
            if other is not self and not other.is_frozen and is_connected:
                other.table.record_version(version, self.vm.address)

    def record_source(self, table, source):
        pass

    def record_store_contact(self, table, reachability, answered_at):
        pass

    def run_due_work(self):
        """Publish and run a step of the table if they are due."""
        if self.is_frozen:
            return
        now = self.world.clock.elapsed()
        self.table.obtain_missing()
        if self.role() is Role.READER and self.table.empty_changes is not None:
            self.publish(NAME, self.table.empty_changes, self.table.reaches_store)
        if now >= self.heartbeat_at:
            self.heartbeat_at = now + HEARTBEAT_INTERVAL
            held = self.table.held_version
            if held is not None:
                self.publish_version(NAME, held)
        if now >= self.due_at:
            self.due_at = now + min(self.table.step(), timedelta(seconds=0.4))


class World(RuleBasedStateMachine):
    """Nodes of two failure domains that are frozen, cut off and restarted."""

    DOMAINS = "aaaaabbbbb"

    def __init__(self):
        super().__init__()
        self.clock = ManualClock()
        self.store = Store()
        self.lossy_pairs = set()
        self.nodes = [Node(self, f"n{i}", d) for i, d in enumerate(self.DOMAINS)]
        self.advance(4.0)

    def vms(self):
        return [node.vm for node in self.nodes]

    def readers_of(self, node):
        chosen = {vm.name for vm in choose_readers(node.vm.failure_domain, self.vms())}
        return [n for n in self.nodes if n.vm.name in chosen and n is not node]

    def followers_of(self, reader):
        return [
            node
            for node in self.nodes
            if reader in self.readers_of(node)
            and not node.is_frozen
            and (reader.vm.name, node.vm.name) not in self.lossy_pairs
        ]

    def advance(self, seconds):
        for _ in range(round(seconds / 0.1)):
            self.clock.advance(timedelta(seconds=0.1))
            for node in self.nodes:
                node.run_due_work()

    @rule(key=st.sampled_from("xyz"), value=st.sampled_from([None, b"1", b"2"]))
    def write(self, key, value):
        self.store.write(key, value)

    @rule()
    def copy(self):
        self.store.copy()

    @rule()
    def restore(self):
        """Restore the store from its copy; it then reuses version numbers."""
        self.store.restore()

    @rule(seconds=st.sampled_from([0.1, 0.3, 1.0]))
    def wait(self, seconds):
        self.advance(seconds)

    @rule(index=st.integers(0, 9), is_frozen=st.booleans())
    def set_frozen(self, index, is_frozen):
        self.nodes[index].is_frozen = is_frozen

    @rule(index=st.integers(0, 9), is_cut_off=st.booleans())
    def set_cut_off(self, index, is_cut_off):
        self.nodes[index].feed.is_cut_off = is_cut_off

    @rule(index=st.integers(0, 9), is_hung=st.booleans())
    def set_hung(self, index, is_hung):
        self.nodes[index].feed.is_hung = is_hung

    @rule(index=st.integers(0, 9), is_disconnected=st.booleans())
    def set_disconnected(self, index, is_disconnected):
        """Lose the announcements to and from a node, or stop losing them."""
        self.nodes[index].is_disconnected = is_disconnected

    @rule(reader=st.integers(0, 9), node=st.integers(0, 9), is_lossy=st.booleans())
    def set_lossy(self, reader, node, is_lossy):
        """Lose the updates that ``reader`` sends to ``node``, or stop losing them."""
        pair = (self.nodes[reader].vm.name, self.nodes[node].vm.name)
        (self.lossy_pairs.add if is_lossy else self.lossy_pairs.discard)(pair)

    @rule(index=st.integers(0, 9))
    def restart(self, index):
        previous = self.nodes[index].feed
        self.nodes[index].start()
        self.nodes[index].feed.is_cut_off = previous.is_cut_off
        self.nodes[index].feed.is_hung = previous.is_hung

    @rule(key=st.sampled_from("xyz"), value=st.sampled_from([None, b"3"]))
    def nodes_receive_a_change_in_time(self, key, value):
        """Check that each running node has it within three seconds.

        Those whose links to the store work have it within two seconds.
        """
        self.advance(1.0)
        if not self.has_working_reader():
            return
        starting = [
            n for n in self.nodes if self.clock.elapsed() - n.started_at < START_GRACE
        ]
        self.store.write(key, value)
        self.advance(2.0)
        for node in self.nodes:
            feed = node.feed
            if node.is_frozen or feed.is_cut_off or feed.is_hung or node in starting:
                continue
            if node.is_disconnected:
                continue
            assert node.listener.rows == self.store.rows, node.vm.name
        self.advance(1.0)
        for node in self.nodes:
            if not (node.is_frozen or node.is_disconnected or node in starting):
                assert node.listener.rows == self.store.rows, node.vm.name

    def has_working_reader(self):
        """Return whether a reader works, or the failure of all can be detected.

        It can be if no call to the store hangs.
        """
        reading_roles = Role.READER, Role.WITNESS
        readers = [node for node in self.nodes if node.role() in reading_roles]
        working = [
            n
            for n in readers
            if not (
                n.is_frozen or n.is_disconnected or n.feed.is_cut_off or n.feed.is_hung
            )
        ]
        return working or not any(node.feed.is_hung for node in self.nodes)

    @invariant()
    def versions_never_decrease(self):
        for node in self.nodes:
            version = node.table.version or 0
            assert version >= node.last_version
            node.last_version = version
            if version:
                assert node.listener.rows == self.store.rows_by_version[version]


class OneDomain(World):
    """Nodes of one failure domain, with no readers elsewhere to announce changes."""

    DOMAINS = "aaaaaaaaaa"


for machine in (World, OneDomain):
    machine.TestCase.settings = settings(
        max_examples=40, stateful_step_count=25, deadline=None
    )
TestWorld = World.TestCase
TestOneDomain = OneDomain.TestCase


def run_with_a_reader_cut_off(world):
    check = world.nodes_receive_a_change_in_time
    for _ in range(2):
        check(key="x", value=None)
        world.restore()
    check(key="x", value=None)
    world.set_cut_off(index=8, is_cut_off=True)
    world.restore()
    check(key="z", value=b"3")
    check(key="y", value=b"3")
    check(key="z", value=None)
    world.set_cut_off(index=3, is_cut_off=True)
    check(key="z", value=None)
    world.set_hung(index=6, is_hung=True)
    world.set_hung(index=1, is_hung=True)
    world.set_hung(index=1, is_hung=False)
    world.restore()
    check(key="y", value=None)


def run_with_a_restarted_reader(world):
    check = world.nodes_receive_a_change_in_time
    check(key="x", value=None)
    for _ in range(3):
        world.restore()
    world.restart(index=0)
    check(key="x", value=b"3")
    world.wait(seconds=0.1)
    check(key="z", value=None)
    world.set_hung(index=0, is_hung=True)
    check(key="z", value=None)
    world.set_hung(index=0, is_hung=False)
    world.restore()
    world.restore()
    world.set_hung(index=8, is_hung=True)
    world.set_cut_off(index=6, is_cut_off=True)
    world.restore()
    world.restore()
    world.wait(seconds=0.1)
    check(key="x", value=None)


@pytest.mark.parametrize("machine", [World, OneDomain])
@pytest.mark.parametrize(
    "scenario", [run_with_a_reader_cut_off, run_with_a_restarted_reader]
)
def test_a_read_without_history_is_followed_by_a_listing(machine, scenario):
    """A single read after a restoration may find that the history is lost.

    The node must then read the whole table: the only reader that publishes hangs, so no
    update would follow.
    """
    scenario(machine())


class TestCutOffDomain:
    """A failure domain whose nodes cannot read the store receives changes from others.

    The content of a change once reached a node only from two readers of its domain or
    from the store, though nodes of other domains had it.
    """

    def make_world(self):
        world = World()
        return world, [node for node in world.nodes if node.vm.failure_domain == "a"]

    def assert_up_to_date(self, world, nodes):
        behind = [n.vm.name for n in nodes if n.listener.rows != world.store.rows]
        assert behind == []

    @pytest.mark.parametrize("fault", ["is_cut_off", "is_hung"])
    def test_nodes_receive_a_change_from_other_domains(self, fault):
        world, domain = self.make_world()
        for node in domain:
            setattr(node.feed, fault, True)

        world.store.write("x", b"1")
        world.advance(3.0)

        self.assert_up_to_date(world, domain)

    def test_followers_read_again_once_the_store_can_be_reached(self):
        """Their calls fail for two seconds, those of their readers for good.

        Answers of other nodes are lost.
        """
        world, domain = self.make_world()
        readers = [vm.name for vm in choose_readers("a", world.vms())]
        followers = [node for node in domain if node.vm.name not in readers]
        for node in domain:
            node.feed.is_cut_off = True
            node.request_from = lambda address, table, version: None

        world.store.write("x", b"1")
        world.advance(2.0)
        for node in followers:
            node.feed.is_cut_off = False
        world.advance(2.0)

        self.assert_up_to_date(world, followers)

    def test_missed_announcement_is_repeated(self):
        """A node that was disconnected kept its old version if its readers were stale.

        Its readers miss the change too, and publish their version as the newest.
        """
        world, domain = self.make_world()
        readers = [vm.name for vm in choose_readers("a", world.vms())]
        node = next(node for node in domain if node.vm.name not in readers)
        for reader in domain:
            reader.feed.is_hung = reader.vm.name in readers
            reader.is_disconnected = reader.vm.name in readers
        node.is_disconnected = True
        world.store.write("x", b"1")
        world.advance(1.0)

        node.is_disconnected = False
        world.advance(2.0)

        self.assert_up_to_date(world, [node])


class TestDisconnectedReaders:
    """Readers whose announcements are lost, beside others cut off from the store."""

    def test_another_domain_receives_a_change(self):
        """A disconnected reader is the only one to read the change.

        The other reader of its domain receives the rows from it, so it neither reads
        nor announces them, and no node of the other domain learns of the change.
        """
        world = World()
        world.set_cut_off(index=0, is_cut_off=True)
        world.set_disconnected(index=6, is_disconnected=True)
        world.set_hung(index=4, is_hung=True)

        world.nodes_receive_a_change_in_time(key="x", value=b"3")

    def test_reader_cut_off_since_a_restoration_receives_a_change(self):
        world = World()
        world.set_cut_off(index=0, is_cut_off=True)
        world.restore()
        world.wait(seconds=0.1)
        for index in (4, 6):
            world.set_disconnected(index=index, is_disconnected=True)

        world.nodes_receive_a_change_in_time(key="x", value=b"3")
