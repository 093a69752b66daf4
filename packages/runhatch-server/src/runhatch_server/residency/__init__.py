"""Decide which models targets load when they cannot hold all declared models."""

from runhatch_server.residency._adapter_policy import (
    AdapterDeferralReason,
    AdapterLoad,
    AdapterPlan,
    DeferredAdapter,
    plan_adapters,
)
from runhatch_server.residency._control import ControlState, Intent, TargetControl
from runhatch_server.residency._demand import (
    HURRIED_GOAL,
    MISS_RETENTION,
    Demand,
    DemandBook,
    DemandKey,
    DemandShare,
    priority_weight,
)
from runhatch_server.residency._fleet_view import FleetView
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
    DeferralReason,
    DeferredModel,
    ModelLoad,
    ModelPlan,
    plan_models,
)
from runhatch_server.residency._publishing import Holding

__all__ = [
    "AdapterDeferralReason",
    "AdapterPlan",
    "Demand",
    "DemandBook",
    "DemandShare",
    "HURRIED_GOAL",
    "FleetView",
    "Holding",
    "Intent",
    "DeferredAdapter",
    "DeferralReason",
    "DeferredModel",
    "AdapterLoad",
    "ModelLoad",
    "LoadPermits",
    "MISS_RETENTION",
    "ModelPlan",
    "OVERDUE",
    "OrderClient",
    "OrderTimes",
    "Orderer",
    "Resignation",
    "ControlState",
    "TargetControl",
    "TargetOrder",
    "TargetReport",
    "DemandKey",
    "plan_adapters",
    "plan_models",
    "priority_weight",
]
