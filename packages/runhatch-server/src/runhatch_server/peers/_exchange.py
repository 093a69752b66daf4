"""Membership between nodes: heartbeats, links to peers and changes of members."""

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
    """Keeps links to peers and exchanges membership facts with them."""

    def __init__(
        self, membership: Membership, metrics: Metrics, seed: int | None = None
    ) -> None:
        self._membership = membership
        self._metrics = metrics
        self._links: Links | None = None
        self._linked: frozenset[str] = frozenset()
        """Addresses of the peers that this node is linked to."""
        self._random = random.Random(seed)
        self.met_member = threading.Event()
        """Set on a message from a VM that was not known to be alive.

        Until that VM has links and the current state, it cannot serve requests that
        depend on other nodes.
        """

    def attach(self, links: Links) -> None:
        """Send over ``links`` from now on."""
        self._links = links

    def own(self) -> Member:
        """Return this node's membership fact, the sender of its envelopes."""
        own = self._membership.own
        standing = self._membership.standing(own.name) or Standing.ALIVE
        return member_of_fact(MemberFact(own, standing))

    def keep_links(self) -> None:
        """Open and close links as the current membership requires."""
        if self._links is None:
            return
        peers = choose_peers(self._membership.own, self._membership.alive())
        peers += self.also_linked()
        self._linked = frozenset(vm.address for vm in peers)
        self._links.keep(self._linked)

    def also_linked(self) -> list[Vm]:
        """Return nodes to link to in addition to the peers of the overlay."""
        return []

    def look_for_members(self, seeds: Iterable[str]) -> None:
        """Announce this node to ``seeds`` while it knows no other member."""
        if len(self._membership.alive()) > 1:
            return
        for seed in seeds:
            if seed != self._membership.own.address:
                self.tell(seed, self.own())

    def look_round(self) -> None:
        """Suspect silent peers and publish changes of members.

        Each call also notifies one suspected VM, linked or not, so that it can refute
        the suspicion.  After a network partition heals, nothing else would do so.
        """
        for name in self._membership.suspect_silent():
            self._metrics.suspicions.inc()
            log_change("suspected", node=name)
        for fact in self._membership.take_news():
            self.tell_all(member_of_fact(fact))
        suspects = self._membership.suspects()
        if suspects:
            suspect = self._random.choice(suspects)
            self._send_recorded_fact(MemberFact(suspect, Standing.SUSPECT))

    def tell_all(self, fact: Fact) -> None:
        """Send ``fact`` to every linked peer."""
        if self._links is not None:
            self._links.tell_all(fact)

    def tell(self, address: str, fact: Fact) -> None:
        """Send ``fact`` to one address."""
        if self._links is not None:
            self._links.tell(address, [fact])

    def receive(self, envelope: Envelope) -> None:
        """Handle one envelope; ignores those of another protocol version."""
        if envelope.version != VERSION:
            return
        self._record_heartbeat(envelope)
        for fact in envelope.facts:
            match fact:
                case Member():
                    self._apply_member(fact, envelope.sender)
                case LinkClosed():
                    self._membership.forget(envelope.sender.name)
                case _:
                    self.take_in(fact, envelope.sender)

    def take_in(self, fact: Fact, sender: Member) -> None:
        """Handle a fact that is not about members; implemented by subclasses."""
        raise NotImplementedError

    def _record_heartbeat(self, envelope: Envelope) -> None:
        """Record the heartbeat of the sender, and notify it if it is suspected."""
        sender = fact_of_member(envelope.sender)
        previous = self._membership.standing(sender.vm.name)
        recorded = self._membership.heartbeat(sender, envelope.linked)
        if previous is not Standing.ALIVE:
            self.met_member.set()
        if recorded is not None:
            self._send_recorded_fact(recorded)

    def _apply_member(self, fact: Member, sender: Member) -> None:
        """Apply a peer's fact; refute it if it says that this node is not alive."""
        is_contradicted = self._membership.learn([fact_of_member(fact)])
        if is_contradicted:
            self.tell(sender.address, self.own())

    def _send_recorded_fact(self, fact: MemberFact) -> None:
        """Send a VM the membership fact recorded for it, so that it can refute it."""
        self.tell(fact.vm.address, member_of_fact(fact))
