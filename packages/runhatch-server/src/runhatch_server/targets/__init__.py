"""HTTP clients for targets: requests with typed outcomes, and engine orders."""

from runhatch_server.targets._answers import Answer, OpenAnswer
from runhatch_server.targets._cache_events import (
    CacheEvent,
    CacheEvents,
    compute_block_names,
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
from runhatch_server.targets._load import (
    InvalidWorkTime,
    ReportedLoad,
    decode_work_time,
)
from runhatch_server.targets._outcomes import (
    AttemptOutcome,
    AttemptReason,
    InvalidMaxRejections,
    InvalidRateLimit,
    NotSent,
    RefusedNotRun,
    UnknownResult,
    decode_max_rejections,
    decode_rate_limit,
    decode_retry_after,
)
from runhatch_server.targets._probe import (
    Probed,
    probe_connects,
    probe_refusal,
    refuses_connections,
)
from runhatch_server.targets._stream import (
    EventEndDetector,
    EventSplitter,
    EventTooLongError,
    has_data,
    is_terminal_event,
    parse_event_data,
    parse_event_id,
)
from runhatch_server.targets._stream_meter import StreamMeter

__all__ = [
    "Answer",
    "AttemptOutcome",
    "AttemptReason",
    "CacheEvent",
    "CacheEvents",
    "EngineClient",
    "EngineReport",
    "EventEndDetector",
    "EventSplitter",
    "EventTooLongError",
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
    "StreamMeter",
    "UnknownResult",
    "InvalidRateLimit",
    "InvalidWorkTime",
    "InvalidMaxRejections",
    "decode_max_rejections",
    "decode_rate_limit",
    "Probed",
    "probe_connects",
    "probe_refusal",
    "refuses_connections",
    "decode_retry_after",
    "decode_work_time",
    "compute_block_names",
    "parse_event_data",
    "parse_event_id",
    "has_data",
    "is_terminal_event",
]
