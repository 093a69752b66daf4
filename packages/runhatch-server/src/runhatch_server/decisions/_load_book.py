"""What is known of all targets' loads, and of how long work takes."""

from collections.abc import Callable, Iterable, Mapping
from datetime import timedelta

from runhatch_server.decisions._load import (
    LoadShare,
    Outstanding,
    TargetLoad,
)
from runhatch_server.decisions._prefixes import PrefixIndex
from runhatch_server.decisions._rates import WorkRates
from runhatch_server.decisions._request import GatewayRequest, ModelWork

ALL_OTHERS = ""
"""Stands for a failure domain where all other nodes are meant."""


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

    def began(
        self, target: str, work: ModelWork, outstanding: Outstanding, took: timedelta
    ) -> None:
        """Learn from the first byte of an answer, which came after ``took``."""
        load = self.load(target)
        load.began(outstanding.predicted_ms, took, outstanding.sent_at + took)
        self.rates.first_token(work.model, outstanding, took)
        self._prefixes.stored(target, _prefix_blocks(work))

    def full_work_ms(self, request: GatewayRequest) -> float:
        """Return how long reading the whole prompt of ``request`` takes."""
        work = request.work
        if work is None:
            return 0.0
        return self.rates.prompt_ms(work.model, work.prompt_tokens)

    def uncached(self, target: str, work: ModelWork) -> int:
        """Return the tokens of a prompt that ``target`` has not read lately."""
        matched = self._prefixes.matched(target, _prefix_blocks(work))
        cached = sum(part.tokens for part in work.prompt[:matched])
        return max(1, work.prompt_tokens - cached)

    def shares(self, now: timedelta) -> dict[str, LoadShare]:
        """Return what this node has outstanding at each target."""
        return {
            target: load.share(now) for target, load in self._loads.items() if load.own
        }

    def peer_shares(
        self, node: str, shares: Mapping[str, LoadShare], whole: bool, now: timedelta
    ) -> None:
        """Take in what ``node`` has outstanding; all of it if ``whole``."""
        for load in self._loads.values() if whole else ():
            load.peers.pop(node, None)
        for target, share in shares.items():
            self.load(target).peers[node] = (share, now)

    def domain_shares(
        self, domain: str, shares: Mapping[str, LoadShare], whole: bool, now: timedelta
    ) -> None:
        """Take in what the nodes of a failure domain have outstanding together."""
        for load in self._loads.values() if whole else ():
            load.domains.pop(domain, None)
            load.domains.pop(ALL_OTHERS, None)
        for target, share in shares.items():
            self.load(target).domains[domain] = (share, now)

    def all_shares(
        self, shares: Mapping[str, LoadShare], whole: bool, now: timedelta
    ) -> None:
        """Take in what all other nodes have, in place of what single ones told."""
        for target in [*self._loads] if whole else [*shares]:
            load = self.load(target)
            load.peers.clear()
            load.domains.clear()
        for target, share in shares.items():
            self.load(target).domains[ALL_OTHERS] = (share, now)

    def gathered(self, now: timedelta) -> dict[str, LoadShare]:
        """Return what this node has at engines, with those that told it themselves."""
        return _of_engines(
            (target, load.gathered(now)) for target, load in self._loads.items()
        )

    def totals(self, now: timedelta) -> dict[str, LoadShare]:
        """Return what all nodes have at engines, as far as it is known."""
        return _of_engines(
            (target, load.total(now)) for target, load in self._loads.items()
        )

    def forget(self, is_known: Callable[[str], bool], now: timedelta) -> None:
        """Drop what is kept of targets that are no more.

        One that rests is kept: its entry may be away with the store for a moment.
        """
        for target, load in list(self._loads.items()):
            if not is_known(target) and not load.own and now >= load.rests_until:
                del self._loads[target]
                self._prefixes.forget(target)


def _of_engines(shares: Iterable[tuple[str, LoadShare]]) -> dict[str, LoadShare]:
    """Leave out what sums are no good for.

    A plain service answers in 20 to 70 ms, so that sums which are older than that say
    nothing of it, and all nodes would turn to the same target.
    """
    return {target: share for target, share in shares if share.is_of_engine}


def _prefix_blocks(work: ModelWork) -> tuple[str, ...]:
    """Return a name for each leading run of parts, which only like prompts share."""
    names = []
    chain = f"{work.model}/{work.adapter}"
    for part in work.prompt:
        chain = f"{chain}:{part.name}"
        names.append(chain)
    return tuple(names)
