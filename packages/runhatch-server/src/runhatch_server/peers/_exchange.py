"""Who else is there: heartbeats, links to peers, and news about members."""

import random
import threading
from collections.abc import Iterable

from runhatch_coordination import (
    MemberFact,
    Membership,
    Standing,
    Vm,
    choose_peers,
)
from runhatch_server.observability import Metrics, log_change
from runhatch_server.peers._links import Links
from runhatch_server.peers._messages import (
    VERSION,
    Envelope,
    Fact,
    LinkClosed,
    Member,
    fact_of_member,
    member_of_fact,
)


class MemberExchange:
    """Keeps links to peers and tells them who is there."""

    def __init__(
        self, membership: Membership, metrics: Metrics, seed: int | None = None
    ) -> None:
        self._membership = membership
        self._metrics = metrics
        self._links: Links | None = None
        self._linked: frozenset[str] = frozenset()
        """Addresses of the peers to which this node keeps links."""
        self._random = random.Random(seed)
        self.met_member = threading.Event()
        """Set when a VM is heard that was not known to live.

        Until it is linked and told what goes on, it cannot serve what needs others.
        """

    def attach(self, links: Links) -> None:
        """Use ``links`` from now on."""
        self._links = links

    def own(self) -> Member:
        """Return the sender's part of every envelope."""
        own = self._membership.own
        standing = self._membership.standing(own.name) or Standing.ALIVE
        return member_of_fact(MemberFact(own, standing))

    def keep_links(self) -> None:
        """Link to the peers that the membership now asks for."""
        if self._links is None:
            return
        peers = choose_peers(self._membership.own, self._membership.alive())
        peers += self.also_linked()
        self._linked = frozenset(vm.address for vm in peers)
        self._links.keep(self._linked)

    def also_linked(self) -> list[Vm]:
        """Return the nodes to link to beside those that keep all connected."""
        return []

    def look_for_members(self, seeds: Iterable[str]) -> None:
        """Make this node known at ``seeds`` while it knows nobody else."""
        if len(self._membership.alive()) > 1:
            return
        for seed in seeds:
            if seed != self._membership.own.address:
                self.tell(seed, self.own())

    def look_round(self) -> None:
        """Suspect silent peers and pass on what is new about members.

        One suspected VM is told so each time, whether linked or not: if it lives
        it refutes that, and after a parted network heals nothing else would.
        """
        for name in self._membership.suspect_silent():
            self._metrics.suspicions.inc()
            log_change("suspected", node=name)
        for fact in self._membership.take_news():
            self.tell_all(member_of_fact(fact))
        suspects = self._membership.suspects()
        if suspects:
            suspect = self._random.choice(suspects)
            self._tell_belief(MemberFact(suspect, Standing.SUSPECT))

    def tell_all(self, fact: Fact) -> None:
        """Send ``fact`` to every linked peer."""
        if self._links is not None:
            self._links.tell_all(fact)

    def tell(self, address: str, fact: Fact) -> None:
        """Send ``fact`` to one address."""
        if self._links is not None:
            self._links.tell(address, [fact])

    def receive(self, envelope: Envelope) -> None:
        """Take in one envelope, unless it is of another version."""
        if envelope.version != VERSION:
            return
        self._hear(envelope)
        for fact in envelope.facts:
            match fact:
                case Member():
                    self._learn_member(fact, envelope.sender)
                case LinkClosed():
                    self._membership.forget(envelope.sender.name)
                case _:
                    self.take_in(fact, envelope.sender)

    def take_in(self, fact: Fact, sender: Member) -> None:
        """Take in a fact that is not about members; for the kinds of nodes."""
        raise NotImplementedError

    def _hear(self, envelope: Envelope) -> None:
        """Take in that a peer lives."""
        sender = fact_of_member(envelope.sender)
        before = self._membership.standing(sender.vm.name)
        believed = self._membership.heartbeat(sender, envelope.linked)
        if before is not Standing.ALIVE:
            self.met_member.set()
        if believed is not None:
            self._tell_belief(believed)

    def _learn_member(self, fact: Member, sender: Member) -> None:
        """Take in what a peer believes of a VM."""
        denied = self._membership.learn([fact_of_member(fact)])
        if denied:
            self.tell(sender.address, self.own())

    def _tell_belief(self, believed: MemberFact) -> None:
        """Tell a VM what is believed of it, so that it can refute it."""
        self.tell(believed.vm.address, member_of_fact(believed))
