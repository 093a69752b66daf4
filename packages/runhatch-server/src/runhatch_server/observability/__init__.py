"""Metrics, structured logs and request traces."""

from runhatch_server.observability._logs import RequestLog, configure_logs, log_change
from runhatch_server.observability._metrics import Metrics
from runhatch_server.observability._traces import (
    AttemptTrace,
    RequestTrace,
    TraceLog,
)

__all__ = [
    "AttemptTrace",
    "Metrics",
    "RequestLog",
    "RequestTrace",
    "TraceLog",
    "configure_logs",
    "log_change",
]
