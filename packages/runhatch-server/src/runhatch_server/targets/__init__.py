"""HTTP clients for targets: requests with typed outcomes, and engine orders."""

from runhatch_server.targets._answers import Answer, OpenAnswer
from runhatch_server.targets._cache_events import (
    CacheEvent,
    CacheEvents,
    block_names,
)
from runhatch_server.targets._client import TargetClient, TargetRequest
from runhatch_server.targets._engine import (
    EngineClient,
    EngineReport,
    LoadedUnit,
    Order,
    OrderKind,
    OrderOutcome,
)
from runhatch_server.targets._load import ReportedLoad
from runhatch_server.targets._outcomes import (
    AttemptOutcome,
    AttemptReason,
    NotSent,
    RefusedNotRun,
    UnknownResult,
    UnreadableLimit,
    limit_named,
    rest_asked,
)
from runhatch_server.targets._probe import refuses_connections
from runhatch_server.targets._stream import (
    EventSplitter,
    event_data,
    event_id,
    is_terminal,
)

__all__ = [
    "Answer",
    "AttemptOutcome",
    "AttemptReason",
    "CacheEvent",
    "CacheEvents",
    "EngineClient",
    "EngineReport",
    "EventSplitter",
    "LoadedUnit",
    "NotSent",
    "OpenAnswer",
    "Order",
    "OrderKind",
    "OrderOutcome",
    "RefusedNotRun",
    "ReportedLoad",
    "TargetClient",
    "TargetRequest",
    "UnknownResult",
    "UnreadableLimit",
    "limit_named",
    "refuses_connections",
    "rest_asked",
    "block_names",
    "event_data",
    "event_id",
    "is_terminal",
]
