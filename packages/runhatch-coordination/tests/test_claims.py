"""Tests of at-most-once claims under faults, restarts and repeated requests."""

import threading

import hypothesis.strategies as st
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from runhatch_coordination import (
    Claims,
    Committed,
    Done,
    GroupCommitter,
    Mismatch,
    Pending,
    Taken,
)
from runhatch_coordination.testing import (
    FaultyTable,
    ManualClock,
    MemoryTable,
    TableFault,
)

NODES = ("a", "b", "c")
KEYS = ("k1", "k2")


class ClaimMachine(RuleBasedStateMachine):
    """Nodes claim, finish, release and restart while the table has faults."""

    @initialize()
    def start(self):
        self.memory = MemoryTable()
        self.runs = dict.fromkeys(KEYS, 0)
        self.taken = []
        self.results = {key: set() for key in KEYS}
        self.nodes = {}
        for name in NODES:
            self.revive(name)

    def revive(self, name):
        table = FaultyTable(self.memory)
        self.nodes[name] = (
            table,
            Claims(table, GroupCommitter(table), name, ManualClock()),
        )

    @rule(
        node=st.sampled_from(NODES),
        fault=st.sampled_from(TableFault),
        count=st.integers(1, 4),
    )
    def misbehave(self, node, fault, count):
        self.nodes[node][0].inject(fault, count)

    @rule(node=st.sampled_from(NODES), key=st.sampled_from(KEYS))
    def claim(self, node, key):
        outcome = self.nodes[node][1].acquire(key, "digest")
        if isinstance(outcome, Taken):
            self.taken.append((node, key, outcome))
        if isinstance(outcome, Done):
            self.results[key].add(outcome.result)

    @rule(node=st.sampled_from(NODES), key=st.sampled_from(KEYS))
    def claim_with_another_body(self, node, key):
        outcome = self.nodes[node][1].read(key, "another")
        assert not isinstance(outcome, Taken | Done | Pending)

    @rule(index=st.integers(0, 20), act=st.booleans())
    def settle(self, index, act):
        if not self.taken:
            return
        node, key, outcome = self.taken.pop(index % len(self.taken))
        claims = self.nodes[node][1]
        if not act:
            claims.release(outcome)
            return
        self.runs[key] += 1
        result = f"answer {outcome.record.attempt}"
        if isinstance(claims.finish(outcome, result), Committed):
            self.results[key].add(result)

    @rule(node=st.sampled_from(NODES))
    def die(self, node):
        self.taken = [entry for entry in self.taken if entry[0] != node]
        self.revive(node)

    @invariant()
    def runs_at_most_once(self):
        assert all(count <= 1 for count in getattr(self, "runs", {}).values())

    @invariant()
    def one_result(self):
        assert all(len(found) <= 1 for found in getattr(self, "results", {}).values())


TestClaimMachine = ClaimMachine.TestCase
TestClaimMachine.settings = settings(
    derandomize=True, max_examples=60, stateful_step_count=40, deadline=None
)


class TestClaims:
    """Single operations on a claim."""

    def setup_method(self):
        self.memory = MemoryTable()
        self.table = FaultyTable(self.memory)
        self.claims = Claims(self.table, GroupCommitter(self.table), "a", ManualClock())
        self.other = Claims(
            self.memory, GroupCommitter(self.memory), "b", ManualClock()
        )

    def test_claim_of_another_node_is_pending(self):
        """A node does not act while another node holds the claim."""
        self.claims.acquire("k", "d")
        outcome = self.other.acquire("k", "d")
        assert isinstance(outcome, Pending)
        assert outcome.node == "a"

    def test_another_request_with_the_same_key_is_a_mismatch(self):
        """A key cannot be reused for a different request."""
        self.claims.acquire("k", "d")
        assert self.other.acquire("k", "e") == Mismatch()

    def test_insertion_with_unknown_outcome_can_be_claimed_by_its_node(self):
        """Lost answers to an insertion must not block the key for its own node."""
        self.table.inject(TableFault.LOSE_ANSWER, 3)
        first = self.claims.acquire("k", "d")
        assert not isinstance(first, Taken)
        assert isinstance(self.other.acquire("k", "d"), Pending)
        assert isinstance(self.claims.acquire("k", "d"), Taken)

    def test_release_in_an_outage_frees_the_claim_for_its_node(self):
        """A release that did not reach the table must not block the key."""
        taken = self.claims.acquire("k", "d")
        self.table.inject(TableFault.DOWN)
        self.claims.release(taken)
        self.table.inject(TableFault.NONE, 0)
        assert isinstance(self.claims.acquire("k", "d"), Taken)

    def test_release_with_a_lost_answer_ends(self):
        """Otherwise no later claim of this node ends either."""
        taken = self.claims.acquire("k", "d")
        self.table.inject(TableFault.LOSE_ANSWER, 1)
        release = threading.Thread(
            target=self.claims.release, args=(taken,), daemon=True
        )
        release.start()
        release.join(2)

        assert not release.is_alive()
        assert isinstance(self.other.acquire("k", "d"), Taken)
        assert isinstance(self.claims.acquire("other", "d"), Taken)

    def test_release_that_takes_effect_late_frees_no_later_claim(self):
        """The action of the claim may have run by then."""
        taken = self.claims.acquire("k", "d")
        self.table.inject(TableFault.DELAY, 1)
        self.claims.release(taken)
        again = self.claims.acquire("k", "d")
        assert isinstance(again, Taken)
        self.table.apply_delayed_writes()

        assert isinstance(self.other.acquire("k", "d"), Pending)
        assert isinstance(self.claims.finish(again, "answer"), Committed)
        assert self.other.acquire("k", "d") == Done("answer")
