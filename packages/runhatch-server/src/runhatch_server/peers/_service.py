"""What a node tells its peers and makes of what they tell it."""

import random
from collections.abc import Callable
from datetime import timedelta

from runhatch_coordination import (
    MemberFact,
    Membership,
    Revision,
    RevisionEntry,
    RevisionFeed,
    Standing,
    choose_peers,
)
from runhatch_server.observability import Metrics, log_change
from runhatch_server.peers._links import PeerLinks
from runhatch_server.peers._messages import (
    VERSION,
    DemandCounts,
    DrainingTargets,
    Envelope,
    Fact,
    HostingFact,
    Member,
    RevisionBody,
    RevisionNotice,
    StateWanted,
    fact_of_member,
    member_of_fact,
)
from runhatch_server.serving import Hosting, Picture

DEMAND_MESSAGES_A_SECOND = 20
"""What a planner takes in; nodes space their counts so as to keep to it."""
SHORTEST_DEMAND_PERIOD = timedelta(seconds=1)


class PeerService:
    """Facts in and out of one node; truth stays with the platform's store."""

    def __init__(
        self,
        membership: Membership,
        feed: RevisionFeed,
        picture: Picture,
        metrics: Metrics,
        on_notice: Callable[[int], None],
        on_hosting: Callable[[Hosting], bool],
        on_draining: Callable[[frozenset[str]], bool],
        on_demand: Callable[[dict[str, int]], None],
    ) -> None:
        self._membership = membership
        self._feed = feed
        self._picture = picture
        self._metrics = metrics
        self._on_notice = on_notice
        self._on_hosting = on_hosting
        self._on_draining = on_draining
        self._on_demand = on_demand
        self._links: PeerLinks | None = None

    def attach(self, links: PeerLinks) -> None:
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
        self._links.keep(frozenset(vm.address for vm in peers))

    def look_round(self) -> None:
        """Suspect silent peers and pass on what is new about members."""
        for name in self._membership.suspect_silent():
            self._metrics.suspicions.inc()
            log_change("suspected", node=name)
        for fact in self._membership.take_news():
            self.tell_all(member_of_fact(fact))

    def tell_revision(self, number: int) -> None:
        """Tell peers that revision ``number`` is in force here."""
        self.tell_all(RevisionNotice(number))

    def tell_hosting(self, hosting: Hosting) -> None:
        """Tell peers what a target serves."""
        self.tell_all(HostingFact(hosting.target, hosting.version, hosting.units))

    def tell_draining(self, targets: frozenset[str]) -> None:
        """Tell peers of targets seen draining."""
        self.tell_all(DrainingTargets(tuple(sorted(targets))))

    def tell_demand(self, address: str, counts: dict[str, int]) -> None:
        """Send demand counts to the planner at ``address``."""
        if self._links is not None:
            self._links.tell(address, [DemandCounts(counts)])

    def ask_for_state(self) -> None:
        """Ask one peer for its configuration and picture."""
        others = [
            vm
            for vm in self._membership.alive()
            if vm.name != self._membership.own.name
        ]
        if self._links is not None and others:
            wanted = StateWanted(self._feed.number, self._membership.own.address)
            self._links.tell(random.choice(others).address, [wanted])

    def tell_all(self, fact: Fact) -> None:
        """Send ``fact`` to every linked peer."""
        if self._links is not None:
            self._links.tell_all(fact)

    def receive(self, envelope: Envelope) -> None:
        """Take in one envelope."""
        if envelope.version != VERSION:
            return
        sender = fact_of_member(envelope.sender)
        self._membership.heartbeat(sender.vm)
        self._membership.learn([sender])
        for fact in envelope.facts:
            self._take_in(fact)

    def _take_in(self, fact: Fact) -> None:
        match fact:
            case Member():
                self._membership.learn([fact_of_member(fact)])
            case RevisionNotice(number):
                self._on_notice(number)
            case RevisionBody():
                self._feed.offer(_revision(fact))
            case HostingFact(target, version, units):
                # Passed on only if it was news, so that it dies out.
                if self._on_hosting(Hosting(target, version, units)):
                    self.tell_all(fact)
            case DrainingTargets(targets):
                if self._on_draining(frozenset(targets)):
                    self.tell_all(fact)
            case DemandCounts(counts):
                self._on_demand(counts)
            case StateWanted(known, reply_to):
                self._reply(known, reply_to)

    def _reply(self, known: int, reply_to: str) -> None:
        facts: list[Fact] = [
            HostingFact(hosting.target, hosting.version, hosting.units)
            for hosting in self._picture.hostings()
        ]
        current = self._feed.current
        if current is not None and current.entry.number > known:
            facts.insert(0, _body(current))
        if self._links is not None and facts:
            self._links.tell(reply_to, facts)


def demand_period(nodes: int) -> timedelta:
    """Return how long a node waits between two counts to a planner.

    >>> demand_period(9).total_seconds(), demand_period(390).total_seconds()
    (1.0, 19.5)
    """
    return max(
        SHORTEST_DEMAND_PERIOD, timedelta(seconds=nodes / DEMAND_MESSAGES_A_SECOND)
    )


def _body(revision: Revision) -> RevisionBody:
    entry = revision.entry
    return RevisionBody(
        entry.number,
        entry.operation,
        entry.author,
        entry.at,
        entry.note,
        entry.body_name,
        entry.digest,
        revision.body,
    )


def _revision(message: RevisionBody) -> Revision:
    entry = RevisionEntry(
        message.number,
        message.operation,
        message.author,
        message.at,
        message.note,
        message.body_name,
        message.digest,
    )
    return Revision(entry, message.body)
