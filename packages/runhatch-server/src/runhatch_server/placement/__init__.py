"""Placement of models on targets: the memory ledger and the planner."""

from runhatch_server.decisions import WorkDistribution, distribute_work
from runhatch_server.placement._actions import (
    Action,
    LoadUnit,
    RetireUnit,
    Urgency,
)
from runhatch_server.placement._ledger import Charge, ChargeState, LedgerRow
from runhatch_server.placement._planner import explain, plan
from runhatch_server.placement._reconcile import (
    Reconciled,
    TargetView,
    UnitTimes,
    reconcile,
)
from runhatch_server.placement._service import PlacementService
from runhatch_server.placement._shard import (
    LedgerLostError,
    ShardPlanner,
    hosting_of,
)
from runhatch_server.placement._state import PoolState
from runhatch_server.placement._store import LedgerStore, VersionedRow

__all__ = [
    "Action",
    "Charge",
    "ChargeState",
    "LedgerLostError",
    "LedgerRow",
    "LedgerStore",
    "LoadUnit",
    "PlacementService",
    "PoolState",
    "Reconciled",
    "RetireUnit",
    "ShardPlanner",
    "WorkDistribution",
    "TargetView",
    "UnitTimes",
    "Urgency",
    "VersionedRow",
    "explain",
    "hosting_of",
    "plan",
    "reconcile",
    "distribute_work",
]
