"""Decide which models targets load when they cannot hold all declared models."""

from runhatch_server.residency._adapter_policy import (
    AdapterLeft,
    AdapterPlan,
    LeftAdapter,
    LoadAdapter,
    plan_adapters,
)
from runhatch_server.residency._control import Intent, Step, TargetControl
from runhatch_server.residency._demand import (
    HURRIED_GOAL,
    MISSES_REMEMBERED,
    Demand,
    DemandBook,
    DemandShare,
    Wanted,
    rank_weight,
)
from runhatch_server.residency._handover import OrderTimes, Resignation
from runhatch_server.residency._needs import OVERDUE
from runhatch_server.residency._orderer import Orderer
from runhatch_server.residency._orders import (
    OrderClient,
    TargetOrder,
    TargetReport,
)
from runhatch_server.residency._permits import LoadPermits
from runhatch_server.residency._policy import (
    LeftBecause,
    LeftModel,
    LoadModel,
    ModelPlan,
    plan_models,
)
from runhatch_server.residency._telling import Holding
from runhatch_server.residency._view import FleetView

__all__ = [
    "AdapterLeft",
    "AdapterPlan",
    "Demand",
    "DemandBook",
    "DemandShare",
    "HURRIED_GOAL",
    "FleetView",
    "Holding",
    "Intent",
    "LeftAdapter",
    "LeftBecause",
    "LeftModel",
    "LoadAdapter",
    "LoadModel",
    "LoadPermits",
    "MISSES_REMEMBERED",
    "ModelPlan",
    "OVERDUE",
    "OrderClient",
    "OrderTimes",
    "Orderer",
    "Resignation",
    "Step",
    "TargetControl",
    "TargetOrder",
    "TargetReport",
    "Wanted",
    "plan_adapters",
    "plan_models",
    "rank_weight",
]
