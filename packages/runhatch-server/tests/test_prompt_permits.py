"""Permits for prompts between nodes, and admission of requests that need one."""

from dataclasses import replace
from datetime import timedelta

import pytest
from gateway_cases import (
    ENGINE,
    SERVICES,
    make_balancer,
    make_directory,
    make_request,
    make_route,
    make_target,
    never_disconnected,
    seconds,
)

from runhatch_coordination import MemberFact, Membership, Standing, Vm
from runhatch_server.decisions import PermitState, TriedTargets
from runhatch_server.gateway._grant import Grant
from runhatch_server.gateway._prompt_permits import (
    ANSWER_TIMEOUT,
    QUEUE_RETENTION,
    SILENCE_DURATION,
    PromptPermits,
)
from runhatch_server.gateway._refusal_builder import MAX_RETRY_JITTER
from runhatch_server.gateway._rooms import choose_allocator
from runhatch_server.observability import Metrics
from runhatch_server.peers import (
    Member,
    PromptPermitAnswer,
    PromptPermitRequest,
    PromptsReleased,
)
from runhatch_server.refusals import Reason

MAX_GAP = timedelta(milliseconds=250)
PAUSE_LIMIT_MS = 150.0
EVENT_MS = 25.0
FAST = replace(ENGINE, event_tokens=2)
CHAT = make_route(goal=seconds(0.4), patience=seconds(0.8), priority=0)
PATIENT = make_route(
    goal=seconds(5), patience=None, timeout=seconds(30), kind=CHAT.kind
)
GRANTED, QUEUED, DENIED = PermitState


def milliseconds(value):
    return timedelta(milliseconds=value)


class Node:
    """One node with its balancer and its permits for prompts."""

    def __init__(self, network, vm, targets, is_enabled):
        self.vm = vm
        self.membership = Membership(vm, network.clock)
        self.directory = make_directory(
            network.clock, *(make_target(name) for name in targets)
        )
        self.metrics = Metrics()
        self.balancer = make_balancer(
            self.directory, network.clock, shares_prompt_queues=is_enabled
        )
        services = {**SERVICES, "engine": replace(SERVICES["engine"], engine=FAST)}
        self.balancer.configure(services, {"engine": MAX_GAP})
        self.permits = PromptPermits(
            self.membership,
            network.clock,
            self.metrics,
            lambda address, fact: network.send(vm, address, fact),
            self._record_update,
            self.balancer.loads.queued_ms,
        )
        self.balancer.prompts.permits = self.permits
        self._network = network
        self._is_updated = False
        # Passes the time and the messages for which a request would block.
        self.balancer._held_requests.wait_for_update = self._wait

    def _record_update(self):
        self._is_updated = True

    def _wait(self, timeout):
        self._is_updated = False
        self._network.advance(timeout, lambda: self._is_updated)

    def ask(self, target="t1", work_ms=100.0, tier=1, begin=60.0, late=120.0):
        return self.permits.request(
            target,
            work_ms,
            tier,
            PAUSE_LIMIT_MS,
            EVENT_MS,
            seconds(begin),
            seconds(late),
        )

    def acquire(self, route=CHAT, caller_gone=never_disconnected):
        request = make_request(self._network.clock, route, tokens=300)
        return self.balancer.acquire(request, TriedTargets(), caller_gone)

    def count_permits(self, state):
        name, labels = "runhatch_prompt_permits_total", {"state": state}
        registry = self.metrics._registry
        return registry.get_sample_value(name, labels) or 0.0

    @property
    def outstanding(self):
        """Prompts that count at the targets that this node owns."""
        return sum(len(owned.queue) for owned in self.permits._queues.values())


