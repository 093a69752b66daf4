"""Messages between nodes, encoded as MessagePack by msgspec.

One envelope carries many facts, because the cost per message exceeds that of its bytes.
"""

import zlib
from collections.abc import Iterable

import msgspec

from runhatch_coordination import ORIGIN, MemberFact, Standing, StoreVersion, Vm
from runhatch_server.peers._permit_messages import (
    PermitAnswer,
    PermitRequest,
    RateLimitsUpdate,
)
from runhatch_server.peers._prompt_messages import (
    PromptPermitAnswer,
    PromptPermitRequest,
    PromptsReleased,
)
from runhatch_server.peers._room_messages import RoomReports
from runhatch_server.peers._store_time_messages import (
    StoreTimeAnswer,
    StoreTimeQuery,
    TableConfirmation,
)
from runhatch_server.peers._stream_messages import (
    StreamVersionAnswer,
    StreamVersionQuery,
    StreamVersionsUpdate,
)
from runhatch_server.peers._suspect_messages import (
    RequestsCleared,
    SuspectsDigest,
    TargetsEnded,
)
from runhatch_server.peers._usage_messages import (
    UsageAnswer,
    UsageRequest,
    UsageReturn,
)

ROWS_COMPRESSION_LEVEL = 1
"""Fastest level of zlib: 60 rows of 400 bytes shrink to an eighth in 0.2 ms."""
MAX_ROWS_BYTES = 16_777_216
"""Maximum size of the unpacked rows of one message.

Tables of the store are far smaller; the limit keeps a peer from exhausting memory.
"""
PROTOCOL_VERSION = 10
UNKNOWN_VERSION = StoreVersion(-1)
"""Version of a table of which no state is known."""
ALL_DOMAINS = "*"
"""Replaces the failure domain in sums over all nodes."""


class Member(msgspec.Struct, frozen=True, tag="member", array_like=True):
    """Membership state of one VM, as recorded by the sender."""

    name: str
    failure_domain: str
    address: str
    incarnation: int
    standing: Standing
    broadcast_port: int = 0
    forward_port: int = 0


class RevisionNotice(msgspec.Struct, frozen=True, tag="notice", array_like=True):
    """The sender has applied the revision at position ``number``."""

    number: int


class RevisionBody(msgspec.Struct, frozen=True, tag="body", array_like=True):
    """A complete revision, for a node that cannot read the store."""

    number: int
    operation: str
    author: str
    at: str
    note: str
    body_name: str
    digest: str
    body: bytes
    era: int = 0


class HostingFact(msgspec.Struct, frozen=True, tag="hosting", array_like=True):
    """Units that a target serves as of ``version`` of its ledger row."""

    target: str
    version: int
    units: tuple[str, ...]


class HostingsDigest(msgspec.Struct, frozen=True, tag="digest", array_like=True):
    """Digest of all hostings known to the sender."""

    digest: int


class DrainingTargets(msgspec.Struct, frozen=True, tag="draining", array_like=True):
    """Targets that the sender has observed to be draining."""

    targets: tuple[str, ...]


class DemandCounts(msgspec.Struct, frozen=True, tag="demand", array_like=True):
    """Number of requests by model since the sender's previous counts."""

    counts: dict[str, int]


class PlannerNotice(msgspec.Struct, frozen=True, tag="planner", array_like=True):
    """The node that plans a pool, as of a lease epoch."""

    pool: str
    holder: str
    address: str
    epoch: int


class LoadOfTarget(msgspec.Struct, frozen=True, array_like=True):
    """Outstanding work of the sender at one target.

    ``waiting_ms`` is the prompt processing still to be done, by tier, most urgent
    first.  ``busy`` is the share of the target's time taken by recent prompts.
    ``work_time`` is the target's latest statement of how long work takes there, in
    percent of the usual time, and its age in milliseconds.
    """

    target: str
    waiting_ms: tuple[int, ...]
    waiting: int
    running: int
    tokens: int
    held_ms: int = 0
    busy: float = 0.0
    work_time: tuple[int, int] | None = None


