"""Trials of held traits: one at a time, by one node, and what follows from each."""

import pytest
from gateway_cases import FakeTargets, seconds

from runhatch_coordination import MemberFact, Membership, Standing, Vm
from runhatch_server.crashes import CrashDetector, TrialOwner
from runhatch_server.crashes._trial_owner import MIN_UPTIME
from runhatch_server.decisions import ObservedEnd
from runhatch_server.decisions._suspect_traits import FIRST_TRIAL_DELAY
from runhatch_server.decisions._trait_trials import UNRESOLVED_DURATION
from runhatch_server.observability import Metrics
from runhatch_server.refusals import Executed, Reason

HELD = ("part:x",)
OTHER_HELD = ("part:y",)


class Node:
    """Crash detection of a node that knows two held traits."""

    def __init__(self, clock, is_owner=True):
        self.clock = clock
        self.metrics = Metrics()
        self.crashes = CrashDetector(
            clock, FakeTargets(), self.metrics, lambda: None, lambda trait: is_owner
        )
        for number in range(2):
            self.end_target(f"t{number}")
            clock.advance(seconds(1))

    def end_target(self, target):
        ends = [
            ObservedEnd(trait, f"{target}{trait}", self.clock.elapsed())
            for trait in (*HELD, *OTHER_HELD)
        ]
        self.crashes.receive_ends(ends)

    def check(self, key, traits=HELD):
        return self.crashes.check_request("fingerprint", traits, key)

    def send(self, key):
        """Send request ``key`` if that is allowed; return whether it was."""
        if self.check(key) is not None:
            return False
        self.crashes.traits.record_sent(key)
        return True


@pytest.fixture
def node(clock):
    node = Node(clock)
    clock.advance(FIRST_TRIAL_DELAY)
    return node


class TestRefusal:
    """Requests with a held trait."""

    def test_refusal_states_that_the_request_has_not_run(self, clock):
        refusal = Node(clock).check("r")

        assert refusal.reason is Reason.PROMPT_CRASHES_TARGETS
        assert refusal.executed is Executed.NO
        assert refusal.retry_after is None
        assert refusal.trait == HELD[0]

    def test_other_requests_are_sent(self, clock):
        assert Node(clock).check("r", ("part:z",)) is None
        assert Node(clock).check("r", ()) is None

    def test_held_traits_are_counted(self, node):
        node.crashes.check_targets()

        assert b"prompt_traits_held 2.0" in node.metrics.render_exposition()


class TestTrial:
    """The request that tries a held trait."""

    def test_one_request_is_sent_once_the_delay_has_passed(self, node):
        assert node.send("first")
        assert not node.send("second")
        assert not node.send("first")

    def test_none_is_sent_before(self, clock):
        assert not Node(clock).send("r")

    def test_none_is_sent_by_a_node_that_does_not_own_trials(self, clock):
        node = Node(clock, is_owner=False)
        clock.advance(FIRST_TRIAL_DELAY)

        assert not node.send("r")

    def test_request_with_two_held_traits_is_no_trial(self, node):
        """An end would not show which of them caused it."""
        assert node.check("r", HELD + OTHER_HELD) is not None

    def test_beginning_of_its_answer_clears_the_trait(self, node):
        node.send("r")
        node.crashes.traits.record_begun(HELD)

        assert node.send("another")
        assert node.send("one more")
        assert node.crashes.traits.take_begun().keys() == {*HELD}

    def test_end_of_its_target_holds_the_trait_longer(self, node, clock):
        node.send("r")
        node.end_target("t9")
        node.crashes.traits.record_request_end("r")
        clock.advance(2 * FIRST_TRIAL_DELAY + UNRESOLVED_DURATION)

        assert not node.send("another")

    @pytest.mark.parametrize("is_sent", [False, True])
    def test_trial_that_did_not_run_is_repeated_at_once(self, node, is_sent):
        if is_sent:
            node.send("r")
            node.crashes.traits.record_not_run("r")
        else:
            node.check("r")
        node.crashes.traits.record_request_end("r")

        assert node.send("another")

    def test_trial_without_a_result_is_repeated_later(self, node, clock):
        """The end of a silent target is found only seconds later."""
        node.send("r")
        node.crashes.traits.record_request_end("r")
        assert not node.send("another")
        clock.advance(UNRESOLVED_DURATION)

        assert node.send("another")


class TestOwner:
    """Which node sends trials."""

    @pytest.fixture
    def members(self, clock):
        vms = [Vm(f"n{i}", "d1", f"n{i}", 1) for i in range(5)]
        members = [Membership(vm, clock) for vm in vms]
        for member in members:
            member.apply_list(vms, frozenset())
        return members

    def test_exactly_one_node_owns_each_trait(self, clock, members):
        owners = [TrialOwner(member, clock) for member in members]
        clock.advance(MIN_UPTIME)
        owned = {
            trait: [owner.owns(trait) for owner in owners].count(True)
            for trait in map(str, range(20))
        }

        assert set(owned.values()) == {1}

    def test_started_node_owns_none(self, clock, members):
        owner = TrialOwner(members[0], clock)

        assert not any(owner.owns(str(trait)) for trait in range(20))

    def test_node_to_which_few_seem_alive_owns_none(self, clock, members):
        """It may be cut off while the others try the same traits."""
        owner = TrialOwner(members[0], clock)
        clock.advance(MIN_UPTIME)
        members[0].merge_facts(
            [MemberFact(member.own, Standing.SUSPECT) for member in members[2:]]
        )

        assert len(members[0].alive()) == 2
        assert not any(owner.owns(str(trait)) for trait in range(20))

    def test_single_node_owns_all(self, clock):
        owner = TrialOwner(Membership(Vm("n0", "d1", "n0", 1), clock), clock)
        clock.advance(MIN_UPTIME)

        assert owner.owns("trait")
