"""Permits for prompts between nodes, and admission of requests that need one."""

import random
import time
from dataclasses import replace
from datetime import timedelta

import msgspec
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

from runhatch_coordination import Entry, MemberFact, Membership, Standing, Vm
from runhatch_server.decisions import (
    KnownPrompts,
    OutstandingRequest,
    PermitState,
    PromptAnswer,
    TriedTargets,
)
from runhatch_server.decisions._pace import (
    MAX_PACE_DURATION,
    MIN_START_BOUND,
    SERVICE_START_DURATION,
)
from runhatch_server.gateway._grant import Grant
from runhatch_server.gateway._prompt_permits import (
    ANSWER_TIMEOUT,
    QUEUE_RETENTION,
    SILENCE_DURATION,
    PromptPermit,
    PromptPermits,
)
from runhatch_server.gateway._refusal_builder import MAX_RETRY_JITTER
from runhatch_server.gateway._rooms import choose_allocator
from runhatch_server.gateway._search import TargetSearch
from runhatch_server.gateway._target_gauge import TargetGauge
from runhatch_server.gateway._target_paths import MAX_CONNECT_FAILURES
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
            self.balancer.loads.known_prompts,
        )
        self.balancer.prompts.permits = self.permits
        self._network = network
        self._is_updated = False
        # Passes the time and the messages for which a request would block.
        self.balancer._held_requests.wait_for_update = self._wait

    def _record_update(self):
        self._is_updated = True

    def _wait(self, timeout, is_due):
        if is_due():
            return
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
        owner.permits._known_prompts = lambda target: KnownPrompts(120.0, 1)
        assert owner.ask(work_ms=100.0).state is QUEUED
        assert owner.ask(work_ms=20.0).state is QUEUED

    def test_unused_queue_is_dropped(self, network):
        owner = network.owner()
        owner.permits.release(owner.ask())
        network.advance(QUEUE_RETENTION - milliseconds(1))
        assert len(owner.permits._queues) == 1
        network.advance(milliseconds(1))
        assert len(owner.permits._queues) == 0


class TestReleaseMessage:
    """The message about prompts that began or were given up."""

    @pytest.mark.parametrize(
        ("sent", "begun", "given_up"),
        [
            (["t1", [1, 2]], [1, 2], []),
            (["t1", [1], [2]], [1], [2]),
        ],
    )
    def test_release_of_an_earlier_version_is_read(self, sent, begun, given_up):
        """Nodes of both versions run during a rolling restart."""
        encoded = msgspec.json.encode(["prompts_released", *sent])
        fact = msgspec.json.decode(encoded, type=PromptsReleased)
        assert (fact.begun, fact.given_up) == (begun, given_up)


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
        (released,) = network.sent_of(PromptsReleased)
        assert (released.begun, released.given_up) == ([grant.prompt_permit.number], [])

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
        (released,) = network.sent_of(PromptsReleased)
        assert (released.begun, released.given_up) == ([], [grant.prompt_permit.number])

    def test_request_waits_for_its_permit(self, network):
        """It is sent when the prompts of another node have begun."""
        first, second = network.others()
        first.ask(work_ms=200)
        network.advance(milliseconds(2))
        grant = second.acquire(PATIENT)
        assert isinstance(grant, Grant)
        assert grant.granted_at >= milliseconds(200)
        assert second.balancer.held_count == 0

    def test_answer_that_arrives_right_after_the_search_is_not_missed(self, clock):
        """A wake-up before the wait was lost, and the batch stood still for 150 ms."""
        balancer = make_balancer(make_directory(clock, make_target("t1")), clock)
        search = TargetSearch(make_request(clock), TriedTargets(), 0)
        permit = PromptPermit("t1", 1, "owner", clock.elapsed())
        search.prompt_permit, search.seen_prompt_answer = permit, None
        permit.answer = PromptAnswer("n1", 1, PermitState.GRANTED, 0.0, 0)
        balancer._directory.notify_waiters()
        started_at = time.monotonic()

        balancer._held_requests.wait_for_update(
            seconds(30), lambda: search.has_new_prompt_answer
        )

        assert time.monotonic() - started_at < 10

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


