"""Routing of requests by host and path to services."""

from runhatch_server.routing._specs import (
    EngineModel,
    EngineSpec,
    LoadTimes,
    RequestKind,
    RequestLimits,
    RouteSpec,
    RoutingConfiguration,
    ServiceShare,
    ServiceSpec,
)
from runhatch_server.routing._table import RouteTable, choose_service
from runhatch_server.routing._workspaces import (
    KeyDirectory,
    UsageCap,
    UsageUnit,
    WorkspaceSpec,
    digest_key,
)

__all__ = [
    "EngineModel",
    "EngineSpec",
    "KeyDirectory",
    "LoadTimes",
    "RequestKind",
    "RequestLimits",
    "RouteSpec",
    "RouteTable",
    "RoutingConfiguration",
    "ServiceShare",
    "ServiceSpec",
    "UsageCap",
    "UsageUnit",
    "WorkspaceSpec",
    "choose_service",
    "digest_key",
]
