"""Replays workloads with the real planner and router against simulated targets.

It runs on a simulated clock.  It does not simulate a cluster: entry nodes share their
picture immediately, and nothing fails.
"""

from replay._bound import pooled_bound
from replay._placements import EvenStatic, FollowDemand, Placement, RunhatchPlacement
from replay._run import Result, replay
from replay._workload import ASSOCIATION, TUMEN, Size, Workload, make_workload

__all__ = [
    "ASSOCIATION",
    "TUMEN",
    "EvenStatic",
    "FollowDemand",
    "Placement",
    "Result",
    "RunhatchPlacement",
    "Size",
    "Workload",
    "make_workload",
    "pooled_bound",
    "replay",
]
