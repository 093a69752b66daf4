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
from runhatch_server.peers._link import OnSent
from runhatch_server.peers._links import Links
from runhatch_server.peers._messages import (
    PROTOCOL_VERSION,
    Envelope,
    Fact,
    LinkClosed,
    Member,
    fact_from_message,
    message_from_fact,
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
        self.member_changed = threading.Event()
        """Set on the message of a VM that changes its recorded standing.

        Until a new VM has links and the current state, it cannot serve requests that
        depend on other nodes.  Other messages don't set it: each causes messages to all
        peers, so that two VMs that drain would answer each other without a pause.
        """

    def attach_links(self, links: Links) -> None:
        """Send over ``links`` from now on."""
        self._links = links

    def own_member(self) -> Member:
        """Return this node's membership fact, the sender of its envelopes."""
        own = self._membership.own
        standing = self._membership.standing(own.name) or Standing.ALIVE
        return message_from_fact(MemberFact(own, standing))

    def update_links(self) -> None:
        """Open and close links as the current membership requires."""
        if self._links is None:
            return
        peers = choose_peers(self._membership.own, self._membership.alive())
        peers += self.additional_peers()
        self._linked = frozenset(vm.address for vm in peers)
        self._links.set_peers(self._linked)

    def additional_peers(self) -> list[Vm]:
        """Return nodes to link to in addition to the peers of the overlay."""
        return []

    def announce_to_seeds(self, seeds: Iterable[str]) -> None:
        """Announce this node to ``seeds`` while it knows no other member."""
        if len(self._membership.alive()) > 1:
            return
        for seed in seeds:
            if seed != self._membership.own.address:
                self.send(seed, self.own_member())

    def check_members(self) -> None:
        """Suspect silent peers and publish changes of members.

        Each call also notifies one suspected VM, linked or not, so that it can refute
        the suspicion.  After a network partition heals, nothing else would do so.
        """
        for name in self._membership.suspect_silent_peers():
            self._metrics.suspicions.inc()
            log_change("suspected", node=name)
        for fact in self._membership.take_pending_facts():
            self.publish(message_from_fact(fact))
        suspects = self._membership.suspects()
        if suspects:
            suspect = self._random.choice(suspects)
            self._send_recorded_fact(MemberFact(suspect, Standing.SUSPECT))

    def publish(self, fact: Fact) -> None:
        """Send ``fact`` to every linked peer."""
        if self._links is not None:
            self._links.publish(fact)

    def send(self, address: str, fact: Fact, on_sent: OnSent | None = None) -> None:
        """Send ``fact`` to one address; ``on_sent`` is called once it is sent."""
        if self._links is not None:
            self._links.send(address, [fact], on_sent)

    def reopen_link(self, address: str) -> None:
        """Replace the connection to ``address``, if there is one, by a new one."""
        if self._links is not None:
            self._links.reopen(address)

    def receive(self, envelope: Envelope) -> None:
        """Handle one envelope; ignores those of another protocol version."""
        if envelope.version != PROTOCOL_VERSION:
            return
        self._record_heartbeat(envelope)
        for fact in envelope.facts:
            match fact:
                case Member():
                    self._apply_member(fact, envelope.sender)
                case LinkClosed():
                    self._membership.stop_timing(envelope.sender.name)
                case _:
                    self.handle_message(fact, envelope.sender)

    def handle_message(self, fact: Fact, sender: Member) -> None:
        """Handle a fact that is not about members; implemented by subclasses."""
        raise NotImplementedError

    def _record_heartbeat(self, envelope: Envelope) -> None:
        """Record the heartbeat of the sender, and notify it if it is suspected."""
        sender = fact_from_message(envelope.sender)
        previous = self._membership.find(sender.vm.name)
        recorded = self._membership.record_heartbeat(sender, envelope.is_linked)
        standing = None if previous is None else previous.standing
        if self._membership.standing(sender.vm.name) is not standing:
            self.member_changed.set()
        self._reopen_outdated_link(previous)
        if recorded is not None:
            self._send_recorded_fact(recorded)

    def _apply_member(self, fact: Member, sender: Member) -> None:
        """Apply a peer's fact; refute it if it says that this node is not alive.

        A linked peer that says so gets no heartbeats from this node: the connection may
        have gone silent without being closed, and would then lose the refutation too.
        """
        previous = self._membership.find(fact.name)
        is_contradicted = self._membership.merge_facts([fact_from_message(fact)])
        self._reopen_outdated_link(previous)
        if is_contradicted:
            self.reopen_link(sender.address)
            self.send(sender.address, self.own_member())

    def _reopen_outdated_link(self, previous: MemberFact | None) -> None:
        """Reopen the link to a VM that has a newer incarnation than ``previous``.

        Its process may be new.  A link to a process that has ended waits longer before
        each attempt to reconnect.
        """
        if previous is None or previous.vm.name == self._membership.own.name:
            return
        current = self._membership.find(previous.vm.name)
        if current and current.vm.incarnation > previous.vm.incarnation:
            self.reopen_link(current.vm.address)

    def _send_recorded_fact(self, fact: MemberFact) -> None:
        """Send a VM the membership fact recorded for it, so that it can refute it."""
        self.send(fact.vm.address, message_from_fact(fact))
