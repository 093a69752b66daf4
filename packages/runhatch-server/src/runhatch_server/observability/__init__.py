"""Metrics, structured logs and request traces."""

from runhatch_server.observability._levels import LogLevel
from runhatch_server.observability._logs import (
    LogQueue,
    RequestLog,
    configure_logs,
    flush_logs,
    log_change,
)
from runhatch_server.observability._metrics import Metrics
from runhatch_server.observability._traces import (
    AttemptTrace,
    RequestTrace,
    TraceLog,
)

__all__ = [
    "AttemptTrace",
    "LogLevel",
    "LogQueue",
    "Metrics",
    "RequestLog",
    "RequestTrace",
    "TraceLog",
    "configure_logs",
    "flush_logs",
    "log_change",
]
