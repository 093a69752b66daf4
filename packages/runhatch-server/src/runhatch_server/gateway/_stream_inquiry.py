"""Answers of keepers to the question which software version began a stream."""

import threading
from collections.abc import Iterable
from dataclasses import dataclass

from runhatch_server.peers import StreamVersionAnswer


@dataclass(frozen=True, slots=True)
class StreamFinding:
    """The version that began a stream, ``None`` if unknown.

    ``is_denied`` tells that no asked node has a record of the stream.  It is false if
    one didn't answer or may have lost the record, or if two versions claim the stream.
    ``may_be_partitioned`` is whether there was no node to ask, or some are suspected,
    which may serve a version that none of those asked has seen.  ``has_several`` is
    whether one of these has seen several versions.
    """

    software_version: str | None = None
    is_denied: bool = False
    may_be_partitioned: bool = False
    has_several: bool = False


class StreamInquiry:
    """The answers of keepers about one stream; guarded by the lock of the exchange."""

    def __init__(self, asked: Iterable[str]) -> None:
        self.decided = threading.Event()
        self.unanswered = set(asked)
        """Names of the asked nodes that haven't answered."""
        self.software_version: str | None = None
        self._is_conflicting = False
        self._has_several = False

    def finding(self, may_be_partitioned: bool) -> StreamFinding:
        """Return what the answers say so far."""
        is_denied = not self.unanswered and not self._is_conflicting
        version = self.software_version
        return StreamFinding(
            version,
            is_denied and version is None,
            may_be_partitioned,
            self._has_several,
        )

    def record_answer(self, name: str, answer: StreamVersionAnswer) -> None:
        """Record the first answer of an asked node; the first version settles it."""
        if name not in self.unanswered or self.decided.is_set():
            return
        self.unanswered.discard(name)
        self.software_version = answer.software_version
        self._is_conflicting |= answer.is_conflicting
        self._has_several |= answer.has_several
        if answer.software_version is not None or not self.unanswered:
            self.decided.set()
