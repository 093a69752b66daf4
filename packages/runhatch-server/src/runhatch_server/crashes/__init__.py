"""Requests that end targets: found out, told to all nodes, held back."""

from runhatch_server.crashes._exchange import ASK_EVERY, SuspectExchange, SuspectFact
from runhatch_server.crashes._watch import (
    LOOK_EVERY,
    CrashWatch,
    Standing,
    Targets,
)

__all__ = [
    "ASK_EVERY",
    "CrashWatch",
    "LOOK_EVERY",
    "Standing",
    "SuspectExchange",
    "SuspectFact",
    "Targets",
]
