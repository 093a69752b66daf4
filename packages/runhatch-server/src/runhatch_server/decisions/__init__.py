"""What a gateway decides, as functions and small aggregates of what was observed.

Nothing here does input or output, starts threads or looks at a clock: whoever
calls passes the time in, and guards what is shared between threads.
"""

from runhatch_server.decisions._load import (
    BASE_MS,
    LATE_TIER,
    LoadShare,
    Outstanding,
    TargetLoad,
)
from runhatch_server.decisions._load_book import LoadBook
from runhatch_server.decisions._request import (
    GatewayRequest,
    Headers,
    ModelWork,
    PromptPart,
)
from runhatch_server.decisions._scoring import HeldPlace, Scored, Scorer

__all__ = [
    "BASE_MS",
    "GatewayRequest",
    "HeldPlace",
    "Headers",
    "LATE_TIER",
    "LoadBook",
    "LoadShare",
    "ModelWork",
    "Outstanding",
    "PromptPart",
    "Scored",
    "Scorer",
    "TargetLoad",
]
