"""A watched table that few nodes read: who reads when, and what nobody misses."""

import threading
from datetime import timedelta

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from runhatch_coordination import (
    Changes,
    Entry,
    Listing,
    Role,
    SharedTable,
    SharedTableBounds,
    Source,
    TableChanges,
    Unavailable,
    Vm,
    choose_readers,
    role_of,
)
from runhatch_coordination._shared import ASK_EVERY, START_GRACE, START_PATIENCE
from runhatch_coordination.testing import ManualClock

SILENT = timedelta(seconds=0.8)
BOUNDS = SharedTableBounds(timedelta(seconds=0.3), SILENT)
NAME = "rows"


class Store:
    """One table; counts the calls made to it."""

    def __init__(self):
        self.version = 1
        self.rows = {}
        self.changed = {}
        self.states = {1: {}}
        self.calls = 0

    def write(self, key, value):
        self.version += 1
        if value is None:
            self.rows.pop(key, None)
        else:
            self.rows[key] = value
        self.changed[key] = self.version
        self.states[self.version] = dict(self.rows)

    def entries(self, after):
        keys = [key for key, version in self.changed.items() if version > after]
        return tuple(Entry(key, self.rows.get(key)) for key in sorted(keys))


class Feed:
    """The store as one node reaches it, or does not."""

    def __init__(self, store):
        self._store = store
        self.cut = False
        self.hung = False
        """Calls are kept without an answer, as on a link that is cut one way."""

    def read(self):
        self._store.calls += 1
        if self.cut:
            return Unavailable("cut off")
        rows = tuple(Entry(key, value) for key, value in self._store.rows.items())
        return Listing(rows, self._store.version)

    def changes(self, after, wait):
        self._store.calls += 1
        if self.cut:
            return Unavailable("cut off")
        if self.hung:
            return Changes((), after)
        return Changes(self._store.entries(after), self._store.version)

    def hurry(self):
        pass


class Kept:
    """What a node makes of the table."""

    def __init__(self):
        self.rows = {}
        self.reach = []

    def listed(self, entries):
        self.rows = {e.key: e.value for e in entries if e.value is not None}

    def changed(self, entries):
        for entry in entries:
            self.rows.pop(entry.key, None)
            if entry.value is not None:
                self.rows[entry.key] = entry.value

    def unreachable(self, reason):
        self.reach.append(False)

    def reachable(self):
        self.reach.append(True)


class Peers:
    """Records what a table wants of the other nodes."""

    def __init__(self, role=Role.FOLLOWER, answers=True):
        self.now = role
        self.answers = answers
        self.asked = []
        self.published = []
        self.noticed = []
        self.sources = []

    def role(self):
        return self.now

    def ask(self, table, version):
        self.asked.append(version)
        return self.answers

    def publish(self, table, changes, reachable):
        self.published.append(changes)

    def notice(self, table, version):
        self.noticed.append(version)

    def note_source(self, table, source):
        self.sources.append(source)


def make_table(role=Role.FOLLOWER, answers=True, jitter=0.0):
    store, kept, clock = Store(), Kept(), ManualClock()
    peers, feed = Peers(role, answers), Feed(store)
    table = SharedTable(
        NAME, feed, kept, peers, clock, threading.Event(), pytest.fail, BOUNDS, jitter
    )
    return table, store, feed, kept, peers, clock


def row(key, value):
    return Entry(key, value)


def told_whole(version=1, **values):
    entries = tuple(Entry(key, value) for key, value in values.items())
    return TableChanges(0, version, entries, whole=True)


class TestReader:
    """A reader reads, and tells each change once."""

    def test_it_tells_what_it_reads(self):
        table, store, _, kept, peers, _ = make_table(Role.READER, answers=False)
        store.write("a", b"1")
        table.step()
        store.write("b", b"2")
        table.step()
        table.step()

        assert kept.rows == {"a": b"1", "b": b"2"}
        assert [changes.version for changes in peers.published] == [2, 3]
        assert peers.published[1] == TableChanges(2, 3, (row("b", b"2"),))
        assert peers.noticed == [2, 3]
        assert table.unchanged == TableChanges(3, 3, ())

    def test_it_tells_that_it_is_cut_off(self):
        table, _, feed, kept, _, _ = make_table(Role.READER, answers=False)
        table.step()
        feed.cut = True
        table.step()
        assert not table.reachable

        feed.cut = False
        table.step()
        assert table.reachable
        assert kept.reach == [False, True]


