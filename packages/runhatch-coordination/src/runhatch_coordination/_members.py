"""Who is there: a lagging list of VMs, corrected by heartbeats and gossip.

The list says which VMs exist; only heartbeats say that one answers.  A node whose
heartbeats stop at a peer is suspected, the suspicion travels with its incarnation
number, and a node that hears of its own suspicion refutes it with the next one.
"""

import threading
from collections.abc import Iterable
from dataclasses import dataclass, replace
from datetime import timedelta
from enum import Enum

from runhatch_coordination._clock import Clock
from runhatch_coordination._peers import Vm

SUSPECT_AFTER = timedelta(seconds=3)
"""Silence after which a linked peer is suspected: three heartbeats lost."""


class Standing(Enum):
    """What is believed of a VM."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class MemberFact:
    """One statement about a VM, as it travels between peers."""

    vm: Vm
    standing: Standing


class Membership:
    """The members as one node sees them; safe for many threads.

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
        self._heard: dict[str, timedelta] = {}
        self._news: dict[str, MemberFact] = {}

    @property
    def own(self) -> Vm:
        """This node, with its current incarnation."""
        return self._own

    def facts(self) -> list[MemberFact]:
        """Return what is believed of every known VM, by name."""
        with self._lock:
            return [self._facts[name] for name in sorted(self._facts)]

    def standing(self, name: str) -> Standing | None:
        """Return what is believed of one VM, ``None`` if it is not known."""
        with self._lock:
            fact = self._facts.get(name)
            return None if fact is None else fact.standing

    def alive(self) -> list[Vm]:
        """Return the VMs believed alive, this one included."""
        return [fact.vm for fact in self.facts() if fact.standing is Standing.ALIVE]

    def listed(self, vms: Iterable[Vm], leaving: frozenset[str]) -> None:
        """Take in the platform's list.

        It lags, so it neither clears a suspicion nor removes a VM still heard.
        """
        listed = {vm.name: vm for vm in vms}
        with self._lock:
            for name in set(self._facts) - set(listed) - {self._own.name}:
                if not self._recently_heard(name):
                    del self._facts[name]
                    self._heard.pop(name, None)
            for name, vm in listed.items():
                known = self._facts.get(name)
                if known is None:
                    self._facts[name] = MemberFact(vm, Standing.ALIVE)
                elif name in leaving and known.standing is Standing.ALIVE:
                    self._set(replace(known, standing=Standing.LEAVING))

    def heartbeat(self, vm: Vm) -> None:
        """Record a heartbeat that came from ``vm`` itself."""
        with self._lock:
            self._heard[vm.name] = self._clock.elapsed()
            known = self._facts.get(vm.name)
            if known is None or known.vm.incarnation < vm.incarnation:
                self._facts[vm.name] = MemberFact(vm, Standing.ALIVE)
            elif known.standing is Standing.SUSPECT:
                # Heard with its own voice: the suspicion was ours or stale.
                self._set(MemberFact(vm, Standing.ALIVE))

    def learn(self, facts: Iterable[MemberFact]) -> None:
        """Take in facts from a peer; the higher incarnation wins."""
        with self._lock:
            for fact in facts:
                if fact.vm.name == self._own.name:
                    self._refute(fact)
                else:
                    self._merge(fact)

    def suspect_silent(self) -> list[str]:
        """Suspect peers not heard of for too long; returns the new ones."""
        now = self._clock.elapsed()
        suspected = []
        with self._lock:
            for name, heard in self._heard.items():
                fact = self._facts.get(name)
                if fact is None or fact.standing is not Standing.ALIVE:
                    continue
                if now - heard >= self._suspect_after:
                    self._set(replace(fact, standing=Standing.SUSPECT))
                    suspected.append(name)
        return suspected

    def forget(self, name: str) -> None:
        """Stop timing a VM to which there is no link any more."""
        with self._lock:
            self._heard.pop(name, None)

    def leave(self) -> None:
        """Tell peers that this node is leaving."""
        with self._lock:
            self._set(MemberFact(self._own, Standing.LEAVING))

    def take_news(self) -> list[MemberFact]:
        """Return and clear the facts that peers have yet to hear."""
        with self._lock:
            news = list(self._news.values())
            self._news.clear()
            return news

    def _recently_heard(self, name: str) -> bool:
        heard = self._heard.get(name)
        if heard is None:
            return False
        return self._clock.elapsed() - heard < self._suspect_after

    def _merge(self, fact: MemberFact) -> None:
        known = self._facts.get(fact.vm.name)
        if known is None or fact.vm.incarnation > known.vm.incarnation:
            self._set(fact)
            return
        if fact.vm.incarnation < known.vm.incarnation:
            return
        worse = known.standing is Standing.ALIVE and fact.standing is not Standing.ALIVE
        if worse:
            self._set(fact)

    def _refute(self, fact: MemberFact) -> None:
        current = self._facts[self._own.name]
        if fact.standing is not Standing.SUSPECT:
            return
        if fact.vm.incarnation < self._own.incarnation:
            return
        self._own = replace(self._own, incarnation=fact.vm.incarnation + 1)
        self._set(MemberFact(self._own, current.standing))

    def _set(self, fact: MemberFact) -> None:
        self._facts[fact.vm.name] = fact
        self._news[fact.vm.name] = fact
