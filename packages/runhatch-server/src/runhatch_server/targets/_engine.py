"""Sends orders to model engines and reads their reports.

An order is a JSON document sent to ``POST /v1/orders``; a report is read from
``GET /v1/state``.
"""

from dataclasses import dataclass
from datetime import timedelta
from enum import Enum
from typing import TypeVar

import msgspec

from runhatch_coordination import Unavailable, Unknown
from runhatch_server.http import HttpClient, Reply
from runhatch_server.targets._cache_events import CacheEvents

ENGINE_TIMEOUT = timedelta(seconds=1)
DocumentT = TypeVar("DocumentT")


class OrderKind(Enum):
    """Operation that an order requests of an engine."""

    LOAD = "load"
    UNLOAD = "unload"
    SET_ROLE = "set_role"


@dataclass(frozen=True, slots=True)
class Order:
    """An order; ``number`` is its fencing number, which increases per engine."""

    kind: OrderKind
    unit: str
    number: int
    memory_mb: int = 0
    loading_peak_mb: int = 0
    base: str = ""
    role: str = ""


class OrderOutcome(Enum):
    """Result of sending an order."""

    ACCEPTED = "accepted"
    ALREADY_DONE = "already"
    """The engine is already in the requested state."""
    CONFLICT = "conflict"
    """Another order is running, or has run since the one that this order follows."""
    TARGET_REPLACED = "gone"
    """The address now belongs to another target."""
    REFUSED_STALE = "refused_old"
    REFUSED = "refused"
    NOT_SENT = "not_sent"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class LoadedUnit:
    """A model version or adapter that the engine has loaded and serves."""

    unit: str
    memory_mb: int


@dataclass(frozen=True, slots=True)
class EngineReport:
    """State that an engine reports of itself; it may be out of date.

    ``incarnation`` changes when the engine restarts, which empties its memory;
    ``fence`` is the highest order number that the engine has accepted.
    """

    incarnation: str
    fence: int
    units: tuple[LoadedUnit, ...]
    running: int
    waiting: int
    draining: bool = False
    loading: tuple[str, ...] = ()

    def has_loaded(self, unit: str) -> bool:
        """Return whether ``unit`` is loaded."""
        return any(loaded.unit == unit for loaded in self.units)


class EngineClient:
    """Sends orders to one engine and reads its reports."""

    def __init__(self, url: str, timeout: timedelta = ENGINE_TIMEOUT) -> None:
        self._http = HttpClient(url, timeout)

    def send_order(self, order: Order) -> OrderOutcome:
        """Send ``order`` once, without retries."""
        body = msgspec.json.encode(order)
        headers = {"Content-Type": "application/json"}
        reply = self._http.send_request("POST", "/v1/orders", body, headers)
        match reply:
            case Unavailable():
                return OrderOutcome.NOT_SENT
            case Unknown():
                return OrderOutcome.UNKNOWN
        if reply.status in (200, 202):
            return OrderOutcome.ACCEPTED
        if reply.status == 412:
            return OrderOutcome.REFUSED_STALE
        return OrderOutcome.REFUSED if reply.status < 500 else OrderOutcome.UNKNOWN

    def fetch_report(self) -> EngineReport | Unavailable:
        """Read the engine's report."""
        return self._read("/v1/state", EngineReport)

    def fetch_cache_events(self, after: int, limit: int) -> CacheEvents | Unavailable:
        """Read at most ``limit`` cache events numbered above ``after``."""
        return self._read(f"/v1/cache_events?after={after}&limit={limit}", CacheEvents)

    def cancel_request(self, request_id: str) -> None:
        """Request the engine to stop a request; failures are ignored."""
        self._http.send_request("DELETE", f"/v1/requests/{request_id}", b"", {})

    def _read(
        self, path: str, document_type: type[DocumentT]
    ) -> DocumentT | Unavailable:
        """Read and decode a document; retry once if the response was lost."""
        reply = self._http.send_request("GET", path, b"", {})
        if isinstance(reply, Unknown):
            reply = self._http.send_request("GET", path, b"", {})
        if not isinstance(reply, Reply):
            return Unavailable(reply.reason)
        if reply.status != 200:
            return Unavailable(f"the engine returned status {reply.status}")
        try:
            return msgspec.json.decode(reply.body, type=document_type)
        except msgspec.MsgspecError as error:
            return Unavailable(f"the engine's response cannot be decoded: {error}")
