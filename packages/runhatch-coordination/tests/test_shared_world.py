"""Nodes that share a watched table, through cuts, kills and news that is lost."""

import threading
from datetime import timedelta

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from shared_cases import BOUNDS, NAME, Feed, Kept, Store

from runhatch_coordination import (
    Role,
    SharedTable,
    Vm,
    choose_readers,
    role_of,
)
from runhatch_coordination._shared import START_GRACE
from runhatch_coordination.testing import ManualClock


class Node:
    """One node of a modelled system: its table, and what ails it."""

    def __init__(self, world, name, domain):
        self.world = world
        self.vm = Vm(name, domain, name)
        self.start()

    def start(self):
        self.frozen = False
        self.kept = Kept()
        self.feed = Feed(self.world.store)
        self.born = self.world.clock.elapsed()
        self.due = self.born
        self.lowest = 0
        self.table = SharedTable(
            NAME,
            self.feed,
            self.kept,
            self,
            self.world.clock,
            threading.Event(),
            pytest.fail,
            BOUNDS,
            0.1,
        )

    def role(self):
        # Nodes learn within some seconds who is there.
        if self.world.clock.elapsed() - self.born < START_GRACE:
            return Role.FOLLOWER
        return role_of(self.vm, self.world.vms())

    def ask(self, table, version):
        for teller in self.world.readers_of(self):
            changes = teller.table.since(version)
            if not teller.frozen and changes is not None:
                self.table.told(teller.vm.name, changes, teller.table.reachable)
                break
        return True

    def publish(self, table, changes, reachable):
        for other in self.world.listeners_of(self):
            other.table.told(self.vm.name, changes, reachable)

    def notice(self, table, version):
        for other in self.world.nodes:
            if other is not self and not other.frozen:
                other.table.noticed(version)

    def note_source(self, table, source):
        pass

    def turn(self):
        """Run what is due."""
        if self.frozen:
            return
        now = self.world.clock.elapsed()
        self.table.check()
        if self.role() is Role.READER and self.table.unchanged is not None:
            self.publish(NAME, self.table.unchanged, self.table.reachable)
        if now >= self.due:
            self.due = now + min(self.table.step(), timedelta(seconds=0.4))