class PacedNetwork(Network):
    """A network in which the target ``new`` starts after all others."""

    def __init__(self, clock):
        super().__init__(clock, targets=("t1",))
        for node in self.nodes.values():
            node.permits.find_serving = node.balancer.find_serving
            node.permits.update_paces()
        clock.advance(SERVICE_START_DURATION)
        entries = tuple(Entry(name, make_target(name)) for name in ("t1", "new"))
        for node in self.nodes.values():
            node.directory.replace_entries(entries)

    def ask_all(self, count, work_ms=10.0):
        """Request permits on all nodes in turn; return the nodes with the permits."""
        nodes = list(self.nodes.values())
        asked = [nodes[i % len(nodes)] for i in range(count)]
        permits = [(node, node.ask("new", work_ms=work_ms)) for node in asked]
        self.advance(milliseconds(2))
        return permits

    def bound(self):
        return self.owner("new").permits.owned_bounds().get("new")


def count_granted(permits):
    return sum(permit.state is GRANTED for _, permit in permits)


def release_granted(permits, has_begun):
    """Release the granted ones and return those that wait."""
    waiting = [each for each in permits if each[1].state is not GRANTED]
    # A release may permit the next prompt at once.
    granted = [each for each in permits if each[1].state is GRANTED]
    for node, permit in granted:
        node.permits.release(permit, has_begun)
    return waiting


