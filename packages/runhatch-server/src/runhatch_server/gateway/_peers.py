"""Messages between gateways: loads, demand, and the models that targets hold."""

import itertools
from collections import deque
from collections.abc import Callable, Iterable
from datetime import timedelta
from functools import singledispatchmethod

from runhatch_coordination import (
    Clock,
    LeaseRecord,
    Membership,
    StoreTime,
    Vm,
    choose_readers,
)
from runhatch_server.crashes import (
    CrashDetector,
    RefusalCheck,
    RefusalMessage,
    SuspectExchange,
    SuspectMessage,
)
from runhatch_server.fleet import TargetDirectory
from runhatch_server.gateway._demand import DemandCounter
from runhatch_server.gateway._holdings_relay import HoldingsRelay
from runhatch_server.gateway._known_orderer import UNKNOWN_RENEWAL, KnownOrderer
from runhatch_server.gateway._load_exchange import LoadExchange
from runhatch_server.gateway._missed_models import MissedModels
from runhatch_server.gateway._peer_conversions import (
    demand_of_message,
    holding_of_message,
    message_of_demand,
    message_of_holding,
    sum_demand,
)
from runhatch_server.gateway._permits import PermitExchange, PermitFact
from runhatch_server.gateway._prompt_permits import PromptFact, PromptPermits
from runhatch_server.gateway._rate_limits import RateLimits
from runhatch_server.gateway._rooms import count_slots
from runhatch_server.gateway._shared_loads import SharedLoads
from runhatch_server.gateway._stream_version_exchange import (
    StreamVersionExchange,
    StreamVersionMessage,
)
from runhatch_server.gateway._tables import GatewayTables
from runhatch_server.observability import Metrics, log_change
from runhatch_server.peers import (
    DemandReport,
    DrainingTargets,
    Fact,
    HoldingOfTarget,
    Member,
    MemberExchange,
    OrdererNotice,
    OrdererResigned,
    TableConfirmation,
    TableStateRequest,
    TableUpdate,
    TableVersion,
    TargetHoldings,
    TargetLoads,
    message_from_fact,
)
from runhatch_server.residency import DemandKey, DemandShare, Holding, Resignation
from runhatch_server.routing import UsageCap
from runhatch_server.workspaces import (
    StoreTimeExchange,
    StoreTimeMessage,
    UsageExchange,
    UsageMessage,
)

DEMAND_RETENTION = timedelta(seconds=2)
"""How long demand is kept while no orderer is known: twice the time within which a
new orderer is normally known.  Sent later, it would look like a sudden rise."""
UNLINKED_HOLDINGS_WINDOW = timedelta(seconds=2)
"""How long the orderer sends the holdings of targets to a node that has no link to it
and missed a model or adapter.  Adapters load in some 10 ms, and the targets' entries in
the store don't list them, so requests would be refused for a loaded adapter."""
RECENT_DEMAND_WINDOW = timedelta(seconds=3)
"""Period of past demand that is sent to a new orderer.  It knows no demand yet, and
would evict models that are requested all the time."""

DemandCallback = Callable[[str, list[DemandShare], timedelta], None]


