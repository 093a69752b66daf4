"""Membership: a lagging list of VMs, corrected by heartbeats and gossip.

The platform's list says which VMs exist; only heartbeats show that a VM responds.  A
peer that stops receiving a node's heartbeats suspects that node and spreads the
suspicion with the node's incarnation number.  A node that receives a suspicion of
itself refutes it with the next incarnation number.

Three rules keep false suspicions rare and short.  A node that was itself paused
restarts its timers (local health in Lifeguard, Dadgar et al., 2017).  A node that
receives a VM's heartbeats ignores suspicions of that VM from other nodes.  A suspected
VM is notified repeatedly until it refutes the suspicion, because after a network
partition heals no other node would contact it.
"""

import threading
from collections.abc import Iterable
from dataclasses import dataclass, replace
from datetime import timedelta
from enum import Enum

from runhatch_coordination._clock import Clock
from runhatch_coordination._peers import Vm

SUSPECT_AFTER = timedelta(seconds=3)
"""Time without a heartbeat after which a linked peer is suspected: three are lost."""
MAX_CHECK_INTERVAL_SHARE = 0.7
"""Longest interval between checks, as a share of the suspicion timeout: after a longer
one this node itself was paused."""
LISTED_INCARNATION = 0
"""Incarnation of a VM that is known only from the platform's list."""


