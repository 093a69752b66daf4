"""Decisions of a gateway as pure functions and small state objects.

Nothing here does I/O, starts threads or reads a clock: callers pass the current time
and guard state that threads share.
"""

from runhatch_server.decisions._admission import (
    BEGIN_SLACK,
    BUSY_RETRY,
    Admitted,
    Judgement,
    Postponed,
    Rejected,
    judge,
    request_tier,
)
from runhatch_server.decisions._candidates import (
    BUSY_HOLDS,
    NoneWilling,
    Tried,
    choose_candidates,
)
from runhatch_server.decisions._fingerprint import fingerprint_of
from runhatch_server.decisions._load import (
    LATE_TIER,
    LoadShare,
    Outstanding,
    TargetLoad,
)
from runhatch_server.decisions._load_book import LoadBook
from runhatch_server.decisions._prefixes import PrefixIndex, prefix_blocks
from runhatch_server.decisions._rate_limits import (
    TRIAL_RATE,
    LimitedTarget,
    LimitSeen,
    PermitBucket,
    most_permits,
    share_of_rate,
)
from runhatch_server.decisions._rates import WorkRates
from runhatch_server.decisions._request import (
    GatewayRequest,
    Headers,
    ModelWork,
    PromptPart,
)
from runhatch_server.decisions._scoring import HeldPlace, Scored, Scorer
from runhatch_server.decisions._spread import Spread, spread
from runhatch_server.decisions._suspects import EndedUnder, Suspects

__all__ = [
    "Admitted",
    "BEGIN_SLACK",
    "BUSY_HOLDS",
    "BUSY_RETRY",
    "choose_candidates",
    "EndedUnder",
    "fingerprint_of",
    "GatewayRequest",
    "Headers",
    "HeldPlace",
    "judge",
    "Judgement",
    "LATE_TIER",
    "LimitedTarget",
    "LimitSeen",
    "LoadBook",
    "LoadShare",
    "ModelWork",
    "most_permits",
    "NoneWilling",
    "Outstanding",
    "PermitBucket",
    "Postponed",
    "prefix_blocks",
    "PrefixIndex",
    "PromptPart",
    "Rejected",
    "request_tier",
    "Scored",
    "Scorer",
    "share_of_rate",
    "Spread",
    "spread",
    "Suspects",
    "TargetLoad",
    "TRIAL_RATE",
    "Tried",
    "WorkRates",
]
