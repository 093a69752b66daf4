"""Load reports on answers, in the ORCA JSON header format.

Source: the Open Request Cost Aggregation header ``endpoint-load-metrics``, which
model engines and proxies use.
"""

from dataclasses import dataclass

import msgspec

LOAD_HEADER = "endpoint-load-metrics"
FORMAT_PREFIX = "JSON "


@dataclass(frozen=True, slots=True)
class ReportedLoad:
    """What a target said of itself: requests running and waiting there."""

    running: int
    waiting: int


class _Named(msgspec.Struct):
    num_requests_running: float = 0
    num_requests_waiting: float = 0


class _Orca(msgspec.Struct):
    named_metrics: _Named = msgspec.field(default_factory=_Named)


def parse_load(header: str | None) -> ReportedLoad | None:
    """Return the load in a header value, ``None`` if there is none to read.

    >>> parse_load('JSON {"named_metrics": {"num_requests_running": 3}}')
    ReportedLoad(running=3, waiting=0)
    >>> parse_load("TEXT cpu=0.3") is None
    True
    """
    if header is None or not header.startswith(FORMAT_PREFIX):
        return None
    try:
        orca = msgspec.json.decode(header[len(FORMAT_PREFIX) :], type=_Orca)
    except msgspec.MsgspecError:
        return None
    named = orca.named_metrics
    return ReportedLoad(
        int(named.num_requests_running), int(named.num_requests_waiting)
    )
