"""Targets discovered at run time."""

from runhatch_server.fleet._directory import ExpectedLoad, TargetDirectory
from runhatch_server.fleet._targets import (
    HeldModels,
    StoredCopies,
    Target,
    TargetState,
)

__all__ = [
    "TargetDirectory",
    "ExpectedLoad",
    "HeldModels",
    "StoredCopies",
    "Target",
    "TargetState",
]
