"""What a node tells its peers and makes of what they tell it."""

from collections.abc import Callable
from functools import singledispatchmethod

from runhatch_coordination import (
    Clock,
    Membership,
    Revision,
    RevisionEntry,
    RevisionFeed,
    Standing,
)
from runhatch_server.crashes import CrashWatch, SuspectExchange, SuspectFact
from runhatch_server.observability import Metrics
from runhatch_server.peers._exchange import MemberExchange
from runhatch_server.peers._messages import (
    DemandCounts,
    DrainingTargets,
    Fact,
    HostingFact,
    Member,
    PictureDigest,
    PlannerNotice,
    RevisionBody,
    RevisionNotice,
    StateWanted,
    member_of_fact,
)
from runhatch_server.serving import Hosting, Picture


class PeerService(MemberExchange):
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
        on_planner: Callable[[PlannerNotice], bool],
        planners: Callable[[], list[PlannerNotice]],
        crashes: CrashWatch,
        clock: Clock,
        seed: int | None = None,
    ) -> None:
        super().__init__(membership, metrics, seed)
        self._feed = feed
        self._picture = picture
        self._on_notice = on_notice
        self._on_hosting = on_hosting
        self._on_draining = on_draining
        self._on_demand = on_demand
        self._on_planner = on_planner
        self._planners = planners
        self._differing: set[str] = set()
        self.suspects = SuspectExchange(
            crashes, clock, lambda: [*self._linked], self.tell, self.tell_all
        )
        """Under which requests targets have ended, told and heard."""

    def tell_revision(self, position: int) -> None:
        """Tell peers that the revision at ``position`` is in force here."""
        self.tell_all(RevisionNotice(position))

    def tell_hosting(self, hosting: Hosting) -> None:
        """Tell peers what a target serves."""
        self.tell_all(HostingFact(hosting.target, hosting.version, hosting.units))

    def tell_digest(self) -> None:
        """Let peers find out whether they lack a hosting."""
        self.tell_all(PictureDigest(self._picture.digest))

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
            wanted = StateWanted(self._feed.position, self._membership.own.address)
            self._links.tell(self._random.choice(others).address, [wanted])

    @singledispatchmethod
    def take_in(self, fact: Fact, sender: Member) -> None:
        """Pass over nothing: every other fact is of these nodes."""
        raise NotImplementedError(type(fact))

    @take_in.register
    def _take_in_notice(self, fact: RevisionNotice, sender: Member) -> None:
        self._on_notice(fact.number)

    @take_in.register
    def _take_in_body(self, fact: RevisionBody, sender: Member) -> None:
        self._feed.offer(_revision(fact))

    @take_in.register
    def _take_in_hosting(self, fact: HostingFact, sender: Member) -> None:
        # Passed on only if it was news, so that it dies out.
        if self._on_hosting(Hosting(fact.target, fact.version, fact.units)):
            self.tell_all(fact)

    @take_in.register
    def _take_in_draining(self, fact: DrainingTargets, sender: Member) -> None:
        if self._on_draining(frozenset(fact.targets)):
            self.tell_all(fact)

    @take_in.register
    def _take_in_demand(self, fact: DemandCounts, sender: Member) -> None:
        self._on_demand(fact.counts)

    @take_in.register
    def _take_in_planner(self, fact: PlannerNotice, sender: Member) -> None:
        if self._on_planner(fact):
            self.tell_all(fact)

    @take_in.register
    def _take_in_digest(self, fact: PictureDigest, sender: Member) -> None:
        self._compare(sender, fact.digest)

    @take_in.register
    def _take_in_suspects(self, fact: SuspectFact, sender: Member) -> None:
        self.suspects.take_in(fact, sender)

    @take_in.register
    def _take_in_wanted(self, fact: StateWanted, sender: Member) -> None:
        self._reply(fact.known, fact.reply_to)

    def _compare(self, sender: Member, digest: int) -> None:
        """Ask for all hostings if the sender's differ twice in a row.

        Once may be a change that is still on its way.
        """
        if digest == self._picture.digest:
            self._differing.discard(sender.name)
        elif sender.name not in self._differing:
            self._differing.add(sender.name)
        elif self._links is not None:
            self._differing.discard(sender.name)
            wanted = StateWanted(self._feed.position, self._membership.own.address)
            self._links.tell(sender.address, [wanted])

    def _reply(self, known: int, reply_to: str) -> None:
        facts: list[Fact] = [
            HostingFact(hosting.target, hosting.version, hosting.units)
            for hosting in self._picture.hostings()
        ]
        facts += self._planners()
        # Who starts now has heard nobody, and would take the dead for alive.
        facts += [
            member_of_fact(fact)
            for fact in self._membership.facts()
            if fact.standing is not Standing.ALIVE
        ]
        current = self._feed.current
        if current is not None and current.entry.position > known:
            facts.insert(0, _body(current))
        if self._links is not None and facts:
            self._links.tell(reply_to, facts)


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
        entry.era,
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
        message.era,
    )
    return Revision(entry, message.body)
