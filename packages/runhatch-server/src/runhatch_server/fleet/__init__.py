"""Targets discovered at run time."""

from runhatch_server.fleet._directory import Directory, ExpectedLoad
from runhatch_server.fleet._targets import (
    HeldModels,
    StoredCopies,
    Target,
    TargetState,
)

__all__ = [
    "Directory",
    "ExpectedLoad",
    "HeldModels",
    "StoredCopies",
    "Target",
    "TargetState",
]