class TestPacedTargets:
    """Few prompts are permitted at a target that has just started or recovered."""

    @pytest.fixture
    def paced(self, clock):
        return PacedNetwork(clock)

    def test_prompts_of_all_nodes_stay_within_the_bound(self, paced):
        """All fit into one batch, and each node sees the target idle."""
        assert count_granted(paced.ask_all(6)) == MIN_START_BOUND
        assert paced.bound() == MIN_START_BOUND

    def test_bound_grows_with_answers_that_begin_in_time(self, paced):
        waiting = release_granted(paced.ask_all(9), has_begun=True)
        paced.advance(milliseconds(EVENT_MS + 3))
        assert paced.bound() == MIN_START_BOUND + 2
        assert count_granted(waiting) == MIN_START_BOUND + 2

    def test_bound_stays_if_prompts_are_given_up(self, paced):
        """They say nothing about the speed of the target."""
        waiting = release_granted(paced.ask_all(9), has_begun=False)
        paced.advance(milliseconds(EVENT_MS + 3))
        assert paced.bound() == MIN_START_BOUND
        assert count_granted(waiting) == MIN_START_BOUND

    @pytest.mark.parametrize(
        ("work_ms", "after_ms", "bound"),
        [
            (70, 80, 4),
            # The first is late after 2 * (70 + 25) ms, the second after 2 * 165 ms.
            (70, 180, 4),
            (70, 200, 2),
            (70, 320, 2),
            (70, 340, 1),
            # Their permits have expired.
            (70, 1_500, 1),
            # Reading takes 1 ms, but no answer begins within 25 ms.
            (1, 27, 4),
        ],
    )
    def test_late_answers_lower_the_bound(self, paced, work_ms, after_ms, bound):
        """The prediction of the owner counts.

        An answer begins 25 ms after its prompt was read. Two late ones halve the bound
        once.
        """
        node = paced.others("new")[0]
        permits = [(node, node.ask("new", work_ms=work_ms)) for _ in range(2)]
        paced.advance(milliseconds(2))
        assert count_granted(permits) == 2
        paced.advance(milliseconds(after_ms))
        release_granted(permits, has_begun=True)
        paced.advance(milliseconds(2))
        assert paced.bound() == bound

    def test_target_that_was_there_from_the_start_is_not_paced(self, paced):
        node = paced.owner("t1")
        permits = [node.ask("t1", work_ms=10.0) for _ in range(6)]
        assert all(permit.state is GRANTED for permit in permits)

    def test_no_target_is_paced_if_none_is_looked_for(self, clock):
        """Only a node that shares prompt queues looks for targets that serve."""
        network = PacedNetwork(clock)
        for node in network.nodes.values():
            node.permits.find_serving = dict
        assert count_granted(network.ask_all(6)) == 6
        assert network.bound() is None

    def test_recovered_target_is_paced(self, paced):
        """All nodes see it idle when it is back, as if it had started."""
        owner = paced.owner("new")
        owner.permits.update_paces()
        paced.clock.advance(MAX_PACE_DURATION)
        for _ in range(MAX_CONNECT_FAILURES):
            owner.balancer.paths.record_failure("new")
        owner.permits.update_paces()
        owner.balancer._book.load("new").record_connected()
        owner.permits.update_paces()
        assert count_granted(paced.ask_all(6)) == MIN_START_BOUND

    def test_bound_ends_with_its_time(self, paced):
        paced.owner("new").permits.update_paces()
        paced.clock.advance(MAX_PACE_DURATION - milliseconds(10))
        assert count_granted(paced.ask_all(6)) == MIN_START_BOUND
        paced.advance(milliseconds(10))
        assert paced.bound() is None
        assert count_granted(paced.ask_all(6)) == 6

    def test_silent_target_does_not_serve(self, paced):
        balancer = paced.owner("new").balancer
        assert balancer.find_serving() == {"engine": {"t1": 8, "new": 8}}
        sent = OutstandingRequest(10.0, 10, paced.clock.elapsed(), 10.0, 0)
        balancer._book.load("new").own_requests[1] = sent
        paced.clock.advance(seconds(60))
        assert balancer.find_serving() == {"engine": {"t1": 8}}

    @pytest.mark.parametrize(("known_count", "bound"), [(0, 2), (1, 2), (5, 5)])
    def test_next_owner_starts_at_the_prompts_that_it_knows(
        self, paced, known_count, bound
    ):
        """The answers that its predecessor saw are unknown to it."""
        known = KnownPrompts(10.0 * known_count, known_count)
        for node in paced.nodes.values():
            node.permits._known_prompts = lambda target: known
        permits = paced.ask_all(6)
        assert paced.bound() == bound
        assert count_granted(permits) == bound - known_count

    def test_prompts_outstanding_never_exceed_the_bound(self, paced):
        """Answers begin in time, late or never, in the order of a seeded load."""
        generator = random.Random(7)
        nodes, asked, bounds = list(paced.nodes.values()), [], set()
        outstanding = 0
        for _ in range(400):
            node = generator.choice(nodes)
            asked.append((node, node.ask("new", work_ms=generator.uniform(5, 80))))
            paced.advance(milliseconds(generator.randint(1, 60)))
            most = paced.bound()
            if most is None:
                break
            bounds.add(most)
            # After a halving, no prompt is permitted until enough have ended.
            limit = max(most, outstanding)
            outstanding = paced.owner("new").permits._queues["new"].queue.outstanding
            assert outstanding <= limit
            granted = [each for each in asked if each[1].state is GRANTED]
            if outstanding >= most and granted:
                ended = generator.choice(granted)
                ended[0].permits.release(ended[1], generator.random() < 0.8)
                asked.remove(ended)
        # The bound has changed in both directions.
        assert {1, MIN_START_BOUND, MIN_START_BOUND + 1} <= bounds


class TestPromptBoundGauge:
    """Operators see the bounds of the targets that a node owns."""

    def read(self, metrics):
        return {
            sample.labels["target"]: sample.value
            for family in metrics.target_prompt_bound.collect()
            for sample in family.samples
        }

    def test_bounds_are_shown_by_target_until_they_end(self):
        metrics = Metrics()
        gauge = TargetGauge(metrics.target_prompt_bound)
        targets = [make_target("t1"), make_target("t2"), make_target("t3")]
        gauge.update(targets, {"t1": 2, "t2": 5, "ended": 3})
        assert self.read(metrics) == {"t1": 2, "t2": 5}
        gauge.update(targets, {"t2": 6})
        assert self.read(metrics) == {"t2": 6}

    def test_only_the_owner_shows_the_bound(self, clock):
        """Other nodes see none of the answers that change it."""
        network = PacedNetwork(clock)
        network.ask_all(3)
        for node in network.nodes.values():
            is_owner = node is network.owner("new")
            assert ("new" in node.permits.owned_bounds()) == is_owner