class TestStart:
    """Nodes that start together do not all read the store."""

    def test_others_are_asked_first(self):
        table, store, _, kept, peers, _ = make_table()
        table.step()
        assert peers.asked == [None]
        assert store.calls == 0

        table.told("r1", told_whole(4, a=b"1"), True)
        table.step()

        assert kept.rows == {"a": b"1"}
        assert store.calls == 0

    def test_the_store_is_read_if_nobody_answers(self):
        table, store, _, _, _, clock = make_table()
        begun = clock.elapsed()
        while clock.elapsed() - begun < START_PATIENCE + ASK_EVERY:
            clock.advance(table.step())

        assert store.calls

    def test_a_node_that_nobody_could_answer_reads_at_once(self):
        table, store, *_ = make_table(answers=False)
        table.step()

        assert store.calls == 1

    def test_readers_are_met_before_they_count_as_silent(self):
        table, store, _, _, _, clock = make_table()
        table.told("seed", told_whole(), True)
        while clock.elapsed() < START_GRACE - SILENT:
            clock.advance(table.step())

        assert store.calls == 0


def make_follower(**changes):
    """Return a table that was told the whole some time ago."""
    made = make_table(**changes)
    table, clock = made[0], made[-1]
    table.told("r1", told_whole(), True)
    clock.advance(START_GRACE)
    table.told("r1", TableChanges(1, 1, ()), True)
    return made


class TestFollower:
    """It is told, and reads only what it would otherwise miss."""

    def test_it_makes_no_call(self):
        table, store, _, kept, _, clock = make_follower()
        for number in range(2, 30):
            clock.advance(SILENT / 2)
            table.told("r1", TableChanges(number - 1, number, (row("a", b"1"),)), True)
            table.step()

        assert store.calls == 0
        assert kept.rows == {"a": b"1"}

    def test_it_reads_when_its_readers_are_silent(self):
        table, store, _, kept, peers, clock = make_follower()
        store.write("a", b"1")
        clock.advance(SILENT)
        table.step()
        table.told("r1", TableChanges(2, 2, ()), True)
        table.step()

        assert kept.rows == {"a": b"1"}
        assert peers.sources == [Source.SILENT, Source.TOLD]

    def test_it_asks_for_what_it_missed(self):
        table, store, _, kept, peers, _ = make_follower()
        table.told("r1", TableChanges(5, 6, (row("b", b"2"),)), True)
        table.step()
        assert peers.asked == [1]

        table.told("r1", TableChanges(1, 6, (row("a", b"1"), row("b", b"2"))), True)
        table.step()

        assert kept.rows == {"a": b"1", "b": b"2"}
        assert store.calls == 0

    def test_it_reads_what_nobody_tells(self):
        table, store, _, kept, _, clock = make_follower()
        store.write("a", b"1")
        table.told("r1", TableChanges(5, 6, ()), True)
        table.step()
        clock.advance(ASK_EVERY)
        table.step()

        assert kept.rows == {"a": b"1"}

    def test_it_reads_once_what_is_overdue(self):
        """A reader may be cut off from the store without noticing it."""
        table, store, _, kept, _, clock = make_follower()
        store.write("a", b"1")
        assert table.noticed(2)
        assert not table.noticed(2)
        for _ in range(6):
            clock.advance(timedelta(seconds=0.25))
            table.told("r1", TableChanges(1, 1, ()), True)
            table.check()
            table.step()

        assert kept.rows == {"a": b"1"}
        assert store.calls == 1

    @pytest.mark.parametrize(
        ("role", "calls"),
        [(Role.RESERVE, 1), (Role.FOLLOWER, 0)],
    )
    def test_readers_that_are_cut_off_are_replaced_by_few(self, role, calls):
        table, store, _, kept, peers, _ = make_follower()
        peers.now = role
        table.told("r1", TableChanges(1, 1, ()), False)
        assert kept.reach == [False]
        table.step()

        assert store.calls == calls
        assert kept.reach == ([False, True] if calls else [False])

    def test_a_notice_is_followed_at_once_if_the_readers_are_cut_off(self):
        table, store, _, kept, _, _ = make_follower()
        store.write("a", b"1")
        table.told("r1", TableChanges(1, 1, ()), False)
        table.noticed(2)
        table.step()

        assert kept.rows == {"a": b"1"}

    def test_one_reader_of_two_is_enough(self):
        table, store, _, kept, _, clock = make_follower()
        table.told("r2", TableChanges(1, 1, ()), False)
        for _ in range(10):
            clock.advance(SILENT / 2)
            table.told("r1", TableChanges(1, 1, ()), True)
            table.told("r2", TableChanges(1, 1, ()), False)
            table.step()

        assert store.calls == 0
        assert kept.reach == []


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
        """Tell whether a reader is well, or the others can tell that none is."""
        readers = [node for node in self.nodes if node.role() is Role.READER]
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
