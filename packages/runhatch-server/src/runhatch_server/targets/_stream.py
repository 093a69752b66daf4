"""Splits a stream of server-sent events into events without decoding them."""

import re
from collections.abc import Iterator

EVENT_ENDS = (b"\n\n", b"\n\r\n", b"\r\r")
"""The last byte of a line end and a blank line; lines end with LF, CRLF or CR.

Streams that mix CR with other line ends are not split where they change.
"""
EVENT_END = re.compile(b"|".join(EVENT_ENDS))
MAX_EVENT_END_BYTES = max(map(len, EVENT_ENDS))
TERMINAL_EVENT = b"data: [DONE]"
ID_FIELD = b"id:"
"""The space that usually follows is optional."""
MAX_EVENT_BYTES = 1_048_576


class EventTooLongError(ValueError):
    """Raised for an event of more than ``MAX_EVENT_BYTES`` bytes."""


class EventSplitter:
    r"""Collects bytes and yields complete events, including their blank line.

    >>> splitter = EventSplitter()
    >>> list(splitter.feed(b"data: a\n\ndata"))
    [b'data: a\n\n']
    >>> list(splitter.feed(b": b\n\n"))
    [b'data: b\n\n']
    """

    def __init__(self) -> None:
        self._buffer = b""

    @property
    def incomplete_event(self) -> bytes:
        """The received bytes of an incomplete event."""
        return self._buffer

    def feed(self, chunk: bytes) -> Iterator[bytes]:
        """Yield the events that ``chunk`` completes.

        Raises :class:`EventTooLongError` if the remaining event is too long.
        """
        # No event ends within the bytes that an earlier call has searched.
        search_from = max(0, len(self._buffer) - MAX_EVENT_END_BYTES + 1)
        received = self._buffer + chunk
        ends = [match.end() for match in EVENT_END.finditer(received, search_from)]
        self._buffer = received[ends[-1] :] if ends else received
        for start, end in zip([0, *ends], ends, strict=False):
            yield received[start:end]
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise EventTooLongError(f"event exceeds {MAX_EVENT_BYTES} bytes")


class EventEndDetector:
    r"""Detects whether a stream of events is between two events.

    >>> detector = EventEndDetector()
    >>> detector.feed(b"data: a\n")
    >>> detector.is_between_events
    False
    >>> detector.feed(b"\n")
    >>> detector.is_between_events
    True
    """

    def __init__(self) -> None:
        self._tail = b""

    @property
    def is_empty(self) -> bool:
        """Whether nothing was received."""
        return not self._tail

    @property
    def is_between_events(self) -> bool:
        """Whether the bytes received end with an event and its blank line."""
        return self._tail.endswith(EVENT_ENDS)

    def feed(self, chunk: bytes) -> None:
        """Add the next received bytes."""
        self._tail = (self._tail + chunk[-MAX_EVENT_END_BYTES:])[-MAX_EVENT_END_BYTES:]


def is_terminal_event(event: bytes) -> bool:
    """Return whether ``event`` ends a complete stream.

    >>> is_terminal_event(b"id: 7\\ndata: [DONE]\\n\\n")
    True
    """
    return TERMINAL_EVENT in event and any(
        line == TERMINAL_EVENT for line in event.splitlines()
    )


def parse_event_id(event: bytes) -> bytes | None:
    r"""Return the event's id, ``None`` if it has none.

    >>> parse_event_id(b"event: x\nid: 7\ndata: y\n\n")
    b'7'
    """
    for line in event.splitlines():
        if line.startswith(ID_FIELD):
            return line[len(ID_FIELD) :].strip()
    return None


def has_data(event: bytes) -> bool:
    r"""Return whether ``event`` has data; callers ignore others, such as comments.

    >>> has_data(b": still here\n\n")
    False
    """
    return any(line.partition(b":")[0] == b"data" for line in event.splitlines())


def parse_event_data(event: bytes) -> bytes:
    """Return the event's data lines, joined by newlines."""
    prefix = b"data: "
    lines = [line for line in event.splitlines() if line.startswith(prefix)]
    return b"\n".join(line[len(prefix) :] for line in lines)
