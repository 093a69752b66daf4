"""Exchange of the outstanding load at targets between nodes.

Without it, a node takes a target for idle that other nodes keep busy.  Up to
``MAX_FULL_MESH_NODES`` nodes publish their loads to each other directly.  In a larger
cluster each node sends its loads to the readers of its failure domain.  Readers send
the sum of their domain to the readers of other domains, and broadcast the sum of all
nodes in their own.  So the traffic of a node does not grow with the number of nodes.
"""

from collections.abc import Callable, Iterable
from datetime import timedelta

from runhatch_coordination import (
    MAX_FULL_MESH_NODES,
    Clock,
    Membership,
    Vm,
    choose_readers,
)
from runhatch_server.decisions import LoadShare
from runhatch_server.gateway._peer_conversions import load_of_message, message_of_load
from runhatch_server.gateway._shared_loads import SharedLoads, Shares
from runhatch_server.gateway._tables import GatewayTables
from runhatch_server.gateway._uplink import BroadcastPacer
from runhatch_server.peers import ALL_DOMAINS, Fact, Member, TargetLoads

FULL_UPDATE_INTERVAL = timedelta(seconds=1)
"""Interval between full updates, for nodes that missed a partial one."""
SUM_INTERVAL = timedelta(milliseconds=100)
MAX_SUM_INTERVAL = timedelta(milliseconds=300)
"""Intervals between sums sent by a reader, by the bandwidth that its broadcasts take.
The shortest one is about the time in which a target processes a prompt."""
FIRST_READER_TIMEOUT = timedelta(milliseconds=800)
"""How long the first reader of a domain may be silent before the second sends sums:
two of the longest intervals, plus the delay of a busy node."""
WAITING_STEP_MS, RUNNING_STEP = 20.0, 2
"""Rounding steps for comparing sums: smaller changes of a busy target aren't sent."""
IDLE_INTERVAL = timedelta(seconds=1)
"""Interval at which a node that sends no sums checks whether it should."""


def _identity(share: LoadShare) -> object:
    return share


def _round_share(share: LoadShare) -> object:
    """Return ``share`` rounded; sums are sent again when this value changes."""
    waiting_steps = tuple(round(ms / WAITING_STEP_MS) for ms in share.waiting_ms)
    return waiting_steps, share.waiting, share.running // RUNNING_STEP


class LoadChanges:
    """Selects the loads to send: changed ones, and all of them once per interval.

    Two loads count as equal if ``comparison_key`` returns equal values for them.
    """

    def __init__(
        self, comparison_key: Callable[[LoadShare], object] = _identity
    ) -> None:
        self._comparison_key = comparison_key
        self._sent: Shares = {}
        self._all_sent_at = timedelta(days=-1)

    @property
    def last_sent(self) -> Shares:
        """The last share sent of each target."""
        return self._sent

    def take_changes(
        self, shares: Shares, now: timedelta
    ) -> tuple[Shares, bool] | None:
        """Return the shares to send, and whether they are all of ``shares``.

        Returns ``None`` if there is nothing to send.
        """
        previous = self._sent
        if now - self._all_sent_at >= FULL_UPDATE_INTERVAL:
            self._all_sent_at = now
            self._sent = shares
            return (shares, True) if shares or previous else None
        merged = {**dict.fromkeys(previous, LoadShare()), **shares}
        changed = {
            target: share
            for target, share in merged.items()
            if self._comparison_key(share)
            != self._comparison_key(previous.get(target, LoadShare()))
        }
        self._sent = {**previous, **changed}
        return (changed, False) if changed else None


