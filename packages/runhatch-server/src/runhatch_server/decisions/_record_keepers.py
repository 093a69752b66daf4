"""Chooses the nodes that keep the records of streams for all nodes."""

import zlib
from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from runhatch_coordination import Vm, compute_weight

KEEPER_COUNT = 3
"""Nodes that keep a record, so that it survives two of them."""
KEEPER_SLOTS = 16
"""Groups of attempts with the same keepers.  A node sends to at most three nodes for
each, in a cluster of any size."""


def keeper_slot(attempt_id: str) -> int:
    """Return the slot of ``attempt_id``, equal on all nodes.

    >>> keeper_slot("9c41d07be2a35f68") == keeper_slot("9c41d07be2a35f68")
    True
    """
    return zlib.crc32(attempt_id.encode()) % KEEPER_SLOTS


def choose_keepers(slot: int, vms: Iterable[Vm], count: int = KEEPER_COUNT) -> list[Vm]:
    """Return the VMs that keep the records of ``slot``, the best-ranked first.

    They are of different failure domains as far as possible.  If one VM leaves, at most
    one other replaces it.

    >>> vms = [Vm(f"n{i}", f"d{i % 3}", "") for i in range(9)]
    >>> sorted(vm.failure_domain for vm in choose_keepers(0, vms))
    ['d0', 'd1', 'd2']
    """
    subject = f"streams {slot}"
    left = sorted(
        vms, key=lambda vm: (compute_weight(subject, vm.name), vm.name), reverse=True
    )
    chosen: list[Vm] = []
    chosen_of_domain: Counter[str] = Counter()
    while left and len(chosen) < count:
        # ``min`` returns the first, thus the best-ranked, of equal ones.
        best = min(left, key=lambda vm: chosen_of_domain[vm.failure_domain])
        left.remove(best)
        chosen.append(best)
        chosen_of_domain[best.failure_domain] += 1
    return chosen


@dataclass(frozen=True, slots=True)
class KeeperChange:
    """What a node hands over when the keepers of slots have changed."""

    new_keepers: dict[int, list[Vm]] = field(default_factory=dict)
    """Other nodes that have become keepers, by slot."""
    led_slots: frozenset[int] = frozenset()
    """Slots for which the node hands over records of other nodes too."""


def compare_keepers(
    previous: Sequence[Sequence[Vm]], current: Sequence[Sequence[Vm]], own: Vm
) -> KeeperChange:
    """Return what node ``own`` hands over; both lists have the keepers by slot.

    Each node hands over the records that it made.  Those of other nodes, which may no
    longer be alive, are handed over by the first of the keepers that stay.  A node that
    has restarted counts as new, because it has lost its records.
    """
    new_keepers: dict[int, list[Vm]] = {}
    led_slots = set()
    for slot, (before, after) in enumerate(zip(previous, current, strict=True)):
        incarnations = {(vm.name, vm.incarnation) for vm in before}
        staying = [vm for vm in after if (vm.name, vm.incarnation) in incarnations]
        new = [vm for vm in after if vm not in staying and vm.name != own.name]
        if new:
            new_keepers[slot] = new
        if staying and staying[0].name == own.name:
            led_slots.add(slot)
    return KeeperChange(new_keepers, frozenset(led_slots))
