"""Serves callers' requests: parsing, routing, limits, retries, streams, claims."""

from runhatch_server.serving._answer_store import AnswerStore
from runhatch_server.serving._app import CallerApp
from runhatch_server.serving._attempts import Attempter
from runhatch_server.serving._cache_event_reader import CacheEventReader
from runhatch_server.serving._canceller import Canceller
from runhatch_server.serving._demand import DemandCounter
from runhatch_server.serving._dispatch import Dispatcher, Grant
from runhatch_server.serving._headers import DEFAULT_CALLER, PRIORITIES
from runhatch_server.serving._once_guard import OnceGuard
from runhatch_server.serving._placement_cache import Host, Hosting, PlacementCache
from runhatch_server.serving._queue import Waiter
from runhatch_server.serving._request import CallerRequest, Route, RouteKind
from runhatch_server.serving._request_reader import RequestReader, declared_priority
from runhatch_server.serving._route_preview import (
    HostPreview,
    RouteOutcome,
    RoutePreview,
    Verdict,
)
from runhatch_server.serving._service import ServingService
from runhatch_server.serving._target_incarnations import TargetIncarnations

__all__ = [
    "AnswerStore",
    "Attempter",
    "CacheEventReader",
    "CallerApp",
    "CallerRequest",
    "Canceller",
    "DEFAULT_CALLER",
    "DemandCounter",
    "Dispatcher",
    "Grant",
    "Host",
    "HostPreview",
    "Hosting",
    "OnceGuard",
    "PRIORITIES",
    "PlacementCache",
    "RequestReader",
    "Route",
    "RouteKind",
    "RouteOutcome",
    "RoutePreview",
    "ServingService",
    "TargetIncarnations",
    "Verdict",
    "Waiter",
    "declared_priority",
]
