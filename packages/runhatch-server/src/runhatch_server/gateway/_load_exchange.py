"""What nodes have outstanding at targets, told from node to node.

The load that this answers is that of many nodes before one target.  A dozen nodes
tell each other directly.  Among more, each would hear of a few others only, and take
a target for idle that the rest keep busy.  There each tells the readers of its
failure domain.  These tell the readers of other domains what the nodes of theirs have
together, and their own domain what all nodes have.  So each node knows all, and what
it sends and hears does not grow with their number.
"""

from collections.abc import Callable, Iterable
from datetime import timedelta

from runhatch_coordination import FULL_MESH, Clock, Membership, Vm, choose_readers
from runhatch_server.decisions import LoadShare
from runhatch_server.gateway._peer_facts import load_of_share, share_of_load
from runhatch_server.gateway._shared_loads import SharedLoads, Shares
from runhatch_server.gateway._tables import GatewayTables
from runhatch_server.peers import ALL_DOMAINS, Fact, Member, TargetLoads

TELL_WHOLE_EVERY = timedelta(seconds=1)
"""Now and then all is told, for nodes that missed some of it."""
SUM_EVERY = timedelta(milliseconds=100)
"""How often a reader tells sums: of 45 targets 1.8 KB at the most, which to 20 nodes is
2.9 Mbit/s, where a VM has 5.  Prompts take 20 to 100 ms to read."""
SUMS_SILENT = timedelta(milliseconds=500)
"""How long the first reader of a domain may be silent before the second tells sums:
four of its pauses missed, and what a busy node is late."""
READING_GRAIN_MS, RUNNING_GRAIN = 20.0, 2
"""Steps in which sums are compared: smaller changes are no news of a busy target."""
IDLE_PAUSE = timedelta(seconds=1)
"""Between two looks of a node that sums nothing at whether it is to."""


def _as_is(share: LoadShare) -> object:
    return share


def _coarse(share: LoadShare) -> object:
    """Return what two sums must differ in to be told anew."""
    reading = tuple(round(ms / READING_GRAIN_MS) for ms in share.waiting_ms)
    return reading, share.waiting, share.running // RUNNING_GRAIN


class LoadNews:
    """Tells changes of shares by target, and all of them now and then.

    Shares are equal if ``looks`` of them are.
    """

    def __init__(self, looks: Callable[[LoadShare], object] = _as_is) -> None:
        self._looks = looks
        self._told: Shares = {}
        self._whole_at = timedelta(days=-1)

    @property
    def told(self) -> Shares:
        """What was told last of each target."""
        return self._told

    def take(self, shares: Shares, now: timedelta) -> tuple[Shares, bool] | None:
        """Return what to tell of ``shares``, and whether that is all of them.

        ``None`` if there is nothing to tell.
        """
        before = self._told
        if now - self._whole_at >= TELL_WHOLE_EVERY:
            self._whole_at = now
            self._told = shares
            return (shares, True) if shares or before else None
        known = {**dict.fromkeys(before, LoadShare()), **shares}
        changed = {
            target: share
            for target, share in known.items()
            if self._looks(share) != self._looks(before.get(target, LoadShare()))
        }
        self._told = {**before, **changed}
        return (changed, False) if changed else None


class LoadExchange:
    """Loads in and out of one node."""

    def __init__(
        self,
        membership: Membership,
        clock: Clock,
        loads: SharedLoads,
        tables: GatewayTables,
        tell: Callable[[str, Fact], None],
        tell_all: Callable[[Fact], None],
    ) -> None:
        self._membership = membership
        self._clock = clock
        self._loads = loads
        self._tables = tables
        self._tell = tell
        self._tell_all = tell_all
        self._own_news = LoadNews()
        self._domain_news, self._all_news = LoadNews(_coarse), LoadNews(_coarse)
        self._readers: list[Vm] = []
        """Those that this node tells its loads; none where all tell each other."""
        self._readers_elsewhere: list[Vm] = []
        self._sums = False
        self._sums_heard = timedelta(days=-1)

    @property
    def pause(self) -> timedelta:
        """How long to pause between two calls of :meth:`tell_sums`."""
        return SUM_EVERY if self._sums else IDLE_PAUSE

    def choose_links(self, alive: Iterable[Vm]) -> list[Vm]:
        """Take in who is there, and return whom to keep links to for loads."""
        own = self._membership.own
        vms = list(alive)
        many = len(vms) > FULL_MESH and self._tables.broadcasts
        domains = {vm.failure_domain for vm in vms} if many else set()
        readers = [
            vm
            for domain in sorted(domains)
            for vm in choose_readers(domain, vms)
            if vm.name != own.name
        ]
        self._readers = [
            vm for vm in readers if vm.failure_domain == own.failure_domain
        ]
        self._sums = many and self._tables.reads
        self._readers_elsewhere = [
            vm for vm in readers if self._sums and vm not in self._readers
        ]
        return self._readers + self._readers_elsewhere

    def tell_own(self) -> None:
        """Tell what has changed of what this node has outstanding."""
        news = self._own_news.take(self._loads.own(), self._clock.elapsed())
        if news is None:
            return
        fact = _loads_of(*news)
        if not self._readers:
            self._tell_all(fact)
        for vm in self._readers:
            self._tell(vm.address, fact)

    def tell_sums(self) -> None:
        """Tell, as a reader among many, what nodes have together.

        The second reader of a domain does so only while the first is silent.
        """
        now = self._clock.elapsed()
        heard = now - self._sums_heard < SUMS_SILENT
        if not self._sums or (self._tables.is_second and heard):
            return
        of_domain = self._domain_news.take(self._loads.gathered(), now)
        if of_domain is not None:
            fact = _loads_of(*of_domain, self._membership.own.failure_domain)
            for vm in self._readers_elsewhere:
                self._tell(vm.address, fact)
        of_all = self._all_news.take(self._loads.totals(), now)
        if of_all is not None:
            self._tables.broadcast([_loads_of(*of_all, ALL_DOMAINS)])

    def take_in(self, fact: TargetLoads, sender: Member) -> None:
        """Take in what one node, a domain, or all nodes have outstanding."""
        shares = {load.target: share_of_load(load) for load in fact.loads}
        if not fact.domain:
            self._loads.of_peer(sender.name, shares, fact.whole)
        elif fact.domain != ALL_DOMAINS:
            self._loads.of_domain(fact.domain, shares, fact.whole)
        else:
            self._sums_heard = self._clock.elapsed()
            if not self._sums:
                # One that sums hears the nodes and the other domains themselves.
                others = self._without_own(shares)
                self._loads.of_all(others, fact.whole)

    def _without_own(self, shares: Shares) -> Shares:
        """Return the sums of all nodes without what this one has told."""
        told = self._own_news.told
        return {
            target: share.minus(told[target]) if target in told else share
            for target, share in shares.items()
        }


def _loads_of(shares: Shares, whole: bool, domain: str = "") -> TargetLoads:
    loads = [load_of_share(target, share) for target, share in shares.items()]
    return TargetLoads(loads, whole, domain)