class TargetLoads(msgspec.Struct, frozen=True, tag="loads", array_like=True):
    """Outstanding work of the sender at some targets, at all of them if ``whole``.

    With a ``domain``, it is the sum over the nodes of that failure domain, or over all
    nodes if it is ``ALL_DOMAINS``.
    """

    loads: list[LoadOfTarget]
    whole: bool
    domain: str = ""


class DemandOfModel(msgspec.Struct, frozen=True, array_like=True):
    """Requests for a model, optionally with an adapter, since the previous message.

    Their answers must begin within ``goal_ms``.  For ``missed_requests`` of them no
    target held the model.  ``work_ms`` is the prompt processing that they require.  A
    new orderer also gets ``missed_for_ms``, the time for which no target has held it.
    """

    service: str
    model: str
    adapter: str
    priority: int
    goal_ms: int
    requests: int
    missed_requests: int
    work_ms: int
    missed_for_ms: int = 0


class DemandReport(msgspec.Struct, frozen=True, tag="asked", array_like=True):
    """Requests of callers to the sender since its previous message.

    A message to a new orderer covers the requests of the last ``age_ms``.
    """

    demand: list[DemandOfModel]
    age_ms: int = 0


class HoldingOfTarget(msgspec.Struct, frozen=True, array_like=True):
    """Models and adapters on a target, and loads with their remaining seconds."""

    target: str
    models: dict[str, list[str]]
    loading: list[tuple[str, float]]


class TargetHoldings(msgspec.Struct, frozen=True, tag="holdings", array_like=True):
    """Holdings of some targets, as known by the node that sends them orders.

    The node at ``orderer`` numbers its messages, because they reach other nodes by
    several paths.
    """

    epoch: int
    holdings: list[HoldingOfTarget]
    number: int = 0
    orderer: str = ""


class OrdererNotice(msgspec.Struct, frozen=True, tag="orderer", array_like=True):
    """The node at ``orderer`` holds the lease for sending orders to targets.

    ``renewal`` counts its renewals.  An empty ``orderer`` stands for the sender.
    """

    epoch: int
    renewal: int
    orderer: str = ""


class OrdererResigned(msgspec.Struct, frozen=True, tag="resigned", array_like=True):
    """The sender has released the lease for sending orders to targets.

    A successor waits for the seconds in ``first_order_waits`` before its first order to
    a target, and for ``default_wait`` seconds if the target is not in it.
    """

    epoch: int
    first_order_waits: dict[str, float]
    default_wait: float


class TableVersion(msgspec.Struct, frozen=True, tag="version", array_like=True):
    """The sender has read ``version`` of a watched table."""

    table: str
    version: StoreVersion


class TableUpdate(msgspec.Struct, frozen=True, tag="news", array_like=True):
    """Changes of a watched table, and whether the sender can still read it.

    ``rows`` are those changed after version ``after`` up to ``version``, packed by
    :func:`pack_rows` and empty if there are none, or the complete table if ``whole``.
    Without a known ``version``, the sender has not read the table yet.  ``changed`` is
    the version that readers announce for these rows, 0 if none.  The table did not
    change after ``after`` and these rows up to the store's time ``confirmed_ms``, if
    that is known.
    """

    table: str
    after: StoreVersion
    version: StoreVersion
    reachable: bool
    whole: bool = False
    rows: bytes = b""
    changed: StoreVersion = ORIGIN
    confirmed_ms: int | None = None


class TableStateRequest(msgspec.Struct, frozen=True, tag="state", array_like=True):
    """Requests state from the receiver.

    The answer has the changes of tables since these versions, and the complete table
    for ``UNKNOWN_VERSION``.  With ``members`` it also has the members and the node that
    sends orders to targets.
    """

    versions: dict[str, StoreVersion]
    members: bool = False


