"""Coordination for many nodes over a transactional table.

Leases with epochs, conditional writes with lost answers, at-most-once claims,
revisions, membership, shared permits and retry budgets.
"""

from runhatch_coordination._budget import RetryBudget
from runhatch_coordination._claims import (
    CLAIM_PARTITION,
    ClaimOutcome,
    ClaimRecord,
    Claims,
    ClaimState,
    Committer,
    Done,
    Mismatch,
    Pending,
    Taken,
    stored_claim,
)
from runhatch_coordination._clock import Clock, SystemClock
from runhatch_coordination._commit import commit
from runhatch_coordination._errors import CoordinationError, InvariantError, require
from runhatch_coordination._group import GroupCommitter
from runhatch_coordination._leases import (
    LEASE_PARTITION,
    Epoch,
    Lease,
    LeaseChange,
    LeaseRecord,
)
from runhatch_coordination._members import MemberFact, Membership, Standing
from runhatch_coordination._peers import Vm, choose_peers, rank, weight
from runhatch_coordination._permits import PermitRecord, SharedPermits
from runhatch_coordination._revisions import (
    ObjectStore,
    Overtaken,
    PublishOutcome,
    Revision,
    RevisionEntry,
    RevisionFeed,
    RevisionLog,
    digest_of,
)
from runhatch_coordination._table import (
    ABSENT,
    Check,
    Committed,
    Conflict,
    Delete,
    GetOutcome,
    Key,
    Missing,
    Put,
    QueryOutcome,
    Row,
    Table,
    TransactOutcome,
    Unavailable,
    Unknown,
    Write,
)

__all__ = [
    "ABSENT",
    "CLAIM_PARTITION",
    "LEASE_PARTITION",
    "Check",
    "ClaimOutcome",
    "ClaimRecord",
    "ClaimState",
    "Claims",
    "Clock",
    "Committed",
    "Committer",
    "Conflict",
    "CoordinationError",
    "Delete",
    "Done",
    "Epoch",
    "GetOutcome",
    "GroupCommitter",
    "InvariantError",
    "Key",
    "Lease",
    "LeaseChange",
    "LeaseRecord",
    "MemberFact",
    "Membership",
    "Mismatch",
    "Missing",
    "ObjectStore",
    "Overtaken",
    "Pending",
    "PermitRecord",
    "PublishOutcome",
    "Put",
    "QueryOutcome",
    "RetryBudget",
    "Revision",
    "RevisionEntry",
    "RevisionFeed",
    "RevisionLog",
    "Row",
    "SharedPermits",
    "Standing",
    "SystemClock",
    "Table",
    "Taken",
    "TransactOutcome",
    "Unavailable",
    "Unknown",
    "Vm",
    "Write",
    "choose_peers",
    "commit",
    "digest_of",
    "rank",
    "require",
    "stored_claim",
    "weight",
]
