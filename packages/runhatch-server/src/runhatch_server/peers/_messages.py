"""Messages between nodes, encoded by msgspec as MessagePack.

One envelope carries many facts, since a message costs far more than its bytes.
"""

import zlib
from collections.abc import Iterable

import msgspec

from runhatch_coordination import MemberFact, Standing, StoreVersion, Vm

ROWS_LEVEL = 1
"""Fastest compression: 60 rows of 400 bytes in 0.2 ms, to an eighth."""
MOST_ROWS_BYTES = 16_777_216
"""Unpacked rows of one message at the most; the store's tables hold far less, and a
peer must not make a node use its memory."""
VERSION = 7
UNKNOWN_VERSION = StoreVersion(-1)
"""Stands for the version of a table of which nothing is known."""
ALL_DOMAINS = "*"
"""Stands for a failure domain in sums over all nodes."""


class Member(msgspec.Struct, frozen=True, tag="member", array_like=True):
    """What is believed of one VM."""

    name: str
    failure_domain: str
    address: str
    incarnation: int
    standing: Standing
    broadcast_port: int = 0


class RevisionNotice(msgspec.Struct, frozen=True, tag="notice", array_like=True):
    """The sender has the revision at the position ``number`` in force."""

    number: int


class RevisionBody(msgspec.Struct, frozen=True, tag="body", array_like=True):
    """A whole revision, for a node that cannot read the store."""

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
    """What a target serves, as of a version of its ledger row."""

    target: str
    version: int
    units: tuple[str, ...]


class PictureDigest(msgspec.Struct, frozen=True, tag="digest", array_like=True):
    """What the sender's hostings add up to."""

    digest: int


class DrainingTargets(msgspec.Struct, frozen=True, tag="draining", array_like=True):
    """Targets seen draining by the sender."""

    targets: tuple[str, ...]


class DemandCounts(msgspec.Struct, frozen=True, tag="demand", array_like=True):
    """Requests by model since the sender's last counts."""

    counts: dict[str, int]


class PlannerNotice(msgspec.Struct, frozen=True, tag="planner", array_like=True):
    """Who plans a pool, as of a lease epoch."""

    pool: str
    holder: str
    address: str
    epoch: int


class LoadOfTarget(msgspec.Struct, frozen=True, array_like=True):
    """What the sender has outstanding at one target.

    ``waiting_ms`` is prompt reading still ahead, by tier, most urgent first, and
    ``busy`` the share of the target's time that prompts sent of late take.
    """

    target: str
    waiting_ms: tuple[int, ...]
    waiting: int
    running: int
    tokens: int
    held_ms: int = 0
    busy: float = 0.0


class TargetLoads(msgspec.Struct, frozen=True, tag="loads", array_like=True):
    """What the sender has outstanding at some targets, all of them if ``whole``.

    With a ``domain`` it is what the nodes of that failure domain have together, or
    all nodes if it is ``ALL_DOMAINS``.
    """

    loads: list[LoadOfTarget]
    whole: bool
    domain: str = ""


class DemandOfModel(msgspec.Struct, frozen=True, array_like=True):
    """Requests for a model, perhaps with an adapter, since the last count.

    Answers to them must begin within ``goal_ms``.  ``missed`` of them found no
    target that holds it; ``work_ms`` is the prompt reading that they ask for.  A new
    orderer is told for how long it has been missed.
    """

    service: str
    model: str
    adapter: str
    priority: int
    goal_ms: int
    requests: int
    missed: int
    work_ms: int
    missed_for_ms: int = 0


class ModelDemand(msgspec.Struct, frozen=True, tag="asked", array_like=True):
    """What callers have asked of the sender since it told last.

    To a new orderer it is what they asked within the last ``age_ms``.
    """

    demand: list[DemandOfModel]
    age_ms: int = 0


class HoldingOfTarget(msgspec.Struct, frozen=True, array_like=True):
    """What a target holds, and what it is loading, with the seconds left."""

    target: str
    models: dict[str, list[str]]
    loading: list[tuple[str, float]]


class TargetHoldings(msgspec.Struct, frozen=True, tag="holdings", array_like=True):
    """What the node that orders the targets knows of some of them.

    The node at ``orderer`` numbers what it tells; it reaches others by several ways.
    """

    epoch: int
    holdings: list[HoldingOfTarget]
    number: int = 0
    orderer: str = ""


class OrdererNotice(msgspec.Struct, frozen=True, tag="orderer", array_like=True):
    """The node at ``orderer`` holds the lease for ordering targets.

    It has renewed it so many times; without an address it is the sender.
    """

    epoch: int
    renewal: int
    orderer: str = ""


class OrdererResigned(msgspec.Struct, frozen=True, tag="resigned", array_like=True):
    """The sender held the lease for ordering targets, and gives no further order.

    A successor waits ``waits`` seconds before it orders a target, ``others_wait``
    before it orders one that is not named.
    """

    epoch: int
    waits: dict[str, float]
    others_wait: float


class TableVersion(msgspec.Struct, frozen=True, tag="version", array_like=True):
    """The sender has seen ``version`` of a watched table."""

    table: str
    version: StoreVersion