class Network:
    """Nodes that receive each other's messages after 1 ms."""

    DELAY = timedelta(milliseconds=1)

    def __init__(self, clock, targets=("t1",), count=3, is_enabled=True):
        self.clock = clock
        self.silent = set()
        """Addresses of nodes that neither send nor receive."""
        self.sent = []
        self._delayed = []
        vms = [Vm(f"n{i}", "d1", f"a{i}") for i in range(count)]
        self.nodes = {
            vm.address: Node(self, vm, targets, is_enabled=is_enabled) for vm in vms
        }
        for node in self.nodes.values():
            node.membership.apply_list(vms, frozenset())

    def owner(self, target="t1"):
        vms = [node.vm for node in self.nodes.values()]
        return self.nodes[choose_allocator(target, vms[0], vms).address]

    def others(self, target="t1"):
        owner = self.owner(target)
        return [node for node in self.nodes.values() if node is not owner]

    def send(self, sender, address, fact):
        self.sent.append(fact)
        due_at = self.clock.elapsed() + self.DELAY
        self._delayed.append((due_at, sender, address, fact))

    def drop(self, kind):
        """Lose the messages of a kind that are on their way."""
        self._delayed = [
            each for each in self._delayed if not isinstance(each[3], kind)
        ]

    def deliver(self):
        while self._delayed and self._delayed[0][0] <= self.clock.elapsed():
            _, vm, address, fact = self._delayed.pop(0)
            if {vm.address, address} & self.silent:
                continue
            member = Member(vm.name, "d1", vm.address, 1, Standing.ALIVE)
            self.nodes[address].permits.handle_message(fact, member)

    def advance(self, time, is_done=lambda: False):
        """Let ``time`` pass, with messages and decisions at each millisecond."""
        for _ in range(max(1, round(time / self.DELAY))):
            self.clock.advance(self.DELAY)
            self.deliver()
            for node in self.nodes.values():
                if node.vm.address not in self.silent:
                    node.permits.decide_all()
            if is_done():
                return

    def end(self, node):
        """End ``node``; the others no longer believe it alive."""
        self.silent.add(node.vm.address)
        for other in self.nodes.values():
            other.membership.merge_facts([MemberFact(node.vm, Standing.SUSPECT)])

    def sent_of(self, kind):
        return [fact for fact in self.sent if isinstance(fact, kind)]


@pytest.fixture
def network(clock):
    return Network(clock)


