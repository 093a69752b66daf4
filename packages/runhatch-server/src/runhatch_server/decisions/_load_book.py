"""Tracks the loads of all targets, their prompt caches and the speed of models."""

from collections.abc import Callable, Iterable, Mapping
from datetime import timedelta

from runhatch_server.decisions._load import (
    LoadShare,
    OutstandingRequest,
    TargetLoad,
)
from runhatch_server.decisions._prefixes import PrefixIndex
from runhatch_server.decisions._rates import WorkRates
from runhatch_server.decisions._request import GatewayRequest, ModelWork

ALL_OTHER_NODES = ""
"""Key used in place of a failure domain for the sum over all other nodes."""


class LoadBook:
    """Loads by target; guarded by the balancer's lock."""

    def __init__(self) -> None:
        self._loads: dict[str, TargetLoad] = {}
        self._prefixes = PrefixIndex()
        self.rates = WorkRates()

    def load(self, target: str) -> TargetLoad:
        """Return the load of ``target``, an empty one if nothing is known."""
        load = self._loads.get(target)
        if load is None:
            load = TargetLoad()
            self._loads[target] = load
        return load

    def record_first_byte(
        self,
        target: str,
        work: ModelWork,
        outstanding: OutstandingRequest,
        took: timedelta,
    ) -> None:
        """Update predictions from an answer whose first byte came after ``took``."""
        load = self.load(target)
        load.record_first_byte(
            outstanding.predicted_ms, took, outstanding.sent_at + took
        )
        self.rates.record_first_token(work.model, outstanding, took)
        self._prefixes.record_blocks(target, _prefix_names(work))

    def full_prompt_ms(self, request: GatewayRequest) -> float:
        """Return the time in milliseconds to read the whole prompt of ``request``."""
        work = request.work
        if work is None:
            return 0.0
        return self.rates.prompt_ms(work.model, work.prompt_tokens)

    def count_uncached_tokens(self, target: str, work: ModelWork) -> int:
        """Return how many prompt tokens are not cached at ``target``, at least one."""
        matched = self._prefixes.count_matching(target, _prefix_names(work))
        cached = sum(part.tokens for part in work.prompt[:matched])
        return max(1, work.prompt_tokens - cached)

    def own_shares(self, now: timedelta) -> dict[str, LoadShare]:
        """Return what this node has outstanding at each target."""
        return {
            target: load.own_share(now)
            for target, load in self._loads.items()
            if load.own_requests
        }

    def record_peer_shares(
        self,
        node: str,
        shares: Mapping[str, LoadShare],
        is_complete: bool,
        now: timedelta,
    ) -> None:
        """Record what ``node`` has outstanding at each target.

        If ``is_complete``, ``shares`` replaces all that was recorded of ``node``.
        """
        for load in self._loads.values() if is_complete else ():
            load.peer_shares.pop(node, None)
        for target, share in shares.items():
            load = self.load(target)
            load.peer_shares[node] = (share, now)
            _record_work_time(load, share, now)

    def record_domain_shares(
        self,
        domain: str,
        shares: Mapping[str, LoadShare],
        is_complete: bool,
        now: timedelta,
    ) -> None:
        """Record what the nodes of a failure domain have outstanding together.

        If ``is_complete``, ``shares`` replaces all that was recorded of the domain, and
        the sums over all other nodes.
        """
        for load in self._loads.values() if is_complete else ():
            load.domain_shares.pop(domain, None)
            load.domain_shares.pop(ALL_OTHER_NODES, None)
        for target, share in shares.items():
            load = self.load(target)
            load.domain_shares[domain] = (share, now)
            _record_work_time(load, share, now)

    def record_total_shares(
        self, shares: Mapping[str, LoadShare], is_complete: bool, now: timedelta
    ) -> None:
        """Record the sum over all other nodes, replacing reports of single ones.

        If ``is_complete``, targets that are not in ``shares`` are cleared too.
        """
        for target in [*self._loads] if is_complete else [*shares]:
            load = self.load(target)
            load.peer_shares.clear()
            load.domain_shares.clear()
        for target, share in shares.items():
            load = self.load(target)
            load.domain_shares[ALL_OTHER_NODES] = (share, now)
            _record_work_time(load, share, now)

    def direct_totals(self, now: timedelta) -> dict[str, LoadShare]:
        """Return, by engine, the work of this node and its directly reporting peers."""
        return _engine_shares(
            (target, load.direct_total(now)) for target, load in self._loads.items()
        )

    def totals(self, now: timedelta) -> dict[str, LoadShare]:
        """Return, by engine, the work that all nodes are known to have outstanding."""
        return _engine_shares(
            (target, load.total(now)) for target, load in self._loads.items()
        )

    def lasting_work_times(self, now: timedelta) -> dict[str, float]:
        """Return the lasting work time factor of each target that stated it."""
        return {
            target: load.work_time.lasting_factor(now)
            for target, load in self._loads.items()
            if load.work_time.latest(now) is not None
        }

    def remove_ended(self, is_known: Callable[[str], bool], now: timedelta) -> None:
        """Remove the state of targets that no longer exist.

        A target that is backing off is kept, because its entry may be missing only
        while the store is unavailable.
        """
        for target, load in list(self._loads.items()):
            if (
                not is_known(target)
                and not load.own_requests
                and now >= load.backoff_until
            ):
                del self._loads[target]
                self._prefixes.remove_target(target)


def _record_work_time(load: TargetLoad, share: LoadShare, now: timedelta) -> None:
    if share.work_time is not None:
        load.work_time.record(share.work_time, now)


def _engine_shares(shares: Iterable[tuple[str, LoadShare]]) -> dict[str, LoadShare]:
    """Return the shares of engines only.

    Plain services answer in 20 to 70 ms, faster than sums are distributed. With
    outdated sums all nodes would choose the same target.
    """
    return {target: share for target, share in shares if share.is_engine_share}


def _prefix_names(work: ModelWork) -> tuple[str, ...]:
    """Return a name for each prefix of the prompt, built from its model and parts."""
    names = []
    prefix = f"{work.model}/{work.adapter}"
    for part in work.prompt:
        prefix = f"{prefix}:{part.name}"
        names.append(prefix)
    return tuple(names)