class TableNews(msgspec.Struct, frozen=True, tag="news", array_like=True):
    """What the sender has read of a watched table, and whether it can go on reading.

    ``rows`` changed after version ``after`` up to ``version``, see
    :func:`pack_rows`; empty if none did.  They are the ``whole`` table, or what
    follows on ``after``.  Without a ``version`` the sender knows nothing yet.
    """

    table: str
    after: StoreVersion
    version: StoreVersion
    reachable: bool
    whole: bool = False
    rows: bytes = b""


class StateAsked(msgspec.Struct, frozen=True, tag="state", array_like=True):
    """Asks the receiver to tell the sender what it knows.

    It wants what has changed of tables since these versions, all of one since
    ``UNKNOWN_VERSION``;
    with ``members`` also who is there and who orders the targets.
    """

    versions: dict[str, StoreVersion]
    members: bool = False


class TargetEnded(msgspec.Struct, frozen=True, array_like=True):
    """An incarnation of a target ended ``age_ms`` ago with a request in progress.

    Requests are named by their fingerprints.
    """

    fingerprint: str
    target: str
    age_ms: int


class TargetsEnded(msgspec.Struct, frozen=True, tag="ended", array_like=True):
    """Under which requests targets have ended, as far as it is news to the sender."""

    ends: list[TargetEnded]


class RequestsCleared(msgspec.Struct, frozen=True, tag="cleared", array_like=True):
    """Requests under suspicion that were answered, by their fingerprints."""

    fingerprints: list[str]


class SuspectsDigest(msgspec.Struct, frozen=True, tag="suspects", array_like=True):
    """What the sender knows of ended targets adds up to ``digest``.

    A receiver that knows something else tells it.
    """

    digest: int


class LimitOfTarget(msgspec.Struct, frozen=True, array_like=True):
    """A target takes ``rate`` requests a second from all nodes together.

    Without a ``rate`` it named no limit.  That was seen ``age_ms`` ago.
    """

    target: str
    rate: float | None
    age_ms: int


class RateLimitsTold(msgspec.Struct, frozen=True, tag="limits", array_like=True):
    """Rate limits that targets have named, or name no more."""

    limits: list[LimitOfTarget]


class PermitAsked(msgspec.Struct, frozen=True, tag="permit_asked", array_like=True):
    """Asks the receiver for a permit to send a request of ``tier`` to a target.

    ``limit`` is what the sender knows of its limit.
    """

    tier: int
    limit: LimitOfTarget


class PermitAnswer(msgspec.Struct, frozen=True, tag="permit", array_like=True):
    """A permit to send a request of ``tier`` to ``target``.

    With ``wait_ms`` there is none, and the receiver may ask again after that time.
    """

    target: str
    tier: int
    wait_ms: int | None


class LinkClosed(msgspec.Struct, frozen=True, tag="closed", array_like=True):
    """The sender links to the receiver no more, and its silence means nothing."""


class StateWanted(msgspec.Struct, frozen=True, tag="wanted", array_like=True):
    """The sender knows no revision beyond the position ``known``, and asks for all."""

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
    | PictureDigest
    | LinkClosed
    | StateWanted
    | TargetLoads
    | ModelDemand
    | TargetHoldings
    | OrdererNotice
    | OrdererResigned
    | TableVersion
    | TableNews
    | StateAsked
    | TargetsEnded
    | RequestsCleared
    | SuspectsDigest
    | RateLimitsTold
    | PermitAsked
    | PermitAnswer
)


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """One message: who sends it, and the facts it carries; may carry none.

    ``linked`` says that more will follow at the heartbeat's pace.
    """

    version: int
    sender: Member
    linked: bool
    facts: list[Fact]


def member_of_fact(fact: MemberFact) -> Member:
    """Return the message for a membership fact."""
    vm = fact.vm
    return Member(
        vm.name,
        vm.failure_domain,
        vm.address,
        vm.incarnation,
        fact.standing,
        vm.broadcast_port,
    )


def fact_of_member(member: Member) -> MemberFact:
    """Return the membership fact in a message."""
    vm = Vm(
        member.name,
        member.failure_domain,
        member.address,
        member.incarnation,
        member.broadcast_port,
    )
    return MemberFact(vm, member.standing)


def pack_rows(rows: Iterable[tuple[str, bytes | None]]) -> bytes:
    """Return rows as they travel: alike as they are, a tenth of their size.

    >>> unpack_rows(pack_rows([("a", b"1"), ("b", None)]))
    [('a', b'1'), ('b', None)]
    """
    return zlib.compress(msgspec.msgpack.encode(list(rows)), ROWS_LEVEL)


def unpack_rows(packed: bytes) -> list[tuple[str, bytes | None]]:
    """Return the rows in ``packed``; raises ``ValueError`` if it holds none."""
    unpacker = zlib.decompressobj()
    try:
        plain = unpacker.decompress(packed, MOST_ROWS_BYTES)
    except zlib.error as error:
        raise ValueError(f"rows cannot be unpacked: {error}") from None
    if not unpacker.eof:
        raise ValueError("rows are cut short, or too long")
    try:
        return msgspec.msgpack.decode(plain, type=list[tuple[str, bytes | None]])
    except msgspec.MsgspecError as error:
        raise ValueError(f"rows cannot be read: {error}") from None
