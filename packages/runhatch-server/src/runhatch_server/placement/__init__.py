"""Placement of models on targets: the memory ledger and the planner."""

from runhatch_server.decisions import WorkDistribution, distribute_work
from runhatch_server.placement._actions import (
    Action,
    LoadUnit,
    RetireUnit,
    Urgency,
)
from runhatch_server.placement._ledger import Charge, ChargeState, LedgerRow
from runhatch_server.placement._planner import explain_placement, plan
from runhatch_server.placement._reconcile import (
    Reconciliation,
    TargetSnapshot,
    UnitTimes,
    reconcile,
)
from runhatch_server.placement._service import PlacementService
from runhatch_server.placement._shard import (
    LedgerLostError,
    ShardPlanner,
    hosting_from_row,
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
    "Reconciliation",
    "RetireUnit",
    "ShardPlanner",
    "WorkDistribution",
    "TargetSnapshot",
    "UnitTimes",
    "Urgency",
    "VersionedRow",
    "explain_placement",
    "hosting_from_row",
    "plan",
    "reconcile",
    "distribute_work",
]
