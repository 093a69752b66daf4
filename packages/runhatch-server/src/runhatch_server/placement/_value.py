"""Adds replicas whose additional requests in time exceed the cost of the moves."""

from collections.abc import Iterator
from dataclasses import dataclass
from datetime import timedelta

from runhatch_server.configuration import ModelSpec
from runhatch_server.placement._actions import LoadUnit, Urgency
from runhatch_server.placement._draft import PRESENT_STATES, Draft

MAX_ADDITIONS = 2
"""Replicas added per plan; the next plan takes their effect into account."""
MAX_FILLED_SHARE = 0.95
"""Share of a target's concurrency up to which a new replica may load it."""
MIN_UTILISATION_DIFFERENCE = 0.15
"""Minimum difference in utilisation for moving work to another target."""


@dataclass(frozen=True, slots=True)
class _Candidate:
    model: ModelSpec
    target: str
    value: float
    evicted: tuple[ModelSpec, ...]


def add_valuable_replicas(draft: Draft) -> None:
    """Add the replicas with the highest value above their cost."""
    for _ in range(MAX_ADDITIONS):
        best = max(
            _candidates(draft), key=lambda candidate: candidate.value, default=None
        )
        if best is None:
            return
        if best.evicted:
            for model in best.evicted:
                reason = f"frees memory for {best.model.name}"
                draft.retire(best.target, model.unit_name, reason)
            return
        reason = f"adds {best.value:.0f} requests in time above its cost"
        draft.load_on(best.target, best.model, Urgency.VALUE, reason)


def _candidates(draft: Draft) -> Iterator[_Candidate]:
    """Yield all additions of one replica with a positive value."""
    policy = draft.state.policy
    for model in draft.state.models:
        overload, max_utilisation = _overload(draft, model)
        if overload <= 0 or _is_loading(draft, model):
            continue
        for target in draft.targets_for(model):
            if (
                draft.balance.utilisation(target)
                > max_utilisation - MIN_UTILISATION_DIFFERENCE
            ):
                continue
            evicted = _evictions(draft, model, target)
            if evicted is None:
                continue
            absorbed = _absorbed_work(draft, target, overload, evicted)
            gained = absorbed / model.service_seconds * policy.horizon_seconds
            value = gained - policy.move_price * (1 + len(evicted))
            if value > 0:
                yield _Candidate(model, target, value, evicted)


def _overload(draft: Draft, model: ModelSpec) -> tuple[float, float]:
    """Return the model's overload and the utilisation of its busiest host.

    The overload is in concurrent requests.
    """
    high = draft.state.policy.high_utilisation
    spread = draft.balance
    hosts = [
        name
        for name in draft.state.hosts(model.unit_name, *PRESENT_STATES)
        if name in spread.loads and name not in draft.state.excluded
    ]
    overload = sum(
        min(spread.share(model.name, host), spread.overload(host, high))
        for host in hosts
    )
    return overload, max((spread.utilisation(host) for host in hosts), default=0.0)


def _is_loading(draft: Draft, model: ModelSpec) -> bool:
    return any(
        isinstance(action, LoadUnit) and action.unit == model.unit_name
        for action in draft.actions
    )


def _evictions(
    draft: Draft, model: ModelSpec, target: str
) -> tuple[ModelSpec, ...] | None:
    """Return the replicas to evict first, ``None`` if evictions cannot free enough."""
    lacking = draft.needed_mb(model) - draft.rows[target].free_mb
    if lacking <= 0:
        return ()
    victims = draft.find_evictions(target, lacking)
    if not victims:
        # Either too little can be evicted, or units being unloaded free enough and
        # the next plan loads the model.
        return None
    if all(_is_past_min_residence(draft, target, victim) for victim in victims):
        return tuple(victims)
    return None


def _is_past_min_residence(draft: Draft, target: str, model: ModelSpec) -> bool:
    """Whether the replica has been present for the minimum residence time."""
    age = draft.state.ages.get((target, model.unit_name), timedelta())
    return age.total_seconds() >= draft.state.policy.min_residence_seconds


def _absorbed_work(
    draft: Draft, target: str, overload: float, evicted: tuple[ModelSpec, ...]
) -> float:
    """Return the concurrent requests that a replica on ``target`` takes over.

    Requests that the evicted replicas can no longer serve are subtracted.
    """
    spread = draft.balance
    freed = sum(spread.share(model.name, target) for model in evicted)
    headroom = spread.headroom(target, MAX_FILLED_SHARE) + freed
    lost = sum(_lost_work(draft, model, target) for model in evicted)
    return min(overload, headroom) - lost


def _lost_work(draft: Draft, model: ModelSpec, target: str) -> float:
    """Return the work of ``model`` on ``target`` beyond its other hosts' headroom."""
    spread = draft.balance
    others = [
        host
        for host in draft.state.hosts(model.unit_name, *PRESENT_STATES)
        if host != target and host in spread.loads
    ]
    headroom = sum(spread.headroom(host, MAX_FILLED_SHARE) for host in others)
    return max(0.0, spread.share(model.name, target) - headroom)
