"""Conversion between a gateway's own values and the messages to its peers."""

from collections import Counter, defaultdict
from collections.abc import Iterable
from datetime import timedelta

from runhatch_server.decisions import LoadShare
from runhatch_server.fleet import ExpectedLoad, HeldModels
from runhatch_server.peers import DemandOfModel, HoldingOfTarget, LoadOfTarget
from runhatch_server.residency import DemandShare, Holding, Wanted


def summed_demand(
    recent: Iterable[tuple[timedelta, list[DemandShare]]],
) -> list[DemandShare]:
    """Return the total demand of ``recent``, without its misses."""
    requests: Counter[Wanted] = Counter()
    work_ms: defaultdict[Wanted, float] = defaultdict(float)
    for _, shares in recent:
        for share in shares:
            requests[share.wanted] += share.requests
            work_ms[share.wanted] += share.work_ms
    return [
        DemandShare(wanted, count, 0, work_ms[wanted])
        for wanted, count in requests.items()
        if count
    ]


def told_of_holding(holding: Holding, now: timedelta) -> HoldingOfTarget:
    """Return the message for the models that a target holds and loads."""
    return HoldingOfTarget(
        holding.target,
        {
            model: sorted(adapters)
            for model, adapters in holding.held.adapters_by_model.items()
        },
        [(load.model, (load.ready_at - now).total_seconds()) for load in holding.loads],
    )


def holding_of_told(
    told: HoldingOfTarget, now: timedelta
) -> tuple[str, HeldModels, list[ExpectedLoad]]:
    """Return the target of ``told``, the models it holds, and its running loads."""
    held = HeldModels(
        {model: frozenset(adapters) for model, adapters in told.models.items()}
    )
    loads = [
        ExpectedLoad(told.target, model, now + timedelta(seconds=left))
        for model, left in told.loading
    ]
    return told.target, held, loads


def demand_of_share(share: DemandShare) -> DemandOfModel:
    """Return the message for ``share``."""
    return DemandOfModel(
        share.wanted.service,
        share.wanted.model,
        share.wanted.adapter,
        share.wanted.priority,
        round(share.wanted.goal / timedelta(milliseconds=1)),
        share.requests,
        share.missed,
        round(share.work_ms),
        round(share.missed_for / timedelta(milliseconds=1)),
    )


def share_of_demand(demand: DemandOfModel) -> DemandShare:
    """Return the demand in a message."""
    return DemandShare(
        Wanted(
            demand.service,
            demand.model,
            demand.adapter,
            demand.priority,
            timedelta(milliseconds=demand.goal_ms),
        ),
        demand.requests,
        demand.missed,
        float(demand.work_ms),
        timedelta(milliseconds=demand.missed_for_ms),
    )


def load_of_share(target: str, share: LoadShare) -> LoadOfTarget:
    """Return the message for the outstanding load at ``target``."""
    return LoadOfTarget(
        target,
        tuple(round(waiting) for waiting in share.waiting_ms),
        share.waiting,
        share.running,
        share.tokens,
        round(share.held_ms),
        round(share.busy, 3),
    )


def share_of_load(load: LoadOfTarget) -> LoadShare:
    """Return the outstanding load at a target in a message."""
    return LoadShare(
        tuple(float(waiting) for waiting in load.waiting_ms),
        load.waiting,
        load.running,
        load.tokens,
        float(load.held_ms),
        load.busy,
    )
