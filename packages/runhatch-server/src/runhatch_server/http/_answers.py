"""Answers of targets that are read whole, bounded one by one and together.

A target may send bytes without end.  One answer is bounded by its size.  All together
count in the account of what open requests hold: an answer is read on only while there
is room for the rest of it, and its target has to wait meanwhile.
"""

import http.client
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from datetime import timedelta

from runhatch_coordination import Clock, SystemClock
from runhatch_server.http._body import OVERALLOCATION, BodyBuffer
from runhatch_server.http._memory import Holding, RequestMemory
from runhatch_server.http._response import READ_BYTES, StrictResponse

DEFAULT_MAX_ANSWER_BYTES = 16 * 1024 * 1024
DEFAULT_MAX_STREAM_RATE = 256 * 1024
MAX_FIRST_CHUNKS = 256
"""Chunks that are read of an answer before there is room for the rest of it."""
ROOM_CHECK_INTERVAL = timedelta(milliseconds=20)
"""Interval of checks whether there is room for an answer."""


@dataclass(frozen=True, slots=True)
class AnswerLimits:
    """Limits on the answers of targets.

    An answer may have ``max_bytes``.  A stream is read at ``max_stream_rate`` bytes a
    second at most, once it has sent as much as that in a second.
    """

    max_bytes: int = DEFAULT_MAX_ANSWER_BYTES
    max_stream_rate: int = DEFAULT_MAX_STREAM_RATE


class AnswerTooLongError(http.client.HTTPException):
    """An answer has, or states that it has, more bytes than are allowed."""


class AnswerMemoryFullError(TimeoutError):
    """Until the deadline, there was no room for the rest of an answer."""


class AnswerMemory:
    """Reads whole answers within ``limits`` and ``memory``; thread-safe."""

    def __init__(
        self,
        limits: AnswerLimits | None = None,
        memory: RequestMemory | None = None,
        clock: Clock | None = None,
    ) -> None:
        self._limits = limits or AnswerLimits()
        self._memory = memory or RequestMemory()
        self._clock = clock or SystemClock()

    def read_body(self, response: StrictResponse) -> bytes:
        """Return the rest of the body of ``response``.

        Raises ``AnswerTooLongError``, ``AnswerMemoryFullError``, or the errors of
        reading if the body ends early or has not arrived by the deadline.
        """
        max_bytes = self._limits.max_bytes
        length = response.stated_length
        if length is not None and length > max_bytes:
            raise AnswerTooLongError(f"stated {length} bytes, allowed: {max_bytes}")
        first = _read_first(response)
        is_short = not response.chunked and len(first) < READ_BYTES
        if is_short or response.isclosed():
            return response.check_length(first, length)
        with self._reserve(max_bytes if length is None else length, response.deadline):
            return self._read_rest(response, first, length)

    def _read_rest(
        self, response: StrictResponse, first: bytes, length: int | None
    ) -> bytes:
        buffer = BodyBuffer()
        buffer.append(first)
        while part := response.read(READ_BYTES):
            buffer.append(part)
            if len(buffer) > self._limits.max_bytes:
                raise AnswerTooLongError(
                    f"found more than {self._limits.max_bytes} bytes"
                )
        return response.check_length(buffer.getfile().read(), length)

    @contextmanager
    def _reserve(self, size: int, deadline: timedelta | None) -> Iterator[None]:
        """Wait until the account has room for ``size`` bytes, and reserve it."""
        holding = Holding(_ignore_eviction)
        size += size // OVERALLOCATION
        while not self._memory.admit(holding, size, size):
            if deadline is not None and self._clock.elapsed() >= deadline:
                raise AnswerMemoryFullError(
                    f"open requests hold {self._memory.held} of "
                    f"{self._memory.limit} bytes, missing: {size}"
                )
            self._clock.sleep(ROOM_CHECK_INTERVAL)
        try:
            yield
        finally:
            self._memory.update(holding, lambda: 0)


def _read_first(response: StrictResponse) -> bytes:
    """Return the first part of the body, which is all of an ordinary one.

    Small chunks are read at some microseconds each, so their number is bounded too.
    """
    if not response.chunked:
        return bytes(response.read(READ_BYTES))
    first = b""
    for _ in range(MAX_FIRST_CHUNKS):
        part = response.read1(READ_BYTES)
        first += part
        if not part or len(first) >= READ_BYTES:
            break
    return first


def _ignore_eviction() -> None:
    """Do nothing: only bodies of requests that have stalled are evicted."""
