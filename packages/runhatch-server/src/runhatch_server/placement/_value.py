"""Adding replicas that win more requests in time than their moves cost."""

from collections.abc import Iterator
from dataclasses import dataclass
from datetime import timedelta

from runhatch_server.configuration import ModelSpec
from runhatch_server.placement._actions import LoadUnit, Urgency
from runhatch_server.placement._draft import PRESENT, Draft

MAX_ADDITIONS = 2
"""Replicas added for value in one plan; the next sees what they did."""
FULL = 0.95
"""Share of a target's concurrency that a new replica may fill."""
LEAST_DIFFERENCE = 0.15
"""A replica moves work only to targets by so much less utilised."""


@dataclass(frozen=True, slots=True)
class _Candidate:
    model: ModelSpec
    target: str
    value: float
    evicted: tuple[ModelSpec, ...]


def add_for_value(draft: Draft) -> None:
    """Add the replicas that win the most beyond their price."""
    for _ in range(MAX_ADDITIONS):
        best = max(_candidates(draft), key=lambda found: found.value, default=None)
        if best is None:
            return
        if best.evicted:
            for model in best.evicted:
                reason = f"room for {best.model.name}"
                draft.retire(best.target, model.unit, reason)
            return
        reason = f"wins {best.value:.0f} requests in time beyond its price"
        draft.load_on(best.target, best.model, Urgency.VALUE, reason)


def _candidates(draft: Draft) -> Iterator[_Candidate]:
    policy = draft.state.policy
    for model in draft.state.models:
        relief, busiest = _relief(draft, model)
        if relief <= 0 or _is_loading(draft, model):
            continue
        for target in draft.targets_for(model):
            if draft.balance.utilisation(target) > busiest - LEAST_DIFFERENCE:
                continue
            evicted = _evictions(draft, model, target)
            if evicted is None:
                continue
            won = _won(draft, target, relief, evicted)
            gained = won / model.service_seconds * policy.horizon_seconds
            value = gained - policy.move_price * (1 + len(evicted))
            if value > 0:
                yield _Candidate(model, target, value, evicted)


def _relief(draft: Draft, model: ModelSpec) -> tuple[float, float]:
    """Return the model's part of overload, and its busiest host's utilisation."""
    high = draft.state.policy.high_utilisation
    spread = draft.balance
    hosts = [
        name
        for name in draft.state.hosts(model.unit, *PRESENT)
        if name in spread.loads and name not in draft.state.closed
    ]
    relief = sum(
        min(spread.share(model.name, host), spread.overload(host, high))
        for host in hosts
    )
    return relief, max((spread.utilisation(host) for host in hosts), default=0.0)


def _is_loading(draft: Draft, model: ModelSpec) -> bool:
    return any(
        isinstance(action, LoadUnit) and action.unit == model.unit
        for action in draft.actions
    )


def _evictions(
    draft: Draft, model: ModelSpec, target: str
) -> tuple[ModelSpec, ...] | None:
    """Return what must go first, ``None`` if that cannot be."""
    lacking = draft.needed_mb(model) - draft.rows[target].free_mb
    if lacking <= 0:
        return ()
    victims = draft.victims(target, lacking)
    if not victims:
        # Too little can go, or enough is going and the next plan will load.
        return None
    if all(_has_stayed(draft, target, victim) for victim in victims):
        return tuple(victims)
    return None


def _has_stayed(draft: Draft, target: str, model: ModelSpec) -> bool:
    age = draft.state.ages.get((target, model.unit), timedelta())
    return age.total_seconds() >= draft.state.policy.min_residence_seconds


def _won(
    draft: Draft, target: str, relief: float, evicted: tuple[ModelSpec, ...]
) -> float:
    """Return the concurrent requests won, less those the evicted would lose."""
    spread = draft.balance
    freed = sum(spread.share(model.name, target) for model in evicted)
    room = spread.headroom(target, FULL) + freed
    lost = sum(_lost(draft, model, target) for model in evicted)
    return min(relief, room) - lost


def _lost(draft: Draft, model: ModelSpec, target: str) -> float:
    """Return the work of ``model`` on ``target`` that its other hosts cannot take."""
    spread = draft.balance
    others = [
        host
        for host in draft.state.hosts(model.unit, *PRESENT)
        if host != target and host in spread.loads
    ]
    room = sum(spread.headroom(host, FULL) for host in others)
    return max(0.0, spread.share(model.name, target) - room)
