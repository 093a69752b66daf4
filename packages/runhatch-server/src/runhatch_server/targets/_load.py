"""Decodes load reports in response headers, in the ORCA JSON format.

Source: the Open Request Cost Aggregation header ``endpoint-load-metrics``, which
model engines and proxies use.
"""

import re
from dataclasses import dataclass

import msgspec

LOAD_HEADER = "endpoint-load-metrics"
FORMAT_PREFIX = "JSON "
WORK_TIME_PERCENTS = range(5, 2_001)
"""Believable statements of how long work takes, in percent of the usual time."""
PERCENT_PATTERN = re.compile(r"[0-9]{1,6}", re.ASCII)
MAX_LOGGED_CHARACTERS = 40
"""Characters of an invalid value that are logged."""


@dataclass(frozen=True, slots=True)
class InvalidWorkTime:
    """An invalid statement of how long work takes, truncated for logging."""

    value: str


def decode_work_time(value: str) -> float | InvalidWorkTime:
    """Decode how long work takes at a target, in percent of the usual time.

    Returns it relative to the usual time.

    >>> decode_work_time("170")
    1.7
    >>> decode_work_time("slow"), decode_work_time("0")
    (InvalidWorkTime(value='slow'), InvalidWorkTime(value='0'))
    """
    if PERCENT_PATTERN.fullmatch(value) and int(value) in WORK_TIME_PERCENTS:
        return int(value) / 100
    return InvalidWorkTime(value[:MAX_LOGGED_CHARACTERS])


@dataclass(frozen=True, slots=True)
class ReportedLoad:
    """Numbers of running and waiting requests that a target reported."""

    running: int
    waiting: int
    work_time_factor: float | InvalidWorkTime | None = None
    """How long work takes at this moment, relative to the usual time of the service;
    ``None`` if the target did not state it."""


class _NamedMetrics(msgspec.Struct):
    num_requests_running: float = 0
    num_requests_waiting: float = 0


class _OrcaReport(msgspec.Struct):
    named_metrics: _NamedMetrics = msgspec.field(default_factory=_NamedMetrics)


def parse_load(header: str | None) -> ReportedLoad | None:
    """Decode a header value; return ``None`` if it is absent or not valid.

    >>> parse_load('JSON {"named_metrics": {"num_requests_running": 3}}')
    ReportedLoad(running=3, waiting=0, work_time_factor=None)
    >>> parse_load("TEXT cpu=0.3") is None
    True
    """
    if header is None or not header.startswith(FORMAT_PREFIX):
        return None
    try:
        report = msgspec.json.decode(header[len(FORMAT_PREFIX) :], type=_OrcaReport)
    except msgspec.MsgspecError:
        return None
    metrics = report.named_metrics
    return ReportedLoad(
        int(metrics.num_requests_running), int(metrics.num_requests_waiting)
    )
