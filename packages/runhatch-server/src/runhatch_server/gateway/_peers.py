"""What gateways tell each other: loads, demand, and what targets hold."""

import itertools
from collections import deque
from collections.abc import Callable, Iterable
from datetime import timedelta
from functools import singledispatchmethod

from runhatch_coordination import (
    Clock,
    LeaseRecord,
    Membership,
    Vm,
    choose_readers,
)
from runhatch_server.crashes import CrashWatch, SuspectExchange, SuspectFact
from runhatch_server.fleet import Directory
from runhatch_server.gateway._demand import DemandCounter
from runhatch_server.gateway._known_orderer import NO_RENEWAL, KnownOrderer
from runhatch_server.gateway._load_exchange import LoadExchange
from runhatch_server.gateway._missed import MissedModels
from runhatch_server.gateway._peer_facts import (
    demand_of_share,
    holding_of_told,
    share_of_demand,
    summed_demand,
    told_of_holding,
)
from runhatch_server.gateway._permits import PermitExchange, PermitFact
from runhatch_server.gateway._rate_limits import RateLimits
from runhatch_server.gateway._shared_loads import SharedLoads
from runhatch_server.gateway._tables import GatewayTables
from runhatch_server.observability import Metrics, log_change
from runhatch_server.peers import (
    DrainingTargets,
    Fact,
    HoldingOfTarget,
    Member,
    MemberExchange,
    ModelDemand,
    OrdererNotice,
    OrdererResigned,
    StateAsked,
    TableNews,
    TableVersion,
    TargetHoldings,
    TargetLoads,
    member_of_fact,
)
from runhatch_server.residency import DemandShare, Holding, Resignation, Wanted

DEMAND_KEPT = timedelta(seconds=2)
"""How long demand is kept for an orderer that is not known yet, twice the time in
which each is heard; told later still, it would look like a sudden rise."""
MISSERS_TOLD = timedelta(seconds=2)
"""How long a node that missed a model or adapter is told what targets hold, though it
is not linked.  Adapters are loaded within some 10 ms, and targets' own entries do not
tell of them: requests would be refused for an adapter that is there."""
DEMAND_AGAIN = timedelta(seconds=3)
"""How far back a new orderer is told what was asked for: it knows no demand yet, and
would let models give way that are asked for all the time."""

OnDemand = Callable[[str, list[DemandShare], timedelta], None]


