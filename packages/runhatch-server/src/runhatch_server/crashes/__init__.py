"""Detects requests that crash targets, reports them to all nodes and refuses them."""

from runhatch_server.crashes._exchange import (
    DIGEST_INTERVAL,
    SuspectExchange,
    SuspectMessage,
)
from runhatch_server.crashes._refusals import RefusalCheck, RefusalMessage
from runhatch_server.crashes._trait_watch import TraitWatch
from runhatch_server.crashes._trial_owner import TrialOwner
from runhatch_server.crashes._watch import (
    CHECK_INTERVAL,
    CrashDetector,
    TargetMonitor,
    TargetStanding,
)

__all__ = [
    "DIGEST_INTERVAL",
    "CrashDetector",
    "CHECK_INTERVAL",
    "TargetStanding",
    "RefusalCheck",
    "RefusalMessage",
    "SuspectExchange",
    "SuspectMessage",
    "TargetMonitor",
    "TraitWatch",
    "TrialOwner",
]
