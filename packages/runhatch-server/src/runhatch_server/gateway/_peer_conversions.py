"""Conversion between a gateway's own values and the messages to its peers."""

from collections import Counter, defaultdict
from collections.abc import Iterable
from datetime import timedelta

from runhatch_server.decisions import LoadShare, WorkTimeStatement
from runhatch_server.fleet import ExpectedLoad, HeldModels
from runhatch_server.peers import DemandOfModel, HoldingOfTarget, LoadOfTarget
from runhatch_server.residency import DemandKey, DemandShare, Holding

MILLISECOND = timedelta(milliseconds=1)


def sum_demand(
    recent: Iterable[tuple[timedelta, list[DemandShare]]],
) -> list[DemandShare]:
    """Return the total demand of ``recent``, without its misses."""
    requests: Counter[DemandKey] = Counter()
    work_ms: defaultdict[DemandKey, float] = defaultdict(float)
    for _, shares in recent:
        for share in shares:
            requests[share.key] += share.requests
            work_ms[share.key] += share.work_ms
    return [
        DemandShare(key, count, 0, work_ms[key])
        for key, count in requests.items()
        if count
    ]


def message_of_holding(holding: Holding, now: timedelta) -> HoldingOfTarget:
    """Return the message for the models that a target holds and loads."""
    return HoldingOfTarget(
        holding.target,
        {
            model: sorted(adapters)
            for model, adapters in holding.held.adapters_by_model.items()
        },
        [(load.model, (load.ready_at - now).total_seconds()) for load in holding.loads],
    )


def holding_of_message(
    message: HoldingOfTarget, now: timedelta
) -> tuple[str, HeldModels, list[ExpectedLoad]]:
    """Return the target of ``message``, the models it holds, and its running loads."""
    held = HeldModels(
        {model: frozenset(adapters) for model, adapters in message.models.items()}
    )
    loads = [
        ExpectedLoad(message.target, model, now + timedelta(seconds=left))
        for model, left in message.loading
    ]
    return message.target, held, loads


def message_of_demand(share: DemandShare) -> DemandOfModel:
    """Return the message for ``share``."""
    return DemandOfModel(
        share.key.service,
        share.key.model,
        share.key.adapter,
        share.key.priority,
        round(share.key.goal / timedelta(milliseconds=1)),
        share.requests,
        share.missed,
        round(share.work_ms),
        round(share.missed_for / timedelta(milliseconds=1)),
    )


def demand_of_message(message: DemandOfModel) -> DemandShare:
    """Return the demand in a message."""
    return DemandShare(
        DemandKey(
            message.service,
            message.model,
            message.adapter,
            message.priority,
            timedelta(milliseconds=message.goal_ms),
        ),
        message.requests,
        message.missed_requests,
        float(message.work_ms),
        timedelta(milliseconds=message.missed_for_ms),
    )


def message_of_load(target: str, share: LoadShare) -> LoadOfTarget:
    """Return the message for the outstanding load at ``target``."""
    return LoadOfTarget(
        target,
        tuple(round(waiting) for waiting in share.waiting_ms),
        share.waiting,
        share.running,
        share.tokens,
        round(share.held_ms),
        round(share.busy, 3),
        _message_of_work_time(share.work_time),
    )


def load_of_message(message: LoadOfTarget) -> LoadShare:
    """Return the outstanding load at a target in a message."""
    return LoadShare(
        tuple(float(waiting) for waiting in message.waiting_ms),
        message.waiting,
        message.running,
        message.tokens,
        float(message.held_ms),
        message.busy,
        _work_time_of_message(message.work_time),
    )


def _message_of_work_time(
    statement: WorkTimeStatement | None,
) -> tuple[int, int] | None:
    if statement is None:
        return None
    return round(statement.factor * 100), round(statement.age / MILLISECOND)


def _work_time_of_message(
    message: tuple[int, int] | None,
) -> WorkTimeStatement | None:
    if message is None:
        return None
    percent, age_ms = message
    return WorkTimeStatement(percent / 100, age_ms * MILLISECOND)
