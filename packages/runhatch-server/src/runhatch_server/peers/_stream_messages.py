"""Messages about the software versions of targets that began streams."""

import msgspec


class StreamVersionRecord(msgspec.Struct, frozen=True, array_like=True):
    """A target of ``software_version`` began the stream of a caller's attempt.

    ``age_ms`` is the time since the record was made or renewed.
    """

    attempt_id: str
    service: str
    software_version: str
    age_ms: int = 0


class StreamVersionsUpdate(
    msgspec.Struct, frozen=True, tag="stream_versions", array_like=True
):
    """Records of streams that the receiver keeps for all nodes."""

    records: list[StreamVersionRecord]


class StreamVersionQuery(
    msgspec.Struct, frozen=True, tag="stream_version_asked", array_like=True
):
    """Asks for the software version that began the stream of ``attempt_id``.

    If ``is_repeated``, the sender has asked before and received no answer.
    """

    number: int
    attempt_id: str
    service: str
    is_repeated: bool = False


class StreamVersionAnswer(
    msgspec.Struct, frozen=True, tag="stream_version", array_like=True
):
    """Answers the query ``number``; ``None`` if the sender doesn't know.

    If ``is_conflicting``, it doesn't because two versions claim the stream, or because
    it may have lost the record.  ``has_several`` is whether the sender has seen several
    versions of the service.
    """

    number: int
    software_version: str | None
    is_conflicting: bool = False
    has_several: bool = False