class TestPromptPermits:
    """Requests, answers and releases between the nodes."""

    def test_permit_is_granted_by_the_owner_and_released(self, network):
        node, owner = network.others()[0], network.owner()
        permit = node.ask()
        assert permit.state is None
        network.advance(milliseconds(2))
        assert permit.state is GRANTED
        assert owner.outstanding == 1
        node.permits.release(permit)
        node.permits.release(permit)
        network.advance(milliseconds(1))
        assert owner.outstanding == 0
        # Three messages, however often the prompt ends.
        assert [type(fact) for fact in network.sent] == [
            PromptPermitRequest,
            PromptPermitAnswer,
            PromptsReleased,
        ]

    def test_owner_permits_its_own_prompts_without_messages(self, network):
        owner = network.owner()
        permit = owner.ask()
        assert permit.state is GRANTED
        owner.permits.release(permit)
        assert owner.outstanding == 0
        assert network.sent == []

    def test_prompts_of_two_nodes_share_the_queue(self, network):
        """Neither node knows of the other's prompt, and both would pause streams."""
        first, second = network.others()
        permits = [first.ask(), second.ask()]
        network.advance(milliseconds(2))
        assert [permit.state for permit in permits] == [GRANTED, QUEUED]
        first.permits.release(permits[0])
        network.advance(milliseconds(EVENT_MS + 3))
        assert permits[1].state is GRANTED

    def test_denied_permit_says_when_there_is_room(self, network):
        first, second = network.others()
        first.ask(work_ms=900)
        network.advance(milliseconds(2))
        permit = second.ask(begin=0.4, late=0.8)
        network.advance(milliseconds(2))
        assert permit.state is DENIED
        assert permit.answer.retry_after >= milliseconds(890)

    def test_silent_owner_is_not_asked_for_a_while(self, network):
        node, owner = network.others()[0], network.owner()
        network.silent.add(owner.vm.address)
        permit = node.ask()
        network.advance(ANSWER_TIMEOUT)
        assert permit.state is None
        node.permits.record_unanswered(permit)
        assert node.ask() is None
        network.advance(SILENCE_DURATION - milliseconds(1))
        assert node.ask() is None
        network.advance(milliseconds(1))
        network.silent.clear()
        permit = node.ask()
        network.advance(milliseconds(2))
        assert permit.state is GRANTED
        assert node.count_permits("unanswered") == 1
        assert node.count_permits("owner_silent") == 2

    def test_answer_after_the_request_was_given_up_is_returned(self, network):
        """Otherwise the grant would count until it expires."""
        node, owner = network.others()[0], network.owner()
        permit = node.ask()
        network.advance(milliseconds(1))
        assert owner.outstanding == 1
        node.permits.release(permit)
        # The release is lost, so that only the late answer returns the permit.
        network.drop(PromptsReleased)
        network.advance(milliseconds(2))
        assert owner.outstanding == 0

    def test_two_nodes_that_both_think_they_own_the_target(self, network):
        """Each permits its own prompts, and those that it is asked for."""
        owner, (other, third) = network.owner(), network.others()
        for node in (other, third):
            fact = MemberFact(owner.vm, Standing.SUSPECT)
            node.membership.merge_facts([fact])
        permits = [owner.ask(), other.ask(), third.ask()]
        network.advance(milliseconds(2))
        assert permits[0].state is GRANTED
        assert permits[0].owner == owner.vm.address
        # Of the two that agree on the new owner, one waits for the other.
        assert sorted(permit.state for permit in permits[1:]) == [GRANTED, QUEUED]
        assert permits[1].owner == permits[2].owner != owner.vm.address
        # The nodes agree again; each permit is returned to the node that gave it.
        for node, permit in zip((owner, other, third), permits, strict=True):
            node.membership.record_heartbeat(MemberFact(owner.vm, Standing.ALIVE))
            node.permits.release(permit)
        network.advance(milliseconds(2))
        assert [node.outstanding for node in network.nodes.values()] == [0, 0, 0]

    def test_new_owner_begins_with_the_load_that_it_knows(self, clock):
        network = Network(clock)
        owner = network.owner()
        owner.permits._backlog_of = lambda target: 120.0
        assert owner.ask(work_ms=100.0).state is QUEUED
        assert owner.ask(work_ms=20.0).state is QUEUED

    def test_unused_queue_is_dropped(self, network):
        owner = network.owner()
        owner.permits.release(owner.ask())
        network.advance(QUEUE_RETENTION - milliseconds(1))
        assert len(owner.permits._queues) == 1
        network.advance(milliseconds(1))
        assert len(owner.permits._queues) == 0