class Standing(Enum):
    """Believed state of a VM."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DRAINING = "leaving"


@dataclass(frozen=True, slots=True)
class MemberFact:
    """Believed state of one VM, as exchanged between peers."""

    vm: Vm
    standing: Standing


class Membership:
    """The members of the system as seen by one node; thread-safe.

    .. versionadded:: 0.1
    """

    def __init__(
        self,
        own: Vm,
        clock: Clock,
        suspect_after: timedelta = SUSPECT_AFTER,
    ) -> None:
        self._own = own
        self._clock = clock
        self._suspect_after = suspect_after
        self._lock = threading.Lock()
        self._facts: dict[str, MemberFact] = {own.name: MemberFact(own, Standing.ALIVE)}
        self._last_heartbeats: dict[str, timedelta] = {}
        self._suspected_since: dict[str, timedelta] = {}
        self._last_check: timedelta | None = None
        self._pending_facts: dict[str, MemberFact] = {}

    @property
    def own(self) -> Vm:
        """This node, with its current incarnation."""
        return self._own

    def facts(self) -> list[MemberFact]:
        """Return the facts on all known VMs, sorted by name."""
        with self._lock:
            return [self._facts[name] for name in sorted(self._facts)]

    def find(self, name: str) -> MemberFact | None:
        """Return the fact on one VM, ``None`` if the VM is unknown."""
        with self._lock:
            return self._facts.get(name)

    def standing(self, name: str) -> Standing | None:
        """Return the believed state of one VM, ``None`` if the VM is unknown."""
        fact = self.find(name)
        return None if fact is None else fact.standing

    def alive(self) -> list[Vm]:
        """Return the VMs believed alive, including this one."""
        return [fact.vm for fact in self.facts() if fact.standing is Standing.ALIVE]

    def apply_list(self, vms: Iterable[Vm], draining: frozenset[str]) -> None:
        """Apply the platform's list of VMs and of those that are draining.

        The list lags, so it neither clears a suspicion nor removes a VM whose
        heartbeats still arrive.
        """
        listed = {vm.name: vm for vm in vms}
        with self._lock:
            for name in set(self._facts) - set(listed) - {self._own.name}:
                if not self._has_recent_heartbeat(name):
                    del self._facts[name]
                    self._last_heartbeats.pop(name, None)
            for name, vm in listed.items():
                known = self._facts.get(name)
                if known is None:
                    self._facts[name] = MemberFact(vm, Standing.ALIVE)
                elif name in draining and known.standing is Standing.ALIVE:
                    self._store_and_queue(replace(known, standing=Standing.DRAINING))

    def suspects(self) -> list[Vm]:
        """Return the VMs currently suspected, sorted by name."""
        return [fact.vm for fact in self.facts() if fact.standing is Standing.SUSPECT]

    def count_suspected_within(self, period: timedelta) -> int:
        """Return the number of suspected VMs that became suspect within ``period``."""
        cutoff = self._clock.elapsed() - period
        with self._lock:
            names = [
                name for name, since in self._suspected_since.items() if since > cutoff
            ]
            facts = [self._facts[name] for name in names if name in self._facts]
        return sum(fact.standing is Standing.SUSPECT for fact in facts)

    def record_heartbeat(
        self, fact: MemberFact, linked: bool = True
    ) -> MemberFact | None:
        """Record a VM's report of itself; ``linked`` if more heartbeats will follow.

        Return the fact believed so far if it contradicts the report: the caller
        should send it to the VM, which can then refute it on all nodes.
        """
        with self._lock:
            name = fact.vm.name
            if linked:
                self._last_heartbeats[name] = self._clock.elapsed()
            known = self._facts.get(name)
            if known is None or known.vm.incarnation < fact.vm.incarnation:
                self._store_new_incarnation(known, fact)
                return None
            if fact.standing is not Standing.ALIVE:
                self._merge_fact(fact)
                return None
            if known.standing is Standing.ALIVE:
                return None
            if known.standing is Standing.SUSPECT:
                # Other nodes clear the suspicion when the VM refutes it.
                self._facts[name] = replace(known, standing=Standing.ALIVE)
                return known
            # DRAINING normally comes from the platform's list, which the VM does not
            # refute.  With a higher incarnation it comes from a previous process.
            is_from_previous = known.vm.incarnation > fact.vm.incarnation
            return known if is_from_previous else None

    def merge_facts(self, facts: Iterable[MemberFact]) -> bool:
        """Merge facts received from a peer; the higher incarnation wins.

        Return whether one of them contradicts this node's own state.  The caller
        should then send this node's current incarnation to that peer.
        """
        is_contradicted = False
        with self._lock:
            for fact in facts:
                if fact.vm.name == self._own.name:
                    is_contradicted = self._refute_fact(fact) or is_contradicted
                elif not self._contradicts_own_heartbeats(fact):
                    self._merge_fact(fact)
        return is_contradicted

    def suspect_silent_peers(self) -> list[str]:
        """Suspect peers whose heartbeats stopped, and return the new suspects.

        Must be called at shorter intervals than ``MAX_CHECK_INTERVAL_SHARE`` of the
        suspicion timeout.  After a longer interval this node itself was paused, so it
        restarts its timers and suspects no peer.
        """
        now = self._clock.elapsed()
        suspected = []
        with self._lock:
            if self._record_check(now):
                self._last_heartbeats = dict.fromkeys(self._last_heartbeats, now)
            for name, last_heartbeat in self._last_heartbeats.items():
                fact = self._facts.get(name)
                if fact is None or fact.standing is not Standing.ALIVE:
                    continue
                if now - last_heartbeat >= self._suspect_after:
                    self._store_and_queue(replace(fact, standing=Standing.SUSPECT))
                    suspected.append(name)
        return suspected

    def stop_timing(self, name: str) -> None:
        """Stop timing the heartbeats of a VM whose link was closed."""
        with self._lock:
            self._last_heartbeats.pop(name, None)

    def announce_draining(self) -> None:
        """Mark this node as draining and queue the fact for its peers."""
        with self._lock:
            self._store_and_queue(MemberFact(self._own, Standing.DRAINING))

    def take_pending_facts(self) -> list[MemberFact]:
        """Return and clear the facts not yet sent to peers."""
        with self._lock:
            pending = list(self._pending_facts.values())
            self._pending_facts.clear()
            return pending

    def _record_check(self, now: timedelta) -> bool:
        """Record a check, and return whether this node was paused before it."""
        previous, self._last_check = self._last_check, now
        return (
            previous is not None
            and now - previous > MAX_CHECK_INTERVAL_SHARE * self._suspect_after
        )

    def _has_recent_heartbeat(self, name: str) -> bool:
        last_heartbeat = self._last_heartbeats.get(name)
        if last_heartbeat is None:
            return False
        return self._clock.elapsed() - last_heartbeat < self._suspect_after

    def _contradicts_own_heartbeats(self, fact: MemberFact) -> bool:
        """Return whether ``fact`` suspects a VM whose heartbeats reach this node."""
        if fact.standing is not Standing.SUSPECT:
            return False
        known = self._facts.get(fact.vm.name)
        if known is None or known.vm.incarnation < fact.vm.incarnation:
            return False
        return self._has_recent_heartbeat(fact.vm.name)

    def _store_new_incarnation(
        self, known: MemberFact | None, fact: MemberFact
    ) -> None:
        """Store a VM's new incarnation reported by itself, and queue it for peers.

        The fact is not queued if the VM was known only from the platform's list,
        which all nodes have.
        """
        listed = known is not None and known.vm.incarnation == LISTED_INCARNATION
        if listed and fact.standing is Standing.ALIVE:
            self._facts[fact.vm.name] = fact
        else:
            self._store_and_queue(fact)

    def _merge_fact(self, fact: MemberFact) -> None:
        known = self._facts.get(fact.vm.name)
        if known is None or fact.vm.incarnation > known.vm.incarnation:
            if known is not None and known.standing is Standing.SUSPECT:
                # Other nodes receive its heartbeats.  Only heartbeats received here
                # restart the timer.
                self._last_heartbeats.pop(fact.vm.name, None)
            self._store_and_queue(fact)
            return
        if fact.vm.incarnation < known.vm.incarnation:
            return
        is_worse = (
            known.standing is Standing.ALIVE and fact.standing is not Standing.ALIVE
        )
        if is_worse:
            self._store_and_queue(fact)

    def _refute_fact(self, fact: MemberFact) -> bool:
        """Refute a wrong fact about this node; return whether it was wrong."""
        current = self._facts[self._own.name]
        is_previous_process = fact.vm.incarnation > self._own.incarnation
        is_draining = fact.standing is Standing.DRAINING and not is_previous_process
        if fact.standing is current.standing or is_draining:
            return False
        if fact.vm.incarnation >= self._own.incarnation:
            incarnation = fact.vm.incarnation + 1
            self._own = replace(self._own, incarnation=incarnation)
            self._store_and_queue(MemberFact(self._own, current.standing))
        return True

    def _store_and_queue(self, fact: MemberFact) -> None:
        if fact.standing is Standing.SUSPECT:
            self._suspected_since[fact.vm.name] = self._clock.elapsed()
        self._facts[fact.vm.name] = fact
        self._pending_facts[fact.vm.name] = fact