class GatewayPeers(MemberExchange):
    """Exchanges the facts of one gateway with its peers."""

    def __init__(
        self,
        membership: Membership,
        clock: Clock,
        metrics: Metrics,
        loads: SharedLoads,
        limits: RateLimits,
        directory: TargetDirectory,
        on_demand: DemandCallback,
        on_orderer: Callable[[int, int], None],
        on_resigned: Callable[[Resignation], None],
        tables: GatewayTables,
        crashes: CrashDetector,
        probe_refusal: Callable[[str], bool | None],
        has_several_versions: Callable[[str], bool],
        record_seen: Callable[[str, str, timedelta], None],
        can_deny: Callable[[str], bool],
        find_cap: Callable[[str], UsageCap | None],
        store_time: StoreTime,
    ) -> None:
        super().__init__(membership, metrics)
        self._clock = clock
        self._directory = directory
        self._on_demand = on_demand
        self._on_orderer = on_orderer
        self._on_resigned = on_resigned
        self._tables = tables
        self._orderer = KnownOrderer(clock, metrics)
        self._member_requests_left = 2
        self._holdings_numbers = itertools.count(1)
        self._newest_holdings: dict[str, tuple[int, int]] = {}
        self.loads = LoadExchange(
            membership, clock, loads, tables, self.send, self.publish
        )
        """Exchange of the outstanding loads at targets."""
        self.relay = HoldingsRelay(tables, clock)
        """Relay of the holdings of targets to the nodes of this failure domain."""
        self.suspects = SuspectExchange(
            crashes, clock, lambda: [*self._linked], self.send, self.publish
        )
        """Exchange of the requests during which targets have ended."""
        self.refusals = RefusalCheck(probe_refusal, lambda: [*self._linked], self.send)
        """Confirms with peers that targets refuse connections."""
        self.permits = PermitExchange(
            limits,
            membership,
            clock,
            self.send,
            self.publish,
            directory.notify_waiters,
            lambda target: count_slots(directory, target),
        )
        """Exchange of the rate limits of targets and of permits for them."""
        self.prompts = PromptPermits(
            membership,
            clock,
            metrics,
            self.send,
            directory.notify_waiters,
            loads.known_prompts,
        )
        """Permits for prompts."""
        self.stream_versions = StreamVersionExchange(
            membership,
            clock,
            has_several_versions,
            record_seen,
            can_deny,
            self.send,
            self.reopen_link,
        )
        """Exchange of the software versions that began streams."""
        self.usage = UsageExchange(membership, clock, find_cap, self.send)
        """Exchange of what workspaces use."""
        self.store_time = StoreTimeExchange(
            store_time, clock, lambda: [*self._linked], self.send
        )
        """Exchange of the store's time."""
        self._demand_sent_at = clock.elapsed()
        self._send_holdings_until: dict[str, timedelta] = {}
        self._recent_demand: deque[tuple[timedelta, list[DemandShare]]] = deque()
        self._must_send_recent_demand = False
        self._missed = MissedModels()

    @property
    def orderer_epoch(self) -> int:
        """The newest known epoch of the orders' lease."""
        return self._orderer.epoch

    def has_active_orderer(self) -> bool:
        """Return whether a recent renewal of the orderer's lease is known."""
        return self._orderer.renewed_recently

    def record_lease(self, record: LeaseRecord | None) -> None:
        """Record the holder of the orders' lease from its record in the store.

        A node that has just started knows it only from the store, as it has received
        no message of a peer yet.
        """
        if record is not None and record.holder and record.epoch > self._orderer.epoch:
            self._record_orderer(record.address, record.epoch)

    def send_demand(self, counter: DemandCounter) -> None:
        """Send the counted demand to the orderer.

        While no orderer is known the demand stays counted for a while.  If it were
        dropped, a missed model would be loaded only after another miss.
        """
        now = self._clock.elapsed()
        if not self._orderer.address and now - self._demand_sent_at < DEMAND_RETENTION:
            return
        self._demand_sent_at = now
        while (
            self._recent_demand
            and now - self._recent_demand[0][0] > RECENT_DEMAND_WINDOW
        ):
            self._recent_demand.popleft()
        if self._must_send_recent_demand and self._orderer.address:
            self._must_send_recent_demand = False
            recent = sum_demand(self._recent_demand) + self._missed.shares(now)
            self._send_shares(recent, RECENT_DEMAND_WINDOW)
        shares = counter.pop_shares()
        self._recent_demand.append((now, shares))
        self._missed.update(shares, self._is_held, now)
        self._send_shares(shares, timedelta())

    def _is_held(self, key: DemandKey) -> bool:
        return bool(self._directory.holders(key.service, key.model, key.adapter))

    def _send_shares(self, shares: list[DemandShare], age: timedelta) -> None:
        if not shares:
            return
        own = self._membership.own
        if not self._orderer.address:
            log_change("demand_dropped", shares=len(shares), reason="no orderer known")
        elif self._orderer.address == own.address:
            self._on_demand(own.name, shares, age)
        else:
            demand = [message_of_demand(share) for share in shares]
            age_ms = round(age / timedelta(milliseconds=1))
            self.send(self._orderer.address, DemandReport(demand, age_ms))

    def publish_holdings(self, epoch: int, holdings: list[Holding]) -> None:
        """Publish the models that targets hold to peers, and apply them here."""
        now = self._clock.elapsed()
        messages = [message_of_holding(holding, now) for holding in holdings]
        own = self._membership.own.address
        fact = TargetHoldings(epoch, messages, next(self._holdings_numbers), own)
        self.publish(fact)
        self.relay.add(fact)
        for address, until in list(self._send_holdings_until.items()):
            if now >= until:
                del self._send_holdings_until[address]
            elif not self._tables.can_broadcast:
                self.send(address, fact)
        self._directory.record_reports(
            (holding.target, holding.held, holding.loads) for holding in holdings
        )

    def publish_renewal(self, epoch: int, renewal: int) -> None:
        """Publish that this node is the orderer, once per renewal of its lease."""
        self._record_orderer(self._membership.own.address, epoch)
        if self._orderer.record_renewal(epoch, renewal):
            self._tables.record_store_answer()
            notice = OrdererNotice(epoch, renewal, self._membership.own.address)
            self._orderer.newest_notice = notice
            self.publish(notice)

    def publish_resignation(self, resignation: Resignation) -> None:
        """Publish that this node is no longer the orderer."""
        self._orderer.record_release(resignation.epoch)
        waits = {
            target: wait.total_seconds() for target, wait in resignation.waits.items()
        }
        others_wait = resignation.default_wait.total_seconds()
        fact = OrdererResigned(resignation.epoch, waits, others_wait)
        self.publish(fact)
        self._tables.broadcast([fact])

    def publish_held_versions(self) -> None:
        """Publish the table versions that this node has, with each heartbeat.

        A node that was disconnected when a version was announced learns of it so.
        """
        for fact in self._tables.held_versions() + self._tables.confirmations():
            self.publish(fact)

    def publish_draining(self, target: str) -> None:
        """Publish that ``target`` drains, as it reported in an answer."""
        self.publish(DrainingTargets((target,)))

    def update_links(self) -> None:
        """Link to the peers chosen by the membership.

        The orderer also links to the readers of every failure domain, which broadcast
        its messages to the nodes of their domain.
        """
        super().update_links()
        self._tables.update_readers()

    def announce_to_seeds(self, seeds: Iterable[str]) -> None:
        """Announce this node to ``seeds`` and request the members from one of them.

        They are requested twice: while all nodes start together, the first answer
        lacks most members.
        """
        others = [seed for seed in seeds if seed != self._membership.own.address]
        super().announce_to_seeds(others)
        if others and self._member_requests_left:
            self._member_requests_left -= 1
            self.send(self._random.choice(others), TableStateRequest({}, members=True))

    def additional_peers(self) -> list[Vm]:
        """Return the nodes to link to beside those that keep all nodes connected.

        The orderer links to all readers.  Large clusters exchange loads through
        readers.
        """
        own = self._membership.own
        alive = self._membership.alive()
        others = self.loads.choose_links(alive) + self.permits.choose_links(alive)
        others += self.stream_versions.choose_links(alive)
        others += self.usage.choose_links(alive)
        if self._orderer.address != own.address:
            return others
        domains = sorted({vm.failure_domain for vm in alive})
        readers = [vm for domain in domains for vm in choose_readers(domain, alive)]
        return others + [vm for vm in readers if vm.name != own.name]

    def broadcast_state(self) -> None:
        """Broadcast the state of the tables and the orderer, if a reader."""
        notice = self._orderer.newest_notice
        known = notice.epoch > 0 and self.has_active_orderer()
        self._tables.broadcast_state([notice] if known else [])

    @singledispatchmethod
    def handle_message(self, fact: Fact, sender: Member) -> None:
        """Ignore facts that only nodes with declared targets exchange."""

    @handle_message.register
    def _apply_version(self, fact: TableVersion, sender: Member) -> None:
        # Forwarded only if new to this node, so that forwarding ends.
        if self._tables.record_version(fact, sender):
            self.publish(fact)

    @handle_message.register
    def _apply_table_changes(self, fact: TableUpdate, sender: Member) -> None:
        self._tables.apply_changes(fact, sender)

    @handle_message.register
    def _answer_state_request(self, fact: TableStateRequest, sender: Member) -> None:
        answer = self._tables.changes_since(fact.versions)
        if fact.members:
            answer += map(message_from_fact, self._membership.facts())
            if self._orderer.newest_notice.epoch:
                answer.append(self._orderer.newest_notice)
            answer += self.permits.limit_facts()
        if answer and self._links is not None:
            self._links.send(sender.address, answer)

    @handle_message.register
    def _apply_draining(self, fact: DrainingTargets, sender: Member) -> None:
        # Forwarded only if new to this node, so that forwarding ends.
        for target in fact.targets:
            if self._directory.record_draining(target, source="peer"):
                self.publish_draining(target)

    @handle_message.register
    def _apply_suspects(self, fact: SuspectMessage, sender: Member) -> None:
        self.suspects.handle_message(fact, sender)

    @handle_message.register
    def _apply_refusals(self, fact: RefusalMessage, sender: Member) -> None:
        self.refusals.handle_message(fact, sender)

    @handle_message.register
    def _apply_permits(self, fact: PermitFact, sender: Member) -> None:
        self.permits.handle_message(fact, sender)

    @handle_message.register
    def _apply_prompts(self, fact: PromptFact, sender: Member) -> None:
        self.prompts.handle_message(fact, sender)

    @handle_message.register
    def _apply_stream_versions(
        self, fact: StreamVersionMessage, sender: Member
    ) -> None:
        self.stream_versions.handle_message(fact, sender)

    @handle_message.register
    def _apply_usage(self, fact: UsageMessage, sender: Member) -> None:
        self.usage.handle_message(fact, sender)

    @handle_message.register
    def _apply_store_time(self, fact: StoreTimeMessage, sender: Member) -> None:
        self.store_time.handle_message(fact, sender)

    @handle_message.register
    def _apply_confirmation(self, fact: TableConfirmation, sender: Member) -> None:
        self._tables.record_confirmation(fact)

    @handle_message.register
    def _apply_loads(self, fact: TargetLoads, sender: Member) -> None:
        self.loads.handle_message(fact, sender)

    @handle_message.register
    def _apply_demand(self, fact: DemandReport, sender: Member) -> None:
        shares = [demand_of_message(each) for each in fact.demand]
        missed = [share.key for share in shares if share.missed]
        is_orderer = self._orderer.address == self._membership.own.address
        if missed and is_orderer and sender.address not in self._linked:
            self._send_holders(sender.address, missed)
        self._on_demand(sender.name, shares, timedelta(milliseconds=fact.age_ms))

    @handle_message.register
    def _apply_holdings(self, fact: TargetHoldings, sender: Member) -> None:
        orderer = fact.orderer or sender.address
        if self._orderer.is_outdated(fact.epoch, orderer):
            return
        self._record_orderer(orderer, fact.epoch)
        if sender.address == orderer:
            self.relay.add(fact)
        else:
            self.relay.discard_relayed(fact)
        now = self._clock.elapsed()
        self._directory.record_reports(
            holding_of_message(holding, now) for holding in self._select_newer(fact)
        )

    @handle_message.register
    def _apply_orderer_notice(self, fact: OrdererNotice, sender: Member) -> None:
        orderer = fact.orderer or sender.address
        if self._orderer.is_outdated(fact.epoch, orderer):
            return
        self._record_orderer(orderer, fact.epoch)
        if not self._orderer.record_renewal(fact.epoch, fact.renewal):
            return
        self._tables.record_store_answer()
        notice = OrdererNotice(fact.epoch, fact.renewal, orderer)
        self._orderer.newest_notice = notice
        self._on_orderer(fact.epoch, fact.renewal)

    @handle_message.register
    def _apply_resignation(self, fact: OrdererResigned, sender: Member) -> None:
        if fact.epoch < self._orderer.epoch:
            return
        self._orderer.record_release(fact.epoch)
        waits = {
            target: timedelta(seconds=wait)
            for target, wait in fact.first_order_waits.items()
        }
        others_wait = timedelta(seconds=fact.default_wait)
        self._on_resigned(Resignation(fact.epoch, waits, others_wait))
        if sender.address == self._orderer.address and self._tables.is_reader:
            self._tables.broadcast([fact])

    def _select_newer(self, fact: TargetHoldings) -> list[HoldingOfTarget]:
        """Return the holdings in ``fact`` that are newer than those received so far."""
        if not fact.number:
            return fact.holdings
        order = (fact.epoch, fact.number)
        newer = [
            holding
            for holding in fact.holdings
            if order > self._newest_holdings.get(holding.target, (0, 0))
        ]
        self._newest_holdings.update((holding.target, order) for holding in newer)
        return newer

    def _send_holders(self, address: str, missed: list[DemandKey]) -> None:
        """Send an unlinked node the holders of the models that it missed."""
        now = self._clock.elapsed()
        self._send_holdings_until[address] = now + UNLINKED_HOLDINGS_WINDOW
        holders = {
            target.incarnation: target.held
            for key in missed
            for target in self._directory.holders(key.service, key.model, key.adapter)
        }
        if not holders:
            return
        holdings = [
            Holding(target, held, self._directory.loads_at(target))
            for target, held in holders.items()
        ]
        messages = [message_of_holding(holding, now) for holding in holdings]
        self.send(address, TargetHoldings(self._orderer.epoch, messages))

    def _record_orderer(self, address: str, epoch: int) -> None:
        if self._orderer.record_holder(address, epoch):
            self._on_orderer(epoch, UNKNOWN_RENEWAL)
            self._must_send_recent_demand = True
            self._newest_holdings.clear()