class TestPromptAdmission:
    """Requests that are sent, wait, or are refused by the answers of owners."""

    def test_request_is_sent_with_the_permit_of_another_node(self, network):
        node, owner = network.others()[0], network.owner()
        grant = node.acquire()
        assert isinstance(grant, Grant)
        assert grant.prompt_permit.state is GRANTED
        assert owner.outstanding == 1
        node.balancer.record_first_byte(grant)
        network.advance(milliseconds(1))
        assert owner.outstanding == 0

    @pytest.mark.parametrize(
        "end",
        [
            lambda balancer, grant: balancer.release(grant, target_failed=True),
            lambda balancer, grant: balancer.release_unused(grant),
            lambda balancer, grant: balancer.release_unsent(grant),
            lambda balancer, grant: balancer.release_refused(grant),
            lambda balancer, grant: balancer.release_unreachable(grant),
            lambda balancer, grant: balancer.release_misdirected(grant),
        ],
    )
    def test_permit_is_returned_however_the_request_ends(self, network, end):
        node, owner = network.others()[0], network.owner()
        grant = node.acquire()
        end(node.balancer, grant)
        network.advance(milliseconds(1))
        assert owner.outstanding == 0

    def test_request_waits_for_its_permit(self, network):
        """It is sent when the prompts of another node have begun."""
        first, second = network.others()
        first.ask(work_ms=200)
        network.advance(milliseconds(2))
        grant = second.acquire(PATIENT)
        assert isinstance(grant, Grant)
        assert grant.granted_at >= milliseconds(200)
        assert second.balancer.held_count == 0

    def test_request_is_admitted_as_without_permits_if_the_owner_is_silent(
        self, network
    ):
        node, owner = network.others()[0], network.owner()
        network.silent.add(owner.vm.address)
        began_at = network.clock.elapsed()
        grant = node.acquire()
        assert isinstance(grant, Grant)
        assert grant.prompt_permit is None
        waited = network.clock.elapsed() - began_at
        assert ANSWER_TIMEOUT <= waited <= ANSWER_TIMEOUT + milliseconds(2)
        # Requests in the next second do not wait for the owner.
        requested = len(network.sent_of(PromptPermitRequest))
        silent_at = network.clock.elapsed()
        assert node.acquire().prompt_permit is None
        assert network.clock.elapsed() == silent_at
        assert len(network.sent_of(PromptPermitRequest)) == requested
        network.silent.clear()
        network.advance(SILENCE_DURATION)
        assert node.acquire().prompt_permit.state is GRANTED

    def test_request_asks_the_next_owner_if_the_owner_ends_while_it_waits(
        self, network
    ):
        """Otherwise it would wait for its deadline, though the target has room."""
        owner, (first, second) = network.owner(), network.others()
        for _ in range(3):
            first.ask(work_ms=1_000)
        network.advance(milliseconds(2))
        ended_at = []

        def end_owner():
            if not ended_at and network.clock.elapsed() > milliseconds(300):
                network.end(owner)
                ended_at.append(network.clock.elapsed())
            return False

        grant = second.acquire(PATIENT, end_owner)
        assert ended_at
        assert isinstance(grant, Grant)
        assert grant.prompt_permit.owner != owner.vm.address
        assert grant.granted_at - ended_at[0] <= milliseconds(500)

    def test_caller_that_leaves_ends_the_wait_and_gives_back_the_permit(self, network):
        first, second = network.others()
        owner = network.owner()
        first.ask(work_ms=3_000)
        network.advance(milliseconds(2))
        left_at = network.clock.elapsed() + milliseconds(300)
        refusal = second.acquire(PATIENT, lambda: network.clock.elapsed() >= left_at)
        assert refusal.reason is Reason.CALLER_GONE
        assert network.clock.elapsed() - left_at <= milliseconds(500)
        network.advance(milliseconds(1))
        # Only the prompt of the other node is left.
        assert owner.outstanding == 1

    def test_refusal_has_the_least_retry_time_of_the_targets(self, clock):
        network = Network(clock, targets=("t1", "t2"))
        network.owner("t1").ask("t1", work_ms=2_000)
        network.owner("t2").ask("t2", work_ms=1_200)
        node = next(iter(network.nodes.values()))
        refusal = node.acquire(CHAT)
        assert refusal.reason is Reason.TOO_BUSY
        # Up to four messages of 1 ms pass until the request is refused.
        assert refusal.retry_after >= milliseconds(1_200 - 4)
        assert refusal.retry_after <= milliseconds(1_200 * (1 + MAX_RETRY_JITTER))

    def test_request_denied_at_one_target_is_sent_to_another(self, clock):
        network = Network(clock, targets=("t1", "t2"))
        network.owner("t1").ask("t1", work_ms=2_000)
        for node in network.nodes.values():
            grant = node.acquire(CHAT)
            assert grant.target.incarnation == "t2"
            node.balancer.record_first_byte(grant)
            network.advance(milliseconds(60))

    def test_node_without_the_setting_decides_as_before(self, clock):
        """It sends no messages, even if the owner would deny the prompt."""
        network = Network(clock, is_enabled=False)
        network.owner().ask(work_ms=5_000)
        node = network.others()[0]
        grant = node.acquire()
        assert isinstance(grant, Grant)
        assert grant.prompt_permit is None
        assert network.sent == []
