"""Events of a stream, kept to record its answer or to continue it elsewhere."""

from collections.abc import Iterator

from runhatch_server.http import OVERALLOCATION, Holding, RequestMemory
from runhatch_server.targets import EventSplitter

UNACCOUNTED_BYTES = 65_536
"""Events of a stream up to this size need no room in the account."""
RESERVED_BYTES = 262_144
"""Room that is reserved beyond the events, so that few of them wait for its lock."""


class KeptEvents:
    """The events of one stream; the account ``memory`` counts them.

    They are kept in one buffer: small events would hold several times their size as
    objects of their own.  Used by one thread at a time.
    """

    def __init__(self, memory: RequestMemory) -> None:
        self._memory = memory
        self._holding = Holding(_ignore_eviction)
        self._content = bytearray()
        self._room = UNACCOUNTED_BYTES
        self._is_whole = True

    def __iter__(self) -> Iterator[bytes]:
        return EventSplitter().feed(bytes(self._content))

    @property
    def is_whole(self) -> bool:
        """Whether no event was dropped."""
        return self._is_whole

    @property
    def content(self) -> bytes:
        """All events, one after another."""
        return bytes(self._content)

    def append(self, event: bytes) -> bool:
        """Keep ``event``, which is whole; return whether all events are kept.

        All are dropped once there is no room for another.
        """
        if not self._is_whole:
            return False
        size = len(self._content) + len(event)
        if size > self._room and not self._reserve(size + RESERVED_BYTES):
            self.close()
            self._is_whole = False
            return False
        self._content += event
        return True

    def close(self) -> None:
        """Drop the events, and give back their room."""
        self._content = bytearray()
        self._memory.update(self._holding, lambda: 0)

    def _reserve(self, room: int) -> bool:
        held_bytes = room + room // OVERALLOCATION
        if not self._memory.admit(self._holding, held_bytes, held_bytes):
            return False
        self._room = room
        return True


def _ignore_eviction() -> None:
    """Do nothing: only bodies of requests that have stalled are evicted."""
