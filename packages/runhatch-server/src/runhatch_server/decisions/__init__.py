"""Decisions of a gateway as pure functions and small state objects.

Nothing here does I/O, starts threads or reads a clock: callers pass the current time
and guard state that threads share.
"""

from runhatch_server.decisions._admission import (
    BUSY_RETRY_DELAY,
    MIN_START_SLACK,
    AdmissionDecision,
    Admitted,
    Postponed,
    Rejected,
    decide_admission,
    request_tier,
    stream_pause_limit_ms,
)
from runhatch_server.decisions._candidates import (
    BUSY_AVOIDANCE_DURATION,
    NoCandidates,
    TriedTargets,
    choose_candidates,
)
from runhatch_server.decisions._durations import RecentDurations
from runhatch_server.decisions._fingerprint import compute_fingerprint
from runhatch_server.decisions._load import (
    LATE_TIER,
    LoadShare,
    OutstandingRequest,
    TargetLoad,
)
from runhatch_server.decisions._load_book import LoadBook
from runhatch_server.decisions._pace import Pace, TargetPaces
from runhatch_server.decisions._peer_choice import PeerChoice, Work
from runhatch_server.decisions._prefixes import PrefixIndex, prefix_blocks
from runhatch_server.decisions._prompt_queue import (
    BegunPrompt,
    KnownPrompts,
    PermitState,
    PromptAnswer,
    PromptQueue,
    PromptRequest,
)
from runhatch_server.decisions._prompt_traits import (
    TRAIT_SCOPES,
    compute_traits,
    is_trait,
    join_trait,
    make_block_traits,
    split_trait,
)
from runhatch_server.decisions._rate_limits import (
    MIN_RATE,
    LimitedTarget,
    ObservedLimit,
    PermitBucket,
    bucket_capacity,
    issued_rate_share,
)
from runhatch_server.decisions._rates import WorkRates
from runhatch_server.decisions._record_keepers import (
    KEEPER_SLOTS,
    KeeperChange,
    choose_keepers,
    compare_keepers,
    keeper_slot,
)
from runhatch_server.decisions._request import (
    GatewayRequest,
    Headers,
    ModelWork,
    PromptPart,
)
from runhatch_server.decisions._room import (
    BRITTLE_GRACE,
    RoomAnswer,
    RoomGate,
    RoomReport,
)
from runhatch_server.decisions._scoring import HeldRequest, ScoredTarget, Scorer
from runhatch_server.decisions._software_versions import (
    find_sole_recent_version,
    select_version,
)
from runhatch_server.decisions._spread import WorkDistribution, distribute_work
from runhatch_server.decisions._stream_records import (
    RECORD_RETENTION,
    RecordOutcome,
    StreamKey,
    StreamRecord,
    StreamRecords,
)
from runhatch_server.decisions._suspect_traits import HeldTrait, SuspectTraits
from runhatch_server.decisions._suspects import (
    IncompleteRequest,
    ObservedEnd,
    Suspects,
)
from runhatch_server.decisions._trait_trials import TraitTrials
from runhatch_server.decisions._usage import (
    SubstituteBucket,
    UsageBucket,
    granted_share,
    initial_level,
)
from runhatch_server.decisions._version_records import (
    VersionRecord,
    missing_record,
    plan_version_record,
)
from runhatch_server.decisions._work_time import (
    WorkTime,
    WorkTimeStatement,
)

__all__ = [
    "Admitted",
    "MIN_START_SLACK",
    "BUSY_AVOIDANCE_DURATION",
    "BUSY_RETRY_DELAY",
    "choose_candidates",
    "choose_keepers",
    "ObservedEnd",
    "compute_fingerprint",
    "compute_traits",
    "HeldTrait",
    "IncompleteRequest",
    "is_trait",
    "join_trait",
    "split_trait",
    "TRAIT_SCOPES",
    "SuspectTraits",
    "GatewayRequest",
    "Headers",
    "HeldRequest",
    "decide_admission",
    "AdmissionDecision",
    "KEEPER_SLOTS",
    "KeeperChange",
    "compare_keepers",
    "keeper_slot",
    "LATE_TIER",
    "LimitedTarget",
    "ObservedLimit",
    "LoadBook",
    "LoadShare",
    "make_block_traits",
    "ModelWork",
    "bucket_capacity",
    "NoCandidates",
    "OutstandingRequest",
    "Pace",
    "PeerChoice",
    "PermitBucket",
    "PermitState",
    "BegunPrompt",
    "KnownPrompts",
    "PromptAnswer",
    "PromptQueue",
    "PromptRequest",
    "stream_pause_limit_ms",
    "Postponed",
    "prefix_blocks",
    "PrefixIndex",
    "PromptPart",
    "RECORD_RETENTION",
    "RecentDurations",
    "RecordOutcome",
    "Rejected",
    "request_tier",
    "BRITTLE_GRACE",
    "RoomAnswer",
    "RoomGate",
    "RoomReport",
    "ScoredTarget",
    "Scorer",
    "granted_share",
    "initial_level",
    "issued_rate_share",
    "SubstituteBucket",
    "UsageBucket",
    "Work",
    "WorkDistribution",
    "distribute_work",
    "find_sole_recent_version",
    "select_version",
    "StreamKey",
    "StreamRecord",
    "StreamRecords",
    "Suspects",
    "TargetLoad",
    "TargetPaces",
    "TraitTrials",
    "MIN_RATE",
    "TriedTargets",
    "VersionRecord",
    "missing_record",
    "plan_version_record",
    "WorkRates",
    "WorkTime",
    "WorkTimeStatement",
]