class GatewayPeers(MemberExchange):
    """Facts in and out of one gateway."""

    def __init__(
        self,
        membership: Membership,
        clock: Clock,
        metrics: Metrics,
        loads: SharedLoads,
        limits: RateLimits,
        directory: Directory,
        on_demand: OnDemand,
        on_orderer: Callable[[int, int], None],
        on_resigned: Callable[[Resignation], None],
        tables: GatewayTables,
        crashes: CrashWatch,
    ) -> None:
        super().__init__(membership, metrics)
        self._clock = clock
        self._directory = directory
        self._on_demand = on_demand
        self._on_orderer = on_orderer
        self._on_resigned = on_resigned
        self._tables = tables
        self._orderer = KnownOrderer(clock, metrics)
        self._asks_left = 2
        self._numbers = itertools.count(1)
        self._newest_told: dict[str, tuple[int, int]] = {}
        self.loads = LoadExchange(
            membership, clock, loads, tables, self.tell, self.tell_all
        )
        """What nodes have outstanding at targets, told and heard."""
        self.suspects = SuspectExchange(
            crashes, clock, lambda: [*self._linked], self.tell, self.tell_all
        )
        """Under which requests targets have ended, told and heard."""
        self.permits = PermitExchange(
            limits, membership, clock, self.tell, self.tell_all, directory.wake
        )
        """Rate limits of targets, told and heard, and permits for them."""
        self._told_demand = clock.elapsed()
        self._missers: dict[str, timedelta] = {}
        self._recent: deque[tuple[timedelta, list[DemandShare]]] = deque()
        self._owes_recent = False
        self._missed = MissedModels()

    @property
    def orderer_epoch(self) -> int:
        """The newest epoch of the orders' lease that was heard of."""
        return self._orderer.epoch

    def orderer_is_heard(self) -> bool:
        """Tell whether the node that orders the targets has renewed its lease."""
        return self._orderer.is_heard

    def learn_orderer(self, record: LeaseRecord | None) -> None:
        """Take in who holds the orders' lease by the store.

        A node that has just started has heard no peer yet.
        """
        if record is not None and record.holder and record.epoch > self._orderer.epoch:
            self._orderer_is(record.address, record.epoch)

    def tell_demand(self, counter: DemandCounter) -> None:
        """Send what was counted to the node that orders the targets.

        While none is known it stays counted for a while: dropped, what was missed
        would be loaded only once it is missed again.
        """
        now = self._clock.elapsed()
        if not self._orderer.address and now - self._told_demand < DEMAND_KEPT:
            return
        self._told_demand = now
        while self._recent and now - self._recent[0][0] > DEMAND_AGAIN:
            self._recent.popleft()
        if self._owes_recent and self._orderer.address:
            self._owes_recent = False
            recent = summed_demand(self._recent) + self._missed.shares(now)
            self._send_demand(recent, DEMAND_AGAIN)
        shares = counter.take()
        self._recent.append((now, shares))
        self._missed.note(shares, self._is_held, now)
        self._send_demand(shares, timedelta())

    def _is_held(self, wanted: Wanted) -> bool:
        return bool(
            self._directory.holders(wanted.service, wanted.model, wanted.adapter)
        )

    def _send_demand(self, shares: list[DemandShare], age: timedelta) -> None:
        if not shares:
            return
        own = self._membership.own
        if not self._orderer.address:
            log_change("demand_dropped", shares=len(shares), reason="no orderer known")
        elif self._orderer.address == own.address:
            self._on_demand(own.name, shares, age)
        else:
            demand = [demand_of_share(share) for share in shares]
            age_ms = round(age / timedelta(milliseconds=1))
            self.tell(self._orderer.address, ModelDemand(demand, age_ms))

    def tell_holdings(self, epoch: int, holdings: list[Holding]) -> None:
        """Tell peers, and this node itself, what targets hold."""
        now = self._clock.elapsed()
        told = [told_of_holding(holding, now) for holding in holdings]
        own = self._membership.own.address
        fact = TargetHoldings(epoch, told, next(self._numbers), own)
        self.tell_all(fact)
        self._tables.broadcast([fact])
        for address, until in list(self._missers.items()):
            if now >= until:
                del self._missers[address]
            elif not self._tables.broadcasts:
                self.tell(address, fact)
        self._directory.told_all(
            (holding.target, holding.held, holding.loads) for holding in holdings
        )

    def tell_renewal(self, epoch: int, renewal: int) -> None:
        """Tell peers that this node orders the targets, once a renewal."""
        self._orderer_is(self._membership.own.address, epoch)
        if self._orderer.renewed(epoch, renewal):
            notice = OrdererNotice(epoch, renewal, self._membership.own.address)
            self._orderer.newest_notice = notice
            self.tell_all(notice)

    def tell_resigned(self, resignation: Resignation) -> None:
        """Tell peers that this node orders the targets no longer."""
        self._orderer.resigned(resignation.epoch)
        waits = {
            target: wait.total_seconds() for target, wait in resignation.waits.items()
        }
        others_wait = resignation.others_wait.total_seconds()
        fact = OrdererResigned(resignation.epoch, waits, others_wait)
        self.tell_all(fact)
        self._tables.broadcast([fact])

    def tell_leaving(self, target: str) -> None:
        """Tell peers that ``target`` said in an answer that it leaves."""
        self.tell_all(DrainingTargets((target,)))

    def keep_links(self) -> None:
        """Link to the peers that the membership asks for, and to the orderer.

        The node that orders the targets links to the readers of every failure domain
        as well, which tell the nodes of theirs what it tells.
        """
        super().keep_links()
        if self._links is not None:
            own = self._membership.own.address
            orderer = self._orderer.address
            self._links.hold("" if orderer == own else orderer)
        self._tables.keep_readers()

    def look_for_members(self, seeds: Iterable[str]) -> None:
        """Make this node known, and have one of ``seeds`` tell who is there.

        It is asked twice: when all nodes start together the first answer lacks most.
        """
        others = [seed for seed in seeds if seed != self._membership.own.address]
        super().look_for_members(others)
        if others and self._asks_left:
            self._asks_left -= 1
            self.tell(self._random.choice(others), StateAsked({}, members=True))

    def also_linked(self) -> list[Vm]:
        """Return the nodes to link to beside those that keep all connected.

        The orderer tells all readers; loads go by readers where nodes are many.
        """
        own = self._membership.own
        alive = self._membership.alive()
        others = self.loads.choose_links(alive) + self.permits.choose_links(alive)
        if self._orderer.address != own.address:
            return others
        domains = sorted({vm.failure_domain for vm in alive})
        readers = [vm for domain in domains for vm in choose_readers(domain, alive)]
        return others + [vm for vm in readers if vm.name != own.name]

    def tell_state(self) -> None:
        """Tell, as a reader, what is known of tables and of who orders the targets."""
        notice = self._orderer.newest_notice
        known = notice.epoch > 0 and self.orderer_is_heard()
        self._tables.tell_state([notice] if known else [])

    @singledispatchmethod
    def take_in(self, fact: Fact, sender: Member) -> None:
        """Pass over what only nodes with declared targets tell each other."""

    @take_in.register
    def _take_in_version(self, fact: TableVersion, sender: Member) -> None:
        # Passed on only if it is news, so that it dies out.
        if self._tables.take_in_version(fact):
            self.tell_all(fact)

    @take_in.register
    def _take_in_news(self, fact: TableNews, sender: Member) -> None:
        self._tables.take_in_news(fact, sender)

    @take_in.register
    def _take_in_question(self, fact: StateAsked, sender: Member) -> None:
        answer = self._tables.state_since(fact.versions)
        if fact.members:
            answer += map(member_of_fact, self._membership.facts())
            if self._orderer.newest_notice.epoch:
                answer.append(self._orderer.newest_notice)
            answer += self.permits.state()
        if answer and self._links is not None:
            self._links.tell(sender.address, answer)

    @take_in.register
    def _take_in_leaving(self, fact: DrainingTargets, sender: Member) -> None:
        # Passed on only if it is news, so that it dies out.
        for target in fact.targets:
            if self._directory.leaves(target, source="peer"):
                self.tell_leaving(target)

    @take_in.register
    def _take_in_suspects(self, fact: SuspectFact, sender: Member) -> None:
        self.suspects.take_in(fact, sender)

    @take_in.register
    def _take_in_permits(self, fact: PermitFact, sender: Member) -> None:
        self.permits.take_in(fact, sender)

    @take_in.register
    def _take_in_loads(self, fact: TargetLoads, sender: Member) -> None:
        self.loads.take_in(fact, sender)

    @take_in.register
    def _take_in_demand(self, fact: ModelDemand, sender: Member) -> None:
        shares = [share_of_demand(each) for each in fact.demand]
        missed = [share.wanted for share in shares if share.missed]
        orders = self._orderer.address == self._membership.own.address
        if missed and orders and sender.address not in self._linked:
            self._answer_misser(sender.address, missed)
        self._on_demand(sender.name, shares, timedelta(milliseconds=fact.age_ms))

    @take_in.register
    def _take_in_holdings(self, fact: TargetHoldings, sender: Member) -> None:
        orderer = fact.orderer or sender.address
        if self._orderer.is_behind(fact.epoch, orderer):
            return
        self._orderer_is(orderer, fact.epoch)
        if sender.address == orderer and self._tables.reads:
            self._tables.broadcast([fact])
        now = self._clock.elapsed()
        self._directory.told_all(
            holding_of_told(holding, now) for holding in self._news_of(fact)
        )

    @take_in.register
    def _take_in_orderer(self, fact: OrdererNotice, sender: Member) -> None:
        orderer = fact.orderer or sender.address
        if self._orderer.is_behind(fact.epoch, orderer):
            return
        self._orderer_is(orderer, fact.epoch)
        if not self._orderer.renewed(fact.epoch, fact.renewal):
            return
        notice = OrdererNotice(fact.epoch, fact.renewal, orderer)
        self._orderer.newest_notice = notice
        self._on_orderer(fact.epoch, fact.renewal)

    @take_in.register
    def _take_in_resigned(self, fact: OrdererResigned, sender: Member) -> None:
        if fact.epoch < self._orderer.epoch:
            return
        self._orderer.resigned(fact.epoch)
        waits = {target: timedelta(seconds=wait) for target, wait in fact.waits.items()}
        others_wait = timedelta(seconds=fact.others_wait)
        self._on_resigned(Resignation(fact.epoch, waits, others_wait))
        if sender.address == self._orderer.address and self._tables.reads:
            self._tables.broadcast([fact])

    def _news_of(self, fact: TargetHoldings) -> list[HoldingOfTarget]:
        """Return what ``fact`` tells of targets of which nothing newer was told."""
        if not fact.number:
            return fact.holdings
        told = (fact.epoch, fact.number)
        news = [
            holding
            for holding in fact.holdings
            if told > self._newest_told.get(holding.target, (0, 0))
        ]
        self._newest_told.update((holding.target, told) for holding in news)
        return news

    def _answer_misser(self, address: str, missed: list[Wanted]) -> None:
        """Tell a node that is not linked who holds what it did not find."""
        now = self._clock.elapsed()
        self._missers[address] = now + MISSERS_TOLD
        holders = {
            target.incarnation: target.held
            for wanted in missed
            for target in self._directory.holders(
                wanted.service, wanted.model, wanted.adapter
            )
        }
        if not holders:
            return
        holdings = [
            Holding(target, held, self._directory.loads_at(target))
            for target, held in holders.items()
        ]
        told = [told_of_holding(holding, now) for holding in holdings]
        self.tell(address, TargetHoldings(self._orderer.epoch, told))

    def _orderer_is(self, address: str, epoch: int) -> None:
        if self._orderer.learn(address, epoch):
            self._on_orderer(epoch, NO_RENEWAL)
            self._owes_recent = True
            self._newest_told.clear()
