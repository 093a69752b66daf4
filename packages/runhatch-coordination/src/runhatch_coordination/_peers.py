"""Rendezvous hashing to choose peers, readers of the store and preferred nodes."""

import hashlib
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from functools import lru_cache

MAX_FULL_MESH_NODES = 9
"""Largest number of nodes that are linked in a full mesh."""
OPENED_LINKS = 6
"""Links opened by each node of a larger system; about as many are incoming."""
WEIGHT_CACHE_SIZE = 8_192
"""Number of cached weights: a node ranks all others several times a second, and each
weight takes 1.5 microseconds to compute."""
READER_SUBJECT = "readers"
READERS_PER_DOMAIN = 2
"""Nodes of a failure domain that read the store for the others.  Each node receives
updates from both, so that updates are not delayed if one of them exits, freezes or is
partitioned."""
RESERVES_PER_DOMAIN = 2
"""Nodes of a failure domain that read the store while none of its readers can."""


class Role(Enum):
    """How a node obtains the updates of watched tables."""

    READER = "reader"
    """Reads the store and sends updates to the other nodes of its failure domain."""
    WITNESS = "witness"
    """Also reads the store, in a system of one failure domain; no node depends on it.
    If the links of both readers to the store silently stall, no other node notices:
    updates then arrived after 24 s, but with a witness within 2 s."""
    RESERVE = "reserve"
    """Receives updates, and reads the store when its readers report a failure."""
    FOLLOWER = "follower"
    """Receives updates."""


@dataclass(frozen=True, slots=True, order=True)
class Vm:
    """One VM of the system: its name, failure domain and peer address.

    ``broadcast_port`` is the port of the same host on which the VM publishes updates
    to any subscriber, 0 if it does not.  ``forward_port`` is the one on which it
    accepts requests forwarded by other VMs, 0 if it does not.
    """

    name: str
    failure_domain: str
    address: str
    incarnation: int = 0
    broadcast_port: int = 0
    forward_port: int = 0


@lru_cache(WEIGHT_CACHE_SIZE)
def compute_weight(subject: str, name: str) -> int:
    """Return the rendezvous weight of ``name`` for ``subject``.

    >>> compute_weight("shard", "a") == compute_weight("shard", "a")
    True
    """
    digest = hashlib.blake2b(f"{subject}\0{name}".encode(), digest_size=8).digest()
    return int.from_bytes(digest)


def rank_names(subject: str, names: Iterable[str]) -> list[str]:
    """Return ``names`` ordered from the most to the least preferred for ``subject``.

    Removing a name does not change the order of the others.
    """
    return sorted(names, key=lambda name: compute_weight(subject, name), reverse=True)


def choose_peers(own: Vm, vms: Iterable[Vm], degree: int = OPENED_LINKS) -> list[Vm]:
    """Return the VMs that ``own`` opens links to.

    Small systems form a full mesh.  In larger ones, one link goes to the next VM in
    name order, which forms a ring and so keeps the graph connected for any hash.  The
    others rotate through the failure domains, taking the best-ranked VM of each first.

    >>> few = [Vm(f"n{i}", f"d{i % 3}", "") for i in range(4)]
    >>> [vm.name for vm in choose_peers(few[0], few)]
    ['n1', 'n2', 'n3']
    """
    others = sorted(vm for vm in vms if vm.name != own.name)
    if len(others) < MAX_FULL_MESH_NODES:
        return others
    following = [vm for vm in others if vm.name > own.name]
    chosen = [following[0] if following else others[0]]
    queues = _group_by_domain(own, [vm for vm in others if vm != chosen[0]])
    while len(chosen) < degree and queues:
        for domain in list(queues):
            if len(chosen) == degree:
                break
            chosen.append(queues[domain].pop(0))
            if not queues[domain]:
                del queues[domain]
    return chosen


def _group_by_domain(own: Vm, vms: list[Vm]) -> dict[str, list[Vm]]:
    by_name = {vm.name: vm for vm in vms}
    queues: dict[str, list[Vm]] = defaultdict(list)
    for name in rank_names(own.name, by_name):
        queues[by_name[name].failure_domain].append(by_name[name])
    order = rank_names(own.name, queues)
    return {domain: queues[domain] for domain in order}


def choose_readers(domain: str, vms: Iterable[Vm]) -> list[Vm]:
    """Return the VMs of ``domain`` that read the store for the others.

    >>> vms = [Vm(f"n{i}", f"d{i % 2}", "") for i in range(10)]
    >>> [vm.failure_domain for vm in choose_readers("d1", vms)]
    ['d1', 'd1']
    """
    return _rank_reader_candidates(domain, vms)[:READERS_PER_DOMAIN]


def choose_role(own: Vm, vms: Iterable[Vm]) -> Role:
    """Return the role of ``own`` in reading watched tables among ``vms``."""
    known = list(vms)
    ranked = [vm.name for vm in _rank_reader_candidates(own.failure_domain, known)]
    if own.name in ranked[:READERS_PER_DOMAIN]:
        return Role.READER
    # With several failure domains, the readers of the others serve as witnesses.
    is_only_domain = all(vm.failure_domain == own.failure_domain for vm in known)
    if (
        is_only_domain
        and own.name in ranked[READERS_PER_DOMAIN : READERS_PER_DOMAIN + 1]
    ):
        return Role.WITNESS
    if own.name in ranked[: READERS_PER_DOMAIN + RESERVES_PER_DOMAIN]:
        return Role.RESERVE
    return Role.FOLLOWER


def _rank_reader_candidates(domain: str, vms: Iterable[Vm]) -> list[Vm]:
    names = {vm.name: vm for vm in vms if vm.failure_domain == domain}
    return [names[name] for name in rank_names(READER_SUBJECT, names)]
