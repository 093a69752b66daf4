"""What nodes have outstanding at targets, told by way of the readers of domains.

Of 63 nodes each heard the loads of six.  A day there had 1,229 of 5,561 answers of the
most urgent route late, and targets turned 685 of 5,877 arrivals away, as prompts were
sent to targets that the other nodes kept busy.
"""

import pytest
from gateway_cases import (
    make_balancer,
    make_directory,
    make_request,
    make_target,
    never_gone,
    seconds,
)

from runhatch_coordination import Membership, Standing, Vm, choose_readers, role_of
from runhatch_coordination._peers import FULL_MESH, Role
from runhatch_server.decisions import LoadShare, Tried
from runhatch_server.gateway._load_exchange import (
    SUM_EVERY,
    SUMS_SILENT,
    LoadExchange,
    LoadNews,
)
from runhatch_server.peers import Member

TICK = seconds(0.05)
KNOWN_WITHIN = seconds(0.6)
"""Until all know of a request: two readers and the pauses between their sums."""


def ignore(*arguments):
    pass


class Tables:
    """The part that a node takes in reading the store."""

    broadcasts = True

    def __init__(self, world, vm):
        self._world = world
        self._vm = vm

    @property
    def reads(self):
        return role_of(self._vm, self._world.vms) is Role.READER

    @property
    def is_second(self):
        readers = choose_readers(self._vm.failure_domain, self._world.vms)
        return readers[0].name != self._vm.name

    def broadcast(self, facts):
        self._world.broadcasts += 1
        for node in self._world.nodes.values():
            if node.vm.failure_domain == self._vm.failure_domain:
                self._world.deliver(self._vm, node.vm.address, facts)


class Node:
    """One node: its balancer, and what it tells of loads."""

    def __init__(self, world, vm):
        self.world, self.vm = world, vm
        self.frozen = False
        directory = make_directory(world.clock, make_target("t0"))
        self.balancer = make_balancer(
            directory, world.clock, vm.failure_domain, seed=None, has_connection=ignore
        )
        self.grants = []
        self.told = 0
        membership = Membership(vm, world.clock)
        self.loads = LoadExchange(
            membership,
            world.clock,
            self.balancer.loads,
            Tables(world, vm),
            self.tell,
            self.tell_all,
        )

    def tell(self, address, fact):
        self.told += 1
        self.world.deliver(self.vm, address, [fact])

    def tell_all(self, fact):
        for node in self.world.nodes.values():
            if node is not self:
                self.tell(node.vm.address, fact)

    def begin(self, number):
        """Have ``number`` more streams running at the only target."""
        for _ in range(number):
            request = make_request(self.world.clock)
            grant = self.balancer.acquire(request, Tried(), never_gone)
            self.balancer.started(grant)
            self.grants.append(grant)

    def end(self):
        """Have all of them end."""
        while self.grants:
            self.balancer.released(self.grants.pop(), faulty=False)

    def running(self):
        """Return how many streams it believes to run there, of all nodes."""
        return self.balancer.loads.totals().get("t0", LoadShare()).running


class World:
    """Nodes of some failure domains, and everything that they tell each other."""

    def __init__(self, clock, number, domains=3):
        self.clock = clock
        self.vms = [Vm(f"n{i}", f"d{i % domains}", f"a{i}") for i in range(number)]
        self.broadcasts = 0
        self.nodes = {vm.address: Node(self, vm) for vm in self.vms}

    def deliver(self, sender, address, facts):
        node = self.nodes[address]
        member = Member(
            sender.name, sender.failure_domain, sender.address, 1, Standing.ALIVE
        )
        for fact in facts:
            if not node.frozen:
                node.loads.take_in(fact, member)

    def advance(self, time):
        for _ in range(round(time / TICK)):
            self.clock.advance(TICK)
            for node in self.nodes.values():
                if node.frozen:
                    continue
                node.loads.choose_links(self.vms)
                node.loads.tell_own()
                if self.clock.elapsed() % SUM_EVERY < TICK:
                    node.loads.tell_sums()


