"""Sends messages to the peers of a node and handles the messages they send."""

from collections.abc import Callable
from functools import singledispatchmethod

from runhatch_coordination import (
    ORIGIN,
    Clock,
    Membership,
    Revision,
    RevisionEntry,
    RevisionFeed,
    Standing,
)
from runhatch_server.crashes import CrashDetector, SuspectExchange, SuspectMessage
from runhatch_server.observability import Metrics
from runhatch_server.peers._exchange import MemberExchange
from runhatch_server.peers._messages import (
    DemandCounts,
    DrainingTargets,
    Fact,
    HostingFact,
    HostingsDigest,
    Member,
    PlannerNotice,
    RevisionBody,
    RevisionNotice,
    StateRequest,
    message_from_fact,
)
from runhatch_server.serving import Hosting, PlacementCache


class PeerService(MemberExchange):
    """Exchanges facts with peers; the platform's store stays authoritative."""

    def __init__(
        self,
        membership: Membership,
        feed: RevisionFeed,
        placement_cache: PlacementCache,
        metrics: Metrics,
        on_notice: Callable[[int], None],
        on_hosting: Callable[[Hosting], bool],
        on_draining: Callable[[frozenset[str]], bool],
        on_demand: Callable[[dict[str, int]], None],
        on_planner: Callable[[PlannerNotice], bool],
        get_planner_notices: Callable[[], list[PlannerNotice]],
        crash_detector: CrashDetector,
        clock: Clock,
        seed: int | None = None,
    ) -> None:
        super().__init__(membership, metrics, seed)
        self._feed = feed
        self._placement_cache = placement_cache
        self._on_notice = on_notice
        self._on_hosting = on_hosting
        self._on_draining = on_draining
        self._on_demand = on_demand
        self._on_planner = on_planner
        self._get_planner_notices = get_planner_notices
        self._mismatched_peers: set[str] = set()
        self.suspect_exchange = SuspectExchange(
            crash_detector, clock, lambda: [*self._linked], self.send, self.publish
        )
        """Exchanges the requests during which targets have ended."""

    def publish_revision(self, position: int) -> None:
        """Notify peers that the revision at ``position`` is in force on this node."""
        self.publish(RevisionNotice(position))

    def publish_held_revision(self) -> None:
        """Notify peers of the revision in force on this node, with each heartbeat.

        A node whose links were not open when it was published learns of it so.
        """
        if self._feed.position > ORIGIN:
            self.publish_revision(self._feed.position)

    def publish_hosting(self, hosting: Hosting) -> None:
        """Send peers the units that a target serves."""
        self.publish(HostingFact(hosting.target, hosting.version, hosting.units))

    def publish_digest(self) -> None:
        """Send peers the digest of the hostings, so that they detect a difference."""
        self.publish(HostingsDigest(self._placement_cache.digest))

    def publish_draining(self, targets: frozenset[str]) -> None:
        """Send peers the names of targets that drain."""
        self.publish(DrainingTargets(tuple(sorted(targets))))

    def send_demand(self, address: str, counts: dict[str, int]) -> None:
        """Send demand counts to the planner at ``address``."""
        if self._links is not None:
            self._links.send(address, [DemandCounts(counts)])

    def request_state(self) -> None:
        """Request the configuration and the hostings from a random peer."""
        peers = [
            vm
            for vm in self._membership.alive()
            if vm.name != self._membership.own.name
        ]
        if self._links is not None and peers:
            request = StateRequest(self._feed.position, self._membership.own.address)
            self._links.send(self._random.choice(peers).address, [request])

    @singledispatchmethod
    def handle_message(self, fact: Fact, sender: Member) -> None:
        """Handle a fact by type; raise ``NotImplementedError`` for other types."""
        raise NotImplementedError(type(fact))

    @handle_message.register
    def _handle_revision_notice(self, fact: RevisionNotice, sender: Member) -> None:
        self._on_notice(fact.number)

    @handle_message.register
    def _handle_revision_body(self, fact: RevisionBody, sender: Member) -> None:
        self._feed.offer(_decode_revision(fact))

    @handle_message.register
    def _handle_hosting(self, fact: HostingFact, sender: Member) -> None:
        # Forwarded only if it changed something, so that forwarding ends.
        if self._on_hosting(Hosting(fact.target, fact.version, fact.units)):
            self.publish(fact)

    @handle_message.register
    def _handle_draining(self, fact: DrainingTargets, sender: Member) -> None:
        if self._on_draining(frozenset(fact.targets)):
            self.publish(fact)

    @handle_message.register
    def _handle_demand(self, fact: DemandCounts, sender: Member) -> None:
        self._on_demand(fact.counts)

    @handle_message.register
    def _handle_planner(self, fact: PlannerNotice, sender: Member) -> None:
        if self._on_planner(fact):
            self.publish(fact)

    @handle_message.register
    def _handle_digest(self, fact: HostingsDigest, sender: Member) -> None:
        self._compare_digest(sender, fact.digest)

    @handle_message.register
    def _handle_suspects(self, fact: SuspectMessage, sender: Member) -> None:
        self.suspect_exchange.handle_message(fact, sender)

    @handle_message.register
    def _handle_state_request(self, fact: StateRequest, sender: Member) -> None:
        self._send_state(fact.known, fact.reply_to)

    def _compare_digest(self, sender: Member, digest: int) -> None:
        """Request all hostings if the sender's digest differs twice in a row.

        A single difference may be an update that has not arrived yet.
        """
        if digest == self._placement_cache.digest:
            self._mismatched_peers.discard(sender.name)
        elif sender.name not in self._mismatched_peers:
            self._mismatched_peers.add(sender.name)
        elif self._links is not None:
            self._mismatched_peers.discard(sender.name)
            request = StateRequest(self._feed.position, self._membership.own.address)
            self._links.send(sender.address, [request])

    def _send_state(self, known: int, reply_to: str) -> None:
        facts: list[Fact] = [
            HostingFact(hosting.target, hosting.version, hosting.units)
            for hosting in self._placement_cache.hostings()
        ]
        facts += self._get_planner_notices()
        # A node that has just started has received no heartbeats and would assume that
        # failed nodes are alive.
        facts += [
            message_from_fact(fact)
            for fact in self._membership.facts()
            if fact.standing is not Standing.ALIVE
        ]
        current = self._feed.current
        if current is not None and current.entry.position > known:
            facts.insert(0, _encode_revision(current))
        if self._links is not None and facts:
            self._links.send(reply_to, facts)


def _encode_revision(revision: Revision) -> RevisionBody:
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
        entry.era,
    )


def _decode_revision(message: RevisionBody) -> Revision:
    entry = RevisionEntry(
        message.number,
        message.operation,
        message.author,
        message.at,
        message.note,
        message.body_name,
        message.digest,
        message.era,
    )
    return Revision(entry, message.body)