class RefusalQuery(msgspec.Struct, frozen=True, tag="refusal", array_like=True):
    """Asks whether ``target`` refuses connections from the receiver too."""

    number: int
    target: str


class RefusalAnswer(msgspec.Struct, frozen=True, tag="refusal_seen", array_like=True):
    """Answers the query ``number``; ``None`` if the target can't be reached."""

    number: int
    is_refused: bool | None


class LinkClosed(msgspec.Struct, frozen=True, tag="closed", array_like=True):
    """The sender has closed its link; the receiver must not suspect its silence."""


class StateRequest(msgspec.Struct, frozen=True, tag="wanted", array_like=True):
    """Requests the receiver's state, to be sent to the address ``reply_to``.

    The answer has all hostings, planners and members that are not alive, and the
    current revision if its position is after ``known``.
    """

    known: int
    reply_to: str


Fact = (
    Member
    | RevisionNotice
    | RevisionBody
    | HostingFact
    | DrainingTargets
    | DemandCounts
    | PlannerNotice
    | HostingsDigest
    | LinkClosed
    | StateRequest
    | TargetLoads
    | DemandReport
    | TargetHoldings
    | OrdererNotice
    | OrdererResigned
    | TableVersion
    | TableUpdate
    | TableStateRequest
    | TargetsEnded
    | RequestsCleared
    | SuspectsDigest
    | RefusalQuery
    | RefusalAnswer
    | RateLimitsUpdate
    | PermitRequest
    | PermitAnswer
    | PromptPermitRequest
    | PromptPermitAnswer
    | PromptsReleased
    | StreamVersionsUpdate
    | StreamVersionQuery
    | StreamVersionAnswer
    | RoomReports
    | StoreTimeQuery
    | StoreTimeAnswer
    | TableConfirmation
    | UsageRequest
    | UsageAnswer
    | UsageReturn
)


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """One message: its sender and its facts, possibly none.

    ``is_linked`` means that further messages follow at the heartbeat interval.
    """

    version: int
    sender: Member
    is_linked: bool
    facts: list[Fact]


def message_from_fact(fact: MemberFact) -> Member:
    """Return the message for membership fact ``fact``."""
    vm = fact.vm
    return Member(
        vm.name,
        vm.failure_domain,
        vm.address,
        vm.incarnation,
        fact.standing,
        vm.broadcast_port,
        vm.forward_port,
    )


def fact_from_message(member: Member) -> MemberFact:
    """Return the membership fact in ``member``."""
    vm = Vm(
        member.name,
        member.failure_domain,
        member.address,
        member.incarnation,
        member.broadcast_port,
        member.forward_port,
    )
    return MemberFact(vm, member.standing)


def pack_rows(rows: Iterable[tuple[str, bytes | None]]) -> bytes:
    """Return rows compressed for sending, to about a tenth as they are similar.

    >>> unpack_rows(pack_rows([("a", b"1"), ("b", None)]))
    [('a', b'1'), ('b', None)]
    """
    return zlib.compress(msgspec.msgpack.encode(list(rows)), ROWS_COMPRESSION_LEVEL)


def unpack_rows(packed: bytes) -> list[tuple[str, bytes | None]]:
    """Return the rows in ``packed``; raises ``ValueError`` if it is malformed."""
    unpacker = zlib.decompressobj()
    try:
        decompressed = unpacker.decompress(packed, MAX_ROWS_BYTES)
    except zlib.error as error:
        raise ValueError(f"rows cannot be decompressed: {error}") from None
    if not unpacker.eof:
        raise ValueError("rows are truncated or exceed the maximum size")
    try:
        return msgspec.msgpack.decode(decompressed, type=list[tuple[str, bytes | None]])
    except msgspec.MsgspecError as error:
        raise ValueError(f"rows cannot be decoded: {error}") from None