class LoadExchange:
    """Exchanges the loads of one node with its peers."""

    def __init__(
        self,
        membership: Membership,
        clock: Clock,
        loads: SharedLoads,
        tables: GatewayTables,
        send: Callable[[str, Fact], None],
        publish: Callable[[Fact], None],
    ) -> None:
        self._membership = membership
        self._clock = clock
        self._loads = loads
        self._tables = tables
        self._send = send
        self._publish = publish
        self._own_changes = LoadChanges()
        self._domain_changes, self._total_changes = (
            LoadChanges(_round_share),
            LoadChanges(_round_share),
        )
        self._domain_readers: list[Vm] = []
        """Readers that get this node's loads; empty if all nodes send to each other."""
        self._other_domain_readers: list[Vm] = []
        self._sends_sums = False
        self._pacer = BroadcastPacer(tables.uplink, SUM_INTERVAL, MAX_SUM_INTERVAL)
        self._sums_received_at = timedelta(days=-1)

    def next_sums_pause(self) -> timedelta:
        """Return how long to pause after a call of :meth:`send_sums`."""
        return self._pacer.next_pause() if self._sends_sums else IDLE_INTERVAL

    def choose_links(self, alive: Iterable[Vm]) -> list[Vm]:
        """Choose the readers among ``alive``; return the nodes to link to for loads."""
        own = self._membership.own
        vms = list(alive)
        uses_readers = len(vms) > MAX_FULL_MESH_NODES and self._tables.can_broadcast
        domains = {vm.failure_domain for vm in vms} if uses_readers else set()
        readers = [
            vm
            for domain in sorted(domains)
            for vm in choose_readers(domain, vms)
            if vm.name != own.name
        ]
        self._domain_readers = [
            vm for vm in readers if vm.failure_domain == own.failure_domain
        ]
        self._sends_sums = uses_readers and self._tables.is_reader
        self._other_domain_readers = [
            vm for vm in readers if self._sends_sums and vm not in self._domain_readers
        ]
        return self._domain_readers + self._other_domain_readers

    def send_own(self) -> None:
        """Send the changes of this node's outstanding load."""
        update = self._own_changes.take_changes(
            self._loads.own(), self._clock.elapsed()
        )
        if update is None:
            return
        fact = _make_loads_message(*update)
        if not self._domain_readers:
            self._publish(fact)
        for vm in self._domain_readers:
            self._send(vm.address, fact)

    def send_sums(self) -> None:
        """Send the sums of the domain and of all nodes, if this node is a reader.

        The second reader of a domain sends them only while the first is silent.
        """
        now = self._clock.elapsed()
        is_first_active = now - self._sums_received_at < FIRST_READER_TIMEOUT
        if not self._sends_sums or (self._tables.is_second_reader and is_first_active):
            return
        domain_update = self._domain_changes.take_changes(
            self._loads.own_and_peers(), now
        )
        if domain_update is not None:
            fact = _make_loads_message(
                *domain_update, self._membership.own.failure_domain
            )
            for vm in self._other_domain_readers:
                self._send(vm.address, fact)
        total_update = self._total_changes.take_changes(self._loads.totals(), now)
        if total_update is not None:
            self._tables.broadcast([_make_loads_message(*total_update, ALL_DOMAINS)])

    def handle_message(self, fact: TargetLoads, sender: Member) -> None:
        """Apply the outstanding load of one node, a domain, or all nodes."""
        shares = {load.target: load_of_message(load) for load in fact.loads}
        if not fact.domain:
            self._loads.apply_peer(sender.name, shares, fact.whole)
        elif fact.domain != ALL_DOMAINS:
            self._loads.apply_domain(fact.domain, shares, fact.whole)
        else:
            self._sums_received_at = self._clock.elapsed()
            if not self._sends_sums:
                # A reader receives the loads of nodes and other domains directly.
                others = self._subtract_own(shares)
                self._loads.apply_total(others, fact.whole)

    def _subtract_own(self, shares: Shares) -> Shares:
        """Return the sums of all nodes without the last load this node sent."""
        sent = self._own_changes.last_sent
        return {
            target: share.minus(sent[target]) if target in sent else share
            for target, share in shares.items()
        }


def _make_loads_message(shares: Shares, whole: bool, domain: str = "") -> TargetLoads:
    loads = [message_of_load(target, share) for target, share in shares.items()]
    return TargetLoads(loads, whole, domain)
