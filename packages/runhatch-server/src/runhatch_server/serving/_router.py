"""Chooses targets by predicted wait, prefix affinity and failure domain."""

import random
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from datetime import timedelta

from runhatch_coordination import compute_weight
from runhatch_server.decisions._prefixes import PrefixIndex
from runhatch_server.serving._placement_cache import Host
from runhatch_server.serving._target_state import TargetState

SAMPLE_SIZE = 3
"""Number of randomly sampled candidates, so that nodes seldom compare the same."""
PREFILL_TIME_PER_BLOCK = timedelta(milliseconds=20)
"""Prefill time that a cached block saves."""
DEFAULT_SERVICE_TIME = timedelta(seconds=1)
REMOTE_DOMAIN_PENALTY = timedelta(milliseconds=2)
"""Score penalty of another failure domain: a network round trip."""
LIGHT_LOAD_SHARE = 0.1
"""Weight of load below saturation, where no request waits but tokens slow down."""
SCORE_JITTER = 0.1


@dataclass(frozen=True, slots=True)
class TargetChoice:
    """The chosen host, and the figures behind the choice."""

    host: Host
    predicted_wait: timedelta
    cached_block_count: int
    candidate_count: int

    def explain(self) -> str:
        """Return the reason for the choice as one line for operators."""
        wait = self.predicted_wait.total_seconds() * 1000
        return (
            f"best of {self.candidate_count}: predicted wait {wait:.0f} ms, "
            f"{self.cached_block_count} prefix blocks cached"
        )


@dataclass(frozen=True, slots=True)
class ScoredHost:
    """A host that was compared with others; the lowest score is chosen."""

    host: Host
    score: timedelta
    wait: timedelta
    matched: int


@dataclass(frozen=True, slots=True)
class Evaluation:
    """Hosts that remained after each step of a choice, and the scores."""

    not_ejected: Sequence[Host]
    with_room: Sequence[Host]
    scored: Sequence[ScoredHost]

    @property
    def best(self) -> ScoredHost | None:
        """The host with the lowest score, ``None`` if no host has room."""
        return min(self.scored, key=lambda scored: scored.score, default=None)


class Router:
    """Scores hosts for one request; guarded by the dispatcher's lock."""

    def __init__(
        self,
        failure_domain: str,
        prefixes: PrefixIndex,
        random_source: random.Random,
        use_affinity: bool = True,
    ) -> None:
        self._failure_domain = failure_domain
        self._prefixes = prefixes
        self._random = random_source
        self._affinity = use_affinity

    def choose_host(
        self,
        hosts: Sequence[Host],
        states: Mapping[str, TargetState],
        prefix: tuple[str, ...],
        avoided_domains: frozenset[str],
        now: timedelta,
    ) -> TargetChoice | None:
        """Return the best of ``hosts`` that has room, or ``None``.

        Hosts in ``avoided_domains`` are chosen only if no other host has room.
        """
        evaluation = self.evaluate_hosts(
            hosts, states, prefix, avoided_domains, now, self._random
        )
        best = evaluation.best
        if best is None:
            return None
        return TargetChoice(best.host, best.wait, best.matched, len(evaluation.scored))

    def evaluate_hosts(
        self,
        hosts: Sequence[Host],
        states: Mapping[str, TargetState],
        prefix: tuple[str, ...],
        avoided_domains: frozenset[str],
        now: timedelta,
        random_source: random.Random,
    ) -> Evaluation:
        """Evaluate ``hosts`` as for :meth:`choose_host`.

        Changes nothing except the state of ``random_source``.
        """
        not_ejected = _drop_ejected(hosts, states, now)
        hosts_with_room = [
            host for host in not_ejected if states[host.target].has_room()
        ]
        in_other_domains = [
            h for h in hosts_with_room if h.failure_domain not in avoided_domains
        ]
        candidates = in_other_domains or hosts_with_room
        sampled = self._sample_hosts(candidates, prefix, random_source)
        scored = [
            self._score(host, states, prefix, now, random_source) for host in sampled
        ]
        return Evaluation(not_ejected, hosts_with_room, scored)

    def _sample_hosts(
        self,
        hosts: list[Host],
        prefix: tuple[str, ...],
        random_source: random.Random,
    ) -> list[Host]:
        if len(hosts) <= SAMPLE_SIZE:
            return hosts
        sampled = random_source.sample(hosts, SAMPLE_SIZE)
        if prefix and self._affinity:
            best = max(hosts, key=lambda host: self._affinity_rank(host, prefix))
            if best not in sampled:
                sampled.append(best)
        return sampled

    def _affinity_rank(self, host: Host, prefix: tuple[str, ...]) -> tuple[int, int]:
        # All nodes rank hosts for a prefix equally without coordination.
        matched = self._prefixes.count_matching(host.target, prefix)
        return matched, compute_weight(prefix[0], host.target)

    def _score(
        self,
        host: Host,
        states: Mapping[str, TargetState],
        prefix: tuple[str, ...],
        now: timedelta,
        random_source: random.Random,
    ) -> ScoredHost:
        wait = predict_wait(host, states[host.target], now)
        matched = (
            self._prefixes.count_matching(host.target, prefix) if self._affinity else 0
        )
        score = wait * random_source.uniform(1 - SCORE_JITTER, 1 + SCORE_JITTER)
        # The bonus equals the prefill saved, so affinity never adds a longer wait.
        score -= PREFILL_TIME_PER_BLOCK * matched
        score += states[host.target].estimate_excess(now)
        if host.failure_domain != self._failure_domain:
            score += REMOTE_DOMAIN_PENALTY
        return ScoredHost(host, score, wait, matched)


def predict_wait(host: Host, state: TargetState, now: timedelta) -> timedelta:
    """Return how long a request would wait at ``host``, by its load and speed."""
    service = state.service_time or DEFAULT_SERVICE_TIME
    load = state.estimate_load(now)
    over_capacity = max(0.0, load + 1 - host.concurrency)
    within_capacity = LIGHT_LOAD_SHARE * min(load, host.concurrency)
    return service * ((over_capacity + within_capacity) / host.concurrency)


def _drop_ejected(
    hosts: Sequence[Host], states: Mapping[str, TargetState], now: timedelta
) -> Sequence[Host]:
    """Return the hosts that are not ejected, or all if most are ejected."""
    healthy = [host for host in hosts if not states[host.target].is_ejected(now)]
    return healthy if 2 * len(healthy) >= len(hosts) else hosts