@pytest.mark.parametrize("number", [6, 30, 90])
def test_each_node_knows_what_all_have_together(clock, number):
    world = World(clock, number)
    nodes = list(world.nodes.values())
    for node in nodes:
        node.begin(2)

    world.advance(KNOWN_WITHIN)

    known = [node.running() for node in nodes]
    assert known == [2 * number] * number


def test_what_has_ended_is_forgotten(clock):
    world = World(clock, 30)
    nodes = list(world.nodes.values())
    nodes[7].begin(5)
    world.advance(seconds(2))
    nodes[7].end()

    world.advance(KNOWN_WITHIN)

    assert {node.running() for node in nodes} == {0}


def test_what_a_node_tells_does_not_grow_with_their_number(clock):
    told = {}
    for number in (30, 90):
        world = World(clock, number)
        follower = next(
            n for n in world.nodes.values() if not Tables(world, n.vm).reads
        )
        for _ in range(20):
            follower.begin(1)
            world.advance(TICK)
        told[number] = follower.told
    assert told[90] == told[30] <= 2 * 20


def test_the_second_reader_tells_sums_while_the_first_is_silent(clock):
    world = World(clock, 30)
    nodes = list(world.nodes.values())
    world.advance(seconds(2))
    for domain in ("d0", "d1", "d2"):
        first = choose_readers(domain, world.vms)[0]
        world.nodes[first.address].frozen = True
    up = [node for node in nodes if not node.frozen]
    up[3].begin(4)

    world.advance(SUMS_SILENT + KNOWN_WITHIN)

    assert {node.running() for node in up} == {4}


def test_only_one_reader_of_a_domain_tells_sums(clock):
    world = World(clock, 30)
    list(world.nodes.values())[4].begin(1)
    world.advance(seconds(2))
    before = world.broadcasts

    world.advance(seconds(2))

    assert world.broadcasts - before <= 3 * seconds(2) / SUM_EVERY


def test_few_nodes_tell_each_other(clock):
    world = World(clock, FULL_MESH)
    list(world.nodes.values())[4].begin(1)

    world.advance(seconds(2))

    assert world.broadcasts == 0
    assert {node.running() for node in world.nodes.values()} == {1}


class TestNews:
    """What is told of shares by target."""

    def test_changes_are_told_and_all_now_and_then(self):
        news, one, two = LoadNews(), LoadShare(running=1), LoadShare(running=2)
        assert news.take({"t": one}, seconds(0)) == ({"t": one}, True)
        assert news.take({"t": one}, seconds(0.1)) is None
        assert news.take({"t": one, "u": two}, seconds(0.2)) == ({"u": two}, False)
        assert news.take({"u": two}, seconds(0.3)) == ({"t": LoadShare()}, False)
        assert news.take({"u": two}, seconds(1.1)) == ({"u": two}, True)

    def test_small_changes_are_told_once_they_add_up(self):
        news = LoadNews(lambda share: share.running // 2)
        news.take({"t": LoadShare(running=2)}, seconds(0))

        assert news.take({"t": LoadShare(running=3)}, seconds(0.1)) is None
        four = LoadShare(running=4)
        assert news.take({"t": four}, seconds(0.2)) == ({"t": four}, False)


def test_requests_there_are_counted_together():
    some = LoadShare((10.0, 0.0, 0.0, 5.0), 2, 3, 400, 7.0, 0.25)
    more = LoadShare((5.0, 0.0, 0.0, 1.0), 1, 1, 100, 2.0, 0.25)

    assert some.plus(more) == LoadShare((15.0, 0.0, 0.0, 6.0), 3, 4, 500, 9.0)
    assert some.plus(more).busy == 0.5
    assert some.plus(more).minus(more) == some
    assert more.minus(some) == LoadShare((0.0,) * 4)
