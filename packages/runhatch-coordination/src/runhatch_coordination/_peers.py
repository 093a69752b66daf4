"""Choosing peers, readers of the store and preferred nodes, by rendezvous hash."""

import hashlib
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from functools import lru_cache

FULL_MESH = 9
"""Up to this many nodes everybody links to everybody."""
MIN_DEGREE = 6
"""Links each node opens above that; about as many come in."""
WEIGHTS_KEPT = 8_192
"""Weights computed once: a node ranks all others several times a second, and each takes
1.5 microseconds."""
READERS = "readers"
READERS_PER_DOMAIN = 2
"""Nodes of a failure domain that read the store for the others.  Each node listens to
both, so that one may end, freeze or be cut off without anybody being told later."""
RESERVES_PER_DOMAIN = 2
"""Nodes that read the store as well while no reader of their domain reaches it."""


class Role(Enum):
    """What a node does about watched tables."""

    READER = "reader"
    """It reads the store and tells the others of its failure domain."""
    WITNESS = "witness"
    """It reads the store as well, in a system of one failure domain, and is not relied
    on.  Of two readers whose links to the store fall silent nobody else would know:
    they heard of a change after 24 s, and with a witness all have it within 2 s."""
    RESERVE = "reserve"
    """It is told, and reads the store when its readers say they cannot."""
    FOLLOWER = "follower"
    """It is told."""


@dataclass(frozen=True, slots=True, order=True)
class Vm:
    """One VM of the system: its name, failure domain and peer address.

    On ``broadcast_port`` of the same host it tells whoever listens; 0 if it does not.
    """

    name: str
    failure_domain: str
    address: str
    incarnation: int = 0
    broadcast_port: int = 0


@lru_cache(WEIGHTS_KEPT)
def weight(subject: str, name: str) -> int:
    """Return the rendezvous weight of ``name`` for ``subject``.

    >>> weight("shard", "a") == weight("shard", "a")
    True
    """
    digest = hashlib.blake2b(f"{subject}\0{name}".encode(), digest_size=8).digest()
    return int.from_bytes(digest)


def rank(subject: str, names: Iterable[str]) -> list[str]:
    """Return ``names`` from the most to the least preferred for ``subject``.

    Removing a name never changes the order of the others.
    """
    return sorted(names, key=lambda name: weight(subject, name), reverse=True)


def choose_peers(own: Vm, vms: Iterable[Vm], degree: int = MIN_DEGREE) -> list[Vm]:
    """Return the VMs that ``own`` opens links to.

    A full mesh while small.  Above that, one link goes to the next VM in name
    order, which makes the graph one ring and so connected whatever the hash says;
    the others go round the failure domains, the best-ranked VM of each first.

    >>> few = [Vm(f"n{i}", f"d{i % 3}", "") for i in range(4)]
    >>> [vm.name for vm in choose_peers(few[0], few)]
    ['n1', 'n2', 'n3']
    """
    others = sorted(vm for vm in vms if vm.name != own.name)
    if len(others) < FULL_MESH:
        return others
    following = [vm for vm in others if vm.name > own.name]
    chosen = [following[0] if following else others[0]]
    queues = _by_domain(own, [vm for vm in others if vm != chosen[0]])
    while len(chosen) < degree and queues:
        for domain in list(queues):
            if len(chosen) == degree:
                break
            chosen.append(queues[domain].pop(0))
            if not queues[domain]:
                del queues[domain]
    return chosen


def _by_domain(own: Vm, vms: list[Vm]) -> dict[str, list[Vm]]:
    by_name = {vm.name: vm for vm in vms}
    queues: dict[str, list[Vm]] = defaultdict(list)
    for name in rank(own.name, by_name):
        queues[by_name[name].failure_domain].append(by_name[name])
    order = rank(own.name, queues)
    return {domain: queues[domain] for domain in order}


def choose_readers(domain: str, vms: Iterable[Vm]) -> list[Vm]:
    """Return the VMs of ``domain`` that read the store for the others.

    >>> vms = [Vm(f"n{i}", f"d{i % 2}", "") for i in range(10)]
    >>> [vm.failure_domain for vm in choose_readers("d1", vms)]
    ['d1', 'd1']
    """
    return _ranked_readers(domain, vms)[:READERS_PER_DOMAIN]


def role_of(own: Vm, vms: Iterable[Vm]) -> Role:
    """Return what ``own`` does about watched tables among ``vms``."""
    known = list(vms)
    ranked = [vm.name for vm in _ranked_readers(own.failure_domain, known)]
    if own.name in ranked[:READERS_PER_DOMAIN]:
        return Role.READER
    # Elsewhere the readers of other domains are witnesses.
    alone = all(vm.failure_domain == own.failure_domain for vm in known)
    if alone and own.name in ranked[READERS_PER_DOMAIN : READERS_PER_DOMAIN + 1]:
        return Role.WITNESS
    if own.name in ranked[: READERS_PER_DOMAIN + RESERVES_PER_DOMAIN]:
        return Role.RESERVE
    return Role.FOLLOWER


def _ranked_readers(domain: str, vms: Iterable[Vm]) -> list[Vm]:
    names = {vm.name: vm for vm in vms if vm.failure_domain == domain}
    return [names[name] for name in rank(READERS, names)]
