"""Choice of the nodes that keep the records of streams."""

import random
from collections import Counter

import pytest

from runhatch_coordination import Vm
from runhatch_server.decisions import (
    KEEPER_SLOTS,
    choose_keepers,
    compare_keepers,
    keeper_slot,
)

SLOTS = range(KEEPER_SLOTS)
CLUSTERS = [(3, 3), (4, 1), (4, 2), (9, 3), (9, 2), (40, 10)]
"""Numbers of nodes and failure domains."""


def make_vms(count, domains):
    return [Vm(f"n{i}", f"d{i % domains}", f"n{i}:1") for i in range(count)]


def names(vms):
    return [vm.name for vm in vms]


class TestSlots:
    """Attempts with the same keepers."""

    def test_attempts_are_spread_evenly_over_slots(self):
        rng = random.Random(1)
        counts = Counter(
            keeper_slot(f"{rng.getrandbits(64):016x}") for _ in range(9600)
        )

        assert set(counts) == set(SLOTS)
        assert max(counts.values()) < 1.2 * 9600 / KEEPER_SLOTS

    def test_slot_does_not_depend_on_the_process(self):
        """Nodes with other slots would ask nodes that have no record."""
        assert [keeper_slot(each) for each in ("", "a", "9c41d07be2a35f68")] == [
            0,
            3,
            8,
        ]


class TestChoice:
    """The keepers of a slot."""

    @pytest.mark.parametrize(
        ("count", "expected"), [(0, 0), (1, 1), (2, 2), (3, 3), (9, 3)]
    )
    def test_there_are_three_if_there_are_enough_nodes(self, count, expected):
        keepers = choose_keepers(0, make_vms(count, 3))

        assert len(set(names(keepers))) == len(keepers) == expected

    @pytest.mark.parametrize(("count", "domains"), CLUSTERS)
    def test_choice_does_not_depend_on_the_order_of_nodes(self, count, domains):
        vms = make_vms(count, domains)
        shuffled = random.Random(1).sample(vms, count)

        for slot in SLOTS:
            assert choose_keepers(slot, shuffled) == choose_keepers(slot, vms)

    @pytest.mark.parametrize(("count", "domains"), CLUSTERS)
    def test_keepers_are_spread_over_failure_domains(self, count, domains):
        for slot in SLOTS:
            keepers = choose_keepers(slot, make_vms(count, domains))
            assert len({vm.failure_domain for vm in keepers}) == min(3, domains)

    @pytest.mark.parametrize(("count", "domains"), CLUSTERS)
    def test_node_that_leaves_is_replaced_by_one_other(self, count, domains):
        """Each further change would lose records, or cost a handover."""
        vms = make_vms(count, domains)
        for slot in SLOTS:
            before = set(names(choose_keepers(slot, vms)))
            for leaving in vms:
                left = [vm for vm in vms if vm is not leaving]
                after = set(names(choose_keepers(slot, left)))
                assert len(after - before) <= (leaving.name in before)

    def test_every_node_of_a_small_cluster_keeps_records(self):
        keepers = {
            name
            for slot in SLOTS
            for name in names(choose_keepers(slot, make_vms(9, 3)))
        }

        assert len(keepers) >= 8


A, B, C, D = make_vms(4, 4)
RESTARTED_B = Vm(B.name, B.failure_domain, B.address, 1)


class TestChange:
    """What a node hands over when keepers have changed."""

    @pytest.mark.parametrize(
        ("own", "after", "new_keepers", "led_slots"),
        [
            pytest.param(A, [A, B, C], {}, {0}, id="none"),
            pytest.param(A, [A, B, D], {0: [D]}, {0}, id="one joins"),
            pytest.param(A, [D, A, B], {0: [D]}, {0}, id="one joins as the first"),
            pytest.param(B, [A, B, D], {0: [D]}, set(), id="another one leads"),
            pytest.param(B, [B, C, D], {0: [D]}, {0}, id="first one left"),
            pytest.param(D, [A, B, D], {}, set(), id="it joins itself"),
            pytest.param(D, [A, B, C], {}, set(), id="it keeps none"),
            pytest.param(
                A, [A, RESTARTED_B, C], {0: [RESTARTED_B]}, {0}, id="one restarted"
            ),
            pytest.param(
                C, [RESTARTED_B, C], {0: [RESTARTED_B]}, {0}, id="first one restarted"
            ),
        ],
    )
    def test_first_of_the_staying_keepers_leads(
        self, own, after, new_keepers, led_slots
    ):
        change = compare_keepers([[A, B, C]], [after], own)

        assert (change.new_keepers, change.led_slots) == (new_keepers, led_slots)