class World(RuleBasedStateMachine):
    """Nodes of two failure domains that are frozen, cut off and started again."""

    DOMAINS = "aaaaabbbbb"

    def __init__(self):
        super().__init__()
        self.clock = ManualClock()
        self.store = Store()
        self.deaf = set()
        self.nodes = [Node(self, f"n{i}", d) for i, d in enumerate(self.DOMAINS)]
        self.advance(4.0)

    def vms(self):
        return [node.vm for node in self.nodes]

    def readers_of(self, node):
        chosen = {vm.name for vm in choose_readers(node.vm.failure_domain, self.vms())}
        return [n for n in self.nodes if n.vm.name in chosen and n is not node]

    def listeners_of(self, teller):
        return [
            node
            for node in self.nodes
            if teller in self.readers_of(node)
            and not node.frozen
            and (teller.vm.name, node.vm.name) not in self.deaf
        ]

    def advance(self, seconds):
        for _ in range(round(seconds / 0.1)):
            self.clock.advance(timedelta(seconds=0.1))
            for node in self.nodes:
                node.turn()

    @rule(key=st.sampled_from("xyz"), value=st.sampled_from([None, b"1", b"2"]))
    def write(self, key, value):
        self.store.write(key, value)

    @rule()
    def copy(self):
        self.store.copy()

    @rule()
    def restore(self):
        """The store comes back from its copy; versions are given out again."""
        self.store.restore()

    @rule(seconds=st.sampled_from([0.1, 0.3, 1.0]))
    def wait(self, seconds):
        self.advance(seconds)

    @rule(place=st.integers(0, 9), frozen=st.booleans())
    def freeze(self, place, frozen):
        self.nodes[place].frozen = frozen

    @rule(place=st.integers(0, 9), cut=st.booleans())
    def cut_off(self, place, cut):
        self.nodes[place].feed.cut = cut

    @rule(place=st.integers(0, 9), hung=st.booleans())
    def hang(self, place, hung):
        self.nodes[place].feed.hung = hung

    @rule(teller=st.integers(0, 9), node=st.integers(0, 9), deaf=st.booleans())
    def part(self, teller, node, deaf):
        pair = (self.nodes[teller].vm.name, self.nodes[node].vm.name)
        (self.deaf.add if deaf else self.deaf.discard)(pair)

    @rule(place=st.integers(0, 9))
    def restart(self, place):
        before = self.nodes[place].feed
        self.nodes[place].start()
        self.nodes[place].feed.cut = before.cut
        self.nodes[place].feed.hung = before.hung

    @rule(key=st.sampled_from("xyz"), value=st.sampled_from([None, b"3"]))
    def all_that_reach_the_store_hear_in_time(self, key, value):
        """A change is known within two seconds by whoever is up and reaches it."""
        self.advance(1.0)
        if not self.is_read():
            return
        young = [n for n in self.nodes if self.clock.elapsed() - n.born < START_GRACE]
        self.store.write(key, value)
        self.advance(2.0)
        for node in self.nodes:
            feed = node.feed
            if node.frozen or feed.cut or feed.hung or node in young:
                continue
            assert node.kept.rows == self.store.rows, node.vm.name

    def is_read(self):
        """Tell whether who reads is well, or the others can tell that none is."""
        reading = Role.READER, Role.WITNESS
        readers = [node for node in self.nodes if node.role() in reading]
        well = [n for n in readers if not (n.frozen or n.feed.cut or n.feed.hung)]
        return well or not any(node.feed.hung for node in self.nodes)

    @invariant()
    def no_node_goes_back(self):
        for node in self.nodes:
            version = node.table.version or 0
            assert version >= node.lowest
            node.lowest = version
            if version:
                assert node.kept.rows == self.store.states[version]


class OneDomain(World):
    """The same where no other failure domain has readers that notice a change."""

    DOMAINS = "aaaaaaaaaa"


for each in (World, OneDomain):
    each.TestCase.settings = settings(
        max_examples=40, stateful_step_count=25, deadline=None
    )
TestWorld = World.TestCase
TestOneDomain = OneDomain.TestCase


def reader_cut_off_before(world):
    hear = world.all_that_reach_the_store_hear_in_time
    for _ in range(2):
        hear(key="x", value=None)
        world.restore()
    hear(key="x", value=None)
    world.cut_off(place=8, cut=True)
    world.restore()
    hear(key="z", value=b"3")
    hear(key="y", value=b"3")
    hear(key="z", value=None)
    world.cut_off(place=3, cut=True)
    hear(key="z", value=None)
    world.hang(place=6, hung=True)
    world.hang(place=1, hung=True)
    world.hang(place=1, hung=False)
    world.restore()
    hear(key="y", value=None)


def reader_that_started_again(world):
    hear = world.all_that_reach_the_store_hear_in_time
    hear(key="x", value=None)
    for _ in range(3):
        world.restore()
    world.restart(place=0)
    hear(key="x", value=b"3")
    world.wait(seconds=0.1)
    hear(key="z", value=None)
    world.hang(place=0, hung=True)
    hear(key="z", value=None)
    world.hang(place=0, hung=False)
    world.restore()
    world.restore()
    world.hang(place=8, hung=True)
    world.cut_off(place=6, cut=True)
    world.restore()
    world.restore()
    world.wait(seconds=0.1)
    hear(key="x", value=None)


@pytest.mark.parametrize("kind", [World, OneDomain])
@pytest.mark.parametrize("play", [reader_cut_off_before, reader_that_started_again])
def test_a_read_whose_history_is_gone_is_followed_by_a_listing(kind, play):
    """The store came back; the only reader that is heard hangs and says nothing new."""
    play(kind())
