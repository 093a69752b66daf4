"""Detects requests that crash targets, reports them to all nodes and refuses them."""

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
