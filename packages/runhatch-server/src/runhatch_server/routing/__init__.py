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

__all__ = [
    "EngineModel",
    "EngineSpec",
    "LoadTimes",
    "RequestKind",
    "RequestLimits",
    "RouteSpec",
    "RouteTable",
    "RoutingConfiguration",
    "ServiceShare",
    "ServiceSpec",
    "choose_service",
]
