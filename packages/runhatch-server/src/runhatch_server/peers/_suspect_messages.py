"""Messages between nodes about targets that ended and the requests that they ran."""

import msgspec


class TargetEnded(msgspec.Struct, frozen=True, array_like=True):
    """An incarnation of a target ended ``age_ms`` ago."""

    target: str
    age_ms: int


class SuspectOfEnd(msgspec.Struct, frozen=True, array_like=True):
    """A request or trait that was in progress when a target ended, ``age_ms`` ago.

    ``name`` is the packed fingerprint of the request, or one of its traits if the
    target had not begun to answer it, and ``index`` that of the target in its message.
    """

    name: bytes
    index: int
    age_ms: int


class TargetsEnded(msgspec.Struct, frozen=True, tag="ended", array_like=True):
    """Ends of targets, and suspects of some of them.

    The sender newly learned of them, replies to a digest, or asks for those suspects
    that it should clear.
    """

    targets: list[TargetEnded]
    suspects: list[SuspectOfEnd] = []
    wants_begun: bool = False
    """Whether the receiver replies with those suspects that have begun since."""


class RequestsCleared(msgspec.Struct, frozen=True, tag="cleared", array_like=True):
    """Fingerprints of suspected requests that have since been answered.

    ``begun_traits`` gives packed traits of prompts, with the milliseconds since an
    answer to a request with the trait began.
    """

    fingerprints: list[str]
    begun_traits: dict[bytes, int] = {}


class SuspectsDigest(msgspec.Struct, frozen=True, tag="suspects", array_like=True):
    """Digest of all ended targets known to the sender.

    A receiver with another digest sends the ends that it knows.
    """

    digest: int
